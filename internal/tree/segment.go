package tree

import "github.com/cespare/xxhash/v2"

// Segment is an immutable run of nodes in the order of their paths.
type Segment struct {
	// Name is the content hash with its prefix; empty until it is encoded.
	Name  string
	Nodes []Node
}

const (
	// minSegmentNodes is the least size of a segment and cutNodes the mean
	// number of nodes after it up to the next cut, so that segments have 128
	// nodes on average. For a change of one node of n, the segment and the
	// list of segments in the head are written anew; for 100,000 nodes of 100
	// bytes and names of 52 bytes the sum is least near sqrt(52n/100), which
	// is 228, and flat around it. Without a least size the segment of a node
	// drawn at random would have 256 nodes on average instead of 160, because
	// long segments hold more nodes.
	minSegmentNodes = 64
	meanNodesToCut  = 64
	// maxSegmentNodes bounds a segment. A node with every key set on it takes
	// at most 1.3 KB, so that a segment stays below 670 KB.
	maxSegmentNodes = 512
)

// Split cuts nodes, sorted by path, into segments without names. A segment
// ends after a path whose hash has a certain remainder, so that the cuts
// depend on paths alone: setting a value leaves all other segments as they
// were, and a node that comes or goes moves few cuts (content-defined
// chunking; Muthitacharoen, Chen, Mazières 2001).
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

// Repack splits the tree that edits made of the nodes in the old segments.
// Segments that the edits left as they were keep their names; the others have
// none yet.
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

// unchanged reports whether the segment has the same paths as before and none
// of them was touched.
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
