package edit

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// TaskID identifies a task of one world. IDs are never reused.
type TaskID uint64

// Result is the result of a platform call.
type Result uint8

// Results of platform calls.
const (
	// ResultDone is a call that succeeded.
	ResultDone Result = iota
	// ResultMissing is a read of an object that does not exist.
	ResultMissing
	// ResultConflict is a write that was rejected because the version differed;
	// it had no effect.
	ResultConflict
	// ResultUnavailable is a call that certainly had no effect.
	ResultUnavailable
	// ResultUnknown is a write that may have taken effect.
	ResultUnknown
	// ResultInvalid is an object that cannot be decoded or that the platform
	// rejects for its size; a retry does not help.
	ResultInvalid
)

// Event is an input of a tick.
type Event interface{ event() }

// Submitted requests that a change be applied. The change must have passed
// Change.Check.
type Submitted struct {
	Task     TaskID
	Change   tree.Change
	Deadline time.Time
	// Repeated is set if the change may have been submitted before.
	Repeated bool
}

// OutcomeRequested requests the outcome of a change.
type OutcomeRequested struct {
	Task     TaskID
	ChangeID tree.ChangeID
	// Base is the base revision of the change, or a lower one.
	Base     model.Revision
	Deadline time.Time
}

// HeadRead is the reply to ReadHead.
type HeadRead struct {
	Task    TaskID
	Attempt uint32
	Result  Result
	Head    tree.Head
	Version uint64
	Detail  string
}

// Loaded is the reply to Load.
type Loaded struct {
	Task     TaskID
	Attempt  uint32
	Result   Result
	Segments []tree.Segment
	Batch    tree.Batch
	Detail   string
}

// ObjectsWritten is the reply to WriteObjects. Names holds the names assigned to
// its segments, in the same order.
type ObjectsWritten struct {
	Task    TaskID
	Attempt uint32
	Result  Result
	Names   []string
	Detail  string
}

// HeadWritten is the reply to WriteHead.
type HeadWritten struct {
	Task    TaskID
	Attempt uint32
	Result  Result
	Version uint64
	Detail  string
}

func (Submitted) event()        {}
func (OutcomeRequested) event() {}
func (HeadRead) event()         {}
func (Loaded) event()           {}
func (ObjectsWritten) event()   {}
func (HeadWritten) event()      {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// ReadHead reads the head object. Its result is ResultMissing if the platform
// holds no settings.
type ReadHead struct {
	Task    TaskID
	Attempt uint32
}

// Load reads segments by name and, if Batch is not zero, the history object
// whose last revision is Batch.
type Load struct {
	Task     TaskID
	Attempt  uint32
	Segments []string
	Batch    model.Revision
}

// WriteObjects writes unnamed segments and a batch of records, if there is one.
// These objects are immutable, so a write succeeds if the object exists
// already.
type WriteObjects struct {
	Task     TaskID
	Attempt  uint32
	Segments []tree.Segment
	Batch    tree.Batch
}

// WriteHead replaces the head object if its version is IfVersion.
type WriteHead struct {
	Task      TaskID
	Attempt   uint32
	Head      tree.Head
	IfVersion uint64
}

// Respond answers a task, which is then removed.
type Respond struct {
	Task   TaskID
	Answer Answer
}

// Count increments the metric for a reason.
type Count struct{ Reason string }

func (ReadHead) command()     {}
func (Load) command()         {}
func (WriteObjects) command() {}
func (WriteHead) command()    {}
func (Respond) command()      {}
func (Count) command()        {}

// Outcome is the outcome of a change.
type Outcome uint8

// Outcomes. Accepted and NotAccepted are final.
const (
	// Unknown means that the change may have been accepted or may still be
	// accepted.
	Unknown Outcome = iota
	// Accepted means that the change is in the history.
	Accepted
	// NotAccepted means that the change is not in the history and that no host
	// that received it will accept it.
	NotAccepted
)

// String returns the name used in logs and JSON.
func (o Outcome) String() string {
	return [...]string{"unknown", "accepted", "notAccepted"}[o]
}

// Answer is the answer to a task.
type Answer struct {
	ChangeID tree.ChangeID
	Outcome  Outcome
	// Revision is the revision that the change created, if it was accepted.
	Revision model.Revision
	// Conflicts are the conflicts that caused the refusal, if any.
	Conflicts []tree.Conflict
	Message   string
}
