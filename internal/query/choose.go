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

// slowFactor is the multiple of its service's median latency above which a
// searcher is slow and ranks behind all faster ones.
const slowFactor = 3

// candidate is a replica that may get a call.
type candidate struct {
	row table.ID
	// freeSlots is the number of further calls that the replica may get now.
	freeSlots    int
	ejectedUntil time.Time
	// meanLatency is the moving average of the replica's latency.
	meanLatency time.Duration
	// expectedLatency is the expected latency of a further call.
	expectedLatency time.Duration
	slow            bool
	// retest is set if the replica was slow and gets a call to measure its
	// latency again.
	retest bool
	// crossDomain is set if the replica is in another failure domain.
	crossDomain bool
	// tieBreaker is random, so that equal replicas share the load.
	tieBreaker uint64
}

// replicaRanking prefers replicas that are not slow, then those in the same
// failure domain, then those with the lowest expected latency.
func (w *World) replicaRanking() policy.Ranking[candidate] {
	return policy.Ranking[candidate]{
		policy.FalseFirst(func(c candidate) bool { return c.slow }),
		policy.FalseFirst(func(c candidate) bool {
			return c.crossDomain && w.rootSettings.PreferOwnDomain
		}),
		func(a, b candidate) int { return cmp.Compare(a.expectedLatency, b.expectedLatency) },
		func(a, b candidate) int { return cmp.Compare(a.tieBreaker, b.tieBreaker) },
	}
}

// chooseReplica returns the best replica with a free slot for a part. The
// second result reports whether any replica could serve the part later.
func (w *World) chooseReplica(r request, p part) (best candidate, usable, ok bool) {
	w.medianLatency, _ = w.service.Get(r.service).latency.Quantile(0.5)
	candidates := w.candidates(r, p)
	usable = len(candidates) > 0
	fastLatency := w.minFastLatency(candidates)
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool {
		return c.freeSlots <= 0
	})
	best, ok = w.ranking.Best(candidates)
	if ok && best.slow && w.waitsForFastReplica(p, fastLatency, best.meanLatency) {
		return best, usable, false
	}
	return best, usable, ok
}

// waitsForFastReplica reports whether a part waits for a busy fast replica
// although a slow one has a free slot, because the slow one would take longer.
// A part waits only once and for a bounded time, as the fast replica may hang.
func (w *World) waitsForFastReplica(p part, fastLatency, slowLatency time.Duration) bool {
	if p.avoidSlowUntil.IsZero() {
		return fastLatency < slowLatency
	}
	return w.Now().Before(p.avoidSlowUntil)
}

// minFastLatency returns the shortest time in which a busy replica that is not
// slow is expected to serve a further part.
func (w *World) minFastLatency(candidates []candidate) time.Duration {
	minLatency := time.Duration(math.MaxInt64)
	for _, c := range candidates {
		if !c.slow && !c.retest && c.freeSlots <= 0 && c.meanLatency > 0 {
			minLatency = min(minLatency, c.meanLatency*time.Duration(w.waiters.Get(c.row).Len()+2))
		}
	}
	return minLatency
}

// candidates returns the replicas that may serve a part. At most half of a
// shard's replicas are left out as ejected, and none if no other is eligible.
// The result is valid until the next call.
func (w *World) candidates(r request, p part) []candidate {
	candidates := w.candidateBuffer[:0]
	var ejected []candidate
	for _, id := range p.shard.Replicas {
		c, isEligible := w.eligible(r, p, id)
		switch {
		case !isEligible:
		case w.Now().Before(c.ejectedUntil):
			ejected = append(ejected, c)
		default:
			candidates = append(candidates, c)
		}
	}
	limit := len(p.shard.Replicas) / 2
	if len(candidates) == 0 {
		limit = 0
	}
	w.candidateBuffer = append(candidates, readmitEjected(ejected, limit)...)
	return w.candidateBuffer
}

// eligible reports whether a replica may serve a part, and returns its
// candidate.
func (w *World) eligible(r request, p part, id model.SearcherID) (candidate, bool) {
	row, ok := w.searchers.Find(id)
	if !ok || p.hasFailed(id) || w.hasCallTo(p, row) {
		return candidate{}, false
	}
	s := w.searcher.Get(row)
	if s.leaving(w.Now()) || !s.mayHaveVersion(r.snapshot.Version, w.Now()) {
		return candidate{}, false
	}
	latency, threshold := s.meanLatency, slowFactor*w.medianLatency
	slow := s.avoided(threshold, w.Now())
	retest := !slow && threshold > 0 && latency > threshold
	// A mean without a recent sample counts as no more than the median, so that
	// the replica is chosen again and its latency measured.
	if retest || w.Now().Sub(s.sampledAt) > minAvoidance && !slow {
		latency = min(latency, w.medianLatency)
	}
	return candidate{
		row: row, freeSlots: s.freeSlots(w.Now(), w.rootSettings.SlowStart), ejectedUntil: s.ejectedUntil, meanLatency: s.meanLatency,
		// Scaled by the calls in flight, so that a busy replica ranks lower.
		expectedLatency: latency * time.Duration(s.inFlight+1), slow: slow, retest: retest,
		crossDomain: s.info.FailureDomain != w.FailureDomain, tieBreaker: w.Random.Uint64(),
	}, true
}

// slowThreshold returns the latency above which searchers of a service are
// slow; zero without samples.
func (w *World) slowThreshold(service table.ID) time.Duration {
	median, _ := w.service.Get(service).latency.Quantile(0.5)
	return slowFactor * median
}

func (w *World) hasCallTo(p part, row table.ID) bool {
	return slices.ContainsFunc(p.liveCalls, func(id table.ID) bool { return w.call.Get(id).searcher == row })
}

// readmitEjected returns the ejected replicas that must be used anyway so that
// at most limit replicas of a shard stay ejected. Those whose ejection ends
// first are readmitted.
func readmitEjected(ejected []candidate, limit int) []candidate {
	if len(ejected) <= limit {
		return nil
	}
	slices.SortFunc(ejected, func(a, b candidate) int { return a.ejectedUntil.Compare(b.ejectedUntil) })
	return ejected[:len(ejected)-limit]
}
