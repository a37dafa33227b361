package query

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

const (
	// shedBackoff is the delay before a part is retried after all its replicas
	// shed it. It doubles with each round, at most maxShedDoublings times.
	shedBackoff      = 5 * time.Millisecond
	maxShedDoublings = 6
)

// dispatch is the system that sends calls for pending parts within the limits
// of the searchers. Parts that waited for a free slot come first, oldest first,
// followed by the parts of changed requests.
func (w *World) dispatch() {
	w.fireTimers()
	for _, id := range w.changedRequests() {
		w.updateMode(id)
	}
	for _, id := range w.changes.searchers {
		w.dispatchWaiters(id)
	}
	// The loop may extend the list; the added requests have nothing to send.
	for _, id := range slices.Clone(w.changedRequests()) {
		w.dispatchRequest(id)
	}
}

// updateMode ends a request whose fingerprint is now quarantined, and otherwise
// updates its dispatch mode.
func (w *World) updateMode(id table.ID) {
	r := w.request.Get(id)
	if !r.running || r.refusal != nil {
		return
	}
	if w.isQuarantined(r.fingerprint) {
		w.request.Set(id, r.withRefusal(newRefusal(model.ReasonQuarantined, "this request crashes searchers").
			WithExecution(r.execution())))
	} else if m := w.modeFor(r.fingerprint, r.settings.Canary); m != r.mode {
		w.request.Set(id, r.withMode(m))
	}
}

// dispatchWaiters gives the free slots of a searcher to the parts that wait for
// it.
func (w *World) dispatchWaiters(row table.ID) {
	if !w.searchers.Has(row) {
		return
	}
	waiters := w.waiters.Get(row)
	for n := waiters.Len(); n > 0 && w.searcher.Get(row).freeSlots(w.Now(), w.rootSettings.SlowStart) > 0; n-- {
		id, _ := waiters.Pop()
		p := w.part.Get(id)
		r := w.request.Get(p.request)
		if !w.parts.Has(id) || r.refusal != nil {
			continue
		}
		w.part.Set(id, p.withWaitEpoch(0))
		if !w.canSendCall(r) {
			w.deferRequest(p.request)
			continue
		}
		w.dispatchPart(p.request, id)
	}
}

// dispatchRequest sends the calls of a request that its dispatch mode allows.
func (w *World) dispatchRequest(id table.ID) {
	r := w.request.Get(id)
	if !r.running || r.refusal != nil {
		return
	}
	if !w.canSendCall(r) {
		if r.liveCalls == 0 {
			w.deferRequest(id)
		}
		return
	}
	for _, pt := range w.sendOrder(r) {
		if w.part.Get(pt).waitEpoch == w.changes.epoch {
			continue // queued; a free slot at one of its replicas dispatches it
		}
		if w.dispatchPart(id, pt) {
			// The request was restarted; its new parts are sent in the next
			// tick.
			w.deferRequest(id)
			w.WakeAt(w.Now())
			return
		}
		if r.mode == dispatchCanary && w.request.Get(id).liveCalls > 0 {
			return
		}
	}
}

// sendOrder returns the parts of a request in the order in which they are sent.
// All other parts wait for the canary, so the first part with a free fast
// replica in the same failure domain goes first.
func (w *World) sendOrder(r request) []table.ID {
	if r.mode != dispatchCanary {
		return r.parts
	}
	for i, id := range r.parts {
		p := w.part.Get(id)
		if p.state != partPending {
			continue
		}
		if best, _, ok := w.chooseReplica(r, p); ok && !best.slow && !best.retest && !best.crossDomain {
			return slices.Concat(r.parts[i:], r.parts[:i])
		}
	}
	return r.parts
}

// dispatchPart sends the call of a pending part or queues the part at its
// replicas. It reports whether the request was restarted.
func (w *World) dispatchPart(id, row table.ID) bool {
	p := w.part.Get(row)
	if p.state != partPending || len(p.liveCalls) > 0 || w.Now().Before(p.notBefore) {
		return false
	}
	r := w.request.Get(id)
	best, usable, ok := w.chooseReplica(r, p)
	switch {
	case ok:
		w.startCall(id, row, best, false)
	case usable:
		w.queuePart(r, row)
	default:
		return w.handleIneligible(id, row)
	}
	return false
}

