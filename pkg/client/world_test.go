package client

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
)

var start = time.Unix(1_000_000, 0)

const (
	testTTL     = time.Second
	testTimeout = 2 * time.Second
	// maxImmediateTicks bounds the consecutive ticks that are due without delay.
	maxImmediateTicks = 3
	testService       = "jury-desk"
)

// phase is the lifecycle phase of a simulated entry host.
type phase int

const (
	serving phase = iota
	leaving       // no longer in address lists, still serving
	refusing
	stopped
)

// server is a simulated entry host.
type server struct {
	entry model.EntryAddress
	phase phase
	hangs bool
}

// simulation runs a client world against simulated entry hosts and counts how often
// they run each request.
type simulation struct {
	random        *rand.Rand
	world         *world
	now           time.Time
	servers       []*server
	inbox         []event
	delayed       []delayedAction
	lastID        requestID
	kinds         map[requestID]kind
	runCounts     map[requestID]int
	completions   map[requestID]completion
	attemptCounts map[requestID]int
	// lossRate, unsentRate and queueFullRate are the probabilities of each fault.
	lossRate, unsentRate, queueFullRate float64
	// immediateTicks is the number of consecutive ticks that were due without delay.
	immediateTicks int
}

// delayedAction is a message in transit.
type delayedAction struct {
	at time.Time
	do func()
}

func newSimulation(seed uint64, hosts int) *simulation {
	sm := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, kinds: map[requestID]kind{},
		runCounts: map[requestID]int{}, completions: map[requestID]completion{}, attemptCounts: map[requestID]int{},
	}
	var entries []model.Address
	for range hosts {
		entries = append(entries, sm.addServer().entry.Address)
	}
	sm.world = newWorld(entries, "", defaultRetryShare, rand.New(rand.NewPCG(seed, 2)))
	return sm
}

func (sm *simulation) addServer() *server {
	n := len(sm.servers)
	s := &server{entry: model.EntryAddress{
		Host: model.HostID(fmt.Sprintf("host-%d", n)), Address: model.Address(fmt.Sprintf("10.0.0.%d:1", n)),
		FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", n%3)), Weight: 1,
	}}
	sm.servers = append(sm.servers, s)
	return s
}

func (sm *simulation) servingAddresses() []model.EntryAddress {
	var list []model.EntryAddress
	for _, s := range sm.servers {
		if s.phase == serving {
			list = append(list, s.entry)
		}
	}
	return list
}

func (sm *simulation) afterDelay(do func()) {
	after := time.Duration(1+sm.random.IntN(40)) * time.Millisecond
	sm.delayed = append(sm.delayed, delayedAction{sm.now.Add(after), do})
}

func (sm *simulation) submit(k kind) requestID {
	sm.lastID++
	sm.kinds[sm.lastID] = k
	sm.inbox = append(sm.inbox, submitted{sm.lastID, k, testService, sm.now.Add(testTimeout)})
	return sm.lastID
}

// advance moves the clock. As in the real loop, the world ticks only for events and
// its own deadlines, so that the tests detect a request that nothing wakes.
func (sm *simulation) advance(d time.Duration) {
	end := sm.now.Add(d)
	sm.tick() // handles the submitted requests
	for {
		next := end
		for _, m := range sm.delayed {
			if m.at.Before(next) {
				next = m.at
			}
		}
		if due := sm.world.Next(); !due.IsZero() && due.Before(next) {
			next = due
		}
		if !next.Before(end) {
			sm.now = end
			return
		}
		sm.now = next
		sm.tick()
	}
}

// tick runs the actions that are due, and then one tick of the world.
func (sm *simulation) tick() {
	due := sm.delayed
	sm.delayed = nil
	for _, m := range due {
		if m.at.After(sm.now) {
			sm.delayed = append(sm.delayed, m)
			continue
		}
		m.do()
	}
	inbox := sm.inbox
	sm.inbox = nil
	for _, c := range sm.world.Tick(sm.now, inbox) {
		sm.execute(c)
	}
	if next := sm.world.Next(); !next.IsZero() && !next.After(sm.now) {
		sm.immediateTicks++
	} else {
		sm.immediateTicks = 0
	}
	if sm.immediateTicks > maxImmediateTicks {
		panic("the loop spins: too many ticks due without delay")
	}
}

func (sm *simulation) execute(c command) {
	switch c := c.(type) {
	case fetchAddresses:
		sm.fetchAddresses(c)
	case attempt:
		sm.attemptCounts[c.id]++
		sm.deliverAttempt(c)
	case completion:
		if _, duplicate := sm.completions[c.id]; duplicate {
			panic("a request was completed twice")
		}
		sm.completions[c.id] = c
	}
}

func (sm *simulation) fetchAddresses(c fetchAddresses) {
	sm.afterDelay(func() {
		i := slices.IndexFunc(sm.servers, func(s *server) bool { return s.entry.Address == c.address })
		if i < 0 || sm.servers[i].phase == stopped || sm.servers[i].hangs {
			sm.inbox = append(sm.inbox, addressesFailed{c.service, failure{reason: ReasonUnreachable, notRun: true}})
			return
		}
		sm.inbox = append(sm.inbox, addressesReceived{c.service, sm.servingAddresses(), testTTL})
	})
}

