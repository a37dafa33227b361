package ctrl

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// quarantineLosses is the minimum number of lost searchers for a request to be
	// refused on all hosts. A single loss may have another cause.
	quarantineLosses = 2
	// maxGossipEntries bounds the quarantine entries per message.
	maxGossipEntries = 8
	// maxSuspects bounds the table of suspects; each entry takes about 100 bytes.
	maxSuspects = 65_536
)

// suspect is the component of a request that was running when searchers were
// lost.
type suspect struct {
	losses    int
	expiresAt time.Time
	sendCount int
}

// suspects is the table of requests that were running when searchers were lost,
// on this host or at a peer.
type suspects struct {
	rows    *table.Table[model.Fingerprint]
	suspect *table.Column[suspect]
}

func newSuspects() suspects {
	rows := table.New[model.Fingerprint]()
	return suspects{rows: rows, suspect: table.NewColumn[suspect](rows)}
}

// update applies the reports of lanes and the entries received from peers. An
// entry with more losses replaces one with fewer; forwarding an entry never
// extends its expiry. It reports whether lanes and whether peers changed the table.
func (s suspects) update(inbox []Event, ttl time.Duration, now time.Time) (reported, learned bool) {
	merge := func(g Gossip) {
		for _, q := range g.Quarantine {
			if q.TTL > 0 && q.Losses > 0 {
				learned = s.record(q.Fingerprint, q.Losses, now.Add(min(q.TTL, ttl))) || learned
			}
		}
	}
	tick.Each(inbox, func(e LossReported) { reported = s.record(e.Fingerprint, e.Losses, now.Add(ttl)) || reported })
	tick.Each(inbox, func(e Probed) { merge(e.Gossip) })
	tick.Each(inbox, func(e Acked) { merge(e.Gossip) })
	tick.Each(inbox, func(e Pushed) { merge(e.Gossip) })
	return reported, learned
}

// record stores an entry unless the table is full or has one of the request with
// at least as many losses. It reports whether it stored the entry.
func (s suspects) record(f model.Fingerprint, losses int, expiresAt time.Time) bool {
	id, known := s.rows.Find(f)
	if known && s.suspect.Get(id).losses >= losses {
		return false
	}
	if !known {
		if s.rows.Len() >= maxSuspects {
			return false
		}
		id, _ = s.rows.Add(f)
	}
	s.suspect.Set(id, suspect{losses: losses, expiresAt: expiresAt})
	return true
}

// expire removes expired entries and reports whether there were any.
func (s suspects) expire(now time.Time, wake func(time.Time)) bool {
	removed := false
	for id := range s.rows.All() {
		if expiresAt := s.suspect.Get(id).expiresAt; now.Before(expiresAt) {
			wake(expiresAt)
			continue
		}
		s.rows.Remove(id)
		removed = true
	}
	return removed
}

// gossipEntries selects the quarantine entries for a message and counts them as
// sent. It takes those sent least often, so that all entries are sent in turn.
func (s suspects) gossipEntries(now time.Time) []Quarantine {
	if s.rows.Len() == 0 {
		return nil
	}
	ids := make([]table.ID, 0, s.rows.Len())
	for id := range s.rows.All() {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b table.ID) int {
		return cmp.Or(cmp.Compare(s.suspect.Get(a).sendCount, s.suspect.Get(b).sendCount), cmp.Compare(b, a))
	})
	var list []Quarantine
	for _, id := range ids[:min(len(ids), maxGossipEntries)] {
		c := s.suspect.Get(id)
		c.sendCount++
		s.suspect.Set(id, c)
		if ttl := c.expiresAt.Sub(now); ttl > 0 {
			list = append(list, Quarantine{Fingerprint: s.rows.Key(id), Losses: c.losses, TTL: ttl})
		}
	}
	return list
}

// all returns an iterator over the suspects and their fingerprints.
func (s suspects) all() iter.Seq2[model.Fingerprint, suspect] {
	return func(yield func(model.Fingerprint, suspect) bool) {
		for id := range s.rows.All() {
			if !yield(s.rows.Key(id), s.suspect.Get(id)) {
				return
			}
		}
	}
}

// quarantine is the system that applies lane reports and entries from peers.
func (w *World) quarantine() {
	if reported, learned := w.suspects.update(w.Inbox(), w.rootSettings.Quarantine, w.Now()); reported || learned {
		w.dirty = true
		w.startAnnouncing(w.Now())
	}
}

// expire is the system that removes expired quarantine entries.
func (w *World) expire() {
	if w.suspects.expire(w.Now(), w.WakeAt) {
		w.dirty = true
	}
}

// quarantined returns the suspect requests and the refused ones.
func (w *World) quarantined() (suspects, refused map[model.Fingerprint]bool) {
	suspects, refused = map[model.Fingerprint]bool{}, map[model.Fingerprint]bool{}
	for f, s := range w.suspects.all() {
		if s.losses >= quarantineLosses {
			refused[f] = true
		} else {
			suspects[f] = true
		}
	}
	return suspects, refused
}
