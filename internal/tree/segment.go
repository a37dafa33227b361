package tree

import "github.com/cespare/xxhash/v2"

// Segment is an immutable list of consecutive nodes, sorted by path.
type Segment struct {
	// Name is the content hash with its prefix; empty until it is encoded.
	Name  string
	Nodes []Node
}

const (
	// minSegmentNodes is the minimum size of a segment, and meanNodesToCut the
	// mean number of further nodes up to the next cut point, so that segments
	// have 128 nodes on average. A change of one node of n rewrites its segment
	// and the list of segments in the head. For n = 100,000 nodes of 100 bytes
	// and names of 52 bytes, the number of bytes written has a flat minimum at a
	// segment size of sqrt(52n/100), which is 228. Without a minimum size, the
	// segment of a random node would have 256 nodes on average instead of 160,
	// because a random node is more likely to be in a long segment.
	minSegmentNodes = 64
	meanNodesToCut  = 64
	// maxSegmentNodes is the maximum size of a segment. A node with every key set
	// takes at most 1.3 KB, so that a segment is smaller than 670 KB.
	maxSegmentNodes = 512
)

// Split divides nodes, sorted by path, into segments without names. It uses
// content-defined chunking (Muthitacharoen, Chen, Mazières 2001): a segment ends
// after a path whose hash is a multiple of meanNodesToCut. Cut points depend on
// paths alone, so that setting a value changes a single segment, and creating or
// removing a node moves few cut points.
func Split(nodes []Node) []Segment {
	var segments []Segment
	first := 0
	for i, n := range nodes {
		last, size := i == len(nodes)-1, i-first+1
		cut := size >= minSegmentNodes && xxhash.Sum64String(string(n.Path))%meanNodesToCut == 0
		if last || cut || size == maxSegmentNodes {
			segments = append(segments, Segment{Nodes: nodes[first : i+1]})
			first = i + 1
		}
	}
	return segments
}

// Repack splits the tree that results from applying edits to the nodes of the
// old segments. Unchanged segments are reused with their names; the others have
// no name yet.
func (t Tree) Repack(old []Segment, edits []Edit) []Segment {
	edited := map[Path]bool{}
	for _, e := range edits {
		edited[e.Path] = true
	}
	byFirstPath := make(map[Path]Segment, len(old))
	for _, s := range old {
		if len(s.Nodes) > 0 {
			byFirstPath[s.Nodes[0].Path] = s
		}
	}
	segments := Split(t.Nodes())
	for i, s := range segments {
		if previous, ok := byFirstPath[s.Nodes[0].Path]; ok && s.unchanged(previous, edited) {
			segments[i] = previous
		}
	}
	return segments
}

// unchanged reports whether the segment has the same paths as the previous one
// and none of them was edited.
func (s Segment) unchanged(previous Segment, edited map[Path]bool) bool {
	if len(s.Nodes) != len(previous.Nodes) {
		return false
	}
	for i, n := range s.Nodes {
		if n.Path != previous.Nodes[i].Path || edited[n.Path] {
			return false
		}
	}
	return true
}
