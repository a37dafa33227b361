package serve

import (
	"slices"
	"sync"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
)

// InFlight holds the requests in flight, so that a drain can wait for them. It is
// safe for concurrent use.
type InFlight struct {
	mu       sync.Mutex
	requests map[model.RequestID]bool
	onIdle   func()
}

// NewInFlight returns a flight without requests.
func NewInFlight() *InFlight { return &InFlight{requests: map[model.RequestID]bool{}} }

// Begin counts a request until the returned function is called. After Drain it
// counts nothing.
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

// Drain has idle called once the requests in flight have ended. New ones must be
// refused from before the call on. It may be called once.
func (f *InFlight) Drain(onIdle func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onIdle = onIdle
	if len(f.requests) == 0 {
		f.onIdle()
	}
}

// Requests returns the requests in flight, sorted.
func (f *InFlight) Requests() []model.RequestID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]model.RequestID, 0, len(f.requests))
	for id := range f.requests {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

// otherHosts returns the entry hosts of a service without this one.
func (e *Entry) otherHosts(v view.View, service model.ServiceName) []model.EntryAddress {
	return slices.DeleteFunc(slices.Clone(v.Addresses[service]), func(a model.EntryAddress) bool { return a.Host == e.host })
}
