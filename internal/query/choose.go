package query

import (
	"cmp"
	"math"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

// slowFactor is how many times the median latency of its service a searcher's
// latency must be for it to go after all faster ones.
const slowFactor = 3

// candidate is a replica that may get a call.
type candidate struct {
	row table.ID
	// room is the number of further calls that it may get now.
	room    int
	ejected time.Time
	// usual is the moving average of latency.
	usual time.Duration
	// delay is the expected latency of a further call.
	delay time.Duration
	slow  bool
	// retest is set if the replica was slow and is tried again.
	retest bool
	// foreign is set if the replica is in another failure domain.
	foreign bool
	// tie is random, so that equal replicas share the load.
	tie uint64
}

// newRanking orders candidates: not slow before slow, own failure domain before
// others, then by expected wait.
func (w *World) newRanking() policy.Ranking[candidate] {
	return policy.Ranking[candidate]{
		policy.FalseFirst(func(c candidate) bool { return c.slow }),
		policy.FalseFirst(func(c candidate) bool {
			return c.foreign && w.root.PreferOwnDomain
		}),
		func(a, b candidate) int { return cmp.Compare(a.delay, b.delay) },
		func(a, b candidate) int { return cmp.Compare(a.tie, b.tie) },
	}
}

// choose returns the best replica with room for a part. The second result
// tells whether any replica could serve the part later.
func (w *World) choose(r request, p part) (best candidate, usable, ok bool) {
	w.median, _ = w.service.Get(r.service).latency.Quantile(0.5)
	candidates := w.candidates(r, p)
	usable = len(candidates) > 0
	soonest := w.soonest(candidates)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.room <= 0
	})
	best, ok = w.ranking.Best(candidates)
	if ok && best.slow && w.patient(p, soonest, best.usual) {
		return best, usable, false
	}
	return best, usable, ok
}

// patient reports whether a part waits for a fast replica although a slow one
// has room, because the slow one would take longer. It waits so once and for a
// bounded time, as the fast replica may hang.
func (w *World) patient(p part, soonest, slow time.Duration) bool {
	if p.patience.IsZero() {
		return soonest < slow
	}
	return w.Now().Before(p.patience)
}

// soonest returns the shortest time in which a replica that is not slow but has
// no room is expected to serve a further part.
func (w *World) soonest(candidates []candidate) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		if !c.slow && !c.retest && c.room <= 0 && c.usual > 0 {
			least = min(least, c.usual*time.Duration(w.waiters.Get(c.row).Len()+2))
		}
	}
	return least
}

// candidates returns the replicas that may serve a part, without those that
// are ejected; those too if there is no other. The result is valid until the
// next call.
func (w *World) candidates(r request, p part) []candidate {
	candidates := w.scratch[:0]
	var ejected []candidate
	for _, id := range p.shard.Replicas {
		c, fit := w.fit(r, p, id)
		switch {
		case !fit:
		case w.Now().Before(c.ejected):
			ejected = append(ejected, c)
		default:
			candidates = append(candidates, c)
		}
	}
	limit := len(p.shard.Replicas) / 2
	if len(candidates) == 0 {
		limit = 0
	}
	w.scratch = append(candidates, capEjected(ejected, limit)...)
	return w.scratch
}

// fit reports whether a replica may serve a part at all.
func (w *World) fit(r request, p part, id model.SearcherID) (candidate, bool) {
	row, ok := w.searchers.Find(id)
	if !ok || p.hasFailed(id) || w.calling(p, row) {
		return candidate{}, false
	}
	s := w.searcher.Get(row)
	if s.leaving(w.Now()) || !s.has(r.snapshot.Version, w.Now()) {
		return candidate{}, false
	}
	latency, limit := s.latency, slowFactor*w.median
	avoided := s.avoided(limit, w.Now())
	retest := !avoided && limit > 0 && latency > limit
	if retest || w.Now().Sub(s.sampled) > latencyHold && !avoided {
		latency = min(latency, w.median)
	}
	return candidate{
		row: row, room: s.room(w.Now(), w.root.SlowStart), ejected: s.ejected, usual: s.latency,
		// The latency is scaled by the calls in flight.
		delay: latency * time.Duration(s.inFlight+1), slow: avoided, retest: retest,
		foreign: s.info.FailureDomain != w.FailureDomain, tie: w.Random.Uint64(),
	}, true
}

// slowFrom returns the latency from which on searchers of a service go after all
// faster ones; zero if too little is known.
func (w *World) slowFrom(service table.ID) time.Duration {
	median, _ := w.service.Get(service).latency.Quantile(0.5)
	return slowFactor * median
}

func (w *World) calling(p part, row table.ID) bool {
	return slices.ContainsFunc(p.live, func(id table.ID) bool { return w.call.Get(id).searcher == row })
}

// capEjected returns the ejected replicas that must be used all the same, so
// that at most limit replicas of a shard are out: those that return first.
func capEjected(ejected []candidate, limit int) []candidate {
	if len(ejected) <= limit {
		return nil
	}
	slices.SortFunc(ejected, func(a, b candidate) int { return a.ejected.Compare(b.ejected) })
	return ejected[:len(ejected)-limit]
}
