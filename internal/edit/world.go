// Package edit decides how a change of the settings tree is carried through on
// the platform: it rebases the change on the newest revision, validates the
// result, has the segments and the head written, retries on version conflicts,
// and finds out what became of a write whose reply was lost.
//
// A World holds a table of tasks: changes to apply and changes to resolve. Its
// systems run in a fixed order each tick; they take events and the time and
// return commands. The package does no I/O, reads no clock and knows no
// encoding. Nothing of it outlives the process: after a restart the head and
// the history on the platform tell what was accepted.
//
// The conditional update of the head is the commit point. The head carries the
// newest change records, so that no accepted change can be missing from the
// history. A head that was read at version v and does not hold a change proves
// that no write of this change with an expected version below v can take
// effect any more.
//
// # Usage
//
//	world := edit.NewWorld()
//	commands := world.Tick(now, []edit.Event{edit.Submitted{Task: 1, Change: c, Deadline: d}})
//	// carry out ReadHead, Load, WriteParts, WriteHead and Respond, and report
//	// back with HeadRead, Loaded, PartsWritten and HeadWritten
package edit

import (
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

const (
	// maxConflicts is how often a task starts anew because another change was
	// accepted meanwhile. With the delays below, ten hosts that change the tree
	// at the same moment all get through.
	maxConflicts = 16
	// maxFailures is how many consecutive calls to the platform may fail
	// before a task that is sure not to be accepted is given up.
	maxFailures = 5
	// minRetryDelay and maxRetryDelay bound the delay before an attempt. The delay
	// doubles with each failure and is drawn from its upper half.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = time.Second
	// maxBatches is how many history objects are read for one task: 256 of 64
	// records are the changes of 8 hours at 49,000 a day.
	maxBatches = 256
	// MaxTaskDuration is the longest time that a task may take. A withdrawn id is
	// remembered for longer than that.
	MaxTaskDuration = 30 * time.Second
)

// World is the state of the tasks of one host.
type World struct {
	tick.Frame[Event, Command]
	// Random draws the delays; set before the first tick.
	Random *rand.Rand
	// SealRecords is the number of records in the head at which they are
	// moved to a history object; set before the first tick.
	SealRecords int

	tasks *table.Table[TaskID]
	spec  *table.Column[taskSpec]
	state *table.Column[taskState]

	// minVersion is a version that the head has reached for sure. An older head is
	// a stale read.
	minVersion uint64
	// segmentCache holds the nodes of the segments of the newest head seen, and
	// of no others.
	segmentCache map[string][]tree.Node
	// base is the tree of the head that was rebased on last, or that this host
	// wrote last. The next head differs from it in few segments.
	base tree.Stored
}

// NewWorld returns a world without tasks.
func NewWorld() *World {
	w := &World{
		Random: rand.New(rand.NewPCG(1, 2)), SealRecords: tree.SealRecords,
		tasks: table.New[TaskID](), segmentCache: map[string][]tree.Node{},
	}
	w.spec = table.NewColumn[taskSpec](w.tasks)
	w.state = table.NewColumn[taskState](w.tasks)
	w.Order(
		w.admit, w.receiveHead, w.receiveLoaded, w.receivePartsWritten, w.receiveHeadWritten,
		w.expire, w.decide, w.startAttempts,
	)
	return w
}

// Running returns the number of tasks.
func (w *World) Running() int { return w.tasks.Len() }

// reply returns the task that waits for the reply to an attempt in a phase;
// a reply to an older attempt belongs to none.
func (w *World) reply(t TaskID, attempt uint32, p phase) (table.ID, bool) {
	id, ok := w.tasks.Find(t)
	if !ok {
		return 0, false
	}
	s := w.state.Get(id)
	return id, s.phase == p && s.attempt == attempt
}
