package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// Settings of the property tests; the lease is the shortest valid one.
const (
	testLease      = 5 * time.Second
	testTTL        = time.Second
	testMaxTimeout = 500 * time.Millisecond
	testStep       = 25 * time.Millisecond
	// reportInterval is the interval between probes, and maxConsecutiveLost the
	// maximum number of consecutive lost probes. Together they keep every report
	// younger than a twelfth of a lease.
	reportInterval     = 100 * time.Millisecond
	maxConsecutiveLost = 2
)

// cluster simulates a platform and hosts, each with a world, under faults.
type cluster struct {
	random   *rand.Rand
	now      time.Time
	caps     map[model.ServiceName]int
	settings tree.Tree
	objects  map[model.ServiceName][]model.Seats
	version  uint64
	// lease is the longest lease that was in force.
	lease     time.Duration
	hosts     []*process
	lastNonce uint64
	down      bool
	// lostReply, lateWrite and staleRead are the probabilities of these faults.
	lostReply, lateWrite, staleRead float64
	delayed                         []delayedAction
	nextReport                      time.Time
	lostReports                     map[string]int
}

// process is one run of the daemon on a host.
type process struct {
	member model.Member
	world  *World
	inbox  []Event
	view   Assigned
	// skew is the offset of the host's clock.
	skew            time.Duration
	paused          bool
	noPlatform      bool // cannot reach the platform
	isolated        bool // cannot reach the platform or its peers
	crashed         bool
	leaving         bool
	platformContact time.Time
}

// delayedAction is an action that runs at a given time.
type delayedAction struct {
	at  time.Time
	run func()
}

func newCluster(seed uint64, t tree.Tree, caps map[model.ServiceName]int) *cluster {
	return &cluster{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, settings: t, caps: caps, lease: testLease,
		objects: map[model.ServiceName][]model.Seats{}, lostReports: map[string]int{},
	}
}

func (c *cluster) chance(p float64) bool { return c.random.Float64() < p }

func (c *cluster) delay(maxDelay time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(maxDelay)))
}

// schedule runs an action after a delay.
func (c *cluster) schedule(after time.Duration, run func()) {
	c.delayed = append(c.delayed, delayedAction{c.now.Add(after), run})
}

// join starts a process on a host. An earlier process may have run on the same
// host.
func (c *cluster) join(n, domains int) {
	c.lastNonce++
	m := newMember(n, domains).WithIncarnation(c.lastNonce)
	p := &process{
		member: m, world: NewWorld(m.Host.ID, c.lastNonce*7919),
		skew: time.Duration(c.random.Int64N(int64(time.Hour))),
	}
	var indexes []model.Index
	for _, sv := range slices.Sorted(maps.Keys(c.caps)) {
		indexes = append(indexes, newIndex(string(sv), c.caps[sv]))
	}
	p.inbox = []Event{SettingsChanged{c.settings}, IndexesChanged{indexes}}
	for _, q := range c.hosts {
		if !q.crashed {
			p.inbox = append(p.inbox, MembersChanged{[]model.Member{q.member}})
		}
	}
	c.hosts = append(c.hosts, p)
	c.broadcastMember(m)
}

// broadcastMember reports a change of a member to each host after a random
// delay. Isolated and paused hosts do not receive it.
func (c *cluster) broadcastMember(m model.Member) {
	for _, p := range c.hosts {
		c.schedule(c.delay(2*time.Second), func() {
			if !p.isolated && !p.paused {
				p.inbox = append(p.inbox, MembersChanged{[]model.Member{m}})
			}
		})
	}
}

func (c *cluster) adopt(t tree.Tree) {
	c.settings = t
	for _, p := range c.hosts {
		c.schedule(c.delay(3*time.Second), func() { p.inbox = append(p.inbox, SettingsChanged{t}) })
	}
}

// live returns the running processes of host n, or of all hosts if n is
// negative.
func (c *cluster) live(n int) []*process {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(p *process) bool {
		return p.crashed || (n >= 0 && p.member.Host.ID != newMember(n, 1).Host.ID)
	})
}

