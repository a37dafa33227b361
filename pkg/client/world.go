package client

import (
	"math/rand/v2"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// A failed host is used only if no other is left, for a period that doubles
	// with each consecutive failure from minAvoidance to maxAvoidance.
	minAvoidance = 250 * time.Millisecond
	maxAvoidance = 10 * time.Second
	// The pause after all hosts were tried doubles with each round from
	// minRoundPause to maxRoundPause.
	minRoundPause = 20 * time.Millisecond
	maxRoundPause = time.Second
	// maxDoublings bounds the shift of both delays, so that it cannot overflow. After
	// 6 doublings both exceed their maximum.
	maxDoublings = 6
	// maxSavedRetries bounds the unused retries that the retry budget keeps.
	maxSavedRetries = 20
)

// host is the health of an entry host as this client observes it.
type host struct {
	consecutiveFailures int
	avoidUntil          time.Time
}

// withFailure starts or extends the avoidance period.
func (h host) withFailure(now time.Time) host {
	avoidance := maxAvoidance
	if h.consecutiveFailures < maxDoublings {
		avoidance = min(minAvoidance<<h.consecutiveFailures, maxAvoidance)
	}
	h.consecutiveFailures++
	h.avoidUntil = now.Add(avoidance)
	return h
}

// service is the state of a service: its address list and the calls that fetch it.
type service struct {
	// hosts is the address list.
	hosts     []model.EntryAddress
	fetchedAt time.Time
	expiresAt time.Time
	// stale is set when a failure indicates that the address list is out of date.
	// The list stays in use until a newer one arrives.
	stale bool
	// fetching is set while a call for addresses is in flight.
	fetching bool
	// pending is the number of requests without an outcome.
	pending int
	// roundFailures is the number of failed calls for addresses in this round, and
	// unknownService the number of these whose host does not know the service.
	roundFailures, unknownService int
	// nextSource is the index of the next host to call for addresses, modulo the
	// number of hosts.
	nextSource int
	// fetchNotBefore is the end of the pause after a round in which the calls to all
	// hosts failed, and round the number of these rounds since the last address list.
	fetchNotBefore time.Time
	round          int
	lastFailure    failure
}

// valid reports whether the address list can be used.
func (s service) valid(now time.Time) bool {
	return len(s.hosts) > 0 && now.Before(s.expiresAt)
}

func (s service) withAddresses(now time.Time, a addressesReceived) service {
	s.hosts, s.fetchedAt, s.expiresAt = a.hosts, now, now.Add(a.ttl)
	s.stale, s.fetching, s.roundFailures, s.unknownService, s.round = false, false, 0, 0, 0
	s.fetchNotBefore = time.Time{}
	return s
}

// request is the state of a request.
type request struct {
	submission submitted
	// startedAt is the time of submission.
	startedAt time.Time
	// tried are the hosts that were sent the request in this round.
	tried []model.HostID
	// alternatives are the hosts named in the refusals of this round.
	alternatives []model.EntryAddress
	// inFlight is the number of attempts without a result.
	inFlight int
	// mayHaveRun is set once a failed attempt may have run.
	mayHaveRun bool
	// hedged is set once the search was hedged or the retry budget did not allow it.
	hedged bool
	// waiting is set while the request waits for its next attempt, which starts at
	// notBefore at the earliest.
	waiting   bool
	notBefore time.Time
	round     int
	// roundStart is when the round began. A round ends only once an address list
	// that was fetched after its start is exhausted.
	roundStart  time.Time
	lastFailure failure
	completion  *completion
}

func (r request) withAttempt(h model.HostID) request {
	r.tried = append(slices.Clone(r.tried), h)
	r.inFlight++
	r.waiting = false
	return r
}

func (r request) withFailure(f failure) request {
	r.inFlight--
	r.lastFailure = f
	r.mayHaveRun = r.mayHaveRun || !f.notRun
	r.alternatives = append(slices.Clone(r.alternatives), f.alternatives...)
	return r
}

// withNewRound starts a round, in which every host may be tried again, after a pause.
func (r request) withNewRound(now time.Time) request {
	pause := maxRoundPause
	if r.round < maxDoublings {
		pause = min(minRoundPause<<r.round, maxRoundPause)
	}
	r.round++
	r.tried, r.alternatives, r.notBefore, r.roundStart = nil, nil, now.Add(pause), now.Add(pause)
	return r
}

// world assigns requests to hosts. It holds the address lists of services, the
// health of hosts and the requests without an outcome.
type world struct {
	tick.Frame[event, command]
	// entries are the configured addresses of entry hosts.
	entries []model.Address
	// domain is the failure domain of the caller; empty if unknown.
	domain      model.FailureDomain
	random      *rand.Rand
	retryBudget *policy.Budget

	services *table.Table[string]
	service  *table.Column[service]
	hosts    *table.Table[model.HostID]
	host     *table.Column[host]
	requests *table.Table[requestID]
	request  *table.Column[request]
	// selected are the requests with an event in this tick. If selectAll is set,
	// the tick processes all requests instead: after a result of a call for
	// addresses, and at nextWake, the earliest time that a request waits for.
	selected  []table.ID
	selectAll bool
	nextWake  time.Time
}

func newWorld(entries []model.Address, domain model.FailureDomain, retryShare float64, random *rand.Rand) *world {
	w := &world{
		entries: entries, domain: domain, random: random,
		retryBudget: policy.NewBudget(retryShare, maxSavedRetries),
		services:    table.New[string](), hosts: table.New[model.HostID](), requests: table.New[requestID](),
	}
	w.service = table.NewColumn[service](w.services)
	w.host = table.NewColumn[host](w.hosts)
	w.request = table.NewColumn[request](w.requests)
	w.SetSystems(w.selectRequests, w.admitRequests, w.receiveAddresses, w.receiveResults, w.expireRequests, w.dispatchRequests, w.hedgeSearches, w.refreshAddresses, w.emitCompletions, w.scheduleWake)
	return w
}

