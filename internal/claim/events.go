package claim

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
)

// Event is something that happened since the last tick.
type Event interface{ event() }

// Submitted is a new keyed request. Its ID must be unique over all hosts and
// their restarts.
type Submitted struct{ Request model.KeyedRequest }

// ReadDone ends a ReadPartition.
type ReadDone struct {
	Number PartitionNumber
	// Failed is set if the partition could not be read.
	Failed bool
	// Partition is what was read; one without claims at version 0 if the
	// object does not exist.
	Partition Partition
}

// WriteDone ends a WritePartition.
type WriteDone struct {
	Number PartitionNumber
	Result model.WriteResult
	// Version is the new version after an accepted write.
	Version uint64
}

// SendDone ends a Send.
type SendDone struct {
	Request model.KeyedRequest
	// Completed is set if the searcher answered with Result.
	Completed bool
	Result    []byte
	Failure   model.Failure
	// NotStarted is set if it is proved that the searcher did not run the
	// request.
	NotStarted bool
}

// ViewChanged is a new view from control.
type ViewChanged struct{ View view.View }

// Stopping asks for Idle once nothing is left to do. New requests are refused.
type Stopping struct{}

func (Submitted) event()   {}
func (ReadDone) event()    {}
func (WriteDone) event()   {}
func (SendDone) event()    {}
func (ViewChanged) event() {}
func (Stopping) event()    {}

// Command is something to do after a tick.
type Command interface{ command() }

// ReadPartition reads a partition; it ends with ReadDone.
type ReadPartition struct{ Number PartitionNumber }

// WritePartition replaces a partition if the platform holds the version that
// the content names; 0 creates it. It ends with WriteDone.
type WritePartition struct{ Partition Partition }

// Send dispatches a request to a searcher, once. It ends with SendDone.
type Send struct {
	Request  model.KeyedRequest
	Searcher model.Searcher
	// Deadline is when the searcher's answer is due at this host.
	Deadline time.Time
	// NotAfter is when the dispatch must have begun; later it must be given up
	// as not started.
	NotAfter time.Time
}

// Resolve answers a request. It is emitted exactly once for each request.
type Resolve struct {
	Request model.RequestID
	Answer  model.KeyedAnswer
}

// Idle reports, after Stopping, that nothing is left to do.
type Idle struct{}

func (ReadPartition) command()  {}
func (WritePartition) command() {}
func (Send) command()           {}
func (Resolve) command()        {}
func (Idle) command()           {}
