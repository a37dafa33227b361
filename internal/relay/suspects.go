package relay

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

const (
	// quarantineWaves is the number of lost waves of calls (see reviewLosses), over
	// all hosts, from which a request is refused. It allows for a caller that retries once with two
	// calls per attempt and loses calls for a reason other than the request.
	quarantineWaves = 4
	// quarantineMin is how long such a request is refused; the time doubles with
	// each further lost wave up to quarantineMax. After that, a single call tests
	// whether the losses had another cause. Callers repeat such a request for as long
	// as they need its answer, and each test may cost a searcher.
	quarantineMin = time.Minute
	quarantineMax = 10 * time.Minute
	// quarantineTestInterval is the time between the ends of the quarantine on two
	// hosts, so that the other hosts hear of the losses of a test before they test
	// the request too. Gossip reaches a fleet of hundreds within it.
	quarantineTestInterval = 5 * time.Second
	// suspectLifetime is how long a lane itself keeps a suspect. The control thread
	// keeps it longer and gets a report within milliseconds.
	suspectLifetime = time.Minute
	// maxSuspects bounds the suspects of a lane, and separately the survived
	// requests. Each entry takes about 100 bytes.
	maxSuspects = 4096
)

// findSuspect returns the recorded losses of a request, or zero if a searcher has
// survived the request since.
func (w *World) findSuspect(f model.Fingerprint) Suspect {
	if f == 0 {
		return Suspect{}
	}
	s := w.view.Suspects[f]
	if id, ok := w.suspects.Find(f); ok {
		if local := w.suspect.Get(id); local.Losses >= s.Losses {
			s = local
		}
	}
	if at, ok := w.survivedAt.Get(f); ok && !at.Before(s.At) {
		return Suspect{}
	}
	return s
}

// refusedUntil returns the end of a suspect's quarantine on this host, which differs
// between hosts by multiples of quarantineTestInterval.
func (w *World) refusedUntil(f model.Fingerprint, s Suspect) time.Time {
	if s.Losses < quarantineWaves {
		return s.At
	}
	slot := xxhash.Sum64String(string(w.Host)+"/"+strconv.FormatUint(uint64(f), 16)) % uint64(w.view.HostCount)
	return s.RefusedUntil().Add(time.Duration(slot) * quarantineTestInterval)
}

// reviewLosses is the system that distinguishes requests that crash searchers
// (queries of death) from requests that lose calls for other reasons. A wave is
// the set of calls of a request that are in flight together. If some of its calls
// are lost with their connections, their parts are held until a searcher survives
// the request. If some are lost and none succeeds, the request becomes a suspect
// and its next wave is a single call.
func (w *World) reviewLosses() {
	queued := w.reviewQueue
	w.reviewQueue = w.reviewQueue[:0]
	for _, id := range queued {
		w.reviewWave(id)
	}
	for i := 0; i < len(w.settledRequests); i++ { // reviewWave may append
		w.reviewWave(w.request.Get(w.settledRequests[i]).wave)
	}
}

// reviewWave decides whether to release the held parts of a request or to record a
// lost wave. It removes the wave of a request that has ended.
func (w *World) reviewWave(id table.ID) {
	if !w.waves.Has(id) {
		return
	}
	v := w.wave.Get(id)
	switch {
	case v.survived:
		w.releaseParts(v.request, len(w.request.Get(v.request).parts))
	case v.activeCalls > 0:
	case v.lostCalls > 0:
		w.recordLostWave(id, v)
	case v.suspect:
		w.releaseParts(v.request, 1)
	}
	if v.activeCalls == 0 && !w.requests.Has(v.request) {
		w.waves.Remove(id)
	}
}

// recordLostWave records a wave of which calls were lost and none succeeded. It
// releases one more part unless the request has reached quarantineWaves.
func (w *World) recordLostWave(id table.ID, v wave) {
	n := w.countLostWave(id, v)
	if n < quarantineWaves {
		w.releaseParts(v.request, 1)
		return
	}
	for _, row := range w.request.Get(v.request).parts {
		if p := w.part.Get(row); p.held {
			w.unholdPart(row)
			w.settlePart(row, w.part.Get(row).withMissing(model.MissingSuspect))
		}
	}
}

// countLostWave counts a lost wave of a request and returns the number of its lost
// waves over all hosts.
func (w *World) countLostWave(id table.ID, v wave) int {
	f := v.fingerprint
	n := w.findSuspect(f).Losses + 1
	w.wave.Set(id, v.withCounted())
	w.Emit(Count{"suspect", "waveLost"})
	w.log("searchers lost while they ran a request", "request", v.requestID, "fingerprint", f, "calls", v.lostCalls,
		"unanswered", v.activeCalls, "waves", n, "quarantined", n >= quarantineWaves,
		"answered", !w.requests.Has(v.request))
	if f != 0 {
		w.addSuspect(f, n)
	}
	return n
}

// addSuspect records a suspect and reports its loss to the other hosts. A single
// lost call is reported too, although its usual cause is the connection: callers
// repeat a request at other hosts, each of which would lose a call of its own.
func (w *World) addSuspect(f model.Fingerprint, losses int) {
	w.Emit(LossReport{Fingerprint: f, Losses: 1})
	row, added := w.suspects.Add(f)
	if added && w.suspects.Len() > maxSuspects {
		w.suspects.Remove(row)
		w.Emit(Count{"suspect", "tableFull"})
		return
	}
	w.suspect.Set(row, Suspect{Losses: losses, At: w.Now()})
}

// holdPart defers the dispatch of a part until reviewWave releases it.
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

// releaseParts dispatches at most the given number of held parts of a request. It does
// nothing for a request that has ended.
func (w *World) releaseParts(id table.ID, limit int) {
	r := w.request.Get(id)
	if r.heldParts == 0 {
		return
	}
	for _, row := range r.parts {
		if !w.part.Get(row).held || limit == 0 {
			continue
		}
		w.unholdPart(row)
		w.dispatch(row)
		limit--
	}
}

// markSurvived records that a searcher survived the request, and tells the other
// hosts if it was a suspect.
func (w *World) markSurvived(id table.ID, v wave) {
	if v.suspect {
		w.log("searcher survived a suspect", "request", v.requestID, "fingerprint", v.fingerprint)
	}
	if f := v.fingerprint; w.findSuspect(f).Losses > 0 {
		w.survivedAt.Put(f, w.Now())
		w.Emit(SurvivalReport{Fingerprint: f})
	}
	w.wave.Set(id, v.withSurvived())
}

// forgetSurvived removes the suspects of this lane that the new view no longer
// lists, because a searcher of another host survived them.
func (w *World) forgetSurvived(old View) {
	for id := range w.suspects.All() {
		f := w.suspects.Key(id)
		if _, listed := w.view.Suspects[f]; listed {
			continue
		}
		if _, listed := old.Suspects[f]; listed {
			w.suspects.Remove(id)
		}
	}
}

// expireSuspects is the system that removes suspects after suspectLifetime.
func (w *World) expireSuspects() {
	for id := range w.suspects.All() {
		if until := w.suspect.Get(id).At.Add(suspectLifetime); w.Now().Before(until) {
			w.WakeAt(until)
		} else {
			w.suspects.Remove(id)
		}
	}
}
