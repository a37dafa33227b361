package claim

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/stand/fuzz"
)

// TestMain fixes the seed of the property tests unless a flag sets another.
func TestMain(m *testing.M) {
	os.Exit(fuzz.Main(m, fuzz.Preset{Seed: "20261204", Checks: "300", LongChecks: "30000"}))
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// outcome is how a simulated platform call or dispatch ends.
type outcome uint8

const (
	succeeds outcome = iota
	// lostAfter takes effect, but its reply is lost.
	lostAfter
	// lostBefore has no effect, and its reply is lost.
	lostBefore
	// lostLate takes effect at an arbitrary later time, and its reply is lost.
	lostLate
	// fails has no effect and reports it.
	fails
	// stale returns an earlier version.
	stale
)

// pendingOp is a command that was emitted but not yet performed.
type pendingOp struct {
	host        *host
	incarnation int
	command     Command
}

// host is a simulated entry host with its own clock.
type host struct {
	world       *World
	name        model.HostID
	incarnation int
	clockOffset time.Duration
	paused      bool
	queue       []Event
}

type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// simulation runs several worlds against one model of the platform and the
// searchers. It checks the guarantees of the package at every step.
type simulation struct {
	test         fataler
	now          time.Time
	view         view.View
	hosts        []*host
	ops          []pendingOp
	delayedCalls []func()
	objects      map[PartitionNumber][]Partition
	version      uint64
	reads        int
	writes       int

	lastRequest int
	requests    map[model.RequestID]model.KeyedRequest
	answers     map[model.RequestID]model.KeyedAnswer
	executed    map[Key]model.RequestID
	// claimedAt is when the platform accepted the claim of a request.
	claimedAt map[model.RequestID]time.Time
	results   map[Key]string
}

func newSimulation(t fataler, hosts int) *simulation {
	s := &simulation{
		test: t, now: startTime, objects: map[PartitionNumber][]Partition{}, requests: map[model.RequestID]model.KeyedRequest{},
		answers: map[model.RequestID]model.KeyedAnswer{}, executed: map[Key]model.RequestID{},
		claimedAt: map[model.RequestID]time.Time{}, results: map[Key]string{},
	}
	settings, err := tree.FromNodes([]tree.Node{{Path: tree.Root}, {Path: "/acme"}, {Path: "/acme/orders"}})
	if err != nil {
		t.Fatalf("%v", err)
	}
	s.view = view.New().WithSettings(3, settings).WithReady(true, "").WithIndexes(testIndex())
	for i := range hosts {
		h := &host{name: model.HostID(fmt.Sprintf("host-%d", i))}
		s.hosts = append(s.hosts, h)
		s.restart(h)
	}
	return s
}

func testIndex(leaving ...model.SearcherID) model.Index {
	x := model.Index{Service: "orders"}
	for _, id := range []model.SearcherID{"n0", "n1"} {
		x.Searchers = append(x.Searchers, model.Searcher{ID: id, Slots: 2}.WithLeaving(slices.Contains(leaving, id)))
	}
	return x
}

// restart replaces the world of a host by an empty one.
func (s *simulation) restart(h *host) {
	h.world, h.queue, h.paused = NewWorld(h.name, "domain"), nil, false
	h.world.Size = func(c Claim) int { return 300 + len(c.Result)*4/3 }
	h.incarnation++
	s.deliver(h, ViewChanged{s.view})
}

func (s *simulation) clock(h *host) time.Time { return s.now.Add(h.clockOffset) }

func (s *simulation) deliver(h *host, events ...Event) {
	h.queue = append(h.queue, events...)
	if !h.paused {
		s.tick(h)
	}
}

func (s *simulation) tick(h *host) {
	events := h.queue
	h.queue = nil
	for _, c := range h.world.Tick(s.clock(h), events) {
		switch c := c.(type) {
		case Resolve:
			s.receiveAnswer(c)
		case Idle:
		default:
			s.ops = append(s.ops, pendingOp{h, h.incarnation, c})
		}
	}
	if next := h.world.Next(); !next.IsZero() && !next.After(s.clock(h)) {
		s.test.Fatalf("%s requests a tick at %s, which is not in the future and would cause a busy loop", h.name, next)
	}
}

func (s *simulation) receiveAnswer(c Resolve) {
	if _, duplicate := s.answers[c.Request]; duplicate {
		s.test.Fatalf("request %s was answered twice", c.Request)
	}
	r, ok := s.requests[c.Request]
	if !ok {
		s.test.Fatalf("request %s was answered but never submitted", c.Request)
	}
	s.answers[c.Request] = c.Answer
	by, ran := s.executed[KeyOf(r)]
	if c.Answer.Refusal != nil {
		if c.Answer.Refusal.Execution == model.NotRun && ran && by == c.Request {
			s.test.Fatalf("request %s ran and was refused as %v", c.Request, c.Answer.Refusal)
		}
		return
	}
	if !ran {
		s.test.Fatalf("request %s succeeded, but its key never ran", c.Request)
	}
	if want := resultOf(KeyOf(r), by); string(c.Answer.Result) != want {
		s.test.Fatalf("request %s got the result %q, want %q", c.Request, c.Answer.Result, want)
	}
}

func resultOf(k Key, by model.RequestID) string { return fmt.Sprintf("done %s by %s", k.Name, by) }

// submit sends a request with a key to a host.
func (s *simulation) submit(h *host, key string, issued time.Time, body string, timeout time.Duration) model.RequestID {
	s.lastRequest++
	id := model.RequestID(fmt.Sprintf("r%d", s.lastRequest))
	r := model.NewKeyedRequest(id, "acme", "orders", key, issued).WithBody([]byte(body)).WithDeadline(s.clock(h).Add(timeout))
	s.requests[id] = r
	s.deliver(h, Submitted{r})
	return id
}

// advance moves the clock and ticks every host with a due deadline.
func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, h := range s.hosts {
		if next := h.world.Next(); !h.paused && !next.IsZero() && !next.After(s.clock(h)) {
			s.tick(h)
		}
	}
}

