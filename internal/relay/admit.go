package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// notReadyRetryAfter is the Retry-After of a host without a configuration.
	// Loading the configuration takes several calls of a few milliseconds each.
	notReadyRetryAfter = 100 * time.Millisecond
	// noReplicaRetryAfter is the Retry-After of a request that failed because too
	// few parts were answered. Searcher registrations change within a second.
	noReplicaRetryAfter = 300 * time.Millisecond
)

// admitRequests is the system that starts or refuses new requests.
func (w *World) admitRequests() {
	tick.Each(w.Inbox(), func(e Arrived) {
		if w.disconnected[e.Request.Handle] {
			w.refuseRequest(e.Request, model.NewRefusal(model.ReasonCallerCancelled, "the caller went away before the request was handled"), 0)
			return
		}
		route, refusal, ok := w.resolveRoute(e.Request)
		if !ok {
			w.refuseRequest(e.Request, refusal, w.refusalRetryAfter(e.Request, refusal))
			return
		}
		if w.refusedByStop(e.Request, route) {
			w.refuseRequest(e.Request, model.NewRefusal(model.ReasonDraining, "the host is shutting down"), stoppingRetryAfter)
			return
		}
		services := w.selectServices(route)
		if c, restricted := w.findRestriction(e.Request, route, services); restricted {
			refusal := model.NewRefusal(model.ReasonRestricted, "service %s takes no more requests of this host for now", w.services.Key(c.service))
			w.refuseRequest(e.Request, refusal, w.returnDelay(c, route))
			return
		}
		w.startRequest(e.Request, route, services)
	})
}

// selectServices returns the services that a request on the route is sent to.
func (w *World) selectServices(route model.Route) []model.ServiceName {
	if route.Sharded() {
		return route.Shards
	}
	return []model.ServiceName{w.pickWeightedService(w.routeStatsRow(route), route)}
}

// resolveRoute returns the route of a request, or the refusal to send instead.
func (w *World) resolveRoute(r Request) (model.Route, model.Refusal, bool) {
	c := w.view.Configuration
	if !c.Loaded() {
		return model.Route{}, model.NewRefusal(model.ReasonNotReady, "no configuration is known yet"), false
	}
	route, ok := c.Route(r.Host, r.Path)
	if !ok {
		return model.Route{}, model.NewRefusal(model.ReasonUnknownScope, "no route for host %q and path %q", r.Host, r.Path), false
	}
	if s := w.findSuspect(r.Fingerprint); w.Now().Before(w.refusedUntil(r.Fingerprint, s)) {
		return model.Route{}, model.NewRefusal(model.ReasonQuarantined,
			"searchers were lost while they ran this request, %d times", s.Losses), false
	}
	if r.Timeout < 0 {
		return model.Route{}, model.NewRefusal(model.ReasonDeadlineExpired, "the deadline has passed"), false
	}
	return route, model.Refusal{}, true
}

// refusalRetryAfter returns the Retry-After of a request without a usable route.
func (w *World) refusalRetryAfter(r Request, refusal model.Refusal) time.Duration {
	if refusal.Reason == model.ReasonQuarantined {
		return w.refusedUntil(r.Fingerprint, w.findSuspect(r.Fingerprint)).Sub(w.Now())
	}
	return notReadyRetryAfter
}

// refuseRequest responds to a request that was not started.
func (w *World) refuseRequest(r Request, refusal model.Refusal, after time.Duration) {
	w.Emit(Count{"refusal", string(refusal.Reason)})
	w.log("request refused", "request", r.ID, "host", r.Host, "path", r.Path, "reason", refusal.Reason,
		"detail", refusal.Detail, "version", w.view.Configuration.Version, "retryAfterMs", milliseconds(after))
	w.Emit(Respond{Handle: r.Handle, Answer: newRefusedAnswer(refusal).WithRetryAfter(after)})
}

// startRequest adds a request with a part for each service and dispatches the parts.
// The parts of a suspect are held until reviewLosses releases them.
func (w *World) startRequest(q Request, route model.Route, services []model.ServiceName) {
	id, _ := w.requests.Add(q.Handle)
	r := request{
		received: q, route: route, version: w.view.Configuration.Version, stats: w.routeStatsRow(route),
		deadline: w.deadline(q, route),
	}
	if route.Sharded() {
		r.partialAt = q.Arrived.Add(partialAnswerDelay(q, route))
		w.requestTimers.Add(r.partialAt, id)
	}
	w.requestTimers.Add(r.deadline, id)
	r.wave, _ = w.waves.Add(q.Handle)
	w.wave.Set(r.wave, wave{request: id, requestID: q.ID, fingerprint: q.Fingerprint})
	for i, name := range services {
		row, _ := w.parts.Add(partKey{id, i})
		w.part.Set(row, part{request: id, service: w.serviceRow(name)})
		r = r.withPart(row)
	}
	if w.findSuspect(q.Fingerprint).Losses > 0 {
		w.request.Set(id, r)
		w.wave.Set(r.wave, w.wave.Get(r.wave).withSuspect())
		for _, row := range r.parts {
			w.holdPart(row)
		}
		w.reviewQueue = append(w.reviewQueue, r.wave)
		return
	}
	w.request.Set(id, r)
	for _, row := range r.parts {
		w.dispatch(row)
	}
}

// partialAnswerDelay returns the time from arrival after which an answer that
// has the required coverage is sent without waiting for the other parts, so that
// it reaches the caller within the route's target latency.
func partialAnswerDelay(q Request, route model.Route) time.Duration {
	roundTrip := q.RoundTrip
	if roundTrip == 0 {
		roundTrip = defaultRoundTrip
	}
	return max(route.TargetLatency-callerRoundTrips*roundTrip-answerMargin, route.TargetLatency/2)
}

// pickWeightedService selects the service for a request on a split route by
// smooth weighted round robin: every share's current weight grows by its weight,
// and the total is subtracted from the share with the greatest current weight,
// which is selected.
func (w *World) pickWeightedService(row table.ID, route model.Route) model.ServiceName {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	current := w.routeStat.Get(row).currentWeights
	total, best := 0.0, -1
	for i, s := range route.Shares {
		total += s.Weight
		current[s.Service] += s.Weight
		if s.Weight > 0 && (best < 0 || current[s.Service] > current[route.Shares[best].Service]) {
			best = i
		}
	}
	if best < 0 {
		return route.Shares[0].Service
	}
	name := route.Shares[best].Service
	current[name] -= total
	return name
}
