package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a wait estimate that counts items that leave later or misses
// some that leave earlier, and against removed or refunded items that are
// charged to their class.
func TestFairQueueAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		q := NewFairQueue[int, int]()
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 3, 3).Draw(t, "weights")
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			class := rapid.IntRange(0, 2).Draw(t, "class")
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0:
				q.Pop()
			case 1:
				q.Remove(func(i int) bool { return i%7 == class })
			default:
				n++
				q.Push(class, weights[class], n)
			}
		}
		class := rapid.IntRange(0, 2).Draw(t, "last")
		ahead := q.Ahead(class, weights[class])
		q.Push(class, weights[class], -1)
		popped := 0
		for it, _ := q.Pop(); it != -1; it, _ = q.Pop() {
			popped++
		}
		// Ties between classes are counted as ahead.
		is.True(popped <= ahead && popped >= ahead-2)
	})
	is := is.New(t)
	q := NewFairQueue[string, int]()
	for i := range 10 {
		q.Push("refused", 1, i)
		q.Push("served", 1, 100+i)
	}
	q.Remove(func(i int) bool { return i < 5 })
	for range 2 {
		q.Pop()
		q.Refund("refused")
	}
	served := 0
	for range 6 {
		if item, _ := q.Pop(); item >= 100 {
			served++
		}
	}
	is.Equal(served, 3) // the refunded items are not charged
}

// Guards against timers that fire early, late or out of order, and against a
// queue that loses or reorders items.
func TestTimersAndFIFOKeepOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		timers, fifo := NewTimers[int](), NewFIFO[int]()
		start := time.Unix(0, 0)
		var delays, order []int
		for _, d := range rapid.SliceOfN(rapid.IntRange(0, 50), 1, 200).Draw(t, "delays") {
			timers.Add(start.Add(time.Duration(d)), d)
			fifo.Push(d)
			delays = append(delays, d)
			if d%3 == 0 {
				item, ok := fifo.Pop()
				is.True(ok)
				order = append(order, item)
			}
		}
		for fifo.Len() > 0 {
			item, _ := fifo.Pop()
			order = append(order, item)
		}
		is.Equal(order, delays)
		slices.Sort(delays)
		i := 0
		for at := range 51 {
			for it, ok := timers.PopDue(start.Add(time.Duration(at))); ok; it, ok = timers.PopDue(start.Add(time.Duration(at))) {
				is.Equal(it, at)
				is.Equal(it, delays[i])
				i++
			}
			odd := func(d int) bool { return d%2 == 1 }
			next := timers.Next(odd)
			for i < len(delays) && !odd(delays[i]) {
				i++ // removed by Next, since they are not active
			}
			is.Equal(next.IsZero(), i == len(delays))
		}
	})
}

// Guards against a queue that loses, duplicates or reorders items while some
// are removed from its middle.
func TestPriorityQueueKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ rank, number int }
		q := NewPriorityQueue[entry]()
		var model []entry
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "op") > 0 {
				e := entry{rapid.IntRange(0, 2).Draw(t, "rank"), n}
				q.Push(e.rank, e)
				model = append(model, e)
				slices.SortStableFunc(model, func(a, b entry) int { return a.rank - b.rank })
				continue
			}
			visits, divisor := rapid.IntRange(1, 10).Draw(t, "visits"), rapid.IntRange(1, 3).Draw(t, "divisor")
			var seen []entry
			q.Sweep(func(e entry) (taken, more bool) {
				seen = append(seen, e)
				return e.number%divisor == 0, len(seen) < visits
			})
			want := model[:min(visits, len(model))]
			if !slices.Equal(seen, want) {
				t.Fatalf("offered %v, want %v", seen, want)
			}
			rest := slices.Clone(model[len(want):])
			kept := slices.DeleteFunc(slices.Clone(want), func(e entry) bool { return e.number%divisor == 0 })
			model = append(kept, rest...)
		}
		if q.Len() != len(model) {
			t.Fatalf("%d items, want %d", q.Len(), len(model))
		}
	})
}
