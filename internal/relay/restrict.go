package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

const (
	// maxPause bounds the pause that a searcher can request, so that an erroneous value
	// does not take it out of use for good.
	maxPause = 5 * time.Minute
	// replyRetention is how long what a reply of a searcher said about further calls is
	// remembered while the searcher is not registered. Registrations that lapsed in an
	// outage of the platform are back within seconds of its end.
	replyRetention = time.Minute
	// minRateLimit and maxRateLimit bound the limits, in calls per second of all hosts.
	// Without any calls, no reply could tell that a limit has ended; no searcher takes
	// more than the maximum.
	minRateLimit = 0.1
	maxRateLimit = 1e6
	// limitProbeShare is the fraction of a limit that the hosts without a part in it
	// divide. Their few calls tell them when the limit ends.
	limitProbeShare = 0.1
	// limitProbeLapse is how long such a host may make a call that is due. Calls kept
	// for later could come from all of them at once.
	limitProbeLapse = 2 * time.Second
	// limitBurst is the number of calls, beyond one second's worth, that the hosts with
	// a part in a limit may make at once after a time without calls.
	limitBurst = 2
)

// applyRestrictions applies what a reply says about further calls to its searcher.
func (w *World) applyRestrictions(c call, r Reply) {
	s := w.searcher.Get(c.searcher)
	if r.Leaving && !s.saidLeaving {
		w.applyLeaving(c)
	}
	if r.RetryAfter > 0 {
		w.applyPause(c, r)
	}
	switch {
	case r.RateLimited:
		w.applyRateLimit(c, r.RateLimit)
	case s.rateLimited && !c.sent.Before(s.limitNamedAt): // not a late reply from before the limit
		w.liftRateLimit(c)
	}
}

// applyLeaving takes a searcher out of use that has reported that it is leaving.
func (w *World) applyLeaving(c call) {
	s := w.searcher.Get(c.searcher).withSaidLeaving(w.Now().Add(replyRetention))
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
	w.extendRestriction(until)
	w.wakeService(s.service, until) // parts that were queued while the searcher was full
	w.Emit(Count{"searcher", "paused"})
	w.log("searcher requested a pause", "request", c.request, "searcher", w.searchers.Key(c.searcher),
		"status", r.Status, "pauseMs", milliseconds(r.RetryAfter))
}

// applyRateLimit keeps this host's share of the limit that a searcher named.
func (w *World) applyRateLimit(c call, limit float64) {
	s := w.searcher.Get(c.searcher)
	pace := s.pace
	if !s.rateLimited || s.rateLimit != limit {
		pace = w.limitPace(c.searcher, s, limit)
		w.Emit(Count{"searcher", "limited"})
		w.log("searcher named a limit", "request", c.request, "searcher", w.searchers.Key(c.searcher), "perSecond", limit,
			"former", s.rateLimit, "intervalMs", milliseconds(pace.Interval), "burst", pace.Burst, "hosts", w.view.HostCount)
	}
	w.searcher.Set(c.searcher, s.withRateLimit(limit, pace, w.Now()))
	w.extendRestriction(w.Now().Add(max(replyRetention, 2*pace.Interval)))
}

// extendRestriction records that a searcher may restrict calls until the given time.
func (w *World) extendRestriction(until time.Time) {
	if until.After(w.restrictedUntil) {
		w.restrictedUntil = until
	}
}

// liftRateLimit ends the limit of a searcher whose replies no longer name one.
func (w *World) liftRateLimit(c call) {
	s := w.searcher.Get(c.searcher).withoutRateLimit()
	w.searcher.Set(c.searcher, s)
	w.changedServices = append(w.changedServices, s.service)
	w.Emit(Count{"searcher", "limitLifted"})
	w.log("searcher no longer names a limit", "request", c.request, "searcher", w.searchers.Key(c.searcher), "former", s.rateLimit)
}

