package relay

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// delegateAvoidTime is how long no calls are delegated to a host that did not take
	// some. It doubles with each further failure without a reply in between, up to
	// delegateAvoidMax. Each attempt costs retry budget.
	delegateAvoidTime = 2 * time.Second
	delegateAvoidMax  = 30 * time.Second
	// delegateViewLag is how much later than this host another one may learn of a
	// searcher's start; changes are in force everywhere within it.
	delegateViewLag = 5 * time.Second
)

// DelegateCalls asks another host to send calls of one request to searchers in its
// failure domain.
type DelegateCalls struct {
	Delegate model.Host
	Request  model.RequestID
	Message  any
	// Timeout is how long the searchers may work.
	Timeout time.Duration
	// TopK is the number of records in an answer to the request.
	TopK  int
	Calls []DelegatedCall
}

// DelegatedCall names one call of DelegateCalls. The call is unique in the process
// that delegates it.
type DelegatedCall struct {
	Call     CallID
	Searcher model.SearcherID
}

// CancelDelegated cancels delegated calls whose replies are no longer needed.
type CancelDelegated struct {
	Delegate model.Host
	Calls    []CallID
}

// DelegationFailed reports delegated calls that another host did not confirm.
type DelegationFailed struct {
	Delegate model.HostID
	Calls    []CallID
	// NotRun is set if the calls certainly did not reach the host.
	NotRun bool
	Cause  string
}

func (DelegateCalls) command()   {}
func (CancelDelegated) command() {}
func (DelegationFailed) event()  {}

// delegate is the component of a host that may take delegated calls.
type delegate struct {
	inFlight int
	// failures counts the failed messages since the last reply; avoidUntil is the end
	// of the time without new calls.
	failures   int
	avoidUntil time.Time
}

func (d delegate) withCalls(n int) delegate {
	d.inFlight += n
	return d
}

// withFailure returns the host after a failed message. Messages that were under way
// together count once.
func (d delegate) withFailure(now time.Time) delegate {
	if now.Before(d.avoidUntil) {
		return d
	}
	d.avoidUntil = now.Add(min(delegateAvoidTime<<min(d.failures, 8), delegateAvoidMax))
	d.failures++
	return d
}

func (d delegate) withReply() delegate {
	d.failures, d.avoidUntil = 0, time.Time{}
	return d
}

// delegation is a call that is delegated at the end of the tick.
type delegation struct {
	to   model.Host
	call StartCall
	topK int
}

// delegateChoice is the key under which a tick remembers the host that takes the calls
// of a request in a failure domain, so that they go out in one message.
type delegateChoice struct {
	request table.ID
	domain  model.FailureDomain
}

// connectionsScarce reports whether a searcher accepts less than one connection from
// each host. Then hosts with a greater share in the failure domain of the searchers
// take calls of the others: the connections and the messages between failure domains
// grow with the domains, and not with hosts and shards.
func (w *World) connectionsScarce(connectionCap int) bool {
	return connectionCap > 0 && w.view.Joined && float64(connectionCap) < float64(w.view.HostCount)*hostReplacementFactor
}

// reachesDirectly reports whether this host holds connections to the searchers of a
// service although these are scarce. It does if one of them is in its failure domain,
// so that only few calls go to others.
func (w *World) reachesDirectly(members []table.ID) bool {
	return w.view.HoldsConnections(w.Host) &&
		slices.ContainsFunc(members, func(id table.ID) bool { return w.searcher.Get(id).local })
}

// delegates returns the hosts that may take calls to searchers of a failure domain.
// Preferred hosts that stand in for failed ones take none: their failure may not be
// known yet.
func (w *World) delegates(domain model.FailureDomain) []model.Host {
	var list []model.Host
	for _, m := range w.view.LargeShareHosts {
		if m.Host.FailureDomain != domain || m.Host.ID == w.Host || m.State != model.MemberAlive || !m.Ready {
			continue
		}
		if id, ok := w.delegateHosts.Find(m.Host.ID); ok && w.Now().Before(w.delegate.Get(id).avoidUntil) {
			continue
		}
		list = append(list, m.Host)
	}
	return list
}