// queuePart queues a part at the replicas that can serve it later.
func (w *World) queuePart(r request, row table.ID) {
	p := w.part.Get(row)
	w.part.Set(row, p.withWaitEpoch(w.changes.epoch))
	for _, id := range p.shard.Replicas {
		c, isEligible := w.eligible(r, p, id)
		if !isEligible {
			continue
		}
		if c.slow && c.freeSlots > 0 {
			w.deferSlowReplica(row, c)
			continue
		}
		w.waiters.Get(c.row).Push(row)
		if slotAt, growing := w.searcher.Get(c.row).nextFreeSlot(w.Now(), w.rootSettings.SlowStart); growing {
			w.timers.slots.Add(slotAt, c.row)
		}
	}
}

// deferSlowReplica makes a part reconsider its replicas after the time in which
// the slow replica would have replied.
func (w *World) deferSlowReplica(row table.ID, c candidate) {
	p := w.part.Get(row).withAvoidSlowUntil(w.Now().Add(c.meanLatency))
	w.part.Set(row, p)
	w.timers.backoffs.Add(p.avoidSlowUntil, row)
}

// handleIneligible handles a part that no replica can serve now: it backs off,
// restarts the request or marks the part as missing. It reports whether the
// request was restarted.
func (w *World) handleIneligible(request, row table.ID) bool {
	p := w.part.Get(row)
	version := w.request.Get(request).snapshot.Version
	shed, versionMissing, removed := false, false, false
	for _, id := range p.shard.Replicas {
		replica, ok := w.searchers.Find(id)
		switch s := w.searcher.Get(replica); {
		case !ok || s.removed:
			removed = true
		case !s.mayHaveVersion(version, w.Now()):
			versionMissing = true
		case !s.leaving(w.Now()):
			shed = shed || slices.Contains(p.failedCalls, failedCall{id, model.MissingRefused})
		}
	}
	switch {
	case shed:
		w.backOff(row)
	case (versionMissing || removed) && w.restart(request):
		return true
	case versionMissing:
		w.setPart(row, p.withMissing(model.MissingVersionGone))
	default:
		w.setPart(row, p.withMissing(p.lastReason))
	}
	return false
}

// backOff delays a part and then makes all its replicas available to it again.
func (w *World) backOff(row table.ID) {
	p := w.part.Get(row)
	at := w.Now().Add(shedBackoff << min(p.rounds, maxShedDoublings))
	w.part.Set(row, p.withNewRound(at))
	w.timers.backoffs.Add(at, row)
}

// startCall sends a call for a part to a replica.
func (w *World) startCall(id, row table.ID, to candidate, hedge bool) {
	r := w.request.Get(id).withCall()
	w.request.Set(id, r)
	w.attempt++
	callID, _ := w.calls.Add(w.attempt)
	proven, _ := w.proven.Get(r.fingerprint)
	w.call.Set(callID, call{request: id, part: row, searcher: to.row, sent: w.Now(), hedge: hedge, proven: proven})
	p := w.part.Get(row).withCall(callID)
	w.part.Set(row, p)
	s := w.searcher.Get(to.row).withInFlightDelta(1)
	w.searcher.Set(to.row, s)
	if !hedge {
		w.scheduleHedge(callID, r, to)
	}
	w.countCall(r, to, hedge)
	w.Emit(StartCall{
		Request: r.query.ID, Attempt: w.attempt, Searcher: s.info,
		Service: r.query.Service, Shard: p.shard.ID, Version: r.snapshot.Version,
		Terms: r.query.Terms, Limit: r.query.Limit, Deadline: r.due,
		StopBy: stopBy(r, to.crossDomain), CrossesDomain: to.crossDomain,
	})
}

// stopBy returns the time by which a searcher must finish for its reply to
// arrive before the answer is due. Only replies from another failure domain get
// an allowance; inside one the network delay is negligible.
func stopBy(r request, crossDomain bool) time.Time {
	if !crossDomain {
		return r.due
	}
	return r.due.Add(-r.settings.ReturnAllowance)
}

// Frequently emitted counts, allocated once.
var (
	countCallAll         Command = Count{CounterCall, "all"}
	countCallCrossDomain Command = Count{CounterCall, "crossDomain"}
	countCallHedge       Command = Count{CounterCall, "hedge"}
	countHedgeRefused    Command = Count{CounterCall, "hedgeBudgetExhausted"}
)

func (w *World) countCall(r request, to candidate, hedge bool) {
	s := w.service.Get(r.service)
	if hedge {
		w.Emit(countCallHedge)
	} else {
		s.hedges.Earn()
		s.retries.Earn()
	}
	w.Emit(countCallAll)
	if to.crossDomain {
		w.Emit(countCallCrossDomain)
	}
}
