package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// quarantineLosses is the number of searchers lost to one fingerprint after
// which it is refused. One loss may have another cause.
const quarantineLosses = 2

// sameLossWindow is the time within which calls lost with one searcher are taken to
// have one cause. A crashed searcher takes longer to start.
const sameLossWindow = time.Second

// dispatchMode bounds the calls of a request that may crash searchers.
type dispatchMode uint8

const (
	dispatchUnrestricted dispatchMode = iota
	// dispatchExclusive lets one request of a fingerprint scatter at a time,
	// without hedges.
	dispatchExclusive
	// dispatchCanary lets a request have one call at a time.
	dispatchCanary
)

// modeFor returns the caution for a request until a searcher has survived it.
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

// isSuspect reports whether a searcher was lost to the fingerprint, here or at
// a peer.
func (w *World) isSuspect(fingerprint model.Fingerprint) bool {
	_, here := w.suspects.Find(fingerprint)
	return here || w.view.Suspects[fingerprint]
}

// isQuarantined reports whether the fingerprint is refused.
func (w *World) isQuarantined(fingerprint model.Fingerprint) bool {
	id, ok := w.suspects.Find(fingerprint)
	return ok && w.suspect.Get(id).losses >= quarantineLosses || w.view.Quarantined[fingerprint]
}

// markProven records that a searcher survived a request, and lets its other calls go.
func (w *World) markProven(id table.ID) {
	r := w.request.Get(id)
	if proven, _ := w.proven.Get(r.fingerprint); !proven {
		w.proven.Put(r.fingerprint, true)
		w.markFingerprintChanged(r.fingerprint)
	}
	if row, ok := w.suspects.Find(r.fingerprint); ok && w.suspect.Get(row).losses < quarantineLosses {
		w.suspects.Remove(row)
	}
	if r.mode == dispatchUnrestricted && !r.suspect {
		return
	}
	w.request.Set(id, r.withProven())
	w.markChanged(id)
	for _, part := range r.parts {
		// Parts lost while the request was a suspect are tried again.
		if p := w.part.Get(part); p.state == partMissing && p.reason == model.MissingSuspect {
			w.setPart(part, p.withPending())
		}
	}
}

// canSendCall reports whether the caution of a request lets it send a call. Calls
// of other requests with its fingerprint count, so that requests that arrive
// together cannot crash more searchers than it takes to quarantine them.
func (w *World) canSendCall(r request) bool {
	if r.mode == dispatchUnrestricted {
		return true
	}
	otherCalls := -r.liveCalls
	for _, id := range w.order {
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

// revokeProven takes back the proof of fingerprints that peers newly suspect: their
// next run is a canary.
func (w *World) revokeProven(suspects map[model.Fingerprint]bool) {
	for fp, suspected := range suspects {
		if proven, _ := w.proven.Get(fp); proven && suspected && !w.view.Suspects[fp] {
			w.proven.Put(fp, false)
		}
	}
}

// recordLoss records that a searcher was lost while it ran a request that no
// searcher had survived before.
func (w *World) recordLoss(c call) {
	r := w.request.Get(c.request)
	w.markFingerprintChanged(r.fingerprint)
	if c.proven {
		// The loss probably has another cause, but the next run is a canary.
		w.proven.Put(r.fingerprint, false)
		return
	}
	row, _ := w.suspects.Add(r.fingerprint)
	f := w.suspect.Get(row).withLoss(w.searchers.Key(c.searcher), w.Now(), w.Now().Add(w.root.Quarantine))
	w.suspect.Set(row, f)
	w.Emit(ReportSuspect{Fingerprint: r.fingerprint, Losses: f.losses})
	r = r.withSuspect()
	if f.losses >= quarantineLosses {
		r = r.withRefusal(newRefusal(model.ReasonQuarantined, "%d searchers were lost to this request", f.losses).
			WithExecution(model.MayHaveRun))
	}
	w.request.Set(c.request, r)
}

// markFingerprintChanged has the requests with a fingerprint looked at.
func (w *World) markFingerprintChanged(fingerprint model.Fingerprint) {
	for _, id := range w.order {
		if w.request.Get(id).fingerprint == fingerprint {
			w.markChanged(id)
		}
	}
}

// expireSuspects is the system that drops fingerprints whose quarantine is over.
func (w *World) expireSuspects() {
	for id := range w.suspects.All() {
		if until := w.suspect.Get(id).until; w.Now().Before(until) {
			w.WakeAt(until)
		} else {
			w.suspects.Remove(id)
		}
	}
}
