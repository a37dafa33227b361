package claim

import (
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// reconcile is the system that updates the state of each key from new content
// of its partition.
func (w *World) reconcile() {
	for id := range w.keys.All() {
		k := w.key.Get(id)
		s := w.partition.Get(k.partition)
		if !s.changed {
			continue
		}
		found, ok := s.content.Claim(w.keys.Key(id))
		own := ok && found.Nonce == k.request.ID
		switch k.phase {
		case phaseUnclaimed, phasePolling:
			w.reconcileClaim(id, k, found, ok, own)
		case phaseRecording:
			if !own || found.State != Held {
				// The outcome is recorded, or the claim was removed as older
				// than the key window.
				w.finish(id, w.outcomeAnswer(k.request.ID, k.outcome, k.result))
			}
		case phaseReleasing:
			w.reconcileRelease(id, k, s, own)
		case phaseClaimed, phaseDispatched, phaseFinished:
		}
	}
	for r := range w.partitions.All() {
		w.partition.Set(r, w.partition.Get(r).withChanged(false))
	}
}

// reconcileClaim updates a key that this host has not claimed yet.
func (w *World) reconcileClaim(id table.ID, k keyState, found Claim, ok, own bool) {
	s := w.partition.Get(k.partition)
	switch {
	case own:
		w.key.Set(id, k.withClaim())
	case !ok:
		if s.content.Version > k.replacedVersion && !k.writePending {
			k = k.withoutClaim()
		}
		w.key.Set(id, k.withPhase(phaseUnclaimed))
	case !sameRequest(k.request, found.Issued, found.BodyHash):
		w.finish(id, model.NewKeyedRefusal(k.request.ID, keyReusedRefusal()))
	case found.State != Held:
		w.finish(id, w.outcomeAnswer(k.request.ID, found.State, found.Result).WithRepeated(true))
	case w.Now().After(found.Until):
		// The owner crashed or lost its connection to the platform. The claim
		// is kept, so that the request never runs again.
		w.finish(id, model.NewKeyedRefusal(k.request.ID, outcomeUnknownRefusal()))
	default:
		w.key.Set(id, k.withoutClaim().withPhase(phasePolling))
		w.partition.Set(k.partition, s.withPollAt(w.Now().Add(pollInterval)))
	}
}

// reconcileRelease finishes the release once the claim is certain to be absent.
// While the partition is at the version that the claim write was to replace,
// that write may still take effect.
func (w *World) reconcileRelease(id table.ID, k keyState, s partitionState, own bool) {
	if !own && !k.writePending && s.content.Version > k.replacedVersion {
		w.finish(id, model.NewKeyedRefusal(k.request.ID, k.refusal))
	}
}

// release refuses a request that did not run. If its claim may have been
// written, it is removed first.
func (w *World) release(id table.ID, r model.Refusal) {
	k := w.key.Get(id)
	if k.claimWriteAt.IsZero() && !k.writePending {
		w.finish(id, model.NewKeyedRefusal(k.request.ID, r))
		return
	}
	w.key.Set(id, k.withRelease(r))
}

// finish answers every request that waits for a key and marks the key as
// finished.
func (w *World) finish(id table.ID, a model.KeyedAnswer) {
	w.answerAll(id, a)
	w.key.Set(id, w.key.Get(id).withPhase(phaseFinished))
}

// answerAll answers every request that waits for a key.
func (w *World) answerAll(id table.ID, a model.KeyedAnswer) {
	k := w.key.Get(id)
	for _, r := range k.waiters {
		w.answer(r, a.WithRepeated(a.Repeated || w.waiters.Key(r) != k.request.ID))
	}
	w.key.Set(id, k.withoutWaiters())
}

func (w *World) answer(row table.ID, a model.KeyedAnswer) {
	request := w.waiters.Key(row)
	a.Request = request
	w.Emit(Resolve{Request: request, Answer: a.WithRevision(w.view.Revision)})
	w.waitingBytes -= w.waiter.Get(row).bytes
	w.waiters.Remove(row)
}
