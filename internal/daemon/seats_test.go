package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/stand/plat"
)

// seatHost runs a route world against the simulated platform.
type seatHost struct {
	loop     *tick.Loop[route.Event, route.Command]
	calls    sync.WaitGroup
	mu       sync.Mutex
	assigned route.Assigned
	released chan struct{}
}

func startSeatHost(t *testing.T, s store.Store, n int, events ...route.Event) *seatHost {
	t.Helper()
	h := &seatHost{released: make(chan struct{})}
	seats := seatStore{store: s, log: hclog.NewNullLogger()}
	w := route.NewWorld(model.HostID(fmt.Sprintf("host-%d", n)), uint64(n+1))
	h.loop = tick.NewLoop[route.Event, route.Command](w, func(c route.Command) {
		switch c := c.(type) {
		case route.ReadSeats:
			h.calls.Go(func() { h.loop.Send(seats.read(context.Background(), c)) })
		case route.WriteSeats:
			h.calls.Go(func() { h.loop.Send(seats.write(context.Background(), c)) })
		case route.Assigned:
			h.mu.Lock()
			defer h.mu.Unlock()
			h.assigned = c
		case route.Released:
			close(h.released)
		}
	})
	go func() { _ = h.loop.Run(context.Background()) }()
	t.Cleanup(func() {
		_ = h.loop.Close()
		h.calls.Wait()
	})
	for _, e := range events {
		h.loop.Send(e)
	}
	return h
}

func (h *seatHost) owns() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.assigned.Owned["jury-desk"]
	return ok
}

// Guards against seats that change when they are stored and read back, treating a
// write with a lost reply as failed, and a release that keeps the row.
func TestSeatsOnThePlatform(t *testing.T) {
	is := is.New(t)
	p := plat.New()
	p.SetFaults(plat.Faults{LostReplies: 2})
	settings, err := tree.New().WithValue(tree.Root, tree.KeySeatLease, tree.Number(5000))
	is.NoErr(err)
	var members []model.Member
	for n := range 3 {
		id := model.HostID(fmt.Sprintf("host-%d", n))
		members = append(members, model.Member{Ready: true, Incarnation: 1, Host: model.Host{ID: id, FailureDomain: model.FailureDomain(id)}})
	}
	index := model.Index{Service: "jury-desk", Searchers: []model.Searcher{{ID: "s", Slots: 2, ConnectionCap: 25}}}
	events := []route.Event{
		route.SettingsChanged{Tree: settings}, route.IndexesChanged{Indexes: []model.Index{index}}, route.MembersChanged{Members: members},
	}
	var hosts []*seatHost
	for n := range 3 {
		hosts = append(hosts, startSeatHost(t, p, n, events...))
	}
	owners := func() int {
		return len(slices.DeleteFunc(slices.Clone(hosts), func(h *seatHost) bool { return !h.owns() }))
	}
	waitUntil(t, func() bool { return owners() == 2 })

	leaving := slices.IndexFunc(hosts, (*seatHost).owns)
	for _, h := range hosts {
		h.loop.Send(route.MembersChanged{Members: []model.Member{members[leaving].WithState(model.MemberLeaving)}})
	}
	hosts[leaving].loop.Send(route.ReleaseRequested{})
	<-hosts[leaving].released
	is.True(!hosts[leaving].owns())
	waitUntil(t, func() bool { return owners() == 2 }) // another host has taken a seat
	o, err := p.Get(context.Background(), "seats/jury-desk")
	is.NoErr(err)
	seats, err := wire.DecodeSeats("jury-desk", o.Version, o.Value)
	is.NoErr(err)
	is.Equal(len(seats.Rows), 2)
	_, found := seats.ByNonce(uint64(leaving + 1))
	is.True(!found)
}

// waitUntil waits until a condition holds; the test fails after 10 s.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition did not hold within 10 s")
}
