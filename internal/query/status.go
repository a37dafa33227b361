package query

import (
	"cmp"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// StatusRequested asks for the state of the lane.
type StatusRequested struct {
	// Token is copied into the reply.
	Token uint64
}

// StatusReply is the answer to StatusRequested.
type StatusReply struct {
	Token  uint64
	Status Status
}

func (StatusRequested) event() {}
func (StatusReply) command()   {}

// Status is the state of a lane.
type Status struct {
	Services  []ServiceStatus
	Searchers []SearcherStatus
	Suspects  []SuspectStatus
}

// ServiceStatus is the state of a service on this lane.
type ServiceStatus struct {
	Service         model.ServiceName
	Queued, Running int
	// Median and High are the 0.5 and 0.99 quantiles of recent call latency.
	Median, High time.Duration
}

// SearcherStatus is the state of a searcher as observed by this lane.
type SearcherStatus struct {
	Searcher model.Searcher
	Service  model.ServiceName
	// State is one of ok, ejected, trial, leaving and cold.
	State           string
	InFlight, Limit int
	Latency         time.Duration
	Failures        int
}

// SuspectStatus is a request that was running when searchers were lost.
type SuspectStatus struct {
	Fingerprint model.Fingerprint
	Losses      int
	Until       time.Time
}

// reportStatus is the system that answers requests for the lane's state.
func (w *World) reportStatus() {
	tick.Each(w.Inbox(), func(e StatusRequested) { w.Emit(StatusReply{e.Token, w.status()}) })
}

func (w *World) status() Status {
	var s Status
	for id := range w.services.All() {
		r := w.service.Get(id)
		median, _ := r.latency.Quantile(0.5)
		high, _ := r.latency.Quantile(0.99)
		s.Services = append(s.Services, ServiceStatus{
			Service: w.services.Key(id), Queued: r.queue.Len(), Running: r.running, Median: median, High: high,
		})
	}
	for id := range w.searchers.All() {
		r := w.searcher.Get(id)
		s.Searchers = append(s.Searchers, SearcherStatus{
			Searcher: r.info, Service: w.services.Key(r.service), State: w.searcherState(r),
			InFlight: r.inFlight, Limit: r.limit.Value(), Latency: r.meanLatency, Failures: r.failures,
		})
	}
	for id := range w.suspects.All() {
		x := w.suspect.Get(id)
		s.Suspects = append(s.Suspects, SuspectStatus{w.suspects.Key(id), x.losses, x.until})
	}
	slices.SortFunc(s.Searchers, func(a, b SearcherStatus) int { return cmp.Compare(a.Searcher.ID, b.Searcher.ID) })
	return s
}

func (w *World) searcherState(s searcher) string {
	switch {
	case s.leaving(w.Now()):
		return "leaving"
	case w.Now().Before(s.ejectedUntil):
		return "ejected"
	case s.trial:
		return "trial"
	case w.Now().Sub(s.slowStartFrom) < w.rootSettings.SlowStart:
		return "cold"
	default:
		return "ok"
	}
}
