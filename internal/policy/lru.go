package policy

import "container/list"

// LRU is a bounded map that evicts the least recently used entry.
type LRU[K comparable, V any] struct {
	size    int
	entries map[K]*list.Element
	// recency lists the entries, the most recently used one first.
	recency *list.List
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

// NewLRU returns a map of at most size entries.
func NewLRU[K comparable, V any](size int) *LRU[K, V] {
	return &LRU[K, V]{size: size, entries: map[K]*list.Element{}, recency: list.New()}
}

// Get returns the value of a key and marks the entry as recently used.
func (l *LRU[K, V]) Get(key K) (V, bool) {
	e, ok := l.entries[key]
	if !ok {
		var zero V
		return zero, false
	}
	l.recency.MoveToFront(e)
	return e.Value.(lruEntry[K, V]).value, true
}

// Put sets the value of a key and marks the entry as recently used.
func (l *LRU[K, V]) Put(key K, value V) {
	if e, ok := l.entries[key]; ok {
		e.Value = lruEntry[K, V]{key: key, value: value}
		l.recency.MoveToFront(e)
		return
	}
	l.entries[key] = l.recency.PushFront(lruEntry[K, V]{key: key, value: value})
	if len(l.entries) > l.size {
		oldest := l.recency.Back()
		l.recency.Remove(oldest)
		delete(l.entries, oldest.Value.(lruEntry[K, V]).key)
	}
}

// Len returns the number of entries.
func (l *LRU[K, V]) Len() int { return len(l.entries) }
