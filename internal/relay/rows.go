package relay

import (
	"math"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

// request is the cell of a request without an answer.
type request struct {
	ask     Request
	route   model.Route
	version model.Revision
	class   table.ID
	// due is when the answer must be on its way, whatever it is.
	due time.Time
	// cutoff is when an answer with the required coverage is sent; zero for a
	// request that one searcher serves.
	cutoff time.Time
	parts  []table.ID
	// open and got count the parts without an outcome and with a reply.
	open, got int
	// exposed counts the calls that may have run.
	exposed         int
	hedges, retries int
	// live counts the calls without an outcome, lost those of the present wave
	// that were lost with their connections.
	live, lost int
	// held counts the parts that wait for a searcher to survive the request.
	held int
	// proven is set once a searcher survived the request, suspect if all calls of
	// a wave were lost before.
	proven, suspect bool
	// denied counts the second calls that the retry budget did not allow yet.
	denied int
}

func (r request) withPart(id table.ID) request {
	r.parts = append(r.parts, id)
	r.open++
	return r
}

func (r request) withOutcome(good bool) request {
	r.open--
	if good {
		r.got++
	}
	return r
}

// withUnrun returns the request after a call that is proved not to have run.
func (r request) withUnrun() request {
	r.exposed--
	return r
}

func (r request) withCall() request {
	r.live++
	r.exposed++
	return r
}

// withEndedCall returns the request after the end of a call.
func (r request) withEndedCall(lost bool) request {
	r.live--
	if lost {
		r.lost++
	}
	return r
}

// withWaveLost returns the request as a suspect whose next wave of calls begins.
func (r request) withWaveLost() request {
	r.lost, r.suspect = 0, true
	return r
}

// withHeld returns the request with more or fewer parts that are held.
func (r request) withHeld(n int) request {
	r.held += n
	return r
}

func (r request) withSuspicion() request {
	r.suspect = true
	return r
}

// doubted reports whether a second call could crash another searcher.
func (r request) doubted() bool { return !r.proven && (r.lost > 0 || r.suspect) }

func (r request) withProof() request {
	r.proven = true
	return r
}

func (r request) withHedge() request {
	r.hedges++
	return r
}

func (r request) withDeniedHedge() request {
	r.denied++
	return r
}

func (r request) withRetry() request {
	r.retries++
	return r
}

// execution is what can be proved about the request's calls.
func (r request) execution() model.Execution {
	if r.exposed == 0 {
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

// partKey names a part: a request and the position of its service.
type partKey struct {
	request table.ID
	index   int
}

// part is the cell of one service's share of a request.
type part struct {
	request table.ID
	service table.ID
	state   partState
	reply   Reply
	reason  model.MissingReason
	// live lists the calls without an outcome, tried the searchers asked.
	live  []table.ID
	tried []table.ID
	// runs counts the calls that may have run.
	runs    int
	waiting bool
	// held is set while the part waits for a searcher to survive the request.
	held bool
	// again is why the part needs another call; empty before the first one fails.
	again model.RetryReason
}

func (p part) withCall(id, searcher table.ID) part {
	p.live, p.tried = append(slices.Clip(p.live), id), append(slices.Clip(p.tried), searcher)
	p.runs++
	p.waiting = false
	return p
}

func (p part) withoutCall(id table.ID, notRun bool) part {
	p.live = slices.DeleteFunc(slices.Clone(p.live), func(c table.ID) bool { return c == id })
	if notRun {
		p.runs--
	}
	return p
}

func (p part) withReply(r Reply) part {
	p.state, p.reply = partAnswered, r
	return p
}

func (p part) withMissing(reason model.MissingReason) part {
	p.state, p.reason = partMissing, reason
	return p
}

func (p part) withReason(reason model.MissingReason) part {
	p.reason = reason
	return p
}

func (p part) withAgain(reason model.RetryReason) part {
	p.again = reason
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

// call is the cell of a call without an outcome. A call whose part has an
// outcome lingers until it ends or is cancelled.
type call struct {
	part     table.ID
	searcher table.ID
	class    table.ID
	request  model.RequestID
	sent     time.Time
	hedge    bool
}

// ending is how a call ended.
type ending uint8

const (
	// endServed is a good reply, endFailed another one of a searcher that ran the
	// request.
	endServed ending = iota
	endFailed
	// endLost is a connection that ended before the reply.
	endLost
	// endDropped is a call that did not run or that nobody waits for.
	endDropped
)

// searcher is the cell of a searcher as this host sees it.
type searcher struct {
	registration model.Registration
	service      table.ID
	// own is set if the searcher is in this host's failure domain.
	own bool
	// connections is what this host may open to it.
	connections Connections
	inFlight    int
	// limit bounds the calls in flight; it falls when the searcher refuses calls
	// for lack of capacity.
	limit policy.Limit
	// progressAt is when the searcher last answered, or got work while idle.
	progressAt time.Time
	// ratio is the smoothed ratio of its latencies to the usual ones of the
	// requests' routes; it drifts back to 1 without samples since ratioAt.
	ratio   float64
	ratioAt time.Time
	// failing is the smoothed share of failed calls, 0 to 1, as of ratioAt.
	failing float64
	// lost counts calls in a row that ended without an answer, avoidUntil is
	// when it is tried again after several.
	lost       int
	avoidUntil time.Time
	// warmUntil is when a searcher that has just started is no longer slow.
	warmUntil time.Time
	// gone is set once the searcher must get no new work.
	gone bool
}

// decay returns the factor by which a belief about a searcher has faded.
func (s searcher) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(s.ratioAt).Seconds() / beliefHalfLife.Seconds())
}

// currentRatio returns the ratio as it holds now.
func (s searcher) currentRatio(now time.Time) float64 {
	return 1 + (s.ratio-1)*s.decay(now)
}

// withSample mixes in the ratio of a latency and whether the call failed.
func (s searcher) withSample(ratio float64, failed bool, now time.Time) searcher {
	d := s.decay(now)
	s.ratio = 1 + (s.ratio-1)*d
	s.failing *= d
	s.ratio += (min(ratio, maxRatio) - s.ratio) * sampleWeight
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failing += (outcome - s.failing) * sampleWeight
	s.ratioAt = now
	return s
}

func (s searcher) withCall(now time.Time) searcher {
	if s.inFlight == 0 {
		s.progressAt = now
	}
	s.inFlight++
	return s
}

func (s searcher) withoutCall(now time.Time, answered bool) searcher {
	s.inFlight--
	if answered {
		s.progressAt = now
		s.lost, s.avoidUntil = 0, time.Time{}
		s.limit = s.limit.WithSuccess()
	}
	return s
}

// withLoss counts a call that ended without an answer.
func (s searcher) withLoss(now time.Time) searcher {
	s.lost++
	if s.lost >= lossesToAvoid {
		s.avoidUntil = now.Add(min(avoidFirst<<min(s.lost-lossesToAvoid, 8), avoidMost))
	}
	return s
}

func (s searcher) withGone() searcher {
	s.gone = true
	return s
}

func (s searcher) withRegistration(r model.Registration, own bool, now time.Time) searcher {
	if !s.registration.Same(r) {
		s = searcher{service: s.service, inFlight: s.inFlight, ratio: 1, ratioAt: now, warmUntil: now.Add(r.WarmUp)}
	}
	s.registration, s.own, s.gone = r, own, r.Searcher.Leaving
	return s
}

func (s searcher) withConnections(c Connections) searcher {
	s.connections = c
	s.limit = s.limit.WithMax(c.Most)
	return s
}

func (s searcher) withShed() searcher {
	s.limit = s.limit.WithShed()
	return s
}

// usable reports whether this host may send calls to the searcher.
func (s searcher) usable() bool { return !s.gone && s.connections.Most > 0 }

// full reports whether the searcher has as many calls as it may get from here.
func (s searcher) full() bool { return s.inFlight >= min(s.connections.Most, s.limit.Value()) }

// service is the cell of a service. The containers behind the pointers belong
// to this world.
type service struct {
	members []table.ID
	extras  *policy.RollingBudget
	// waiting holds the parts that wait for a free connection, the most urgent
	// first.
	waiting *policy.PriorityQueue[table.ID]
}

func (s service) withMembers(members []table.ID) service {
	s.members = members
	return s
}

// class is the cell of the statistics of a route.
type class struct {
	// latency holds the durations of recent answered calls.
	latency *policy.SampleWindow[time.Duration]
	// turn holds the running weights of the shares of a split route.
	turn map[model.ServiceName]float64
}

// usual returns the median latency of a call.
func (c class) usual() time.Duration {
	if median, ok := c.latency.Quantile(0.5); ok {
		return max(median, time.Millisecond)
	}
	return firstGuess
}
