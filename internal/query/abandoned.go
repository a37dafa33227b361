package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// abandonedCallTime is how long a call goes on after its request has ended, if no
// searcher has survived the request yet. Without it, a request whose callers leave
// before the searcher crashes would never become a suspect. A searcher must not work
// more than 500 ms longer than its caller waits.
const abandonedCallTime = 200 * time.Millisecond

// abandonedCall is the component of a call whose request has ended. It occupies a slot
// of its searcher until it ends.
type abandonedCall struct {
	request     model.RequestID
	fingerprint model.Fingerprint
	searcher    table.ID
	sent        time.Time
}

// abandonCalls gives up the live calls of a part whose request ends. Calls of a request
// that a searcher has survived are cancelled at once.
func (w *World) abandonCalls(part table.ID) {
	for _, id := range w.part.Get(part).liveCalls {
		c := w.call.Get(id)
		f := w.request.Get(c.request).fingerprint
		if proven, _ := w.proven.Get(f); proven {
			w.cancelCall(id)
			continue
		}
		row, _ := w.abandoned.Add(w.calls.Key(id))
		w.abandonedCall.Set(row, abandonedCall{w.requests.Key(c.request), f, c.searcher, c.sent})
		w.timers.abandoned.Add(w.Now().Add(abandonedCallTime), row)
		w.removeCall(id)
	}
}

// receiveAbandoned applies the outcome of a call if it is an abandoned one.
func (w *World) receiveAbandoned(request model.RequestID, attempt model.Attempt, survived, lost bool) {
	id, ok := w.abandoned.Find(attempt)
	c := w.abandonedCall.Get(id)
	if !ok || c.request != request {
		return
	}
	switch {
	case survived:
		w.proveFingerprint(c.fingerprint)
	case lost:
		w.countLoss(c.fingerprint, c.searcher)
	}
	s := w.searcher.Get(c.searcher)
	if lost {
		s = s.withFailure()
	}
	w.endAbandoned(id, s)
}

// cancelAbandoned cancels the abandoned calls whose time is over.
func (w *World) cancelAbandoned() {
	w.forEachDue(w.timers.abandoned, func(id table.ID) {
		if w.abandoned.Has(id) {
			c := w.abandonedCall.Get(id)
			w.Emit(CancelCall{Request: c.request, Attempt: w.abandoned.Key(id)})
			w.endAbandoned(id, w.searcherAfterCancel(c.searcher, c.sent))
		}
	})
}

// endAbandoned removes an abandoned call, replaces the component of its searcher and
// frees its slot.
func (w *World) endAbandoned(id table.ID, s searcher) {
	c := w.abandonedCall.Get(id)
	w.freeSlot(c.searcher, s)
	w.abandoned.Remove(id)
	w.markFingerprintChanged(c.fingerprint)
}

// abandonedCalls counts the abandoned calls of a fingerprint.
func (w *World) abandonedCalls(f model.Fingerprint) int {
	n := 0
	for id := range w.abandoned.All() {
		if w.abandonedCall.Get(id).fingerprint == f {
			n++
		}
	}
	return n
}
