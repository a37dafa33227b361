package policy

import (
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"
)

// withWallClockStep returns a time whose wall clock reading is shifted and
// whose monotonic reading is unchanged, as after a step of the system clock.
func withWallClockStep(t time.Time, by time.Duration) time.Time {
	layout := (*struct {
		wall uint64 // seconds from bit 30 on if there is a monotonic reading
		ext  int64
		loc  *time.Location
	})(unsafe.Pointer(&t))
	layout.wall += uint64(by/time.Second) << 30
	return t
}

// Guards against extra calls beyond the budget after a step of the system
// clock: a step ahead made the window drop events inside it, and a step back
// kept it from dropping old ones.
func TestRollingBudgetIgnoresClockSteps(t *testing.T) {
	for n, d := range map[string]time.Duration{"ahead": time.Hour, "back": -time.Hour} {
		t.Run(n, func(t *testing.T) {
			is := is.New(t)
			begun := time.Now()
			after := withWallClockStep(begun, d)
			is.Equal(after.Sub(begun), time.Duration(0)) // the monotonic reading is the same
			is.Equal(after.UnixNano()-begun.UnixNano(), int64(d))

			b := NewRollingBudget(0, 2, 10*time.Second, 20)
			is.True(b.Spend(begun))
			is.True(b.Spend(begun.Add(time.Second)))
			is.True(!b.Spend(begun.Add(2 * time.Second)))
			is.True(!b.Spend(after.Add(3 * time.Second))) // the first two are still in the window
			is.True(b.Spend(after.Add(12 * time.Second))) // the first two have left the window
			is.True(b.Spend(begun.Add(12 * time.Second))) // the wall clock is corrected
			is.True(!b.Spend(begun.Add(13 * time.Second)))
			is.True(b.Spend(begun.Add(23 * time.Second)))
		})
	}
}
