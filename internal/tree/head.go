package tree

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
)

// Head is the root object of the settings store. A change is committed by a
// conditional update of the head. The head contains the newest records, so that
// the same update adds the change to the history; older records are in sealed
// batches.
//
// Encoded size: 52 bytes per segment, which is 41 KB for 100,000 nodes (about
// 782 segments), plus at most 128 KB and one change record of at most 90 KB for
// the records, plus at most 24 KB for withdrawn ids. The head of a tree of
// 100,000 nodes is thus smaller than 290 KB, and that of 1,000,000 nodes smaller
// than 660 KB.
type Head struct {
	Revision model.Revision
	ChangeID ChangeID
	// Segments holds the names of the segments in the order of their nodes.
	Segments []string
	// Recent holds the records after Sealed, oldest first.
	Recent []Record
	// Sealed is the last revision whose record is in a batch; zero if none.
	Sealed model.Revision
	// Withdrawn holds the changes that were resolved as not accepted.
	Withdrawn []Withdrawal
}

// Withdrawal marks a change as permanently rejected, so that a host that is
// still processing it cannot commit it.
type Withdrawal struct {
	ID   ChangeID
	Time time.Time
}

// Batch is an immutable sequence of records that were moved out of the head.
// Its last revision determines its content: all records in the head of that
// revision.
type Batch struct {
	First, Last model.Revision
	Records     []Record
}

const (
	// SealRecords is the number of records in the head that triggers sealing. A
	// batch of 64 takes one write per 64 changes and keeps the head small.
	SealRecords = 64
	// sealBytes is the size of the records in the head that triggers sealing.
	sealBytes = 128 << 10
	// maxWithdrawnChanges is the maximum number of withdrawn ids in the head. An id
	// must be kept for as long as a host may process its change, which is 30 s.
	maxWithdrawnChanges = 128
)

// maxEncodedSize returns an upper bound of the encoded size in bytes. Without
// texts, a record takes up to 160 bytes and an edit up to 64. JSON takes up to six
// bytes for a byte of text.
func (r Record) maxEncodedSize() int {
	c := r.Change
	n := 160 + 6*(len(c.ID)+len(c.Author)+len(c.Reason))
	for _, e := range c.Edits {
		n += 64 + len(e.Path) + len(e.Key) + len(e.Value.String())
	}
	return n
}

// Find returns the record of a change if it is in Recent.
func (h Head) Find(id ChangeID) (Record, bool) {
	return FindRecord(h.Recent, id)
}

// FindRecord returns the record of a change.
func FindRecord(records []Record, id ChangeID) (Record, bool) {
	i := slices.IndexFunc(records, func(r Record) bool { return r.Change.ID == id })
	if i < 0 {
		return Record{}, false
	}
	return records[i], true
}

// IsWithdrawn reports whether a change was resolved as not accepted.
func (h Head) IsWithdrawn(id ChangeID) bool {
	return slices.ContainsFunc(h.Withdrawn, func(w Withdrawal) bool { return w.ID == id })
}

// WithChange returns the head of the next revision, with the change added and
// the given segments as its tree.
func (h Head) WithChange(c Change, segments []string) Head {
	h.Revision++
	h.ChangeID, h.Segments = c.ID, segments
	h.Recent = append(slices.Clip(h.Recent), Record{Revision: h.Revision, Change: c})
	return h
}

// WithWithdrawn returns the head with a change marked as not accepted. The
// oldest marks are dropped beyond maxWithdrawnChanges.
func (h Head) WithWithdrawn(id ChangeID, now time.Time) Head {
	kept := h.Withdrawn[max(0, len(h.Withdrawn)-maxWithdrawnChanges+1):]
	h.Withdrawn = append(slices.Clone(kept), Withdrawal{ID: id, Time: time.UnixMilli(now.UnixMilli()).UTC()})
	return h
}

// BatchToSeal returns the records to seal before the next change. It reports
// false if there are fewer than minRecords, which is SealRecords outside tests,
// and their size is below sealBytes.
func (h Head) BatchToSeal(minRecords int) (Batch, bool) {
	size := 0
	for _, r := range h.Recent {
		size += r.maxEncodedSize()
	}
	if len(h.Recent) < minRecords && size < sealBytes {
		return Batch{}, false
	}
	return Batch{First: h.Sealed + 1, Last: h.Revision, Records: h.Recent}, true
}

// WithSealed returns the head without the records of a batch.
func (h Head) WithSealed(b Batch) Head {
	h.Sealed = b.Last
	h.Recent = slices.DeleteFunc(slices.Clone(h.Recent), func(r Record) bool { return r.Revision <= b.Last })
	return h
}

// Replay returns the tree that results from a complete history, oldest record
// first.
func Replay(records []Record) (Tree, error) {
	t := New()
	var err error
	for _, r := range records {
		if t, err = t.Apply(r.Change.Edits); err != nil {
			return Tree{}, err
		}
	}
	return t, nil
}
