// Package tick runs worlds: tables with an ordered list of systems.
//
// A world gets the time and the events that arrived since its last tick, runs
// its systems, and returns commands. It does no I/O and reads no clock, so that
// tests can drive it event by event. A Loop owns a world on one goroutine and
// blocks until an event arrives or the world's next deadline is due.
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
	// Tick runs every system in order over the events and returns commands.
	Tick(now time.Time, inbox []E) []C
	// Next returns the time of the next tick that is due without an event;
	// zero if there is none.
	Next() time.Time
}

// Each calls f for each event of type E in the inbox of a tick.
func Each[E, T any](inbox []T, f func(E)) {
	for _, event := range inbox {
		if typed, ok := any(event).(E); ok {
			f(typed)
		}
	}
}

const (
	// defaultQueueEvents is the number of events that may wait for a tick.
	defaultQueueEvents = 4096
	// maxBatchEvents bounds the events of one tick, so that deadlines are looked at
	// under a steady stream of events.
	maxBatchEvents = 512
)

// Loop runs a world on one goroutine.
type Loop[E, C any] struct {
	// Execute carries out a command. It must not block; I/O runs on another
	// goroutine that reports back with Send.
	Execute func(C)
	// QueueEvents is the number of events that may wait; 4096 if zero.
	QueueEvents int

	world     World[E, C]
	initOnce  sync.Once
	inbox     chan E
	closing   chan struct{}
	closeOnce sync.Once
	done      chan struct{}
}

// NewLoop returns a loop for a world. Fields may be set until Run.
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

// Send queues an event. It blocks while the queue is full and returns false
// once the loop is closed.
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

// Run ticks the world until the context ends or Close is called. It may be
// called once.
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
		for _, command := range l.world.Tick(time.Now(), batch) {
			l.Execute(command)
		}
		l.resetTimer(timer)
	}
}

// nextBatch blocks until an event arrives or the timer fires, then takes all events
// that are waiting.
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

// Done is closed once Run has returned.
func (l *Loop[E, C]) Done() <-chan struct{} { return l.done }

// Close stops the loop and waits until Run has returned. Run must have been
// called.
func (l *Loop[E, C]) Close() error {
	l.closeOnce.Do(func() { close(l.closing) })
	<-l.done
	return nil
}
