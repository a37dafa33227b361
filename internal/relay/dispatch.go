package relay

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// dispatch starts a call for an open part at the searcher of least expected cost.
// The part is queued if all usable searchers are full, and missing if there is
// no usable searcher.
func (w *World) dispatch(row table.ID) {
	p := w.part.Get(row)
	r := w.request.Get(p.request)
	best, busy, ok := w.pickSearcher(r, p)
	switch {
	case !ok && busy:
		w.service.Get(p.service).waiting.Push(r.route.Priority, row)
		w.part.Set(row, p.withWaiting(true))
		w.Emit(Count{"call", "waited"})
	case !ok:
		reason := p.missingReason
		if reason == "" {
			reason = model.MissingNoReplica
		}
		w.settlePart(row, p.withMissing(reason))
	case p.retryReason != "" && !w.service.Get(p.service).extraCalls.Spend(w.Now()):
		w.Emit(Count{"retry", "budgetExhausted"})
		w.settlePart(row, p.withMissing(model.MissingRetryBudget))
	default:
		if p.retryReason != "" {
			w.Emit(Count{"retry", string(p.retryReason)})
			w.request.Set(p.request, r.withRetry())
			w.log("part retried", "request", r.received.ID, "service", w.services.Key(p.service),
				"searcher", w.searchers.Key(best), "reason", p.retryReason, "elapsedMs", milliseconds(w.Now().Sub(r.received.Arrived)))
		} else {
			w.service.Get(p.service).extraCalls.Earn(w.Now())
		}
		w.startCall(row, best, false)
	}
}

// pickSearcher returns the searcher of least expected cost that the part has not
// tried yet. Without one, busy reports whether a usable searcher is full.
func (w *World) pickSearcher(r request, p part) (best table.ID, busy, ok bool) {
	median := w.routeStat.Get(r.stats).medianLatency()
	minCost := time.Duration(0)
	for _, id := range w.service.Get(p.service).members {
		s := w.searcher.Get(id)
		if !s.usable() || slices.Contains(p.triedSearchers, id) {
			continue
		}
		if s.full() {
			busy = true
			continue
		}
		if cost := w.expectedCost(s, median); !ok || cost < minCost {
			best, minCost, ok = id, cost, true
		}
	}
	return best, busy, ok
}

// expectedCost returns the expected duration of a call to a searcher plus
// penalties, which are expressed as durations.
func (w *World) expectedCost(s searcher, median time.Duration) time.Duration {
	slots := max(s.registration.Searcher.Slots, 1)
	expected := float64(median) * s.currentLatencyRatio(w.Now()) * (1 + float64(s.inFlight)/float64(slots))
	if w.Now().Before(s.warmUntil) {
		expected *= warmUpFactor
	}
	expected += s.failedShare * s.decay(w.Now()) * float64(failingCost)
	cost := time.Duration(expected)
	if !s.local {
		cost += remoteCost
	}
	if w.stalled(s, median) {
		cost += stalledCost
	}
	if w.Now().Before(s.avoidUntil) {
		cost += avoidCost
	}
	return cost
}

// stalled reports whether a searcher with calls in flight has not answered any
// for longer than the median latency explains.
func (w *World) stalled(s searcher, median time.Duration) bool {
	return s.inFlight > 0 && w.Now().Sub(s.lastProgress) > stalledFactor*median+stalledMargin
}

// startCall starts a call for a part at the given searcher.
func (w *World) startCall(row, to table.ID, hedge bool) {
	p := w.part.Get(row)
	r := w.request.Get(p.request)
	w.lastCall++
	id, _ := w.calls.Add(w.lastCall)
	w.call.Set(id, call{part: row, searcher: to, stats: r.stats, request: r.received.ID, sent: w.Now(), hedge: hedge})
	w.part.Set(row, p.withCall(id, to))
	w.request.Set(p.request, r.withCall())
	s := w.searcher.Get(to).withCall(w.Now())
	w.searcher.Set(to, s)
	if r.route.Idempotent && !hedge {
		w.hedgeTimers.Add(w.Now().Add(w.hedgeDelay(r)), row)
	}
	w.Emit(Count{"call", "sent"})
	if !s.local {
		w.Emit(Count{"call", "crossDomain"})
	}
	w.Emit(StartCall{
		Call: w.lastCall, Searcher: s.registration.Searcher, Request: r.received.ID, Message: r.received.Message,
		Timeout: r.deadline.Sub(w.Now()), Fresh: !r.route.Idempotent,
	})
}

// dispatchWaiting is the system that dispatches queued parts once a searcher has
// capacity. A part that may not use any of the free searchers does not block the
// parts behind it.
func (w *World) dispatchWaiting() {
	changed, freed := w.changedServices, w.freedServices
	w.changedServices, w.freedServices = w.changedServices[:0], w.freedServices[:0]
	for _, row := range changed {
		w.dispatchQueued(row, func() bool { return true })
	}
	for _, row := range freed {
		w.dispatchQueued(row, func() bool { return !w.saturated(row) })
	}
}

// dispatchQueued dispatches the queued parts of a service in order while more
// returns true. Parts without a usable searcher become missing.
func (w *World) dispatchQueued(service table.ID, more func() bool) {
	w.service.Get(service).waiting.Sweep(func(id table.ID) (taken, proceed bool) {
		if !more() {
			return false, false
		}
		p := w.part.Get(id)
		if !w.parts.Has(id) || p.state != partOpen || !p.waiting {
			return true, true
		}
		if _, busy, ok := w.pickSearcher(w.request.Get(p.request), p); !ok && busy {
			return false, true
		}
		w.part.Set(id, p.withWaiting(false))
		w.dispatch(id)
		return true, true
	})
}

// saturated reports whether a service has usable searchers and all are full.
func (w *World) saturated(service table.ID) bool {
	found := false
	for _, id := range w.service.Get(service).members {
		s := w.searcher.Get(id)
		if s.usable() && !s.full() {
			return false
		}
		found = found || s.usable()
	}
	return found
}
