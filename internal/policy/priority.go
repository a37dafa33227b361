package policy

import (
	"cmp"
	"slices"
)

// PriorityQueue is a queue ordered by rank, lowest first, and by arrival within
// a rank.
type PriorityQueue[T any] struct {
	items []rankedItem[T]
}

type rankedItem[T any] struct {
	rank int
	item T
}

// NewPriorityQueue returns an empty queue.
func NewPriorityQueue[T any]() *PriorityQueue[T] { return &PriorityQueue[T]{} }

// Len returns the number of items.
func (q *PriorityQueue[T]) Len() int { return len(q.items) }

// Push adds an item behind those of the same rank.
func (q *PriorityQueue[T]) Push(rank int, item T) {
	at, _ := slices.BinarySearchFunc(q.items, rank, func(r rankedItem[T], rank int) int {
		return cmp.Or(cmp.Compare(r.rank, rank), -1)
	})
	q.items = slices.Insert(q.items, at, rankedItem[T]{rank, item})
}

// Sweep calls visit for the items in order until it returns false for more, and
// removes the items for which it returns true for taken. The function visit
// must not change the queue.
func (q *PriorityQueue[T]) Sweep(visit func(T) (taken, more bool)) {
	kept := q.items[:0]
	for i, r := range q.items {
		taken, more := visit(r.item)
		if !taken {
			kept = append(kept, r)
		}
		if !more {
			kept = append(kept, q.items[i+1:]...)
			break
		}
	}
	clear(q.items[len(kept):])
	q.items = kept
}
