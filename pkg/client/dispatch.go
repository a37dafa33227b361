package client

import (
	"slices"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// retryableReasons are the failure reasons after which another host may serve the
// request. For all others, every host would return the same failure.
var retryableReasons = []string{
	string(model.ReasonDraining), string(model.ReasonNotReady), string(model.ReasonNoSnapshot),
	string(model.ReasonNoReplica), string(model.ReasonPlatformDown), string(model.ReasonQueueFull),
	ReasonUnreachable, ReasonLost,
}

// receiveResults is the system that handles the results of attempts and the
// cancellations by callers. Results of completed requests are dropped. A reply ends
// the avoidance period of its host.
func (w *world) receiveResults() {
	tick.Each(w.Inbox(), func(e attemptReplied) {
		row, _ := w.hosts.Add(e.host.Host)
		w.host.Set(row, host{})
		if id, ok := w.requests.Find(e.id); ok && w.request.Get(id).completion == nil {
			w.complete(id, completion{id: e.id, reply: e.reply})
			w.selected = append(w.selected, id)
		}
	})
	tick.Each(w.Inbox(), w.receiveFailure)
	tick.Each(w.Inbox(), func(e callerCancelled) {
		if id, ok := w.requests.Find(e.id); ok {
			w.selected = append(w.selected, id)
			w.fail(id, failure{reason: ReasonCancelled, detail: "the caller cancelled the request"})
		}
	})
}

// receiveFailure handles a failed attempt: the request fails or waits for a retry.
func (w *world) receiveFailure(e attemptFailed) {
	w.recordHostFailure(e)
	id, ok := w.requests.Find(e.id)
	if !ok || w.request.Get(id).completion != nil {
		return
	}
	w.selected = append(w.selected, id)
	r := w.request.Get(id).withFailure(e.failure)
	w.request.Set(id, r)
	switch {
	case r.inFlight > 0:
		// The other attempt may still succeed.
	case !slices.Contains(retryableReasons, e.failure.reason):
		w.fail(id, e.failure)
	case !w.mayRetry(r, e.failure):
		w.fail(id, e.failure)
	default:
		r.waiting = true
		w.request.Set(id, r)
	}
}

// mayRetry reports whether a failed request may be retried on another host. A
// request that did not run may always be, as each host is tried only once per
// round; after queueFull it takes from the retry budget. A request that may have
// run is retried only if it is idempotent or keyed, and within the budget.
func (w *world) mayRetry(r request, f failure) bool {
	if f.notRun && f.reason != string(model.ReasonQueueFull) {
		return true
	}
	if !f.notRun && r.submission.kind == kindSend {
		return false
	}
	return w.retryBudget.Spend()
}

// recordHostFailure makes later requests avoid a host that failed, and marks the
// address lists that name the host as stale.
func (w *world) recordHostFailure(e attemptFailed) {
	id, _ := w.hosts.Add(e.host.Host)
	switch e.failure.reason {
	case ReasonUnreachable, ReasonLost, string(model.ReasonDraining), string(model.ReasonNotReady):
	default:
		return
	}
	w.host.Set(id, w.host.Get(id).withFailure(w.Now()))
	for row := range w.services.All() {
		s := w.service.Get(row)
		s.stale = s.stale || slices.ContainsFunc(s.hosts, func(h model.EntryAddress) bool { return h.Host == e.host.Host })
		w.service.Set(row, s)
	}
}

// expireRequests is the system that fails requests whose deadline has passed. The
// error has the details of the last failure.
func (w *world) expireRequests() {
	w.eachSelected(func(id table.ID, r request) {
		if w.Now().Before(r.submission.deadline) {
			w.wakeRequestsAt(r.submission.deadline)
			return
		}
		f := r.lastFailure
		if f.reason == "" {
			f = w.service.Get(w.serviceOf(r)).lastFailure
		}
		f.reason = ReasonDeadline
		w.fail(id, f)
	})
}

// hedgeSearches is the system that sends a search to a second host after half of
// its time budget, as the first host may have failed without closing the
// connection. A search is hedged at most once, and not at all if the retry budget
// is spent at that time.
func (w *world) hedgeSearches() {
	w.eachSelected(func(id table.ID, r request) {
		if r.submission.kind != kindSearch || r.hedged || r.inFlight == 0 || r.completion != nil {
			return
		}
		hedgeAt := r.startedAt.Add(r.submission.deadline.Sub(r.startedAt) / 2)
		if w.Now().Before(hedgeAt) {
			w.wakeRequestsAt(hedgeAt)
			return
		}
		h, ok := w.chooseHost(r)
		if !ok {
			return // retried when a newer address list arrives
		}
		r.hedged = true
		w.request.Set(id, r)
		if w.retryBudget.Spend() {
			w.startAttempt(id, r, h)
		}
	})
}

// dispatchRequests is the system that starts the next attempt of waiting requests.
// A request that has tried every host waits for a newer address list, and then
// begins a new round after a pause.
func (w *world) dispatchRequests() {
	w.eachSelected(func(id table.ID, r request) {
		if !r.waiting || r.completion != nil {
			return
		}
		if w.Now().Before(r.notBefore) {
			w.wakeRequestsAt(r.notBefore)
			return
		}
		row := w.serviceOf(r)
		s := w.service.Get(row)
		if h, ok := w.chooseHost(r); ok {
			w.startAttempt(id, r, h)
			return
		}
		switch {
		case s.unknownService > 0 && s.unknownService >= len(w.addressSources(s)):
			// No host knows the service.
			w.fail(id, s.lastFailure)
		case !s.valid(w.Now()):
			// refreshAddresses fetches a new address list.
		case s.fetchedAt.Before(r.roundStart):
			s.stale = true
			w.service.Set(row, s)
		default:
			w.request.Set(id, r.withNewRound(w.Now()))
			w.wakeRequestsAt(w.request.Get(id).notBefore)
		}
	})
}

// serviceOf returns the row of the service of a request.
func (w *world) serviceOf(r request) table.ID {
	id, _ := w.services.Find(r.submission.service)
	return id
}

func (w *world) startAttempt(id table.ID, r request, h model.EntryAddress) {
	w.request.Set(id, r.withAttempt(h.Host))
	w.Emit(attempt{r.submission.id, h})
}

// chooseHost draws the host for the next attempt, by weight, from the address list
// and the alternatives named in refusals. It skips hosts that the request has tried
// in this round. Hosts that have not failed recently are preferred, then those that
// run the service, then those in the failure domain of the caller.
func (w *world) chooseHost(r request) (model.EntryAddress, bool) {
	var list []model.EntryAddress
	if s := w.service.Get(w.serviceOf(r)); s.valid(w.Now()) {
		list = append(list, s.hosts...)
	}
	for _, h := range r.alternatives {
		if !slices.ContainsFunc(list, func(o model.EntryAddress) bool { return o.Host == h.Host }) {
			list = append(list, h)
		}
	}
	list = slices.DeleteFunc(list, func(h model.EntryAddress) bool { return slices.Contains(r.tried, h.Host) })
	for _, prefer := range []func(model.EntryAddress) bool{w.healthy, w.hasTopWeight(list), w.inOwnDomain} {
		if preferred := filter(list, prefer); len(preferred) > 0 {
			list = preferred
		}
	}
	return w.drawByWeight(list)
}

// healthy reports whether the avoidance period of a host is over.
func (w *world) healthy(h model.EntryAddress) bool {
	id, _ := w.hosts.Find(h.Host)
	return !w.Now().Before(w.host.Get(id).avoidUntil)
}

// hasTopWeight returns a filter for the hosts of the highest weight in the list,
// which run the service themselves. It applies if the failure domain of the caller
// is known: a host of that domain that forwards requests to another host has a
// higher latency than a remote host that runs the service.
func (w *world) hasTopWeight(list []model.EntryAddress) func(model.EntryAddress) bool {
	highest := uint32(0)
	for _, h := range list {
		if w.healthy(h) {
			highest = max(highest, h.Weight)
		}
	}
	return func(h model.EntryAddress) bool { return w.domain == "" || h.Weight >= highest }
}

func (w *world) inOwnDomain(h model.EntryAddress) bool { return h.FailureDomain == w.domain }

func filter(list []model.EntryAddress, keep func(model.EntryAddress) bool) []model.EntryAddress {
	return slices.DeleteFunc(slices.Clone(list), func(h model.EntryAddress) bool { return !keep(h) })
}

// drawByWeight picks a random host with a probability proportional to its weight; a
// weight of zero counts as 1.
func (w *world) drawByWeight(list []model.EntryAddress) (model.EntryAddress, bool) {
	total := uint64(0)
	for _, h := range list {
		total += uint64(max(h.Weight, 1))
	}
	if total == 0 {
		return model.EntryAddress{}, false
	}
	offset := w.random.Uint64N(total)
	for _, h := range list {
		weight := uint64(max(h.Weight, 1))
		if offset < weight {
			return h, true
		}
		offset -= weight
	}
	return model.EntryAddress{}, false
}

// fail completes a request with an error. The execution in it covers all attempts.
func (w *world) fail(id table.ID, f failure) {
	r := w.request.Get(id)
	if r.completion != nil {
		return
	}
	execution := NotRun
	if r.mayHaveRun || r.inFlight > 0 {
		execution = MayHaveRun
	}
	w.complete(id, completion{id: r.submission.id, err: &Error{
		Step: r.submission.kind.step(), Peer: f.peer, Reason: f.reason, Execution: execution, Detail: f.detail,
	}})
}

// complete stores the outcome of a request.
func (w *world) complete(id table.ID, c completion) {
	r := w.request.Get(id)
	r.completion = &c
	w.request.Set(id, r)
}

// emitCompletions is the system that emits the outcomes of completed requests and
// removes the requests.
func (w *world) emitCompletions() {
	w.eachSelected(func(id table.ID, r request) {
		if r.completion == nil {
			return
		}
		row := w.serviceOf(r)
		s := w.service.Get(row)
		s.pending--
		w.service.Set(row, s)
		w.requests.Remove(id)
		w.Emit(*r.completion)
	})
}
