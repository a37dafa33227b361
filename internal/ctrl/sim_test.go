package ctrl_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

var epoch = time.Unix(1_800_000_000, 0)

// timedEvent is a function to run at a simulated time.
type timedEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// sim runs control worlds over a simulated network and platform. Loss,
// duplication and delay are drawn for each message.
type sim struct {
	now    time.Time
	random *rand.Rand
	queue  eventQueue
	seq    int

	hosts     []model.Host
	addresses map[model.Address]model.HostID
	nodes     map[model.HostID]*node
	platform  *platform

	// loss and duplication are probabilities per message; delaySpike is the
	// probability of up to 400 ms extra delay, which reorders messages.
	loss, duplication, delaySpike float64
	// partitioned holds the hosts on one side of a partition, platformUnreachable
	// those that cannot reach the platform.
	partitioned, platformUnreachable map[model.HostID]bool

	// encode, if set, encodes and decodes messages and returns their size.
	encode   func(any) (any, int)
	messages int
	bytes    int
	// bundleHeld is called for each bundle, published for each view, and resumed
	// after the first tick that follows a pause.
	bundleHeld func(*node, spread.Bundle)
	published  func(*node, view.View)
	resumed    func(*node)
}

// node is one process of a host.
type node struct {
	host      model.Host
	world     *ctrl.World
	startedAt time.Time
	inbox     []ctrl.Event
	// minRevision is the highest revision that all hosts of some failure domain had
	// when this process started, and platformRevision the platform's revision then.
	minRevision, platformRevision model.Revision
	view                          view.View
	bundle                        spread.Bundle
	digest                        digest
	digestAt                      time.Time
	live                          bool
	paused                        bool
	pausedAt                      time.Time
	tickScheduled                 bool // a tick is queued for the current time
	wakeAt                        time.Time
	watchID                       int // changes with each start and stop of the watch
	pendingReplies                map[uint64]func(any)
	lastRequestID                 uint64
}

func newSim(seed uint64, domains, hosts int) *sim {
	s := &sim{
		now: epoch, random: rand.New(rand.NewPCG(seed, 1)), nodes: map[model.HostID]*node{},
		addresses: map[model.Address]model.HostID{}, partitioned: map[model.HostID]bool{}, platformUnreachable: map[model.HostID]bool{},
		bundleHeld: func(*node, spread.Bundle) {}, published: func(*node, view.View) {}, resumed: func(*node) {},
	}
	s.platform = newPlatform(s)
	for i := range hosts {
		s.hosts = append(s.hosts, model.Host{
			ID: model.HostID(fmt.Sprintf("host-%03d", i)), Peer: model.Address(fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)),
			Entry: model.Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)), Region: "sindh",
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		})
		s.addresses[s.hosts[i].Peer] = s.hosts[i].ID
	}
	return s
}

// after schedules a function.
func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, timedEvent{at: s.now.Add(d), seq: s.seq, run: run})
}

// run advances the clock and runs what is due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(timedEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

// start starts a new process of a host, which knows only some seeds.
func (s *sim) start(h model.Host) *node {
	n := &node{
		host: h, startedAt: s.now, live: true, pendingReplies: map[uint64]func(any){},
		world:  ctrl.NewWorld(h, uint64(s.now.UnixMilli())),
		digest: digest{PlatformAge: -1, SettingsAge: -1, FleetAge: -1}, view: view.New(),
	}
	n.world.Random = rand.New(rand.NewPCG(s.random.Uint64(), 2))
	n.world.Member.Random = rand.New(rand.NewPCG(s.random.Uint64(), 3))
	n.world.Spread.Random = rand.New(rand.NewPCG(s.random.Uint64(), 4))
	for _, i := range s.random.Perm(len(s.hosts))[:min(3, len(s.hosts))] {
		n.world.Member.Seeds = append(n.world.Member.Seeds, s.hosts[i].Peer)
	}
	n.minRevision, n.platformRevision = s.minRevision(h.ID), s.platform.bundle.Revision
	s.nodes[h.ID] = n
	s.tick(n)
	return n
}

