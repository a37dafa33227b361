package tree

import (
	"fmt"
	"strings"

	"toucanpulley.example/internal/model"
)

// Record is an accepted change with the revision that it created.
type Record struct {
	Revision model.Revision
	Change   Change
}

// Conflict is an edit of a change that was accepted after the base revision and
// that concerns a node which the rebased change edits too.
type Conflict struct {
	// Edit is the edit of the accepted change.
	Edit     Edit
	ChangeID ChangeID
	Author   string
	Revision model.Revision
}

// String describes the conflicting edit.
func (c Conflict) String() string {
	description := c.Edit.Action.String() + " " + string(c.Edit.Path)
	if c.Edit.Key != "" {
		description += " " + string(c.Edit.Key)
	}
	if c.Edit.Action == ActionSet {
		description += "=" + c.Edit.Value.String()
	}
	return fmt.Sprintf("%s by %s in revision %d", description, c.Author, c.Revision)
}

// ConflictError is returned for a change with conflicts.
type ConflictError struct {
	Conflicts []Conflict
}

// Error lists the conflicts.
func (e *ConflictError) Error() string {
	descriptions := make([]string, 0, len(e.Conflicts))
	for _, c := range e.Conflicts {
		descriptions = append(descriptions, c.String())
	}
	return "changed by others since the base revision: " + strings.Join(descriptions, "; ")
}

// conflictsWith reports whether two edits concern the same node, or one removes
// a subtree that contains the node of the other.
func (e Edit) conflictsWith(other Edit) bool {
	return e.Path == other.Path ||
		e.Action == ActionRemove && other.Path.IsWithin(e.Path) ||
		other.Action == ActionRemove && e.Path.IsWithin(other.Path)
}

// Conflicts returns the edits in records after the base of a change that
// conflict with its edits. A conflict is permanent, because records are
// append-only.
func Conflicts(c Change, since []Record) []Conflict {
	var conflicts []Conflict
	for _, r := range since {
		if r.Revision <= c.Base {
			continue
		}
		for _, o := range r.Change.Edits {
			for _, e := range c.Edits {
				if e.conflictsWith(o) {
					conflicts = append(conflicts, Conflict{
						Edit: o, ChangeID: r.Change.ID, Author: r.Change.Author, Revision: r.Revision,
					})
					break
				}
			}
		}
	}
	return conflicts
}

// Rebase applies a change that is based on an older revision to the tree of the
// last of the given records, which are those accepted since the base. It is a
// three-way merge by node: if no record conflicts with the change, its edits are
// applied and the result is validated; otherwise the error is a *ConflictError.
func (t Tree) Rebase(c Change, since []Record) (Tree, error) {
	if conflicts := Conflicts(c, since); len(conflicts) > 0 {
		return t, &ConflictError{Conflicts: conflicts}
	}
	return t.Apply(c.Edits)
}
