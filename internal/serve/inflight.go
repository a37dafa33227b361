package serve

import (
	"slices"
	"sync"

	"toucanpulley.example/internal/model"
)

// InFlight tracks the requests in flight, so that a drain can wait for them. It is
// safe for concurrent use.
type InFlight struct {
	mu       sync.Mutex
	requests map[model.RequestID]bool
	onIdle   func()
}

// NewInFlight returns an InFlight without requests.
func NewInFlight() *InFlight { return &InFlight{requests: map[model.RequestID]bool{}} }

// Begin tracks a request until the returned function is called. Requests that
// begin after Drain are not tracked.
func (f *InFlight) Begin(id model.RequestID) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.onIdle != nil {
		return func() {}
	}
	f.requests[id] = true
	return func() { f.end(id) }
}

func (f *InFlight) end(id model.RequestID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, id)
	if f.onIdle != nil && len(f.requests) == 0 {
		f.onIdle()
	}
}

// Drain calls onIdle once the requests in flight have ended. The caller must
// reject new requests before it calls Drain, and may call it only once.
func (f *InFlight) Drain(onIdle func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onIdle = onIdle
	if len(f.requests) == 0 {
		f.onIdle()
	}
}

// Requests returns the sorted ids of the requests in flight.
func (f *InFlight) Requests() []model.RequestID {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := make([]model.RequestID, 0, len(f.requests))
	for id := range f.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
