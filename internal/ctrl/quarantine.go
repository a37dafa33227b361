package ctrl

import (
	"cmp"
	"iter"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// quarantineLosses is the minimum number of lost searchers for a request to be
	// refused on all hosts. A single loss may have another cause.
	quarantineLosses = 2
	// maxGossipEntries bounds the quarantine entries per message. The entries of one
	// request are sent together, even if they are more.
	maxGossipEntries = 16
	// maxSuspects bounds the table of suspects; each request takes about 150 bytes.
	maxSuspects = 65_536
)

// lossCount is the number of losses that one process has counted.
type lossCount struct {
	reporter  uint64
	losses    int
	expiresAt time.Time
}

// suspect is the component of a request that was running when searchers were
// lost. It merges the counts of all processes, in any order and with repetitions,
// to the same result (a grow-only counter, Shapiro et al. 2011), which restarts
// with each survival.
type suspect struct {
	// survivals counts how often a searcher survived the request after losses.
	survivals int
	// counts holds the losses since the last survival, at most one per process. A
	// count without losses only keeps the row.
	counts    []lossCount
	sendCount int
}

// losses returns the losses of all processes.
func (s suspect) losses() int {
	total := 0
	for _, c := range s.counts {
		total += c.losses
	}
	return total
}

// nextExpiry returns the time at which the first count expires.
func (s suspect) nextExpiry() time.Time {
	return slices.MinFunc(s.counts, func(a, b lossCount) int { return a.expiresAt.Compare(b.expiresAt) }).expiresAt
}

// expiresAt returns the time at which the last count expires.
func (s suspect) expiresAt() time.Time {
	var latest time.Time
	for _, c := range s.counts {
		if c.expiresAt.After(latest) {
			latest = c.expiresAt
		}
	}
	return latest
}

// count returns the losses counted by a process.
func (s suspect) count(reporter uint64) int {
	for _, c := range s.counts {
		if c.reporter == reporter {
			return c.losses
		}
	}
	return 0
}

// withCount returns the suspect with the count of a process added or replaced.
func (s suspect) withCount(count lossCount) suspect {
	s.counts = append(slices.DeleteFunc(slices.Clone(s.counts), func(c lossCount) bool { return c.reporter == count.reporter }), count)
	return s
}

// withSurvivals returns the suspect without losses after the given number of
// survivals.
func (s suspect) withSurvivals(n int) suspect {
	s.survivals, s.counts, s.sendCount = n, nil, 0
	return s
}

// withoutExpired returns the suspect without the counts that have expired.
func (s suspect) withoutExpired(now time.Time) suspect {
	s.counts = slices.DeleteFunc(slices.Clone(s.counts), func(c lossCount) bool { return !now.Before(c.expiresAt) })
	return s
}

// suspects is the table of requests that were running when searchers were lost,
// on this host or at a peer.
type suspects struct {
	// reporter identifies this process. A restarted process counts anew.
	reporter uint64
	rows     *table.Table[model.Fingerprint]
	suspect  *table.Column[suspect]
}

func newSuspects(host model.HostID, incarnation uint64) suspects {
	rows := table.New[model.Fingerprint]()
	return suspects{
		reporter: xxhash.Sum64String(string(host) + "/" + strconv.FormatUint(incarnation, 10)),
		rows:     rows, suspect: table.NewColumn[suspect](rows),
	}
}

// update applies the reports of lanes and the entries received from peers.
// Forwarding an entry never extends its expiry. It reports whether lanes and
// whether peers changed the table.
func (s suspects) update(inbox []Event, ttl time.Duration, now time.Time) (reported, learned bool) {
	merge := func(g Gossip) {
		for _, q := range g.Quarantine {
			if q.TTL > 0 {
				learned = s.merge(q, now.Add(min(q.TTL, ttl))) || learned
			}
		}
	}
	tick.Each(inbox, func(e LossReported) { reported = s.addLosses(e, now.Add(ttl)) || reported })
	tick.Each(inbox, func(e SurvivalReported) { reported = s.addSurvival(e.Fingerprint, now.Add(ttl)) || reported })
	tick.Each(inbox, func(e Probed) { merge(e.Gossip) })
	tick.Each(inbox, func(e Acked) { merge(e.Gossip) })
	tick.Each(inbox, func(e Pushed) { merge(e.Gossip) })
	return reported, learned
}

