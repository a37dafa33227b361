package relay

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// maxPause bounds the pause that a searcher can request, so that an erroneous value
// does not take it out of use for good.
const maxPause = 5 * time.Minute

// leavingRetention is how long a searcher that has reported in a reply that it is
// leaving is remembered while it is not registered. Registrations that lapsed in an
// outage of the platform are back within seconds of its end.
const leavingRetention = time.Minute

// applyRestrictions applies what a reply says about further calls to its searcher.
func (w *World) applyRestrictions(c call, r Reply) {
	if r.Leaving && !w.searcher.Get(c.searcher).saidLeaving {
		w.applyLeaving(c)
	}
	if r.RetryAfter > 0 {
		w.applyPause(c, r)
	}
}

// applyLeaving takes a searcher out of use that has reported that it is leaving.
func (w *World) applyLeaving(c call) {
	s := w.searcher.Get(c.searcher).withSaidLeaving(w.Now().Add(leavingRetention))
	w.searcher.Set(c.searcher, s)
	w.changedServices = append(w.changedServices, s.service)
	w.planConnections()
	w.Emit(Count{"searcher", "saidLeaving"})
	w.log("searcher reported that it is leaving", "request", c.request, "searcher", w.searchers.Key(c.searcher),
		"registeredAsLeaving", s.registration.Searcher.Leaving)
}

// applyPause keeps further calls from a searcher for the time that it named.
func (w *World) applyPause(c call, r Reply) {
	until := w.Now().Add(min(r.RetryAfter, maxPause))
	s := w.searcher.Get(c.searcher).withPause(until)
	w.searcher.Set(c.searcher, s)
	w.serviceTimers.Add(until, s.service) // parts that were queued while the searcher was full
	if until.After(w.restrictedUntil) {
		w.restrictedUntil = until
	}
	w.Emit(Count{"searcher", "paused"})
	w.log("searcher requested a pause", "request", c.request, "searcher", w.searchers.Key(c.searcher),
		"status", r.Status, "pauseMs", milliseconds(r.RetryAfter))
}

// worthWaiting reports whether a searcher takes a call of the request early enough
// for an answer within the target latency.
func (w *World) worthWaiting(r request, c choice) bool {
	if c.availableAt.IsZero() {
		return false
	}
	return c.availableAt.Before(w.latestStart(r.received, r.route, r.stats))
}

// latestStart returns the time by which a call must start for an answer within the
// target latency and the deadline.
func (w *World) latestStart(q Request, route model.Route, stats table.ID) time.Time {
	limit := q.Arrived.Add(route.TargetLatency)
	if deadline := q.deadline(route); deadline.Before(limit) {
		limit = deadline
	}
	return limit.Add(-w.routeStat.Get(stats).medianLatency())
}

// restrictionDelay returns how long it takes until enough services of a request take
// calls of this host. It is zero if the request can start now.
func (w *World) restrictionDelay(q Request, route model.Route, services []model.ServiceName) time.Duration {
	if !w.Now().Before(w.restrictedUntil) {
		return 0
	}
	required := 1
	if route.Sharded() {
		required = route.RequiredShards()
	}
	stats := w.routeStatsRow(route)
	latest := w.latestStart(q, route, stats)
	var restricted []time.Time
	for _, name := range services {
		c := w.chooseSearcher(request{stats: stats}, part{service: w.serviceRow(name)})
		if !c.found && !c.busy && !c.availableAt.Before(latest) {
			restricted = append(restricted, c.availableAt)
		}
	}
	missing := required - (len(services) - len(restricted))
	if missing <= 0 {
		return 0
	}
	slices.SortFunc(restricted, time.Time.Compare)
	return restricted[missing-1].Sub(w.Now())
}
