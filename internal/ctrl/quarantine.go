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
	// quarantineLosses is the number of searchers lost to one request after
	// which it is refused everywhere. One loss may have another cause.
	quarantineLosses = 2
	// maxGossipEntries bounds the quarantine entries of one message.
	maxGossipEntries = 8
	// maxSuspects bounds the table. Each entry costs about 100 bytes.
	maxSuspects = 65_536
)

// suspect is the cell of a request that was running when searchers were lost.
type suspect struct {
	losses    int
	until     time.Time
	timesSent int
}

// suspects holds the requests that were running when searchers were lost, here
// or at a peer.
type suspects struct {
	rows *table.Table[model.Fingerprint]
	cell *table.Column[suspect]
}

func newSuspects() suspects {
	rows := table.New[model.Fingerprint]()
	return suspects{rows: rows, cell: table.NewColumn[suspect](rows)}
}

// update takes the reports of lanes and the entries of peers. An entry with more
// losses replaces one with fewer; the time of an entry never grows by being
// passed around. It reports whether a lane or a peer had anything new.
func (s suspects) update(inbox []Event, life time.Duration, now time.Time) (reported, learned bool) {
	merge := func(g Gossip) {
		for _, q := range g.Quarantine {
			if q.Left > 0 && q.Losses > 0 {
				learned = s.record(q.Fingerprint, q.Losses, now.Add(min(q.Left, life))) || learned
			}
		}
	}
	tick.Each(inbox, func(e LossReported) { reported = s.record(e.Fingerprint, e.Losses, now.Add(life)) || reported })
	tick.Each(inbox, func(e Probed) { merge(e.Gossip) })
	tick.Each(inbox, func(e Acked) { merge(e.Gossip) })
	tick.Each(inbox, func(e Pushed) { merge(e.Gossip) })
	return reported, learned
}

func (s suspects) record(f model.Fingerprint, losses int, until time.Time) bool {
	id, known := s.rows.Find(f)
	if known && s.cell.Get(id).losses >= losses {
		return false
	}
	if !known {
		if s.rows.Len() >= maxSuspects {
			return false
		}
		id, _ = s.rows.Add(f)
	}
	s.cell.Set(id, suspect{losses: losses, until: until})
	return true
}

// expire drops entries whose time is over and reports whether there were any.
func (s suspects) expire(now time.Time, wake func(time.Time)) bool {
	dropped := false
	for id := range s.rows.All() {
		if until := s.cell.Get(id).until; now.Before(until) {
			wake(until)
			continue
		}
		s.rows.Remove(id)
		dropped = true
	}
	return dropped
}

// gossipEntries picks the quarantine gossipEntries of a message: those sent least often, so
// that all take turns while their time lasts.
func (s suspects) gossipEntries(now time.Time) []Quarantine {
	if s.rows.Len() == 0 {
		return nil
	}
	ids := make([]table.ID, 0, s.rows.Len())
	for id := range s.rows.All() {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b table.ID) int {
		return cmp.Or(cmp.Compare(s.cell.Get(a).timesSent, s.cell.Get(b).timesSent), cmp.Compare(b, a))
	})
	var list []Quarantine
	for _, id := range ids[:min(len(ids), maxGossipEntries)] {
		c := s.cell.Get(id)
		c.timesSent++
		s.cell.Set(id, c)
		if left := c.until.Sub(now); left > 0 {
			list = append(list, Quarantine{Fingerprint: s.rows.Key(id), Losses: c.losses, Left: left})
		}
	}
	return list
}

// all returns the suspects with their cells.
func (s suspects) all() iter.Seq2[model.Fingerprint, suspect] {
	return func(yield func(model.Fingerprint, suspect) bool) {
		for id := range s.rows.All() {
			if !yield(s.rows.Key(id), s.cell.Get(id)) {
				return
			}
		}
	}
}

// quarantine is the system that takes reports of lanes and entries of peers.
func (w *World) quarantine() {
	if reported, learned := w.suspects.update(w.Inbox(), w.root.Quarantine, w.Now()); reported || learned {
		w.dirty = true
		w.startAnnouncing(w.Now())
	}
}

// expire is the system that drops entries whose time is over.
func (w *World) expire() {
	if w.suspects.expire(w.Now(), w.WakeAt) {
		w.dirty = true
	}
}

// quarantined returns the requests that are suspects and those refused.
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
