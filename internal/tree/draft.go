package tree

import (
	"maps"
	"slices"

	"toucanpulley.example/internal/fault"
)

// draft is a mutable tree. It owns its map of nodes, so that a batch of edits
// copies the map once. The values of a node are copied on write.
type draft struct {
	nodes map[Path]Node
}

func (t Tree) draft() draft { return draft{nodes: maps.Clone(t.nodes)} }

func (d draft) tree() Tree { return Tree(d) }

func (d draft) create(p Path) error {
	if _, err := ParsePath(string(p)); err != nil {
		return err
	}
	if _, ok := d.nodes[p]; ok {
		return fault.New("create node", "", "%s exists already", p)
	}
	if _, ok := d.nodes[p.Parent()]; !ok {
		return fault.New("create node", "", "%s has no parent; create %s first", p, p.Parent())
	}
	d.nodes[p] = Node{Path: p}
	return nil
}

func (d draft) remove(p Path) error {
	if p == Root {
		return fault.New("remove node", "", "the root cannot be removed")
	}
	if _, ok := d.nodes[p]; !ok {
		return fault.New("remove node", "", "%s does not exist", p)
	}
	maps.DeleteFunc(d.nodes, func(q Path, _ Node) bool { return q.IsWithin(p) })
	return nil
}

func (d draft) set(p Path, k Key, v Value) error {
	n, ok := d.nodes[p]
	if !ok {
		return fault.New("set value", "", "%s does not exist", p)
	}
	if err := checkValue(p, k, v); err != nil {
		return err
	}
	values := maps.Clone(n.Values)
	if values == nil {
		values = map[Key]Value{}
	}
	values[k] = v
	d.nodes[p] = Node{Path: p, Values: values}
	return nil
}

func (d draft) unset(p Path, k Key) error {
	n, ok := d.nodes[p]
	if !ok {
		return fault.New("unset value", "", "%s does not exist", p)
	}
	if _, ok := n.Values[k]; !ok {
		return fault.New("unset value", "", "%s %s is not set", p, k)
	}
	values := maps.Clone(n.Values)
	delete(values, k)
	if len(values) == 0 {
		values = nil
	}
	d.nodes[p] = Node{Path: p, Values: values}
	return nil
}

// setValues replaces all values of a node, unless the given node has none.
func (d draft) setValues(n Node) error {
	if len(n.Values) == 0 {
		return nil
	}
	for _, k := range slices.Sorted(maps.Keys(n.Values)) {
		if err := checkValue(n.Path, k, n.Values[k]); err != nil {
			return err
		}
	}
	d.nodes[n.Path] = Node{Path: n.Path, Values: maps.Clone(n.Values)}
	return nil
}

func checkValue(p Path, k Key, v Value) error {
	spec, ok := FindSpec(k)
	if !ok {
		return fault.New("set value", "", "%s %s: unknown key", p, k)
	}
	return spec.Check(p, v)
}
