package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// wave is the component of the calls of a request that are in flight together. The
// same row holds each further wave of the request. It outlives the request until its
// last call has ended: a searcher may crash after the caller has left or got an answer.
type wave struct {
	request     table.ID
	requestID   model.RequestID
	fingerprint model.Fingerprint
	// activeCalls counts the calls without an outcome, and lostCalls those of the
	// current wave that were lost with their connections.
	activeCalls, lostCalls int
	// survived is set once a searcher ran the request without crashing. suspect is
	// set if all calls of an earlier wave were lost, or if losses of its fingerprint
	// were known on arrival.
	survived, suspect bool
	// counted is set once the wave was counted as lost although calls of it are still
	// in flight, so that their losses do not count as another wave.
	counted bool
}

func (v wave) withCall() wave {
	v.activeCalls++
	return v
}

// withEndedCall returns the wave after the end of a call.
func (v wave) withEndedCall(end callEnd) wave {
	v.activeCalls--
	if end == callLost && !v.counted {
		v.lostCalls++
	}
	return v
}

// withCounted returns the wave after it was counted as lost. Without calls in flight,
// the next wave begins.
func (v wave) withCounted() wave {
	v.lostCalls, v.suspect, v.counted = 0, true, v.activeCalls > 0
	return v
}

func (v wave) withSuspect() wave {
	v.suspect = true
	return v
}

func (v wave) withSurvived() wave {
	v.survived = true
	return v
}

// maybeCrashing reports whether another call might crash another searcher.
func (v wave) maybeCrashing() bool { return !v.survived && (v.lostCalls > 0 || v.suspect) }

// lostAt reports whether the wave of a request that ends now counts as lost. At the
// deadline, the calls of a suspect that are still in flight count as lost: a searcher
// that fails with its machine closes no connection.
func (v wave) lostAt(now, deadline time.Time) bool {
	return !v.survived && (v.lostCalls > 0 || v.suspect && v.activeCalls > 0 && !now.Before(deadline))
}

// maybeCrashing reports whether another call of a request might crash another
// searcher.
func (w *World) maybeCrashing(r request) bool { return w.wave.Get(r.wave).maybeCrashing() }

// updateWave applies the end of a call to its wave.
func (w *World) updateWave(id table.ID, end callEnd) {
	if !w.waves.Has(id) {
		return // a call for another host
	}
	v := w.wave.Get(id).withEndedCall(end)
	w.wave.Set(id, v)
	if end == callSucceeded && !v.survived {
		w.markSurvived(id, v)
	}
	w.reviewQueue = append(w.reviewQueue, id)
}

// endRequestWave counts the wave of a request that ends, if it is lost already, and
// removes it if it has no calls in flight. reviewWave removes it otherwise.
func (w *World) endRequestWave(r request) {
	if v := w.wave.Get(r.wave); v.lostAt(w.Now(), r.deadline) {
		w.countLostWave(r.wave, v)
	}
	if w.wave.Get(r.wave).activeCalls == 0 {
		w.waves.Remove(r.wave)
	}
}
