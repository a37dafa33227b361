package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// follow is the system that applies views from control.
func (w *World) follow() {
	tick.Each(w.Inbox(), func(e ViewChanged) {
		old := w.view
		w.view = e.View
		w.followSearchers()
		w.followBudgets()
		w.connect()
		w.altered = slices.AppendSeq(w.altered, w.services.All())
		w.noteView(old)
	})
}

// followSearchers brings the table of searchers up to the view.
func (w *World) followSearchers() {
	listed := make(map[model.SearcherID]bool, len(w.view.Fleet.Registrations))
	members := map[table.ID][]table.ID{}
	for _, r := range w.view.Fleet.Registrations {
		listed[r.Searcher.ID] = true
		id, fresh := w.searchers.Add(r.Searcher.ID)
		old := w.searcher.Get(id)
		serviceID := w.serviceRow(r.Service)
		next := old.withRegistration(r, r.Searcher.FailureDomain == w.FailureDomain, w.Now())
		next.service = serviceID
		w.searcher.Set(id, next)
		members[serviceID] = append(members[serviceID], id)
		if fresh || !old.registration.Same(r) || old.gone != next.gone {
			w.note("searcher changed", "searcher", r.Searcher.ID, "service", r.Service, "address", r.Searcher.Address,
				"leaving", r.Searcher.Leaving, "born", r.Born, "revision", r.Revision)
		}
	}
	for id := range w.searchers.All() {
		s := w.searcher.Get(id)
		if listed[w.searchers.Key(id)] {
			continue
		}
		if !s.gone {
			w.note("searcher gone", "searcher", w.searchers.Key(id), "revision", w.view.Fleet.Revision)
		}
		if s.inFlight == 0 {
			w.searchers.Remove(id)
			continue
		}
		w.searcher.Set(id, s.withGone())
	}
	for id := range w.services.All() {
		w.service.Set(id, w.service.Get(id).withMembers(members[id]))
	}
}

// serviceRow returns the row of a service, which is added if it is new.
func (w *World) serviceRow(name model.ServiceName) table.ID {
	id, fresh := w.services.Add(name)
	if fresh {
		w.service.Set(id, service{
			extras:  policy.NewRollingBudget(w.Bounds.RetryShare*budgetMargin, w.slack(), w.Bounds.RetryWindow, windowSteps),
			waiting: policy.NewPriorityQueue[table.ID](),
		})
	}
	return id
}

// slack returns this host's part of the slack of the retry budget. A process
// that has just started has none: its former life may have used it.
func (w *World) slack() float64 {
	if w.Now().Before(w.Begun().Add(w.Bounds.RetryWindow)) {
		return 0
	}
	return w.portion(w.Bounds.RetrySlack) * budgetMargin
}

// mature is the system that gives a process its slack once it is old enough.
func (w *World) mature() {
	if at := w.Begun().Add(w.Bounds.RetryWindow); w.Now().Before(at) {
		w.WakeAt(at)
	} else if !w.grown {
		w.grown = true
		w.followBudgets()
	}
}

// portion returns this host's part of what all hosts share. Hosts that callers
// are sent to get most of it, once all hosts are known.
func (w *World) portion(whole float64) float64 {
	carriers, others := float64(len(w.view.Carriers)), float64(w.view.HostCount-len(w.view.Carriers))
	switch {
	case carriers == 0 || others <= 0 || !w.view.Joined:
		return whole / float64(w.view.HostCount)
	case w.view.Carries(w.Host):
		return whole * carrierShare / carriers
	default:
		return whole * (1 - carrierShare) / others
	}
}

// followBudgets divides the slack of the retry budget anew when hosts come or go.
func (w *World) followBudgets() {
	for id := range w.services.All() {
		w.service.Get(id).extras.Slack = w.slack()
	}
}

// connect decides how many connections each searcher gets from this host, so
// that all hosts together stay below its cap.
func (w *World) connect() {
	c := Connect{Searchers: map[model.SearcherID]Connections{}}
	for row := range w.services.All() {
		name, members := w.services.Key(row), w.service.Get(row).members
		settings, _ := w.view.Configuration.Service(name)
		share := w.connectionShare(settings.ConnectionCap)
		used := members
		if share == 0 {
			share, used = 1, w.subset(members)
		}
		for _, id := range members {
			s := w.searcher.Get(id)
			n := Connections{Searcher: s.registration.Searcher}
			if slices.Contains(used, id) && !s.gone {
				n.Most = share
				if w.view.Carries(w.Host) {
					n.Ahead = min(aheadConnections, share)
				}
			}
			w.searcher.Set(id, s.withConnections(n))
			if n.Most > 0 {
				c.Searchers[w.searchers.Key(id)] = n
			}
		}
	}
	w.Emit(c)
}

// connectionShare returns the connections that this host may open to a searcher
// with a cap; 0 if there is less than one for each host.
func (w *World) connectionShare(limit int) int {
	const unlimited = 16 // connections to a searcher without a stated cap
	if limit == 0 {
		return unlimited
	}
	return min(int(w.portion(float64(limit))/spareHosts), unlimited)
}

// subset returns two of the searchers of a service: one of this host's failure
// domain if there is one, and others in an order that differs from host to host
// (rendezvous hashing, Thaler and Ravishankar 1998).
func (w *World) subset(members []table.ID) []table.ID {
	const size = 2 // one to work with and one to fall back on
	order := slices.Clone(members)
	weight := func(id table.ID) uint64 {
		return xxhash.Sum64String(string(w.Host) + "/" + string(w.searchers.Key(id)))
	}
	slices.SortFunc(order, func(a, b table.ID) int {
		if x, y := w.searcher.Get(a), w.searcher.Get(b); x.own != y.own {
			if x.own {
				return -1
			}
			return 1
		}
		return cmp.Compare(weight(a), weight(b))
	})
	return order[:min(size, len(order))]
}

// noteView logs what a new view changes for requests.
func (w *World) noteView(old View) {
	v := w.view
	if v.Configuration.Version != old.Configuration.Version {
		w.note("configuration in force", "version", v.Configuration.Version, "former", old.Configuration.Version,
			"routes", v.Configuration.Len())
	}
	if v.Ready != old.Ready || v.Leaving != old.Leaving {
		w.note("readiness changed", "ready", v.Ready, "reason", v.Reason, "leaving", v.Leaving)
	}
	if v.HostCount != old.HostCount || len(v.Carriers) != len(old.Carriers) {
		w.note("hosts changed", "hosts", v.HostCount, "former", old.HostCount, "joined", v.Joined, "ready", len(v.Hosts),
			"carriers", len(v.Carriers), "carries", v.Carries(w.Host))
	}
}

// classRow returns the row of the statistics of a route.
func (w *World) classRow(r model.Route) table.ID {
	id, fresh := w.classes.Add(r.Name)
	if fresh {
		w.class.Set(id, class{
			latency: policy.NewSampleWindow[time.Duration](latencySamples),
			turn:    map[model.ServiceName]float64{},
		})
	}
	return id
}
