// Package drain decides the phases of a graceful shutdown.
//
// A host that is asked to drain leaves the address answers and tells its peers,
// keeps serving until every caller's address answer has expired and every
// request that was sent on the strength of one has reached its deadline, then
// refuses new requests, waits for those in flight, releases its seats and stops.
// A second request, or the drain bound, ends the drain at once.
//
// # Usage
//
//	world := drain.NewWorld()
//	commands := world.Tick(now, []drain.Event{drain.SettingsChanged{Tree: t}, drain.Requested{}})
//	// carry out Leave, Refuse, Release, CutOff and Stop
package drain

import (
	"time"

	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

// releaseTimeout is how long to wait for the release of seats. Without the
// platform a seat cannot be released; it then ends with its lease.
const releaseTimeout = 5 * time.Second

// Phase is how far a drain got.
type Phase uint8

// Phases of a drain, in order.
const (
	Serving Phase = iota
	Leaving
	Refusing
	Releasing
	Stopped
)

// String returns the name used in logs.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "releasing", "stopped"}[p]
}

// Event is something that happened since the last tick.
type Event interface{ event() }

// SettingsChanged is a settings tree put in force.
type SettingsChanged struct{ Tree tree.Tree }

// Requested asks for a graceful shutdown.
type Requested struct{}

// Forced ends the drain at once.
type Forced struct{}

// Idle tells that no request is in flight and none will be admitted.
type Idle struct{}

// Released tells that all seats were released.
type Released struct{}

func (SettingsChanged) event() {}
func (Requested) event()       {}
func (Forced) event()          {}
func (Idle) event()            {}
func (Released) event()        {}

// Command is something to do after a tick.
type Command interface{ command() }

// Leave takes the host out of the address answers and tells its peers.
type Leave struct{}

// Refuse has new requests refused with the reason draining.
type Refuse struct{}

// Release gives up all seats.
type Release struct{}

// CutOff ends the requests in flight before they have finished.
type CutOff struct {
	// Phase is the one that was not finished.
	Phase Phase
	// Forced is set for a second signal, unset for the drain bound.
	Forced bool
}

// Stop ends the process.
type Stop struct{}

func (Leave) command()   {}
func (Refuse) command()  {}
func (Release) command() {}
func (CutOff) command()  {}
func (Stop) command()    {}

// World is the state of a drain.
type World struct {
	tick.Frame[Event, Command]

	addressTTL time.Duration
	drainBound time.Duration
	// longestTimeout is the longest time budget of any request.
	longestTimeout time.Duration

	phase          Phase
	startedAt      time.Time
	phaseStartedAt time.Time
	forced         bool
	idle           bool
	released       bool
}

// NewWorld returns the world of a host that serves.
func NewWorld() *World {
	w := &World{}
	w.applySettings(tree.New())
	w.Order(w.receive, w.leave, w.refuse, w.release, w.stop, w.cutOff)
	return w
}

// Phase returns how far the drain got.
func (w *World) Phase() Phase { return w.phase }

func (w *World) enterPhase(p Phase) { w.phase, w.phaseStartedAt = p, w.Now() }

func (w *World) applySettings(t tree.Tree) {
	root := t.Effective(tree.Root)
	w.addressTTL, w.drainBound, w.longestTimeout = root.AddressTTL, root.DrainBound, root.MaxTimeout
	for _, n := range t.Nodes() {
		w.longestTimeout = max(w.longestTimeout, t.Effective(n.Path).MaxTimeout)
	}
}

// receive takes the events.
func (w *World) receive() {
	for _, e := range w.Inbox() {
		switch e := e.(type) {
		case SettingsChanged:
			w.applySettings(e.Tree)
		case Idle:
			w.idle = w.phase >= Refusing
		case Requested:
			// A second request forces the end, as does a second signal.
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

// leave starts the drain.
func (w *World) leave() {
	if w.phase == Serving && !w.startedAt.IsZero() {
		w.enterPhase(Leaving)
		w.Emit(Leave{})
	}
}

// refuse ends the time in which the host still serves: until no caller holds an
// address answer that names it, and none that used one waits.
func (w *World) refuse() {
	if w.phase != Leaving {
		return
	}
	until := w.startedAt.Add(w.addressTTL + w.longestTimeout)
	if w.Now().Before(until) {
		w.WakeAt(until)
		return
	}
	w.enterPhase(Refusing)
	w.Emit(Refuse{})
}

// release gives up the seats once no request is in flight.
func (w *World) release() {
	if w.phase == Refusing && w.idle {
		w.enterPhase(Releasing)
		w.Emit(Release{})
	}
}

// stop ends the process once the seats are released, or cannot be in time.
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

// cutOff ends a drain that was forced or took longer than its bound.
func (w *World) cutOff() {
	if w.phase != Leaving && w.phase != Refusing {
		return
	}
	if until := w.startedAt.Add(w.drainBound); !w.forced && w.Now().Before(until) {
		w.WakeAt(until)
		return
	}
	w.Emit(CutOff{Phase: w.phase, Forced: w.forced})
	w.enterPhase(Stopped)
	w.Emit(Stop{})
}
