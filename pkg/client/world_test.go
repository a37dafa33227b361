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
	info  model.EntryAddress
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
	f := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, kinds: map[requestID]kind{},
		runCounts: map[requestID]int{}, completions: map[requestID]completion{}, attemptCounts: map[requestID]int{},
	}
	var entries []model.Address
	for range hosts {
		entries = append(entries, f.addServer().info.Address)
	}
	f.world = newWorld(entries, "", defaultRetryShare, rand.New(rand.NewPCG(seed, 2)))
	return f
}

func (f *simulation) addServer() *server {
	n := len(f.servers)
	s := &server{info: model.EntryAddress{
		Host: model.HostID(fmt.Sprintf("host-%d", n)), Address: model.Address(fmt.Sprintf("10.0.0.%d:1", n)),
		FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", n%3)), Weight: 1,
	}}
	f.servers = append(f.servers, s)
	return s
}

func (f *simulation) servingAddresses() []model.EntryAddress {
	var list []model.EntryAddress
	for _, s := range f.servers {
		if s.phase == serving {
			list = append(list, s.info)
		}
	}
	return list
}

func (f *simulation) afterDelay(do func()) {
	after := time.Duration(1+f.random.IntN(40)) * time.Millisecond
	f.delayed = append(f.delayed, delayedAction{f.now.Add(after), do})
}

func (f *simulation) submit(k kind) requestID {
	f.lastID++
	f.kinds[f.lastID] = k
	f.inbox = append(f.inbox, submitted{f.lastID, k, testService, f.now.Add(testTimeout)})
	return f.lastID
}

// advance moves the clock. As in the real loop, the world ticks only for events and
// its own deadlines, so that the tests detect a request that nothing wakes.
func (f *simulation) advance(d time.Duration) {
	end := f.now.Add(d)
	f.tick() // handles the submitted requests
	for {
		next := end
		for _, m := range f.delayed {
			if m.at.Before(next) {
				next = m.at
			}
		}
		if due := f.world.Next(); !due.IsZero() && due.Before(next) {
			next = due
		}
		if !next.Before(end) {
			f.now = end
			return
		}
		f.now = next
		f.tick()
	}
}

// tick runs the actions that are due, and then one tick of the world.
func (f *simulation) tick() {
	due := f.delayed
	f.delayed = nil
	for _, m := range due {
		if m.at.After(f.now) {
			f.delayed = append(f.delayed, m)
			continue
		}
		m.do()
	}
	inbox := f.inbox
	f.inbox = nil
	for _, c := range f.world.Tick(f.now, inbox) {
		f.execute(c)
	}
	if next := f.world.Next(); !next.IsZero() && !next.After(f.now) {
		f.immediateTicks++
	} else {
		f.immediateTicks = 0
	}
	if f.immediateTicks > maxImmediateTicks {
		panic("the loop spins: too many ticks due without delay")
	}
}

func (f *simulation) execute(c command) {
	switch c := c.(type) {
	case fetchAddresses:
		f.fetchAddresses(c)
	case attempt:
		f.attemptCounts[c.id]++
		f.deliverAttempt(c)
	case completion:
		if _, twice := f.completions[c.id]; twice {
			panic("a request was completed twice")
		}
		f.completions[c.id] = c
	}
}

func (f *simulation) fetchAddresses(c fetchAddresses) {
	f.afterDelay(func() {
		i := slices.IndexFunc(f.servers, func(s *server) bool { return s.info.Address == c.address })
		if i < 0 || f.servers[i].phase == stopped || f.servers[i].hangs {
			f.inbox = append(f.inbox, addressesFailed{c.service, failure{reason: ReasonUnreachable, notRun: true}})
			return
		}
		f.inbox = append(f.inbox, addressesReceived{c.service, f.servingAddresses(), testTTL})
	})
}

