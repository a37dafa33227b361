package relay

import (
	"slices"

	"toucanpulley.example/internal/model"
)

const (
	// maxAddresses is the number of addresses of one answer; callers read no more.
	maxAddresses = 64
	// leastCarriers is the smallest number of strong hosts that carry all callers,
	// so that the loss of two leaves one.
	minPreferredHosts = 3
	// strongShare is the part of the strongest host's capacity from which a host
	// counts as strong, enoughShare the part of all capacity that strong hosts
	// must hold to carry all callers alone. A search with 90 parts takes 35 ms on
	// a link of 20 Mbit/s and a tenth of that on one of 200.
	largeHostShare  = 0.5
	sufficientShare = 0.2
	// nearShare is the part of the services near the best failure domain from
	// which another one is as good; calls across domains take 9 ms and are paid for.
	nearbyServiceShare = 0.5
)

// WithCarriers returns the view with the hosts that callers are sent to: those
// with searchers in their failure domain, and only the strong ones if there are
// enough. It depends on fleet and hosts.
func (v View) WithPreferredHosts() View {
	v.PreferredHosts = largeHosts(v.hostsNearSearchers())
	return v
}

// Carries reports whether callers are sent to a host.
func (v View) Prefers(host model.HostID) bool {
	for _, m := range v.PreferredHosts {
		if m.Host.ID == host {
			return true
		}
	}
	return false
}

// HostsFor returns the hosts that callers of a failure domain should use: those
// of their own domain if there are at least two, else all carriers. Suspects are
// left out: a killed host is a suspect for seconds before it counts as failed,
// and callers that are sent elsewhere by mistake lose nothing.
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

// trusted returns the carriers that are not suspects; all if most are, since
// this host is then more probably cut off than they are gone.
func (v View) preferredWithoutSuspects() []model.Member {
	list := slices.DeleteFunc(slices.Clone(v.PreferredHosts), func(m model.Member) bool { return m.State == model.MemberSuspect })
	if 2*len(list) < len(v.PreferredHosts) {
		return v.PreferredHosts
	}
	return list
}

// nearSearchers returns the hosts in the failure domains that have a searcher of
// most services.
func (v View) hostsNearSearchers() []model.Member {
	near := v.servicesByDomain()
	best := 0
	for _, m := range v.Hosts {
		best = max(best, near[m.Host.FailureDomain])
	}
	var list []model.Member
	for _, m := range v.Hosts {
		if float64(near[m.Host.FailureDomain]) >= nearbyServiceShare*float64(best) {
			list = append(list, m)
		}
	}
	return list
}

// servicesNear counts the services with a searcher in each failure domain.
func (v View) servicesByDomain() map[model.FailureDomain]int {
	type place struct {
		service model.ServiceName
		domain  model.FailureDomain
	}
	seen := map[place]bool{}
	near := map[model.FailureDomain]int{}
	for _, r := range v.Fleet.Registrations {
		p := place{r.Service, r.Searcher.FailureDomain}
		if !seen[p] && !r.Searcher.Leaving {
			seen[p] = true
			near[p.domain]++
		}
	}
	return near
}

// strong returns the strong ones of a list of hosts if they can carry all callers.
func largeHosts(hosts []model.Member) []model.Member {
	most, total := 0, 0
	for _, m := range hosts {
		most = max(most, m.Host.Capacity)
		total += m.Host.Capacity
	}
	var list []model.Member
	sum := 0
	for _, m := range hosts {
		if float64(m.Host.Capacity) >= largeHostShare*float64(most) {
			list = append(list, m)
			sum += m.Host.Capacity
		}
	}
	if len(list) < minPreferredHosts || float64(sum) < sufficientShare*float64(total) {
		return hosts
	}
	return list
}
