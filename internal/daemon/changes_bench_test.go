package daemon

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/edit"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/stand/plat"
)

// countingStore is a store that counts written bytes and objects.
type countingStore struct {
	store.Store
	bytes, puts atomic.Int64
}

func (c *countingStore) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (store.Object, error) {
	c.bytes.Add(int64(len(value)))
	c.puts.Add(1)
	return c.Store.Put(ctx, name, value, ifVersion)
}

// benchNodes returns nodes with names and values of typical size: accounts with
// 9 services of 10 scopes each.
func benchNodes(n int) []tree.Node {
	nodes := []tree.Node{{Path: tree.Root}}
	for a := 0; len(nodes) < n; a++ {
		account := tree.Path(fmt.Sprintf("/fair-secretariat-%d", a))
		nodes = append(nodes, tree.Node{Path: account, Values: map[tree.Key]tree.Value{tree.KeyWeight: tree.Number(2)}})
		for s := range 9 {
			service := account + tree.Path(fmt.Sprintf("/service-%d", s))
			nodes = append(nodes, tree.Node{Path: service})
			for c := range 10 {
				nodes = append(nodes, tree.Node{
					Path:   service + tree.Path(fmt.Sprintf("/scope-%d", c)),
					Values: map[tree.Key]tree.Value{tree.KeyTimeout: tree.Number(300), tree.KeyCutOff: tree.Enum("early")},
				})
			}
		}
	}
	return nodes[:n]
}

// BenchmarkApplyChange measures a change of one node with an in-memory platform,
// on a host that already has the segments (warm) and on one that does not
// (cold).
func BenchmarkApplyChange(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000} {
		t, err := tree.FromNodes(benchNodes(n))
		if err != nil {
			b.Fatal(err)
		}
		ctx := context.Background()
		s := &countingStore{Store: plat.New()}
		first := tree.Change{ID: "initial", Author: "bench", Reason: "bench"}.WithTime(time.Now())
		if err := WriteSettings(ctx, s, first, t); err != nil {
			b.Fatal(err)
		}
		revision := model.Revision(0)
		h, _, err := readHead(ctx, s)
		if err != nil {
			b.Fatal(err)
		}
		revision = h.Revision
		changed := 0
		apply := func(b *testing.B, c *changeRunner) {
			changed++
			a := c.apply(ctx, tree.Change{
				ID: tree.ChangeID(fmt.Sprint("change-", changed)), Author: "bench", Reason: "bench", Base: revision,
				Edits: []tree.Edit{tree.NewSet("/fair-secretariat-3/service-2/scope-5", tree.KeyTimeout, tree.Number(int64(100+changed%100)))},
			}, false)
			if a.Outcome != edit.Accepted {
				b.Fatalf("%+v", a)
			}
			revision = a.Revision
		}
		start := func() *changeRunner {
			c := newChangeRunner(s, meter.New(), hclog.NewNullLogger())
			go func() { _ = c.loop.Run(ctx) }()
			return c
		}
		b.Run(fmt.Sprintf("nodes=%d/warm", n), func(b *testing.B) {
			c := start()
			defer c.close()
			apply(b, c)
			bytes, puts := s.bytes.Load(), s.puts.Load()
			b.ResetTimer()
			for b.Loop() {
				apply(b, c)
			}
			b.ReportMetric(float64(s.bytes.Load()-bytes)/float64(b.N), "written-B/op")
			b.ReportMetric(float64(s.puts.Load()-puts)/float64(b.N), "puts/op")
		})
		b.Run(fmt.Sprintf("nodes=%d/cold", n), func(b *testing.B) {
			for b.Loop() {
				c := start()
				apply(b, c)
				c.close()
			}
		})
	}
}
