// Package query decides how searches run: admission, snapshots, replica
// choice, retries, hedging, coverage and answers.
//
// A World holds the tables of one traffic lane: requests, their parts (one per
// shard), the calls made for the parts, the searchers as observed by this lane,
// services with their queues and budgets, and request fingerprints. Its systems
// run in a fixed order each tick; a tick takes the time and events and returns
// commands. The package does no I/O, reads no clock and is independent of
// message encodings.
//
// # Usage
//
//	world := query.NewWorld("host-a", "karachi-a")
//	commands := world.Tick(now, []query.Event{query.ViewChanged{View: v}})
//	commands = world.Tick(now, []query.Event{query.Arrived{Request: request}})
//	// execute StartCall, CancelCall, Respond, Count and ReportSuspect
//	commands = world.Tick(later, []query.Event{query.Replied{Reply: reply}})
package query

import (
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

// maxProvenFingerprints bounds the remembered fingerprints that a searcher has
// survived and that run without a canary; 16,384 take about 2 MB.
const maxProvenFingerprints = 16384

// World is the state of one traffic lane.
type World struct {
	tick.Frame[Event, Command]
	// Host and FailureDomain identify where the lane runs.
	Host          model.HostID
	FailureDomain model.FailureDomain
	// Random breaks ties between replicas. It is set before the first tick.
	Random *rand.Rand

	// attempt numbers the calls of all requests, so that a late reply never
	// matches a later call, even if a request id is reused.
	attempt model.Attempt

	view view.View
	// rootSettings are the effective settings of the root scope.
	rootSettings tree.Settings

	requests *table.Table[model.RequestID]
	request  *table.Column[request]
	// running lists the started requests, in order of start.
	running []table.ID

	parts *table.Table[partKey]
	part  *table.Column[part]

	calls *table.Table[model.Attempt]
	call  *table.Column[call]

	abandoned     *table.Table[model.Attempt]
	abandonedCall *table.Column[abandonedCall]

	searchers *table.Table[model.SearcherID]
	searcher  *table.Column[searcher]
	// waiters holds the parts that wait for a free slot at a searcher.
	waiters *table.Column[*policy.FIFO[table.ID]]

	services *table.Table[model.ServiceName]
	service  *table.Column[service]

	suspects *table.Table[model.Fingerprint]
	suspect  *table.Column[suspect]
	// proven maps fingerprints to true once a searcher survived them, and to
	// false once a later loss puts that in doubt.
	proven *policy.LRU[model.Fingerprint, bool]

	changes changes
	timers  timers
	// resolved caches the settings of the scopes in the current view.
	resolved map[scopeKey]*tree.Settings
	// ranking orders the replicas of a part.
	ranking policy.Ranking[candidate]
	// medianLatency is the median latency of the service for which a replica
	// was chosen last.
	medianLatency time.Duration
	// candidateBuffer holds the result of candidates and is reused by the next
	// call.
	candidateBuffer []candidate
}

// NewWorld returns a world without requests or searchers.
func NewWorld(host model.HostID, domain model.FailureDomain) *World {
	w := &World{
		Host: host, FailureDomain: domain,
		Random:    rand.New(rand.NewPCG(1, 2)),
		view:      view.New(),
		requests:  table.New[model.RequestID](),
		parts:     table.New[partKey](),
		calls:     table.New[model.Attempt](),
		abandoned: table.New[model.Attempt](),
		searchers: table.New[model.SearcherID](),
		services:  table.New[model.ServiceName](),
		suspects:  table.New[model.Fingerprint](),
		proven:    policy.NewLRU[model.Fingerprint, bool](maxProvenFingerprints),
	}
	w.rootSettings = w.view.Tree.Effective(tree.Root)
	w.resolved = map[scopeKey]*tree.Settings{}
	w.timers = newTimers()
	w.ranking = w.replicaRanking()
	w.request = table.NewColumn[request](w.requests)
	w.part = table.NewColumn[part](w.parts)
	w.call = table.NewColumn[call](w.calls)
	w.abandonedCall = table.NewColumn[abandonedCall](w.abandoned)
	w.searcher = table.NewColumn[searcher](w.searchers)
	w.waiters = table.NewColumn[*policy.FIFO[table.ID]](w.searchers)
	w.service = table.NewColumn[service](w.services)
	w.suspect = table.NewColumn[suspect](w.suspects)
	w.SetSystems(
		// admit runs before expire and dispatch before hedge, so that the
		// wake-up set by this tick includes the deadlines of new requests and
		// calls.
		w.applyView, w.receive, w.admit, w.expire, w.start,
		w.ejectFailing, w.cutoff, w.dispatch, w.hedge, w.finish, w.expireSuspects, w.reportStatus, w.scheduleWake,
	)
	return w
}

// Running returns the number of requests that are queued or running.
func (w *World) Running() int { return w.requests.Len() }
