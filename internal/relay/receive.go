package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// receiveResults is the system that applies replies and failures to calls.
func (w *World) receiveResults() {
	for _, e := range w.Inbox() {
		switch e := e.(type) {
		case Replied:
			w.receiveReply(e)
		case CallFailed:
			w.receiveFailure(e)
		}
	}
}

func (w *World) receiveReply(e Replied) {
	id, ok := w.calls.Find(e.Call)
	if !ok {
		w.Emit(Count{"drop", string(model.DropLate)})
		return
	}
	c := w.call.Get(id)
	r := e.Reply
	if w.toCurrentStart(c) {
		w.applyRestrictions(c, r)
	} else {
		w.Emit(Count{"searcher", "formerStart"})
	}
	w.finishGuest(c, GuestResult{Reply: r})
	switch {
	case r.NotRun || r.Misdirected:
		w.handleNotRun(id, c, r)
	case r.Succeeded():
		w.completeCall(id, c, r)
	default:
		w.handleErrorReply(id, c, r)
	}
}

// toCurrentStart reports whether a call was surely sent to the current start of its
// searcher. The host to which it was delegated may not have known that start yet.
func (w *World) toCurrentStart(c call) bool {
	s := w.searcher.Get(c.searcher)
	return s.start == c.start && (c.delegate == 0 || !c.sent.Before(s.startSeenAt.Add(delegateViewLag)))
}

// completeCall applies a successful reply to the part of its call.
func (w *World) completeCall(id table.ID, c call, r Reply) {
	took := w.Now().Sub(c.sent)
	w.endCall(id, c, took, callSucceeded)
	w.routeStat.Get(c.stats).latency.Add(took)
	w.Emit(Observe{"call", took})
	p := w.part.Get(c.part)
	if !w.parts.Has(c.part) || p.state != partOpen {
		if c.guest == 0 {
			w.Emit(Count{"drop", string(model.DropDuplicate)})
		}
		return
	}
	if c.hedge {
		w.Emit(Count{"hedge", "won"})
	}
	w.settlePart(c.part, p.withoutCall(id, false).withReply(r))
}

// handleNotRun handles a reply that reports that the request did not run. A
// misdirected call also takes the searcher out of use, unless it has started anew since.
func (w *World) handleNotRun(id table.ID, c call, r Reply) {
	reason := model.RetryShed
	if r.Misdirected {
		reason = model.RetryDraining
	}
	s := w.searcher.Get(c.searcher)
	switch {
	case !w.toCurrentStart(c):
	case r.Misdirected:
		w.log("searcher address taken over", "searcher", w.searchers.Key(c.searcher),
			"address", s.registration.Searcher.Address, "request", c.request)
		w.searcher.Set(c.searcher, s.withDraining())
		w.changedServices = append(w.changedServices, s.service)
	default:
		w.searcher.Set(c.searcher, s.withShed())
	}
	w.endCall(id, c, w.Now().Sub(c.sent), callDropped)
	w.retryOrSettle(id, c, reason, model.MissingRefused, true)
}

// handleErrorReply handles an error status or an unsigned success.
func (w *World) handleErrorReply(id table.ID, c call, r Reply) {
	w.endCall(id, c, w.Now().Sub(c.sent), callDropped)
	p := w.part.Get(c.part)
	if !w.parts.Has(c.part) || p.state != partOpen {
		return
	}
	w.log("searcher returned an error", "request", c.request, "searcher", w.searchers.Key(c.searcher),
		"status", r.Status, "signed", r.Signature != "")
	p.reply = r
	w.part.Set(c.part, p)
	w.retryOrSettle(id, c, model.RetryTruncated, model.MissingRefused, false)
}

// receiveFailure applies the failure of a call to its searcher and its part.
func (w *World) receiveFailure(e CallFailed) {
	id, ok := w.calls.Find(e.Call)
	if !ok {
		return
	}
	c := w.call.Get(id)
	w.finishGuest(c, GuestResult{Failed: true, Failure: e.Failure, NotRun: e.NotRun, Cause: e.Cause})
	if e.Failure != model.FailureCancelled && e.Failure != model.FailureDelegate {
		if w.toCurrentStart(c) {
			w.searcher.Set(c.searcher, w.searcher.Get(c.searcher).withLoss(w.Now()))
		}
		w.log("call failed", "request", c.request, "searcher", w.searchers.Key(c.searcher), "failure", e.Failure.String(),
			"notRun", e.NotRun, "elapsedMs", milliseconds(w.Now().Sub(c.sent)), "cause", e.Cause,
			"delegate", w.delegateHosts.Key(c.delegate))
	}
	w.Emit(Count{"callFailed", e.Failure.String()})
	end := callDropped
	if (e.Failure == model.FailureLost || e.Failure == model.FailureTruncated) && !e.NotRun {
		end = callLost
	}
	w.endCall(id, c, w.Now().Sub(c.sent), end)
	reason := model.RetryLost
	if e.NotRun {
		reason = model.RetryConnectFailed
	}
	w.retryOrSettle(id, c, reason, model.MissingLost, e.NotRun)
}

