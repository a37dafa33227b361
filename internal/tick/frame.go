package tick

import "time"

// Frame is what every world has besides its tables: the time and the events of
// a tick, the commands that its systems emit, and the earliest deadline that
// they name. A world embeds a Frame and gives it its systems.
type Frame[E, C any] struct {
	now       time.Time
	startTime time.Time
	firstTick bool
	nextWake  time.Time
	inbox     []E
	commands  []C
	systems   []func()
}

// SetSystems sets the systems, which run in this order; called before the first tick.
func (f *Frame[E, C]) SetSystems(systems ...func()) { f.systems = systems }

// Tick runs every system over the events and returns the commands that they
// emitted.
func (f *Frame[E, C]) Tick(now time.Time, inbox []E) []C {
	if f.firstTick = f.startTime.IsZero(); f.firstTick {
		f.startTime = now
	}
	f.now, f.inbox, f.commands, f.nextWake = now, inbox, nil, time.Time{}
	for _, system := range f.systems {
		system()
	}
	return f.commands
}

// Next returns the time of the next deadline; zero if there is none.
func (f *Frame[E, C]) Next() time.Time { return f.nextWake }

// Now returns the time of the tick that runs, or of the last one.
func (f *Frame[E, C]) Now() time.Time { return f.now }

// StartTime returns the time of the first tick; zero before it.
func (f *Frame[E, C]) StartTime() time.Time { return f.startTime }

// FirstTick reports whether the first tick runs.
func (f *Frame[E, C]) FirstTick() bool { return f.firstTick }

// Inbox returns the events of the tick.
func (f *Frame[E, C]) Inbox() []E { return f.inbox }

// Emit adds a command to those that the tick returns.
func (f *Frame[E, C]) Emit(command C) { f.commands = append(f.commands, command) }

// WakeAt asks for a tick at the given time; of several times the earliest counts.
// A zero time is ignored.
func (f *Frame[E, C]) WakeAt(at time.Time) {
	if !at.IsZero() && (f.nextWake.IsZero() || at.Before(f.nextWake)) {
		f.nextWake = at
	}
}
