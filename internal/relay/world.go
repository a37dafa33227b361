// Package relay decides how requests reach searchers by the routes of a
// configuration: which searchers get a call, when a second searcher is asked,
// when an answer is complete enough, and what a request that failed is told.
//
// A World holds the tables of one traffic lane: requests, their parts (one for
// each shard, or a single one), calls, searchers, services and the statistics
// of routes. Its systems run in a fixed order each tick; they take events and
// the time and return commands. The package does no I/O, reads no clock and
// knows no encoding.
//
// # Usage
//
//	world := relay.NewWorld("host-a", "karachi-a")
//	commands := world.Tick(now, []relay.Event{relay.ViewChanged{View: v}})
//	commands = world.Tick(now, []relay.Event{relay.Arrived{Request: request}})
//	// carry out StartCall, CancelCall, Respond, Connect, Count, Observe and Note
//	commands = world.Tick(later, []relay.Event{relay.Replied{Call: id, Reply: reply}})
package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// callerTrips is the number of round trips between the moment at which a
	// caller begins to count and the one at which it has its answer, without the
	// time on this host: one for the request, and one to connect.
	callerTrips = 2
	// usualTrip is the round trip of a caller of which it is not known.
	usualTrip = 6 * time.Millisecond
	// answerMargin is kept between the cut-off of an answer and the target of its
	// route besides the caller's round trips, to merge and write the answer and
	// for delays of the links, which vary by a third.
	answerMargin = 10 * time.Millisecond
	// lingerTime is how long a call that nobody waits for may go on before its
	// connection is closed. Most end earlier and leave the connection usable; a
	// searcher must not work 500 ms longer than its caller waits.
	lingerTime = 200 * time.Millisecond
	// firstGuess is the usual latency of a route without samples.
	firstGuess = 20 * time.Millisecond
	// latencySamples is the number of recent calls in the statistics of a route.
	latencySamples = 256
	// hedgeQuantile is the share of calls of a route that are answered before a
	// second searcher is asked; 1 in 20 fits four times into the usual budget of 0.2.
	hedgeQuantile = 0.95
	// hedgeFloor is the shortest wait before a second searcher is asked; a way
	// to another failure domain and back takes 9 ms.
	hedgeFloor = 10 * time.Millisecond
	// hedgeShare is the longest wait as a share of the target of the route, so
	// that the second answer can be in time.
	hedgeShare = 0.4
	// hedgeRetry is when a second call that had no budget or no searcher is
	// looked at again.
	hedgeRetry = 15 * time.Millisecond

	// beliefHalfLife is the time in which what is believed of a searcher without
	// new samples loses half of its weight.
	beliefHalfLife = 2 * time.Second
	// sampleWeight is the weight of the latest sample in a smoothed value.
	sampleWeight = 0.3
	// maxRatio bounds the effect of a single very late answer.
	maxRatio = 20
	// remoteCost is what a call to another failure domain is worth avoiding: 9 ms
	// of way, and bytes that are paid for.
	remoteCost = 40 * time.Millisecond
	// stuckCost is added for a searcher that answers nothing for stuckFactor
	// times the usual latency and stuckFloor; pauses of 150 ms are common.
	stuckCost   = 150 * time.Millisecond
	stuckFactor = 2
	stuckFloor  = 12 * time.Millisecond
	// failingCost is added for a searcher that fails every call.
	failingCost = 200 * time.Millisecond
	// avoidCost puts a searcher that lost several calls behind all others.
	avoidCost = time.Second
	// warmUpFactor is how much slower a searcher is expected to be that has just
	// started.
	warmUpFactor = 1.5
	// lossesToAvoid is the number of calls in a row without an answer after which
	// a searcher is avoided, for avoidFirst and twice as long with each further
	// one up to avoidMost.
	lossesToAvoid = 2
	avoidFirst    = 250 * time.Millisecond
	avoidMost     = 4 * time.Second
	// carrierShare is the part of connections and slack that the hosts get that
	// callers are sent to; the rest is for callers that come to others.
	carrierShare = 0.75
	// budgetMargin is the part of the retry budget that is used; the rest covers
	// arrivals that are counted at another moment by the searcher.
	budgetMargin = 0.9
	// windowSteps is the number of steps in which budgets forget.
	windowSteps = 20
	// spareHosts is how many times the known hosts may hold connections while
	// hosts are replaced.
	spareHosts = 1.1
	// aheadConnections is the number of connections to a searcher that are opened
	// before they are needed.
	aheadConnections = 2
)

