// Package tick runs worlds, which are tables with an ordered list of systems.
//
// On each tick a world receives the time and the events since the previous tick,
// runs its systems, and returns commands. It does no I/O and reads no clock, so
// that tests can drive it deterministically. A Loop runs a world on one goroutine
// and blocks until an event arrives or the next deadline of the world is due.
//
// # Usage
//
//	loop := tick.NewLoop[Event, Command](world, execute)
//	go loop.Run(ctx)
//	loop.Send(event)
//	loop.Close()
package tick

import (
	"context"
	"sync"
	"time"
)

// World is a set of tables with the systems that run over them.
type World[E, C any] interface {
	// Tick runs all systems in order over the events and returns commands.
	Tick(now time.Time, inbox []E) []C
	// Next returns the time at which the next tick is due even without an event,
	// or zero if there is none.
	Next() time.Time
}

// Each calls f for each event of type E in the inbox of a tick.
func Each[E, T any](inbox []T, f func(E)) {
	for _, e := range inbox {
		if typed, ok := any(e).(E); ok {
			f(typed)
		}
	}
}

const (
	defaultQueueEvents = 4096
	// maxBatchEvents limits the events of one tick, so that deadlines are handled
	// under a constant stream of events.
	maxBatchEvents = 512
)

// Loop runs a world on one goroutine.
type Loop[E, C any] struct {
	// Execute runs a command. It must not block; I/O runs on another goroutine
	// that reports its result with Send.
	Execute func(C)
	// QueueEvents is the capacity of the event queue; 4096 if zero.
	QueueEvents int

	world     World[E, C]
	initOnce  sync.Once
	inbox     chan E
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewLoop returns a loop for a world. Exported fields may be set before the first
// Send or Run.
func NewLoop[E, C any](world World[E, C], execute func(C)) *Loop[E, C] {
	return &Loop[E, C]{
		Execute: execute,
		world:   world,
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

func (l *Loop[E, C]) init() {
	l.initOnce.Do(func() {
		if l.QueueEvents <= 0 {
			l.QueueEvents = defaultQueueEvents
		}
		l.inbox = make(chan E, l.QueueEvents)
	})
}

// Send queues an event. It blocks while the queue is full and returns false if
// the loop is closed.
func (l *Loop[E, C]) Send(event E) bool {
	l.init()
	select {
	case <-l.closing:
		return false
	default:
	}
	select {
	case l.inbox <- event:
		return true
	case <-l.closing:
		return false
	}
}

// Run ticks the world until the context is cancelled or Close is called. It may
// be called only once.
func (l *Loop[E, C]) Run(ctx context.Context) error {
	l.init()
	defer close(l.done)
	defer l.closeOnce.Do(func() { close(l.closing) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		batch, ok := l.nextBatch(ctx, timer)
		if !ok {
			return ctx.Err()
		}
		for _, c := range l.world.Tick(time.Now(), batch) {
			l.Execute(c)
		}
		l.resetTimer(timer)
	}
}

// nextBatch blocks until an event arrives or the timer fires, and then returns the
// queued events, up to maxBatchEvents.
func (l *Loop[E, C]) nextBatch(ctx context.Context, timer *time.Timer) ([]E, bool) {
	var batch []E
	select {
	case <-ctx.Done():
		return nil, false
	case <-l.closing:
		return nil, false
	case <-timer.C:
	case event := <-l.inbox:
		batch = append(batch, event)
	}
	for len(batch) < maxBatchEvents {
		select {
		case event := <-l.inbox:
			batch = append(batch, event)
		default:
			return batch, true
		}
	}
	return batch, true
}

func (l *Loop[E, C]) resetTimer(timer *time.Timer) {
	timer.Stop()
	if next := l.world.Next(); !next.IsZero() {
		timer.Reset(max(time.Until(next), 0))
	}
}

// Done returns a channel that is closed when Run returns.
func (l *Loop[E, C]) Done() <-chan struct{} { return l.done }

// Close stops the loop and waits for Run to return. It blocks forever if Run is
// never called.
func (l *Loop[E, C]) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	<-l.done
	return nil
}
