package relay

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// choice is the result of choosing a searcher for a part.
type choice struct {
	// searcher is the searcher to call if found is set.
	searcher table.ID
	found    bool
	// busy is set if none was found and a usable searcher is full.
	busy bool
	// availableAt is the earliest time at which a searcher that restricts the calls of
	// this host takes one; zero if there is no such searcher.
	availableAt time.Time
	// callsPerSecond is the number of calls that these searchers together take from
	// then on; infinite if one of them has no limit.
	callsPerSecond float64
}

// interval returns the time between two calls that the restricted searchers take.
func (c choice) interval() time.Duration {
	if c.callsPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / c.callsPerSecond)
}

// dispatch starts a call for an open part at the searcher of least expected cost.
// The part is queued if all usable searchers are full, or if one takes a call soon,
// and missing if there is no usable searcher. After a pause of the process the deadline
// may have passed before the timer of the request has run.
func (w *World) dispatch(row table.ID) {
	p := w.part.Get(row)
	r := w.request.Get(p.request)
	c := w.chooseSearcher(r, p)
	switch {
	case !w.Now().Before(r.deadline):
		w.settlePart(row, p.withMissing(missingReason(p, c)))
	case !c.found && (c.busy || w.worthWaiting(r, p.service, c)):
		w.queuePart(row, c)
	case !c.found:
		w.settlePart(row, p.withMissing(missingReason(p, c)))
	case p.retryReason != "" && !w.service.Get(p.service).extraCalls.Spend(w.Now()):
		w.Emit(Count{"retry", "budgetExhausted"})
		w.settlePart(row, p.withMissing(model.MissingRetryBudget))
	default:
		if p.retryReason != "" {
			w.Emit(Count{"retry", string(p.retryReason)})
			w.request.Set(p.request, r.withRetry())
			w.log("part retried", "request", r.received.ID, "service", w.services.Key(p.service),
				"searcher", w.searchers.Key(c.searcher), "reason", p.retryReason, "elapsedMs", milliseconds(w.Now().Sub(r.received.Arrived)))
		} else {
			w.service.Get(p.service).extraCalls.Earn(w.Now())
		}
		w.startCall(row, c.searcher, false)
	}
}

// queuePart queues a part until a searcher of its service has capacity.
func (w *World) queuePart(row table.ID, c choice) {
	p := w.part.Get(row)
	w.service.Get(p.service).waiting.Push(w.request.Get(p.request).route.Priority, row)
	w.part.Set(row, p.withWaiting(true))
	w.wakeService(p.service, c.availableAt)
	w.Emit(Count{"call", "waited"})
}

// wakeService dispatches the queued parts of a service at the given time, if it is not
// zero, unless it does so earlier anyway. A timer for each part and sweep would
// multiply them.
func (w *World) wakeService(row table.ID, at time.Time) {
	s := w.service.Get(row)
	if pending := w.Now().Before(s.wakeAt); at.IsZero() || pending && !at.Before(s.wakeAt) {
		return
	}
	w.service.Set(row, s.withWakeAt(at))
	w.serviceTimers.Add(at, row)
}

// missingReason returns the reason for a part without a searcher.
func missingReason(p part, c choice) model.MissingReason {
	switch {
	case p.missingReason != "":
		return p.missingReason
	case !c.availableAt.IsZero():
		return model.MissingRestricted
	default:
		return model.MissingNoReplica
	}
}

// chooseSearcher returns the searcher of least expected cost that the part has not
// tried yet and that takes a call now.
func (w *World) chooseSearcher(r request, p part) choice {
	median := w.routeStat.Get(r.stats).medianLatency()
	minCost := time.Duration(0)
	var c choice
	for _, id := range w.service.Get(p.service).members {
		s := w.searcher.Get(id)
		if !s.usable() || slices.Contains(p.triedSearchers, id) {
			continue
		}
		if at := s.availableAt(w.Now()); w.Now().Before(at) {
			if c.availableAt.IsZero() || at.Before(c.availableAt) {
				c.availableAt = at
			}
			c.callsPerSecond += s.callsPerSecond()
			continue
		}
		if s.full() {
			c.busy = true
			continue
		}
		if cost := w.expectedCost(s, median); !c.found || cost < minCost {
			c.searcher, minCost, c.found = id, cost, true
		}
	}
	return c
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
	c := call{part: row, wave: r.wave, searcher: to, stats: r.stats, request: r.received.ID, sent: w.Now(), hedge: hedge}
	w.part.Set(row, p.withCall(id, to))
	w.request.Set(p.request, r.withCall())
	w.wave.Set(r.wave, w.wave.Get(r.wave).withCall())
	s := w.searcher.Get(to).withCall(w.Now())
	w.searcher.Set(to, s)
	c.start = s.start
	if r.route.Idempotent && !hedge {
		w.hedgeTimers.Add(w.Now().Add(w.hedgeDelay(r)), row)
	}
	w.Emit(Count{"call", "sent"})
	if !s.local {
		w.Emit(Count{"call", "crossDomain"})
	}
	start := StartCall{
		Call: w.lastCall, Searcher: s.registration.Searcher, Request: r.received.ID, Message: r.received.Message,
		Timeout: r.deadline.Sub(w.Now()), Fresh: !r.route.Idempotent,
	}
	if host, delegated := w.chooseDelegate(p.request, r, s); delegated {
		c.delegate = w.addDelegation(host, start, r.route.TopK)
	} else {
		w.Emit(start)
	}
	w.call.Set(id, c)
}

// dispatchWaiting is the system that dispatches queued parts once a searcher has
// capacity, or takes calls of this host again. A part that may not use any of the
// free searchers does not block the parts behind it.
func (w *World) dispatchWaiting() {
	for row, due := w.serviceTimers.PopDue(w.Now()); due; row, due = w.serviceTimers.PopDue(w.Now()) {
		w.changedServices = append(w.changedServices, row)
	}
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
		c := w.chooseSearcher(w.request.Get(p.request), p)
		w.wakeService(service, c.availableAt)
		if !c.found && (c.busy || !c.availableAt.IsZero()) {
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
