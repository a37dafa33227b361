package serve

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// testHosts are entry hosts that forward requests to each other in process.
type testHosts map[model.HostID]*Entry

// newTestHosts returns hosts with the given address list, and the number of
// searches that each has run. The owners run the service.
func newTestHosts(t *testing.T, addresses []model.EntryAddress, owners ...model.HostID) (testHosts, map[model.HostID]int) {
	t.Helper()
	settings := tree.New()
	var err error
	for _, p := range []tree.Path{"/dastkar", "/dastkar/jury-desk"} {
		if settings, err = settings.WithNode(p); err != nil {
			t.Fatal(err)
		}
	}
	hosts, ran := testHosts{}, map[model.HostID]int{}
	for _, a := range addresses {
		e := NewEntry(a.Host)
		owned := map[model.ServiceName]view.Ownership{}
		for _, o := range owners {
			if o == a.Host {
				owned["jury-desk"] = view.Ownership{Slots: 1, Connections: 1}
			}
		}
		e.Views, e.Meter = view.NewAtomic(), meter.New()
		e.Views.Store(view.New().WithSettings(1, settings).WithReady(true, "").WithRoutes(
			map[model.ServiceName][]model.EntryAddress{"jury-desk": addresses}, owned))
		e.NewID = func() model.RequestID { return model.RequestID(fmt.Sprintf("%s-%d", a.Host, ran[a.Host])) }
		e.Search = func(_ context.Context, r model.Request) model.Answer {
			if len(owned) == 0 {
				return model.NewRefused(r.ID, model.NewRefusal(model.ReasonNotReady, "not assigned"))
			}
			ran[a.Host]++
			return model.NewAnswer(r.ID, 1, 1, model.Coverage{})
		}
		e.ForwardSearch = func(ctx context.Context, to model.EntryAddress, m *entry.SearchRequest) (*entry.SearchResponse, error) {
			return hosts[to.Host].ForwardedSearch(ctx, m)
		}
		hosts[a.Host] = e
	}
	return hosts, ran
}

// Guards against forwarding requests to newly assigned hosts that still wait for
// the seats of a service. Until those are released, only the previous hosts can
// run the requests.
func TestForwardToSeatHolders(t *testing.T) {
	addresses := []model.EntryAddress{{Host: "a", Weight: 100}, {Host: "b", Weight: 100}, {Host: "c", Weight: 1}}
	tests := []struct {
		name        string
		members     []model.Member
		wantRefused bool
	}{
		{"one is alive", []model.Member{member("c", model.MemberFailed), member("d", model.MemberAlive)}, false},
		{"one is leaving", []model.Member{member("d", model.MemberLeaving)}, false},
		{"all have failed", []model.Member{member("c", model.MemberFailed), member("d", model.MemberFailed)}, true},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			hosts, ran := newTestHosts(t, append(addresses, model.EntryAddress{Host: "d"}), "d")
			for _, e := range hosts {
				routes := map[model.ServiceName][]model.EntryAddress{"jury-desk": addresses} // d is not assigned any more
				e.Views.Store(e.Views.Load().WithRoutes(routes, e.Views.Load().Owned).WithMembers(x.members))
			}
			e := hosts["a"]
			e.Views.Store(e.Views.Load().WithSeatHolders(map[model.ServiceName][]model.HostID{"jury-desk": {"c", "d"}}))
			_, err := e.search(context.Background(), &entry.SearchRequest{
				RequestId: "mine", Account: "dastkar", Service: "jury-desk",
			}, true)
			is.Equal(err != nil, x.wantRefused)
			is.Equal(ran["d"], map[bool]int{true: 0, false: 1}[x.wantRefused])
		})
	}
}

