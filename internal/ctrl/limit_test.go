package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

const (
	// limitWindow is the window in which the calls to a searcher with a limit are
	// counted: limitFactor times what the limit allows, and limitExtra more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitKnownAfter is the time after which a host that was told keeps the limit.
	limitKnownAfter = 500 * time.Millisecond
)

// limitCheck counts the calls of hosts that know the limit of a searcher.
type limitCheck struct {
	searcher model.SearcherID
	named    time.Time
	told     map[*relayHost]time.Time
	calls    []time.Time
}

// worst returns the largest number of calls in a window that begins later than
// stableWindow after the limit was first named.
func (c *limitCheck) worst() int {
	most := 0
	for i, first := range c.calls {
		n := 0
		for _, at := range c.calls[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		if first.Sub(c.named) >= stableWindow {
			most = max(most, n)
		}
	}
	return most
}

// Guards against more calls to a searcher than the limit that it has named for all
// hosts together: while its other searchers are limited too, while hosts cannot reach
// each other, restart or freeze, and at a limit so low that most hosts have no part
// in it. Callers send eight times as much as the limit allows.
func TestHostsKeepTheLimitOfASearcher(t *testing.T) {
	faults := map[string]func(*relayFleet, relay.RetryBudget){
		"none":        func(*relayFleet, relay.RetryBudget) {},
		"partitioned": func(f *relayFleet, _ relay.RetryBudget) { f.partitioned = true },
		"frozen": func(f *relayFleet, _ relay.RetryBudget) {
			for _, h := range f.hosts[:len(f.hosts)/2] {
				h.frozenUntil = f.now.Add(5 * time.Second)
			}
		},
		"restarted": func(f *relayFleet, b relay.RetryBudget) {
			for i, h := range f.hosts[:3] {
				f.start(h.host, b)
				f.hosts[i], f.hosts = f.hosts[len(f.hosts)-1], f.hosts[:len(f.hosts)-1]
			}
		},
	}
	for fault, inject := range faults {
		for _, hosts := range []int{7, 24} {
			for _, limit := range []float64{0.5, 1, 6, 24} {
				for _, all := range []bool{false, true} {
					t.Run(fmt.Sprint(fault, "/", hosts, " hosts/", limit, " a second/all: ", all), func(t *testing.T) {
						f, budget := newLimitedFleet(hosts)
						check := f.limit("s/0", limit, all)
						f.load(8*limit, 12*time.Second)
						inject(f, budget)
						f.load(8*limit, 15*time.Second)
						if allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra; float64(check.worst()) > allowed {
							t.Errorf("%d calls in %v; allowed: %.1f", check.worst(), limitWindow, allowed)
						}
					})
				}
			}
		}
	}
}

// Guards against hosts that, without a part in a limit, do not find out that it has
// ended, and against callers that are all refused although other searchers are free.
func TestLimitEnds(t *testing.T) {
	for _, hosts := range []int{7, 24} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			f, _ := newLimitedFleet(hosts)
			f.limit("s/0", 6, false)
			served, sent := f.load(48, 20*time.Second)
			if served < sent*99/100 {
				t.Errorf("%d of %d requests were served beside free searchers", served, sent)
			}
			f.limit("none", 0, false)
			f.load(48, 90*time.Second)
			calls := map[model.SearcherID]int{}
			f.onCall = func(_ *relayHost, c relay.StartCall) { calls[c.Searcher.ID]++ }
			f.load(48, 10*time.Second)
			if calls["s/0"] < 48 { // a tenth of the calls; it is one of four searchers
				t.Errorf("the searcher got %d calls in 10 s after its limit had ended", calls["s/0"])
			}
		})
	}
}

func newLimitedFleet(hosts int) (*relayFleet, relay.RetryBudget) {
	budget := relay.RetryBudget{RetryShare: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second}
	return newRelayFleet(hosts, model.Route{
		Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 2, Idempotent: true,
		Shares: []model.Share{{Service: "s", Weight: 1}},
	}, budget), budget
}

// limit makes a searcher, or all of them, name a limit in all replies, and returns the
// check of the searcher.
func (f *relayFleet) limit(searcher model.SearcherID, perSecond float64, all bool) *limitCheck {
	check := &limitCheck{searcher: searcher, told: map[*relayHost]time.Time{}}
	f.outcome = func(c relay.StartCall) relay.Event {
		reply := relay.Reply{Status: 200, Signature: "x"}
		if all || c.Searcher.ID == searcher {
			reply.RateLimited, reply.RateLimit = true, perSecond
		}
		return relay.Replied{Call: c.Call, Reply: reply}
	}
	f.onCall = func(h *relayHost, c relay.StartCall) {
		if c.Searcher.ID != searcher {
			return
		}
		if check.named.IsZero() {
			check.named = f.now.Add(workTime)
		}
		if told, ok := check.told[h]; !ok {
			check.told[h] = f.now.Add(workTime)
		} else if f.now.Sub(told) >= limitKnownAfter {
			check.calls = append(check.calls, f.now)
		}
	}
	return check
}

// load sends requests at random times at random hosts and returns how many were served
// and sent.
func (f *relayFleet) load(perSecond float64, d time.Duration) (served, sent int) {
	for _, h := range f.hosts {
		served -= h.answered
	}
	for end := f.now.Add(d); f.now.Before(end); sent++ {
		f.hosts[f.random.IntN(len(f.hosts))].submit(model.RequestID(fmt.Sprint("l-", f.now.UnixNano())))
		f.run(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	f.run(time.Second)
	for _, h := range f.hosts {
		served += h.answered
	}
	return served, sent
}
