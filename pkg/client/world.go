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
	// avoidLeast and avoidMost bound the time for which a host that failed is
	// used only if no other is left; it doubles with each failure in a row.
	avoidLeast = 250 * time.Millisecond
	avoidMost  = 10 * time.Second
	// roundLeast and roundMost bound the pause after all hosts were tried.
	roundLeast = 20 * time.Millisecond
	roundMost  = time.Second
	// budgetBurst is the largest number of saved resends.
	budgetBurst = 20
)

// host is the cell of an entry host: its health as this client sees it.
type host struct {
	failures int
	avoid    time.Time
}

func (h host) withFailure(now time.Time) host {
	wait := avoidMost
	if h.failures < 6 {
		wait = min(avoidLeast<<h.failures, avoidMost)
	}
	h.failures++
	h.avoid = now.Add(wait)
	return h
}

// service is the cell of a service: its address answer.
type service struct {
	hosts   []model.EntryAddress
	fetched time.Time
	expires time.Time
	// stale is set once a failure showed that the answer may be out of date. It
	// is used until a newer one arrives.
	stale  bool
	asking bool
	// pending counts the requests without an outcome.
	pending int
	// asked counts the hosts asked in this round; unknown those that did not
	// know the service.
	asked, unknown int
	next           int
	retryAt        time.Time
	round          int
	last           failure
}

func (s service) valid(now time.Time) bool {
	return len(s.hosts) > 0 && now.Before(s.expires)
}

func (s service) withAnswer(now time.Time, a answered) service {
	s.hosts, s.fetched, s.expires = a.hosts, now, now.Add(a.ttl)
	s.stale, s.asking, s.asked, s.unknown, s.round = false, false, 0, 0, 0
	s.retryAt = time.Time{}
	return s
}

// request is the cell of a request without an outcome.
type request struct {
	ask submitted
	// started is when the request was submitted.
	started time.Time
	tried   []model.HostID
	instead []model.EntryAddress
	live    int
	// exposed is set once an attempt may have run.
	exposed bool
	hedged  bool
	// waiting is set while the next attempt is due, at notBefore.
	waiting   bool
	notBefore time.Time
	round     int
	// since is when the round began; the address answer must be newer than the
	// round before the round ends.
	since time.Time
	last  failure
	ended *finish
}

func (r request) withAttempt(h model.HostID) request {
	r.tried = append(slices.Clone(r.tried), h)
	r.live++
	r.waiting = false
	return r
}

func (r request) withFailure(f failure) request {
	r.live--
	r.last = f
	r.exposed = r.exposed || !f.notRun
	r.instead = append(slices.Clone(r.instead), f.instead...)
	return r
}

func (r request) withNewRound(now time.Time) request {
	pause := roundMost
	if r.round < 6 {
		pause = min(roundLeast<<r.round, roundMost)
	}
	r.round++
	r.tried, r.instead, r.notBefore, r.since = nil, nil, now.Add(pause), now.Add(pause)
	return r
}

// world decides which host gets which request. It holds the addresses of
// services, the health of hosts and the requests without an outcome.
type world struct {
	tick.Frame[event, command]
	// entries are the configured addresses to ask.
	entries []model.Address
	// domain is the caller's own failure domain; empty if not told.
	domain model.FailureDomain
	random *rand.Rand
	budget *policy.Budget

	services *table.Table[string]
	service  *table.Column[service]
	hosts    *table.Table[model.HostID]
	host     *table.Column[host]
	requests *table.Table[requestID]
	request  *table.Column[request]
	// rows are the requests that this tick looks at: those with an event, or all
	// of them if all is set, after a change of addresses and once wake, the
	// earliest time that any of them waits for, is due.
	rows []table.ID
	all  bool
	wake time.Time
}

func newWorld(entries []model.Address, domain model.FailureDomain, share float64, random *rand.Rand) *world {
	w := &world{
		entries: entries, domain: domain, random: random,
		budget:   policy.NewBudget(share, budgetBurst),
		services: table.New[string](), hosts: table.New[model.HostID](), requests: table.New[requestID](),
	}
	w.service = table.NewColumn[service](w.services)
	w.host = table.NewColumn[host](w.hosts)
	w.request = table.NewColumn[request](w.requests)
	w.SetSystems(w.focus, w.admit, w.learn, w.receive, w.expire, w.dispatch, w.hedge, w.refresh, w.finish, w.arm)
	return w
}

// arm is the system that names the earliest time that a request waits for.
func (w *world) arm() { w.WakeAt(w.wake) }

