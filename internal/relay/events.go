package relay

import (
	"time"

	"toucanpulley.example/internal/model"
)

// Handle identifies a request on this host. Unlike the ids that callers choose,
// handles are unique.
type Handle uint64

// CallID identifies a call from this host to a searcher.
type CallID uint64

// Request is a request as received from a caller.
type Request struct {
	Handle Handle
	// ID is the caller's id of this attempt; it is logged and passed to searchers.
	ID model.RequestID
	// Fingerprint is equal for all attempts of a request on all hosts; zero if
	// unknown.
	Fingerprint model.Fingerprint
	// Host and Path select the route.
	Host string
	Path string
	// Arrived is the time at which the request was read. Timeout is how long the
	// caller waits from then on: zero if unspecified, negative if already expired.
	Arrived time.Time
	Timeout time.Duration
	// RoundTrip is the network round-trip time to the caller; zero if unknown.
	RoundTrip time.Duration
	// Message is the request to forward to searchers. It is opaque to the World.
	Message any
}

// deadline returns the latest time to answer the request.
func (r Request) deadline(route model.Route) time.Time {
	if r.Timeout > 0 && r.Timeout < route.Timeout {
		return r.Arrived.Add(r.Timeout)
	}
	return r.Arrived.Add(route.Timeout)
}

// Reply is a searcher's response to a call.
type Reply struct {
	// Status is the status code set by the searcher, 100 to 599.
	Status int
	// Signature is the searcher's signature of the reply; empty if unsigned.
	Signature string
	Body      []byte
	// NotRun is set if the searcher reports that it did not run the request.
	NotRun bool
	// ClaimsNotRun is set if callers take the status as a promise that the request has
	// not run and never will. Without NotRun, nothing shows that this is true.
	ClaimsNotRun bool
	// Misdirected is set if a different searcher now has the address.
	Misdirected bool
	// RetryAfter is how long the searcher takes no further calls from this host; zero
	// if the reply does not say.
	RetryAfter time.Duration
	// Leaving is set if the searcher reports that it is leaving.
	Leaving bool
	// RateLimited is set if the searcher names a limit, and RateLimit is the number of
	// calls per second that it then takes from all hosts together.
	RateLimited bool
	RateLimit   float64
	// Message holds the rest of the reply. It is opaque to the World.
	Message any
}

// Succeeded reports whether the reply is signed and has a 2xx status.
func (r Reply) Succeeded() bool { return r.Status >= 200 && r.Status < 300 && r.Signature != "" }

// relayable reports whether an error reply of a searcher that may have run the request
// can be sent to the caller unchanged.
func (r Reply) relayable() bool { return r.Signature != "" && !r.ClaimsNotRun }

// Event is an input of a tick.
type Event interface{ event() }

// Arrived reports a new request.
type Arrived struct{ Request Request }

// Replied reports a complete reply to a call.
type Replied struct {
	Call  CallID
	Reply Reply
}

// CallFailed reports a call that ended without a complete reply.
type CallFailed struct {
	Call    CallID
	Failure model.Failure
	// NotRun is set if the searcher certainly did not run the call.
	NotRun bool
	// Cause is a description for the log.
	Cause string
}

// CallerDisconnected reports a caller that disconnected before its answer.
type CallerDisconnected struct{ Handle Handle }

// ViewChanged reports a new view from the control thread.
type ViewChanged struct{ View View }

func (Arrived) event()            {}
func (Replied) event()            {}
func (CallFailed) event()         {}
func (CallerDisconnected) event() {}
func (ViewChanged) event()        {}
func (Revoked) event()            {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// StartCall sends a request to a searcher.
type StartCall struct {
	Call     CallID
	Searcher model.Searcher
	Request  model.RequestID
	Message  any
	// Timeout is how long the searcher may work.
	Timeout time.Duration
	// Fresh requires a new or recently used connection, because the request cannot
	// be retried.
	Fresh bool
}

// CancelCall cancels a call whose reply is no longer needed.
type CancelCall struct{ Call CallID }

// RevokeUnsent asks for the calls of a request that is given up to be cancelled if they
// were not sent yet. They are reported as not run, and then Revoked.
type RevokeUnsent struct {
	Handle Handle
	Calls  []CallID
}

// Revoked reports that a RevokeUnsent is complete.
type Revoked struct{ Handle Handle }

// Respond sends the answer to a request. It is emitted exactly once per request.
type Respond struct {
	Handle Handle
	Answer Answer
}

// ConnectionPlan sets the searchers that this host uses and the connection limits
// of each.
type ConnectionPlan struct {
	Searchers map[model.SearcherID]ConnectionLimits
}

// ConnectionLimits bounds the connections to a searcher: MinOpen are opened in
// advance, MaxOpen may be open at a time.
type ConnectionLimits struct {
	Searcher model.Searcher
	MinOpen  int
	MaxOpen  int
	// OnDemand is set if connections are closed after each call, because the searcher
	// does not take one from each host.
	OnDemand bool
}

// LossReport tells the other hosts that a request may crash searchers. Losses is
// the number of its lost waves of calls that were not reported before.
type LossReport struct {
	Fingerprint model.Fingerprint
	Losses      int
}

// SurvivalReport tells the other hosts that a searcher survived a suspect.
type SurvivalReport struct{ Fingerprint model.Fingerprint }

// Count increments a counter of a metric group.
type Count struct{ Group, Reason string }

// Observe adds a duration to a histogram.
type Observe struct {
	Name     string
	Duration time.Duration
}

// LogLine is a structured log entry. Fields alternates keys and values.
type LogLine struct {
	Message string
	Warn    bool
	Fields  []any
}

func (StartCall) command()      {}
func (CancelCall) command()     {}
func (RevokeUnsent) command()   {}
func (Respond) command()        {}
func (ConnectionPlan) command() {}
func (LossReport) command()     {}
func (SurvivalReport) command() {}
func (Count) command()          {}
func (Observe) command()        {}
func (LogLine) command()        {}
