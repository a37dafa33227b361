package wire

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tree"
)

func sampleHead() tree.Head {
	c := tree.Change{ID: "c1", Author: "ann", Reason: "jury <3>", Base: 0, Edits: []tree.Edit{
		tree.NewCreate("/a"), tree.NewSet("/a", tree.KeyCutOff, tree.Enum("early")),
		tree.NewSet("/a", tree.KeyWeight, tree.Number(3)), tree.NewUnset("/a", tree.KeyWeight), tree.NewRemove("/a"),
	}}.WithTime(time.Unix(1_700_000_000, 5_000_000))
	return tree.Head{}.WithChange(c, []string{"settings/segment/1"}).WithWithdrawn("c0", time.Unix(3, 0))
}

// FuzzDecodeHead guards against heads that cause a panic or that change when they
// are decoded and encoded again.
func FuzzDecodeHead(f *testing.F) {
	f.Add(EncodeHead(sampleHead()))
	f.Add([]byte(`{"revision":7,"changeId":"x","segments":["a"]}`))
	f.Add([]byte(`{"revision":7,"sealedThrough":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		doc, err := DecodeHead(value)
		if err != nil {
			return
		}
		h, err := doc.Head()
		if err != nil {
			return
		}
		is := is.New(t)
		encoded := EncodeHead(h)
		decoded, err := DecodeHead(encoded)
		is.NoErr(err)
		h2, err := decoded.Head()
		is.NoErr(err)
		is.Equal(h2, h)
		is.True(bytes.Equal(EncodeHead(h2), encoded))
	})
}

// FuzzDecodeHistory guards against history objects that cause a panic, that change
// when they are decoded and encoded again, or that have gaps.
func FuzzDecodeHistory(f *testing.F) {
	h := sampleHead()
	f.Add(EncodeHistory(tree.Batch{First: 1, Last: 1, Records: h.Recent}))
	f.Fuzz(func(t *testing.T, value []byte) {
		b, err := DecodeHistory(value)
		if err != nil {
			return
		}
		is := is.New(t)
		is.Equal(len(b.Records), int(b.Last-b.First+1))
		decoded, err := DecodeHistory(EncodeHistory(b))
		is.NoErr(err)
		is.Equal(decoded, b)
	})
}

// FuzzDecodeTree guards against segments that cause a panic or that lose nodes
// when they are decoded and encoded again.
func FuzzDecodeTree(f *testing.F) {
	f.Add([]byte(`{"nodes":[{"path":"/"},{"path":"/a","values":{"weight":3,"cutOff":"early"}},{"path":"/a/s"}]}`))
	f.Add([]byte(`{"nodes":[{"path":"/a/s/c","values":{"weight":1e2}}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		tr, err := DecodeTree([][]byte{value})
		if err != nil {
			return
		}
		is := is.New(t)
		_, encoded := EncodeSegment(tr.Nodes())
		decoded, err := DecodeTree([][]byte{encoded})
		is.NoErr(err)
		is.Equal(decoded.Nodes(), tr.Nodes())
		_, reencoded := EncodeSegment(decoded.Nodes())
		is.True(bytes.Equal(encoded, reencoded)) // the hash depends on the content alone
	})
}

// FuzzDecodeIndex guards against index objects that cause a panic or that change
// when they are encoded and decoded again.
func FuzzDecodeIndex(f *testing.F) {
	f.Add([]byte(`{"service":"s","searchers":[{"id":"a","address":"127.0.0.1:1","failureDomain":"d","slots":2,"connectionCap":25,"connectCostMs":6}],` +
		`"versions":[{"version":1,"shards":[{"id":"0","firstRecord":"a","lastRecord":"b","records":2,"replicas":["a"]}]}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		first, err := DecodeIndex("index/s", value)
		if err != nil {
			return
		}
		is := is.New(t)
		decoded, err := DecodeIndex("index/s", EncodeJSON(indexDocument(value)))
		is.NoErr(err)
		is.Equal(decoded, first)
	})
}

// indexDocument decodes the document of a valid index object.
func indexDocument(value []byte) IndexDocument {
	var doc IndexDocument
	if err := decodeStrict(value, &doc); err != nil {
		panic(err)
	}
	return doc
}

// Guards against a head that approaches the platform's value limit for a tree of
// 100,000 nodes, and against segments and history objects over the limit.
func TestSizesStayBelowTheValueLimit(t *testing.T) {
	is := is.New(t)
	const limit = 290 << 10 // the bound that tree.Head states
	var names []string
	maxSegment := 0
	for _, s := range tree.Split(fullNodes(100_000)) {
		name, value := EncodeSegment(s.Nodes)
		names = append(names, name)
		maxSegment = max(maxSegment, len(value))
	}
	is.True(maxSegment < store.MaxValueBytes)
	h := tree.Head{Segments: names}
	maxHead := 0
	for i := range 300 {
		if b, full := h.BatchToSeal(tree.SealRecords); full {
			is.True(len(EncodeHistory(b)) < store.MaxValueBytes)
			h = h.WithSealed(b)
		}
		c := tree.Change{ID: tree.ChangeID(fmt.Sprintf("%0128d", i)), Author: escapedText(128), Reason: escapedText(1024)}
		if i%50 == 20 {
			c.Edits = largestEdits()
		}
		h = h.WithChange(c.WithTime(time.Now()), names).WithWithdrawn(c.ID, time.Now())
		maxHead = max(maxHead, len(EncodeHead(h)))
	}
	t.Logf("%d segments, largest %d bytes; largest head %d bytes", len(names), maxSegment, maxHead)
	is.True(maxHead < limit)
}

// escapedText returns text with the longest possible JSON encoding: every byte is
// escaped.
func escapedText(n int) string { return string(bytes.Repeat([]byte("<"), n)) }

func largestEdits() []tree.Edit {
	name := string(bytes.Repeat([]byte("x"), 63))
	edits := make([]tree.Edit, tree.MaxEdits)
	for i := range edits {
		edits[i] = tree.NewSet(tree.Path("/"+name+"/"+name+"/"+name), tree.KeyEarlyAfter, tree.Number(1000))
	}
	return edits
}

// fullNodes returns nodes with long names and values for all keys that are allowed
// on a scope.
func fullNodes(n int) []tree.Node {
	nodes := make([]tree.Node, 0, n)
	name := string(bytes.Repeat([]byte("x"), 50))
	for i := range n {
		values := map[tree.Key]tree.Value{}
		for _, s := range tree.Specs() {
			if s.DeepestKind == tree.KindScope {
				values[s.Key] = s.Default
			}
		}
		nodes = append(nodes, tree.Node{Path: tree.Path(fmt.Sprintf("/%s/%s/%s-%07d", name, name, name, i)), Values: values})
	}
	return nodes
}

// Guards against ignoring trailing data after a value or document.
func TestTextAfterAValueIsRefused(t *testing.T) {
	is := is.New(t)
	for _, bad := range []string{"1 2", "1,", `"a" "b"`, "", "1.5", "null", "[1]", "99999999999999999999"} {
		_, err := DecodeValue([]byte(bad))
		is.True(err != nil) // not one whole number or string
	}
	_, err := DecodeSegment([]byte(`{"nodes":[{"path":"/"}]}{"nodes":[]}`))
	is.True(err != nil)
	_, err = DecodeEditFile([]byte(`{"edits":[{"action":"create","path":"/a","value":1}]}`))
	is.True(err != nil) // a value with create
}
