package edit

import (
	"slices"

	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

// admit is the system that adds a task for each request. Tasks with the same
// change ID are marked as repeated.
func (w *World) admit() {
	tick.Each(w.Inbox(), func(e Submitted) {
		repeated := e.Repeated
		for id := range w.tasks.All() {
			if sp := w.spec.Get(id); sp.change.ID == e.Change.ID {
				sp.repeated, repeated = true, true
				w.spec.Set(id, sp)
			}
		}
		w.addTask(e.Task, taskSpec{change: e.Change.WithTime(w.Now()), deadline: e.Deadline, repeated: repeated})
	})
	tick.Each(w.Inbox(), func(e OutcomeRequested) {
		w.addTask(e.Task, taskSpec{change: tree.Change{ID: e.ChangeID, Base: e.Base}, deadline: e.Deadline, resolve: true})
	})
}

func (w *World) addTask(t TaskID, sp taskSpec) {
	if latest := w.Now().Add(MaxTaskDuration); sp.deadline.After(latest) {
		sp.deadline = latest
	}
	id, _ := w.tasks.Add(t)
	w.spec.Set(id, sp)
	w.state.Set(id, taskState{phase: phaseBackoff, due: w.Now()})
}

// receiveHead is the system that processes heads that were read. A head older
// than minVersion is a stale read and counts as a failure.
func (w *World) receiveHead() {
	tick.Each(w.Inbox(), func(e HeadRead) {
		id, ok := w.reply(e.Task, e.Attempt, phaseReading)
		if !ok {
			return
		}
		s := w.state.Get(id)
		if e.Result == ResultMissing {
			e.Result, e.Head, e.Version = ResultDone, tree.Head{}, 0
		}
		switch {
		case e.Result != ResultDone:
			w.handleFailure(id, s, e.Result, e.Detail)
		case e.Version < w.minVersion:
			w.Emit(Count{"staleRead"})
			w.handleFailure(id, s, ResultUnavailable, "the platform answered from an old state")
		default:
			w.minVersion = e.Version
			w.state.Set(id, s.withHead(e.Head, e.Version))
		}
	})
}

// receiveLoaded is the system that adds loaded segments to the cache and loaded
// records to the task.
func (w *World) receiveLoaded() {
	tick.Each(w.Inbox(), func(e Loaded) {
		for _, s := range e.Segments {
			w.segmentCache[s.Name] = s.Nodes
		}
		id, ok := w.reply(e.Task, e.Attempt, phaseLoading)
		if !ok {
			return
		}
		s := w.state.Get(id)
		if e.Result != ResultDone {
			w.handleFailure(id, s, e.Result, e.Detail)
			return
		}
		if e.Batch.Last != 0 && e.Batch.Last == s.first-1 {
			s = s.withBatch(e.Batch)
		}
		s.phase = phaseDeciding
		w.state.Set(id, s)
	})
}

// receiveObjectsWritten is the system that starts the head write once every
// object that the head refers to exists.
func (w *World) receiveObjectsWritten() {
	tick.Each(w.Inbox(), func(e ObjectsWritten) {
		id, ok := w.reply(e.Task, e.Attempt, phaseWritingObjects)
		if !ok {
			return
		}
		s := w.state.Get(id)
		if e.Result != ResultDone {
			w.handleFailure(id, s, e.Result, e.Detail)
			return
		}
		names, newNames := make([]string, 0, len(s.segments)), e.Names
		named := slices.Clone(s.segments)
		for i, sg := range named {
			if sg.Name == "" {
				named[i].Name, newNames = newNames[0], newNames[1:]
			}
			names = append(names, named[i].Name)
		}
		s.next.Segments, s.segments = names, named
		w.writeHead(id, s)
	})
}

// receiveHeadWritten is the system that processes the results of head writes. If
// the outcome of a write that accepts the change is unknown, the task is
// unresolved until a newer head is read.
func (w *World) receiveHeadWritten() {
	tick.Each(w.Inbox(), func(e HeadWritten) {
		id, ok := w.reply(e.Task, e.Attempt, phaseWritingHead)
		if !ok {
			return
		}
		s := w.state.Get(id)
		s.detail = e.Detail
		switch e.Result {
		case ResultDone:
			w.minVersion = max(w.minVersion, e.Version)
			w.finishWrite(id, s)
		case ResultConflict:
			// The version has increased, so a head with the expected version is
			// stale.
			w.minVersion = max(w.minVersion, s.version+1)
			s.conflicts++
			w.Emit(Count{"conflict"})
			w.retry(id, s)
		case ResultUnknown:
			if !s.withdrawing {
				s.unresolved, s.unresolvedVersion = true, s.version
			}
			w.Emit(Count{"lostReply"})
			w.handleFailure(id, s, ResultUnavailable, e.Detail)
		default:
			w.handleFailure(id, s, e.Result, e.Detail)
		}
	})
}

// finishWrite answers a task whose head was written.
func (w *World) finishWrite(id table.ID, s taskState) {
	if s.withdrawing {
		w.answer(id, s.refusal)
		return
	}
	w.base = tree.SegmentedTree{Tree: s.result, Segments: s.segments}
	for _, sg := range s.segments {
		w.segmentCache[sg.Name] = sg.Nodes
	}
	w.answer(id, Answer{Outcome: Accepted, Revision: s.next.Revision})
}

// handleFailure counts a failed call, then schedules a retry or aborts the
// task.
func (w *World) handleFailure(id table.ID, s taskState, r Result, detail string) {
	s.failures++
	s.detail = detail
	s.phase = phaseBackoff
	w.state.Set(id, s)
	w.Emit(Count{"platformFailed"})
	if r == ResultInvalid || s.failures >= maxFailures && !s.unresolved {
		w.abort(id, "the platform could not be used")
		return
	}
	w.retry(id, s)
}

// expire is the system that aborts tasks at their deadline.
func (w *World) expire() {
	for id := range w.tasks.All() {
		if d := w.spec.Get(id).deadline; !w.Now().Before(d) {
			w.abort(id, "not finished before the deadline")
		} else {
			w.WakeAt(d)
		}
	}
}
