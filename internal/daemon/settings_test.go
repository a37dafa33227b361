package daemon

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/stand/plat"
)

// Guards against settings built from a segment that was corrupted in transit.
func TestSegmentMustHaveItsHash(t *testing.T) {
	is := is.New(t)
	ctx, p := context.Background(), plat.New()
	name, _ := wire.EncodeSegment([]tree.Node{{Path: "/"}})
	_, other := wire.EncodeSegment([]tree.Node{{Path: "/"}, {Path: "/a"}})
	_, err := p.Put(ctx, name, other, 0)
	is.NoErr(err)
	_, err = readSegments(ctx, p, []string{name})
	is.True(errors.Is(err, errInvalid))
}

// Guards against accepting a history object that another change wrote.
func TestBatchMustBeTheSame(t *testing.T) {
	is := is.New(t)
	ctx, p := context.Background(), plat.New()
	h := tree.Head{}.WithChange(tree.Change{ID: "a", Edits: []tree.Edit{tree.NewCreate("/a")}}, nil)
	b := tree.Batch{First: 1, Last: 1, Records: h.Recent}
	is.NoErr(writeBatch(ctx, p, b))
	is.NoErr(writeBatch(ctx, p, b)) // as after a lost reply
	other := tree.Head{}.WithChange(tree.Change{ID: "b", Edits: []tree.Edit{tree.NewCreate("/a")}}, nil)
	is.True(errors.Is(writeBatch(ctx, p, tree.Batch{First: 1, Last: 1, Records: other.Recent}), errInvalid))
}

// Guards against endless retries of a value over the platform's size limit.
func TestLargeValuesAreNotSent(t *testing.T) {
	is := is.New(t)
	p := plat.New()
	_, err := put(context.Background(), p, "x", make([]byte, store.MaxValueBytes+1), 0)
	is.True(errors.Is(err, errInvalid))
	is.Equal(p.Calls().Writes, int64(0))
}

// Guards against a history that skips or repeats revisions across history
// objects, or that does not lead to the tree.
func TestHistoryOfInitialTree(t *testing.T) {
	is := is.New(t)
	ctx, p := context.Background(), plat.New()
	var nodes []tree.Node
	for i := range 30_000 {
		nodes = append(nodes, tree.Node{Path: tree.Path(fmt.Sprintf("/a%d", i)), Values: map[tree.Key]tree.Value{tree.KeyWeight: tree.Number(2)}})
	}
	want, err := tree.FromNodes(nodes)
	is.NoErr(err)
	is.NoErr(WriteSettings(ctx, p, tree.Change{ID: "first", Author: "ann", Reason: "why"}.WithTime(time.Now()), want))
	records, err := readHistory(ctx, p, 1_000_000, 0)
	is.NoErr(err)
	got, err := tree.Replay(records)
	is.NoErr(err)
	is.Equal(got.Nodes(), want.Nodes())
	h, _, err := readHead(ctx, p)
	is.NoErr(err)
	is.True(h.Sealed > 0) // there are history objects
	is.Equal(int(h.Revision), len(records))
	some, err := readHistory(ctx, p, 5, 10)
	is.NoErr(err)
	is.Equal(some, records[4:9])
}

// Guards against a gap in the history that makes a recorded change look absent.
func TestHeadWithAGapIsInvalid(t *testing.T) {
	h := tree.Head{}
	for i := range 3 {
		h = h.WithChange(tree.Change{ID: tree.ChangeID(fmt.Sprint(i)), Edits: []tree.Edit{tree.NewCreate("/a")}}, []string{})
	}
	value := string(wire.EncodeHead(h))
	for name, bad := range map[string]string{
		"revision twice":   strings.Replace(value, `"revision":2`, `"revision":1`, 1),
		"record missing":   strings.Replace(value, `{"revision":3`, `{"revision":4`, 1),
		"batch not sealed": strings.Replace(value, `"changeId":"2","segments"`, `"sealedThrough":7,"changeId":"2","segments"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, p := context.Background(), plat.New()
			is.True(bad != value)
			_, err := p.Put(ctx, wire.HeadName, []byte(bad), 0)
			is.NoErr(err)
			_, _, err = readHead(ctx, p)
			is.True(errors.Is(err, errInvalid))
		})
	}
}
