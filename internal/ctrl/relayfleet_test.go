package ctrl_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

const (
	peerDelay = 5 * time.Millisecond
	// warmUp is the time in which all hosts join and get the retry slack.
	warmUp   = 12 * time.Second
	workTime = 20 * time.Millisecond
)

// relayFleet runs the control world and the lane of several hosts on a simulated
// clock.
type relayFleet struct {
	now    time.Time
	queue  eventQueue
	seq    int
	random *rand.Rand
	hosts  []*relayHost
	byHost map[model.HostID]*relayHost
	seeds  []model.Address

	configuration model.Configuration
	registrations []model.Registration
	// outcome returns the event that ends a call, or nil for a call that gets no
	// reply.
	outcome func(relay.StartCall) relay.Event
	// onCall is called for each call.
	onCall func(*relayHost, relay.StartCall)
	// onPlan is called for each connection plan.
	onPlan func(*relayHost, relay.ConnectionPlan)
	// called holds the times of the calls of each request.
	called map[model.RequestID][]time.Time
	ended  []time.Time
	// partitioned hosts receive no messages of peers.
	partitioned bool
	// refusals counts the refused requests by reason.
	refusals map[model.Reason]int
	// announced holds the hosts in the store's list, storeCalls counts the reads and
	// announcements and hostLists the reads of that list. storeDown makes them fail.
	announced             map[model.HostID]model.Host
	storeCalls, hostLists int
	storeDown             bool
	// staleSeeds is set if no host listens at the seeds.
	staleSeeds bool
}

// relayHost is one process of a host.
type relayHost struct {
	fleet     *relayFleet
	host      model.Host
	control   *ctrl.Relay
	lane      *relay.World
	cancelled map[relay.CallID]bool
	answers   map[uint64]func(ctrl.Command)
	lastID    uint64
	handle    relay.Handle
	// stopped is set once the process has ended, and down until another one has
	// replaced it. A frozen process
	// handles its events at frozenUntil.
	stopped     bool
	down        bool
	frozenUntil time.Time
	answered    int
	// ended counts the answers, refusals included.
	ended int
	// view is the last view of the control world, known the number of hosts in it.
	view  relay.View
	known int
	// incarnation identifies the process to the hosts that it delegates calls to.
	incarnation uint64
}

// newRelayFleet returns a fleet of equal hosts in one failure domain after its start.
func newRelayFleet(hosts int, route model.Route, budget relay.RetryBudget) *relayFleet {
	list := make([]model.Host, 0, hosts)
	for i := range hosts {
		list = append(list, fleetHost(i, "d1", 400))
	}
	f := buildRelayFleet(list, 1000, route, budget)
	f.run(warmUp)
	return f
}

func fleetHost(i int, domain model.FailureDomain, capacity int) model.Host {
	id := fmt.Sprintf("host-%03d", i)
	return model.Host{ID: model.HostID(id), Peer: model.Address(id), Entry: model.Address(id), FailureDomain: domain, Capacity: capacity}
}

// buildRelayFleet returns a fleet of hosts that have not started yet, with four
// searchers for each service of the route.
func buildRelayFleet(hosts []model.Host, connectionCap int, route model.Route, budget relay.RetryBudget) *relayFleet {
	f := &relayFleet{
		now: epoch, random: rand.New(rand.NewPCG(1, 2)), byHost: map[model.HostID]*relayHost{},
		called: map[model.RequestID][]time.Time{}, onCall: func(*relayHost, relay.StartCall) {},
		onPlan: func(*relayHost, relay.ConnectionPlan) {}, refusals: map[model.Reason]int{},
		announced: map[model.HostID]model.Host{},
	}
	route.Name, route.Host, route.Prefix = "r", "h", "/"
	services := map[model.ServiceName]bool{}
	for _, s := range route.Shards {
		services[s] = true
	}
	for _, s := range route.Shares {
		services[s.Service] = true
	}
	var settings []model.Service
	for name := range services {
		settings = append(settings, model.Service{Name: name, ConnectionCap: connectionCap})
		for i := range 4 {
			id := fmt.Sprint(name, "/", i)
			domain := hosts[i%len(hosts)].FailureDomain
			f.registrations = append(f.registrations, model.Registration{
				Service: name, StartMillis: 1, Revision: 1,
				Searcher: model.Searcher{ID: model.SearcherID(id), Address: model.Address(id), FailureDomain: domain, Slots: 2},
			})
		}
	}
	f.configuration = model.NewConfiguration(1, []model.Route{route}, settings, model.Limits{})
	for _, h := range hosts[:min(3, len(hosts))] {
		f.seeds = append(f.seeds, h.Peer)
	}
	for _, h := range hosts {
		f.start(h, budget)
	}
	return f
}

// knownHosts returns the least number of hosts that a process knows, itself included.
func (f *relayFleet) knownHosts() int {
	least := math.MaxInt
	for _, h := range f.byHost {
		least = min(least, h.known)
	}
	return least
}

