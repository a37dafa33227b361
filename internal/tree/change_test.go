package tree

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a change of several nodes that is applied partially.
func TestApplyIsAtomic(t *testing.T) {
	is := is.New(t)
	base, err := New().Apply([]Edit{NewCreate("/a"), NewCreate("/a/s"), NewSet("/a", KeyWeight, Number(3))})
	is.NoErr(err)
	got, err := base.Apply([]Edit{NewSet("/a", KeyWeight, Number(4)), NewRemove("/a/s"), NewSet("/b", KeyWeight, Number(1))})
	is.True(err != nil)
	is.Equal(got.Nodes(), base.Nodes())
	n, _ := base.Node("/a")
	is.Equal(n.Values[KeyWeight], Number(3)) // the old tree is not modified
}

// Guards against accepting a tree in which the values of two nodes contradict
// each other, and against an error that does not name both nodes.
func TestValidateSpansNodes(t *testing.T) {
	is := is.New(t)
	base, err := New().Apply([]Edit{NewCreate("/a"), NewCreate("/a/s"), NewSet("/a/s", KeyTimeout, Number(5000))})
	is.NoErr(err)
	_, err = base.Apply([]Edit{NewSet("/a", KeyMaxTimeout, Number(1000))})
	is.True(err != nil)
	for _, w := range []string{"/a/s timeoutMs", "5000 from /a/s", "1000 from /a"} {
		is.True(strings.Contains(err.Error(), w))
	}
	_, err = base.Apply([]Edit{NewSet("/a", KeyMaxTimeout, Number(1000)), NewSet("/a/s", KeyTimeout, Number(900))})
	is.NoErr(err) // only the final tree is validated
}

// Guards against a rebase that overwrites a concurrent edit, or reports a
// conflict for edits of different nodes.
func TestRebaseConflicts(t *testing.T) {
	base, err := New().Apply([]Edit{
		NewCreate("/a"), NewCreate("/a/s"), NewCreate("/b"), NewSet("/a", KeyWeight, Number(3)),
	})
	is.New(t).NoErr(err)
	tests := []struct {
		name              string
		accepted, rebased Edit
		conflict          bool
	}{
		{"same key", NewSet("/a", KeyWeight, Number(4)), NewSet("/a", KeyWeight, Number(5)), true},
		{"same node", NewSet("/a", KeyMaxQueue, Number(4)), NewSet("/a", KeyWeight, Number(5)), true},
		{"unset under set", NewUnset("/a", KeyWeight), NewSet("/a", KeyWeight, Number(5)), true},
		{"other node", NewSet("/b", KeyWeight, Number(4)), NewSet("/a", KeyWeight, Number(5)), false},
		{"child", NewSet("/a/s", KeyTimeout, Number(4)), NewSet("/a", KeyWeight, Number(5)), false},
		{"removed parent", NewRemove("/a"), NewSet("/a/s", KeyTimeout, Number(5)), true},
		{"removed with child edited", NewSet("/a/s", KeyTimeout, Number(5)), NewRemove("/a"), true},
		{"removed with child created", NewCreate("/a/t"), NewRemove("/a"), true},
		{"same create", NewCreate("/c"), NewCreate("/c"), true},
		{"name that is a prefix", NewCreate("/a-b"), NewRemove("/a"), false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			current, err := base.Apply([]Edit{tc.accepted})
			is.NoErr(err)
			since := []Record{
				{Revision: 1, Change: Change{ID: "old", Author: "ann", Edits: []Edit{tc.rebased}}}, // not after the base
				{Revision: 2, Change: Change{ID: "x", Author: "bob", Edits: []Edit{tc.accepted}}},
			}
			_, err = current.Rebase(Change{ID: "y", Base: 1, Edits: []Edit{tc.rebased}}, since)
			var c *ConflictError
			is.Equal(errors.As(err, &c), tc.conflict)
			if tc.conflict {
				is.Equal(c.Conflicts, []Conflict{{Edit: tc.accepted, ChangeID: "x", Author: "bob", Revision: 2}})
				is.True(strings.Contains(err.Error(), "by bob in revision 2"))
				return
			}
			is.NoErr(err)
		})
	}
}

// Guards against accepting changes of unbounded size or without author or reason,
// and against errors that do not name the invalid field.
func TestCheckNamesTheField(t *testing.T) {
	valid := Change{ID: "i", Author: "ann", Reason: "why", Edits: []Edit{NewCreate("/a")}}
	is.New(t).NoErr(valid.Check())
	tests := []struct {
		field  string
		mutate func(Change) Change
	}{
		{"changeId", func(c Change) Change { c.ID = ""; return c }},
		{"changeId", func(c Change) Change { c.ID = ChangeID(strings.Repeat("x", 129)); return c }},
		{"author", func(c Change) Change { c.Author = "a\nb"; return c }},
		{"reason", func(c Change) Change { c.Reason = ""; return c }},
		{"reason", func(c Change) Change { c.Reason = "\xff"; return c }},
		{"1 to 256", func(c Change) Change { c.Edits = nil; return c }},
		{"1 to 256", func(c Change) Change { c.Edits = make([]Edit, 257); return c }},
		{"create, set", func(c Change) Change { c.Edits = []Edit{{Path: "/a"}}; return c }},
	}
	for _, tc := range tests {
		err := tc.mutate(valid).Check()
		is.New(t).True(err != nil && strings.Contains(err.Error(), tc.field)) // message names the field
	}
}

