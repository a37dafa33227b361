package claim

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// avoidPeriod is how long a searcher is chosen last after it refused a request
// or could not be reached.
const avoidPeriod = 2 * time.Second

// dispatch is the system that sends each request whose claim was confirmed in
// this tick, or refuses it. No key stays in phaseClaimed after it, so a host
// that resumes after a pause cannot dispatch on a claim that it wrote before
// the pause.
func (w *World) dispatch() {
	for id := range w.keys.All() {
		k := w.key.Get(id)
		if k.phase != phaseClaimed {
			continue
		}
		deadline, notAfter := k.deadline.Add(-k.returnAllowance), k.claimWriteAt.Add(MaxDispatchDelay)
		if !w.Now().Before(deadline) {
			w.release(id, model.NewRefusal(model.ReasonDeadlineExpired, "the deadline passed before the dispatch"))
			continue
		}
		if w.Now().After(notAfter) {
			w.release(id, model.NewRefusal(model.ReasonPlatformDown,
				"the claim was confirmed more than %s after it was written", MaxDispatchDelay))
			continue
		}
		searcher, ok := w.chooseSearcher(k.request.Service)
		if !ok {
			w.release(id, model.NewRefusal(model.ReasonNoReplica, "no searcher of service %q takes new work", k.request.Service))
			continue
		}
		w.setSearcher(searcher.ID, w.searcherState(searcher.ID).withRunningDelta(1))
		w.key.Set(id, k.withPhase(phaseDispatched).withSearcher(searcher.ID))
		w.Emit(Send{Request: k.request, Searcher: searcher, Deadline: deadline, NotAfter: notAfter})
	}
}

// finishDispatch is the system that processes the results of dispatches.
func (w *World) finishDispatch() {
	tick.Each(w.Inbox(), func(e SendDone) {
		id, _ := w.keys.Find(KeyOf(e.Request))
		k := w.key.Get(id)
		if k.phase != phaseDispatched || k.request.ID != e.Request.ID {
			return
		}
		s := w.searcherState(k.searcher).withRunningDelta(-1)
		if !e.Completed {
			s = s.withAvoidUntil(w.Now().Add(avoidPeriod))
		}
		w.setSearcher(k.searcher, s)
		switch {
		case !e.Completed && e.NotStarted:
			w.key.Set(id, k.withRelease(notStartedRefusal(e.Failure)))
		case !e.Completed:
			w.key.Set(id, k.withOutcome(Unknown, nil))
		case len(e.Result) > MaxResultBytes:
			// The waiting requests get the result; only later ones do not.
			w.answerAll(id, w.outcomeAnswer(k.request.ID, Done, e.Result))
			w.key.Set(id, w.key.Get(id).withOutcome(Oversize, nil))
		default:
			w.key.Set(id, k.withOutcome(Done, e.Result))
		}
	})
}

// notStartedRefusal returns the refusal of a request that the searcher provably
// did not start.
func notStartedRefusal(f model.Failure) model.Refusal {
	switch f {
	case model.FailureDeadline, model.FailureCancelled:
		return model.NewRefusal(model.ReasonDeadlineExpired, "the deadline passed before the searcher started")
	case model.FailureRejected:
		return model.NewRefusal(model.ReasonBadRequest, "the searcher refused the request before it started")
	default:
		return model.NewRefusal(model.ReasonNoReplica, "the searcher did not start the request (%s)", f)
	}
}
