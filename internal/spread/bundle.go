package spread

import (
	"maps"
	"slices"

	"toucanpulley.example/internal/model"
)

// Object is a named value of the platform.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// segment is a settings segment and the revision with which this host received
// it.
type segment struct {
	value         []byte
	addedRevision model.Revision
}

// Bundle is an immutable set of settings, index objects and the leaving list.
// Peers pull from the bundle of a host.
type Bundle struct {
	Revision model.Revision
	// Head is the settings head.
	Head Object
	// IndexVersion is the highest version of an index object.
	IndexVersion uint64
	Leaving      LeavingList

	segments map[string]segment
	indexes  map[string]Object
	decoded  map[string]model.Index
}

// WithSettings returns the bundle with the given head and exactly its segments.
// Segments that the bundle already has keep the revision with which they came.
func (b Bundle) WithSettings(r model.Revision, head Object, segments map[string][]byte) Bundle {
	next := make(map[string]segment, len(segments))
	for name, value := range segments {
		addedRevision := r
		if old, ok := b.segments[name]; ok {
			addedRevision = old.addedRevision
		}
		next[name] = segment{value: value, addedRevision: addedRevision}
	}
	b.Revision, b.Head, b.segments = r, head, next
	return b
}

// WithIndexes returns the bundle with newer index objects and the version up to
// which they are complete. Objects with a version that is not higher than that
// of the current one are ignored.
func (b Bundle) WithIndexes(version uint64, objects []Object, decoded map[string]model.Index) Bundle {
	b.indexes, b.decoded = maps.Clone(b.indexes), maps.Clone(b.decoded)
	if b.indexes == nil {
		b.indexes, b.decoded = map[string]Object{}, map[string]model.Index{}
	}
	for _, o := range objects {
		if old, ok := b.indexes[o.Name]; ok && old.Version >= o.Version {
			continue
		}
		b.indexes[o.Name] = o
		if x, ok := decoded[o.Name]; ok {
			// An object that cannot be decoded is still forwarded, but the last
			// valid one stays in force.
			b.decoded[o.Name] = x
		}
	}
	b.IndexVersion = max(b.IndexVersion, version)
	return b
}

// WithLeaving returns the bundle with the given leaving list.
func (b Bundle) WithLeaving(l LeavingList) Bundle {
	b.Leaving = l
	return b
}

// Segment returns a settings segment.
func (b Bundle) Segment(name string) ([]byte, bool) {
	s, ok := b.segments[name]
	return s.value, ok
}

// Indexes returns the decoded index objects.
func (b Bundle) Indexes() []model.Index {
	list := make([]model.Index, 0, len(b.decoded))
	for _, name := range slices.Sorted(maps.Keys(b.decoded)) {
		list = append(list, b.decoded[name])
	}
	return list
}

// SegmentsSince returns the segments that a host with the given revision may
// lack: those received with a higher one.
func (b Bundle) SegmentsSince(r model.Revision) []Object {
	var list []Object
	for _, name := range slices.Sorted(maps.Keys(b.segments)) {
		if s := b.segments[name]; s.addedRevision > r {
			list = append(list, Object{Name: name, Value: s.value})
		}
	}
	return list
}

// IndexesSince returns the index objects with a higher version.
func (b Bundle) IndexesSince(version uint64) []Object {
	var list []Object
	for _, name := range slices.Sorted(maps.Keys(b.indexes)) {
		if o := b.indexes[name]; o.Version > version {
			list = append(list, o)
		}
	}
	return list
}

// merge returns the newer parts of two bundles.
func (b Bundle) merge(other Bundle) Bundle {
	if other.Revision > b.Revision {
		b.Revision, b.Head, b.segments = other.Revision, other.Head, other.segments
	}
	if other.IndexVersion > b.IndexVersion {
		b = b.WithIndexes(other.IndexVersion, slices.Collect(maps.Values(other.indexes)), other.decoded)
	}
	if other.Leaving.Stamp > b.Leaving.Stamp {
		b.Leaving = other.Leaving
	}
	return b
}
