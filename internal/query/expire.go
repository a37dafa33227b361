package query

import (
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// expire is the system that refuses requests cancelled by their callers and
// queued requests whose deadline has passed, and ends the pending parts of
// running requests whose deadline has passed.
func (w *World) expire() {
	tick.Each(w.Inbox(), func(e RequestCancelled) {
		if id, ok := w.requests.Find(e.Request); ok {
			r := w.request.Get(id)
			w.markChanged(id)
			w.request.Set(id, r.withRefusal(newRefusal(model.ReasonCallerCancelled, "the caller cancelled the request").
				WithExecution(r.execution())))
		}
	})
	w.forEachDue(w.timers.deadlines, func(id table.ID) {
		if w.requests.Has(id) {
			w.markChanged(id)
			w.expireRequest(id, w.request.Get(id))
		}
	})
}

func (w *World) expireRequest(id table.ID, r request) {
	if !r.running {
		w.request.Set(id, r.withRefusal(*newRefusal(model.ReasonDeadlineExpired, "the deadline passed in the queue")))
		return
	}
	w.endParts(r, model.MissingDeadline)
}

// endParts marks every pending part as missing and gives up its calls.
func (w *World) endParts(r request, reason model.MissingReason) {
	for _, id := range r.parts {
		if p := w.part.Get(id); p.state == partPending {
			w.abandonCalls(id)
			w.setPart(id, w.part.Get(id).withMissing(reason))
		}
	}
}

// cutoff is the system that ends requests of scopes with an early cut-off once
// the share of records still pending is small enough.
func (w *World) cutoff() {
	w.forEachDue(w.timers.cutoffs, func(id table.ID) {
		w.request.Set(id, w.request.Get(id).withCutoffAllowed())
		w.markChanged(id)
	})
	for _, id := range w.changedRequests() {
		r := w.request.Get(id)
		if !r.cutoffAllowed || !r.running {
			continue
		}
		if pending := w.pendingRecords(r); pending > 0 &&
			float64(pending) <= r.settings.EarlyShare*float64(r.snapshot.Records()) {
			w.endParts(r, model.MissingCutOff)
		}
	}
}

// scheduleCutoff sets the time after which a request may be cut off early.
func (w *World) scheduleCutoff(id table.ID, r request) {
	if r.settings.CutOffEarly {
		w.timers.cutoffs.Add(r.arrived.Add(scale(r.due.Sub(r.arrived), r.settings.EarlyAfter)), id)
	}
}

func (w *World) pendingRecords(r request) uint64 {
	var n uint64
	for _, id := range r.parts {
		if p := w.part.Get(id); p.state == partPending {
			n += p.shard.Records
		}
	}
	return n
}
