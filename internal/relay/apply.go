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

// applyViews is the system that applies new views from the control thread.
func (w *World) applyViews() {
	tick.Each(w.Inbox(), func(e ViewChanged) {
		old := w.view
		w.view = e.View
		if e.View.Configuration.Version != old.Configuration.Version {
			w.updateShards()
		}
		w.updateSearchers()
		w.forgetSurvived(old)
		w.updateRetryBudgets()
		w.updateLimitPaces()
		w.planConnections()
		w.changedServices = slices.AppendSeq(w.changedServices, w.services.All())
		w.logView(old)
	})
}

// updateSearchers updates the tables of searchers and services from the view. A
// searcher that is no longer registered keeps its row until it is removable.
func (w *World) updateSearchers() {
	listed := make(map[model.SearcherID]bool, len(w.view.Fleet.Registrations))
	byService := map[table.ID][]table.ID{}
	for _, r := range w.view.Fleet.Registrations {
		listed[r.Searcher.ID] = true
		id, added := w.searchers.Add(r.Searcher.ID)
		old := w.searcher.Get(id)
		serviceID := w.serviceRow(r.Service)
		next := old.withRegistration(r, r.Searcher.FailureDomain == w.FailureDomain, w.Now())
		next.service = serviceID
		w.searcher.Set(id, next)
		byService[serviceID] = append(byService[serviceID], id)
		if added || !old.registration.SameStart(r) || old.draining != next.draining {
			w.log("searcher changed", "searcher", r.Searcher.ID, "service", r.Service, "address", r.Searcher.Address,
				"leaving", r.Searcher.Leaving, "born", r.StartMillis, "revision", r.Revision)
		}
	}
	for id := range w.searchers.All() {
		s := w.searcher.Get(id)
		if listed[w.searchers.Key(id)] {
			continue
		}
		if !s.draining {
			w.log("searcher gone", "searcher", w.searchers.Key(id), "revision", w.view.Fleet.Revision)
		}
		if s.removable(w.Now()) {
			w.searchers.Remove(id)
			continue
		}
		w.searcher.Set(id, s.withDraining())
	}
	for id := range w.services.All() {
		w.service.Set(id, w.service.Get(id).withMembers(byService[id]))
	}
}

// serviceRow returns the row of a service and adds it if needed.
func (w *World) serviceRow(name model.ServiceName) table.ID {
	id, added := w.services.Add(name)
	if added {
		w.service.Set(id, service{
			extraCalls: policy.NewRollingBudget(w.RetryBudget.RetryShare*usableBudgetShare, w.retrySlack(), w.RetryBudget.RetryWindow, windowSteps),
			waiting:    policy.NewPriorityQueue[table.ID](),
		})
	}
	return id
}

// retrySlack returns this host's share of the retry slack. It is zero for one
// retry window after the start, because the previous process on this host may
// have spent the slack of that window.
func (w *World) retrySlack() float64 {
	if w.Now().Before(w.StartTime().Add(w.RetryBudget.RetryWindow)) {
		return 0
	}
	return w.fixedShare(w.RetryBudget.RetrySlack) * usableBudgetShare
}

// grantRetrySlack is the system that grants the retry slack once the process has
// run for a full retry window.
func (w *World) grantRetrySlack() {
	if at := w.StartTime().Add(w.RetryBudget.RetryWindow); w.Now().Before(at) {
		w.WakeAt(at)
	} else if !w.slackGranted {
		w.slackGranted = true
		w.updateRetryBudgets()
	}
}

// liveShare returns this host's share of an amount that the hosts that hold most
// connections divide. Shares grow while other hosts seem to have failed, so that the
// sum over all hosts may exceed the amount.
func (w *World) liveShare(total float64) float64 {
	return w.share(total, len(w.view.ConnectionHosts), w.view.HoldsConnections(w.Host))
}

// fixedShare returns this host's share of an amount that must not be exceeded. It
// depends only on the hosts that have not left, so that the shares add up to the
// amount also while hosts fail, restart or cannot reach each other.
func (w *World) fixedShare(total float64) float64 {
	return w.share(total, len(w.view.LargeShareHosts), w.view.HasLargeShare(w.Host))
}

// share returns the share of one host in an amount of which the given number of
// hosts get the greater part, once all hosts are known.
func (w *World) share(total float64, largeHosts int, large bool) float64 {
	others := w.view.HostCount - largeHosts
	switch {
	case largeHosts == 0 || others <= 0 || !w.view.Joined:
		return total / float64(w.view.HostCount)
	case large:
		return total * preferredShare / float64(largeHosts)
	default:
		return total * (1 - preferredShare) / float64(others)
	}
}

