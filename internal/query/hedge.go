package query

import (
	"time"

	"toucanpulley.example/internal/table"
)

const (
	// fallbackHedgeShare is the share of the remaining time after which a call
	// is hedged if the service has no latency samples.
	fallbackHedgeShare = 0.25
	// A hedge that cannot be sent, because no replica has a free slot or the
	// dispatch mode of its request is restricted, is retried after the time that
	// the call has run, divided by hedgeRetryDivisor, but at least after
	// minHedgeRetryDelay.
	hedgeRetryDivisor  = 4
	minHedgeRetryDelay = time.Millisecond
	// minHedgeFactor is the minimum running time of a call before it is hedged,
	// as a multiple of its searcher's mean latency. With the service's quantile
	// alone, ordinary variation and calls to other failure domains exhausted
	// the budget, leaving none for stragglers.
	minHedgeFactor = 2
)

// hedge is the system that sends a second call for a part whose first call
// takes longer than a quantile of the service's recent latency (Dean and
// Barroso, 2013), within a token budget.
func (w *World) hedge() {
	w.forEachDue(w.timers.hedges, w.hedgeCall)
}

// scheduleHedge sets the time at which a call is hedged. A call to a slow
// replica, sent because no other had a free slot or to measure its latency
// again, is hedged after the median latency of the service.
func (w *World) scheduleHedge(id table.ID, r request, to candidate) {
	if !r.settings.Hedge {
		return
	}
	latency := w.service.Get(r.service).latency
	median, _ := latency.Quantile(0.5)
	after, ok := latency.Quantile(r.settings.HedgeQuantile)
	switch {
	case !ok:
		after = scale(r.due.Sub(w.Now()), fallbackHedgeShare)
	case to.slow || to.retest:
		after = median
	default:
		after = max(after, scale(min(to.meanLatency, slowFactor*median), minHedgeFactor))
	}
	w.timers.hedges.Add(w.Now().Add(after), id)
}

func (w *World) hedgeCall(id table.ID) {
	if !w.calls.Has(id) {
		return
	}
	c := w.call.Get(id)
	r, p := w.request.Get(c.request), w.part.Get(c.part)
	if r.refusal != nil || p.hedged || len(p.liveCalls) != 1 {
		return
	}
	best, _, ok := w.chooseReplica(r, p)
	if !ok || r.mode != dispatchUnrestricted || r.suspect {
		w.timers.hedges.Add(w.Now().Add(max(minHedgeRetryDelay, w.Now().Sub(c.sent)/hedgeRetryDivisor)), id)
		return
	}
	// Marked even if the budget refuses the hedge, so that the refusal is
	// counted once.
	w.part.Set(c.part, p.withHedged())
	if !w.service.Get(r.service).hedges.Spend() {
		w.Emit(countHedgeRefused)
		return
	}
	w.startCall(c.request, c.part, best, true)
}
