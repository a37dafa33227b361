package daemon

import (
	"context"
	"errors"
	"sync/atomic"

	"toucanpulley.example/internal/fault"
)

// errClosed is the error of a question to a loop that has ended.
var errClosed = errors.New("the loop is closed")

// statusQuery holds those who wait for what the world of a loop says of its state.
type statusQuery[A any] struct {
	step      string
	lastToken atomic.Uint64
	answers   *pending[uint64, A]
}

// newStatusQuery returns questions without any open; step is for errors.
func newStatusQuery[A any](step string) *statusQuery[A] {
	return &statusQuery[A]{step: step, answers: newPending[uint64, A]()}
}

// do sends a question with a token and waits for its answer, until the context
// or the loop ends.
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

// deliver hands an answer to the one who asked.
func (q *statusQuery[A]) deliver(token uint64, a A) { q.answers.deliver(token, a) }
