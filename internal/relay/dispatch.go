package relay

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// dispatch sends a call for an open part to the best searcher. Without a
// usable searcher the part is missing; if all usable ones are busy, it waits.
func (w *World) dispatch(row table.ID) {
	p := w.part.Get(row)
	r := w.request.Get(p.request)
	best, busy, ok := w.pickSearcher(r, p)
	switch {
	case !ok && busy:
		w.service.Get(p.service).waiting.Push(r.route.Rank, row)
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
			w.log("part sent again", "request", r.received.ID, "service", w.services.Key(p.service),
				"searcher", w.searchers.Key(best), "reason", p.retryReason, "elapsedMs", milliseconds(w.Now().Sub(r.received.Arrived)))
		} else {
			w.service.Get(p.service).extraCalls.Earn(w.Now())
		}
		w.startCall(row, best, false)
	}
}

// choose returns the searcher for the next call of a part: the one with the
// least expected time. If there is none, it reports whether one is only busy.
func (w *World) pickSearcher(r request, p part) (best table.ID, busy, ok bool) {
	median := w.routeStat.Get(r.stats).medianLatency()
	least := time.Duration(0)
	for _, id := range w.service.Get(p.service).members {
		s := w.searcher.Get(id)
		if !s.usable() || slices.Contains(p.tried, id) {
			continue
		}
		if s.full() {
			busy = true
			continue
		}
		if cost := w.expectedCost(s, median); !ok || cost < least {
			best, least, ok = id, cost, true
		}
	}
	return best, busy, ok
}

// cost returns the expected time of a call to a searcher, with what speaks
// against it expressed as time.
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

// stuck reports whether a searcher with work has answered nothing for too long.
func (w *World) stalled(s searcher, median time.Duration) bool {
	return s.inFlight > 0 && w.Now().Sub(s.lastProgress) > stalledFactor*median+stalledMargin
}

// send starts a call for a part at a searcher.
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

// wake is the system that sends parts that waited for a free connection. A part
// that may use none of the free searchers does not hold up those behind it.
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

// offer sends the parts that wait for a service, as long as more returns true.
// Parts for which no searcher is left get their outcome.
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

// crowded reports whether a service has searchers and all of them are full.
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