// perform removes a pending operation and performs it.
func (s *simulation) perform(i int, how outcome) {
	o := s.ops[i]
	s.ops = slices.Delete(s.ops, i, i+1)
	var e Event
	switch c := o.command.(type) {
	case ReadPartition:
		e = s.read(c, how)
	case WritePartition:
		e = s.write(c, how)
	case Send:
		e = s.send(o, c, how)
	}
	if o.incarnation == o.host.incarnation {
		s.deliver(o.host, e)
	}
}

func (s *simulation) current(n PartitionNumber) Partition {
	if list := s.objects[n]; len(list) > 0 {
		return list[len(list)-1]
	}
	return Partition{Number: n}
}

func (s *simulation) read(c ReadPartition, how outcome) Event {
	s.reads++
	switch list := s.objects[c.Number]; {
	case how == stale && len(list) > 1:
		return ReadDone{Number: c.Number, Partition: list[len(list)-2]}
	case how == stale && len(list) == 1:
		return ReadDone{Number: c.Number, Partition: Partition{Number: c.Number}}
	case how == succeeds || how == stale:
		return ReadDone{Number: c.Number, Partition: s.current(c.Number)}
	default:
		return ReadDone{Number: c.Number, Failed: true}
	}
}

func (s *simulation) write(c WritePartition, how outcome) Event {
	s.writes++
	n := c.Partition.Number
	switch how {
	case fails:
		return WriteDone{Number: n, Result: model.WriteFailed}
	case lostBefore:
		return WriteDone{Number: n, Result: model.WriteUnknown}
	case lostLate:
		s.delayedCalls = append(s.delayedCalls, func() { s.apply(c.Partition) })
		return WriteDone{Number: n, Result: model.WriteUnknown}
	case lostAfter:
		s.apply(c.Partition)
		return WriteDone{Number: n, Result: model.WriteUnknown}
	default:
		if !s.apply(c.Partition) {
			return WriteDone{Number: n, Result: model.WriteConflict}
		}
		return WriteDone{Number: n, Result: model.WriteAccepted, Version: s.version}
	}
}

