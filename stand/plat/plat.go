// Package plat provides in-memory stand-ins for the platform, for tests and the dev
// command: versioned objects with conditional updates and watches, a host list, and
// fault injection.
//
// # Usage
//
//	p := plat.New()
//	p.SetFaults(plat.Faults{Down: true})
//	http.Serve(listener, p.Handler())
package plat

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"toucanpulley.example/internal/store"
)

// Faults are the faults injected into the platform. The zero value injects none.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LostReplies is the number of writes that are applied and then fail, starting with
	// the next one.
	LostReplies int
	// Stale makes reads and watches return the objects as they were when it was set.
	Stale bool
}

// ErrDown is the cause of errors returned while the platform is down.
var ErrDown = errors.New("platform is down")

// Calls holds the number of calls by type. Waiting is the number of watches in
// progress.
type Calls struct {
	Reads, Writes, Watches, Waiting int64
}

// Platform is a stand-in for the platform. It implements store.Store and is safe for
// concurrent use.
type Platform struct {
	mu           sync.Mutex
	version      uint64
	objects      map[string]store.Object
	staleObjects map[string]store.Object
	hosts        []store.HostEntry
	faults       Faults
	calls        Calls
	changed      chan struct{}
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: map[string]store.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults and wakes waiting watches.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Stale && !p.faults.Stale {
		p.staleObjects = maps.Clone(p.objects)
	}
	p.faults = f
	p.notifyWatches()
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []store.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// Calls returns the numbers of calls so far.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// beginCall counts a call, applies the delay and fails while the platform is down.
func (p *Platform) beginCall(ctx context.Context, count func(*Calls)) error {
	p.mu.Lock()
	count(&p.calls)
	faults := p.faults
	p.mu.Unlock()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return errors.Join(store.ErrUnavailable, ctx.Err())
		}
	}
	if faults.Down {
		return errors.Join(store.ErrUnavailable, ErrDown)
	}
	return nil
}

// visibleObjects returns the objects that reads see. The caller must hold mu.
func (p *Platform) visibleObjects() map[string]store.Object {
	if p.faults.Stale {
		return p.staleObjects
	}
	return p.objects
}

// Get returns an object. It returns store.ErrNotFound if there is none.
func (p *Platform) Get(ctx context.Context, name string) (store.Object, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.visibleObjects()[name]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return o, nil
}

// Put creates or replaces an object if it has the expected version.
func (p *Platform) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (store.Object, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Writes++ }); err != nil {
		return store.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(value) > store.MaxValueBytes {
		return store.Object{}, errors.Join(store.ErrUnavailable, errors.New("value is larger than a megabyte"))
	}
	if p.objects[name].Version != ifVersion {
		return store.Object{}, store.ErrConflict
	}
	p.version++
	o := store.Object{Name: name, Version: p.version, Value: slices.Clone(value)}
	p.objects[name] = o
	p.notifyWatches()
	if p.faults.LostReplies > 0 {
		p.faults.LostReplies--
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return o, nil
}

// List returns the objects whose names have a prefix, and the platform's version.
func (p *Platform) List(ctx context.Context, prefix string) ([]store.Object, uint64, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objectsAfter(prefix, 0), p.version, nil
}

// Watch waits until there are objects with a prefix that are newer than a version. If
// the context ends first, it returns none.
func (p *Platform) Watch(ctx context.Context, prefix string, after uint64) ([]store.Object, uint64, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Watches++; c.Waiting++ }); err != nil {
		p.endWatch()
		return nil, 0, err
	}
	defer p.endWatch()
	for {
		p.mu.Lock()
		if p.faults.Down {
			p.mu.Unlock()
			return nil, 0, errors.Join(store.ErrUnavailable, ErrDown)
		}
		found, version, changed := p.objectsAfter(prefix, after), p.version, p.changed
		p.mu.Unlock()
		if len(found) > 0 {
			return found, version, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, nil
		}
	}
}

func (p *Platform) endWatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Waiting--
}

// Hosts returns the host list.
func (p *Platform) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	if err := p.beginCall(ctx, func(c *Calls) { c.Reads++ }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.hosts), nil
}

// objectsAfter returns the objects with a prefix that are newer than a version, sorted
// by name. The caller must hold mu.
func (p *Platform) objectsAfter(prefix string, after uint64) []store.Object {
	var found []store.Object
	for n, o := range p.visibleObjects() {
		if strings.HasPrefix(n, prefix) && o.Version > after {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b store.Object) int { return strings.Compare(a.Name, b.Name) })
	return found
}

// notifyWatches wakes waiting watches. The caller must hold mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}
