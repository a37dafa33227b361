package daemon

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a query that blocks forever because the loop has ended or does
// not answer in time, and against answers delivered to another query.
func TestStatusQueryEnds(t *testing.T) {
	open, closed := make(chan struct{}), make(chan struct{})
	close(closed)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		done chan struct{}
		sent bool
		want error
	}{
		{"not sent", t.Context(), open, false, errClosed},
		{"loop ended", t.Context(), closed, true, errClosed},
		{"context cancelled", cancelled, open, true, context.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := newStatusQuery[int]("read status")
			_, err := q.do(c.ctx, c.done, func(uint64) bool { return c.sent })
			is.True(errors.Is(err, c.want))
			is.Equal(len(q.answers.channels), 0) // the token is removed
		})
	}
	is := is.New(t)
	q := newStatusQuery[int]("read status")
	answer, err := q.do(t.Context(), open, func(token uint64) bool {
		q.deliver(token+1, 2)
		q.deliver(token, 1)
		return true
	})
	is.NoErr(err)
	is.Equal(answer, 1)
}
