package tree

import (
	"slices"

	"toucanpulley.example/internal/fault"
)

// SegmentedTree is a tree with the segments that hold its nodes.
type SegmentedTree struct {
	Tree     Tree
	Segments []Segment
}

// NewSegmentedTree builds a tree from segments. Without segments it has only the
// root.
func NewSegmentedTree(segments []Segment) (SegmentedTree, error) {
	var nodes []Node
	for _, s := range segments {
		nodes = append(nodes, s.Nodes...)
	}
	t, err := FromNodes(nodes)
	return SegmentedTree{Tree: t, Segments: segments}, err
}

// WithSegments returns the tree of the given segments. It reuses the nodes of
// segments with the same names and validates only the others. For a change of
// one node of 100,000, this is several times cheaper than NewSegmentedTree.
func (s SegmentedTree) WithSegments(segments []Segment) (SegmentedTree, error) {
	if len(s.Segments) == 0 || len(segments) == 0 {
		return NewSegmentedTree(segments)
	}
	nameSet := func(list []Segment) map[string]bool {
		m := make(map[string]bool, len(list))
		for _, g := range list {
			m[g.Name] = true
		}
		return m
	}
	oldNames, newNames := nameSet(s.Segments), nameSet(segments)
	d := s.Tree.draft()
	var removed, added []Node
	for _, g := range s.Segments {
		if !newNames[g.Name] {
			removed = append(removed, g.Nodes...)
		}
	}
	for _, g := range segments {
		if !oldNames[g.Name] {
			added = append(added, g.Nodes...)
		}
	}
	if err := d.replace(removed, added); err != nil {
		return SegmentedTree{}, err
	}
	return SegmentedTree{Tree: d.tree(), Segments: segments}, nil
}

// replace removes nodes and adds others. It returns an error if the result has
// duplicate paths, no root, or a node without a parent.
func (d draft) replace(removed, added []Node) error {
	for _, n := range removed {
		delete(d.nodes, n.Path)
	}
	for _, n := range added {
		if _, ok := d.nodes[n.Path]; ok {
			return fault.New("create node", "", "%s exists already", n.Path)
		}
		if _, err := ParsePath(string(n.Path)); err != nil {
			return err
		}
		d.nodes[n.Path] = Node{Path: n.Path}
		if err := d.setValues(n); err != nil {
			return err
		}
	}
	for _, n := range added {
		if _, ok := d.nodes[n.Path.Parent()]; !ok {
			return fault.New("create node", "", "%s has no parent", n.Path)
		}
	}
	isMissing := func(n Node) bool { _, ok := d.nodes[n.Path]; return !ok }
	if !slices.ContainsFunc(removed, isMissing) {
		return nil
	}
	for p := range d.nodes {
		if _, ok := d.nodes[p.Parent()]; !ok {
			return fault.New("create node", "", "%s has no parent", p)
		}
	}
	return nil
}
