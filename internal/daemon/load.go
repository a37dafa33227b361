package daemon

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/wire"
)

// loader builds a bundle from objects of the platform or of a peer.
type loader struct {
	base spread.Bundle
	// fetch returns the values of the named segments.
	fetch func(context.Context, []string) (map[string][]byte, error)
	log   hclog.Logger
}

// load returns the base bundle updated with a settings head and index objects,
// and the settings tree if it has changed. The received segments came with the
// head. A zero head leaves the settings unchanged.
func (l loader) load(ctx context.Context, head spread.Object, received map[string][]byte, indexes []spread.Object) (spread.Bundle, tree.Tree, error) {
	next, t := l.base, tree.Tree{}
	if head.Name != "" {
		var err error
		if next, t, err = l.loadSettings(ctx, head, received); err != nil {
			return spread.Bundle{}, tree.Tree{}, err
		}
	}
	var version uint64
	decoded := map[string]model.Index{}
	for _, o := range indexes {
		version = max(version, o.Version)
		x, err := wire.DecodeIndex(o.Name, o.Value)
		if err != nil {
			// Peers still receive the object. This host keeps using the last valid
			// index.
			l.log.Error("index object is invalid", "object", o.Name, "version", o.Version, "error", err)
			continue
		}
		decoded[o.Name] = x
	}
	if len(indexes) > 0 {
		next = next.WithIndexes(version, indexes, decoded)
	}
	return next, t, nil
}

// loadSettings decodes a head with its segments. It fetches only segments that
// were not received with the head and are not in the base bundle.
func (l loader) loadSettings(ctx context.Context, head spread.Object, received map[string][]byte) (spread.Bundle, tree.Tree, error) {
	doc, err := wire.DecodeHead(head.Value)
	if err != nil {
		return spread.Bundle{}, tree.Tree{}, err
	}
	if doc.SettingsRevision() <= l.base.Revision {
		return l.base, tree.Tree{}, nil
	}
	segments := map[string][]byte{}
	var missing []string
	for _, name := range doc.Segments {
		value, ok := received[name]
		if !ok {
			value, ok = l.base.Segment(name)
		}
		if !ok {
			missing = append(missing, name)
			continue
		}
		segments[name] = value
	}
	if len(missing) > 0 {
		fetched, err := l.fetch(ctx, missing)
		if err != nil {
			return spread.Bundle{}, tree.Tree{}, err
		}
		for _, name := range missing {
			if fetched[name] == nil {
				return spread.Bundle{}, tree.Tree{}, fault.New("load settings", "", "segment %s is missing", name)
			}
			segments[name] = fetched[name]
		}
	}
	values := make([][]byte, 0, len(doc.Segments))
	for _, name := range doc.Segments {
		values = append(values, segments[name])
	}
	t, err := wire.DecodeTree(values)
	if err != nil {
		return spread.Bundle{}, tree.Tree{}, err
	}
	return l.base.WithSettings(doc.SettingsRevision(), head, segments), t, nil
}

func toObject(o store.Object) spread.Object {
	return spread.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

func toObjects(list []store.Object) []spread.Object {
	objects := make([]spread.Object, 0, len(list))
	for _, o := range list {
		objects = append(objects, toObject(o))
	}
	return objects
}
