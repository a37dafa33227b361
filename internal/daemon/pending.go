package daemon

import (
	"context"
	"sync"
)

// pending holds the channels on which handlers wait for answers. It is used by
// the goroutine of a loop and by those of handlers.
type pending[K comparable, A any] struct {
	mu   sync.Mutex
	open map[K]chan A
}

func newPending[K comparable, A any]() *pending[K, A] {
	return &pending[K, A]{open: map[K]chan A{}}
}

// expect returns the channel on which the answer for a key will come.
func (p *pending[K, A]) expect(key K) <-chan A {
	answer := make(chan A, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[key] = answer
	return answer
}

// settle hands an answer to the one who waits for it, if there still is one.
func (p *pending[K, A]) settle(key K, a A) {
	p.mu.Lock()
	answer := p.open[key]
	delete(p.open, key)
	p.mu.Unlock()
	if answer != nil {
		answer <- a
	}
}

// drop forgets a key.
func (p *pending[K, A]) drop(key K) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, key)
}

// awaitAnswer waits for an answer. If the caller goes away, leave is told once, and the
// answer is still waited for. It returns false if the loop has ended without an
// answer, or leave returns false.
func awaitAnswer[A any](ctx context.Context, answer <-chan A, done <-chan struct{}, leave func() bool) (A, bool) {
	gone := ctx.Done()
	for {
		select {
		case a := <-answer:
			return a, true
		case <-gone:
			gone = nil
			if !leave() {
				var none A
				return none, false
			}
		case <-done:
			var none A
			return none, false
		}
	}
}
