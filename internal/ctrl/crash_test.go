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
	// maxLateRetries is the number of retries of a request that crashes searchers
	// that may reach searchers later than stableWindow after the third of them has
	// ended.
	stableWindow   = 4 * time.Second
	maxLateRetries = 3
)

// lateRetries counts the requests with a call later than stableWindow after the
// third searcher has ended.
func (f *relayFleet) lateRetries() int {
	if len(f.ended) < 3 {
		return 0
	}
	late := 0
	for _, times := range f.called {
		if last := times[len(times)-1]; last.Sub(f.ended[2]) > stableWindow {
			late++
		}
	}
	return late
}

// Guards against more retries than the retry budget of all hosts allows when hosts
// cannot reach each other, and each takes the share of those that it holds as
// failed, or, if it has started since, that it has not heard of.
func TestPartitionedHostsKeepTheRetryBudget(t *testing.T) {
	const hosts, requests = 7, 700
	budget := relay.RetryBudget{RetryShare: 0.2, RetrySlack: 54, RetryWindow: 10 * time.Second}
	route := model.Route{
		Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 2, Idempotent: true,
		Shares: []model.Share{{Service: "s", Weight: 1}},
	}
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("hosts restart: ", restart), func(t *testing.T) {
			f := newRelayFleet(hosts, route, budget)
			f.outcome = func(c relay.StartCall) relay.Event {
				return relay.Replied{Call: c.Call, Reply: relay.Reply{Status: 503, NotRun: true}}
			}
			f.partitioned = true
			if restart {
				old := f.hosts
				f.hosts = nil
				for _, h := range old {
					f.start(h.host, budget)
				}
			}
			f.run(30 * time.Second) // each host holds all others as failed
			for i := range requests {
				f.hosts[i%hosts].submit(model.RequestID(fmt.Sprint("r-", i)))
				f.run(budget.RetryWindow / requests)
			}
			extra := 0
			for _, times := range f.called {
				extra += len(times) - 1
			}
			if allowed := budget.RetryShare*requests + budget.RetrySlack; float64(extra) > allowed {
				t.Errorf("%d retries in a window; allowed: %.0f", extra, allowed)
			}
		})
	}
}

func shardNames(n int) []model.ServiceName {
	var list []model.ServiceName
	for i := range n {
		list = append(list, model.ServiceName(fmt.Sprint("shard-", i)))
	}
	return list
}