func (f *relayFleet) start(host model.Host, budget relay.RetryBudget) {
	h := &relayHost{
		fleet: f, host: host, control: ctrl.NewRelay(host, uint64(f.now.UnixMilli())), lane: relay.NewWorld(host.ID, host.FailureDomain),
		cancelled: map[relay.CallID]bool{}, answers: map[uint64]func(ctrl.Command){}, incarnation: uint64(f.now.UnixMilli()),
	}
	if old, ok := f.byHost[host.ID]; ok {
		old.stopped = true
	}
	h.lane.RetryBudget = budget
	h.control.Member.Seeds, h.control.Seed = f.seeds, !f.staleSeeds
	f.hosts = append(f.hosts, h)
	f.byHost[host.ID] = h
	f.after(0, func() { h.tick(ctrl.FeedEvent{}) })
}

func (f *relayFleet) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.queue, timedEvent{at: f.now.Add(d), seq: f.seq, run: run})
}

// run advances the clock and runs the events that are due.
func (f *relayFleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(timedEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// tick runs the control world and delivers its messages.
func (h *relayHost) tick(events ...ctrl.Event) {
	f := h.fleet
	if h.deferred(func() { h.tick(events...) }) {
		return
	}
	for _, c := range h.control.Tick(f.now, events) {
		switch c := c.(type) {
		case ctrl.PublishRelay:
			h.view, h.known = c.View, len(c.View.KnownHosts)
			h.tickLane(relay.ViewChanged{View: c.View})
		case ctrl.PushTo:
			h.sendTo(c.Peer.ID, func(to *relayHost) { to.tick(ctrl.Pushed{Gossip: c.Gossip}) })
		case ctrl.SendProbe:
			h.sendTo(c.To.ID, func(to *relayHost) {
				id := to.expect(func(a ctrl.Command) {
					if p, ok := a.(ctrl.AnswerProbe); ok {
						to.sendTo(h.host.ID, func(*relayHost) { h.tick(ctrl.Acked{ID: c.ID, Reached: p.Reached, Gossip: p.Gossip}) })
					}
				})
				to.tick(ctrl.Probed{ID: id, Target: c.Target, Gossip: c.Gossip})
			})
		case ctrl.FetchMembers:
			h.sendTo(model.HostID(c.From.Peer), func(to *relayHost) {
				id := to.expect(func(a ctrl.Command) {
					if m, ok := a.(ctrl.AnswerMembers); ok {
						to.sendTo(h.host.ID, func(*relayHost) {
							h.tick(ctrl.MemberEvent{Event: member.MembersReceived{From: to.host.ID, Members: m.Members}})
						})
					}
				})
				to.tick(ctrl.MemberEvent{Event: member.MembersRequested{ID: id, From: c.Self}})
			})
		case ctrl.AnswerProbe:
			h.answer(c.ID, c)
		case ctrl.AnswerMembers:
			h.answer(c.ID, c)
		case ctrl.FeedCommand:
			h.readStore(c.Command)
		}
	}
	if next := h.control.Next(); !next.IsZero() {
		f.after(max(next.Sub(f.now), time.Millisecond), func() {
			if due := h.control.Next(); !due.IsZero() && !f.now.Before(due) {
				h.tick()
			}
		})
	}
}

// deferred reports whether a process does not handle an event now: never once it has
// stopped, and later while it is frozen.
func (h *relayHost) deferred(again func()) bool {
	if frozen := h.frozenUntil.Sub(h.fleet.now); !h.stopped && frozen > 0 {
		h.fleet.after(frozen, again)
		return true
	}
	return h.stopped
}

// expect returns an id for a question to this host and registers the receiver of
// its answer.
func (h *relayHost) expect(receive func(ctrl.Command)) uint64 {
	h.lastID++
	h.answers[h.lastID] = receive
	return h.lastID
}

func (h *relayHost) answer(id uint64, c ctrl.Command) {
	if receive, ok := h.answers[id]; ok {
		delete(h.answers, id)
		receive(c)
	}
}

func (h *relayHost) sendTo(id model.HostID, deliver func(*relayHost)) {
	to, ok := h.fleet.byHost[id]
	if !ok {
		return
	}
	h.fleet.after(peerDelay, func() {
		if !h.fleet.partitioned {
			deliver(to)
		}
	})
}

// storePage is the number of objects on a page of a list.
const storePage = 500

// readStore answers reads of the store and announcements; its watches report no
// changes.
func (h *relayHost) readStore(c feed.Command) {
	f := h.fleet
	answer := func(e feed.Event) { f.after(peerDelay, func() { h.tick(ctrl.FeedEvent{Event: e}) }) }
	switch c := c.(type) {
	case feed.Announce:
		f.storeCalls++
		if !f.storeDown {
			f.announced[h.host.ID] = h.host
		}
		answer(feed.AnnounceDone{Failed: f.storeDown})
	case feed.Read:
		f.storeCalls++
		if c.Topic == feed.Hosts {
			f.hostLists++
		}
		answer(feed.Result{Topic: c.Topic, CallID: c.CallID, Event: f.readTopic(c.Topic)})
	}
}

func (f *relayFleet) readTopic(t feed.Topic) feed.Event {
	if f.storeDown {
		return feed.Failed{StartedAt: f.now, Cause: "the store is down"}
	}
	switch t {
	case feed.Configuration:
		return feed.ConfigurationRead{Configuration: f.configuration, Known: true, AsOf: 1}
	case feed.Searchers:
		return feed.FleetRead{Registrations: f.registrations, AsOf: 1}
	}
	list := feed.HostsRead{}
	ids := slices.Sorted(maps.Keys(f.announced))
	for _, id := range ids[:min(len(ids), storePage)] {
		list.Hosts = append(list.Hosts, f.announced[id])
	}
	return list
}

// tickLane runs the lane and ends its calls as the fleet's outcome says.
func (h *relayHost) tickLane(events ...relay.Event) {
	f := h.fleet
	if h.deferred(func() { h.tickLane(events...) }) {
		return
	}
	for _, c := range h.lane.Tick(f.now, events) {
		switch c := c.(type) {
		case relay.StartCall:
			f.called[c.Request] = append(f.called[c.Request], f.now)
			f.onCall(h, c)
			f.after(workTime, func() { h.endCall(c) })
		case relay.Respond:
			h.ended++
			if c.Answer.Kind != relay.Refused {
				h.answered++
			} else {
				f.refusals[c.Answer.Refusal.Reason]++
			}
		case relay.CancelCall:
			h.cancelled[c.Call] = true
		case relay.RevokeUnsent:
			f.after(0, func() { h.tickLane(relay.Revoked{Handle: c.Handle}) })
		case relay.ConnectionPlan:
			f.onPlan(h, c)
		case relay.DelegateCalls:
			h.delegate(c)
		case relay.CancelDelegated:
			h.sendTo(c.Delegate.ID, func(to *relayHost) { to.tickLane(relay.GuestCancelled{Guest: h.guest(), Calls: c.Calls}) })
		case relay.GuestReplies:
			h.sendTo(c.Guest.Host, func(to *relayHost) {
				if to.incarnation == c.Guest.Process {
					for _, r := range c.Results {
						to.tickLane(r.Event())
					}
				}
			})
		case relay.LossReport:
			f.after(0, func() { h.tick(ctrl.LossReported(c)) })
		case relay.SurvivalReport:
			f.after(0, func() { h.tick(ctrl.SurvivalReported(c)) })
		}
	}
	if next := h.lane.Next(); !next.IsZero() {
		f.after(max(next.Sub(f.now), time.Millisecond), func() {
			if due := h.lane.Next(); !due.IsZero() && !f.now.Before(due) {
				h.tickLane()
			}
		})
	}
}

func (h *relayHost) endCall(c relay.StartCall) {
	e := h.fleet.outcome(c)
	if failed, ok := e.(relay.CallFailed); ok && !failed.NotRun {
		h.fleet.ended = append(h.fleet.ended, h.fleet.now)
	}
	if e != nil && !h.cancelled[c.Call] {
		h.tickLane(e)
	}
}

// submit sends a request with the fingerprint 7.
func (h *relayHost) submit(id model.RequestID) { h.submitAs(id, 7) }

func (h *relayHost) submitAs(id model.RequestID, fingerprint model.Fingerprint) {
	h.handle++
	h.tickLane(relay.Arrived{Request: relay.Request{
		Handle: h.handle, ID: id, Fingerprint: fingerprint, Host: "h", Path: "/x", Arrived: h.fleet.now, Timeout: time.Second,
	}})
}

func (h *relayHost) guest() relay.Guest {
	return relay.Guest{Host: h.host.ID, Process: h.incarnation, Peer: h.host.Peer}
}

// delegate sends delegated calls. If the other host has stopped or does not hear this
// one, the calls fail after some time, and it is not known whether they arrived.
func (h *relayHost) delegate(c relay.DelegateCalls) {
	f, sent := h.fleet, h.fleet.now
	to := f.byHost[c.Delegate.ID]
	if f.partitioned || to == nil || to.down {
		f.after(500*time.Millisecond, func() {
			failed := relay.DelegationFailed{Delegate: c.Delegate.ID, Cause: "no confirmation"}
			for _, d := range c.Calls {
				failed.Calls = append(failed.Calls, d.Call)
			}
			h.tickLane(failed)
			h.tick(ctrl.MemberEvent{Event: member.CallFailed{Host: c.Delegate.ID}})
		})
		return
	}
	var arrive func()
	arrive = func() {
		if to.deferred(arrive) {
			return
		}
		to.tickLane(relay.GuestCalls{
			Guest: h.guest(), Request: c.Request, Message: c.Message, Timeout: c.Timeout, Calls: c.Calls, Offset: f.now.Sub(sent),
		})
	}
	f.after(peerDelay, arrive)
}
