package tree

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
)

// Head is the state that one conditional update replaces: replacing it accepts
// a change. It carries the newest records, so that an accepted change is in
// the history by the same update; older records are in sealed batches.
//
// Encoded size: 52 bytes for each segment, which is 41 KB for 100,000 nodes
// (about 782 segments), at most 128 KB plus one change record of at most 90 KB
// for the records, and at most 24 KB for withdrawn ids. The largest head of a
// tree of 100,000 nodes is thus below 290 KB, and that of 1,000,000 nodes
// below 660 KB.
type Head struct {
	Revision model.Revision
	ChangeID ChangeID
	// Segments names the segments in the order of their nodes.
	Segments []string
	// Recent holds the records after Sealed, oldest first.
	Recent []Record
	// Sealed is the last revision whose record is in a batch; zero if none.
	Sealed model.Revision
	// Withdrawn holds ids of changes that were resolved as not accepted.
	Withdrawn []Withdrawal
}

// Withdrawal makes it final that a change was not accepted, although another
// host may still work on it.
type Withdrawal struct {
	ID   ChangeID
	Time time.Time
}

// Batch is a sealed, immutable run of records. Its content follows from its
// last revision: the host that seals writes all records that the head of this
// revision carries.
type Batch struct {
	First, Last model.Revision
	Records     []Record
}

const (
	// SealRecords is the number of records in the head at which they are
	// sealed. A batch of 64 costs one write for 64 changes and keeps the head
	// small.
	SealRecords = 64
	// sealBytes is the size of records, in bytes, at which they are sealed.
	sealBytes = 128 << 10
	// maxWithdrawn bounds the withdrawn ids in the head. An id must stay there
	// for as long as a host may work on its change, which is 30 s.
	maxWithdrawn = 128
)

// maxEncodedSize estimates the encoded maxEncodedSize from above, in bytes. JSON takes up to six
// bytes for one of the text.
func (r Record) maxEncodedSize() int {
	c := r.Change
	n := 160 + 6*(len(c.ID)+len(c.Author)+len(c.Reason))
	for _, e := range c.Edits {
		n += 64 + len(e.Path) + len(e.Key) + len(e.Value.String())
	}
	return n
}

// Find returns the record of a change among the recent ones.
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

// WithChange returns the head that accepts a change whose result is in the
// given segments.
func (h Head) WithChange(c Change, segments []string) Head {
	h.Revision++
	h.ChangeID, h.Segments = c.ID, segments
	h.Recent = append(slices.Clip(h.Recent), Record{Revision: h.Revision, Change: c})
	return h
}

// WithWithdrawn returns the head with a change marked as not accepted.
func (h Head) WithWithdrawn(id ChangeID, now time.Time) Head {
	kept := h.Withdrawn[max(0, len(h.Withdrawn)-maxWithdrawn+1):]
	h.Withdrawn = append(slices.Clone(kept), Withdrawal{ID: id, Time: time.UnixMilli(now.UnixMilli()).UTC()})
	return h
}

// BatchToSeal returns the records to seal before the next change, if there are at
// least as many as given, which is SealRecords but in tests, or if they are
// large.
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

// Replay returns the tree that a whole history makes, oldest record first.
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