// Guards against a request that crashes the searchers that run it and that hosts
// keep sending, because they do not recognize or do not share its losses. A caller
// repeats it every so often at a random host.
func TestCrashingRequestReachesFewSearchers(t *testing.T) {
	single := model.Route{Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 2, Shares: []model.Share{{Service: "s", Weight: 1}}}
	repeatable := single
	repeatable.Idempotent = true
	sharded := model.Route{
		Timeout: 600 * time.Millisecond, TargetLatency: 80 * time.Millisecond, Attempts: 2, Idempotent: true,
		Shards: shardNames(8), TopK: 3, MinCoverage: 0.75,
	}
	ample := relay.RetryBudget{RetryShare: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second}
	lost := func(c relay.StartCall) relay.Event { return relay.CallFailed{Call: c.Call, Failure: model.FailureLost} }
	truncated := func(c relay.StartCall) relay.Event {
		return relay.CallFailed{Call: c.Call, Failure: model.FailureTruncated}
	}
	// oneSilent and oneFailing crash all searchers but some of one service.
	oneSilent := func(c relay.StartCall) relay.Event {
		if c.Searcher.ID == "shard-0/0" || c.Searcher.ID == "shard-0/1" {
			return nil
		}
		return lost(c)
	}
	oneFailing := func(c relay.StartCall) relay.Event {
		if c.Searcher.ID == "shard-0/0" || c.Searcher.ID == "s/0" {
			return relay.Replied{Call: c.Call, Reply: relay.Reply{Status: 500, Signature: "x"}}
		}
		return lost(c)
	}
	for _, c := range []struct {
		name    string
		route   model.Route
		budget  relay.RetryBudget
		outcome func(relay.StartCall) relay.Event
	}{
		{"one searcher", repeatable, ample, lost},
		{"one searcher, not repeatable", single, ample, lost},
		{"one searcher, retry budget spent", repeatable, relay.RetryBudget{RetryWindow: 10 * time.Second}, lost},
		{"one searcher, reply ends early", repeatable, ample, truncated},
		{"one searcher, some fail", repeatable, ample, oneFailing},
		{"sharded", sharded, ample, lost},
		{"sharded, retry budget spent", sharded, relay.RetryBudget{RetryWindow: 10 * time.Second}, lost},
		{"sharded, replies end early", sharded, ample, truncated},
		{"sharded, some searchers are silent", sharded, ample, oneSilent},
		{"sharded, some fail", sharded, ample, oneFailing},
	} {
		for _, hosts := range []int{7, 24} {
			for _, interval := range []time.Duration{400 * time.Millisecond, 3 * time.Second} {
				t.Run(fmt.Sprint(c.name, "/", hosts, " hosts/every ", interval), func(t *testing.T) {
					is := is.New(t)
					f := newRelayFleet(hosts, c.route, c.budget)
					f.outcome = c.outcome
					for i := 0; f.now.Sub(epoch) < 100*time.Second; i++ {
						f.hosts[f.random.IntN(hosts)].submit(model.RequestID(fmt.Sprint("r-", i)))
						f.run(interval)
					}
					is.True(len(f.ended) >= 3)
					if n := f.lateRetries(); n > maxLateRetries {
						t.Errorf("%d retries reached searchers late; %d searchers ended", n, len(f.ended))
					}
				})
			}
		}
	}
}

// Guards against a request that crashes searchers and is never refused, because each of
// its callers leaves, or reaches its deadline, before the searcher crashes.
func TestCrashingRequestOfImpatientCallers(t *testing.T) {
	const hosts, leaveAfter = 7, 10 * time.Millisecond
	budget := relay.RetryBudget{RetryShare: 0.2, RetrySlack: 1000, RetryWindow: 10 * time.Second}
	single := model.Route{
		Timeout: 2 * time.Second, TargetLatency: 500 * time.Millisecond, Attempts: 2, Idempotent: true,
		Shares: []model.Share{{Service: "s", Weight: 1}},
	}
	short := single
	short.Timeout = leaveAfter
	sharded := model.Route{
		Timeout: 600 * time.Millisecond, TargetLatency: 80 * time.Millisecond, Attempts: 2, Idempotent: true,
		Shards: shardNames(8), TopK: 3, MinCoverage: 0.75,
	}
	for _, c := range []struct {
		name   string
		route  model.Route
		leaves bool
	}{
		{"one searcher, caller leaves", single, true},
		{"one searcher, deadline", short, false},
		{"sharded, caller leaves", sharded, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newRelayFleet(hosts, c.route, budget)
			f.outcome = func(c relay.StartCall) relay.Event {
				return relay.CallFailed{Call: c.Call, Failure: model.FailureLost}
			}
			for i := 0; f.now.Sub(epoch) < 60*time.Second; i++ {
				h := f.hosts[f.random.IntN(hosts)]
				h.submit(model.RequestID(fmt.Sprint("r-", i)))
				f.run(leaveAfter)
				if c.leaves {
					h.tickLane(relay.CallerDisconnected{Handle: h.handle})
				}
				f.run(500*time.Millisecond - leaveAfter)
			}
			is.True(len(f.ended) >= 3)
			n := f.lateRetries()
			t.Logf("%d retries reached searchers late; %d searchers ended; allowed: %d retries", n, len(f.ended), maxLateRetries)
			is.True(n <= maxLateRetries)
		})
	}
}