// World is the state of one traffic lane.
type World struct {
	tick.Frame[Event, Command]
	// Host and FailureDomain tell where the lane runs.
	Host          model.HostID
	FailureDomain model.FailureDomain
	// Bounds are set before the first tick.
	Bounds Bounds

	view     View
	lastCall CallID
	// grown is set once the process has its slack.
	grown bool

	requests *table.Table[Handle]
	request  *table.Column[request]
	parts    *table.Table[partKey]
	part     *table.Column[part]
	calls    *table.Table[CallID]
	call     *table.Column[call]

	searchers *table.Table[model.SearcherID]
	searcher  *table.Column[searcher]
	services  *table.Table[model.ServiceName]
	service   *table.Column[service]
	classes   *table.Table[string]
	class     *table.Column[class]
	suspects  *table.Table[model.Fingerprint]
	suspect   *table.Column[Suspect]
	// cleared holds when a searcher survived a request that was a suspect.
	cleared *policy.LRU[model.Fingerprint, time.Time]

	// altered lists the services whose searchers or their limits changed in this
	// tick, freed those with a searcher that ended a call,
	// settled the requests with a part that got an outcome, ended those with a
	// call that ended or with parts that are held.
	altered []table.ID
	freed   []table.ID
	settled []table.ID
	ended   []table.ID
	hedges  *policy.Timers[table.ID]
	ends    *policy.Timers[table.ID]
	lingers *policy.Timers[table.ID]
}

// NewWorld returns a world without requests or searchers.
func NewWorld(host model.HostID, domain model.FailureDomain) *World {
	w := &World{
		Host: host, FailureDomain: domain,
		view:     View{HostCount: 1},
		requests: table.New[Handle](), parts: table.New[partKey](), calls: table.New[CallID](),
		searchers: table.New[model.SearcherID](), services: table.New[model.ServiceName](), classes: table.New[string](),
		suspects: table.New[model.Fingerprint](), cleared: policy.NewLRU[model.Fingerprint, time.Time](maxSuspects),
		hedges: policy.NewTimers[table.ID](), ends: policy.NewTimers[table.ID](), lingers: policy.NewTimers[table.ID](),
	}
	w.request = table.NewColumn[request](w.requests)
	w.part = table.NewColumn[part](w.parts)
	w.call = table.NewColumn[call](w.calls)
	w.searcher = table.NewColumn[searcher](w.searchers)
	w.service = table.NewColumn[service](w.services)
	w.class = table.NewColumn[class](w.classes)
	w.suspect = table.NewColumn[Suspect](w.suspects)
	w.Order(
		w.mature, w.follow, w.receive, w.depart, w.linger, w.admit, w.wake, w.hedge, w.judge, w.finish, w.expire, w.forget, w.tell, w.arm,
	)
	return w
}

// arm is the system that names the deadlines of requests, parts and calls.
func (w *World) arm() {
	w.WakeAt(w.hedges.Next(w.parts.Has))
	w.WakeAt(w.ends.Next(w.requests.Has))
	w.WakeAt(w.lingers.Next(w.calls.Has))
}

// Running returns the number of requests without an answer.
func (w *World) Running() int { return w.requests.Len() }

// milliseconds returns a duration for the log.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (w *World) note(text string, facts ...any) { w.Emit(Note{Text: text, Facts: facts}) }
