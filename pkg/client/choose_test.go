package client

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// Guards against a choice that ignores weights, the caller's failure domain, the
// health of hosts, or the expiry of the answer.
func TestChoiceOfHost(t *testing.T) {
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
		after  time.Duration
		// shares are the expected parts of the requests, in percent.
		shares map[model.HostID]int
	}{
		{"by weight", "", nil, 0, map[model.HostID]int{"a": 50, "b": 50, "c": 0}},
		{"nearest", "lahore-a", nil, 0, map[model.HostID]int{"b": 100}},
		{"a near host that must forward is not nearest", "peshawar-a", nil, 0, map[model.HostID]int{"a": 50, "b": 50}},
		{"the nearest failed", "lahore-a", []model.HostID{"b"}, 0, map[model.HostID]int{"a": 100}},
		{"all main hosts failed", "", []model.HostID{"a", "b"}, 0, map[model.HostID]int{"c": 100}},
		{"a failure is forgotten", "", []model.HostID{"a"}, minAvoidance, map[model.HostID]int{"a": 50, "b": 50}},
		{"the answer has expired", "", nil, time.Second, map[model.HostID]int{}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld([]model.Address{"10.0.0.1:1"}, x.domain, 0.1, rand.New(rand.NewPCG(1, 2)))
			w.Tick(start, []event{addressesReceived{testService, hosts, time.Second}})
			for _, id := range x.failed {
				w.Tick(start, []event{attemptFailed{host: model.EntryAddress{Host: id}, failure: failure{reason: ReasonUnreachable}}})
			}
			w.Tick(start.Add(x.after), nil)
			got := map[model.HostID]int{}
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

// Guards against resends that multiply the load of hosts that lose or refuse
// most requests.
func TestResendsStayWithinTheBudget(t *testing.T) {
	is := is.New(t)
	f := newSimulation(1, 3)
	f.lossRate, f.queueFullRate = 0.5, 0.5
	const searches = 200
	for range searches {
		f.submit(kindSearch)
		f.advance(20 * time.Millisecond)
	}
	f.advance(2 * testTimeout)
	sent := 0
	for _, n := range f.attemptCounts {
		sent += n
	}
	is.True(sent > searches)                                               // there were resends
	is.True(float64(sent) <= searches*(1+defaultRetryShare)+1)             // one token is there at the start
	is.True(len(f.completions) == searches && f.world.requests.Len() == 0) // every search has ended
	is.True(f.world.Next().IsZero() || f.world.Next().After(f.now.Add(0))) // nothing is overdue
}

// Guards against a search on a hanging host that is sent to a second one late or
// never because nothing else happens meanwhile.
func TestHedgeAtHalfOfTheTime(t *testing.T) {
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
