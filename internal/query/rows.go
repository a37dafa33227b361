package query

import (
	"maps"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// request is the cell of a request that is queued or running.
type request struct {
	query       model.Request
	settings    *tree.Settings
	revision    model.Revision
	fingerprint model.Fingerprint
	service     table.ID
	arrived     time.Time
	// started is when the request left the queue.
	started time.Time
	// due is when the answer must leave this host.
	due time.Time

	// running is set once the request has a snapshot and parts.
	running  bool
	snapshot model.Snapshot
	excluded []model.IndexVersion
	restarts int
	parts    []table.ID
	// pendingParts is the number of parts without an outcome.
	pendingParts int
	// cutoffAllowed is set once an early cut-off is allowed.
	cutoffAllowed bool
	// liveCalls is the number of calls without an outcome.
	liveCalls int
	// possibleStarts counts the calls that may have started at a searcher.
	possibleStarts int
	// mode bounds the calls while no searcher has survived the request.
	mode dispatchMode
	// suspect is set once a searcher was lost while it ran this request alone.
	suspect bool
	// refusal is set by the system that decided the request's end.
	refusal *model.Refusal
}

func (r request) withSnapshot(s model.Snapshot, parts []table.ID) request {
	r.running, r.snapshot, r.parts, r.pendingParts = true, s, parts, len(parts)
	return r
}

func (r request) withStart(at time.Time) request {
	r.started = at
	return r
}

func (r request) withRestart() request {
	r.excluded = append(slices.Clone(r.excluded), r.snapshot.Version)
	r.restarts++
	return r
}

func (r request) withCall() request {
	r.possibleStarts++
	r.liveCalls++
	return r
}

func (r request) withoutCall() request {
	r.liveCalls--
	return r
}

func (r request) withPendingParts(delta int) request {
	r.pendingParts += delta
	return r
}

func (r request) withCutoffAllowed() request {
	r.cutoffAllowed = true
	return r
}

func (r request) withCallNotStarted() request {
	r.possibleStarts--
	return r
}

func (r request) withMode(c dispatchMode) request {
	r.mode = c
	return r
}

// withProven lets all parts go and clears the suspicion.
func (r request) withProven() request {
	r.mode, r.suspect = dispatchUnrestricted, false
	return r
}

func (r request) withSuspect() request {
	r.suspect, r.mode = true, dispatchCanary
	return r
}

func (r request) withRefusal(refusal model.Refusal) request {
	r.refusal = &refusal
	return r
}

// execution is what can be proved about the request's calls.
func (r request) execution() model.Execution {
	if r.possibleStarts == 0 {
		return model.NotRun
	}
	return model.MayHaveRun
}

// partKey names a part. A restart makes new parts, so it counts in the key.
type partKey struct {
	request table.ID
	shard   int
	restart int
}

type partState uint8

const (
	partPending partState = iota
	partSearched
	partMissing
)

// part is the cell of one shard of a request.
type part struct {
	request table.ID
	shard   model.Shard
	state   partState
	reason  model.MissingReason
	hits    []model.Hit
	matches uint64
	// liveCalls lists the calls without an outcome.
	liveCalls []table.ID
	// failedCalls lists the searchers that failed this part in this round.
	failedCalls []failedCall
	// lastReason is why the latest failed call failed.
	lastReason model.MissingReason
	// notBefore delays the next call after every replica was tried.
	notBefore time.Time
	rounds    int
	// waitEpoch is the epoch in which the part was put in the queues of its
	// replicas; zero if it is in none.
	waitEpoch uint64
	// hedged is set once a hedge was sent or refused by the budget.
	hedged bool
	// avoidSlowUntil is the end of the time in which slow replicas are passed over;
	// zero before they were.
	avoidSlowUntil time.Time
}

func (p part) withReply(r model.Reply) part {
	p.state, p.hits, p.matches = partSearched, r.Hits, r.Matches
	return p
}

func (p part) withMissing(reason model.MissingReason) part {
	p.state, p.reason = partMissing, reason
	return p
}

// withPending returns the part pending again.
func (p part) withPending() part {
	p.state, p.reason = partPending, ""
	return p
}

func (p part) withCall(id table.ID) part {
	p.liveCalls = append(slices.Clone(p.liveCalls), id)
	return p
}

// withAvoidSlowUntil has the part wait for a fast replica until a time, once.
func (p part) withAvoidSlowUntil(until time.Time) part {
	if p.avoidSlowUntil.IsZero() {
		p.avoidSlowUntil = until
	}
	return p
}

func (p part) withWaitEpoch(epoch uint64) part {
	p.waitEpoch = epoch
	return p
}

func (p part) withHedged() part {
	p.hedged = true
	return p
}

func (p part) withoutCall(id table.ID) part {
	p.liveCalls = slices.DeleteFunc(slices.Clone(p.liveCalls), func(c table.ID) bool { return c == id })
	return p
}

func (p part) withFailure(s model.SearcherID, reason model.MissingReason) part {
	p.failedCalls = append(slices.Clone(p.failedCalls), failedCall{s, reason})
	p.lastReason = reason
	return p
}

// hasFailed reports whether a searcher failed the part in this round.
func (p part) hasFailed(s model.SearcherID) bool {
	return slices.ContainsFunc(p.failedCalls, func(f failedCall) bool { return f.searcher == s })
}

func (p part) withNewRound(notBefore time.Time) part {
	p.failedCalls, p.notBefore, p.waitEpoch = nil, notBefore, 0
	p.rounds++
	return p
}

// failedCall is a call that failed and what it would make its part miss.
type failedCall struct {
	searcher model.SearcherID
	reason   model.MissingReason
}

// call is the cell of a call without an outcome.
type call struct {
	request  table.ID
	part     table.ID
	searcher table.ID
	sent     time.Time
	hedge    bool
	// proven is set if a searcher had survived the fingerprint when the call
	// was sent. Its loss does not count towards quarantine.
	proven bool
}

// service is the cell of a service: its queue, budgets and latencies. The
// containers behind the pointers belong to this lane.
type service struct {
	queue   *policy.FairQueue[model.ClientAccount, table.ID]
	hedges  *policy.Budget
	retries *policy.Budget
	// latency holds the durations of recent calls to all searchers.
	latency *policy.SampleWindow[time.Duration]
	// duration holds the running times of recent requests.
	duration *policy.SampleWindow[time.Duration]
	running  int
	// slots is the capacity as computed at slotsAt.
	slots   int
	slotsAt time.Time
}

func (s service) withSlots(slots int, at time.Time) service {
	s.slots, s.slotsAt = slots, at
	return s
}

func (s service) withRunning(delta int) service {
	s.running += delta
	return s
}

// suspect is the cell of a request fingerprint that was seen at a lost
// connection.
type suspect struct {
	losses int
	// lastLoss holds when each searcher was lost last.
	lastLoss map[model.SearcherID]time.Time
	until    time.Time
}

// withLoss counts a lost searcher. Several calls lost with one searcher at the
// same time count once; a searcher that came back and is lost again counts
// again.
func (x suspect) withLoss(s model.SearcherID, now, until time.Time) suspect {
	if at, ok := x.lastLoss[s]; !ok || now.Sub(at) >= sameLossWindow {
		x.losses++
	}
	lost := maps.Clone(x.lastLoss)
	if lost == nil {
		lost = map[model.SearcherID]time.Time{}
	}
	lost[s] = now
	x.lastLoss, x.until = lost, until
	return x
}
