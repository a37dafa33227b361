package policy

import "time"

// Timers holds items by due time in a binary heap. Timers cannot be cancelled;
// the caller checks whether an item that is due is still of interest.
type Timers[T any] struct {
	heap []timer[T]
}

type timer[T any] struct {
	at   time.Time
	item T
}

// NewTimers returns an empty set of timers.
func NewTimers[T any]() *Timers[T] { return &Timers[T]{} }

// Len returns the number of timers, including those whose items are obsolete.
func (t *Timers[T]) Len() int { return len(t.heap) }

// Add sets a timer for an item.
func (t *Timers[T]) Add(at time.Time, item T) {
	t.heap = append(t.heap, timer[T]{at, item})
	for i := len(t.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !t.heap[i].at.Before(t.heap[parent].at) {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// PopDue removes the earliest timer if it is due and returns its item.
func (t *Timers[T]) PopDue(now time.Time) (T, bool) {
	if len(t.heap) == 0 || now.Before(t.heap[0].at) {
		var zero T
		return zero, false
	}
	return t.pop(), true
}

// Next removes timers from the front while their items are not active. It
// returns the time of the earliest active one, or the zero time if there is
// none.
func (t *Timers[T]) Next(active func(T) bool) time.Time {
	for len(t.heap) > 0 {
		if active(t.heap[0].item) {
			return t.heap[0].at
		}
		t.pop()
	}
	return time.Time{}
}

func (t *Timers[T]) pop() T {
	first := t.heap[0].item
	last := len(t.heap) - 1
	t.heap[0] = t.heap[last]
	t.heap[last] = timer[T]{}
	t.heap = t.heap[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if t.heap[c].at.Before(t.heap[least].at) {
				least = c
			}
		}
		if least == i {
			return first
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}