// deliverAttempt delivers a request to its host and counts it if it runs.
func (f *simulation) deliverAttempt(c attempt) {
	fail := func(reason string, notRun bool, instead []model.EntryAddress) {
		f.afterDelay(func() {
			f.inbox = append(f.inbox, attemptFailed{c.id, c.host, failure{reason: reason, notRun: notRun, alternatives: instead}})
		})
	}
	f.afterDelay(func() {
		i := slices.IndexFunc(f.servers, func(s *server) bool { return s.info.Host == c.host.Host })
		s := f.servers[i]
		switch {
		case s.hangs:
		case s.phase == stopped || f.random.Float64() < f.unsentRate:
			fail(ReasonUnreachable, true, nil)
		case s.phase == refusing:
			fail(string(model.ReasonDraining), true, f.servingAddresses())
		case f.random.Float64() < f.queueFullRate:
			fail(string(model.ReasonQueueFull), true, nil)
		case f.random.Float64() < f.lossRate/2:
			fail(ReasonLost, false, nil) // the request is lost in transit
		default:
			f.runCounts[c.id]++
			if f.random.Float64() < f.lossRate {
				fail(ReasonLost, false, nil)
				return
			}
			f.afterDelay(func() { f.inbox = append(f.inbox, attemptReplied{c.id, c.host, c.id}) })
		}
	})
}

// Guards against a send that runs twice, a NotRun error for a request that ran, a
// reply for another request, and a request that never completes, with lost
// connections, refusals, hanging hosts and replaced hosts.
func TestNothingRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "hosts"))
		f.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "lose")
		f.unsentRate = rapid.Float64Range(0, 0.5).Draw(t, "unsent")
		f.queueFullRate = rapid.Float64Range(0, 0.5).Draw(t, "full")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s := f.servers[rapid.IntRange(0, len(f.servers)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 8).Draw(t, "step") {
			case 0:
				s.phase = stopped
			case 1:
				s.phase = refusing
			case 2:
				f.addServer()
			case 3:
				s.hangs = !s.hangs
			case 4, 5:
				f.submit(kindSend)
			case 6:
				f.submit(kindKeyedSend)
			case 7:
				f.submit(kindSearch)
			case 8:
				id := f.submit(kindSend)
				f.afterDelay(func() { f.inbox = append(f.inbox, callerCancelled{id}) })
			}
			f.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
		f.advance(2 * testTimeout)
		for id, k := range f.kinds {
			end, ok := f.completions[id]
			switch {
			case !ok:
				t.Fatalf("request %d never completed", id)
			case k == kindSend && f.runCounts[id] > 1:
				t.Fatalf("send %d ran %d times", id, f.runCounts[id])
			case end.err == nil && end.reply != id:
				t.Fatalf("request %d got reply %v", id, end.reply)
			case end.err != nil && end.err.Execution == NotRun && f.runCounts[id] > 0:
				t.Fatalf("request %d ran but failed with %v", id, end.err)
			}
		}
		if w := f.world; w.requests.Len() != 0 {
			t.Fatalf("%d requests are left in the table", w.requests.Len())
		}
	})
}

// Guards against a request that fails or runs twice during a rolling replacement, in
// which every host is drained and replaced one after another.
func TestReplacingEveryHostLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulation(rapid.Uint64().Draw(t, "seed"), 3)
		load := func(d time.Duration) {
			for end := f.now.Add(d); f.now.Before(end); {
				f.submit(rapid.SampledFrom([]kind{kindSearch, kindKeyedSend, kindSend}).Draw(t, "kind"))
				f.advance(50 * time.Millisecond)
			}
		}
		load(100 * time.Millisecond)
		for n := range 3 {
			s := f.servers[n]
			f.addServer()
			s.phase = leaving
			load(testTTL + testTimeout)
			s.phase = refusing
			load(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			s.phase = stopped
			load(200 * time.Millisecond)
		}
		load(500 * time.Millisecond)
		f.advance(testTimeout)
		for id := range f.kinds {
			if end := f.completions[id]; end.err != nil || end.reply != id || f.runCounts[id] != 1 {
				t.Fatalf("request %d completed with %v, %v and ran %d times", id, end.reply, end.err, f.runCounts[id])
			}
		}
	})
}

// Guards against searches that fail when one host crashes or hangs, although the
// retry budget covers a retry of each.
func TestCrashedHostLosesNoSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulation(rapid.Uint64().Draw(t, "seed"), 3)
		for range 30 { // fills the retry budget
			f.submit(kindSearch)
			f.advance(20 * time.Millisecond)
		}
		f.advance(200 * time.Millisecond) // all have completed; the budget holds 4 retries
		s := f.servers[rapid.IntRange(0, 2).Draw(t, "host")]
		s.hangs = rapid.Bool().Draw(t, "hangs")
		if !s.hangs {
			s.phase = stopped
		}
		for range 3 {
			f.submit(kindSearch)
		}
		f.advance(2 * testTimeout)
		for id := range f.kinds {
			if end := f.completions[id]; end.err != nil {
				t.Fatalf("search %d: %v", id, end.err)
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