// Guards against a change of one node that rewrites many segments, against
// segments that lose nodes, and against segments that are reused although
// they changed.
func TestRepackKeepsUntouchedSegments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		nodes := []Node{{Path: Root}}
		for i := range rapid.IntRange(1, 30).Draw(t, "accounts") {
			a := Path(fmt.Sprintf("/account-%d", i))
			nodes = append(nodes, Node{Path: a})
			for j := range 60 {
				nodes = append(nodes, Node{Path: a + Path(fmt.Sprintf("/service-%d", j)), Values: map[Key]Value{KeyTimeout: Number(5)}})
			}
		}
		tr, err := FromNodes(nodes)
		is.NoErr(err)
		old := Split(tr.Nodes())
		for i := range old {
			old[i].Name = fmt.Sprint("old-", i)
		}
		p := rapid.SampledFrom(nodes[1:]).Draw(t, "node").Path
		edits := []Edit{NewSet(p, KeyTimeout, Number(6))}
		if rapid.Bool().Draw(t, "removes") {
			edits = []Edit{NewRemove(p), NewCreate(p)}
		}
		next, err := tr.Apply(edits)
		is.NoErr(err)
		segments := next.Repack(old, edits)
		var got []Node
		rewritten := 0
		for _, s := range segments {
			got = append(got, s.Nodes...)
			if s.Name == "" {
				rewritten++
			}
			is.True(len(s.Nodes) <= maxSegmentNodes)
		}
		is.Equal(got, next.Nodes())
		if p.Kind() == KindService {
			is.Equal(rewritten, 1) // the paths and therefore the cut points are the same
		}
	})
}

// Guards against a head that grows without bound, or that loses records when
// they are sealed.
func TestHeadSealsRecords(t *testing.T) {
	is := is.New(t)
	var h Head
	var all []Record
	for i := range 500 {
		if b, ok := h.BatchToSeal(SealRecords); ok {
			is.Equal(b.First, h.Sealed+1)
			all = append(all, b.Records...)
			h = h.WithSealed(b)
		}
		c := Change{ID: ChangeID(fmt.Sprint(i)), Author: "ann", Reason: strings.Repeat("y", 1000), Edits: []Edit{NewCreate("/a")}}
		h = h.WithChange(c.WithTime(time.Unix(0, 0)), nil).WithWithdrawn(ChangeID(fmt.Sprint("w", i)), time.Unix(0, 0))
		is.True(len(h.Recent) <= SealRecords)
		is.True(len(h.Withdrawn) <= maxWithdrawnChanges)
	}
	all = append(all, h.Recent...)
	is.Equal(len(all), 500)
	for i, r := range all {
		is.Equal(int(r.Revision), i+1)
	}
	is.True(h.IsWithdrawn("w499"))
	is.True(!h.IsWithdrawn("w0"))
}

// Guards against creation edits whose replay does not result in the same tree.
func TestCreationEditsReplayToTheSameTree(t *testing.T) {
	is := is.New(t)
	nodes := []Node{{Path: Root, Values: map[Key]Value{KeyMaxTimeout: Number(100), KeyTimeout: Number(50)}}}
	for i := range 700 {
		nodes = append(nodes, Node{Path: Path(fmt.Sprintf("/a%d", i)), Values: map[Key]Value{KeyTimeout: Number(60)}})
	}
	tr, err := FromNodes(nodes)
	is.NoErr(err)
	var records []Record
	for _, es := range tr.CreationEdits() {
		is.True(len(es) <= MaxEdits)
		records = append(records, Record{Change: Change{Edits: es}})
	}
	got, err := Replay(records)
	is.NoErr(err)
	is.Equal(got.Nodes(), tr.Nodes())
}

// Guards against WithSegments returning a different tree than NewSegmentedTree,
// or accepting nodes without a parent.
func TestWithSegmentsMatchesNewSegmentedTree(t *testing.T) {
	is := is.New(t)
	var nodes []Node
	for i := range 400 {
		nodes = append(nodes, Node{Path: Path(fmt.Sprintf("/a%d", i)), Values: map[Key]Value{KeyWeight: Number(2)}})
	}
	first, err := FromNodes(nodes)
	is.NoErr(err)
	split := func(t Tree) []Segment {
		list := Split(t.Nodes())
		for i := range list {
			list[i].Name = fmt.Sprint(list[i].Nodes)
		}
		return list
	}
	s, err := NewSegmentedTree(split(first))
	is.NoErr(err)
	next, err := first.Apply([]Edit{NewSet("/a7", KeyWeight, Number(3)), NewCreate("/a9/s"), NewRemove("/a77")})
	is.NoErr(err)
	got, err := s.WithSegments(split(next))
	is.NoErr(err)
	is.Equal(got.Tree.Nodes(), next.Nodes())
	is.Equal(s.Tree.Nodes(), first.Nodes()) // the old value is not modified
	orphaned := append(split(next), Segment{Name: "x", Nodes: []Node{{Path: "/none/s"}}})
	_, err = s.WithSegments(orphaned)
	is.True(err != nil) // no parent
	_, err = s.WithSegments(append(split(next), Segment{Name: "x", Nodes: []Node{{Path: "/a7"}}}))
	is.True(err != nil) // duplicate path
	_, err = got.WithSegments([]Segment{{Name: "x", Nodes: []Node{{Path: "/a9/s"}}}})
	is.True(err != nil) // the parent was removed
	child := Segment{Name: "child", Nodes: []Node{{Path: "/p/s"}}}
	both, err := NewSegmentedTree([]Segment{{Name: "parent", Nodes: []Node{{Path: "/"}, {Path: "/p"}}}, child})
	is.NoErr(err)
	_, err = both.WithSegments([]Segment{{Name: "root", Nodes: []Node{{Path: "/"}}}, child})
	is.True(err != nil) // the parent of a node in an unchanged segment was removed
}
