package policy

// compactThresholdItems is the number of removed items after which a FIFO may
// move the rest to the front of its array.
const compactThresholdItems = 64

// FIFO is a first-in, first-out queue.
type FIFO[T any] struct {
	items []T
	head  int
}

// NewFIFO returns an empty queue.
func NewFIFO[T any]() *FIFO[T] { return &FIFO[T]{} }

// Len returns the number of items.
func (q *FIFO[T]) Len() int { return len(q.items) - q.head }

// Push appends an item.
func (q *FIFO[T]) Push(item T) { q.items = append(q.items, item) }

// Pop removes the oldest item.
func (q *FIFO[T]) Pop() (T, bool) {
	var zero T
	if q.Len() == 0 {
		return zero, false
	}
	item := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head >= compactThresholdItems && q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	return item, true
}
