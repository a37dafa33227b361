package policy

import "math"

// FairQueue serves several classes by weight: start-time fair queuing (Goyal,
// Vin and Cheng, 1996) over items of equal cost. Within a class, items leave in
// order of arrival. Only the first item of a class has a start tag, so that
// removing items before they are served costs their class nothing.
type FairQueue[K comparable, T any] struct {
	classes map[K]*class[T]
	// keys lists the classes in the order of their first items. Of classes with
	// equal tags the first is served first.
	keys []K
	// virtualTime is the greatest start tag of the items served so far.
	virtualTime float64
	length      int
}

type class[T any] struct {
	items  []T
	weight float64
	// startTag is the tag of the first item or, if the class is empty, the
	// earliest tag of its next item.
	startTag float64
}

// NewFairQueue returns an empty queue.
func NewFairQueue[K comparable, T any]() *FairQueue[K, T] {
	return &FairQueue[K, T]{classes: map[K]*class[T]{}}
}

// Push appends an item to a class. The weight is raised to 1 if it is lower,
// and applies to the whole class from now on.
func (q *FairQueue[K, T]) Push(key K, weight int, item T) {
	c, ok := q.classes[key]
	if !ok {
		c = &class[T]{}
		q.classes[key] = c
		q.keys = append(q.keys, key)
	}
	if len(c.items) == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
	}
	c.weight = float64(max(weight, 1))
	c.items = append(c.items, item)
	q.length++
}

// Pop removes the first item of the class with the earliest start tag, which is
// the class furthest behind its share.
func (q *FairQueue[K, T]) Pop() (T, bool) {
	var best *class[T]
	for _, k := range q.keys {
		c := q.classes[k]
		if len(c.items) > 0 && (best == nil || c.startTag < best.startTag) {
			best = c
		}
	}
	var zero T
	if best == nil {
		return zero, false
	}
	item := best.items[0]
	best.items[0] = zero
	best.items = best.items[1:]
	q.virtualTime = max(q.virtualTime, best.startTag)
	best.startTag += 1 / best.weight
	q.length--
	return item, true
}

// Refund returns the share charged to a class for its last item, because the
// item was not served after all.
func (q *FairQueue[K, T]) Refund(key K) {
	if c, ok := q.classes[key]; ok {
		c.startTag -= 1 / c.weight
	}
}

// Ahead returns the number of queued items that would leave before a new item
// of the class.
func (q *FairQueue[K, T]) Ahead(key K, weight int) int {
	start, ahead := q.virtualTime, 0
	if c, ok := q.classes[key]; ok {
		ahead = len(c.items)
		start = max(q.virtualTime, c.startTag) + float64(ahead)/float64(max(weight, 1))
	}
	for k, c := range q.classes {
		if k == key || len(c.items) == 0 || c.startTag > start {
			continue
		}
		// Count the items with tags up to that of the new item; ties count as
		// ahead.
		tagged := math.Floor((start-c.startTag)*c.weight+tagTolerance) + 1
		ahead += min(len(c.items), int(tagged))
	}
	return ahead
}

// tagTolerance compensates for rounding errors of tags, which are sums of
// 1/weight.
const tagTolerance = 1e-6

// Len returns the number of items in all classes.
func (q *FairQueue[K, T]) Len() int { return q.length }

// ClassLen returns the number of items of one class.
func (q *FairQueue[K, T]) ClassLen(key K) int {
	if c, ok := q.classes[key]; ok {
		return len(c.items)
	}
	return 0
}

// Remove removes the items for which drop returns true.
func (q *FairQueue[K, T]) Remove(drop func(T) bool) {
	for _, c := range q.classes {
		kept := c.items[:0]
		for _, it := range c.items {
			if drop(it) {
				q.length--
				continue
			}
			kept = append(kept, it)
		}
		clear(c.items[len(kept):])
		c.items = kept
	}
}