// endCall removes a call and updates the statistics of its searcher and its wave.
func (w *World) endCall(id table.ID, c call, took time.Duration, end callEnd) {
	failed := end != callSucceeded
	s := w.searcher.Get(c.searcher)
	ratio := float64(took) / float64(w.routeStat.Get(c.stats).medianLatency())
	if failed {
		ratio = max(ratio, s.currentLatencyRatio(w.Now())) // a failure must not improve the latency estimate
	}
	if w.toCurrentStart(c) {
		s = s.withoutCall(w.Now(), !failed).withSample(ratio, failed, w.Now())
	} else {
		s = s.withoutFormerCall()
	}
	w.searcher.Set(c.searcher, s)
	w.freedServices = append(w.freedServices, s.service)
	w.calls.Remove(id)
	w.endDelegation(c, !failed)
	if c.guest != 0 {
		w.guestCalls.Remove(c.guest)
		return
	}
	w.updateWave(c.wave, end)
}

// retryOrSettle records a failed call on its part. It retries the part at another
// searcher if the route, the deadline and the retry budget allow it.
func (w *World) retryOrSettle(id table.ID, c call, retry model.RetryReason, reason model.MissingReason, notRun bool) {
	p := w.part.Get(c.part)
	if !w.parts.Has(c.part) || p.state != partOpen {
		return
	}
	p = p.withoutCall(id, notRun).withMissingReason(reason)
	w.part.Set(c.part, p)
	r := w.request.Get(p.request)
	if notRun {
		r = r.withCallNotRun()
		w.request.Set(p.request, r)
	}
	switch {
	case r.revoking:
		w.settlePart(c.part, p.withMissing(reason))
	case len(p.activeCalls) > 0: // another call for the part may still succeed
	case !r.route.Idempotent && p.attempts > 0, p.attempts >= r.route.Attempts, !w.Now().Before(r.deadline):
		w.settlePart(c.part, p.withMissing(reason))
	case w.maybeCrashing(r):
		w.part.Set(c.part, p.withRetryReason(retry))
		w.holdPart(c.part)
	default:
		w.part.Set(c.part, p.withRetryReason(retry))
		w.dispatch(c.part)
	}
}

// settlePart sets the outcome of a part. Calls of the part still in flight are
// cancelled after abandonedCallTime.
func (w *World) settlePart(row table.ID, p part) {
	w.part.Set(row, p)
	w.request.Set(p.request, w.request.Get(p.request).withOutcome(p.state == partAnswered))
	w.scheduleCancel(p)
	w.settledRequests = append(w.settledRequests, p.request)
}

// scheduleCancel sets the time at which the remaining calls of a part are
// cancelled.
func (w *World) scheduleCancel(p part) {
	for _, id := range p.activeCalls {
		if w.calls.Has(id) {
			w.cancelTimers.Add(w.Now().Add(abandonedCallTime), id)
		}
	}
}

// cancelDisconnected is the system that ends the requests of callers that
// disconnected. Those that arrive in the same tick, as after a pause of the process, are
// left to admitRequests.
func (w *World) cancelDisconnected() {
	clear(w.disconnected)
	tick.Each(w.Inbox(), func(e CallerDisconnected) {
		id, ok := w.requests.Find(e.Handle)
		if !ok {
			w.disconnected[e.Handle] = true
			return
		}
		r := w.request.Get(id)
		w.Emit(Count{"refusal", string(model.ReasonCallerCancelled)})
		w.log("caller went away", "request", r.received.ID, "route", r.route.Name, "elapsedMs", milliseconds(w.Now().Sub(r.received.Arrived)))
		w.respond(id, newRefusedAnswer(model.NewRefusal(model.ReasonCallerCancelled, "the caller went away").WithExecution(r.execution())))
	})
}
