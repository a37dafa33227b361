package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// HeadName is the name of the head object.
const HeadName = "settings/head"

// HeadDocument is the JSON form of the object settings/head. A change is accepted
// when this object is replaced.
type HeadDocument struct {
	Revision uint64 `json:"revision"`
	// ChangeID is the id of the change that created this revision.
	ChangeID string `json:"changeId"`
	// Segments are the names of the objects that hold the nodes.
	Segments []string `json:"segments"`
	// Recent holds the records of changes after SealedThrough, oldest first.
	Recent []RecordDocument `json:"recent,omitempty"`
	// SealedThrough is the last revision that is recorded in a history object.
	SealedThrough uint64 `json:"sealedThrough,omitempty"`
	// Withdrawn holds changes that were resolved as not accepted.
	Withdrawn []WithdrawalDocument `json:"withdrawn,omitempty"`
}

// WithdrawalDocument is the JSON form of a withdrawn change.
type WithdrawalDocument struct {
	ChangeID string `json:"changeId"`
	TimeMs   int64  `json:"timeMs"`
}

// HistoryDocument is the JSON form of the object settings/history/<last>.
type HistoryDocument struct {
	FirstRevision uint64           `json:"firstRevision"`
	LastRevision  uint64           `json:"lastRevision"`
	Records       []RecordDocument `json:"records"`
}

// RecordDocument is the JSON form of an accepted change.
type RecordDocument struct {
	Revision     uint64         `json:"revision"`
	ChangeID     string         `json:"changeId"`
	Author       string         `json:"author"`
	Reason       string         `json:"reason"`
	TimeMs       int64          `json:"timeMs"`
	BaseRevision uint64         `json:"baseRevision"`
	Edits        []EditDocument `json:"edits"`
}