// chooseDelegate returns the host that takes a call of a request to a searcher, if the
// call is delegated. Of two hosts chosen by hash it takes the one with fewer calls in
// flight (power of two choices, Mitzenmacher 2001).
func (w *World) chooseDelegate(requestID table.ID, r request, s searcher) (model.Host, bool) {
	domain := s.registration.Searcher.FailureDomain
	if !r.route.Sharded() || !s.delegated || s.local && w.view.HoldsConnections(w.Host) {
		return model.Host{}, false
	}
	key := delegateChoice{requestID, domain}
	if h, ok := w.delegateChoices[key]; ok {
		return h, h.ID != ""
	}
	var chosen model.Host
	if list := w.delegates(domain); len(list) > 0 {
		hash := xxhash.Sum64String(string(domain)+"/"+string(r.received.ID)) + uint64(r.hedges+r.retries)
		chosen = list[hash%uint64(len(list))]
		other := list[(hash>>32)%uint64(len(list))]
		if w.delegateLoad(other.ID) < w.delegateLoad(chosen.ID) {
			chosen = other
		}
	}
	w.delegateChoices[key] = chosen
	return chosen, chosen.ID != ""
}

func (w *World) delegateLoad(host model.HostID) int {
	id, ok := w.delegateHosts.Find(host)
	if !ok {
		return 0
	}
	return w.delegate.Get(id).inFlight
}

// addDelegation queues a call for sendDelegations and returns the row of the host that
// takes it.
func (w *World) addDelegation(to model.Host, c StartCall, topK int) table.ID {
	id, _ := w.delegateHosts.Add(to.ID)
	w.delegate.Set(id, w.delegate.Get(id).withCalls(1))
	w.delegations = append(w.delegations, delegation{to, c, topK})
	w.Emit(Count{"call", "delegated"})
	return id
}

// endDelegation updates the host that took a call.
func (w *World) endDelegation(c call, answered bool) {
	if c.delegate == 0 {
		return
	}
	d := w.delegate.Get(c.delegate).withCalls(-1)
	if answered {
		d = d.withReply()
	}
	w.delegate.Set(c.delegate, d)
}

// sendDelegations is the system that delegates the calls of a tick, one message for
// each request and host.
func (w *World) sendDelegations() {
	queued := w.delegations
	w.delegations = nil
	clear(w.delegateChoices)
	for len(queued) > 0 {
		first := queued[0]
		batch := DelegateCalls{Delegate: first.to, Request: first.call.Request, Message: first.call.Message, Timeout: first.call.Timeout, TopK: first.topK}
		queued = slices.DeleteFunc(queued, func(d delegation) bool {
			if d.to.ID != first.to.ID || d.call.Request != first.call.Request || d.call.Message != first.call.Message {
				return false
			}
			batch.Calls = append(batch.Calls, DelegatedCall{Call: d.call.Call, Searcher: d.call.Searcher.ID})
			return true
		})
		w.Emit(batch)
	}
}

// failDelegations is the system that ends delegated calls which the other host did not
// confirm. They count as no loss of a searcher.
func (w *World) failDelegations() {
	tick.Each(w.Inbox(), func(e DelegationFailed) {
		id, _ := w.delegateHosts.Add(e.Delegate)
		w.delegate.Set(id, w.delegate.Get(id).withFailure(w.Now()))
		w.Emit(Count{"delegate", "failed"})
		w.log("host did not take delegated calls", "delegate", e.Delegate, "calls", len(e.Calls), "notRun", e.NotRun, "cause", e.Cause)
		for _, c := range e.Calls {
			w.receiveFailure(CallFailed{Call: c, Failure: model.FailureDelegate, NotRun: e.NotRun, Cause: e.Cause})
		}
	})
}

// cancelCall emits the command that cancels a call.
func (w *World) cancelCall(id table.ID, c call) {
	w.Emit(Count{"call", "cancelled"})
	if c.delegate == 0 {
		w.Emit(CancelCall{Call: w.calls.Key(id)})
		return
	}
	host := w.delegateHosts.Key(c.delegate)
	i := slices.IndexFunc(w.view.KnownHosts, func(m model.Member) bool { return m.Host.ID == host })
	if i >= 0 {
		w.cancelledDelegations = append(w.cancelledDelegations, delegation{w.view.KnownHosts[i].Host, StartCall{Call: w.calls.Key(id)}, 0})
	}
}

// sendCancellations is the system that cancels the delegated calls of a tick, one
// message for each host.
func (w *World) sendCancellations() {
	queued := w.cancelledDelegations
	w.cancelledDelegations = nil
	for len(queued) > 0 {
		batch := CancelDelegated{Delegate: queued[0].to}
		queued = slices.DeleteFunc(queued, func(d delegation) bool {
			if d.to.ID != batch.Delegate.ID {
				return false
			}
			batch.Calls = append(batch.Calls, d.call.Call)
			return true
		})
		w.Emit(batch)
	}
}
