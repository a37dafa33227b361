package relay

import (
	"time"

	"toucanpulley.example/internal/model"
)

// Handle names a request on this host. Callers' ids may repeat, handles do not.
type Handle uint64

// CallID names a call to a searcher on this host.
type CallID uint64

// Request is a caller's request.
type Request struct {
	Handle Handle
	// ID is the caller's id of this attempt, for logs and for searchers.
	ID model.RequestID
	// Fingerprint is the same for each attempt of a request, at any host; zero if
	// it is not known.
	Fingerprint model.Fingerprint
	// Host and Path select the route.
	Host string
	Path string
	// Arrived is when the request was read, Patience how long its caller waits
	// from then on; zero if the caller does not say.
	Arrived time.Time
	Timeout time.Duration
	// RoundTrip is how long a packet takes to the caller and back; zero if it is
	// not known.
	RoundTrip time.Duration
	// Message is the request as it goes to searchers. The world does not look
	// into it.
	Message any
}

// Reply is a searcher's answer to a call.
type Reply struct {
	// Status is the searcher's own status, 100 to 599.
	Status int
	// Signature is the searcher's proof of the answer; empty if it gave none.
	Signature string
	Body      []byte
	// NotRun is set if the searcher states that it did not run the request.
	NotRun bool
	// Misdirected is set if another searcher has the address.
	Misdirected bool
	// Message is what else belongs to the answer. The world does not look into it.
	Message any
}

// Good reports whether the reply is a success with its proof.
func (r Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }

// Event is something that happened since the last tick.
type Event interface{ event() }

// Arrived is a new request.
type Arrived struct{ Request Request }

// Replied is a searcher's complete answer to a call.
type Replied struct {
	Call  CallID
	Reply Reply
}

// CallFailed is a call that ended without an answer.
type CallFailed struct {
	Call    CallID
	Failure model.Failure
	// NotRun is set if it is proved that the searcher did not run the call.
	NotRun bool
	// Cause is for the log.
	Cause string
}

// CallerGone is a caller that went away before its answer.
type CallerDisconnected struct{ Handle Handle }

// ViewChanged is a new view from control.
type ViewChanged struct{ View View }

func (Arrived) event()            {}
func (Replied) event()            {}
func (CallFailed) event()         {}
func (CallerDisconnected) event() {}
func (ViewChanged) event()        {}

// Command is something to do after a tick.
type Command interface{ command() }

// StartCall sends a request to a searcher.
type StartCall struct {
	Call     CallID
	Searcher model.Searcher
	Request  model.RequestID
	Message  any
	// Patience is how long the searcher may work.
	Timeout time.Duration
	// Fresh asks for a connection that was in use a moment ago or is new, because
	// the request cannot be repeated.
	Fresh bool
}

// CancelCall ends a call that nobody waits for.
type CancelCall struct{ Call CallID }

// Respond answers a request. It is emitted exactly once for each request.
type Respond struct {
	Handle Handle
	Answer Answer
}

// Connect names the searchers that this host uses and the connections to each.
type ConnectionPlan struct {
	Searchers map[model.SearcherID]ConnectionLimits
}

// Connections is how many connections to a searcher are kept and allowed.
type ConnectionLimits struct {
	Searcher model.Searcher
	MinOpen  int
	MaxOpen  int
}

// Report tells the other hosts how often a request was running when searchers
// were lost: the number of waves of its calls that were all lost.
type LossReport struct {
	Fingerprint model.Fingerprint
	Losses      int
}

// Count adds one to a counter of a group.
type Count struct{ Group, Reason string }

// Observe records a duration in a histogram.
type Observe struct {
	Name string
	Took time.Duration
}

// Note is a line for the log: a decision with the facts behind it, as pairs of
// key and value.
type LogLine struct {
	Message string
	Warn    bool
	Fields  []any
}

func (StartCall) command()      {}
func (CancelCall) command()     {}
func (Respond) command()        {}
func (ConnectionPlan) command() {}
func (LossReport) command()     {}
func (Count) command()          {}
func (Observe) command()        {}
func (LogLine) command()        {}