// EditDocument is the JSON form of an edit.
type EditDocument struct {
	Action string          `json:"action"`
	Path   string          `json:"path"`
	Key    string          `json:"key,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
}

// DecodeHead decodes a head object. It does not validate the records, so that
// settings can be loaded despite an invalid history; HeadDocument.Head does.
func DecodeHead(value []byte) (HeadDocument, error) {
	var doc HeadDocument
	if err := decodeStrict(value, &doc); err != nil {
		return HeadDocument{}, fault.Wrap(err, "decode settings head", "")
	}
	return doc, nil
}

// SettingsRevision returns the revision of the head document.
func (d HeadDocument) SettingsRevision() model.Revision { return model.Revision(d.Revision) }

// Head returns the head of the document. It returns an error if the records do
// not cover every revision after SealedThrough.
func (d HeadDocument) Head() (tree.Head, error) {
	records, err := decodeRecords(d.Recent, d.SealedThrough+1, d.Revision)
	if err != nil {
		return tree.Head{}, fault.Wrap(err, "decode settings head", "")
	}
	h := tree.Head{
		Revision: model.Revision(d.Revision), ChangeID: tree.ChangeID(d.ChangeID), Segments: d.Segments,
		Recent: records, Sealed: model.Revision(d.SealedThrough),
	}
	for _, w := range d.Withdrawn {
		h.Withdrawn = append(h.Withdrawn, tree.Withdrawal{ID: tree.ChangeID(w.ChangeID), Time: fromMillis(w.TimeMs)})
	}
	return h, nil
}

// EncodeHead returns the value of the head object.
func EncodeHead(h tree.Head) []byte {
	doc := HeadDocument{
		Revision: uint64(h.Revision), ChangeID: string(h.ChangeID), Segments: h.Segments,
		Recent: encodeRecords(h.Recent), SealedThrough: uint64(h.Sealed),
	}
	for _, w := range h.Withdrawn {
		doc.Withdrawn = append(doc.Withdrawn, WithdrawalDocument{ChangeID: string(w.ID), TimeMs: w.Time.UnixMilli()})
	}
	return EncodeJSON(doc)
}

// HistoryName returns the name of the history object whose last record has the
// given revision. Names sort in revision order.
func HistoryName(last model.Revision) string {
	return fmt.Sprintf("settings/history/%020d", uint64(last))
}

// DecodeHistory returns the records of a history object.
func DecodeHistory(value []byte) (tree.Batch, error) {
	var doc HistoryDocument
	if err := decodeStrict(value, &doc); err != nil {
		return tree.Batch{}, fault.Wrap(err, "decode settings history", "")
	}
	records, err := decodeRecords(doc.Records, doc.FirstRevision, doc.LastRevision)
	if err != nil {
		return tree.Batch{}, fault.Wrap(err, "decode settings history", "")
	}
	return tree.Batch{
		First: model.Revision(doc.FirstRevision), Last: model.Revision(doc.LastRevision), Records: records,
	}, nil
}

// EncodeHistory returns the value of a history object.
func EncodeHistory(b tree.Batch) []byte {
	return EncodeJSON(HistoryDocument{
		FirstRevision: uint64(b.First), LastRevision: uint64(b.Last), Records: encodeRecords(b.Records),
	})
}

// decodeRecords decodes the records of the revisions from first to last. It
// returns an error if one is missing, because a gap in the history would make a
// recorded change look absent.
func decodeRecords(docs []RecordDocument, first, last uint64) ([]tree.Record, error) {
	if first == 0 || uint64(len(docs)) != last-first+1 {
		return nil, fault.New("decode records", "", "%d records for revisions %d to %d", len(docs), first, last)
	}
	var records []tree.Record
	for i, d := range docs {
		if d.Revision != first+uint64(i) {
			return nil, fault.New("decode records", "", "revision %d stands where %d belongs", d.Revision, first+uint64(i))
		}
		edits, err := DecodeEdits(d.Edits)
		if err != nil {
			return nil, err
		}
		records = append(records, tree.Record{Revision: model.Revision(d.Revision), Change: tree.Change{
			ID: tree.ChangeID(d.ChangeID), Author: d.Author, Reason: d.Reason, Time: fromMillis(d.TimeMs),
			Base: model.Revision(d.BaseRevision), Edits: edits,
		}})
	}
	return records, nil
}

func encodeRecords(records []tree.Record) []RecordDocument {
	docs := make([]RecordDocument, 0, len(records))
	for _, r := range records {
		c := r.Change
		docs = append(docs, RecordDocument{
			Revision: uint64(r.Revision), ChangeID: string(c.ID), Author: c.Author, Reason: c.Reason,
			TimeMs: c.Time.UnixMilli(), BaseRevision: uint64(c.Base), Edits: EncodeEdits(c.Edits),
		})
	}
	return docs
}

func fromMillis(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

// editActions maps the names of actions to actions.
var editActions = map[string]tree.Action{
	"create": tree.ActionCreate, "set": tree.ActionSet, "unset": tree.ActionUnset, "remove": tree.ActionRemove,
}

// DecodeEdits decodes edits. It returns an error if a field is set that the
// action does not use.
func DecodeEdits(docs []EditDocument) ([]tree.Edit, error) {
	var edits []tree.Edit
	for i, d := range docs {
		e, err := decodeEdit(d)
		if err != nil {
			return nil, fault.Wrap(err, fmt.Sprintf("decode edit %d", i+1), "")
		}
		edits = append(edits, e)
	}
	return edits, nil
}

func decodeEdit(d EditDocument) (tree.Edit, error) {
	path, err := tree.ParsePath(d.Path)
	if err != nil {
		return tree.Edit{}, err
	}
	action, ok := editActions[d.Action]
	if !ok {
		return tree.Edit{}, fault.New("decode action", "", "%q is not allowed; allowed: create, set, unset, remove", d.Action)
	}
	if takesKey := action == tree.ActionSet || action == tree.ActionUnset; takesKey != (d.Key != "") {
		return tree.Edit{}, fault.New("decode key", "", "key %q with action %s is not allowed; allowed: a key with set and unset only", d.Key, d.Action)
	}
	e := tree.Edit{Action: action, Path: path, Key: tree.Key(d.Key)}
	if action != tree.ActionSet {
		if len(d.Value) > 0 {
			return tree.Edit{}, fault.New("decode value", "", "value %s with action %s is not allowed; allowed: a value with set only", d.Value, d.Action)
		}
		return e, nil
	}
	e.Value, err = DecodeValue(d.Value)
	return e, err
}

// EncodeEdits returns the documents of edits.
func EncodeEdits(edits []tree.Edit) []EditDocument {
	docs := make([]EditDocument, 0, len(edits))
	for _, e := range edits {
		d := EditDocument{Action: e.Action.String(), Path: string(e.Path), Key: string(e.Key)}
		if e.Action == tree.ActionSet {
			d.Value = EncodeValue(e.Value)
		}
		docs = append(docs, d)
	}
	return docs
}

// DecodeEditFile decodes an operator's file of edits: {"edits": [...]}.
func DecodeEditFile(value []byte) ([]tree.Edit, error) {
	var doc struct {
		Edits []EditDocument `json:"edits"`
	}
	if err := decodeStrict(value, &doc); err != nil {
		return nil, fault.Wrap(err, "decode edits", "")
	}
	if len(doc.Edits) == 0 || len(doc.Edits) > tree.MaxEdits {
		return nil, fault.New("decode edits", "", "%d edits are not allowed; allowed: 1 to %d", len(doc.Edits), tree.MaxEdits)
	}
	return DecodeEdits(doc.Edits)
}