// Guards against a request that is refused because the only host known to hold a seat
// of the service was killed, although another assigned host runs the service.
func TestForwardPastAKilledSeatHolder(t *testing.T) {
	is := is.New(t)
	addresses := []model.EntryAddress{{Host: "a", Weight: 1}, {Host: "b", Weight: 100}, {Host: "c", Weight: 100}}
	hosts, ran := newTestHosts(t, addresses, "c")
	e := hosts["a"]
	e.Views.Store(e.Views.Load().WithMembers([]model.Member{member("b", model.MemberAlive)}).
		WithSeatHolders(map[model.ServiceName][]model.HostID{"jury-desk": {"b"}}))
	e.ForwardSearch = func(ctx context.Context, to model.EntryAddress, m *entry.SearchRequest) (*entry.SearchResponse, error) {
		if to.Host == "b" {
			return nil, wire.RefusalError(model.NewRefusal(model.ReasonNotReady, "host b could not be reached"))
		}
		return hosts[to.Host].ForwardedSearch(ctx, m)
	}
	_, err := e.search(context.Background(), &entry.SearchRequest{RequestId: "mine", Account: "dastkar", Service: "jury-desk"}, true)
	is.NoErr(err)
	is.Equal(ran["c"], 1)
}

func member(id model.HostID, state model.MemberState) model.Member {
	return model.Member{Host: model.Host{ID: id}, State: state}
}

// Guards against a request that is forwarded more than once, to the host itself,
// or although this host runs the service, and against a forwarded answer without
// the caller's request id.
func TestForwardOnce(t *testing.T) {
	addresses := []model.EntryAddress{{Host: "a", Weight: 100}, {Host: "b", Weight: 100}, {Host: "c", Weight: 1}}
	tests := []struct {
		name         string
		at           model.HostID
		owners       []model.HostID
		wantForwards int64
		wantReason   model.Reason
	}{
		{"owner", "a", []model.HostID{"a", "b"}, 0, ""},
		{"not an owner", "c", []model.HostID{"a", "b"}, 1, ""},
		{"assigned but without a seat", "a", []model.HostID{"b"}, 1, ""},
		// Both hosts are tried, because the first one refused the request as not run.
		{"no host has a seat", "c", nil, 2, model.ReasonNotReady},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			hosts, ran := newTestHosts(t, addresses, x.owners...)
			answer, err := hosts[x.at].search(context.Background(), &entry.SearchRequest{
				RequestId: "mine", Account: "dastkar", Service: "jury-desk",
			}, true)
			forwards := int64(0)
			for _, e := range hosts {
				forwards += e.Meter.Value("forward", "sent")
			}
			is.Equal(forwards, x.wantForwards)
			if x.wantReason != "" {
				refusal, ok := wire.RefusalOf(err)
				is.True(ok)
				is.Equal(refusal.Reason, x.wantReason)
				is.Equal(refusal.Execution, model.NotRun)
				is.Equal(len(refusal.Alternatives), 2) // all but the host that refused
				return
			}
			is.NoErr(err)
			is.Equal(answer.GetRequestId(), "mine")
			is.Equal(ran[model.HostID(answer.GetHost())], 1)
		})
	}
}

// Guards against reporting a forwarded request as not run after its response was
// lost.
func TestLostForwardMayHaveRun(t *testing.T) {
	is := is.New(t)
	hosts, _ := newTestHosts(t, []model.EntryAddress{{Host: "a", Weight: 100}, {Host: "b", Weight: 100}}, "a")
	hosts["b"].ForwardSearch = func(context.Context, model.EntryAddress, *entry.SearchRequest) (*entry.SearchResponse, error) {
		return nil, fmt.Errorf("connection lost")
	}
	_, err := hosts["b"].search(context.Background(), &entry.SearchRequest{Account: "dastkar", Service: "jury-desk"}, true)
	refusal, ok := wire.RefusalOf(err)
	is.True(ok)
	is.Equal(refusal.Execution, model.MayHaveRun)
}

// Guards against a drain that becomes idle before the requests in flight have
// ended, or that waits for requests which began after Drain.
func TestDrainCallsOnIdleOnce(t *testing.T) {
	is := is.New(t)
	f, idle := NewInFlight(), 0
	first, second := f.Begin("a"), f.Begin("b")
	f.Drain(func() { idle++ })
	late := f.Begin("c")
	is.Equal(f.Requests(), []model.RequestID{"a", "b"})
	first()
	is.Equal(idle, 0)
	second()
	late()
	is.Equal(idle, 1)
}
