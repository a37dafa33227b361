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

// applyRestrictions applies what a reply says about further calls to its searcher.
func (w *World) applyRestrictions(c call, r Reply) {
	if r.RetryAfter <= 0 {
		return
	}
	until := w.Now().Add(min(r.RetryAfter, maxPause))
	w.searcher.Set(c.searcher, w.searcher.Get(c.searcher).withPause(until))
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
