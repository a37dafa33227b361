package query

import (
	"time"

	"toucanpulley.example/internal/table"
)

const (
	// fallbackHedgeShare is the share of the time left after which a call is hedged
	// while nothing is known of the service's latency.
	fallbackHedgeShare = 0.25
	// hedgeRetryDelay is the delay before a hedge is tried again that found no
	// replica with room.
	hedgeRetryDelay = time.Millisecond
	// minHedgeFactor is how many times the usual latency of its searcher a call
	// must take at least before it is hedged. At a quantile of the service alone
	// the ordinary spread of latencies, and calls to other failure domains, used
	// up the budget, so that stragglers found it empty.
	minHedgeFactor = 2
)

// hedge is the system that sends a second call for parts whose first call
// takes longer than a quantile of the service's recent latency (Dean and
// Barroso, 2013), inside a token budget.
func (w *World) hedge() {
	w.forEachDue(w.timers.hedges, w.hedgeCall)
}

// scheduleHedge sets the time at which a call is hedged. A call to a slow replica,
// because no other had room or to test whether it is fast again, is hedged as
// soon as a usual one would have ended.
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
		w.timers.hedges.Add(w.Now().Add(max(hedgeRetryDelay, w.Now().Sub(c.sent)/4)), id)
		return
	}
	// A hedge that the budget refused is marked too, so that it counts once.
	w.part.Set(c.part, p.withHedged())
	if !w.service.Get(r.service).hedges.Spend() {
		w.Emit(countHedgeRefused)
		return
	}
	w.startCall(c.request, c.part, best, true)
}