// limitPace returns this host's pace for a searcher with the given limit. All hosts
// derive the same parts from the hosts that have not left, so that the parts add up
// to the limit without messages, also while hosts restart or cannot reach each other.
// The greater part goes to at most so many hosts that each may make one call at once.
func (w *World) limitPace(id table.ID, s searcher, limit float64) policy.Pace {
	limit = min(max(limit, minRateLimit), maxRateLimit)
	burst := limit + limitBurst
	holders := w.limitHolders(id, int(burst))
	rate, hosts := limit*(1-limitProbeShare), float64(len(holders))
	if !slices.Contains(holders, w.Host) {
		rate, hosts, burst = limit*limitProbeShare, float64(w.view.HostCount-len(holders)), 0
	}
	rate, burst = rate/max(hosts, 1), burst/max(hosts, 1)
	pace := policy.NewPace(rate, burst, w.Now())
	if burst == 0 && pace.Interval > limitProbeLapse {
		pace = pace.WithLapse(limitProbeLapse, w.phase(id, w.Host), w.Now())
	}
	switch {
	case !s.rateLimited:
		return pace
	case pace.Lapse == 0 && s.pace.Lapse == 0:
		return s.pace.WithRate(rate, burst, w.Now())
	case pace.Lapse == s.pace.Lapse && pace.Interval == s.pace.Interval:
		return s.pace // keeps the time of the next call
	}
	return pace
}

// limitHolders returns the hosts that have a part in a searcher's limit, at most the
// given number: the hosts with large shares in the order of rendezvous hashing.
func (w *World) limitHolders(id table.ID, limit int) []model.HostID {
	holders := make([]model.HostID, 0, len(w.view.LargeShareHosts))
	for _, m := range w.view.LargeShareHosts {
		holders = append(holders, m.Host.ID)
	}
	slices.SortFunc(holders, func(a, b model.HostID) int { return cmp.Compare(w.phase(id, a), w.phase(id, b)) })
	return holders[:min(len(holders), max(limit, 1))]
}

// phase returns a number from 0 to 1 that differs between searchers and hosts.
func (w *World) phase(id table.ID, host model.HostID) float64 {
	return float64(xxhash.Sum64String(string(host)+"/"+string(w.searchers.Key(id)))>>11) / (1 << 53)
}

// updateLimitPaces recomputes the paces after the set of hosts changed.
func (w *World) updateLimitPaces() {
	for id := range w.searchers.All() {
		if s := w.searcher.Get(id); s.rateLimited {
			s.pace = w.limitPace(id, s, s.rateLimit)
			w.searcher.Set(id, s)
		}
	}
}

// worthWaiting reports whether a searcher takes a call of the request early enough
// for an answer within the target latency, after the parts that are queued already.
func (w *World) worthWaiting(r request, service table.ID, c choice) bool {
	return !c.availableAt.IsZero() && w.turn(service, c).Before(w.latestStart(r.received, r.route, r.stats))
}

// turn returns the time at which a restricted service takes another call, after the
// parts that are queued already.
func (w *World) turn(service table.ID, c choice) time.Time {
	return c.availableAt.Add(time.Duration(w.service.Get(service).waiting.Len()) * c.interval())
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

// restriction is a service that takes no call early enough for a request.
type restriction struct {
	service  table.ID
	turn     time.Time
	interval time.Duration
}

// findRestriction returns the service that a request has to wait for because too few
// of its services take calls of this host early enough.
func (w *World) findRestriction(q Request, route model.Route, services []model.ServiceName) (restriction, bool) {
	if !w.Now().Before(w.restrictedUntil) {
		return restriction{}, false
	}
	required := 1
	if route.Sharded() {
		required = route.RequiredShards()
	}
	stats := w.routeStatsRow(route)
	latest := w.latestStart(q, route, stats)
	var list []restriction
	for _, name := range services {
		row := w.serviceRow(name)
		c := w.chooseSearcher(request{stats: stats}, part{service: row})
		if turn := w.turn(row, c); !c.found && !c.busy && !turn.Before(latest) && !c.availableAt.IsZero() {
			list = append(list, restriction{row, turn, c.interval()})
		}
	}
	missing := required - (len(services) - len(list))
	if missing <= 0 {
		return restriction{}, false
	}
	slices.SortFunc(list, func(a, b restriction) int { return a.turn.Compare(b.turn) })
	return list[missing-1], true
}

// returnDelay returns how long the caller of a refused request should wait. Callers
// that are refused because of the same limit return one after the other, but none
// waits longer than the route's timeout, after which a caller hardly comes back.
func (w *World) returnDelay(r restriction, route model.Route) time.Duration {
	s := w.service.Get(r.service)
	at := r.turn
	if s.nextReturn.After(at) {
		at = s.nextReturn
	}
	if last := w.Now().Add(route.Timeout); at.After(last) {
		return route.Timeout
	}
	w.service.Set(r.service, s.withNextReturn(at.Add(r.interval)))
	return at.Sub(w.Now())
}