// updateRetryBudgets recomputes the retry slack after the set of hosts changed.
func (w *World) updateRetryBudgets() {
	for id := range w.services.All() {
		w.service.Get(id).extraCalls.Slack = w.retrySlack()
	}
}

// planConnections sets the connection limits to each searcher so that all hosts
// together stay below the searcher's cap.
func (w *World) planConnections() {
	surelyHolds := w.view.SurelyHoldsConnections(w.Host)
	plan := ConnectionPlan{Searchers: map[model.SearcherID]ConnectionLimits{}}
	for row := range w.services.All() {
		name, members := w.services.Key(row), w.service.Get(row).members
		settings, _ := w.view.Configuration.Service(name)
		share := w.connectionShare(settings.ConnectionCap)
		delegated := w.shards[name] && w.connectionsScarce(settings.ConnectionCap) && !w.reachesDirectly(members)
		subset, onDemand := members, share == 0
		if onDemand {
			share, subset = 1, w.searcherSubset(members)
		}
		for _, id := range members {
			s := w.searcher.Get(id)
			limits := ConnectionLimits{Searcher: s.registration.Searcher, OnDemand: onDemand}
			if slices.Contains(subset, id) && !s.draining {
				limits.MaxOpen = share
				if surelyHolds && (!delegated || s.local) {
					limits.MinOpen = min(minOpenConnections, share)
				}
			}
			w.searcher.Set(id, s.withConnections(limits, delegated))
			if limits.MaxOpen > 0 {
				plan.Searchers[w.searchers.Key(id)] = limits
			}
		}
	}
	w.Emit(plan)
}

// updateShards collects the services that are shards of a route.
func (w *World) updateShards() {
	clear(w.shards)
	for _, r := range w.view.Configuration.Routes() {
		for _, name := range r.Shards {
			w.shards[name] = true
		}
	}
}

// connectionShare returns how many connections this host may open to a searcher
// with the given cap, or 0 if there is less than one per host.
func (w *World) connectionShare(connectionCap int) int {
	const maxConnections = 16 // per searcher, also without a cap
	if connectionCap == 0 {
		return maxConnections
	}
	return min(int(w.liveShare(float64(connectionCap))/hostReplacementFactor), maxConnections)
}

// searcherSubset returns two searchers of a service. Searchers in this host's
// failure domain come first; the order within each group is by rendezvous hashing
// (Thaler and Ravishankar 1998), so that it differs between hosts.
func (w *World) searcherSubset(members []table.ID) []table.ID {
	const subsetSize = 2 // a primary and a fallback
	order := slices.Clone(members)
	hash := func(id table.ID) uint64 {
		return xxhash.Sum64String(string(w.Host) + "/" + string(w.searchers.Key(id)))
	}
	slices.SortFunc(order, func(a, b table.ID) int {
		if x, y := w.searcher.Get(a), w.searcher.Get(b); x.local != y.local {
			if x.local {
				return -1
			}
			return 1
		}
		return cmp.Compare(hash(a), hash(b))
	})
	return order[:min(subsetSize, len(order))]
}

// logView logs changes of the configuration, the readiness and the hosts.
func (w *World) logView(old View) {
	v := w.view
	if v.Configuration.Version != old.Configuration.Version {
		w.log("configuration in force", "version", v.Configuration.Version, "former", old.Configuration.Version,
			"routes", v.Configuration.Len())
	}
	if v.Ready != old.Ready || v.Leaving != old.Leaving {
		w.log("readiness changed", "ready", v.Ready, "reason", v.Reason, "leaving", v.Leaving)
	}
	if v.HostCount != old.HostCount || len(v.PreferredHosts) != len(old.PreferredHosts) {
		w.log("hosts changed", "hosts", v.HostCount, "former", old.HostCount, "joined", v.Joined, "ready", len(v.Hosts),
			"carriers", len(v.PreferredHosts), "carries", v.Prefers(w.Host))
	}
}

// routeStatsRow returns the row of a route's statistics and adds it if needed.
func (w *World) routeStatsRow(r model.Route) table.ID {
	id, added := w.routes.Add(r.Name)
	if added {
		w.routeStat.Set(id, routeStats{
			latency:        policy.NewSampleWindow[time.Duration](latencySamples),
			currentWeights: map[model.ServiceName]float64{},
		})
	}
	return id
}
