package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/store"
)

const (
	headName    = "settings/head"
	indexPrefix = "index/"

	// hostListInterval is the interval at which a watcher reads the host list.
	// Together with the lag of the list it bounds how long a leaving searcher
	// still gets new work.
	hostListInterval = time.Second
	// readTimeout limits one full read of the platform, which takes several calls.
	readTimeout = 15 * time.Second
	// minRetryDelay and maxRetryDelay bound a watcher's delay after a failed call.
	// Settings must be in force on all hosts within 3 s of the end of an outage.
	// Short delays are affordable because there are few watchers: 46 of them make
	// at most 184 calls a second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

// watcher reads data from the platform and sends it to the control loop. The
// commands of the control loop make it watch the platform or read it once.
type watcher struct {
	store  store.Store
	send   func(ctrl.Event) bool
	bundle func() spread.Bundle
	log    hclog.Logger

	calls  sync.WaitGroup
	cancel context.CancelFunc
}

// backoff waits after failed calls with a jittered exponential delay, so that
// hosts that fail at the same time do not retry at the same time.
type backoff struct{ delay time.Duration }

func (b *backoff) wait(ctx context.Context) {
	b.delay = min(max(b.delay*2, minRetryDelay), maxRetryDelay)
	sleep(ctx, b.delay/2+rand.N(b.delay/2))
}

func (b *backoff) reset() { b.delay = 0 }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// start watches the platform until stop is called. Only the goroutine of the
// control loop calls start and stop.
func (w *watcher) start(ctx context.Context) {
	w.stop()
	ctx, w.cancel = context.WithCancel(ctx)
	w.calls.Go(func() {
		w.watch(ctx, headName, func(b spread.Bundle) uint64 { return b.Head.Version }, w.loadSettings)
	})
	w.calls.Go(func() {
		w.watch(ctx, indexPrefix, func(b spread.Bundle) uint64 { return b.IndexVersion }, w.loadIndexes)
	})
	w.calls.Go(func() { w.pollHosts(ctx) })
}

// stop cancels the watches without waiting for them to return.
func (w *watcher) stop() {
	if w.cancel != nil {
		w.cancel()
		w.cancel = nil
	}
}

// watch watches the objects with a prefix and handles changes until the context
// is cancelled. versionOf returns the version to start after.
func (w *watcher) watch(ctx context.Context, prefix string, versionOf func(spread.Bundle) uint64, handle func(context.Context, []store.Object) error) {
	after := versionOf(w.bundle())
	var delay backoff
	for ctx.Err() == nil {
		startedAt := time.Now()
		objects, version, err := w.store.Watch(ctx, prefix, after)
		if err == nil && len(objects) > 0 {
			err = handle(ctx, objects)
		}
		if err != nil {
			w.waitAfterFailure(ctx, &delay, "watch "+prefix, err)
			continue
		}
		if ctx.Err() == nil {
			w.send(ctrl.SpreadEvent{Event: spread.PlatformAnswered{Settings: prefix == headName, StartedAt: startedAt}})
		}
		delay.reset()
		after = max(after, version)
	}
}

// waitAfterFailure logs a failed call and waits for the backoff delay, unless
// the context is cancelled.
func (w *watcher) waitAfterFailure(ctx context.Context, delay *backoff, step string, err error) {
	if ctx.Err() != nil {
		return
	}
	w.log.Warn("platform call failed", "step", step, "error", err)
	delay.wait(ctx)
}

// loadSettings loads the head with its segments and sends them to the control
// loop.
func (w *watcher) loadSettings(ctx context.Context, objects []store.Object) error {
	for _, o := range objects {
		if o.Name != headName {
			continue
		}
		b, t, err := w.newLoader().load(ctx, toObject(o), nil, nil)
		if err != nil {
			return err
		}
		w.send(ctrl.SpreadEvent{Event: spread.ObjectsLoaded{Bundle: b, Tree: t}})
	}
	return nil
}

// loadIndexes loads index objects and sends them to the control loop.
func (w *watcher) loadIndexes(ctx context.Context, objects []store.Object) error {
	b, t, err := w.newLoader().load(ctx, spread.Object{}, nil, toObjects(objects))
	if err != nil {
		return err
	}
	w.send(ctrl.SpreadEvent{Event: spread.ObjectsLoaded{Bundle: b, Tree: t}})
	return nil
}

func (w *watcher) newLoader() loader {
	return loader{base: w.bundle(), fetch: w.fetchSegments, log: w.log}
}

// fetchSegments reads settings segments by name.
func (w *watcher) fetchSegments(ctx context.Context, names []string) (map[string][]byte, error) {
	values := map[string][]byte{}
	for _, name := range names {
		o, err := w.store.Get(ctx, name)
		if err != nil {
			return nil, err
		}
		values[name] = o.Value
	}
	return values, nil
}

// read reads the host list, settings and index objects once and sends them to
// the control loop.
func (w *watcher) read(ctx context.Context, startedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := w.readAll(ctx, startedAt); err != nil && !errors.Is(ctx.Err(), context.Canceled) {
		w.log.Warn("platform call failed", "step", "read platform", "error", err)
		w.send(ctrl.SpreadEvent{Event: spread.LoadFailed{Reason: err.Error()}})
	}
}

func (w *watcher) readAll(ctx context.Context, startedAt time.Time) error {
	if err := w.readHosts(ctx); err != nil {
		return err
	}
	head, err := w.store.Get(ctx, headName)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	indexes, _, err := w.store.List(ctx, indexPrefix)
	if err != nil {
		return err
	}
	b, t, err := w.newLoader().load(ctx, toObject(head), nil, toObjects(indexes))
	if err != nil {
		return err
	}
	w.send(ctrl.SpreadEvent{Event: spread.ObjectsLoaded{Bundle: b, Tree: t, StartedAt: startedAt}})
	return nil
}

// pollHosts reads the host list periodically until the context is cancelled.
func (w *watcher) pollHosts(ctx context.Context) {
	var delay backoff
	for ctx.Err() == nil {
		if err := w.readHosts(ctx); err != nil {
			w.waitAfterFailure(ctx, &delay, "read host list", err)
			continue
		}
		delay.reset()
		sleep(ctx, hostListInterval)
	}
}

// readHosts reads the host list and sends it to the control loop.
func (w *watcher) readHosts(ctx context.Context) error {
	entries, err := w.store.Hosts(ctx)
	if err != nil {
		return err
	}
	listed := make([]ctrl.HostListEntry, 0, len(entries))
	for _, e := range entries {
		listed = append(listed, toHostListEntry(e))
	}
	w.send(ctrl.HostListRead{Entries: listed})
	w.send(ctrl.SpreadEvent{Event: spread.PlatformAnswered{}})
	return nil
}

func toHostListEntry(e store.HostEntry) ctrl.HostListEntry {
	if e.Role == store.RoleSearcher {
		return ctrl.HostListEntry{Searcher: model.SearcherID(e.ID), Leaving: e.Leaving}
	}
	return ctrl.HostListEntry{Leaving: e.Leaving, Host: model.Host{
		ID: model.HostID(e.ID), Entry: e.Address, Peer: e.Peer, FailureDomain: e.FailureDomain, Region: e.Region,
	}}
}
