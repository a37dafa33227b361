package tree

import (
	"maps"
	"slices"
	"time"
	"unicode"
	"unicode/utf8"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// Action is what an edit does.
type Action uint8

// Actions of edits.
const (
	// ActionCreate creates a node.
	ActionCreate Action = iota + 1
	// ActionSet sets one key of a node.
	ActionSet
	// ActionUnset removes one key of a node, so that it inherits.
	ActionUnset
	// ActionRemove removes a node and all below it.
	ActionRemove
)

// String returns the name used in logs and JSON; empty for no known action.
func (a Action) String() string {
	if a > ActionRemove {
		return ""
	}
	return [...]string{"", "create", "set", "unset", "remove"}[a]
}

// Edit is a single modification of a node.
type Edit struct {
	Action Action
	Path   Path
	// Key is set for ActionSet and ActionUnset.
	Key Key
	// Value is set for ActionSet.
	Value Value
}

// NewCreate returns an edit that creates a node.
func NewCreate(p Path) Edit { return Edit{Action: ActionCreate, Path: p} }

// NewSet returns an edit that sets one key of a node.
func NewSet(p Path, k Key, v Value) Edit {
	return Edit{Action: ActionSet, Path: p, Key: k, Value: v}
}

// NewUnset returns an edit that removes one key of a node.
func NewUnset(p Path, k Key) Edit { return Edit{Action: ActionUnset, Path: p, Key: k} }

// NewRemove returns an edit that removes a node and all below it.
func NewRemove(p Path) Edit { return Edit{Action: ActionRemove, Path: p} }

// ChangeID is the unique identifier of a change.
type ChangeID string

// Change is a set of edits that is applied atomically.
type Change struct {
	ID     ChangeID
	Author string
	// Reason says why the change was made. It is shown in the history.
	Reason string
	// Time is when the entry host received the change, in whole milliseconds.
	Time time.Time
	// Base is the revision on which the edits are based.
	Base  model.Revision
	Edits []Edit
}

// Limits of a change. They bound the size of a change record, which is stored
// in the head object.
const (
	// MaxEdits is the maximum number of edits in a change.
	MaxEdits = 256
	// maxAuthorBytes, maxReasonBytes and maxChangeIDBytes limit the text fields.
	maxAuthorBytes   = 128
	maxReasonBytes   = 1024
	maxChangeIDBytes = 128
)

// WithTime returns a copy with the given time, truncated to milliseconds.
func (c Change) WithTime(t time.Time) Change {
	c.Time = time.UnixMilli(t.UnixMilli()).UTC()
	return c
}

// Check validates the fields of the change independently of any tree. The error
// names the invalid field.
func (c Change) Check() error {
	if err := c.ID.Check(); err != nil {
		return err
	}
	if err := checkText("author", c.Author, maxAuthorBytes); err != nil {
		return err
	}
	if err := checkText("reason", c.Reason, maxReasonBytes); err != nil {
		return err
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return fault.New("check change", "", "%d edits are not allowed; allowed: 1 to %d", len(c.Edits), MaxEdits)
	}
	for i, e := range c.Edits {
		if _, err := ParsePath(string(e.Path)); err != nil {
			return err
		}
		if e.Action < ActionCreate || e.Action > ActionRemove {
			return fault.New("check change", "", "edit %d of %s has no action; allowed: create, set, unset, remove", i+1, e.Path)
		}
	}
	return nil
}

// Check validates the length and the characters of the id.
func (id ChangeID) Check() error { return checkText("changeId", string(id), maxChangeIDBytes) }

// checkText also rejects control characters, because their JSON escapes are six
// bytes long.
func checkText(field, s string, maxBytes int) error {
	nonPrintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if s == "" || len(s) > maxBytes || !utf8.ValidString(s) || slices.ContainsFunc([]rune(s), nonPrintable) {
		return fault.New("check change", "", "%s %q is not allowed; allowed: 1 to %d bytes of printable text", field, s, maxBytes)
	}
	return nil
}

// EqualExceptTime reports whether two changes are equal except for the time at
// which an entry host received them.
func (c Change) EqualExceptTime(other Change) bool {
	return c.ID == other.ID && c.Author == other.Author && c.Reason == other.Reason &&
		c.Base == other.Base && slices.Equal(c.Edits, other.Edits)
}

// Apply returns the tree with all edits applied in order. Only the final tree
// is validated. If an edit or the final tree is invalid, Apply returns the
// original tree and an error.
func (t Tree) Apply(edits []Edit) (Tree, error) {
	next, err := t.with(func(d draft) error {
		for _, e := range edits {
			if err := d.apply(e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return t, err
	}
	if err := next.Validate(); err != nil {
		return t, err
	}
	return next, nil
}

// CreationEdits returns lists of edits that build the tree from an empty one
// when they are applied in order. A list has at most MaxEdits edits. The edits
// of a node are never split between lists, so that the tree is valid after
// each list.
func (t Tree) CreationEdits() [][]Edit {
	lists := [][]Edit{nil}
	for _, n := range t.Nodes() {
		var edits []Edit
		if n.Path != Root {
			edits = append(edits, NewCreate(n.Path))
		}
		for _, k := range slices.Sorted(maps.Keys(n.Values)) {
			edits = append(edits, NewSet(n.Path, k, n.Values[k]))
		}
		last := len(lists) - 1
		if len(lists[last])+len(edits) > MaxEdits {
			lists = append(lists, edits)
			continue
		}
		lists[last] = append(lists[last], edits...)
	}
	return lists
}

func (d draft) apply(e Edit) error {
	switch e.Action {
	case ActionCreate:
		return d.create(e.Path)
	case ActionSet:
		return d.set(e.Path, e.Key, e.Value)
	case ActionUnset:
		return d.unset(e.Path, e.Key)
	case ActionRemove:
		return d.remove(e.Path)
	}
	return fault.New("apply edit", "", "%s: unknown action %d", e.Path, e.Action)
}

// Validate checks the constraints between keys and nodes: the effective
// timeoutMs of a node must not exceed its effective maxTimeoutMs, whichever
// nodes set them. A node that sets neither key needs no check, because it
// inherits both from its parent.
func (t Tree) Validate() error {
	timeoutSpec, maxTimeoutSpec := specByKey[KeyTimeout], specByKey[KeyMaxTimeout]
	for p, n := range t.nodes {
		_, setsTimeout := n.Values[KeyTimeout]
		_, setsMaxTimeout := n.Values[KeyMaxTimeout]
		if !setsTimeout && !setsMaxTimeout {
			continue
		}
		timeout, maxTimeout := t.lookup(p, timeoutSpec), t.lookup(p, maxTimeoutSpec)
		if timeout.Value.number > maxTimeout.Value.number {
			return fault.New("check settings", "", "%s %s: %s from %s is not allowed; allowed: at most %s, which is %s from %s",
				p, KeyTimeout, timeout.Value, timeout.Origin(), KeyMaxTimeout, maxTimeout.Value, maxTimeout.Origin())
		}
	}
	return nil
}

// Origin describes the source for error messages.
func (v EffectiveValue) Origin() string {
	if v.Source == "" {
		return "the default"
	}
	return string(v.Source)
}
