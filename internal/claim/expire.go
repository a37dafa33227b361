package claim

import (
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// expire is the system that answers requests whose deadline has passed. A key
// for which no request waits is kept until none of its writes is unresolved.
func (w *World) expire() {
	for r := range w.waiters.All() {
		wt := w.waiter.Get(r)
		if w.Now().Before(wt.deadline) {
			w.WakeAt(wt.deadline)
			continue
		}
		k := w.key.Get(wt.key)
		if k.phase == phaseClaimed {
			continue // dispatch checks the deadline
		}
		w.key.Set(wt.key, k.withoutWaiter(r))
		w.answer(r, w.deadlineAnswer(k, w.waiters.Key(r)))
		w.abandonIfUnused(wt.key)
	}
}

// deadlineAnswer returns the answer to a request whose deadline has passed.
func (w *World) deadlineAnswer(k keyState, request model.RequestID) model.KeyedAnswer {
	switch k.phase {
	case phasePolling:
		return model.NewKeyedRefusal(request, claimHeldRefusal())
	case phaseDispatched:
		return model.NewKeyedRefusal(request, outcomeUnknownRefusal())
	case phaseRecording:
		return w.outcomeAnswer(request, k.outcome, k.result).WithRepeated(request != k.request.ID)
	case phaseReleasing:
		return model.NewKeyedRefusal(request, k.refusal)
	default:
		if len(k.waiters) > 1 {
			// The request may still run for the other waiting requests.
			return model.NewKeyedRefusal(request, claimHeldRefusal())
		}
		if s := w.partition.Get(k.partition); s.unreachable || s.busy || k.replyLost {
			return model.NewKeyedRefusal(request, platformDownRefusal())
		}
		return model.NewKeyedRefusal(request, model.NewRefusal(model.ReasonDeadlineExpired,
			"the deadline passed before the key was claimed"))
	}
}

// abandonIfUnused drops a key that no request waits for and that was not
// dispatched.
func (w *World) abandonIfUnused(id table.ID) {
	k := w.key.Get(id)
	if len(k.waiters) > 0 {
		return
	}
	switch k.phase {
	case phasePolling:
		w.key.Set(id, k.withPhase(phaseFinished))
	case phaseUnclaimed:
		w.release(id, platformDownRefusal())
	case phaseClaimed, phaseDispatched, phaseRecording, phaseReleasing, phaseFinished:
	}
}
