package tick

import "time"

// Frame is the state that every world needs besides its tables: the time and the
// events of the current tick, the commands emitted by its systems, and the
// earliest requested wake-up time. A world embeds a Frame and registers its
// systems with SetSystems.
type Frame[E, C any] struct {
	now       time.Time
	startTime time.Time
	firstTick bool
	nextWake  time.Time
	delay     time.Duration
	inbox     []E
	commands  []C
	systems   []func()
}

// SetSystems sets the systems in the order in which they run. It must be called
// before the first tick.
func (f *Frame[E, C]) SetSystems(systems ...func()) { f.systems = systems }

// Tick runs all systems over the events and returns the emitted commands.
func (f *Frame[E, C]) Tick(now time.Time, inbox []E) []C {
	if f.firstTick = f.startTime.IsZero(); f.firstTick {
		f.startTime = now
	}
	f.delay = 0
	if !f.nextWake.IsZero() {
		f.delay = max(now.Sub(f.nextWake), 0)
	}
	f.now, f.inbox, f.commands, f.nextWake = now, inbox, nil, time.Time{}
	for _, s := range f.systems {
		s()
	}
	return f.commands
}

// Next returns the earliest time requested with WakeAt in the last tick, or zero.
func (f *Frame[E, C]) Next() time.Time { return f.nextWake }

// Now returns the time of the current or most recent tick.
func (f *Frame[E, C]) Now() time.Time { return f.now }

// Delay returns how much later than requested the current tick runs. A long delay
// shows that the process was paused.
func (f *Frame[E, C]) Delay() time.Duration { return f.delay }

// StartTime returns the time of the first tick, or zero before it.
func (f *Frame[E, C]) StartTime() time.Time { return f.startTime }

// FirstTick reports whether the current or most recent tick is the first.
func (f *Frame[E, C]) FirstTick() bool { return f.firstTick }

// Inbox returns the events of the current tick.
func (f *Frame[E, C]) Inbox() []E { return f.inbox }

// Emit adds a command to the result of the current tick.
func (f *Frame[E, C]) Emit(command C) { f.commands = append(f.commands, command) }

// WakeAt requests a tick at the given time. The earliest of several times is
// used, and a zero time is ignored.
func (f *Frame[E, C]) WakeAt(at time.Time) {
	if !at.IsZero() && (f.nextWake.IsZero() || at.Before(f.nextWake)) {
		f.nextWake = at
	}
}