// focus is the system that decides whether this tick looks at all requests.
func (w *world) focus() {
	w.rows = w.rows[:0]
	w.all = !w.wake.IsZero() && !w.Now().Before(w.wake) || slices.ContainsFunc(w.Inbox(), func(e event) bool {
		switch e.(type) {
		case answered, askFailed:
			return true
		}
		return false
	})
	if w.all {
		w.wake = time.Time{}
	}
}

// each walks the requests that this tick looks at.
func (w *world) each(f func(table.ID, request)) {
	if w.all {
		for id := range w.requests.All() {
			f(id, w.request.Get(id))
		}
		return
	}
	for _, id := range w.rows {
		if w.requests.Has(id) {
			f(id, w.request.Get(id))
		}
	}
}

// wait asks for a tick that looks at all requests.
func (w *world) wait(t time.Time) {
	if w.wake.IsZero() || t.Before(w.wake) {
		w.wake = t
	}
}

// admit is the system that takes new requests.
func (w *world) admit() {
	tick.Each(w.Inbox(), func(e submitted) {
		id, _ := w.requests.Add(e.id)
		w.request.Set(id, request{ask: e, started: w.Now(), since: w.Now(), waiting: true})
		w.rows = append(w.rows, id)
		row, fresh := w.services.Add(e.service)
		s := w.service.Get(row)
		if fresh {
			// Callers that start together ask different hosts.
			s.next = w.random.IntN(max(len(w.entries), 1))
		}
		s.pending++
		w.service.Set(row, s)
		w.budget.Earn()
	})
}

// learn is the system that takes address answers.
func (w *world) learn() {
	tick.Each(w.Inbox(), func(e answered) {
		id, _ := w.services.Add(e.service)
		s := w.service.Get(id)
		if len(e.hosts) == 0 {
			w.service.Set(id, w.notAnswered(s, failure{reason: ReasonNoAddresses, detail: "the answer names no host"}))
			return
		}
		w.service.Set(id, s.withAnswer(w.Now(), e))
		w.forgetHosts()
	})
	tick.Each(w.Inbox(), func(e askFailed) {
		id, _ := w.services.Add(e.service)
		w.service.Set(id, w.notAnswered(w.service.Get(id), e.failure))
	})
}

// forgetHosts drops the health of hosts that no answer names any more.
func (w *world) forgetHosts() {
	named := map[model.HostID]bool{}
	for id := range w.services.All() {
		for _, h := range w.service.Get(id).hosts {
			named[h.Host] = true
		}
	}
	for id := range w.hosts.All() {
		if !named[w.hosts.Key(id)] && !w.Now().Before(w.host.Get(id).avoid) {
			w.hosts.Remove(id)
		}
	}
}

// notAnswered moves on to the next host to ask. After all were asked there is a
// pause.
func (w *world) notAnswered(s service, f failure) service {
	if s.asked == 0 {
		s.unknown = 0
	}
	s.asking, s.last = false, f
	s.asked++
	s.next++
	if f.reason == string(model.ReasonUnknownService) {
		s.unknown++
	}
	if s.asked >= len(w.askable(s)) {
		s.retryAt = w.Now().Add(min(roundLeast<<min(s.round, 6), roundMost))
		s.asked, s.round = 0, s.round+1
	}
	return s
}

// askable returns the addresses that can be asked: those configured, and the
// hosts of the last answer, as the configured ones may all have been replaced.
func (w *world) askable(s service) []model.Address {
	list := slices.Clone(w.entries)
	for _, h := range s.hosts {
		if !slices.Contains(list, h.Address) {
			list = append(list, h.Address)
		}
	}
	return list
}

// refresh is the system that asks for addresses that are missing, or that half
// of their time to live has passed while requests use them.
func (w *world) refresh() {
	for id := range w.services.All() {
		s, name := w.service.Get(id), w.services.Key(id)
		if s.pending == 0 && !s.valid(w.Now()) && !s.asking {
			w.services.Remove(id)
			continue
		}
		old := s.stale || !s.valid(w.Now()) || w.Now().Sub(s.fetched) >= s.expires.Sub(s.fetched)/2
		if s.pending == 0 || !old || s.asking {
			continue
		}
		if w.Now().Before(s.retryAt) {
			w.WakeAt(s.retryAt)
			continue
		}
		list := w.askable(s)
		if len(list) == 0 {
			continue
		}
		s.asking = true
		w.service.Set(id, s)
		w.Emit(ask{name, list[s.next%len(list)]})
	}
}
