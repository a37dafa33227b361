package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

const (
	// quarantineWaves is the number of waves of calls that one request may lose,
	// over all hosts, before it is refused. A request that is sent once more by
	// its caller, with two calls each time, is never refused for losses that have
	// another cause.
	quarantineWaves = 4
	// quarantineFirst is how long it is refused then, and twice as long with each
	// further loss up to quarantineMost: one call finds out after that whether the
	// losses had another cause. A searcher that crashed is back after some
	// seconds, and callers send such a request again within seconds.
	quarantineMin = 20 * time.Second
	quarantineMax = 10 * time.Minute
	// suspectTime is how long a lane remembers a suspect by itself. Control keeps
	// it for longer, and a report reaches control within milliseconds.
	suspectLifetime = time.Minute
	// maxSuspects bounds the suspects of a lane, and those that were cleared; each
	// takes about 100 bytes.
	maxSuspects = 4096
)

// suspicion returns what this host knows of the losses of a request; zero if a
// searcher has survived it since.
func (w *World) findSuspect(f model.Fingerprint) Suspect {
	if f == 0 {
		return Suspect{}
	}
	s := w.view.Suspects[f]
	if id, ok := w.suspects.Find(f); ok {
		if here := w.suspect.Get(id); here.Losses >= s.Losses {
			s = here
		}
	}
	if at, ok := w.survivedAt.Get(f); ok && !at.Before(s.At) {
		return Suspect{}
	}
	return s
}

// judge is the system that tells requests that crash searchers from those that
// lose calls for other reasons. A wave is the calls of a request that are out
// together. If some of its calls were lost with their connections, their parts
// are held until a searcher has survived the request. If all were lost, the
// request is a suspect, and the next wave is one call.
func (w *World) reviewLosses() {
	ended := w.reviewQueue
	w.reviewQueue = w.reviewQueue[:0]
	for _, id := range ended {
		w.reviewRequest(id)
	}
	for i := 0; i < len(w.settledRequests); i++ { // review may settle parts
		w.reviewRequest(w.settledRequests[i])
	}
}

// review looks at a request that may hold parts back.
func (w *World) reviewRequest(id table.ID) {
	if !w.requests.Has(id) {
		return
	}
	r := w.request.Get(id)
	switch {
	case r.survived:
		w.releaseParts(id, len(r.parts))
	case r.activeCalls > 0:
	case r.lostCalls > 0:
		w.recordLostWave(id, r)
	case r.suspect:
		w.releaseParts(id, 1)
	}
}

// recordLoss counts a wave of which all calls were lost, and sends one more
// call unless the request is refused by now.
func (w *World) recordLostWave(id table.ID, r request) {
	f := r.received.Fingerprint
	n := w.findSuspect(f).Losses + 1
	w.request.Set(id, r.withLostWave())
	w.Emit(Count{"suspect", "waveLost"})
	w.log("searchers lost while they ran a request", "request", r.received.ID, "fingerprint", f, "calls", r.lostCalls,
		"waves", n, "quarantined", n >= quarantineWaves)
	if f != 0 {
		w.addSuspect(f, n, n > 1 || r.lostCalls > 1)
	}
	if n < quarantineWaves {
		w.releaseParts(id, 1)
		return
	}
	for _, row := range r.parts {
		if p := w.part.Get(row); p.held {
			w.unholdPart(row)
			w.settlePart(row, w.part.Get(row).withMissing(model.MissingSuspect))
		}
	}
}

// accuse keeps a suspect and reports it to the other hosts. A single lost call
// is not worth telling them; its usual cause is the connection.
func (w *World) addSuspect(f model.Fingerprint, losses int, tell bool) {
	row, fresh := w.suspects.Add(f)
	if fresh && w.suspects.Len() > maxSuspects {
		w.suspects.Remove(row)
		w.Emit(Count{"suspect", "tableFull"})
		return
	}
	w.suspect.Set(row, Suspect{Losses: losses, At: w.Now()})
	if tell {
		w.Emit(LossReport{Fingerprint: f, Losses: losses})
	}
}

// hold keeps a part from being sent until review releases it.
func (w *World) holdPart(row table.ID) {
	p := w.part.Get(row)
	w.part.Set(row, p.withHeld(true))
	w.request.Set(p.request, w.request.Get(p.request).withHeldParts(1))
}

func (w *World) unholdPart(row table.ID) {
	p := w.part.Get(row)
	w.part.Set(row, p.withHeld(false))
	w.request.Set(p.request, w.request.Get(p.request).withHeldParts(-1))
}

// release sends up to a number of the parts that are held.
func (w *World) releaseParts(id table.ID, most int) {
	r := w.request.Get(id)
	if r.heldParts == 0 {
		return
	}
	for _, row := range r.parts {
		if !w.part.Get(row).held || most == 0 {
			continue
		}
		w.unholdPart(row)
		w.dispatch(row)
		most--
	}
}

// prove notes that a searcher survived a request. Other hosts find out by a
// call of their own.
func (w *World) markSurvived(id table.ID, r request) {
	if r.suspect {
		w.log("searcher survived a suspect", "request", r.received.ID, "fingerprint", r.received.Fingerprint)
	}
	if f := r.received.Fingerprint; w.findSuspect(f).Losses > 0 {
		w.survivedAt.Put(f, w.Now())
	}
	w.request.Set(id, r.withSurvived())
}

// forget is the system that drops suspects whose time is over.
func (w *World) expireSuspects() {
	for id := range w.suspects.All() {
		if until := w.suspect.Get(id).At.Add(suspectLifetime); w.Now().Before(until) {
			w.WakeAt(until)
		} else {
			w.suspects.Remove(id)
		}
	}
}