// scheduleWake is the system that requests a tick for the earliest time that a
// request waits for.
func (w *world) scheduleWake() { w.WakeAt(w.nextWake) }

// selectRequests is the system that decides whether this tick processes all
// requests, or only those with an event.
func (w *world) selectRequests() {
	w.selected = w.selected[:0]
	w.selectAll = !w.nextWake.IsZero() && !w.Now().Before(w.nextWake) || slices.ContainsFunc(w.Inbox(), func(e event) bool {
		switch e.(type) {
		case addressesReceived, addressesFailed:
			return true
		}
		return false
	})
	if w.selectAll {
		w.nextWake = time.Time{}
	}
}

// eachSelected calls f for each request that this tick processes.
func (w *world) eachSelected(f func(table.ID, request)) {
	if w.selectAll {
		for id := range w.requests.All() {
			f(id, w.request.Get(id))
		}
		return
	}
	for _, id := range w.selected {
		if w.requests.Has(id) {
			f(id, w.request.Get(id))
		}
	}
}

// wakeRequestsAt schedules a tick that processes all requests.
func (w *world) wakeRequestsAt(t time.Time) {
	if w.nextWake.IsZero() || t.Before(w.nextWake) {
		w.nextWake = t
	}
}

// admitRequests is the system that adds new requests.
func (w *world) admitRequests() {
	tick.Each(w.Inbox(), func(e submitted) {
		id, _ := w.requests.Add(e.id)
		w.request.Set(id, request{submission: e, startedAt: w.Now(), roundStart: w.Now(), waiting: true})
		w.selected = append(w.selected, id)
		row, added := w.services.Add(e.service)
		s := w.service.Get(row)
		if added {
			// A random first host spreads the load of clients that start together.
			s.nextSource = w.random.IntN(max(len(w.entries), 1))
		}
		s.pending++
		w.service.Set(row, s)
		w.retryBudget.Earn()
	})
}

// receiveAddresses is the system that handles the results of calls for addresses.
func (w *world) receiveAddresses() {
	tick.Each(w.Inbox(), func(e addressesReceived) {
		id, _ := w.services.Add(e.service)
		s := w.service.Get(id)
		if len(e.hosts) == 0 {
			w.service.Set(id, w.withFetchFailure(s, failure{reason: ReasonNoAddresses, detail: "the response contains no addresses"}))
			return
		}
		w.service.Set(id, s.withAddresses(w.Now(), e))
		w.removeUnlistedHosts()
	})
	tick.Each(w.Inbox(), func(e addressesFailed) {
		id, _ := w.services.Add(e.service)
		w.service.Set(id, w.withFetchFailure(w.service.Get(id), e.failure))
	})
}

// removeUnlistedHosts removes the health of hosts that are in no address list, once
// their avoidance period is over.
func (w *world) removeUnlistedHosts() {
	listed := map[model.HostID]bool{}
	for id := range w.services.All() {
		for _, h := range w.service.Get(id).hosts {
			listed[h.Host] = true
		}
	}
	for id := range w.hosts.All() {
		if !listed[w.hosts.Key(id)] && !w.Now().Before(w.host.Get(id).avoidUntil) {
			w.hosts.Remove(id)
		}
	}
}

// withFetchFailure returns the service with the next host as the source of
// addresses. After all hosts have failed there is a pause.
func (w *world) withFetchFailure(s service, f failure) service {
	if s.roundFailures == 0 {
		s.unknownService = 0
	}
	s.fetching, s.lastFailure = false, f
	s.roundFailures++
	s.nextSource++
	if f.reason == string(model.ReasonUnknownService) {
		s.unknownService++
	}
	if s.roundFailures >= len(w.addressSources(s)) {
		s.fetchNotBefore = w.Now().Add(min(minRoundPause<<min(s.round, maxDoublings), maxRoundPause))
		s.roundFailures, s.round = 0, s.round+1
	}
	return s
}

// addressSources returns the hosts from which addresses can be fetched: the
// configured ones, and those of the last address list, as all configured hosts may
// have been replaced.
func (w *world) addressSources(s service) []model.Address {
	list := slices.Clone(w.entries)
	for _, h := range s.hosts {
		if !slices.Contains(list, h.Address) {
			list = append(list, h.Address)
		}
	}
	return list
}

// refreshAddresses is the system that fetches the address lists that pending
// requests need: those that are missing, expired or stale, or that have passed half
// of their time to live. It removes services without requests or a valid list.
func (w *world) refreshAddresses() {
	for id := range w.services.All() {
		s, name := w.service.Get(id), w.services.Key(id)
		if s.pending == 0 && !s.valid(w.Now()) && !s.fetching {
			w.services.Remove(id)
			continue
		}
		outdated := s.stale || !s.valid(w.Now()) || w.Now().Sub(s.fetchedAt) >= s.expiresAt.Sub(s.fetchedAt)/2
		if s.pending == 0 || !outdated || s.fetching {
			continue
		}
		if w.Now().Before(s.fetchNotBefore) {
			w.WakeAt(s.fetchNotBefore)
			continue
		}
		sources := w.addressSources(s)
		if len(sources) == 0 {
			continue
		}
		s.fetching = true
		w.service.Set(id, s)
		w.Emit(fetchAddresses{name, sources[s.nextSource%len(sources)]})
	}
}
