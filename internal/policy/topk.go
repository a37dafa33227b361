package policy

import "slices"

// TopK keeps the greatest items of a stream, including duplicates, in a binary
// heap whose root is the least item kept.
type TopK[T any] struct {
	size    int
	compare func(a, b T) int
	heap    []T
}

// NewTopK returns an empty selection of at most size items.
func NewTopK[T any](size int, compare func(a, b T) int) *TopK[T] {
	return &TopK[T]{size: size, compare: compare}
}

// Add adds an item if it is among the greatest so far.
func (t *TopK[T]) Add(item T) {
	switch {
	case len(t.heap) < t.size:
		t.heap = append(t.heap, item)
		t.up(len(t.heap) - 1)
	case t.size > 0 && t.compare(item, t.heap[0]) > 0:
		t.heap[0] = item
		t.down()
	}
}

// Sorted returns the kept items in descending order and empties the selection.
func (t *TopK[T]) Sorted() []T {
	items := t.heap
	t.heap = nil
	slices.SortFunc(items, func(a, b T) int { return t.compare(b, a) })
	return items
}

func (t *TopK[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if t.compare(t.heap[i], t.heap[parent]) >= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

func (t *TopK[T]) down() {
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(t.heap); c++ {
			if t.compare(t.heap[c], t.heap[least]) < 0 {
				least = c
			}
		}
		if least == i {
			return
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}
