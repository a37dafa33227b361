// Package edit commits changes of the settings tree to the platform. It rebases
// a change on the newest revision, validates the result, writes the segments and
// the head, retries after version conflicts, and resolves writes whose reply was
// lost.
//
// A World holds a table of tasks: changes to apply and changes to resolve. Its
// systems run in a fixed order each tick; they take events and the time and
// return commands. The package performs no I/O, does not read the clock and does
// not depend on the encoding of messages. Its state is not persisted: after a
// restart, the head and the history on the platform show what was accepted.
//
// The conditional update of the head is the commit point. The head carries the
// newest change records, so that no accepted change can be missing from the
// history. A head read at version v without a change proves that no write of
// this change with an expected version below v can still take effect.
//
// # Usage
//
//	world := edit.NewWorld()
//	commands := world.Tick(now, []edit.Event{edit.Submitted{Task: 1, Change: c, Deadline: d}})
//	// perform ReadHead, Load, WriteObjects, WriteHead and Respond, and reply with
//	// HeadRead, Loaded, ObjectsWritten and HeadWritten
package edit

import (
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

const (
	// maxConflicts is how often a task is restarted because another change was
	// accepted first. With the delays below, ten hosts that change the tree at
	// the same moment all succeed.
	maxConflicts = 16
	// maxFailures is the number of consecutive failed platform calls after
	// which a task is aborted, unless its change may have been accepted.
	maxFailures = 5
	// minRetryDelay and maxRetryDelay bound the backoff before an attempt. It
	// doubles with each failure; the actual delay is drawn from its upper half.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = time.Second
	// maxBatches is the number of history objects that one task may read: 256
	// of 64 records each hold the changes of 8 hours at 49,000 a day.
	maxBatches = 256
	// MaxTaskDuration is the longest time that a task may take. A withdrawn
	// change ID is kept for longer than that.
	MaxTaskDuration = 30 * time.Second
)

// World holds the tasks of one host.
type World struct {
	tick.Frame[Event, Command]
	// Random is the source of the jitter of retry delays; set before the first
	// tick.
	Random *rand.Rand
	// SealRecords is the number of records in the head at which they are moved
	// to a history object; set before the first tick.
	SealRecords int

	tasks *table.Table[TaskID]
	spec  *table.Column[taskSpec]
	state *table.Column[taskState]

	// minVersion is a version that the head has certainly reached. A head with
	// a lower version is a stale read.
	minVersion uint64
	// segmentCache holds the nodes of the segments of the newest head seen, and
	// of no others.
	segmentCache map[string][]tree.Node
	// base is the tree of the head that was last rebased on or last written by
	// this host. The next head shares most segments with it.
	base tree.SegmentedTree
}

// NewWorld returns a world without tasks.
func NewWorld() *World {
	w := &World{
		Random: rand.New(rand.NewPCG(1, 2)), SealRecords: tree.SealRecords,
		tasks: table.New[TaskID](), segmentCache: map[string][]tree.Node{},
	}
	w.spec = table.NewColumn[taskSpec](w.tasks)
	w.state = table.NewColumn[taskState](w.tasks)
	w.SetSystems(
		w.admit, w.receiveHead, w.receiveLoaded, w.receiveObjectsWritten, w.receiveHeadWritten,
		w.expire, w.decide, w.startAttempts,
	)
	return w
}

// Running returns the number of tasks.
func (w *World) Running() int { return w.tasks.Len() }

// reply returns the task that waits in a phase for the reply to an attempt.
// Replies to earlier attempts are ignored.
func (w *World) reply(t TaskID, attempt uint32, p phase) (table.ID, bool) {
	id, ok := w.tasks.Find(t)
	if !ok {
		return 0, false
	}
	s := w.state.Get(id)
	return id, s.phase == p && s.attempt == attempt
}
