// Package tree implements the settings tree: nodes with typed keys, where a
// child inherits every value that it does not set itself.
//
// The levels are root, client account, service and search scope. A Tree is an
// immutable value; its With methods return modified copies that share the
// unchanged nodes.
//
// # Usage
//
//	t, err := tree.New().WithNode("/dastkar")
//	t, err = t.WithValue("/dastkar", tree.KeyWeight, tree.Number(3))
//	settings := t.Effective("/dastkar")
package tree

import (
	"maps"
	"slices"

	"toucanpulley.example/internal/fault"
)

// Node is a node with the values that are set on it.
type Node struct {
	Path   Path
	Values map[Key]Value
}

// Tree is an immutable settings tree.
type Tree struct {
	nodes map[Path]Node
}

// New returns a tree that has only the root.
func New() Tree {
	return Tree{nodes: map[Path]Node{Root: {Path: Root}}}
}

// FromNodes builds a tree from nodes in any order and validates each of them.
// Paths must be unique.
func FromNodes(nodes []Node) (Tree, error) {
	d := New().draft()
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b Node) int { return int(a.Path.Kind()) - int(b.Path.Kind()) })
	roots := 0
	for _, n := range sorted {
		if n.Path == Root {
			if roots++; roots > 1 {
				return Tree{}, fault.New("create node", "", "the root is given twice")
			}
		} else if err := d.create(n.Path); err != nil {
			return Tree{}, err
		}
		if err := d.setValues(n); err != nil {
			return Tree{}, err
		}
	}
	return d.tree(), nil
}

// Len returns the number of nodes, including the root.
func (t Tree) Len() int { return len(t.nodes) }

// Node returns the node at a path.
func (t Tree) Node(p Path) (Node, bool) {
	n, ok := t.nodes[p]
	return n, ok
}

// Nodes returns all nodes sorted by path.
func (t Tree) Nodes() []Node {
	nodes := make([]Node, 0, len(t.nodes))
	for _, p := range slices.Sorted(maps.Keys(t.nodes)) {
		nodes = append(nodes, t.nodes[p])
	}
	return nodes
}

// WithNode returns the tree with a new, empty node. The parent must exist, and
// the node must not exist yet.
func (t Tree) WithNode(p Path) (Tree, error) {
	return t.with(func(d draft) error { return d.create(p) })
}

// WithoutNode returns the tree without a node and its descendants. The root
// cannot be removed.
func (t Tree) WithoutNode(p Path) (Tree, error) {
	return t.with(func(d draft) error { return d.remove(p) })
}

// WithValue returns the tree with a value set on a node. The key must be known,
// and the value must be allowed for the key and the level of the node.
func (t Tree) WithValue(p Path, k Key, v Value) (Tree, error) {
	return t.with(func(d draft) error { return d.set(p, k, v) })
}

// WithoutValue returns the tree with a key of a node unset, so that the node
// inherits it. The key must be set there.
func (t Tree) WithoutValue(p Path, k Key) (Tree, error) {
	return t.with(func(d draft) error { return d.unset(p, k) })
}

// with returns the edited tree, or the original one if the edit fails.
func (t Tree) with(edit func(draft) error) (Tree, error) {
	d := t.draft()
	if err := edit(d); err != nil {
		return t, err
	}
	return d.tree(), nil
}

// EffectiveValue is the value of a key with the node that it is inherited from.
type EffectiveValue struct {
	Key   Key
	Value Value
	// Source is the node that sets the value; empty for the default.
	Source Path
}

// Explain returns the effective value of every key at a node with its source. It
// returns an error if the node does not exist.
func (t Tree) Explain(p Path) ([]EffectiveValue, error) {
	if _, ok := t.nodes[p]; !ok {
		return nil, fault.New("explain settings", "", "%s does not exist", p)
	}
	values := make([]EffectiveValue, 0, len(specs))
	for _, s := range specs {
		values = append(values, t.lookup(p, s))
	}
	return values, nil
}

// lookup returns the value of the nearest node on the way to the root that sets
// the key, or the default.
func (t Tree) lookup(p Path, s Spec) EffectiveValue {
	for {
		if v, ok := t.nodes[p].Values[s.Key]; ok {
			return EffectiveValue{Key: s.Key, Value: v, Source: p}
		}
		if p == Root {
			return EffectiveValue{Key: s.Key, Value: s.Default}
		}
		p = p.Parent()
	}
}
