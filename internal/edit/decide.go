package edit

import (
	"errors"
	"fmt"

	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// decide is the system that advances every task in phaseDeciding until it needs
// I/O.
func (w *World) decide() {
	for id := range w.tasks.All() {
		if w.state.Get(id).phase == phaseDeciding {
			w.decideTask(id, w.spec.Get(id), w.state.Get(id))
		}
	}
}

func (w *World) decideTask(id table.ID, sp taskSpec, s taskState) {
	if r, ok := tree.FindRecord(s.records, sp.change.ID); ok {
		w.answerFromHistory(id, sp, r)
		return
	}
	if s.head.IsWithdrawn(sp.change.ID) {
		w.answer(id, Answer{Outcome: NotAccepted, Message: "the change was resolved as not accepted"})
		return
	}
	if !s.covers(sp.change.Base) {
		w.loadBatch(id, s)
		return
	}
	if s.unresolved && s.version > s.unresolvedVersion {
		s.unresolved = false // the write can no longer take effect
	}
	switch {
	case sp.resolve:
		w.withdraw(id, s, Answer{Outcome: NotAccepted, Message: "the change is not in the history"})
	case sp.change.Base > s.head.Revision:
		// Either the read is stale or the base revision does not exist.
		w.handleFailure(id, s, ResultUnavailable, fmt.Sprintf("base revision %d is newer than %d, the newest on the platform", sp.change.Base, s.head.Revision))
	case s.conflicts > maxConflicts:
		w.state.Set(id, s)
		w.abort(id, "too many other changes at the same time")
	default:
		w.rebase(id, sp, s)
	}
}

// answerFromHistory answers a task whose change ID is in the history.
func (w *World) answerFromHistory(id table.ID, sp taskSpec, r tree.Record) {
	if !sp.resolve && !r.Change.EqualExceptTime(sp.change) {
		w.answer(id, Answer{
			Outcome: NotAccepted,
			Message: fmt.Sprintf("the change id belongs to another change, accepted as revision %d", r.Revision),
		})
		return
	}
	w.answer(id, Answer{Outcome: Accepted, Revision: r.Revision})
}

// loadBatch loads the next older history object.
func (w *World) loadBatch(id table.ID, s taskState) {
	if s.batches >= maxBatches {
		w.answer(id, Answer{Outcome: Unknown, Message: fmt.Sprintf(
			"the base revision is too old to search the history back to it; it was searched back to revision %d", s.first,
		)})
		return
	}
	s = s.withCommand(phaseLoading)
	w.state.Set(id, s)
	w.Emit(Load{Task: w.tasks.Key(id), Attempt: s.attempt, Batch: s.first - 1})
}

// rebase applies the change to the newest tree and starts the write of the
// result.
func (w *World) rebase(id table.ID, sp taskSpec, s taskState) {
	if missing := w.missingSegments(s.head.Segments); len(missing) > 0 {
		s = s.withCommand(phaseLoading)
		w.state.Set(id, s)
		w.Emit(Load{Task: w.tasks.Key(id), Attempt: s.attempt, Segments: missing})
		return
	}
	w.pruneSegments(s)
	if err := w.updateBase(s.head); err != nil {
		s.detail = err.Error()
		w.state.Set(id, s)
		w.abort(id, "the settings on the platform are not valid")
		return
	}
	next, err := w.base.Tree.Rebase(sp.change, s.records)
	if err != nil {
		w.refuse(id, sp, s, err)
		return
	}
	s.result, s.segments = next, next.Repack(w.base.Segments, sp.change.Edits)
	w.writeObjects(id, sp, s)
}

// updateBase sets base to the tree of a head whose segments are all in the
// cache.
func (w *World) updateBase(h tree.Head) error {
	segments := make([]tree.Segment, 0, len(h.Segments))
	for _, n := range h.Segments {
		segments = append(segments, tree.Segment{Name: n, Nodes: w.segmentCache[n]})
	}
	next, err := w.base.WithSegments(segments)
	if err != nil {
		w.base = tree.SegmentedTree{}
		return err
	}
	w.base = next
	return nil
}

// refuse answers a change that is not allowed. If another host may process the
// change, it is withdrawn first, because later edits by others may make it
// allowed again. A conflict needs no withdrawal, because it is permanent.
// Neither does an unresolved head write of this task: the change was allowed at
// that version, so this head has a higher one.
func (w *World) refuse(id table.ID, sp taskSpec, s taskState, cause error) {
	a := Answer{Outcome: NotAccepted, Message: cause.Error()}
	var conflicted *tree.ConflictError
	if errors.As(cause, &conflicted) {
		a.Conflicts = conflicted.Conflicts
		w.answer(id, a)
		return
	}
	if sp.repeated {
		w.withdraw(id, s, a)
		return
	}
	w.answer(id, a)
}

// withdraw records in the head that the change is not accepted, so that no
// other host accepts it later.
func (w *World) withdraw(id table.ID, s taskState, a Answer) {
	if s.version == 0 {
		// There is no head to record it in, and the first change may be in
		// progress.
		w.state.Set(id, s)
		w.abort(id, "there are no settings on the platform yet")
		return
	}
	s.refusal, s.withdrawing = a, true
	s.next = s.head.WithWithdrawn(w.spec.Get(id).change.ID, w.Now())
	w.writeHead(id, s)
}

// writeObjects starts the write of the new segments, and of a batch of records
// if the head holds enough of them.
func (w *World) writeObjects(id table.ID, sp taskSpec, s taskState) {
	s.withdrawing, s.next = false, s.head
	batch, seals := s.head.BatchToSeal(w.SealRecords)
	if seals {
		s.next = s.next.WithSealed(batch)
	}
	s.next = s.next.WithChange(sp.change, nil)
	s = s.withCommand(phaseWritingObjects)
	w.state.Set(id, s)
	var unnamed []tree.Segment
	for _, sg := range s.segments {
		if sg.Name == "" {
			unnamed = append(unnamed, sg)
		}
	}
	w.Emit(WriteObjects{Task: w.tasks.Key(id), Attempt: s.attempt, Segments: unnamed, Batch: batch})
}

func (w *World) writeHead(id table.ID, s taskState) {
	s = s.withCommand(phaseWritingHead)
	w.state.Set(id, s)
	w.Emit(WriteHead{Task: w.tasks.Key(id), Attempt: s.attempt, Head: s.next, IfVersion: s.version})
}

// startAttempts is the system that starts the next attempt of tasks whose
// backoff is over.
func (w *World) startAttempts() {
	for id := range w.tasks.All() {
		s := w.state.Get(id)
		if s.phase != phaseBackoff {
			continue
		}
		if w.Now().Before(s.due) {
			w.WakeAt(s.due)
			continue
		}
		s = s.withCommand(phaseReading)
		w.state.Set(id, s)
		w.Emit(ReadHead{Task: w.tasks.Key(id), Attempt: s.attempt})
	}
}

// missingSegments returns the names of the segments that are not in the cache.
func (w *World) missingSegments(names []string) []string {
	var missing []string
	for _, n := range names {
		if _, ok := w.segmentCache[n]; !ok {
			missing = append(missing, n)
		}
	}
	return missing
}

// pruneSegments removes segments that the newest head does not refer to, so
// that the cache does not outgrow the tree.
func (w *World) pruneSegments(s taskState) {
	if s.version < w.minVersion || len(w.segmentCache) <= len(s.head.Segments) {
		return
	}
	kept := make(map[string][]tree.Node, len(s.head.Segments))
	for _, n := range s.head.Segments {
		kept[n] = w.segmentCache[n]
	}
	w.segmentCache = kept
}
