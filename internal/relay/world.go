// Package relay implements the routing of requests to searchers: load balancing,
// retries and hedging, partial answers and refusals.
//
// A World holds the tables of one traffic lane, which is one event loop: requests,
// their parts (one per shard, or a single one), calls, searchers, services and
// route statistics. Its systems run in a fixed order each tick. They take events
// and the current time and return commands. The package does no I/O, reads no
// clock and is independent of message encodings.
//
// # Usage
//
//	world := relay.NewWorld("host-a", "karachi-a")
//	commands := world.Tick(now, []relay.Event{relay.ViewChanged{View: v}})
//	commands = world.Tick(now, []relay.Event{relay.Arrived{Request: request}})
//	// execute StartCall, CancelCall, Respond, ConnectionPlan, Count, ...
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
	// callerRoundTrips is the number of network round trips in the latency that a
	// caller measures: one to connect and one for the request.
	callerRoundTrips = 2
	// defaultRoundTrip is assumed for callers whose round-trip time is unknown.
	defaultRoundTrip = 6 * time.Millisecond
	// answerMargin is subtracted from the target latency, in addition to the
	// caller's round trips, for merging and writing the answer and for link delays,
	// which vary by a third.
	answerMargin = 10 * time.Millisecond
	// abandonedCallTime is how long a call whose reply is no longer needed may run
	// before its connection is closed. Most calls end earlier and leave the
	// connection reusable. A searcher must not work more than 500 ms longer than
	// its caller waits.
	abandonedCallTime = 200 * time.Millisecond
	// defaultLatency is assumed for routes without samples.
	defaultLatency = 20 * time.Millisecond
	// latencySamples is the number of recent calls in a route's statistics.
	latencySamples = 256
	// hedgeQuantile is the latency quantile of a route after which a call is
	// hedged. Hedging 1 call in 20 takes a quarter of the usual retry budget of 0.2.
	hedgeQuantile = 0.95
	// hedgeDelayMin is the minimum hedge delay. A round trip to another failure
	// domain takes 9 ms.
	hedgeDelayMin = 10 * time.Millisecond
	// hedgeDelayMaxShare is the maximum hedge delay as a fraction of the route's
	// target latency, so that the second reply can arrive in time.
	hedgeDelayMaxShare = 0.4
	// hedgeRetryDelay is the delay before a hedge is tried again that found no
	// retry budget or only busy searchers.
	hedgeRetryDelay = 15 * time.Millisecond

	// sampleHalfLife is the half-life of the smoothed values of a searcher without
	// new samples.
	sampleHalfLife = 2 * time.Second
	// sampleWeight is the weight of a new sample in a smoothed value.
	sampleWeight = 0.3
	// maxLatencyRatio bounds the effect of a single very late reply.
	maxLatencyRatio = 20
	// remoteCost is the penalty of a call to another failure domain, which takes
	// 9 ms more and whose traffic is billed.
	remoteCost = 40 * time.Millisecond
	// stalledCost is the penalty of a searcher that has not answered for
	// stalledFactor times the median latency plus stalledMargin. Pauses of 150 ms
	// are common.
	stalledCost   = 150 * time.Millisecond
	stalledFactor = 2
	stalledMargin = 12 * time.Millisecond
	// failingCost is the penalty of a searcher that fails every call. For other
	// searchers it is multiplied by their share of failed calls.
	failingCost = 200 * time.Millisecond
	// avoidCost is the penalty of a searcher that lost several calls in a row. It
	// ranks the searcher behind all others.
	avoidCost = time.Second
	// warmUpFactor scales the expected latency of a searcher during its warm-up.
	warmUpFactor = 1.5
	// lossesToAvoid is the number of consecutive losses from which a searcher is
	// avoided, first for avoidTimeMin; the time doubles with each further loss up
	// to avoidTimeMax.
	lossesToAvoid = 2
	avoidTimeMin  = 250 * time.Millisecond
	avoidTimeMax  = 4 * time.Second
	// preferredShare is the fraction of connections and retry slack that the
	// preferred hosts divide. The rest is for callers that use other hosts.
	preferredShare = 0.75
	// usableBudgetShare is the fraction of the retry budget that is used. The rest
	// covers calls that the searcher counts in a different window.
	usableBudgetShare = 0.9
	// windowSteps is the number of steps in the sliding window of a retry budget.
	windowSteps = 20
	// hostReplacementFactor is the number of hosts that may hold connections while
	// hosts are being replaced, relative to the known hosts.
	hostReplacementFactor = 1.1
	// delegatedCallsPerSlot is the number of calls that a host may have in flight to a
	// searcher through other hosts, for each of its slots.
	delegatedCallsPerSlot = 2
	// minOpenConnections is the number of connections to a searcher that are opened
	// in advance.
	minOpenConnections = 2
)

