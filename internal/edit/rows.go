package edit

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// taskSpec is the immutable request of a task.
type taskSpec struct {
	change   tree.Change
	deadline time.Time
	// resolve is set for a task that only determines the outcome of the change.
	resolve bool
	// repeated is set if another host or another task may process the same
	// change.
	repeated bool
}

// phase is the processing state of a task.
type phase uint8

const (
	// phaseBackoff waits for the time of the next attempt.
	phaseBackoff phase = iota
	phaseReading
	// phaseDeciding has read a head, segments or records; decide advances the
	// task in the same tick.
	phaseDeciding
	phaseLoading
	phaseWritingObjects
	phaseWritingHead
)

// taskState is the progress of a task. Values are replaced, never modified.
type taskState struct {
	phase   phase
	attempt uint32
	due     time.Time

	// head was read at version. records are the records after the base revision
	// that have been read, oldest first, and first is the oldest revision that
	// they cover.
	head    tree.Head
	version uint64
	records []tree.Record
	first   model.Revision
	batches int

	// next, segments and result are the head, the segments and the tree to
	// write.
	next     tree.Head
	segments []tree.Segment
	result   tree.Tree
	// withdrawing is set while next withdraws the change; refusal is the answer
	// once it is written.
	withdrawing bool
	refusal     Answer

	// unresolved is set if a head write that accepts the change may have taken
	// effect over version unresolvedVersion.
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

// withCommand returns the state after the command of the next attempt was
// emitted.
func (s taskState) withCommand(p phase) taskState {
	s.phase, s.attempt, s.due = p, s.attempt+1, time.Time{}
	return s
}

// retry schedules the next attempt of a task after a jittered exponential
// backoff.
func (w *World) retry(id table.ID, s taskState) {
	n := max(s.conflicts, s.failures, 1)
	delay := min(minRetryDelay<<min(n-1, 16), maxRetryDelay)
	s.phase = phaseBackoff
	s.due = w.Now().Add(delay/2 + time.Duration(w.Random.Int64N(int64(delay/2)+1)))
	w.state.Set(id, s)
}

// answer answers a task and removes it.
func (w *World) answer(id table.ID, a Answer) {
	a.ChangeID = w.spec.Get(id).change.ID
	w.Emit(Count{a.Outcome.String()})
	w.Emit(Respond{Task: w.tasks.Key(id), Answer: a})
	w.tasks.Remove(id)
}

// abort answers a task that cannot be finished. The answer is NotAccepted only
// if the change was certainly not accepted, and Unknown otherwise.
func (w *World) abort(id table.ID, reason string) {
	sp, s := w.spec.Get(id), w.state.Get(id)
	if s.detail != "" {
		reason += ": " + s.detail
	}
	mayTakeEffect := s.unresolved || s.phase == phaseWritingHead && !s.withdrawing
	if sp.resolve || sp.repeated || mayTakeEffect {
		w.answer(id, Answer{Outcome: Unknown, Message: reason})
		return
	}
	w.answer(id, Answer{Outcome: NotAccepted, Message: reason})
}
