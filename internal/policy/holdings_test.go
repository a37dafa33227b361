package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestHoldingsRevokeTheHeaviest guards against holders that keep others out by holding
// much, or little for long.
func TestHoldingsRevokeTheHeaviest(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		grow func(h *Holdings[string])
		want []string
	}{
		"nothing is revoked up to the limit": {func(h *Holdings[string]) { h.Grow("a", 10, start) }, nil},
		"the largest of the same time":       {func(h *Holdings[string]) { h.Grow("a", 5, start); h.Grow("b", 60, start) }, []string{"b"}},
		"a small one that has held for long": {func(h *Holdings[string]) { h.Grow("a", 5, start.Add(-time.Hour)); h.Grow("b", 55, start) }, []string{"a"}},
		"several, until the rest fits": {func(h *Holdings[string]) {
			h.Grow("a", 5, start.Add(-2*time.Hour))
			h.Grow("b", 5, start.Add(-time.Hour))
			h.Grow("c", 55, start)
		}, []string{"a", "b"}},
		"the new one if all others are pinned": {func(h *Holdings[string]) { h.Grow("a", 70, start); h.Pin("a") }, []string{"new"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := NewHoldings[string](100, 10)
			c.grow(h)
			is.Equal(h.Grow("new", 20, start.Add(time.Second)), c.want)
		})
	}
}

// TestSmallHoldersHaveRoom guards against small holders that are kept out by large pinned
// ones, which may take only a part of the limit.
func TestSmallHoldersHaveRoom(t *testing.T) {
	is := is.New(t)
	h := NewHoldings[int](100, 10)
	now := time.Unix(1000, 0)
	for k := range 20 {
		h.Grow(k, 15, now)
		h.Pin(k)
	}
	is.Equal(h.Total(), 75)
	is.Equal(len(h.Grow(100, 10, now)), 0)
	is.Equal(h.Grow(100, 5, now), []int{100}) // it is no longer small
}

// TestHoldingsStayWithinTheLimit guards against an amount that is counted twice or
// forgotten, and against a pinned holder that is revoked.
func TestHoldingsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHoldings[int](100, 10)
		now := time.Unix(1000, 0)
		amounts, pinned := map[int]int{}, map[int]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond)
			k := rapid.IntRange(0, 9).Draw(rt, "holder")
			switch rapid.IntRange(0, 4).Draw(rt, "operation") {
			case 0:
				h.Remove(k)
				delete(amounts, k)
				delete(pinned, k)
			case 1:
				if h.Pin(k) {
					pinned[k] = true
				}
			case 2:
				if h.Has(k) {
					h.Restart(k, min(5, amounts[k]), now)
					amounts[k], pinned[k] = min(5, amounts[k]), false
				}
			default:
				n := rapid.IntRange(0, 40).Draw(rt, "amount")
				amounts[k] += n
				for _, r := range h.Grow(k, n, now) {
					if pinned[r] && r != k {
						rt.Fatalf("pinned holder %d is revoked", r)
					}
					delete(amounts, r)
					delete(pinned, r)
				}
			}
			total := 0
			for _, n := range amounts {
				total += n
			}
			if h.Total() != total || h.Len() != len(amounts) || total > h.Limit {
				rt.Fatalf("total %d of %d holders, want %d of %d, at most %d", h.Total(), h.Len(), total, len(amounts), h.Limit)
			}
		}
	})
}
