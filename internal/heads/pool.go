package heads

import "sync"

// pool keeps unused values of one type for reuse. It is safe for concurrent use.
type pool[T any] struct{ values sync.Pool }

// newPool returns an empty pool that creates values when it has none.
func newPool[T any](create func() T) *pool[T] {
	return &pool[T]{sync.Pool{New: func() any { return create() }}}
}

func (p *pool[T]) get() T {
	v, _ := p.values.Get().(T) // holds values of this type only
	return v
}

func (p *pool[T]) put(v T) { p.values.Put(v) }
