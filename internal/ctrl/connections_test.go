package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

// connectionSum adds up the connections that the running hosts keep open to each
// searcher.
type connectionSum struct {
	kept map[model.HostID]relay.ConnectionPlan
	most int
}

func (s *connectionSum) record(h *relayHost, p relay.ConnectionPlan) {
	s.kept[h.host.ID] = p
	sums := map[model.SearcherID]int{}
	for _, p := range s.kept {
		for id, limits := range p.Searchers {
			sums[id] += limits.MinOpen
			s.most = max(s.most, sums[id])
		}
	}
}

// mixedHosts returns hosts of two sizes in the given number of failure domains.
func mixedHosts(large, small, domains int) []model.Host {
	var list []model.Host
	for i := range large + small {
		capacity := 800
		if i >= large {
			capacity = 80
		}
		list = append(list, fleetHost(i, model.FailureDomain(fmt.Sprint("d", i%domains)), capacity))
	}
	return list
}

// Guards against more connections to a searcher than it takes from all hosts, while
// all hosts start at once: the first hosts that are ready take themselves for the only
// ones, and each opens the greater part. The searcher then resets connections with
// requests on them, and spends its time on handshakes.
func TestHostsThatStartTogetherKeepTheConnectionCap(t *testing.T) {
	for _, c := range []struct {
		name          string
		hosts         []model.Host
		connectionCap int
	}{
		{"7 equal hosts", mixedHosts(7, 0, 3), 25},
		{"18 large hosts of 60", mixedHosts(18, 42, 6), 48},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			route := model.Route{
				Idempotent: true, Timeout: time.Second, TargetLatency: 150 * time.Millisecond, Attempts: 2, TopK: 3,
				MinCoverage: 0.5, Shards: []model.ServiceName{"a", "b", "c"},
			}
			f := buildRelayFleet(c.hosts, c.connectionCap, route, relay.RetryBudget{RetryWindow: time.Second})
			sum := &connectionSum{kept: map[model.HostID]relay.ConnectionPlan{}}
			f.onPlan = sum.record
			f.run(warmUp)
			is.True(sum.most <= c.connectionCap)
			kept := 0
			for _, p := range sum.kept {
				kept += len(p.Searchers)
			}
			is.True(kept > 0) // connections are opened ahead of need
			first := sum.most
			for _, h := range c.hosts { // all restart at once
				delete(sum.kept, h.ID)
				f.start(h, relay.RetryBudget{RetryWindow: time.Second})
			}
			f.run(warmUp)
			t.Logf("most connections to a searcher: %d and %d of %d", first, sum.most, c.connectionCap)
			is.True(sum.most <= c.connectionCap)
		})
	}
}
