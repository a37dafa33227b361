package edit

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// taskSpec is what a task was asked to do; it does not change.
type taskSpec struct {
	change   tree.Change
	deadline time.Time
	// resolve is set for a task that only asks what became of the change.
	resolve bool
	// repeated is set if another host, or another task, may work on the
	// change.
	repeated bool
}

// phase is what a task waits for.
type phase uint8

const (
	// phasePaused waits until a time for its next attempt.
	phasePaused phase = iota
	phaseReading
	// phaseDeciding has a head and goes on in the same tick.
	phaseDeciding
	phaseLoading
	phaseWritingParts
	phaseWritingHead
)

// taskState is how far a task has come. Values are replaced, never modified.
type taskState struct {
	phase   phase
	attempt uint32
	due     time.Time

	// head was read at version; records are those after the base as far as
	// they are read, oldest first, and first is the oldest revision covered.
	head    tree.Head
	version uint64
	records []tree.Record
	first   model.Revision
	batches int

	// next, segments and result are the head, the segments and the tree to be
	// written.
	next     tree.Head
	segments []tree.Segment
	result   tree.Tree
	// withdrawing is set while next withdraws the change.
	withdrawing bool
	refusal     Answer

	// unresolved is set if a head write that accepts the change may have
	// taken effect with the expected version unresolvedVersion.
	unresolved        bool
	unresolvedVersion uint64

	conflicts int
	failures  int
	detail    string
}

// withHead returns the state after a head was read.
func (s taskState) withHead(h tree.Head, version uint64) taskState {
	s.phase, s.head, s.version = phaseDeciding, h, version
	s.records, s.first, s.batches = h.Recent, h.Sealed+1, 0
	s.next, s.segments, s.result, s.withdrawing, s.failures = tree.Head{}, nil, tree.Tree{}, false, 0
	return s
}

// withBatch returns the state with an older batch of records.
func (s taskState) withBatch(b tree.Batch) taskState {
	s.records = append(append([]tree.Record{}, b.Records...), s.records...)
	s.first, s.batches = b.First, s.batches+1
	return s
}

// covers reports whether the records reach back to a base revision.
func (s taskState) covers(base model.Revision) bool { return s.first <= base+1 }

// withCommand returns the state after a command of the next attempt was sent.
func (s taskState) withCommand(p phase) taskState {
	s.phase, s.attempt, s.due = p, s.attempt+1, time.Time{}
	return s
}

// retry pauses a task before it reads the head again.
func (w *World) retry(id table.ID, s taskState) {
	n := max(s.conflicts, s.failures, 1)
	delay := min(minRetryDelay<<min(n-1, 16), maxRetryDelay)
	s.phase = phasePaused
	s.due = w.Now().Add(delay/2 + time.Duration(w.Random.Int64N(int64(delay/2)+1)))
	w.state.Set(id, s)
}

// answer ends a task.
func (w *World) answer(id table.ID, a Answer) {
	a.ChangeID = w.spec.Get(id).change.ID
	w.Emit(Count{a.Outcome.String()})
	w.Emit(Respond{Task: w.tasks.Key(id), Answer: a})
	w.tasks.Remove(id)
}

// abort ends a task that cannot be finished. The answer is NotAccepted only
// if this host is sure of it.
func (w *World) abort(id table.ID, why string) {
	j, s := w.spec.Get(id), w.state.Get(id)
	if s.detail != "" {
		why += ": " + s.detail
	}
	open := s.unresolved || s.phase == phaseWritingHead && !s.withdrawing
	if j.resolve || j.repeated || open {
		w.answer(id, Answer{Outcome: Unknown, Message: why})
		return
	}
	w.answer(id, Answer{Outcome: NotAccepted, Message: why})
}