// apply performs the platform's conditional update. It checks that no recorded
// outcome changes.
func (s *simulation) apply(p Partition) bool {
	before := s.current(p.Number)
	if before.Version != p.Version {
		return false
	}
	for _, o := range before.Claims() {
		now, ok := p.Claim(o.Key)
		switch {
		case !ok && !o.Issued.After(p.Floor): // removed by compaction
		case !ok && (o.State != Held || s.executed[o.Key] == o.Nonce):
			s.test.Fatalf("the claim %+v was removed after it ran", o)
		case ok && o.State != Held && (now.State != o.State || string(now.Result) != string(o.Result)):
			s.test.Fatalf("the recorded outcome %+v changed to %+v", o, now)
		}
	}
	for _, c := range p.Claims() {
		if _, ok := before.Claim(c.Key); !ok {
			s.claimedAt[c.Nonce] = s.now
		}
	}
	s.version++
	s.objects[p.Number] = append(s.objects[p.Number], p.WithVersion(s.version))
	return true
}

// send performs a dispatch like the daemon, which does not start it after
// NotAfter.
func (s *simulation) send(o pendingOp, c Send, how outcome) Event {
	e := SendDone{Request: c.Request, Failure: model.FailureLost}
	now := s.clock(o.host)
	switch {
	case now.After(c.NotAfter) || !now.Before(c.Deadline):
		e.Failure, e.NotStarted = model.FailureDeadline, true
	case how == fails || how == stale:
		e.Failure, e.NotStarted = model.FailureShed, true
	case how == lostBefore:
	case how == lostLate:
		s.delayedCalls = append(s.delayedCalls, func() { s.execute(c, false) })
	case how == lostAfter:
		s.execute(c, true)
	default:
		s.execute(c, true)
		e.Completed, e.Result = true, []byte(resultOf(KeyOf(c.Request), c.Request.ID))
	}
	return e
}

// execute runs a request on a searcher. prompt is unset if the request was
// delayed in the network after the dispatch.
func (s *simulation) execute(c Send, prompt bool) {
	key, id := KeyOf(c.Request), c.Request.ID
	if by, ran := s.executed[key]; ran {
		s.test.Fatalf("key %s ran twice, by %s and %s", key.Name, by, id)
	}
	if a, ok := s.answers[id]; ok && a.Refusal != nil && a.Refusal.Execution == model.NotRun {
		s.test.Fatalf("request %s ran after it was refused as %v", id, a.Refusal)
	}
	at, ok := s.claimedAt[id]
	if !ok {
		s.test.Fatalf("request %s ran without a claim", id)
	}
	if prompt && s.now.Sub(at) > MaxDispatchDelay {
		s.test.Fatalf("request %s was dispatched %s after its claim", id, s.now.Sub(at))
	}
	s.executed[key] = id
}

// run performs all operations without faults until the given time has passed.
func (s *simulation) run(d time.Duration) {
	const step = time.Millisecond
	for to := s.now.Add(d); ; {
		for len(s.ops) > 0 {
			s.perform(0, succeeds)
		}
		if !s.now.Before(to) {
			return
		}
		s.advance(step)
	}
}

// onlyPending returns the index of the single pending operation of a type.
func onlyPending[C Command](s *simulation) int {
	s.test.Helper()
	found := -1
	for i, o := range s.ops {
		if _, ok := o.command.(C); ok {
			if found >= 0 {
				s.test.Fatalf("more than one pending operation of the type: %+v", s.ops)
			}
			found = i
		}
	}
	if found < 0 {
		s.test.Fatalf("no pending operation of the type: %+v", s.ops)
	}
	return found
}
