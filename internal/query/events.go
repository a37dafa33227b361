package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
)

// Event is something that happened since the last tick.
type Event interface{ event() }

// Arrived is a new request. Its ID must be unique on this host.
type Arrived struct{ Request model.Request }

// Replied is a searcher's reply.
type Replied struct {
	// Searcher is the one that the call was sent to.
	Searcher model.SearcherID
	// Request and Attempt name the call; the reply carries what the searcher
	// echoed.
	Request model.RequestID
	Attempt model.Attempt
	Reply   model.Reply
}

// CallFailed is a call that ended without a reply.
type CallFailed struct {
	// Searcher is the one that the call was sent to.
	Searcher model.SearcherID
	Request  model.RequestID
	Attempt  model.Attempt
	Failure  model.Failure
	// NotStarted is set if it is proved that the searcher did not run the call.
	NotStarted bool
}

// RequestCancelled is a caller that cancelled its request or went away.
type RequestCancelled struct{ Request model.RequestID }

// ViewChanged is a new view from control.
type ViewChanged struct{ View view.View }

func (Arrived) event()          {}
func (Replied) event()          {}
func (CallFailed) event()       {}
func (RequestCancelled) event() {}
func (ViewChanged) event()      {}

// Command is something to do after a tick.
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
	// Deadline is when the reply is due at this host.
	Deadline time.Time
	// StopBy is when the searcher must have ended; earlier than Deadline by the
	// expected way back.
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

// Count adds one to a counter of a group.
type Count struct {
	Counter Counter
	Reason  string
}

// ReportSuspect tells control that a request was running when a searcher was lost.
type ReportSuspect struct {
	Fingerprint model.Fingerprint
	// Losses is the number of searchers lost to this request on this host.
	Losses int
}

func (StartCall) command()     {}
func (CancelCall) command()    {}
func (Respond) command()       {}
func (Count) command()         {}
func (ReportSuspect) command() {}
