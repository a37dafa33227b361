package relay

import (
	"cmp"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// StatusAsked asks for the state of the lane.
type StatusRequested struct {
	// Token is returned with the answer.
	Token uint64
}

// StatusTold is the answer to StatusAsked.
type StatusReported struct {
	Token  uint64
	Status Status
}

func (StatusRequested) event()  {}
func (StatusReported) command() {}

// Status is the state of a lane.
type Status struct {
	// Running is the number of requests without an answer.
	Running   int
	Routes    []RouteStatus
	Services  []ServiceStatus
	Searchers []SearcherStatus
}

// RouteStatus holds the latencies of recent calls of a route.
type RouteStatus struct {
	Route        string
	Median, High time.Duration
}

// ServiceStatus is the state of a service on this lane.
type ServiceStatus struct {
	Service model.ServiceName
	// Waiting is the number of parts that wait for a free searcher.
	Waiting int
	// Extra is how many calls beyond the first of each request are allowed now.
	ExtraCalls float64
}

// SearcherStatus is the state of a searcher as this lane has observed it.
type SearcherStatus struct {
	Registration model.Registration
	// State is one of ok, leaving, avoided, cold and unused.
	State string
	// InFlight is the number of running calls, Limit and Most bound them.
	InFlight, Limit, MaxOpen int
	// Ratio is the smoothed ratio of its latencies to the usual ones, Failing the
	// smoothed share of failed calls.
	LatencyRatio, FailedShare float64
	// Lost counts calls in a row that ended without an answer.
	ConsecutiveLosses int
}

// tell is the system that answers questions for the lane's state.
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
		n := w.searcher.Get(id)
		s.Searchers = append(s.Searchers, SearcherStatus{
			Registration: n.registration, State: w.searcherState(n), InFlight: n.inFlight, Limit: n.limit.Value(),
			MaxOpen: n.connections.MaxOpen, LatencyRatio: n.currentLatencyRatio(w.Now()), FailedShare: n.failedShare * n.decay(w.Now()), ConsecutiveLosses: n.consecutiveLosses,
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
	case s.gone:
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