func (s *sim) startAll() {
	for _, h := range s.hosts {
		s.after(s.jitter(50*time.Millisecond), func() { s.start(h) })
	}
}

// stop ends a host's process without a graceful shutdown.
func (s *sim) stop(id model.HostID) {
	if n := s.nodes[id]; n != nil {
		n.live = false
		s.platform.unwatch(n)
	}
}

func (s *sim) setPaused(id model.HostID, paused bool) {
	n := s.nodes[id]
	if n == nil || !n.live || n.paused == paused {
		return
	}
	n.paused = paused
	if paused {
		n.pausedAt = s.now
		return
	}
	s.tick(n)
	s.resumed(n)
}

// send delivers an event to a node, which ticks at the same simulated time unless
// it is paused.
func (s *sim) send(n *node, e ctrl.Event) {
	if !n.live {
		return
	}
	n.inbox = append(n.inbox, e)
	if !n.paused && !n.tickScheduled {
		n.tickScheduled = true
		s.after(0, func() { n.tickScheduled = false; s.tick(n) })
	}
}

func (s *sim) tick(n *node) {
	if !n.live || n.paused {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, c := range n.world.Tick(s.now, inbox) {
		s.execute(n, c)
	}
	next := n.world.Next()
	if next.IsZero() || next.Equal(n.wakeAt) {
		return
	}
	n.wakeAt = next
	s.after(max(next.Sub(s.now), 0), func() {
		if n.wakeAt.Equal(next) {
			n.wakeAt = time.Time{}
			s.tick(n)
		}
	})
}

func (s *sim) execute(n *node, c ctrl.Command) {
	switch c := c.(type) {
	case ctrl.Publish:
		s.published(n, c.View)
		n.view = c.View
	case ctrl.ServeBundle:
		s.bundleHeld(n, c.Bundle)
		n.bundle = c.Bundle
	case ctrl.Watch:
		s.platform.watch(n)
	case ctrl.Unwatch:
		s.platform.unwatch(n)
	case ctrl.ReadPlatform:
		s.platform.read(n, c.StartedAt)
	case ctrl.AnswerProbe:
		n.digest, n.digestAt = digest(c.Gossip.Digest), s.now
		s.answer(n, c.ID, c)
	case ctrl.AnswerMembers:
		s.answer(n, c.ID, c)
	case ctrl.SendProbe:
		s.sendProbe(n, c)
	case ctrl.FetchMembers:
		s.call(n, c.From.Peer, 2*time.Second, c.Self, func(to *node, request any, reply func(any)) {
			s.sendRequest(to, reply, func(id uint64) ctrl.Event {
				return ctrl.MemberEvent{Event: member.MembersRequested{ID: id, From: request.(model.Member)}}
			})
		}, func(response any) {
			if a, ok := response.(ctrl.AnswerMembers); ok {
				s.send(n, ctrl.MemberEvent{Event: member.MembersReceived{Members: a.Members}})
			}
		})
	case ctrl.PushTo:
		n.digest, n.digestAt = digest(c.Gossip.Digest), s.now
		s.call(n, c.Peer.Peer, 500*time.Millisecond, c.Gossip, func(to *node, request any, reply func(any)) {
			s.send(to, ctrl.Pushed{Gossip: request.(ctrl.Gossip)})
			reply(struct{}{})
		}, func(any) {})
	case ctrl.PullFrom:
		s.sendPull(n, c)
	}
}

func (s *sim) sendProbe(n *node, c ctrl.SendProbe) {
	timeout := member.DefaultProbeTimeout
	if c.Target != "" {
		timeout *= 2
	}
	s.call(n, c.To.Peer, timeout, c.Gossip, func(to *node, request any, reply func(any)) {
		s.sendRequest(to, reply, func(id uint64) ctrl.Event {
			return ctrl.Probed{ID: id, Target: c.Target, Gossip: request.(ctrl.Gossip)}
		})
	}, func(response any) {
		if a, ok := response.(ctrl.AnswerProbe); ok {
			s.send(n, ctrl.Acked{ID: c.ID, Reached: a.Reached, Gossip: a.Gossip})
		} else {
			s.send(n, ctrl.MemberEvent{Event: member.ProbeFailed{ID: c.ID}})
		}
	})
}

// digest is the latest digest of a host.
type digest spread.Digest

// aged returns the digest with its ages increased by the time passed.
func (d digest) aged(elapsed time.Duration) spread.Digest {
	for _, age := range []*int64{&d.PlatformAge, &d.SettingsAge, &d.FleetAge} {
		if *age >= 0 {
			*age += elapsed.Milliseconds()
		}
	}
	return spread.Digest(d)
}

// pullResult is the answer to a pull.
type pullResult struct {
	bundle, base spread.Bundle
	digest       spread.Digest
}

func (s *sim) sendPull(n *node, c ctrl.PullFrom) {
	base := n.bundle
	s.call(n, c.Peer.Peer, 2*time.Second, base, func(to *node, _ any, reply func(any)) {
		d := to.digest.aged(s.now.Sub(to.digestAt))
		d.Revision, d.IndexVersion, d.LeavingStamp = to.bundle.Revision, to.bundle.IndexVersion, to.bundle.Leaving.Stamp
		reply(pullResult{bundle: to.bundle, base: base, digest: d})
	}, func(response any) {
		if p, ok := response.(pullResult); ok {
			s.send(n, ctrl.SpreadEvent{Event: spread.ObjectsLoaded{
				From: c.Peer.ID, Bundle: p.bundle, Tree: tree.New(), Digest: p.digest, StartedAt: c.StartedAt,
			}})
		} else {
			s.send(n, ctrl.SpreadEvent{Event: spread.LoadFailed{From: c.Peer.ID, Reason: "call failed"}})
		}
	})
}

// sendRequest sends an event with a new ID and replies with the command that
// answers it.
func (s *sim) sendRequest(n *node, reply func(any), event func(uint64) ctrl.Event) {
	n.lastRequestID++
	n.pendingReplies[n.lastRequestID] = reply
	s.send(n, event(n.lastRequestID))
}

func (s *sim) answer(n *node, id uint64, c any) {
	if reply, ok := n.pendingReplies[id]; ok {
		delete(n.pendingReplies, id)
		reply(c)
	}
}

// call sends a request and its response over the network. The caller gets nil if
// no response arrives in time.
func (s *sim) call(from *node, address model.Address, timeout time.Duration, request any,
	serve func(to *node, request any, reply func(any)), done func(any),
) {
	finished := false
	finish := func(response any) {
		if !finished {
			finished = true
			done(response)
		}
	}
	s.after(timeout, func() { finish(nil) })
	to := s.hostAt(address)
	s.transmit(from.host.ID, to, request, func(request any) {
		n := s.nodes[to]
		if n == nil || !n.live {
			return
		}
		serve(n, request, func(response any) {
			s.transmit(to, from.host.ID, response, finish)
		})
	})
}

func (s *sim) hostAt(a model.Address) model.HostID {
	return s.addresses[a]
}

// transmit delivers a message zero to two times.
func (s *sim) transmit(from, to model.HostID, message any, deliver func(any)) {
	size := 0
	if s.encode != nil {
		message, size = s.encode(message)
	}
	s.messages++
	s.bytes += size
	copies := 1
	if s.random.Float64() < s.duplication {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.loss {
			continue
		}
		delay := 300*time.Microsecond + s.jitter(700*time.Microsecond)
		if s.domain(from) != s.domain(to) {
			delay += 4500 * time.Microsecond
		}
		if s.random.Float64() < s.delaySpike {
			delay += s.jitter(400 * time.Millisecond)
		}
		s.after(delay, func() {
			if s.partitioned[from] == s.partitioned[to] {
				deliver(message)
			}
		})
	}
}

func (s *sim) domain(id model.HostID) model.FailureDomain {
	if n := s.nodes[id]; n != nil {
		return n.host.FailureDomain
	}
	return ""
}
