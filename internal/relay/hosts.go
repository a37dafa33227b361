package relay

import "toucanpulley.example/internal/model"

// maxAddresses is the number of addresses of one answer; callers read no more.
const maxAddresses = 64

// HostsFor returns the entry hosts that callers of a failure domain should use.
// Hosts that have searchers nearby go first, because their calls cross no
// failure domain; among them those of the callers' own domain, if there are any.
func (v View) HostsFor(domain model.FailureDomain) []model.Host {
	near := v.searchersNear()
	best := 0
	for _, m := range v.Hosts {
		best = max(best, near[m.Host.FailureDomain])
	}
	var own, others []model.Host
	for _, m := range v.Hosts {
		switch d := m.Host.FailureDomain; {
		case near[d]*2 < best: // most of its calls would leave the domain
		case d == domain:
			own = append(own, m.Host)
		default:
			others = append(others, m.Host)
		}
	}
	if len(own) > 1 || len(own) > 0 && len(others) == 0 {
		return own[:min(len(own), maxAddresses)]
	}
	list := append(own, others...)
	return list[:min(len(list), maxAddresses)]
}

// searchersNear counts the services with a searcher in each failure domain.
func (v View) searchersNear() map[model.FailureDomain]int {
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
