package table

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against components that end up at another entity when a row is removed.
// The table is compared with a map after random operations.
func TestTableAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		tb := New[int]()
		col := NewColumn[string](tb)
		model := map[int]string{}
		ids := map[int]ID{}
		seen := map[ID]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				k := rapid.IntRange(0, 20).Draw(t, "key")
				v := rapid.String().Draw(t, "value")
				id, added := tb.Add(k)
				_, had := model[k]
				is.Equal(added, !had)
				if added {
					is.True(!seen[id]) // an ID is never reused
					seen[id] = true
				}
				col.Set(id, v)
				model[k], ids[k] = v, id
			},
			"remove": func(t *rapid.T) {
				k := rapid.IntRange(0, 20).Draw(t, "key")
				_, had := model[k]
				is.Equal(tb.Remove(ids[k]), had)
				delete(model, k)
				delete(ids, k)
			},
			"": func(*rapid.T) {
				is.Equal(tb.Len(), len(model))
				for k, v := range model {
					id, ok := tb.Find(k)
					is.True(ok)
					is.Equal(id, ids[k])
					is.Equal(col.Get(id), v)
					is.Equal(tb.Key(id), k)
				}
			},
		})
	})
}

// Guards against an iteration that skips the row moved into the place of the
// removed entity.
func TestAllVisitsEveryEntityWhileRemoving(t *testing.T) {
	is := is.New(t)
	tb := New[int]()
	for i := range 10 {
		tb.Add(i)
	}
	visited := 0
	for id := range tb.All() {
		visited++
		if tb.Key(id)%2 == 0 {
			tb.Remove(id)
		}
	}
	is.Equal(visited, 10)
	is.Equal(tb.Len(), 5)
}
