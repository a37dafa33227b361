package edit

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// TaskID names a task of one world; it is never reused.
type TaskID uint64

// Result is how a call to the platform ended.
type Result uint8

// Results of calls.
const (
	// ResultDone is a call that succeeded.
	ResultDone Result = iota
	// ResultMissing is a read of an object that does not exist.
	ResultMissing
	// ResultConflict is a write that met another version and had no effect.
	ResultConflict
	// ResultUnavailable is a call that surely had no effect.
	ResultUnavailable
	// ResultUnknown is a write that may have taken effect.
	ResultUnknown
	// ResultInvalid is an object that does not decode or that the platform
	// refuses for its size; trying again does not help.
	ResultInvalid
)

// Event is something that happened since the last tick.
type Event interface{ event() }

// Submitted asks for a change to be applied. It must have passed Change.Check.
type Submitted struct {
	Task     TaskID
	Change   tree.Change
	Deadline time.Time
	// Repeated is set if the change may have been submitted before.
	Repeated bool
}

// OutcomeRequested asks what became of a change.
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

// PartsWritten is the reply to WriteParts, with the names of the segments.
type PartsWritten struct {
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
func (PartsWritten) event()     {}
func (HeadWritten) event()      {}

// Command is something to do after a tick.
type Command interface{ command() }

// ReadHead reads the head object. ResultMissing stands for an empty platform.
type ReadHead struct {
	Task    TaskID
	Attempt uint32
}

// Load reads segments by name and, if Batch is not zero, the history object
// whose last revision it is.
type Load struct {
	Task     TaskID
	Attempt  uint32
	Segments []string
	Batch    model.Revision
}

// WriteParts writes segments without names and a batch of records, if there is
// one. These objects are immutable: it is a success if they exist already.
type WriteParts struct {
	Task     TaskID
	Attempt  uint32
	Segments []tree.Segment
	Batch    tree.Batch
}

// WriteHead replaces the head object if it has the version.
type WriteHead struct {
	Task      TaskID
	Attempt   uint32
	Head      tree.Head
	IfVersion uint64
}

// Respond answers a task, which has then ended.
type Respond struct {
	Task   TaskID
	Answer Answer
}

// Count counts an event for a reason.
type Count struct{ Reason string }

func (ReadHead) command()   {}
func (Load) command()       {}
func (WriteParts) command() {}
func (WriteHead) command()  {}
func (Respond) command()    {}
func (Count) command()      {}

// Outcome is what became of a change.
type Outcome uint8

// Outcomes. Accepted and NotAccepted are final.
const (
	// Unknown means that the change may have been accepted or may still be.
	Unknown Outcome = iota
	// Accepted means that the change is in the history.
	Accepted
	// NotAccepted means that the change is not in the history and that no
	// host that got it will put it there.
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
	// Revision is the one that the change made, if it was accepted.
	Revision model.Revision
	// Conflicts are the reason of a refusal, if there are any.
	Conflicts []tree.Conflict
	Message   string
}
