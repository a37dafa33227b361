package tick

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// echoWorld returns each event as a command and requests one wake-up after a
// delay.
type echoWorld struct {
	Frame[int, int]
	delay time.Duration
	ticks atomic.Int32
}

func newEchoWorld(delay time.Duration) *echoWorld {
	w := &echoWorld{delay: delay}
	w.SetSystems(w.countTicks, w.echo, w.scheduleWake)
	return w
}

func (w *echoWorld) countTicks() { w.ticks.Add(1) }

func (w *echoWorld) echo() { Each(w.Inbox(), w.Emit) }

func (w *echoWorld) scheduleWake() {
	if w.FirstTick() && w.delay > 0 {
		w.WakeAt(w.Now().Add(w.delay))
	}
}

// Guards against a loop that ticks without an event or deadline, or that misses a
// deadline.
func TestLoopTicksOnlyForEventsAndDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newEchoWorld(time.Minute)
		var got []int
		l := NewLoop(w, func(c int) { got = append(got, c) })
		go func() { _ = l.Run(context.Background()) }()
		synctest.Wait()
		is.Equal(w.ticks.Load(), int32(1)) // the first tick runs at once
		time.Sleep(59 * time.Second)
		synctest.Wait()
		is.Equal(w.ticks.Load(), int32(1))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(w.ticks.Load(), int32(2))
		is.True(l.Send(7))
		synctest.Wait()
		is.Equal(got, []int{7})
		is.NoErr(l.Close())
		is.True(!l.Send(8)) // a closed loop takes no events
	})
}

// Guards against systems that run in another order than registered, and against
// commands or wake-up times that leak into the next tick.
func TestFrameKeepsOneTickAtATime(t *testing.T) {
	is := is.New(t)
	var f Frame[int, string]
	epoch := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f.SetSystems(
		func() { f.Emit("first"); f.WakeAt(f.StartTime().Add(time.Second)) },
		func() {
			Each(f.Inbox(), func(n int) { f.Emit(strconv.Itoa(n)) })
			if !f.FirstTick() {
				f.WakeAt(f.Now().Add(time.Minute))
			}
		},
	)
	is.Equal(f.Tick(epoch, []int{1, 2}), []string{"first", "1", "2"})
	is.Equal(f.Next(), epoch.Add(time.Second))
	is.Equal(f.Tick(epoch.Add(time.Hour), nil), []string{"first"})
	is.Equal(f.Next(), epoch.Add(time.Second)) // the earliest, although it has passed
	is.Equal(f.StartTime(), epoch)
	is.Equal(f.Now(), epoch.Add(time.Hour))
}
