// Package table stores entities and their components in column-oriented tables.
//
// A Table assigns a stable ID and a row to every entity. A Column stores one
// component for every row of its table. Systems iterate over the rows of a table
// and replace components. Removing an entity moves the last row into its place,
// which keeps the columns dense.
//
// # Usage
//
//	hosts := table.New[string]()
//	state := table.NewColumn[int](hosts)
//	id, _ := hosts.Add("host-a")
//	state.Set(id, 1)
//	for id := range hosts.All() {
//		state.Set(id, state.Get(id)+1)
//	}
//
// Tables and columns are not safe for concurrent use. Each is used only by the
// goroutine that runs its world.
package table

import "iter"

// ID identifies an entity of one table. IDs start at 1 and are never reused.
type ID uint64

// layout maps IDs to rows. It is shared by a table and its columns.
type layout struct {
	rows    map[ID]int
	ids     []ID
	columns []componentColumn
}

// componentColumn is a Column of any component type.
type componentColumn interface {
	grow()
	move(to, from int)
	truncate(n int)
}

// Table is a set of entities with unique keys.
type Table[K comparable] struct {
	layout *layout
	byKey  map[K]ID
	keys   *Column[K]
	lastID ID
}

// New returns an empty table.
func New[K comparable]() *Table[K] {
	t := &Table[K]{layout: &layout{rows: map[ID]int{}}, byKey: map[K]ID{}}
	t.keys = NewColumn[K](t)
	return t
}

// Add inserts an entity if the key is not in the table. It returns the ID of the
// key and whether an entity was inserted.
func (t *Table[K]) Add(key K) (ID, bool) {
	if id, ok := t.byKey[key]; ok {
		return id, false
	}
	t.lastID++
	id := t.lastID
	t.byKey[key] = id
	t.layout.rows[id] = len(t.layout.ids)
	t.layout.ids = append(t.layout.ids, id)
	for _, c := range t.layout.columns {
		c.grow()
	}
	t.keys.Set(id, key)
	return id, true
}

// Find returns the ID of a key.
func (t *Table[K]) Find(key K) (ID, bool) {
	id, ok := t.byKey[key]
	return id, ok
}

// Key returns the key of an entity, or the zero value if the entity is not in the
// table.
func (t *Table[K]) Key(id ID) K { return t.keys.Get(id) }

// Has reports whether the entity is in the table.
func (t *Table[K]) Has(id ID) bool {
	_, ok := t.layout.rows[id]
	return ok
}

// Len returns the number of entities.
func (t *Table[K]) Len() int { return len(t.layout.ids) }

// Remove deletes an entity with its components and reports whether it was
// present.
func (t *Table[K]) Remove(id ID) bool {
	row, ok := t.layout.rows[id]
	if !ok {
		return false
	}
	delete(t.byKey, t.keys.Get(id))
	lastRow := len(t.layout.ids) - 1
	moved := t.layout.ids[lastRow]
	t.layout.ids[row] = moved
	t.layout.rows[moved] = row
	t.layout.ids = t.layout.ids[:lastRow]
	delete(t.layout.rows, id)
	for _, c := range t.layout.columns {
		c.move(row, lastRow)
		c.truncate(lastRow)
	}
	return true
}

// All iterates over the entities in row order. The loop body may remove only the
// current entity. Entities added during the iteration are visited as well.
func (t *Table[K]) All() iter.Seq[ID] {
	return func(yield func(ID) bool) {
		for i := 0; i < len(t.layout.ids); {
			id := t.layout.ids[i]
			if !yield(id) {
				return
			}
			if i < len(t.layout.ids) && t.layout.ids[i] == id {
				i++
			}
		}
	}
}
