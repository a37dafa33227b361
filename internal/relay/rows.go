package relay

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

// request is the component of an unanswered request.
type request struct {
	received Request
	route    model.Route
	version  model.Revision
	stats    table.ID
	// deadline is the latest time to answer, with a refusal if necessary.
	deadline time.Time
	// partialAt is the time from which an answer with the required coverage is sent
	// although parts are pending; zero for a request to a single searcher.
	partialAt time.Time
	parts     []table.ID
	// pendingParts counts the parts without an outcome, and answeredParts those
	// with a reply.
	pendingParts, answeredParts int
	// mayHaveRun counts the calls that a searcher may have run.
	mayHaveRun      int
	hedges, retries int
	// wave is the row of the request's calls in flight.
	wave table.ID
	// heldParts counts the parts that are held until a searcher survives the
	// request.
	heldParts int
	// revoking is set while the request, which is given up, waits to learn which of its
	// calls were not sent.
	revoking bool
	// hedgesDenied counts the hedges that the retry budget refused.
	hedgesDenied int
}

func (r request) withPart(id table.ID) request {
	r.parts = append(r.parts, id)
	r.pendingParts++
	return r
}

func (r request) withDeadline(at time.Time) request {
	r.deadline = at
	return r
}

func (r request) withRevoking() request {
	r.revoking = true
	return r
}

func (r request) withOutcome(answered bool) request {
	r.pendingParts--
	if answered {
		r.answeredParts++
	}
	return r
}

// withCallNotRun returns the request after a call that certainly did not run.
func (r request) withCallNotRun() request {
	r.mayHaveRun--
	return r
}

func (r request) withCall() request {
	r.mayHaveRun++
	return r
}

// withHeldParts returns the request with n more held parts; n may be negative.
func (r request) withHeldParts(n int) request {
	r.heldParts += n
	return r
}

func (r request) withHedge() request {
	r.hedges++
	return r
}

func (r request) withDeniedHedge() request {
	r.hedgesDenied++
	return r
}

func (r request) withRetry() request {
	r.retries++
	return r
}

// execution reports whether any call of the request may have run.
func (r request) execution() model.Execution {
	if r.mayHaveRun == 0 {
		return model.NotRun
	}
	return model.MayHaveRun
}

type partState uint8

const (
	partOpen partState = iota
	partAnswered
	partMissing
)

// partKey identifies a part by its request and the index of its service.
type partKey struct {
	request table.ID
	index   int
}

// part is the component of the part of a request that one service answers.
type part struct {
	request       table.ID
	service       table.ID
	state         partState
	reply         Reply
	missingReason model.MissingReason
	// activeCalls lists the calls without an outcome, and triedSearchers the
	// searchers called so far.
	activeCalls    []table.ID
	triedSearchers []table.ID
	// attempts counts the calls, except those that certainly did not run.
	attempts int
	// waiting is set while the part is in the queue of its service.
	waiting bool
	// held is set while the part is held until a searcher survives the request.
	held bool
	// retryReason tells why the part needs another call; empty before its first
	// call has failed.
	retryReason model.RetryReason
}

func (p part) withCall(id, searcher table.ID) part {
	p.activeCalls, p.triedSearchers = append(slices.Clip(p.activeCalls), id), append(slices.Clip(p.triedSearchers), searcher)
	p.attempts++
	p.waiting = false
	return p
}

func (p part) withoutCall(id table.ID, notRun bool) part {
	p.activeCalls = slices.DeleteFunc(slices.Clone(p.activeCalls), func(c table.ID) bool { return c == id })
	if notRun {
		p.attempts--
	}
	return p
}

func (p part) withReply(r Reply) part {
	p.state, p.reply = partAnswered, r
	return p
}

func (p part) withMissing(reason model.MissingReason) part {
	p.state, p.missingReason = partMissing, reason
	return p
}

func (p part) withMissingReason(reason model.MissingReason) part {
	p.missingReason = reason
	return p
}

func (p part) withRetryReason(reason model.RetryReason) part {
	p.retryReason = reason
	return p
}

func (p part) withHeld(held bool) part {
	p.held = held
	return p
}

func (p part) withWaiting(waiting bool) part {
	p.waiting = waiting
	return p
}

// call is the component of a call without an outcome. A call may outlive its
// part: it then goes on until it ends or is cancelled.
type call struct {
	part     table.ID
	wave     table.ID
	searcher table.ID
	stats    table.ID
	request  model.RequestID
	sent     time.Time
	hedge    bool
	// start is the start of the searcher to which the call was sent.
	start int
	// delegate is the host that sends the call for this one, and guest the delegated
	// call that this host sends for another one; at most one is set.
	delegate table.ID
	guest    table.ID
}

// callEnd is the outcome of a call.
type callEnd uint8

const (
	// callSucceeded is a successful reply.
	callSucceeded callEnd = iota
	// callLost is a connection that closed before a complete reply, as when the
	// searcher crashes.
	callLost
	// callDropped is any other end, such as a call that did not run or was
	// cancelled. An error reply is one too: it does not show that the searcher
	// survives the request, because a failing searcher may reply before it runs it.
	callDropped
)

// service is the component of a service. The World owns the containers behind the
// pointers and changes them in place.
type service struct {
	// members lists the searchers of the service.
	members []table.ID
	// extraCalls is the retry budget: the calls allowed beyond the first of each
	// part.
	extraCalls *policy.RollingBudget
	// waiting queues the parts that wait for a searcher with capacity, by priority
	// of their routes.
	waiting *policy.PriorityQueue[table.ID]
	// nextReturn is the time at which the next caller that is refused because of a
	// limit should return.
	nextReturn time.Time
	// wakeAt is the time of the next timer that dispatches the queued parts.
	wakeAt time.Time
}

func (s service) withMembers(members []table.ID) service {
	s.members = members
	return s
}

func (s service) withWakeAt(at time.Time) service {
	s.wakeAt = at
	return s
}

func (s service) withNextReturn(at time.Time) service {
	s.nextReturn = at
	return s
}

// routeStats is the component of a route: its statistics.
type routeStats struct {
	// latency holds the durations of recent successful calls.
	latency *policy.SampleWindow[time.Duration]
	// currentWeights is the state of the weighted round robin of a split route.
	currentWeights map[model.ServiceName]float64
}

// medianLatency returns the median latency of recent calls, or defaultLatency
// without samples.
func (s routeStats) medianLatency() time.Duration {
	if median, ok := s.latency.Quantile(0.5); ok {
		return max(median, time.Millisecond)
	}
	return defaultLatency
}