func (c *cluster) advance(d time.Duration) error {
	for to := c.now.Add(d); c.now.Before(to); {
		c.now = c.now.Add(testStep)
		actions := c.delayed
		c.delayed = nil
		for _, a := range actions {
			if a.at.After(c.now) {
				c.delayed = append(c.delayed, a)
				continue
			}
			a.run()
		}
		c.report()
		for _, p := range c.hosts {
			c.tick(p)
		}
		if err := c.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) tick(p *process) {
	local := c.now.Add(p.skew)
	due := p.world.Next()
	if p.paused || p.crashed || len(p.inbox) == 0 && (due.IsZero() || due.After(local)) {
		return
	}
	inbox := p.inbox
	p.inbox = nil
	for _, cm := range p.world.Tick(local, inbox) {
		switch command := cm.(type) {
		case Assigned:
			p.view = command
		case ReadSeats:
			c.read(p, command.Service)
		case WriteSeats:
			c.write(p, command.Seats)
		case Released:
			p.crashed = true // the drained process ends
		}
	}
}

func (c *cluster) reachable(p *process) bool { return !c.down && !p.noPlatform && !p.isolated }

func (c *cluster) reply(p *process, e Event) {
	c.schedule(c.delay(100*time.Millisecond), func() {
		p.inbox = append(p.inbox, e)
	})
}

func (c *cluster) read(p *process, name model.ServiceName) {
	c.schedule(c.delay(100*time.Millisecond), func() {
		if !c.reachable(p) {
			c.reply(p, SeatsRead{Service: name, Failed: true})
			return
		}
		p.platformContact = c.now
		versions := c.objects[name]
		s := model.Seats{Service: name}
		if n := len(versions); n > 0 {
			s = versions[n-1]
			if c.chance(c.staleRead) {
				s = versions[max(0, n-1-c.random.IntN(4))]
			}
		}
		c.reply(p, SeatsRead{Service: name, Seats: s})
	})
}

func (c *cluster) write(p *process, s model.Seats) {
	after := c.delay(100 * time.Millisecond)
	if c.chance(c.lateWrite) {
		// The caller times out; the write arrives much later.
		c.reply(p, SeatsWritten{Service: s.Service, Result: model.WriteUnknown})
		c.schedule(c.delay(testLease), func() { c.apply(s) })
		return
	}
	c.schedule(after, func() {
		if !c.reachable(p) {
			c.reply(p, SeatsWritten{Service: s.Service, Result: model.WriteFailed})
			return
		}
		p.platformContact = c.now
		version, ok := c.apply(s)
		switch {
		case c.chance(c.lostReply):
			c.reply(p, SeatsWritten{Service: s.Service, Result: model.WriteUnknown})
		case ok:
			c.reply(p, SeatsWritten{Service: s.Service, Result: model.WriteAccepted, Version: version})
		default:
			c.reply(p, SeatsWritten{Service: s.Service, Result: model.WriteConflict})
		}
	})
}

func (c *cluster) apply(s model.Seats) (uint64, bool) {
	versions := c.objects[s.Service]
	var current uint64
	if n := len(versions); n > 0 {
		current = versions[n-1].Version
	}
	if s.Version != current {
		return 0, false
	}
	c.version++
	s.Version = c.version
	s.Rows = slices.Clone(s.Rows)
	c.objects[s.Service] = append(versions, s)
	return c.version, true
}

// report exchanges between every pair of hosts the latest known time of contact
// with the platform.
func (c *cluster) report() {
	if c.now.Before(c.nextReport) {
		return
	}
	c.nextReport = c.now.Add(reportInterval)
	connected := func(p *process) bool { return !p.crashed && !p.paused && !p.isolated }
	for _, p := range c.hosts {
		for _, q := range c.hosts {
			if p == q || !connected(p) || !connected(q) {
				continue
			}
			pair := fmt.Sprintf("%p %p", p, q)
			if c.chance(0.2) && c.lostReports[pair] < maxConsecutiveLost {
				c.lostReports[pair]++
				continue
			}
			c.lostReports[pair] = 0
			p.platformContact = latest(p.platformContact, q.platformContact)
			e := PlatformContactReported{From: q.member.Host.ID, ProbeSentAt: c.now.Add(p.skew)}
			if !p.platformContact.IsZero() {
				e.ContactAt = p.platformContact.Add(p.skew)
			}
			p.inbox = append(p.inbox, e)
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// check verifies that the connections granted to all processes stay within the
// smallest connection cap of the searchers. A grant ends by the clock of its
// holder, even while the holder is paused.
func (c *cluster) check() error {
	for n, cc := range c.caps {
		sum := 0
		for _, p := range c.hosts {
			o, ok := p.view.Owned[n]
			if ok && !p.crashed && c.now.Add(p.skew).Before(o.Until) {
				sum += o.Connections
			}
		}
		if sum > cc {
			return fmt.Errorf("%v: %d connections are granted for %s, cap %d: %s", c.now.Sub(start), sum, n, cc, c.dump(n))
		}
	}
	return nil
}

func (c *cluster) dump(name model.ServiceName) string {
	out := ""
	for _, p := range c.hosts {
		if o, ok := p.view.Owned[name]; ok {
			out += fmt.Sprintf("\n  %s nonce %d: %d until %v (paused %v, no platform %v, isolated %v, crashed %v)", p.member.Host.ID, p.world.nonce,
				o.Connections, o.Until.Add(-p.skew).Sub(start), p.paused, p.noPlatform, p.isolated, p.crashed)
		}
	}
	for _, s := range c.objects[name][max(0, len(c.objects[name])-4):] {
		out += fmt.Sprintf("\n  version %d: %v", s.Version, s.Rows)
	}
	return out
}

// owners returns the hosts that run a service.
func (c *cluster) owners(name model.ServiceName) []model.HostID {
	var list []model.HostID
	for _, p := range c.live(-1) {
		if o, ok := p.view.Owned[name]; ok && c.now.Add(p.skew).Before(o.Until) {
			list = append(list, p.member.Host.ID)
		}
	}
	slices.Sort(list)
	return list
}
