package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// receive is the system that applies replies and failures to calls. A reply is
// accepted only if it answers a live call and passes every check.
func (w *World) receive() {
	tick.Each(w.Inbox(), w.receiveReply)
	tick.Each(w.Inbox(), w.receiveFailure)
}

// findCall returns the live call that an event names.
func (w *World) findCall(request model.RequestID, attempt model.Attempt) (table.ID, bool) {
	id, ok := w.calls.Find(attempt)
	if !ok || w.requests.Key(w.call.Get(id).request) != request {
		return 0, false
	}
	return id, true
}

func (w *World) receiveReply(e Replied) {
	id, ok := w.findCall(e.Request, e.Attempt)
	if !ok {
		echoed := e.Reply.Request == e.Request && e.Reply.Attempt == e.Attempt
		w.receiveAbandoned(e.Request, e.Attempt, echoed, false)
		w.Emit(Count{CounterDrop, string(w.dropReason(e))})
		w.recordDrain(e.Searcher, e.Reply.Draining)
		return
	}
	c := w.call.Get(id)
	p := w.part.Get(c.part)
	r := w.request.Get(c.request)
	latency := w.Now().Sub(c.sent)
	if reason, invalid := checkReply(e, r, p); invalid {
		w.Emit(Count{CounterDrop, string(reason)})
		w.endCall(id, w.searcher.Get(c.searcher).withFailure())
		w.failPart(c, model.FailureTruncated, false)
		return
	}
	w.endCall(id, w.searcher.Get(c.searcher).withSuccess(latency, w.slowThreshold(r.service), w.Now()))
	w.recordDrain(e.Searcher, e.Reply.Draining)
	service := w.service.Get(r.service)
	service.latency.Add(latency)
	if r.mode != dispatchUnrestricted {
		w.markChanged(c.request) // its other parts may be sent now
	}
	w.setPart(c.part, p.withoutCall(id).withReply(e.Reply))
	w.cancelCalls(c.part)
	w.markProven(c.request)
}

// dropReason distinguishes a reply for a part that was already searched from
// one that arrived after the part or its request had ended.
func (w *World) dropReason(e Replied) model.DropReason {
	if id, ok := w.requests.Find(e.Request); ok {
		for _, pt := range w.request.Get(id).parts {
			if p := w.part.Get(pt); p.shard.ID == e.Reply.Shard && p.state == partSearched {
				return model.DropDuplicate
			}
		}
	}
	return model.DropLate
}

// checkReply validates a reply against the call that it claims to answer.
func checkReply(e Replied, r request, p part) (model.DropReason, bool) {
	reply := e.Reply
	switch {
	case reply.Request != e.Request || reply.Attempt != e.Attempt || reply.Shard != p.shard.ID:
		return model.DropCrossed, true
	case reply.Version != r.snapshot.Version:
		return model.DropWrongVersion, true
	// A searcher sends all matching hits up to the limit.
	case reply.Count != len(reply.Hits) || uint64(reply.Count) != min(uint64(r.query.Limit), reply.Matches) ||
		reply.Checksum != model.Checksum(reply.Hits):
		return model.DropTruncated, true
	}
	for _, h := range reply.Hits {
		if !p.shard.Contains(h.Record) {
			return model.DropCrossed, true
		}
	}
	return "", false
}

func (w *World) receiveFailure(e CallFailed) {
	id, ok := w.findCall(e.Request, e.Attempt)
	if !ok {
		w.receiveAbandoned(e.Request, e.Attempt, false, e.Failure == model.FailureLost && !e.NotStarted)
		w.recordDrain(e.Searcher, e.Failure == model.FailureDraining)
		return
	}
	c := w.call.Get(id)
	s := w.searcher.Get(c.searcher)
	switch e.Failure {
	case model.FailureShed:
		s = s.withShed(w.rootSettings.AdaptiveLimit)
	case model.FailureDraining:
		w.recordDrain(w.searchers.Key(c.searcher), true)
		s = w.searcher.Get(c.searcher)
	case model.FailureVersionGone:
		until := w.Now().Add(missingVersionTimeout)
		s = s.withMissingVersion(w.request.Get(c.request).snapshot.Version, until)
		w.setIneligible(c.searcher, s, until)
	case model.FailureLost, model.FailureConnect, model.FailureUnsent, model.FailureTruncated:
		s = s.withFailure()
	case model.FailureDeadline, model.FailureCancelled, model.FailureRejected:
		s = s.withLatencyBound(w.Now().Sub(c.sent), w.slowThreshold(s.service), w.Now())
	}
	w.endCall(id, s)
	w.failPart(c, e.Failure, e.NotStarted)
}

// recordDrain stops new work for a draining searcher, even if it announced the
// drain on a call that had already ended, such as the slower call of a hedged
// pair.
func (w *World) recordDrain(id model.SearcherID, draining bool) {
	if row, ok := w.searchers.Find(id); ok && draining {
		until := w.Now().Add(drainTimeout)
		w.setIneligible(row, w.searcher.Get(row).withDraining(until), until)
	}
}