// World is the state of one traffic lane.
type World struct {
	tick.Frame[Event, Command]
	// Host and FailureDomain identify the host that runs the lane.
	Host          model.HostID
	FailureDomain model.FailureDomain
	// RetryBudget must be set before the first tick.
	RetryBudget RetryBudget

	view View
	// shards holds the services that are shards of a route.
	shards   map[model.ServiceName]bool
	lastCall CallID
	// restrictedUntil is the time until which searchers may restrict the calls of this
	// host; new requests are not checked for it afterwards.
	restrictedUntil time.Time
	// answerBy is the time by which a stopping host answers all requests; zero before.
	answerBy time.Time
	// disconnected holds the callers that disconnected in this tick without a request in
	// the table.
	disconnected map[Handle]bool
	// slackGranted is set once the retry slack has been granted.
	slackGranted bool

	requests *table.Table[Handle]
	request  *table.Column[request]
	waves    *table.Table[Handle]
	wave     *table.Column[wave]
	parts    *table.Table[partKey]
	part     *table.Column[part]
	calls    *table.Table[CallID]
	call     *table.Column[call]

	searchers *table.Table[model.SearcherID]
	searcher  *table.Column[searcher]
	services  *table.Table[model.ServiceName]
	service   *table.Column[service]
	routes    *table.Table[string]
	routeStat *table.Column[routeStats]
	suspects  *table.Table[model.Fingerprint]
	suspect   *table.Column[Suspect]
	// survivedAt holds the time at which a searcher survived a suspect.
	survivedAt *policy.LRU[model.Fingerprint, time.Time]

	// delegateHosts are the hosts that took calls of this one. delegations and
	// cancelledDelegations collect the messages of a tick to them.
	delegateHosts        *table.Table[model.HostID]
	delegate             *table.Column[delegate]
	delegateChoices      map[delegateChoice]model.Host
	delegations          []delegation
	cancelledDelegations []delegation
	// guests are the processes that delegate calls to this host, guestCalls their
	// calls in flight, and guestResults the results of a tick.
	guests       *table.Table[Guest]
	guestDelay   *table.Column[guestDelay]
	guestCalls   *table.Table[guestKey]
	guestCall    *table.Column[guestCall]
	guestResults map[Guest][]GuestResult
	// guestsToAnswer lists the keys of guestResults in order.
	guestsToAnswer []Guest
	// lastGuestAt is when delegated calls last came; guestsLateUntil is the end of the
	// time after a pause of the process.
	lastGuestAt, guestsLateUntil time.Time

	// changedServices lists the services whose searchers or limits changed in this
	// tick, freedServices those with a searcher whose call ended. settledRequests
	// lists the requests with a settled part, reviewQueue the waves with an ended call
	// or held parts.
	changedServices []table.ID
	freedServices   []table.ID
	settledRequests []table.ID
	reviewQueue     []table.ID
	hedgeTimers     *policy.Timers[table.ID]
	requestTimers   *policy.Timers[table.ID]
	cancelTimers    *policy.Timers[table.ID]
	// serviceTimers holds the times at which a searcher of a service with queued parts
	// takes calls again.
	serviceTimers *policy.Timers[table.ID]
}

// NewWorld returns a world without requests or searchers.
func NewWorld(host model.HostID, domain model.FailureDomain) *World {
	w := &World{
		Host: host, FailureDomain: domain,
		view: View{HostCount: 1}, shards: map[model.ServiceName]bool{}, disconnected: map[Handle]bool{},
		requests: table.New[Handle](), waves: table.New[Handle](), parts: table.New[partKey](), calls: table.New[CallID](),
		searchers: table.New[model.SearcherID](), services: table.New[model.ServiceName](), routes: table.New[string](),
		suspects: table.New[model.Fingerprint](), survivedAt: policy.NewLRU[model.Fingerprint, time.Time](maxSuspects),
		hedgeTimers: policy.NewTimers[table.ID](), requestTimers: policy.NewTimers[table.ID](), cancelTimers: policy.NewTimers[table.ID](),
		serviceTimers: policy.NewTimers[table.ID](),
		delegateHosts: table.New[model.HostID](), delegateChoices: map[delegateChoice]model.Host{},
		guests: table.New[Guest](), guestCalls: table.New[guestKey](), guestResults: map[Guest][]GuestResult{},
	}
	w.request = table.NewColumn[request](w.requests)
	w.wave = table.NewColumn[wave](w.waves)
	w.part = table.NewColumn[part](w.parts)
	w.call = table.NewColumn[call](w.calls)
	w.searcher = table.NewColumn[searcher](w.searchers)
	w.service = table.NewColumn[service](w.services)
	w.routeStat = table.NewColumn[routeStats](w.routes)
	w.suspect = table.NewColumn[Suspect](w.suspects)
	w.delegate = table.NewColumn[delegate](w.delegateHosts)
	w.guestDelay = table.NewColumn[guestDelay](w.guests)
	w.guestCall = table.NewColumn[guestCall](w.guestCalls)
	w.SetSystems(
		w.grantRetrySlack, w.applyViews, w.applyStop, w.receiveResults, w.failDelegations, w.answerRevoked, w.cancelDisconnected, w.cancelAbandoned,
		w.admitRequests, w.noticePause, w.admitGuests, w.dispatchWaiting, w.hedgeSlowParts, w.reviewLosses, w.completeRequests,
		w.expireRequests, w.expireSuspects, w.sendDelegations, w.sendCancellations, w.sendGuestReplies, w.reportStatus, w.armTimers,
	)
	return w
}

// armTimers is the system that schedules the next tick for the timers of requests,
// parts and calls.
func (w *World) armTimers() {
	w.WakeAt(w.hedgeTimers.Next(w.parts.Has))
	w.WakeAt(w.requestTimers.Next(w.requests.Has))
	w.WakeAt(w.cancelTimers.Next(w.calls.Has))
	w.WakeAt(w.serviceTimers.Next(w.services.Has))
}

// Running returns the number of unanswered requests.
func (w *World) Running() int { return w.requests.Len() }

// milliseconds formats a duration for the log with microsecond precision.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func (w *World) log(message string, fields ...any) { w.Emit(LogLine{Message: message, Fields: fields}) }
