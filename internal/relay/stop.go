package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// stoppingRetryAfter is the Retry-After of a request that a stopping host refuses. The
// caller can use another host at once.
const stoppingRetryAfter = 20 * time.Millisecond

// Stopping reports that the host shuts down. Each request is answered by AnswerBy.
type Stopping struct{ AnswerBy time.Time }

func (Stopping) event() {}

// applyStop is the system that ends the requests in flight by the end of a shutdown.
func (w *World) applyStop() {
	tick.Each(w.Inbox(), func(e Stopping) {
		w.answerBy = e.AnswerBy
		for id := range w.requests.All() {
			if r := w.request.Get(id); w.answerBy.Before(r.deadline) {
				w.request.Set(id, r.withDeadline(w.answerBy))
				w.requestTimers.Add(w.answerBy, id)
			}
		}
		w.log("host is stopping", "running", w.requests.Len(), "answerByMs", milliseconds(w.answerBy.Sub(w.Now())))
	})
}

// deadline returns the latest time to answer a request on the route.
func (w *World) deadline(q Request, route model.Route) time.Time {
	d := q.deadline(route)
	if !w.answerBy.IsZero() && w.answerBy.Before(d) {
		return w.answerBy
	}
	return d
}

// refusedByStop reports whether a new request must be refused because the host is
// stopping. A request that is not idempotent needs the time until its deadline: cut
// earlier, it would end with an unknown outcome, and the caller could not send it to
// another host. An idempotent one may be repeated elsewhere, so that it is served as
// long as its route's target latency is left.
func (w *World) refusedByStop(q Request, route model.Route) bool {
	if w.answerBy.IsZero() {
		return false
	}
	if !route.Idempotent {
		return w.answerBy.Before(q.deadline(route))
	}
	return w.answerBy.Before(q.Arrived.Add(min(route.TargetLatency, route.Timeout)))
}

// cutByStop reports whether the end of the shutdown is the request's deadline.
func (w *World) cutByStop(r request) bool {
	return !w.answerBy.IsZero() && r.deadline.Equal(w.answerBy) && !w.Now().Before(w.answerBy)
}
