package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// extraAddresses is the number of hosts in an address answer beyond the
	// subset. Callers fall back to them when the whole subset is lost within
	// one TTL.
	extraAddresses = 2
	// assignedWeight and extraWeight make callers prefer the hosts that run the
	// service, as all other hosts must forward its requests.
	assignedWeight = 100
	extraWeight    = 1
)

// member is the component of a host.
type member struct {
	value model.Member
	hash  uint64
	// domain is the row of the failure domain in which the host is a candidate,
	// or zero if it is not a candidate.
	domain table.ID
}

// candidate reports whether a member can be assigned services and returned to
// callers.
func candidate(m model.Member) bool { return m.State == model.MemberAlive && m.Ready }

// domain is the component of a failure domain.
type domain struct {
	hosts []candidateHost
}

// candidateHost is a candidate host with the hash of its ID.
type candidateHost struct {
	host table.ID
	id   model.HostID
	hash uint64
}

func (d domain) with(h candidateHost) domain {
	d.hosts = append(d.hosts, h) // the component is replaced, so no other copy uses the slice
	return d
}

func (d domain) without(id table.ID) domain {
	d.hosts = slices.DeleteFunc(slices.Clone(d.hosts), func(h candidateHost) bool { return h.host == id })
	return d
}

// scoredHost is a candidate host with its rendezvous score for a service.
type scoredHost struct {
	score uint64
	host  table.ID
	id    model.HostID
}

// compareScores sorts by descending score, then by host ID.
func compareScores(a, b scoredHost) int {
	return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(string(a.id), string(b.id)))
}

// service is the component of a service.
type service struct {
	hash uint64
	// best holds the highest-scoring candidates of each failure domain.
	best map[table.ID][]scoredHost
	// assigned lists the hosts that run the service.
	assigned []model.HostID
	// maxSlots and minConnectionCap are the largest slot count and the smallest
	// connection cap of the searchers of the service.
	maxSlots, minConnectionCap int
}

func newService(name model.ServiceName) service {
	return service{hash: xxhash.Sum64String(string(name)), best: map[table.ID][]scoredHost{}}
}

func (s service) withSearchers(list []model.Searcher) service {
	s.maxSlots, s.minConnectionCap = 0, 0
	for i, x := range list {
		s.maxSlots = max(s.maxSlots, x.Slots)
		if i == 0 || x.ConnectionCap < s.minConnectionCap {
			s.minConnectionCap = x.ConnectionCap
		}
	}
	return s
}

