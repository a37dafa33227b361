package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// quarantineLosses is the number of searchers lost to one fingerprint after
// which it is refused. A single loss may have another cause.
const quarantineLosses = 2

// sameLossWindow is the time within which the losses of calls at one searcher
// are attributed to one crash. A crashed searcher takes longer to restart.
const sameLossWindow = time.Second

// dispatchMode restricts the calls of a request that may crash searchers.
type dispatchMode uint8

const (
	dispatchUnrestricted dispatchMode = iota
	// dispatchExclusive allows calls of one request per fingerprint at a time,
	// without hedges.
	dispatchExclusive
	// dispatchCanary allows a request one call at a time.
	dispatchCanary
)

// modeFor returns the dispatch mode of a fingerprint. It is unrestricted once a
// searcher has survived the fingerprint.
func (w *World) modeFor(fingerprint model.Fingerprint, setting tree.Canary) dispatchMode {
	if setting == tree.CanaryOff {
		return dispatchUnrestricted
	}
	proven, known := w.proven.Get(fingerprint)
	if proven {
		return dispatchUnrestricted
	}
	if setting == tree.CanaryUnseen || known || w.isSuspect(fingerprint) {
		return dispatchCanary
	}
	return dispatchExclusive
}

// isSuspect reports whether this lane or a peer lost a searcher to the
// fingerprint.
func (w *World) isSuspect(fingerprint model.Fingerprint) bool {
	_, local := w.suspects.Find(fingerprint)
	return local || w.view.Suspects[fingerprint]
}

// isQuarantined reports whether requests with the fingerprint are refused.
func (w *World) isQuarantined(fingerprint model.Fingerprint) bool {
	id, ok := w.suspects.Find(fingerprint)
	return ok && w.suspect.Get(id).losses >= quarantineLosses || w.view.Quarantined[fingerprint]
}

// markProven records that a searcher survived a request and lifts the
// restriction on its other calls.
func (w *World) markProven(id table.ID) {
	r := w.request.Get(id)
	w.proveFingerprint(r.fingerprint)
	if r.mode == dispatchUnrestricted && !r.suspect {
		return
	}
	w.request.Set(id, r.withProven())
	w.markChanged(id)
	for _, pt := range r.parts {
		// Parts that went missing while the request was a suspect are retried.
		if p := w.part.Get(pt); p.state == partMissing && p.reason == model.MissingSuspect {
			w.setPart(pt, p.withPending())
		}
	}
}

// proveFingerprint records that a searcher survived a fingerprint.
func (w *World) proveFingerprint(f model.Fingerprint) {
	if proven, _ := w.proven.Get(f); !proven {
		w.proven.Put(f, true)
		w.markFingerprintChanged(f)
	}
	suspected := w.isSuspect(f)
	if row, ok := w.suspects.Find(f); ok && w.suspect.Get(row).losses < quarantineLosses {
		w.suspects.Remove(row)
	}
	if suspected && !w.isQuarantined(f) {
		w.Emit(ReportSurvival{Fingerprint: f})
	}
}

// canSendCall reports whether the dispatch mode of a request allows it another
// call. Calls of other requests with its fingerprint count too, so that
// concurrent requests cannot crash more searchers than it takes to quarantine
// them.
func (w *World) canSendCall(r request) bool {
	if r.mode == dispatchUnrestricted {
		return true
	}
	otherCalls := w.abandonedCalls(r.fingerprint) - r.liveCalls
	for _, id := range w.running {
		if other := w.request.Get(id); other.fingerprint == r.fingerprint {
			otherCalls += other.liveCalls
		}
	}
	if r.mode == dispatchExclusive {
		return otherCalls == 0
	}
	losses := 0
	if row, ok := w.suspects.Find(r.fingerprint); ok {
		losses = w.suspect.Get(row).losses
	}
	return r.liveCalls == 0 && otherCalls+losses < quarantineLosses
}

// revokeProven clears the proven state of fingerprints that peers newly
// suspect. Their next run is a canary.
func (w *World) revokeProven(suspects map[model.Fingerprint]bool) {
	for fp, s := range suspects {
		if proven, _ := w.proven.Get(fp); proven && s && !w.view.Suspects[fp] {
			w.proven.Put(fp, false)
		}
	}
}

// recordLoss records that a searcher was lost while it ran a request. The loss
// counts towards quarantine unless a searcher had already survived the
// fingerprint.
func (w *World) recordLoss(c call) {
	r := w.request.Get(c.request)
	w.markFingerprintChanged(r.fingerprint)
	if c.proven {
		// The loss probably has another cause, but the next run is a canary.
		w.proven.Put(r.fingerprint, false)
		return
	}
	losses := w.countLoss(r.fingerprint, c.searcher)
	r = r.withSuspect()
	if losses >= quarantineLosses {
		r = r.withRefusal(newRefusal(model.ReasonQuarantined, "%d searchers were lost to this request", losses).
			WithExecution(model.MayHaveRun))
	}
	w.request.Set(c.request, r)
}

// countLoss counts a searcher that was lost while it ran a fingerprint, and returns the
// number of losses on this lane.
func (w *World) countLoss(f model.Fingerprint, searcher table.ID) int {
	row, _ := w.suspects.Add(f)
	known := w.suspect.Get(row).losses
	s := w.suspect.Get(row).withLoss(w.searchers.Key(searcher), w.Now(), w.Now().Add(w.rootSettings.Quarantine))
	w.suspect.Set(row, s)
	if s.losses > known {
		w.Emit(ReportSuspect{Fingerprint: f, Losses: s.losses})
	}
	return s.losses
}

// markFingerprintChanged schedules the running requests with a fingerprint for
// this tick.
func (w *World) markFingerprintChanged(fingerprint model.Fingerprint) {
	for _, id := range w.running {
		if w.request.Get(id).fingerprint == fingerprint {
			w.markChanged(id)
		}
	}
}

// expireSuspects is the system that drops suspected fingerprints once their
// time is over.
func (w *World) expireSuspects() {
	for id := range w.suspects.All() {
		if until := w.suspect.Get(id).until; w.Now().Before(until) {
			w.WakeAt(until)
		} else {
			w.suspects.Remove(id)
		}
	}
}
