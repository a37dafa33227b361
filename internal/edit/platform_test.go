package edit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// platform is a model of the object API that all hosts of a test share. It
// keeps every head that was ever current, for the checks.
type platform struct {
	heads    []tree.Head // heads[v-1] is the head at version v
	segments map[string][]tree.Node
	batches  map[model.Revision]tree.Batch
	down     bool
}

func newPlatform() *platform {
	return &platform{segments: map[string][]tree.Node{}, batches: map[model.Revision]tree.Batch{}}
}

func (p *platform) version() uint64 { return uint64(len(p.heads)) }

func (p *platform) head() tree.Head {
	if len(p.heads) == 0 {
		return tree.Head{}
	}
	return p.heads[len(p.heads)-1]
}

// segmentName returns a substitute for the content hash of a segment.
func segmentName(nodes []tree.Node) string { return "segment " + fmt.Sprint(nodes) }

// write performs a write and returns its reply.
func (p *platform) write(c Command) Event {
	switch c := c.(type) {
	case WriteObjects:
		e := ObjectsWritten{Task: c.Task, Attempt: c.Attempt}
		for _, s := range c.Segments {
			e.Names = append(e.Names, segmentName(s.Nodes))
			p.segments[segmentName(s.Nodes)] = s.Nodes
		}
		if c.Batch.Last != 0 {
			if old, ok := p.batches[c.Batch.Last]; ok && fmt.Sprint(old) != fmt.Sprint(c.Batch) {
				panic("two batches with different contents under one name")
			}
			p.batches[c.Batch.Last] = c.Batch
		}
		return e
	case WriteHead:
		e := HeadWritten{Task: c.Task, Attempt: c.Attempt}
		if p.version() != c.IfVersion {
			e.Result = ResultConflict
			return e
		}
		p.heads = append(p.heads, c.Head)
		e.Version = p.version()
		return e
	}
	panic("not a write")
}

// read performs a read of the state at a version and returns its reply.
func (p *platform) read(c Command, version uint64) Event {
	switch c := c.(type) {
	case ReadHead:
		e := HeadRead{Task: c.Task, Attempt: c.Attempt, Version: version}
		if version == 0 {
			e.Result = ResultMissing
			return e
		}
		e.Head = p.heads[version-1]
		return e
	case Load:
		e := Loaded{Task: c.Task, Attempt: c.Attempt}
		for _, n := range c.Segments {
			nodes, ok := p.segments[n]
			if !ok {
				return Loaded{Task: c.Task, Attempt: c.Attempt, Result: ResultMissing}
			}
			e.Segments = append(e.Segments, tree.Segment{Name: n, Nodes: nodes})
		}
		if c.Batch != 0 {
			b, ok := p.batches[c.Batch]
			if !ok {
				return Loaded{Task: c.Task, Attempt: c.Attempt, Result: ResultMissing}
			}
			e.Batch = b
		}
		return e
	}
	panic("not a read")
}

// replyWithResult returns the reply to a call that ended with a result.
func replyWithResult(c Command, r Result) Event {
	switch c := c.(type) {
	case ReadHead:
		return HeadRead{Task: c.Task, Attempt: c.Attempt, Result: r}
	case Load:
		return Loaded{Task: c.Task, Attempt: c.Attempt, Result: r}
	case WriteObjects:
		return ObjectsWritten{Task: c.Task, Attempt: c.Attempt, Result: r}
	case WriteHead:
		return HeadWritten{Task: c.Task, Attempt: c.Attempt, Result: r}
	}
	panic("not a call")
}

func isWrite(c Command) bool {
	switch c.(type) {
	case WriteObjects, WriteHead:
		return true
	}
	return false
}

// history returns all records, in the order of their revisions.
func (p *platform) history(t fataler) []tree.Record {
	h := p.head()
	records := slices.Clone(h.Recent)
	for rv := h.Sealed; rv > 0; {
		b, ok := p.batches[rv]
		if !ok {
			t.Fatalf("batch %d is missing", rv)
		}
		records = append(slices.Clone(b.Records), records...)
		rv = b.First - 1
	}
	return records
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// check verifies the platform's state: revisions grow by one with each change,
// the history has no gap and no duplicate change, the tree equals the replayed
// history, and no change overwrites one that its author had not seen.
func (p *platform) check(t fataler) {
	records := p.history(t)
	seen := map[tree.ChangeID]bool{}
	for i, r := range records {
		if int(r.Revision) != i+1 {
			t.Fatalf("record %d has revision %d", i+1, r.Revision)
		}
		if seen[r.Change.ID] {
			t.Fatalf("change %s is in the history twice", r.Change.ID)
		}
		seen[r.Change.ID] = true
		for _, o := range records[min(int(r.Change.Base), i):i] {
			if overwrites(r.Change, o.Change) {
				t.Fatalf("revision %d by %s overwrites revision %d by %s, which its author had not seen", r.Revision, r.Change.Author, o.Revision, o.Change.Author)
			}
		}
	}
	if int(p.head().Revision) != len(records) {
		t.Fatalf("revision is %d after %d changes", p.head().Revision, len(records))
	}
	want, err := tree.Replay(records)
	if err != nil {
		t.Fatalf("history does not replay: %v", err)
	}
	nodes := []tree.Node{}
	for _, n := range p.head().Segments {
		s, ok := p.segments[n]
		if !ok {
			t.Fatalf("segment %s is missing", n)
		}
		nodes = append(nodes, s...)
	}
	if len(nodes) > 0 && fmt.Sprint(nodes) != fmt.Sprint(want.Nodes()) {
		t.Fatalf("the tree differs from the replayed history:\n%v\n%v", nodes, want.Nodes())
	}
}

// overwrites implements the conflict rule independently of the code under test:
// both changes edit a node, or one removes a branch around a node that the
// other edits.
func overwrites(a, b tree.Change) bool {
	for _, x := range a.Edits {
		for _, y := range b.Edits {
			under := func(child, parent tree.Edit) bool {
				return parent.Action == tree.ActionRemove && strings.HasPrefix(string(child.Path)+"/", string(parent.Path)+"/")
			}
			if x.Path == y.Path || under(x, y) || under(y, x) {
				return true
			}
		}
	}
	return false
}

// drawEdits returns edits of a small tree, so that changes conflict. Most are
// valid for the current tree; some are not.
func drawEdits(t *rapid.T, now tree.Tree) []tree.Edit {
	paths := []tree.Path{"/a", "/b", "/a/s", "/a/t", "/b/s", "/a/s/c"}
	var edits []tree.Edit
	for range rapid.IntRange(1, 3).Draw(t, "edits") {
		p := rapid.SampledFrom(paths).Draw(t, "path")
		k := rapid.SampledFrom([]tree.Key{tree.KeyTimeout, tree.KeyMaxTimeout}).Draw(t, "key")
		set := tree.NewSet(p, k, tree.Number(rapid.Int64Range(1, 4).Draw(t, "value")+400))
		node, exists := now.Node(p)
		_, isSet := node.Values[k]
		e := set
		switch choice := rapid.IntRange(0, 9).Draw(t, "action"); {
		case choice == 0:
			e = tree.NewRemove(p)
		case choice == 1, !exists:
			e = tree.NewCreate(p)
		case choice == 2, isSet && choice < 5:
			e = tree.NewUnset(p, k)
		}
		edits = append(edits, e)
		if next, err := now.Apply([]tree.Edit{e}); err == nil {
			now = next
		}
	}
	return edits
}

// startTime is the time at which every test starts.
var startTime = time.Unix(1_000_000, 0)
