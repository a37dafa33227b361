package claim

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
)

// Event is an input of a tick.
type Event interface{ event() }

// Submitted is a new keyed request. Its ID must be unique across all hosts and
// restarts.
type Submitted struct{ Request model.KeyedRequest }

// ReadDone is the result of a ReadPartition.
type ReadDone struct {
	Number PartitionNumber
	// Failed is set if the partition could not be read.
	Failed bool
	// Partition is the content that was read. If the object does not exist, it
	// has no claims and version 0.
	Partition Partition
}

// WriteDone is the result of a WritePartition.
type WriteDone struct {
	Number PartitionNumber
	Result model.WriteResult
	// Version is the new version, if the write was accepted.
	Version uint64
}

// SendDone is the result of a Send.
type SendDone struct {
	Request model.KeyedRequest
	// Completed is set if the searcher answered with Result.
	Completed bool
	Result    []byte
	Failure   model.Failure
	// NotStarted is set if the searcher provably did not run the request.
	NotStarted bool
}

// ViewChanged is a new view from the control thread.
type ViewChanged struct{ View view.View }

// Stopping starts the shutdown: new requests are refused, and Idle follows once
// no keys are left.
type Stopping struct{}

func (Submitted) event()   {}
func (ReadDone) event()    {}
func (WriteDone) event()   {}
func (SendDone) event()    {}
func (ViewChanged) event() {}
func (Stopping) event()    {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// ReadPartition reads a partition; the result is ReadDone.
type ReadPartition struct{ Number PartitionNumber }

// WritePartition replaces a partition if the platform holds the version named
// in Partition; version 0 creates the object. The result is WriteDone.
type WritePartition struct{ Partition Partition }

// Send dispatches a request to a searcher, once. The result is SendDone.
type Send struct {
	Request  model.KeyedRequest
	Searcher model.Searcher
	// Deadline is when the searcher's answer is due at this host.
	Deadline time.Time
	// NotAfter is the latest start of the dispatch. After it, the request must
	// be reported as not started.
	NotAfter time.Time
}

// Resolve answers a request. It is emitted exactly once for each request.
type Resolve struct {
	Request model.RequestID
	Answer  model.KeyedAnswer
}

// Idle reports, after Stopping, that no keys are left.
type Idle struct{}

func (ReadPartition) command()  {}
func (WritePartition) command() {}
func (Send) command()           {}
func (Resolve) command()        {}
func (Idle) command()           {}
