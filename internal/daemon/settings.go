package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/wire"
)

// readHead returns the head with the version of its object.
func readHead(ctx context.Context, s store.Store) (tree.Head, uint64, error) {
	o, err := s.Get(ctx, wire.HeadName)
	if err != nil {
		return tree.Head{}, 0, err
	}
	doc, err := wire.DecodeHead(o.Value)
	if err != nil {
		return tree.Head{}, 0, errors.Join(errInvalid, err)
	}
	h, err := doc.Head()
	if err != nil {
		return tree.Head{}, 0, errors.Join(errInvalid, err)
	}
	return h, o.Version, nil
}

// readSegments reads segments concurrently and verifies that the hash of each
// value matches its name.
func readSegments(ctx context.Context, s store.Store, names []string) ([]tree.Segment, error) {
	segments, errs := make([]tree.Segment, len(names)), make([]error, segmentReaders)
	var wg sync.WaitGroup
	for r := range segmentReaders {
		wg.Go(func() {
			for i := r; i < len(names) && errs[r] == nil; i += segmentReaders {
				segments[i], errs[r] = readSegment(ctx, s, names[i])
			}
		})
	}
	wg.Wait()
	return segments, errors.Join(errs...)
}

func readSegment(ctx context.Context, s store.Store, name string) (tree.Segment, error) {
	o, err := s.Get(ctx, name)
	if err != nil {
		return tree.Segment{}, err
	}
	if wire.SegmentName(o.Value) != name {
		return tree.Segment{}, errors.Join(errInvalid, fault.New("read segment", "", "%s has another hash", name))
	}
	nodes, err := wire.DecodeSegment(o.Value)
	if err != nil {
		return tree.Segment{}, errors.Join(errInvalid, err)
	}
	return tree.Segment{Name: name, Nodes: nodes}, nil
}

// writeSegment writes a segment. A conflict is ignored, because an existing
// segment of that name has the same value: the name is the hash of the value.
func writeSegment(ctx context.Context, s store.Store, nodes []tree.Node) (string, error) {
	name, value := wire.EncodeSegment(nodes)
	if _, err := put(ctx, s, name, value, 0); err != nil && !errors.Is(err, store.ErrConflict) {
		return "", err
	}
	return name, nil
}

// readBatch reads the history object that ends with the given revision.
func readBatch(ctx context.Context, s store.Store, last model.Revision) (tree.Batch, error) {
	o, err := s.Get(ctx, wire.HistoryName(last))
	if err != nil {
		return tree.Batch{}, err
	}
	b, err := wire.DecodeHistory(o.Value)
	if err == nil && b.Last != last {
		err = fault.New("read history", "", "%s ends with revision %d", wire.HistoryName(last), b.Last)
	}
	if err != nil {
		return tree.Batch{}, errors.Join(errInvalid, err)
	}
	return b, nil
}

// writeBatch writes a batch of records, unless it is empty. It returns an error
// if the history object exists with another value.
func writeBatch(ctx context.Context, s store.Store, b tree.Batch) error {
	if len(b.Records) == 0 {
		return nil
	}
	name, value := wire.HistoryName(b.Last), wire.EncodeHistory(b)
	_, err := put(ctx, s, name, value, 0)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	o, err := s.Get(ctx, name)
	if err != nil {
		return err
	}
	if !bytes.Equal(o.Value, value) {
		return errors.Join(errInvalid, fault.New("write history", "", "%s exists with other records", name))
	}
	return nil
}

// readHistory returns up to limit records before a revision, oldest first. If
// before is zero, it returns the newest records.
func readHistory(ctx context.Context, s store.Store, limit int, before model.Revision) ([]tree.Record, error) {
	h, _, err := readHead(ctx, s)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if before == 0 {
		before = h.Revision + 1
	}
	earlier := func(records []tree.Record) []tree.Record {
		return slices.DeleteFunc(slices.Clone(records), func(r tree.Record) bool { return r.Revision >= before })
	}
	records, sealed := earlier(h.Recent), h.Sealed
	for len(records) < limit && sealed > 0 {
		b, err := readBatch(ctx, s, sealed)
		if err != nil {
			return nil, err
		}
		records = append(earlier(b.Records), records...)
		sealed = b.First - 1
	}
	return records[max(0, len(records)-limit):], nil
}

// WriteSettings writes a tree to a platform without settings. The history it
// writes consists of changes that build the tree from the empty one, with the
// author, reason and time of c. A tree of up to 256 edits is one revision.
func WriteSettings(ctx context.Context, s store.Store, c tree.Change, t tree.Tree) error {
	if err := t.Validate(); err != nil {
		return err
	}
	var names []string
	for _, segment := range tree.Split(t.Nodes()) {
		name, err := writeSegment(ctx, s, segment.Nodes)
		if err != nil {
			return err
		}
		names = append(names, name)
	}
	h := tree.Head{}
	for i, edits := range t.CreationEdits() {
		if b, full := h.BatchToSeal(tree.SealRecords); full {
			if err := writeBatch(ctx, s, b); err != nil {
				return err
			}
			h = h.WithSealed(b)
		}
		next := c
		next.Base, next.Edits = h.Revision, edits
		if i > 0 {
			next.ID += tree.ChangeID(fmt.Sprintf("-%d", i+1))
		}
		h = h.WithChange(next, names)
	}
	_, err := put(ctx, s, wire.HeadName, wire.EncodeHead(h), 0)
	return fault.Wrap(err, "write settings head", "")
}
