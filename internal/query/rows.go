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

// request is the component of a queued or running request.
type request struct {
	query       model.Request
	settings    *tree.Settings
	revision    model.Revision
	fingerprint model.Fingerprint
	service     table.ID
	arrived     time.Time
	// started is when the request left the queue.
	started time.Time
	// due is the time by which this host must send the answer.
	due time.Time

	// running is set once the request has a snapshot and parts.
	running  bool
	snapshot model.Snapshot
	// excluded lists the index versions of earlier starts, which a restart must
	// not choose again.
	excluded []model.IndexVersion
	restarts int
	parts    []table.ID
	// pendingParts is the number of parts without an outcome.
	pendingParts int
	// cutoffAllowed is set once the request may be cut off early.
	cutoffAllowed bool
	// liveCalls is the number of calls without an outcome.
	liveCalls int
	// possibleStarts counts the calls that a searcher may have started.
	possibleStarts int
	// mode restricts the calls until a searcher has survived the request.
	mode dispatchMode
	// suspect is set once a searcher was lost while it ran this request.
	suspect bool
	// refusal is set by the system that ended the request early.
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

func (r request) withPendingPartsDelta(delta int) request {
	r.pendingParts += delta
	return r
}

func (r request) withCutoffAllowed() request {
	r.cutoffAllowed = true
	return r
}

// withCallNotStarted records that a searcher did not start one of the calls.
func (r request) withCallNotStarted() request {
	r.possibleStarts--
	return r
}

func (r request) withMode(m dispatchMode) request {
	r.mode = m
	return r
}

// withProven lifts the restriction on calls and clears the suspicion.
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

// execution returns NotRun if it is certain that no searcher ran the request,
// and MayHaveRun otherwise.
func (r request) execution() model.Execution {
	if r.possibleStarts == 0 {
		return model.NotRun
	}
	return model.MayHaveRun
}

// partKey identifies a part. It includes the restart count because a restart
// creates new parts.
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

// part is the component of one shard of a request.
type part struct {
	request table.ID
	shard   model.Shard
	state   partState
	reason  model.MissingReason
	hits    []model.Hit
	matches uint64
	// liveCalls lists the calls without an outcome.
	liveCalls []table.ID
	// failedCalls lists the calls that failed in this round, one per searcher.
	failedCalls []failedCall
	// lastReason is the reason of the latest failed call.
	lastReason model.MissingReason
	// notBefore is the earliest time of the next call after every replica was
	// tried.
	notBefore time.Time
	rounds    int
	// waitEpoch is the value of changes.epoch when the part was queued at its
	// replicas; zero if it is not queued.
	waitEpoch uint64
	// hedged is set once a hedge was sent or the budget refused one.
	hedged bool
	// avoidSlowUntil is the time until which slow replicas are skipped; zero if
	// they were never skipped.
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

// withPending returns the part in the pending state, without a reason.
func (p part) withPending() part {
	p.state, p.reason = partPending, ""
	return p
}

func (p part) withCall(id table.ID) part {
	p.liveCalls = append(slices.Clone(p.liveCalls), id)
	return p
}

// withAvoidSlowUntil sets the time until which slow replicas are skipped,
// unless it is already set.
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

// hasFailed reports whether a call to the searcher failed for this part in this
// round.
func (p part) hasFailed(s model.SearcherID) bool {
	return slices.ContainsFunc(p.failedCalls, func(f failedCall) bool { return f.searcher == s })
}

func (p part) withNewRound(notBefore time.Time) part {
	p.failedCalls, p.notBefore, p.waitEpoch = nil, notBefore, 0
	p.rounds++
	return p
}

// failedCall is a failed call and the reason that its part gets if it goes
// missing.
type failedCall struct {
	searcher model.SearcherID
	reason   model.MissingReason
}

// call is the component of a call without an outcome.
type call struct {
	request  table.ID
	part     table.ID
	searcher table.ID
	sent     time.Time
	hedge    bool
	// proven is set if a searcher had survived the fingerprint when the call
	// was sent. The loss of such a call does not count towards quarantine.
	proven bool
}

// service is the component of a service: its queue, budgets and latencies.
// This lane owns the containers behind the pointers and changes them in place.
type service struct {
	queue   *policy.FairQueue[model.ClientAccount, table.ID]
	hedges  *policy.Budget
	retries *policy.Budget
	// latency holds the durations of recent calls to all searchers of the
	// service.
	latency *policy.SampleWindow[time.Duration]
	// duration holds the running times of recent requests.
	duration *policy.SampleWindow[time.Duration]
	running  int
	// slots is the number of requests that may run at once, computed at
	// slotsAt.
	slots   int
	slotsAt time.Time
}

func (s service) withSlots(slots int, at time.Time) service {
	s.slots, s.slotsAt = slots, at
	return s
}

func (s service) withRunningDelta(delta int) service {
	s.running += delta
	return s
}

// suspect is the component of a fingerprint whose request was running when a
// connection to a searcher was lost.
type suspect struct {
	losses int
	// lastLoss holds the time of the latest loss of each searcher.
	lastLoss map[model.SearcherID]time.Time
	until    time.Time
}

// withLoss counts a lost searcher. Calls lost with one searcher within
// sameLossWindow count once; a searcher that restarts and is lost again counts
// again.
func (x suspect) withLoss(s model.SearcherID, now, until time.Time) suspect {
	if at, ok := x.lastLoss[s]; !ok || now.Sub(at) >= sameLossWindow {
		x.losses++
	}
	lastLoss := maps.Clone(x.lastLoss)
	if lastLoss == nil {
		lastLoss = map[model.SearcherID]time.Time{}
	}
	lastLoss[s] = now
	x.lastLoss, x.until = lastLoss, until
	return x
}
