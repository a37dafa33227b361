package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
)

// Event is an input of a tick.
type Event interface{ event() }

// Arrived reports a new request. Its ID must be unique on this host.
type Arrived struct{ Request model.Request }

// Replied reports a searcher's reply.
type Replied struct {
	// Searcher is the destination of the call.
	Searcher model.SearcherID
	// Request and Attempt identify the call; Reply holds the values that the
	// searcher echoed.
	Request model.RequestID
	Attempt model.Attempt
	Reply   model.Reply
}

// CallFailed reports a call that ended without a reply.
type CallFailed struct {
	// Searcher is the destination of the call.
	Searcher model.SearcherID
	Request  model.RequestID
	Attempt  model.Attempt
	Failure  model.Failure
	// NotStarted is set if it is certain that the searcher did not run the
	// call.
	NotStarted bool
}

// RequestCancelled reports that the caller cancelled its request or
// disconnected.
type RequestCancelled struct{ Request model.RequestID }

// ViewChanged delivers a new view from the control thread.
type ViewChanged struct{ View view.View }

func (Arrived) event()          {}
func (Replied) event()          {}
func (CallFailed) event()       {}
func (RequestCancelled) event() {}
func (ViewChanged) event()      {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// StartCall sends one shard's query to a searcher.
type StartCall struct {
	Request  model.RequestID
	Attempt  model.Attempt
	Searcher model.Searcher
	Service  model.ServiceName
	Shard    model.ShardID
	Version  model.IndexVersion
	Terms    []model.Term
	Limit    int
	// Deadline is the time by which the reply is due at this host.
	Deadline time.Time
	// StopBy is the time by which the searcher must finish. It is earlier than
	// Deadline by the expected network delay of the reply.
	StopBy time.Time
	// CrossesDomain is set if the searcher is in another failure domain.
	CrossesDomain bool
}

// CancelCall tells a searcher to stop working on a call.
type CancelCall struct {
	Request model.RequestID
	Attempt model.Attempt
}

// Respond answers a request. It is emitted exactly once for each request.
type Respond struct {
	Request model.RequestID
	Answer  model.Answer
}

// Counter names a group of counters.
type Counter string

// Groups of counters.
const (
	CounterRetry   Counter = "retry"
	CounterDrop    Counter = "drop"
	CounterCall    Counter = "call"
	CounterMissing Counter = "missing"
	CounterHealth  Counter = "health"
)

// Count increments a counter of a group.
type Count struct {
	Counter Counter
	Reason  string
}

// ReportSuspect tells the control thread that a request was running when one more
// searcher was lost.
type ReportSuspect struct {
	Fingerprint model.Fingerprint
	// Losses is the number of searchers lost to this request on this host.
	Losses int
}

// ReportSurvival tells the control thread that a searcher survived a suspect.
type ReportSurvival struct{ Fingerprint model.Fingerprint }

func (StartCall) command()      {}
func (CancelCall) command()     {}
func (Respond) command()        {}
func (Count) command()          {}
func (ReportSuspect) command()  {}
func (ReportSurvival) command() {}
