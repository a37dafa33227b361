package wire

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/tree"
)

// The name of a segment is segmentPrefix, followed by the first hashBytes of the
// SHA-256 hash of its value in hexadecimal: 49 characters. 128 bits are enough to
// avoid collisions.
const (
	segmentPrefix = "settings/segment/"
	hashBytes     = 16
)

// SegmentDocument is the JSON form of an immutable segment of nodes.
type SegmentDocument struct {
	Nodes []NodeDocument `json:"nodes"`
}

// NodeDocument is the JSON form of a settings node.
type NodeDocument struct {
	Path   string                     `json:"path"`
	Values map[string]json.RawMessage `json:"values,omitempty"`
}

// DecodeTree builds a tree from its segments and validates all values.
func DecodeTree(segments [][]byte) (tree.Tree, error) {
	var nodes []tree.Node
	for _, value := range segments {
		more, err := DecodeSegment(value)
		if err != nil {
			return tree.Tree{}, err
		}
		nodes = append(nodes, more...)
	}
	return tree.FromNodes(nodes)
}

// DecodeSegment decodes the nodes of a segment.
func DecodeSegment(value []byte) ([]tree.Node, error) {
	var doc SegmentDocument
	if err := decodeStrict(value, &doc); err != nil {
		return nil, fault.Wrap(err, "decode settings segment", "")
	}
	nodes := make([]tree.Node, 0, len(doc.Nodes))
	for _, n := range doc.Nodes {
		node, err := decodeNode(n)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	return nodes, nil
}

func decodeNode(doc NodeDocument) (tree.Node, error) {
	path, err := tree.ParsePath(doc.Path)
	if err != nil {
		return tree.Node{}, err
	}
	node := tree.Node{Path: path}
	if len(doc.Values) > 0 {
		node.Values = make(map[tree.Key]tree.Value, len(doc.Values))
	}
	for key, raw := range doc.Values {
		v, err := DecodeValue(raw)
		if err != nil {
			return tree.Node{}, fault.Wrap(err, "decode "+doc.Path+" "+key, "")
		}
		node.Values[tree.Key(key)] = v
	}
	return node, nil
}

// DecodeValue decodes a settings value from a JSON integer or string.
func DecodeValue(raw []byte) (tree.Value, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		return tree.Value{}, fault.Wrap(err, "decode value", "")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return tree.Value{}, fault.New("decode value", "", "%q has text after the value", raw)
	}
	switch v := v.(type) {
	case string:
		return tree.Enum(v), nil
	case json.Number:
		n, err := v.Int64()
		if err != nil {
			return tree.Value{}, fault.New("decode value", "", "%s is not allowed; allowed: a whole number or a string", v)
		}
		return tree.Number(n), nil
	default:
		return tree.Value{}, fault.New("decode value", "", "%s is not allowed; allowed: a whole number or a string", raw)
	}
}

// EncodeValue encodes a settings value as JSON.
func EncodeValue(v tree.Value) json.RawMessage {
	if s, ok := v.AsEnum(); ok {
		return EncodeJSON(s)
	}
	n, _ := v.AsNumber()
	return EncodeJSON(n)
}

// EncodeNodes returns the segment document of nodes.
func EncodeNodes(nodes []tree.Node) SegmentDocument {
	doc := SegmentDocument{Nodes: make([]NodeDocument, 0, len(nodes))}
	for _, n := range nodes {
		d := NodeDocument{Path: string(n.Path)}
		if len(n.Values) > 0 {
			d.Values = make(map[string]json.RawMessage, len(n.Values))
		}
		for k, v := range n.Values {
			d.Values[string(k)] = EncodeValue(v)
		}
		doc.Nodes = append(doc.Nodes, d)
	}
	return doc
}

// EncodeSegment returns the name and the value of the segment object for nodes.
// The name is derived from the hash of the value.
func EncodeSegment(nodes []tree.Node) (name string, value []byte) {
	value = EncodeJSON(EncodeNodes(nodes))
	return SegmentName(value), value
}

// SegmentName returns the name of the segment object with the given value.
func SegmentName(value []byte) string {
	sum := sha256.Sum256(value)
	return segmentPrefix + hex.EncodeToString(sum[:hashBytes])
}
