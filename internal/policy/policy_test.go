package policy

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against extra work beyond the configured share of the regular work.
func TestBudgetNeverExceedsShareAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		b := NewBudget(share, burst)
		earned, spent := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				b.Earn()
				earned++
			} else if b.Spend() {
				spent++
			}
		}
		is.New(t).True(float64(spent) <= 1+share*float64(earned)+1e-9)
	})
}

// Guards against a class that starves another or gets more than its weight.
func TestFairQueueServesByWeight(t *testing.T) {
	is := is.New(t)
	q := NewFairQueue[string, string]()
	for range 300 {
		q.Push("heavy", 3, "heavy")
		q.Push("light", 1, "light")
	}
	served := map[string]int{}
	for range 100 {
		item, ok := q.Pop()
		is.True(ok)
		served[item]++
	}
	is.True(served["heavy"] >= 74 && served["heavy"] <= 76) // three quarters of 100
	// A class that was idle gets no credit for its idle time.
	q.Push("late", 1, "late")
	first := map[string]int{}
	for range 20 {
		item, _ := q.Pop()
		first[item]++
	}
	is.Equal(first["late"], 1)
}

// Guards against a limit outside its bounds.
func TestLimitStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimit(rapid.IntRange(0, 10).Draw(t, "max"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0:
				l = l.WithSuccess()
			case 1:
				l = l.WithShed()
			case 2:
				l = l.WithMinimum()
			default:
				l = l.WithMax(rapid.IntRange(0, 10).Draw(t, "max"))
			}
			is.New(t).True(l.Value() >= 1 && l.Value() <= max(l.Max(), 1))
		}
	})
}

// Guards against a map that exceeds its bound or evicts a recently used entry.
func TestLRUEvictsLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	r := NewLRU[int, string](2)
	r.Put(1, "a")
	r.Put(2, "b")
	_, _ = r.Get(1)
	r.Put(3, "c")
	_, ok := r.Get(2)
	is.True(!ok)
	_, ok = r.Get(1)
	is.True(ok)
	is.Equal(r.Len(), 2)
}

// Guards against a quantile computed from replaced samples.
func TestWindowQuantileFollowsLatestSamples(t *testing.T) {
	is := is.New(t)
	w := NewSampleWindow[int](64)
	_, ok := w.Quantile(0.5)
	is.True(!ok)
	for i := range 64 {
		w.Add(i)
	}
	high, _ := w.Quantile(0.95)
	is.Equal(high, 60)
	for range 64 {
		w.Add(1000)
	}
	low, _ := w.Quantile(0)
	is.Equal(low, 1000)
}