// row returns the row of a request and adds it if needed. It reports false if the
// table is full.
func (s suspects) row(f model.Fingerprint) (table.ID, bool) {
	if id, ok := s.rows.Find(f); ok {
		return id, true
	}
	if s.rows.Len() >= maxSuspects {
		return 0, false
	}
	id, _ := s.rows.Add(f)
	return id, true
}

// addLosses adds losses of this process.
func (s suspects) addLosses(e LossReported, expiresAt time.Time) bool {
	id, ok := s.row(e.Fingerprint)
	if !ok {
		return false
	}
	c := s.suspect.Get(id)
	c.sendCount = 0
	s.suspect.Set(id, c.withCount(lossCount{s.reporter, c.count(s.reporter) + e.Losses, expiresAt}))
	return true
}

// addSurvival clears the losses of a request, if it has any.
func (s suspects) addSurvival(f model.Fingerprint, expiresAt time.Time) bool {
	id, ok := s.rows.Find(f)
	if !ok || s.suspect.Get(id).losses() == 0 {
		return false
	}
	c := s.suspect.Get(id)
	s.suspect.Set(id, c.withSurvivals(c.survivals+1).withCount(lossCount{s.reporter, 0, expiresAt}))
	return true
}

// merge applies the entry of a peer and reports whether it changed the table.
func (s suspects) merge(q Quarantine, expiresAt time.Time) bool {
	id, ok := s.row(q.Fingerprint)
	if !ok {
		return false
	}
	c := s.suspect.Get(id)
	newer := q.Survivals > c.survivals
	if newer {
		c = c.withSurvivals(q.Survivals)
	}
	switch known := slices.ContainsFunc(c.counts, func(n lossCount) bool { return n.reporter == q.Reporter }); {
	case q.Survivals < c.survivals, known && q.Losses <= c.count(q.Reporter):
		return false
	}
	s.suspect.Set(id, c.withCount(lossCount{q.Reporter, q.Losses, expiresAt}))
	return true
}

// expire removes expired counts and reports whether there were any.
func (s suspects) expire(now time.Time, wake func(time.Time)) bool {
	removed := false
	for id := range s.rows.All() {
		c := s.suspect.Get(id)
		if left := c.withoutExpired(now); len(left.counts) < len(c.counts) {
			c, removed = left, true
			s.suspect.Set(id, c)
		}
		if len(c.counts) == 0 {
			s.rows.Remove(id)
			continue
		}
		wake(c.nextExpiry())
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
	for _, id := range ids {
		c := s.suspect.Get(id)
		if len(list) > 0 && len(list)+len(c.counts) > maxGossipEntries {
			break
		}
		c.sendCount++
		s.suspect.Set(id, c)
		for _, n := range c.counts {
			if ttl := n.expiresAt.Sub(now); ttl > 0 {
				list = append(list, Quarantine{
					Fingerprint: s.rows.Key(id), Reporter: n.reporter, Losses: n.losses, Survivals: c.survivals, TTL: ttl,
				})
			}
		}
	}
	return list
}

// all returns an iterator over the requests with losses and their fingerprints.
func (s suspects) all() iter.Seq2[model.Fingerprint, suspect] {
	return func(yield func(model.Fingerprint, suspect) bool) {
		for id := range s.rows.All() {
			if c := s.suspect.Get(id); c.losses() > 0 && !yield(s.rows.Key(id), c) {
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
		if s.losses() >= quarantineLosses {
			refused[f] = true
		} else {
			suspects[f] = true
		}
	}
	return suspects, refused
}
