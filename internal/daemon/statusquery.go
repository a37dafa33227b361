package daemon

import (
	"context"
	"errors"
	"sync/atomic"

	"toucanpulley.example/internal/fault"
)

// errClosed is returned for a query to a loop that has ended.
var errClosed = errors.New("the loop is closed")

// statusQuery queries the state of a loop's world and matches answers to queries
// by token.
type statusQuery[A any] struct {
	step      string
	lastToken atomic.Uint64
	answers   *pending[uint64, A]
}

// newStatusQuery returns a statusQuery; step is the step named in errors.
func newStatusQuery[A any](step string) *statusQuery[A] {
	return &statusQuery[A]{step: step, answers: newPending[uint64, A]()}
}

// do sends a query with a new token and waits for its answer. It returns an
// error if the context is cancelled or the loop has ended.
func (q *statusQuery[A]) do(ctx context.Context, done <-chan struct{}, send func(token uint64) bool) (A, error) {
	token := q.lastToken.Add(1)
	answer := q.answers.register(token)
	defer q.answers.remove(token)
	var zero A
	if !send(token) {
		return zero, fault.Wrap(errClosed, q.step, "")
	}
	select {
	case a := <-answer:
		return a, nil
	case <-done:
		return zero, fault.Wrap(errClosed, q.step, "")
	case <-ctx.Done():
		return zero, fault.Wrap(ctx.Err(), q.step, "")
	}
}

// deliver sends an answer to the caller that waits for the token, if any.
func (q *statusQuery[A]) deliver(token uint64, a A) { q.answers.deliver(token, a) }
