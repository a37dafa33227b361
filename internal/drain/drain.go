// Package drain controls the phases of a graceful shutdown.
//
// A draining host is removed from the address answers and notifies its peers. It
// continues to serve until every address answer that contains it has expired and
// every request sent to it because of such an answer has reached its deadline, or
// until a new request might not end within the drain bound. It then refuses new
// requests, waits for those in flight, releases its seats and
// stops. A second shutdown request, or the drain bound, ends the drain at once.
//
// # Usage
//
//	world := drain.NewWorld()
//	commands := world.Tick(now, []drain.Event{drain.SettingsChanged{Tree: t}, drain.Requested{}})
//	// perform Leave, Refuse, Release, Abort and Stop
package drain

import (
	"time"

	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

// releaseTimeout is how long to wait for the release of seats. Without the
// platform a seat cannot be released and expires with its lease.
const releaseTimeout = 5 * time.Second

// Phase is the progress of a drain.
type Phase uint8

// Phases of a drain, in order.
const (
	Serving Phase = iota
	// Leaving means that the host still serves but is not in new address
	// answers.
	Leaving
	// Refusing means that new requests are refused and those in flight run to
	// their end.
	Refusing
	// Releasing means that the seats are being released.
	Releasing
	Stopped
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "releasing", "stopped"}[p]
}

// Event is an input of a tick.
type Event interface{ event() }

// SettingsChanged reports a settings tree that took effect.
type SettingsChanged struct{ Tree tree.Tree }

// Requested starts a graceful shutdown; a second one ends it at once.
type Requested struct{}

// Forced ends the drain at once.
type Forced struct{}

// Idle reports that no request is in flight and none will be admitted.
type Idle struct{}

// Released reports that all seats were released.
type Released struct{}

func (SettingsChanged) event() {}
func (Requested) event()       {}
func (Forced) event()          {}
func (Idle) event()            {}
func (Released) event()        {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// Leave removes the host from the address answers and notifies its peers.
type Leave struct{}

// Refuse makes the host refuse new requests with the reason draining.
type Refuse struct{}

// Release releases all seats.
type Release struct{}

// Abort aborts the requests in flight.
type Abort struct {
	// Phase is the phase that was not finished.
	Phase Phase
	// Forced is set if the drain was forced; otherwise it exceeded the drain
	// bound.
	Forced bool
}

// Stop ends the process.
type Stop struct{}

func (Leave) command()   {}
func (Refuse) command()  {}
func (Release) command() {}
func (Abort) command()   {}
func (Stop) command()    {}

// World holds the state of a drain.
type World struct {
	tick.Frame[Event, Command]

	addressTTL time.Duration
	drainBound time.Duration
	// maxTimeout is the longest time budget of any request.
	maxTimeout time.Duration

	phase          Phase
	startedAt      time.Time
	phaseStartedAt time.Time
	forced         bool
	idle           bool
	released       bool
}

// NewWorld returns a world in phase Serving.
func NewWorld() *World {
	w := &World{}
	w.applySettings(tree.New())
	w.SetSystems(w.receive, w.leave, w.refuse, w.release, w.stop, w.abort)
	return w
}

// Phase returns the current phase.
func (w *World) Phase() Phase { return w.phase }

func (w *World) enterPhase(p Phase) { w.phase, w.phaseStartedAt = p, w.Now() }

func (w *World) applySettings(t tree.Tree) {
	root := t.Effective(tree.Root)
	w.addressTTL, w.drainBound, w.maxTimeout = root.AddressTTL, root.DrainBound, root.MaxTimeout
	for _, n := range t.Nodes() {
		w.maxTimeout = max(w.maxTimeout, t.Effective(n.Path).MaxTimeout)
	}
}

// receive is the system that processes the events.
func (w *World) receive() {
	for _, e := range w.Inbox() {
		switch e := e.(type) {
		case SettingsChanged:
			w.applySettings(e.Tree)
		case Idle:
			w.idle = w.phase >= Refusing
		case Requested:
			// A second request forces the end, as a second signal does.
			w.forced = w.forced || !w.startedAt.IsZero()
			if w.startedAt.IsZero() {
				w.startedAt = w.Now()
			}
		case Forced:
			w.forced = true
			if w.startedAt.IsZero() {
				w.startedAt = w.Now()
			}
		case Released:
			w.released = true
		}
	}
}

// leave is the system that starts the drain.
func (w *World) leave() {
	if w.phase == Serving && !w.startedAt.IsZero() {
		w.enterPhase(Leaving)
		w.Emit(Leave{})
	}
}

// refuse is the system that stops the admission of requests once every address
// answer that contains this host has expired and every request sent because of
// one has reached its deadline. A request that is admitted last may take the longest
// time budget, and must end before the drain bound.
func (w *World) refuse() {
	if w.phase != Leaving {
		return
	}
	until := w.startedAt.Add(max(min(w.addressTTL+w.maxTimeout, w.drainBound-w.maxTimeout), 0))
	if w.Now().Before(until) {
		w.WakeAt(until)
		return
	}
	w.enterPhase(Refusing)
	w.Emit(Refuse{})
}

// release is the system that releases the seats once no request is in flight.
func (w *World) release() {
	if w.phase == Refusing && w.idle {
		w.enterPhase(Releasing)
		w.Emit(Release{})
	}
}

// stop is the system that ends the process once the seats are released or the
// release has timed out.
func (w *World) stop() {
	if w.phase != Releasing {
		return
	}
	until := w.phaseStartedAt.Add(releaseTimeout)
	if !w.released && !w.forced && w.Now().Before(until) {
		w.WakeAt(until)
		return
	}
	w.enterPhase(Stopped)
	w.Emit(Stop{})
}

// abort is the system that ends a drain that was forced or exceeded the drain
// bound.
func (w *World) abort() {
	if w.phase != Leaving && w.phase != Refusing {
		return
	}
	if until := w.startedAt.Add(w.drainBound); !w.forced && w.Now().Before(until) {
		w.WakeAt(until)
		return
	}
	w.Emit(Abort{Phase: w.phase, Forced: w.forced})
	w.enterPhase(Stopped)
	w.Emit(Stop{})
}
