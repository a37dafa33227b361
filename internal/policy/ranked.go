package policy

import (
	"cmp"
	"slices"
)

// Ranked is a queue in order of rank, lowest first, and of arrival within a rank.
type Ranked[T any] struct {
	items []ranked[T]
}

type ranked[T any] struct {
	rank int
	item T
}

// NewRanked returns an empty queue.
func NewRanked[T any]() *Ranked[T] { return &Ranked[T]{} }

// Len returns the number of items.
func (q *Ranked[T]) Len() int { return len(q.items) }

// Push adds an item behind those of its rank.
func (q *Ranked[T]) Push(rank int, item T) {
	at, _ := slices.BinarySearchFunc(q.items, rank, func(r ranked[T], rank int) int {
		return cmp.Or(cmp.Compare(r.rank, rank), -1)
	})
	q.items = slices.Insert(q.items, at, ranked[T]{rank, item})
}

// Sweep offers the items in order until offer returns false for more, and
// removes those that it takes. Offer must not change the queue.
func (q *Ranked[T]) Sweep(offer func(T) (taken, more bool)) {
	kept := q.items[:0]
	for i, r := range q.items {
		taken, more := offer(r.item)
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
