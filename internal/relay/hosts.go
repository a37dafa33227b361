package relay

import (
	"math"
	"slices"

	"toucanpulley.example/internal/model"
)

const (
	// maxAddresses bounds the hosts returned by HostsFor. Callers ignore any beyond
	// it.
	maxAddresses = 64
	// minPreferredHosts is the least number of large hosts that may serve all
	// callers alone, so that one remains after the loss of two.
	minPreferredHosts = 3
	// largeHostShare is the fraction of the largest host's capacity from which a
	// host counts as large. sufficientShare is the fraction of the total capacity
	// that the large hosts need to serve all callers alone. Large hosts are
	// preferred because a search with 90 parts takes 35 ms on a link of 20 Mbit/s
	// and a tenth of that on a link of 200 Mbit/s.
	largeHostShare  = 0.5
	sufficientShare = 0.2
	// nearbyServiceShare is the number of services in a failure domain, relative to
	// the domain with the most, from which the domain's hosts may be preferred.
	// Calls between failure domains take 9 ms and their traffic is billed.
	nearbyServiceShare = 0.5
)

// WithPreferredHosts returns the view with the hosts that callers are directed
// to: hosts with searchers in their failure domain, limited to large hosts if
// those suffice. LargeShareHosts are chosen in the same way from all known hosts,
// so that shares do not grow while hosts fail or cannot reach each other.
// ConnectionHosts are those of them that have not failed, whether ready or not: while
// all hosts start, the first ones that are ready would otherwise count as the only
// ones, and each take the greater part of every searcher's connections. Only if all
// have failed do the preferred hosts take their place. The result depends on Fleet,
// Hosts and KnownHosts.
func (v View) WithPreferredHosts() View {
	v.PreferredHosts = largeHosts(v.hostsNearSearchers(v.Hosts))
	v.LargeShareHosts = largeHosts(v.hostsNearSearchers(v.KnownHosts))
	v.ConnectionHosts = slices.DeleteFunc(slices.Clone(v.LargeShareHosts),
		func(m model.Member) bool { return m.State == model.MemberFailed })
	if len(v.LargeShareHosts) > 0 && len(v.ConnectionHosts) == 0 {
		v.ConnectionHosts = v.PreferredHosts
	}
	return v
}

// Prefers reports whether callers are directed to the host.
func (v View) Prefers(host model.HostID) bool { return containsHost(v.PreferredHosts, host) }

// HoldsConnections reports whether the host is one of ConnectionHosts.
func (v View) HoldsConnections(host model.HostID) bool { return containsHost(v.ConnectionHosts, host) }

// SurelyHoldsConnections reports whether the host holds connections whatever other
// hosts are found: the known hosts are complete, or it is a large one among smaller
// ones.
func (v View) SurelyHoldsConnections(host model.HostID) bool {
	if !v.HoldsConnections(host) {
		return false
	}
	largest, smallest, own := 0, math.MaxInt, 0
	for _, m := range v.KnownHosts {
		largest, smallest = max(largest, m.Host.Capacity), min(smallest, m.Host.Capacity)
		if m.Host.ID == host {
			own = m.Host.Capacity
		}
	}
	limit := largeHostShare * float64(largest)
	return v.Settled || float64(own) >= limit && float64(smallest) < limit
}

// HasLargeShare reports whether the host is one of LargeShareHosts.
func (v View) HasLargeShare(host model.HostID) bool { return containsHost(v.LargeShareHosts, host) }

func containsHost(list []model.Member, host model.HostID) bool {
	return slices.ContainsFunc(list, func(m model.Member) bool { return m.Host.ID == host })
}

// HostsFor returns the hosts that callers of a failure domain should use: the
// preferred hosts of that domain if there are at least two, else all preferred
// hosts. Suspected hosts are left out, because a killed host stays a suspect for
// seconds before it counts as failed, and a false suspicion only directs callers
// to another host.
func (v View) HostsFor(domain model.FailureDomain) []model.Host {
	var own, all []model.Host
	for _, m := range v.preferredWithoutSuspects() {
		all = append(all, m.Host)
		if m.Host.FailureDomain == domain {
			own = append(own, m.Host)
		}
	}
	if len(own) > 1 {
		all = own
	}
	return all[:min(len(all), maxAddresses)]
}

// preferredWithoutSuspects returns the preferred hosts that are not suspected. If
// most are suspected, it returns all, because then this host is more likely
// partitioned from them than they have failed.
func (v View) preferredWithoutSuspects() []model.Member {
	trusted := slices.DeleteFunc(slices.Clone(v.PreferredHosts), func(m model.Member) bool { return m.State == model.MemberSuspect })
	if 2*len(trusted) < len(v.PreferredHosts) {
		return v.PreferredHosts
	}
	return trusted
}

// hostsNearSearchers returns the given hosts that are in the failure domains whose
// searchers cover the most services.
func (v View) hostsNearSearchers(hosts []model.Member) []model.Member {
	services := v.servicesByDomain()
	best := 0
	for _, m := range hosts {
		best = max(best, services[m.Host.FailureDomain])
	}
	var list []model.Member
	for _, m := range hosts {
		if float64(services[m.Host.FailureDomain]) >= nearbyServiceShare*float64(best) {
			list = append(list, m)
		}
	}
	return list
}

// servicesByDomain counts, for each failure domain, the services that have a
// searcher there that is not leaving.
func (v View) servicesByDomain() map[model.FailureDomain]int {
	type serviceDomain struct {
		service model.ServiceName
		domain  model.FailureDomain
	}
	seen := map[serviceDomain]bool{}
	counts := map[model.FailureDomain]int{}
	for _, r := range v.Fleet.Registrations {
		p := serviceDomain{r.Service, r.Searcher.FailureDomain}
		if !seen[p] && !r.Searcher.Leaving {
			seen[p] = true
			counts[p.domain]++
		}
	}
	return counts
}

// largeHosts returns the large hosts of a list if they can serve all callers, else
// the whole list.
func largeHosts(hosts []model.Member) []model.Member {
	maxCapacity, total := 0, 0
	for _, m := range hosts {
		maxCapacity = max(maxCapacity, m.Host.Capacity)
		total += m.Host.Capacity
	}
	var list []model.Member
	capacity := 0
	for _, m := range hosts {
		if float64(m.Host.Capacity) >= largeHostShare*float64(maxCapacity) {
			list = append(list, m)
			capacity += m.Host.Capacity
		}
	}
	if len(list) < minPreferredHosts || float64(capacity) < sufficientShare*float64(total) {
		return hosts
	}
	return list
}
