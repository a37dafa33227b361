package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

const (
	delegateShards = 24
	// delegateCap is less than one connection for each host of the fleets below.
	delegateCap = 12
)

// delegationCheck counts calls to searchers.
type delegationCheck struct {
	direct, remote, late int
	// perPart counts the calls of a request to a searcher.
	perPart map[string]int
	// lastAnswerBy is the deadline of each request.
	deadline map[model.RequestID]time.Time
}

func (d *delegationCheck) record(h *relayHost, c relay.StartCall) {
	d.direct++
	if h.host.FailureDomain != c.Searcher.FailureDomain {
		d.remote++
	}
	d.perPart[fmt.Sprint(c.Request, " ", c.Searcher.ID)]++
	if at, ok := d.deadline[c.Request]; ok && h.fleet.now.Add(c.Timeout).After(at.Add(500*time.Millisecond)) {
		d.late++
	}
}

// newDelegatingFleet returns a started fleet of 6 large hosts and 18 small ones in three
// failure domains. The two searchers of each of its shards are in two of the domains.
func newDelegatingFleet() *relayFleet {
	route := model.Route{
		Idempotent: true, Timeout: time.Second, TargetLatency: 150 * time.Millisecond, Attempts: 2, TopK: 3, MinCoverage: 0.9,
	}
	for i := range delegateShards {
		route.Shards = append(route.Shards, model.ServiceName(fmt.Sprint("s", i)))
	}
	f := buildRelayFleet(mixedHosts(6, 18, 3), delegateCap, route, relay.RetryBudget{RetryShare: 0.2, RetrySlack: 200, RetryWindow: 10 * time.Second})
	f.registrations = nil
	for i, name := range route.Shards {
		for j := range 2 {
			id := fmt.Sprint(name, "/", j)
			f.registrations = append(f.registrations, model.Registration{
				Service: name, StartMillis: 1, Revision: 1, Searcher: model.Searcher{
					ID: model.SearcherID(id), Address: model.Address(id), FailureDomain: model.FailureDomain(fmt.Sprint("d", (i+j)%3)), Slots: 4,
				},
			})
		}
	}
	f.outcome = func(c relay.StartCall) relay.Event {
		return relay.Replied{Call: c.Call, Reply: relay.Reply{Status: 200, Signature: string(c.Searcher.ID)}}
	}
	f.run(warmUp)
	return f
}

// Guards against searches that need a connection from each host to each searcher, or
// that lose parts, run twice at a searcher, or work after their deadline, where calls
// are delegated and a host that takes them is killed, frozen or cut off.
func TestDelegatedSearches(t *testing.T) {
	kill := func(list ...*relayHost) {
		for _, h := range list {
			h.stopped, h.down = true, true
		}
	}
	for _, c := range []struct {
		name  string
		fault func(*relayFleet)
	}{
		{"no fault", func(*relayFleet) {}},
		{"one host is killed", func(f *relayFleet) { kill(f.hosts[0]) }},
		{"a failure domain loses its large hosts", func(f *relayFleet) { kill(f.hosts[0], f.hosts[3]) }},
		{"one host is frozen for 3 s", func(f *relayFleet) { f.hosts[0].frozenUntil = f.now.Add(3 * time.Second) }},
		{"hosts cannot reach each other", func(f *relayFleet) { f.partitioned = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newDelegatingFleet()
			check := &delegationCheck{perPart: map[string]int{}, deadline: map[model.RequestID]time.Time{}}
			f.onCall = check.record
			asked := 0
			submit := func() {
				for i, h := range f.hosts[6:] {
					if i%6 == asked%6 && !h.stopped {
						id := model.RequestID(fmt.Sprint("r", asked, "-", i))
						check.deadline[id] = f.now.Add(time.Second)
						h.submitAs(id, model.Fingerprint(1000+asked*100+i))
					}
				}
				asked++
			}
			for range 60 {
				submit()
				f.run(50 * time.Millisecond)
			}
			f.run(time.Second)
			if c.name == "no fault" {
				is.Equal(check.remote, 0) // all calls come from the domain of their searcher
			}
			answered := func() (n int) {
				for _, h := range f.hosts {
					n += h.answered
				}
				return n
			}
			c.fault(f)
			for range 80 {
				submit()
				f.run(50 * time.Millisecond)
			}
			f.run(2 * time.Second)
			late, lateAnswered := len(check.deadline), answered()
			for range 40 {
				submit()
				f.run(50 * time.Millisecond)
			}
			f.run(2 * time.Second)
			late, lateAnswered = len(check.deadline)-late, answered()-lateAnswered
			ended := 0
			for _, h := range f.hosts {
				ended += h.ended
			}
			t.Logf("%d searches, %d answered, %d ended; %d calls, %d to another domain, %d late; refusals %v",
				len(check.deadline), answered(), ended, check.direct, check.remote, check.late, f.refusals)
			is.Equal(ended, len(check.deadline))
			// Once the fault is known to the hosts, searches are served as before.
			is.Equal(lateAnswered, late)
			is.Equal(check.late, 0)
			for _, n := range check.perPart {
				is.Equal(n, 1)
			}
		})
	}
}

// Guards against a host that takes new starts of searchers out of use for good, because
// a host to which it delegates calls does not know them yet, sends the calls to the
// former addresses and returns that other searchers have these.
func TestDelegateWithFormerAddresses(t *testing.T) {
	is := is.New(t)
	f := newDelegatingFleet()
	const newAddress = "new"
	f.outcome = func(c relay.StartCall) relay.Event {
		if c.Searcher.Address != newAddress {
			return relay.Replied{Call: c.Call, Reply: relay.Reply{Status: 421, Misdirected: true}}
		}
		return relay.Replied{Call: c.Call, Reply: relay.Reply{Status: 200, Signature: string(c.Searcher.ID)}}
	}
	var restarted model.Fleet
	for _, r := range f.registrations {
		r.StartMillis, r.Searcher.Address = 2, newAddress
		restarted.Registrations = append(restarted.Registrations, r)
	}
	learn := func(h *relayHost) { h.tickLane(relay.ViewChanged{View: h.view.WithFleet(restarted)}) }
	asks := f.hosts[len(f.hosts)-1]
	learn(asks)
	for i := range 5 {
		asks.submitAs(model.RequestID(fmt.Sprint("early-", i)), model.Fingerprint(100+i))
		f.run(50 * time.Millisecond)
	}
	is.Equal(asks.answered, 0) // the others reach no searcher yet
	for _, h := range f.hosts[:len(f.hosts)-1] {
		learn(h)
	}
	f.run(100 * time.Millisecond)
	for i := range 10 {
		asks.submitAs(model.RequestID(fmt.Sprint("late-", i)), model.Fingerprint(200+i))
		f.run(50 * time.Millisecond)
	}
	is.Equal(asks.answered, 10)
}
