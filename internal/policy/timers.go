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
func (q *Timers[T]) Len() int { return len(q.heap) }

// Add sets a timer for an item.
func (q *Timers[T]) Add(at time.Time, item T) {
	q.heap = append(q.heap, timer[T]{at, item})
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.heap[i].at.Before(q.heap[parent].at) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// PopDue removes the earliest timer if it is due and returns its item.
func (q *Timers[T]) PopDue(now time.Time) (T, bool) {
	if len(q.heap) == 0 || now.Before(q.heap[0].at) {
		var zero T
		return zero, false
	}
	return q.pop(), true
}

// Next removes timers from the front while their items are not active. It
// returns the time of the earliest active one, or the zero time if there is
// none.
func (q *Timers[T]) Next(active func(T) bool) time.Time {
	for len(q.heap) > 0 {
		if active(q.heap[0].item) {
			return q.heap[0].at
		}
		q.pop()
	}
	return time.Time{}
}

func (q *Timers[T]) pop() T {
	first := q.heap[0].item
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = timer[T]{}
	q.heap = q.heap[:last]
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if q.heap[child].at.Before(q.heap[least].at) {
				least = child
			}
		}
		if least == i {
			return first
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
