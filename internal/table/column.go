package table

// Column holds one component of type V for every entity of a table.
type Column[V any] struct {
	layout *layout
	values []V
}

// NewColumn adds a column to a table. Existing entities get the zero value.
func NewColumn[V any, K comparable](t *Table[K]) *Column[V] {
	c := &Column[V]{layout: t.layout, values: make([]V, len(t.layout.ids))}
	t.layout.columns = append(t.layout.columns, c)
	return c
}

// Get returns the component of an entity, or the zero value if the entity is not
// in the table.
func (c *Column[V]) Get(id ID) V {
	row, ok := c.layout.rows[id]
	if !ok {
		var zero V
		return zero
	}
	return c.values[row]
}

// Set replaces the component of an entity. It is a no-op if the entity is not in
// the table.
func (c *Column[V]) Set(id ID, v V) {
	if row, ok := c.layout.rows[id]; ok {
		c.values[row] = v
	}
}

func (c *Column[V]) grow() {
	var zero V
	c.values = append(c.values, zero)
}

func (c *Column[V]) move(to, from int) { c.values[to] = c.values[from] }

func (c *Column[V]) truncate(n int) {
	clear(c.values[n:])
	c.values = c.values[:n]
}
