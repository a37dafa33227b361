package client

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// Guards against a host selection that ignores weights, the failure domain of the
// caller, recent host failures, or the expiry of the address list.
func TestChooseHost(t *testing.T) {
	hosts := []model.EntryAddress{
		{Host: "a", FailureDomain: "karachi-a", Weight: 100},
		{Host: "b", FailureDomain: "lahore-a", Weight: 100},
		{Host: "c", FailureDomain: "peshawar-a", Weight: 1},
	}
	const draws = 10_000
	tests := []struct {
		name   string
		domain model.FailureDomain
		failed []model.HostID
		// elapsed is the time between the failures and the choice of a host.
		elapsed time.Duration
		// shares is the expected percentage of requests per host.
		shares map[model.HostID]int
	}{
		{"by weight", "", nil, 0, map[model.HostID]int{"a": 50, "b": 50, "c": 0}},
		{"own domain first", "lahore-a", nil, 0, map[model.HostID]int{"b": 100}},
		{"a host of the own domain that would forward is not preferred", "peshawar-a", nil, 0, map[model.HostID]int{"a": 50, "b": 50}},
		{"the host of the own domain failed", "lahore-a", []model.HostID{"b"}, 0, map[model.HostID]int{"a": 100}},
		{"all hosts that run the service failed", "", []model.HostID{"a", "b"}, 0, map[model.HostID]int{"c": 100}},
		{"the avoidance period is over", "", []model.HostID{"a"}, minAvoidance, map[model.HostID]int{"a": 50, "b": 50}},
		{"the address list has expired", "", nil, time.Second, map[model.HostID]int{}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld([]model.Address{"10.0.0.1:1"}, x.domain, 0.1, rand.New(rand.NewPCG(1, 2)))
			w.Tick(start, []event{addressesReceived{testService, hosts, time.Second}})
			for _, id := range x.failed {
				w.Tick(start, []event{attemptFailed{host: model.EntryAddress{Host: id}, failure: failure{reason: ReasonUnreachable}}})
			}
			w.Tick(start.Add(x.elapsed), nil)
			got := map[model.HostID]int{}
			// The tick removes a service whose address list has expired.
			w.services.Add(testService)
			for range draws {
				if h, ok := w.chooseHost(request{submission: submitted{service: testService}}); ok {
					got[h.Host]++
				}
			}
			for _, h := range hosts {
				share := got[h.Host] * 100 / draws
				is.True(share >= x.shares[h.Host]-3 && share <= x.shares[h.Host]+3) // within three percent
			}
		})
	}
}

// Guards against retries that multiply the load on hosts that lose or refuse
// most requests.
func TestRetriesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	sm := newSimulation(1, 3)
	sm.lossRate, sm.queueFullRate = 0.5, 0.5
	const searches = 200
	for range searches {
		sm.submit(kindSearch)
		sm.advance(20 * time.Millisecond)
	}
	sm.advance(2 * testTimeout)
	sent := 0
	for _, n := range sm.attemptCounts {
		sent += n
	}
	is.True(sent > searches)                                                  // there were retries
	is.True(float64(sent) <= searches*(1+defaultRetryShare)+1)                // the budget starts with one token
	is.True(len(sm.completions) == searches && sm.world.requests.Len() == 0)  // every search has ended
	is.True(sm.world.Next().IsZero() || sm.world.Next().After(sm.now.Add(0))) // nothing is overdue
}

// Guards against a hedged search that is sent late or never when the first host
// hangs and no other event wakes the world.
func TestHedgeAfterHalfOfTimeout(t *testing.T) {
	is := is.New(t)
	w := newWorld([]model.Address{"10.0.0.1:1"}, "", 0.1, rand.New(rand.NewPCG(1, 2)))
	hosts := []model.EntryAddress{{Host: "a", Weight: 1}, {Host: "b", Weight: 1}}
	w.Tick(start, []event{addressesReceived{testService, hosts, time.Hour}})
	out := w.Tick(start, []event{submitted{1, kindSearch, testService, start.Add(2 * time.Second)}})
	first := out[0].(attempt).host.Host
	is.Equal(w.Next(), start.Add(time.Second))
	out = w.Tick(w.Next(), nil)
	is.Equal(len(out), 1)
	is.True(out[0].(attempt).host.Host != first)
	is.Equal(w.Next(), start.Add(2*time.Second)) // the deadline
}
