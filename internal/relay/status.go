package relay

import (
	"cmp"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// StatusRequested asks for the status of the lane.
type StatusRequested struct {
	// Token is returned in StatusReported.
	Token uint64
}

// StatusReported is the response to StatusRequested.
type StatusReported struct {
	Token  uint64
	Status Status
}

func (StatusRequested) event()  {}
func (StatusReported) command() {}

// Status describes the state of a lane.
type Status struct {
	// Running is the number of unanswered requests.
	Running   int
	Routes    []RouteStatus
	Services  []ServiceStatus
	Searchers []SearcherStatus
}

// RouteStatus holds latencies of recent calls of a route: Median, and High at the
// quantile from which calls are hedged.
type RouteStatus struct {
	Route        string
	Median, High time.Duration
}

// ServiceStatus describes a service on this lane.
type ServiceStatus struct {
	Service model.ServiceName
	// Waiting is the number of queued parts.
	Waiting int
	// ExtraCalls is the remaining retry budget in calls.
	ExtraCalls float64
}

// SearcherStatus describes a searcher as observed by this lane.
type SearcherStatus struct {
	Registration model.Registration
	// State is one of ok, leaving, avoided, cold and unused.
	State string
	// InFlight is the number of calls in flight, which Limit and MaxOpen bound.
	InFlight, Limit, MaxOpen int
	// LatencyRatio is the smoothed ratio of its latencies to the median latencies of
	// the routes, FailedShare the smoothed fraction of failed calls.
	LatencyRatio, FailedShare float64
	// ConsecutiveLosses counts the calls since the last answer that ended without
	// one.
	ConsecutiveLosses int
}

// reportStatus is the system that responds to status requests.
func (w *World) reportStatus() {
	tick.Each(w.Inbox(), func(e StatusRequested) { w.Emit(StatusReported{e.Token, w.currentStatus()}) })
}

func (w *World) currentStatus() Status {
	s := Status{Running: w.Running()}
	for id := range w.routes.All() {
		latency := w.routeStat.Get(id).latency
		median, _ := latency.Quantile(0.5) // zero without samples
		high, _ := latency.Quantile(hedgeQuantile)
		s.Routes = append(s.Routes, RouteStatus{Route: w.routes.Key(id), Median: median, High: high})
	}
	for id := range w.services.All() {
		v := w.service.Get(id)
		s.Services = append(s.Services, ServiceStatus{
			Service: w.services.Key(id), Waiting: v.waiting.Len(), ExtraCalls: v.extraCalls.Left(w.Now()),
		})
	}
	for id := range w.searchers.All() {
		row := w.searcher.Get(id)
		s.Searchers = append(s.Searchers, SearcherStatus{
			Registration: row.registration, State: w.searcherState(row), InFlight: row.inFlight, Limit: row.limit.Value(),
			MaxOpen: row.connections.MaxOpen, LatencyRatio: row.currentLatencyRatio(w.Now()),
			FailedShare: row.failedShare * row.decay(w.Now()), ConsecutiveLosses: row.consecutiveLosses,
		})
	}
	slices.SortFunc(s.Routes, func(a, b RouteStatus) int { return cmp.Compare(a.Route, b.Route) })
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(s.Searchers, func(a, b SearcherStatus) int {
		return cmp.Compare(a.Registration.Searcher.ID, b.Registration.Searcher.ID)
	})
	return s
}

func (w *World) searcherState(s searcher) string {
	switch {
	case s.draining:
		return "leaving"
	case s.connections.MaxOpen == 0:
		return "unused"
	case w.Now().Before(s.avoidUntil):
		return "avoided"
	case w.Now().Before(s.warmUntil):
		return "cold"
	default:
		return "ok"
	}
}
