package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

// admit is the system that takes new requests. It refuses a request, attaches
// it to a key in progress, or starts a claim on a new key.
func (w *World) admit() {
	tick.Each(w.Inbox(), func(Stopping) { w.stopping = true })
	tick.Each(w.Inbox(), func(e Submitted) {
		settings, refusal := w.validate(e.Request)
		if refusal != nil {
			w.refuse(e.Request.ID, *refusal)
			return
		}
		if id, ok := w.keys.Find(KeyOf(e.Request)); ok {
			w.joinOrAnswer(id, e.Request)
			return
		}
		w.startClaim(e.Request, settings)
	})
}

func (w *World) refuse(id model.RequestID, r model.Refusal) {
	w.Emit(Resolve{Request: id, Answer: model.NewKeyedRefusal(id, r).WithRevision(w.view.Revision)})
}

// validate returns the settings that apply to a request, or its refusal.
func (w *World) validate(r model.KeyedRequest) (tree.Settings, *model.Refusal) {
	settings, refusal := w.view.Resolve(r.Account, r.Service, "")
	if refusal != nil {
		return settings, refusal
	}
	reject := func(reason model.Reason, format string, args ...any) (tree.Settings, *model.Refusal) {
		refusal := model.NewRefusal(reason, format, args...)
		return settings, &refusal
	}
	switch {
	case w.stopping:
		return reject(model.ReasonDraining, "the host is shutting down")
	case r.Key == "":
		return reject(model.ReasonKeyMissing, "the request has no key")
	case r.Issued.Before(w.Now().Add(-settings.KeyWindow)) || r.Issued.After(w.Now().Add(MaxClockSkew)):
		return reject(model.ReasonKeyOutsideWindow,
			"this request did not run, but what became of earlier ones with its key is no longer known; "+
				"allowed: a key issued in the last %s", settings.KeyWindow)
	case !w.Now().Before(r.Deadline.Add(-settings.ReturnAllowance)):
		return reject(model.ReasonDeadlineTooShort, "the deadline leaves no time")
	case w.waiters.Len() >= maxWaitingRequests || w.waitingBytes+len(r.Body) > maxWaitingBytes:
		return reject(model.ReasonQueueFull, "too many requests with keys wait on this host")
	}
	if _, ok := w.chooseSearcher(r.Service); !ok {
		return reject(model.ReasonNoReplica, "no searcher of service %q takes new work", r.Service)
	}
	return settings, nil
}

// startClaim adds a row for a new key, which the write system then claims.
func (w *World) startClaim(r model.KeyedRequest, settings tree.Settings) {
	number := KeyOf(r).Partition()
	row, isNew := w.partitions.Add(number)
	if isNew {
		w.partition.Set(row, partitionState{content: Partition{Number: number}})
	}
	s := w.partition.Get(row)
	if s.unreachable && w.Now().Before(s.retryAt) {
		w.refuse(r.ID, platformDownRefusal())
		return
	}
	w.partition.Set(row, s.withUsedAt(w.Now()).withChanged(s.known))
	id, _ := w.keys.Add(KeyOf(r))
	w.key.Set(id, keyState{
		request: r, bodyHash: xxhash.Sum64(r.Body), partition: row,
		window: settings.KeyWindow, returnAllowance: settings.ReturnAllowance,
	})
	w.addWaiter(id, r)
}

// addWaiter adds a request to those that wait for the outcome of a key.
func (w *World) addWaiter(id table.ID, r model.KeyedRequest) {
	row, _ := w.waiters.Add(r.ID)
	w.waiter.Set(row, waiterState{key: id, deadline: r.Deadline, bytes: len(r.Body)})
	w.key.Set(id, w.key.Get(id).withWaiter(row, r.Deadline))
	w.waitingBytes += len(r.Body)
}

// joinOrAnswer attaches a request to a key in progress, or answers it at once.
func (w *World) joinOrAnswer(id table.ID, r model.KeyedRequest) {
	k := w.key.Get(id)
	if !sameRequest(r, k.request.Issued, k.bodyHash) {
		w.refuse(r.ID, keyReusedRefusal())
		return
	}
	switch k.phase {
	case phaseRecording:
		w.Emit(Resolve{Request: r.ID, Answer: w.outcomeAnswer(r.ID, k.outcome, k.result).WithRepeated(true)})
	case phaseReleasing:
		w.refuse(r.ID, model.NewRefusal(model.ReasonClaimHeld, "the claim of an earlier request with this key is being released"))
	default:
		w.addWaiter(id, r)
	}
}

// sameRequest reports whether a request has the same body and time of issue as
// the earlier one with its key.
func sameRequest(r model.KeyedRequest, issued time.Time, body uint64) bool {
	return r.Issued.Equal(issued) && xxhash.Sum64(r.Body) == body
}

// outcomeAnswer returns the answer that a recorded outcome gives.
func (w *World) outcomeAnswer(id model.RequestID, s State, result []byte) model.KeyedAnswer {
	switch s {
	case Done:
		return model.NewKeyedResult(id, result).WithRevision(w.view.Revision)
	case Oversize:
		return model.NewKeyedRefusal(id, model.NewRefusal(model.ReasonTooLarge,
			"the request ran, but its result is larger than %d bytes and was not recorded", MaxResultBytes).
			WithExecution(model.MayHaveRun)).WithRevision(w.view.Revision)
	default:
		return model.NewKeyedRefusal(id, outcomeUnknownRefusal()).WithRevision(w.view.Revision)
	}
}

func platformDownRefusal() model.Refusal {
	return model.NewRefusal(model.ReasonPlatformDown, "the platform that holds the claims on keys cannot be reached")
}

func keyReusedRefusal() model.Refusal {
	return model.NewRefusal(model.ReasonBadRequest,
		"the key was used with another body or time of issue; a repeated request must equal the first")
}

func outcomeUnknownRefusal() model.Refusal {
	return model.NewRefusal(model.ReasonOutcomeUnknown,
		"a request with this key was dispatched, and it is not known whether it ran; it will not run again").
		WithExecution(model.MayHaveRun)
}

func claimHeldRefusal() model.Refusal {
	return model.NewRefusal(model.ReasonClaimHeld,
		"another request with this key is running; send it again to learn the outcome").
		WithExecution(model.MayHaveRun)
}