// score combines the hashes of a service and a host with the finalizer of
// SplitMix64 (Steele, Lea, Flood 2014).
func score(service, host uint64) uint64 {
	x := service ^ host
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// applyMembers is the system that adds members to and removes them from the
// candidates of their failure domains. Each change recomputes only the services
// whose assignment it can alter.
func (w *World) applyMembers() {
	tick.Each(w.Inbox(), func(e MembersChanged) {
		for _, m := range e.Members {
			if m.Host.ID == w.host {
				w.applyOwnIncarnation(m)
			} else {
				w.sawPeer = true
			}
			w.applyMember(m)
		}
	})
}

func (w *World) applyMember(m model.Member) {
	id, _ := w.members.Add(m.Host.ID)
	old := w.member.Get(id)
	now := member{value: m, hash: xxhash.Sum64String(string(m.Host.ID)), domain: old.domain}
	unchanged := old.value.Host == m.Host && (old.domain != 0) == candidate(m)
	if old.domain != 0 && !unchanged {
		w.removeCandidate(id, old.domain)
		now.domain = 0
	}
	w.member.Set(id, now)
	if candidate(m) && !unchanged {
		now.domain = w.addCandidate(id, m.Host.FailureDomain, now.hash)
		w.member.Set(id, now)
	}
	if m.State == model.MemberFailed || m.State == model.MemberLeft {
		w.members.Remove(id)
	}
}

// addCandidate adds a host to the candidates of its failure domain.
func (w *World) addCandidate(id table.ID, name model.FailureDomain, hash uint64) table.ID {
	d, isNew := w.domains.Add(name)
	w.reassign = w.reassign || isNew // candidatesPerDomain may change
	host := w.members.Key(id)
	w.domain.Set(d, w.domain.Get(d).with(candidateHost{id, host, hash}))
	if w.reassign {
		return d
	}
	limit := w.candidatesPerDomain()
	for r := range w.services.All() {
		s := w.service.Get(r)
		best := s.best[d]
		c := scoredHost{score(s.hash, hash), id, host}
		at, _ := slices.BinarySearchFunc(best, c, compareScores)
		if at >= limit {
			continue
		}
		best = slices.Insert(slices.Clone(best), at, c)
		s.best[d] = best[:min(len(best), limit)]
		w.assignService(r)
	}
	return d
}

// removeCandidate removes a host from the candidates of a failure domain.
func (w *World) removeCandidate(id, d table.ID) {
	remaining := w.domain.Get(d).without(id)
	w.domain.Set(d, remaining)
	if len(remaining.hosts) == 0 {
		w.domains.Remove(d)
		w.reassign = true
	}
	if w.reassign {
		return
	}
	for r := range w.services.All() {
		s := w.service.Get(r)
		if slices.ContainsFunc(s.best[d], func(c scoredHost) bool { return c.host == id }) {
			s.best[d] = w.rank(s.hash, d)
			w.assignService(r)
		}
	}
}

// answerSize returns the maximum number of hosts in an address answer.
func (w *World) answerSize() int { return w.settings.Subset + extraAddresses }

// candidatesPerDomain returns the number of candidates kept for each failure
// domain: one if there are at least as many domains as hosts in an answer,
// otherwise the size of an answer.
func (w *World) candidatesPerDomain() int {
	if w.domains.Len() >= w.answerSize() {
		return 1
	}
	return w.answerSize()
}

// assign is the system that recomputes all assignments after a change of the
// settings, services or failure domains.
func (w *World) assign() {
	if !w.reassign {
		return
	}
	w.reassign = false
	for r := range w.services.All() {
		s := w.service.Get(r)
		clear(s.best)
		for d := range w.domains.All() {
			s.best[d] = w.rank(s.hash, d)
		}
		w.assignService(r)
	}
}

// rank returns the highest-scoring candidates of a failure domain for a
// service.
func (w *World) rank(hash uint64, d table.ID) []scoredHost {
	limit := w.candidatesPerDomain()
	best := make([]scoredHost, 0, limit+1)
	for _, h := range w.domain.Get(d).hosts {
		value := score(hash, h.hash)
		if len(best) == limit && value < best[limit-1].score {
			continue
		}
		c := scoredHost{value, h.host, h.id}
		at, _ := slices.BinarySearchFunc(best, c, compareScores)
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), limit)]
	}
	return best
}

// assignService selects the hosts of a service. In each round it takes one host
// of every failure domain that has a candidate left, so a domain is reused only
// when the others are exhausted. Within a round, hosts are sorted by score.
func (w *World) assignService(row table.ID) {
	s := w.service.Get(row)
	var chosen []scoredHost
	for n := 0; len(chosen) < w.answerSize(); n++ {
		var candidates []scoredHost
		for _, b := range s.best {
			if n < len(b) {
				candidates = append(candidates, b[n])
			}
		}
		if len(candidates) == 0 {
			break
		}
		slices.SortFunc(candidates, compareScores)
		chosen = append(chosen, candidates...)
	}
	chosen = chosen[:min(len(chosen), w.answerSize())]
	answer := make([]model.EntryAddress, 0, len(chosen))
	s.assigned = nil
	for i, c := range chosen {
		host := w.member.Get(c.host).value.Host
		a := model.EntryAddress{Host: host.ID, Address: host.Entry, FailureDomain: host.FailureDomain, Weight: extraWeight}
		if i < w.settings.Subset {
			a.Weight = assignedWeight
			s.assigned = append(s.assigned, host.ID)
			if host.ID == w.host {
				w.activate(row)
			}
		}
		answer = append(answer, a)
	}
	w.service.Set(row, s)
	name := w.services.Key(row)
	if !slices.Equal(answer, w.addresses[name]) {
		w.addresses[name] = answer
		w.addressesChanged = true
	}
}
