package daemon

import (
	"context"
	"sync"
)

// pending holds the channels on which handlers wait for answers. It is safe for
// concurrent use by a loop and its handlers.
type pending[K comparable, A any] struct {
	mu       sync.Mutex
	channels map[K]chan A
}

func newPending[K comparable, A any]() *pending[K, A] {
	return &pending[K, A]{channels: map[K]chan A{}}
}

// register returns a channel that receives the answer for a key.
func (p *pending[K, A]) register(key K) <-chan A {
	answer := make(chan A, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.channels[key] = answer
	return answer
}

// deliver sends an answer to the handler that waits for the key, if any, and
// removes the key.
func (p *pending[K, A]) deliver(key K, a A) {
	p.mu.Lock()
	answer := p.channels[key]
	delete(p.channels, key)
	p.mu.Unlock()
	if answer != nil {
		answer <- a
	}
}

func (p *pending[K, A]) remove(key K) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.channels, key)
}

// awaitAnswer waits for an answer. If the context is cancelled, it calls cancel
// once and continues to wait. It returns false if done is closed first or if
// cancel returns false.
func awaitAnswer[A any](ctx context.Context, answer <-chan A, done <-chan struct{}, cancel func() bool) (A, bool) {
	cancelled := ctx.Done()
	for {
		select {
		case a := <-answer:
			return a, true
		case <-cancelled:
			cancelled = nil
			if !cancel() {
				var zero A
				return zero, false
			}
		case <-done:
			var zero A
			return zero, false
		}
	}
}
