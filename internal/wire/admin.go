package wire

import (
	"slices"

	"toucanpulley.example/internal/edit"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/pkg/entry"
)

// DecodeChange decodes and validates an operator's change. It does not set the time.
func DecodeChange(m *entry.ApplyChangeRequest) (tree.Change, error) {
	docs := make([]EditDocument, 0, len(m.GetEdits()))
	for _, e := range m.GetEdits() {
		d := EditDocument{Action: actionName(e.GetAction()), Path: e.GetPath(), Key: e.GetKey()}
		if e.GetValue() != "" {
			d.Value = []byte(e.GetValue())
		}
		docs = append(docs, d)
	}
	edits, err := DecodeEdits(docs)
	if err != nil {
		return tree.Change{}, fault.Wrap(err, "check change", "")
	}
	c := tree.Change{
		ID: tree.ChangeID(m.GetChangeId()), Author: m.GetAuthor(), Reason: m.GetReason(),
		Base: model.Revision(m.GetBaseRevision()), Edits: edits,
	}
	return c, c.Check()
}

// actionName returns the name of an action, or "" if it is unknown.
func actionName(a entry.EditAction) string {
	if a < 0 || a > entry.EditAction_EDIT_ACTION_REMOVE {
		return ""
	}
	return tree.Action(a).String()
}

// EditMessages returns the messages for edits.
func EditMessages(edits []tree.Edit) []*entry.Edit {
	list := make([]*entry.Edit, 0, len(edits))
	for _, e := range edits {
		list = append(list, &entry.Edit{
			Action: entry.EditAction(e.Action), Path: string(e.Path), Key: string(e.Key), Value: editValue(e),
		})
	}
	return list
}

func editValue(e tree.Edit) string {
	if e.Action != tree.ActionSet {
		return ""
	}
	return string(EncodeValue(e.Value))
}

// changeStates maps outcomes to their enum values in messages.
var changeStates = map[edit.Outcome]entry.ChangeState{
	edit.Unknown:     entry.ChangeState_CHANGE_STATE_UNKNOWN,
	edit.Accepted:    entry.ChangeState_CHANGE_STATE_ACCEPTED,
	edit.NotAccepted: entry.ChangeState_CHANGE_STATE_NOT_ACCEPTED,
}

// ApplyChangeResponse returns the message for an answer to a change.
func ApplyChangeResponse(a edit.Answer) *entry.ApplyChangeResponse {
	m := &entry.ApplyChangeResponse{State: changeStates[a.Outcome], Revision: uint64(a.Revision), Message: a.Message}
	for _, c := range a.Conflicts {
		m.Conflicts = append(m.Conflicts, &entry.Conflict{
			Path: string(c.Edit.Path), Key: string(c.Edit.Key), Author: c.Author, Revision: uint64(c.Revision),
			Value: editValue(c.Edit), Action: entry.EditAction(c.Edit.Action), ChangeId: string(c.ChangeID),
		})
	}
	return m
}

// ResolveChangeResponse returns the message for the outcome of an earlier change.
func ResolveChangeResponse(a edit.Answer) *entry.ResolveChangeResponse {
	return &entry.ResolveChangeResponse{State: changeStates[a.Outcome], Revision: uint64(a.Revision), Message: a.Message}
}

// NodeMessages returns the messages for the nodes at and below a path, in path
// order. It returns an error if the path does not exist.
func NodeMessages(t tree.Tree, p tree.Path) ([]*entry.Node, error) {
	if _, ok := t.Node(p); !ok {
		return nil, fault.New("get settings", "", "%s does not exist", p)
	}
	var list []*entry.Node
	for _, n := range t.Nodes() {
		if !n.Path.IsWithin(p) {
			continue
		}
		m := &entry.Node{Path: string(n.Path), Kind: n.Path.Kind().String(), Values: map[string]string{}}
		for k, v := range n.Values {
			m.Values[string(k)] = string(EncodeValue(v))
		}
		list = append(list, m)
	}
	return list, nil
}

// EffectiveValueMessages returns the messages for effective values with their sources.
func EffectiveValueMessages(values []tree.EffectiveValue) []*entry.EffectiveValue {
	list := make([]*entry.EffectiveValue, 0, len(values))
	for _, v := range values {
		list = append(list, &entry.EffectiveValue{
			Key: string(v.Key), Value: string(EncodeValue(v.Value)), Source: string(v.Source),
		})
	}
	return list
}

// HistoryResponse returns the message for records that are sorted oldest first.
// The message lists them newest first.
func HistoryResponse(records []tree.Record) *entry.HistoryResponse {
	m := &entry.HistoryResponse{}
	for _, r := range slices.Backward(records) {
		c := r.Change
		m.Entries = append(m.Entries, &entry.HistoryEntry{
			Revision: uint64(r.Revision), ChangeId: string(c.ID), Author: c.Author, Reason: c.Reason,
			TimeMs: c.Time.UnixMilli(), Edits: EditMessages(c.Edits), BaseRevision: uint64(c.Base),
		})
	}
	return m
}