// deliverAttempt delivers a request to its host and counts it if it runs.
func (sm *simulation) deliverAttempt(c attempt) {
	fail := func(reason string, notRun bool, alternatives []model.EntryAddress) {
		sm.afterDelay(func() {
			sm.inbox = append(sm.inbox, attemptFailed{c.id, c.host, failure{reason: reason, notRun: notRun, alternatives: alternatives}})
		})
	}
	sm.afterDelay(func() {
		i := slices.IndexFunc(sm.servers, func(s *server) bool { return s.entry.Host == c.host.Host })
		s := sm.servers[i]
		switch {
		case s.hangs:
		case s.phase == stopped || sm.random.Float64() < sm.unsentRate:
			fail(ReasonUnreachable, true, nil)
		case s.phase == refusing:
			fail(string(model.ReasonDraining), true, sm.servingAddresses())
		case sm.random.Float64() < sm.queueFullRate:
			fail(string(model.ReasonQueueFull), true, nil)
		case sm.random.Float64() < sm.lossRate/2:
			fail(ReasonLost, false, nil) // the request is lost in transit
		default:
			sm.runCounts[c.id]++
			if sm.random.Float64() < sm.lossRate {
				fail(ReasonLost, false, nil)
				return
			}
			sm.afterDelay(func() { sm.inbox = append(sm.inbox, attemptReplied{c.id, c.host, c.id}) })
		}
	})
}

// Guards against a send that runs twice, a NotRun error for a request that ran, a
// reply for another request, and a request that never completes, with lost
// connections, refusals, hanging hosts and replaced hosts.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		sm.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lossRate")
		sm.unsentRate = rapid.Float64Range(0, 0.5).Draw(t, "unsentRate")
		sm.queueFullRate = rapid.Float64Range(0, 0.5).Draw(t, "queueFullRate")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := sm.servers[rapid.IntRange(0, len(sm.servers)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				s.phase = stopped
			case 1:
				s.phase = refusing
			case 2:
				sm.addServer()
			case 3:
				s.hangs = !s.hangs
			case 4, 5:
				sm.submit(kindSend)
			case 6:
				sm.submit(kindKeyedSend)
			case 7:
				sm.submit(kindSearch)
			case 8:
				id := sm.submit(kindSend)
				sm.afterDelay(func() { sm.inbox = append(sm.inbox, callerCancelled{id}) })
			}
			sm.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		sm.advance(2 * testTimeout)
		for id, k := range sm.kinds {
			c, ok := sm.completions[id]
			switch {
			case !ok:
				t.Fatalf("request %d never completed", id)
			case k == kindSend && sm.runCounts[id] > 1:
				t.Fatalf("send %d ran %d times", id, sm.runCounts[id])
			case c.err == nil && c.reply != id:
				t.Fatalf("request %d got reply %v", id, c.reply)
			case c.err != nil && c.err.Execution == NotRun && sm.runCounts[id] > 0:
				t.Fatalf("request %d ran but failed with %v", id, c.err)
			}
		}
		if w := sm.world; w.requests.Len() != 0 {
			t.Fatalf("%d requests are left in the table", w.requests.Len())
		}
	})
}

// Guards against a request that fails or runs twice during a rolling replacement, in
// which every host is drained and replaced one after another.
func TestRollingReplacementLosesNoRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(rapid.Uint64().Draw(t, "seed"), 3)
		load := func(d time.Duration) {
			for end := sm.now.Add(d); sm.now.Before(end); {
				sm.submit(rapid.SampledFrom([]kind{kindSearch, kindKeyedSend, kindSend}).Draw(t, "kind"))
				sm.advance(50 * time.Millisecond)
			}
		}
		load(100 * time.Millisecond)
		for n := range 3 {
			s := sm.servers[n]
			sm.addServer()
			s.phase = leaving
			load(testTTL + testTimeout)
			s.phase = refusing
			load(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			s.phase = stopped
			load(200 * time.Millisecond)
		}
		load(500 * time.Millisecond)
		sm.advance(testTimeout)
		for id := range sm.kinds {
			if c := sm.completions[id]; c.err != nil || c.reply != id || sm.runCounts[id] != 1 {
				t.Fatalf("request %d completed with %v, %v and ran %d times", id, c.reply, c.err, sm.runCounts[id])
			}
		}
	})
}

// Guards against searches that fail when one host crashes or hangs, although the
// retry budget covers a retry of each.
func TestCrashedHostLosesNoSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := newSimulation(rapid.Uint64().Draw(t, "seed"), 3)
		for range 30 { // fills the retry budget
			sm.submit(kindSearch)
			sm.advance(20 * time.Millisecond)
		}
		sm.advance(200 * time.Millisecond) // all have completed; the budget holds 4 retries
		s := sm.servers[rapid.IntRange(0, 2).Draw(t, "host")]
		s.hangs = rapid.Bool().Draw(t, "hangs")
		if !s.hangs {
			s.phase = stopped
		}
		for range 3 {
			sm.submit(kindSearch)
		}
		sm.advance(2 * testTimeout)
		for id := range sm.kinds {
			if c := sm.completions[id]; c.err != nil {
				t.Fatalf("search %d: %v", id, c.err)
			}
		}
	})
}

// Measures the cost of one request in the world with other requests in flight.
func BenchmarkRequest(b *testing.B) {
	for _, inFlight := range []int{0, 100, 1000} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) {
			w := newWorld([]model.Address{"10.0.0.1:1"}, "", 0.1, rand.New(rand.NewPCG(1, 2)))
			hosts := []model.EntryAddress{{Host: "a", Weight: 1}, {Host: "b", Weight: 1}}
			w.Tick(start, []event{addressesReceived{testService, hosts, time.Hour}})
			for n := range inFlight {
				w.Tick(start, []event{submitted{requestID(n), kindSearch, testService, start.Add(time.Hour)}})
			}
			for n := range b.N {
				id := requestID(inFlight + n)
				w.Tick(start, []event{submitted{id, kindSearch, testService, start.Add(time.Hour)}})
				w.Tick(start, []event{attemptReplied{id: id, host: hosts[0]}})
			}
		})
	}
}
