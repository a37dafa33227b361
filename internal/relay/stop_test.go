package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// stop tells the lane to answer all requests within d and returns that time.
func (l *lane) stop(d time.Duration) time.Time {
	answerBy := l.now.Add(d)
	l.tick(Stopping{AnswerBy: answerBy})
	return answerBy
}

// Guards against a stopping host that passes on a request which may not be repeated
// although its time does not end before the host does, and cuts it at the end of the
// grace period. Requests that may be repeated are served for longer.
func TestStoppingHostRefusesWhatMayOutlastIt(t *testing.T) {
	for _, c := range []struct {
		name, path string
		left       time.Duration
		refused    bool
	}{
		{"non-idempotent, its timeout is left", "/one/", time.Second, false},
		{"non-idempotent, less than its timeout is left", "/one/", time.Second - time.Millisecond, true},
		{"idempotent, less than its timeout is left", "/all/", time.Second - time.Millisecond, false},
		{"idempotent, its target latency is left", "/all/", 150 * time.Millisecond, false},
		{"idempotent, less than its target latency is left", "/all/", 149 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLane(2, nil)
			l.stop(4 * time.Second)
			l.advance(4*time.Second - c.left)
			h := l.submit(c.path)
			a, answered := l.answers[h]
			is.Equal(answered, c.refused)
			is.Equal(len(l.sent) == 0, c.refused)
			if c.refused {
				is.Equal(a.Refusal.Reason, model.ReasonDraining)
				is.Equal(a.Refusal.Execution, model.NotRun)
				is.True(a.RetryAfter > 0)
			}
		})
	}
}

// Guards against requests that a stopping host cuts without an answer: those that
// were passed on before and after the stop signal, and those that wait on the host.
// Whether a request may have run must be told truly.
func TestStoppingHostAnswersAllRequests(t *testing.T) {
	is := is.New(t)
	l := newLane(2, func(_ *View, r *model.Route) { r.Timeout = 8 * time.Second })
	single, before := l.submit("/one/"), l.submit("/all/")
	answerBy := l.stop(500 * time.Millisecond)
	after := l.submit("/all/")
	is.Equal(l.last().Timeout, 500*time.Millisecond) // the searcher must not work longer
	l.advance(499 * time.Millisecond)
	is.Equal(len(l.answers), 0)
	l.advance(time.Millisecond)
	is.Equal(l.now, answerBy)
	for _, h := range []Handle{single, before, after} {
		is.Equal(l.answers[h].Kind, Refused)
		is.Equal(l.answers[h].Refusal.Reason, model.ReasonDraining)
		is.Equal(l.answers[h].Refusal.Execution, model.MayHaveRun)
	}
	is.Equal(l.Running(), 0)
}

// Guards against a partial answer that is withheld at the end of a shutdown.
func TestStoppingHostSendsPartialAnswers(t *testing.T) {
	is := is.New(t)
	l := newLane(2, func(_ *View, r *model.Route) { r.TargetLatency, r.Timeout = time.Second, 8*time.Second })
	h := l.submit("/all/")
	l.reply(l.sent[0], "0123456789abcdef")
	l.stop(200 * time.Millisecond)
	l.advance(200 * time.Millisecond)
	is.Equal(l.answers[h].Kind, Merged)
	is.Equal(l.answers[h].Missing, 1)
}