// endCall removes a call and frees its slot at the searcher.
func (w *World) endCall(id table.ID, s searcher) {
	w.freeSlot(w.call.Get(id).searcher, s)
	w.removeCall(id)
}

// freeSlot replaces the component of a searcher after the end of a call.
func (w *World) freeSlot(row table.ID, s searcher) {
	w.searcher.Set(row, s.withInFlightDelta(-1))
	w.changes.searchers = append(w.changes.searchers, row)
}

// removeCall removes a call from its part and request.
func (w *World) removeCall(id table.ID) {
	c := w.call.Get(id)
	w.part.Set(c.part, w.part.Get(c.part).withoutCall(id))
	w.request.Set(c.request, w.request.Get(c.request).withoutCall())
	w.calls.Remove(id)
}

// missingReasons maps a call failure to the reason with which its part goes
// missing.
var missingReasons = map[model.Failure]model.MissingReason{
	model.FailureLost:        model.MissingLost,
	model.FailureConnect:     model.MissingLost,
	model.FailureUnsent:      model.MissingLost,
	model.FailureShed:        model.MissingRefused,
	model.FailureDraining:    model.MissingRefused,
	model.FailureVersionGone: model.MissingVersionGone,
	model.FailureDeadline:    model.MissingDeadline,
	model.FailureCancelled:   model.MissingDeadline,
	model.FailureRejected:    model.MissingRefused,
	model.FailureTruncated:   model.MissingLost,
}

// failPart records a failed call on its part and, if the searcher was lost, on
// the request's fingerprint.
func (w *World) failPart(c call, failure model.Failure, notStarted bool) {
	r := w.request.Get(c.request)
	if notStarted {
		r = r.withCallNotStarted()
		w.request.Set(c.request, r)
	}
	p := w.part.Get(c.part)
	if p.state != partPending {
		return
	}
	w.markChanged(c.request)
	p = p.withFailure(w.searchers.Key(c.searcher), missingReasons[failure])
	w.part.Set(c.part, p)
	if failure == model.FailureLost && !notStarted {
		w.recordLoss(c)
	}
	w.retry(c.part, failure)
}

// retryReasons maps the retryable failures to the counter of the retry. Other
// failures end the part.
var retryReasons = map[model.Failure]model.RetryReason{
	model.FailureLost:        model.RetryLost,
	model.FailureConnect:     model.RetryConnectFailed,
	model.FailureUnsent:      model.RetryConnectFailed,
	model.FailureShed:        model.RetryShed,
	model.FailureDraining:    model.RetryDraining,
	model.FailureVersionGone: model.RetryVersionGone,
	model.FailureTruncated:   model.RetryTruncated,
}

// retry leaves a part pending for another replica if the failure is retryable
// and the budget has a token; otherwise it marks the part as missing. A refusal
// by a searcher that is draining or lacks the index version costs no token,
// because the searcher did no work and each replica refuses so only once.
func (w *World) retry(id table.ID, failure model.Failure) {
	p := w.part.Get(id)
	if p.state != partPending || len(p.liveCalls) > 0 {
		return
	}
	r := w.request.Get(p.request)
	reason, ok := retryReasons[failure]
	budgetExempt := failure == model.FailureDraining || failure == model.FailureVersionGone
	switch {
	case r.suspect && failure == model.FailureLost:
		w.setPart(id, p.withMissing(model.MissingSuspect))
	case !ok:
		w.setPart(id, p.withMissing(p.lastReason))
	case budgetExempt || w.service.Get(r.service).retries.Spend():
		w.Emit(Count{CounterRetry, string(reason)})
	case failure == model.FailureShed:
		// The searcher did no work, so the part backs off instead of going
		// missing.
		w.Emit(Count{CounterRetry, "budgetExhausted"})
		w.backOff(id)
	default:
		w.Emit(Count{CounterRetry, "budgetExhausted"})
		w.setPart(id, p.withMissing(p.lastReason))
	}
}

// cancelCalls cancels the live calls of a part.
func (w *World) cancelCalls(part table.ID) {
	for _, id := range w.part.Get(part).liveCalls {
		w.cancelCall(id)
	}
}

func (w *World) cancelCall(id table.ID) {
	c := w.call.Get(id)
	w.Emit(CancelCall{Request: w.requests.Key(c.request), Attempt: w.calls.Key(id)})
	w.endCall(id, w.searcherAfterCancel(c.searcher, c.sent))
}

// searcherAfterCancel returns a searcher after a call to it was cancelled. The elapsed
// time is a lower bound of the latency.
func (w *World) searcherAfterCancel(row table.ID, sent time.Time) searcher {
	s := w.searcher.Get(row)
	return s.withLatencyBound(w.Now().Sub(sent), w.slowThreshold(s.service), w.Now())
}
