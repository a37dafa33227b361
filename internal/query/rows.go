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
	ask         model.Request
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
	// open is the number of parts without an outcome.
	open int
	// late is set once an early cut-off is allowed.
	late bool
	// live is the number of calls without an outcome.
	live int
	// exposed counts the calls that may have started at a searcher.
	exposed int
	// caution bounds the calls while no searcher has survived the request.
	caution caution
	// suspect is set once a searcher was lost while it ran this request alone.
	suspect bool
	// ended is set by the system that decided the request's end.
	ended *model.Refusal
}

func (r request) withSnapshot(s model.Snapshot, parts []table.ID) request {
	r.running, r.snapshot, r.parts, r.open = true, s, parts, len(parts)
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
	r.exposed++
	r.live++
	return r
}

func (r request) withoutCall() request {
	r.live--
	return r
}

func (r request) withOpen(delta int) request {
	r.open += delta
	return r
}

func (r request) withLate() request {
	r.late = true
	return r
}

func (r request) withoutExposure() request {
	r.exposed--
	return r
}

func (r request) withCaution(c caution) request {
	r.caution = c
	return r
}

// withProof lets all parts go and clears the suspicion.
func (r request) withProof() request {
	r.caution, r.suspect = cautionNone, false
	return r
}

func (r request) withSuspect() request {
	r.suspect, r.caution = true, cautionCanary
	return r
}

func (r request) withEnd(refusal model.Refusal) request {
	r.ended = &refusal
	return r
}

// execution is what can be proved about the request's calls.
func (r request) execution() model.Execution {
	if r.exposed == 0 {
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
	// live lists the calls without an outcome.
	live []table.ID
	// failed lists the searchers that failed this part in this round.
	failed []failedCall
	// last is why the latest failed call failed.
	last model.MissingReason
	// notBefore delays the next call after every replica was tried.
	notBefore time.Time
	rounds    int
	// waiting is the epoch in which the part was put in the queues of its
	// replicas; zero if it is in none.
	waiting uint64
	// hedged is set once a hedge was sent or refused by the budget.
	hedged bool
	// patience is the end of the time in which slow replicas are passed over;
	// zero before they were.
	patience time.Time
}

func (p part) withReply(r model.Reply) part {
	p.state, p.hits, p.matches = partSearched, r.Hits, r.Matches
	return p
}

func (p part) withMissing(reason model.MissingReason) part {
	p.state, p.reason = partMissing, reason
	return p
}

// revived returns the part pending again.
func (p part) revived() part {
	p.state, p.reason = partPending, ""
	return p
}

func (p part) withCall(id table.ID) part {
	p.live = append(slices.Clone(p.live), id)
	return p
}

// withPatience has the part wait for a fast replica until a time, once.
func (p part) withPatience(until time.Time) part {
	if p.patience.IsZero() {
		p.patience = until
	}
	return p
}

func (p part) withWaiting(epoch uint64) part {
	p.waiting = epoch
	return p
}

func (p part) withHedged() part {
	p.hedged = true
	return p
}

func (p part) withoutCall(id table.ID) part {
	p.live = slices.DeleteFunc(slices.Clone(p.live), func(c table.ID) bool { return c == id })
	return p
}

func (p part) withFailure(s model.SearcherID, reason model.MissingReason) part {
	p.failed = append(slices.Clone(p.failed), failedCall{s, reason})
	p.last = reason
	return p
}

// hasFailed reports whether a searcher failed the part in this round.
func (p part) hasFailed(s model.SearcherID) bool {
	return slices.ContainsFunc(p.failed, func(f failedCall) bool { return f.searcher == s })
}

func (p part) withNewRound(notBefore time.Time) part {
	p.failed, p.notBefore, p.waiting = nil, notBefore, 0
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
	// lost holds when each searcher was lost last.
	lost  map[model.SearcherID]time.Time
	until time.Time
}

// withLoss counts a lost searcher. Several calls lost with one searcher at the
// same time count once; a searcher that came back and is lost again counts
// again.
func (x suspect) withLoss(s model.SearcherID, now, until time.Time) suspect {
	if at, ok := x.lost[s]; !ok || now.Sub(at) >= sameLoss {
		x.losses++
	}
	lost := maps.Clone(x.lost)
	if lost == nil {
		lost = map[model.SearcherID]time.Time{}
	}
	lost[s] = now
	x.lost, x.until = lost, until
	return x
}
