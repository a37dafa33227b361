package edit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

const (
	hosts       = 3
	operators   = 4
	taskTimeout = 10 * time.Second
)

// call is a command in transit to the platform.
type call struct {
	host        int
	incarnation int // replies to calls of earlier incarnations are dropped
	command     Command
}

// operator submits one change at a time and knows only the answers it got.
type operator struct {
	change     tree.Change
	unresolved bool // the operator does not know the outcome
	waiting    bool // an answer is due
	host       int
	task       TaskID
	resolving  bool
	base       model.Revision
}

// simulation runs the worlds of several hosts against one platform.
type simulation struct {
	now          time.Time
	platform     *platform
	worlds       [hosts]*World
	incarnations [hosts]int
	calls        []call
	replies      []reply
	operators    [operators]operator
	lastTask     TaskID
	changes      int
	// refused holds the changes that an operator was told are not accepted;
	// accepted holds those it was told are accepted, with their revisions.
	refused  map[tree.ChangeID]bool
	accepted map[tree.ChangeID]model.Revision
	outcomes map[Outcome]int
}

// reply is an event in transit to a host.
type reply struct {
	host, incarnation int
	event             Event
}

func newSimulation() *simulation {
	s := &simulation{
		now: startTime, platform: newPlatform(), refused: map[tree.ChangeID]bool{},
		accepted: map[tree.ChangeID]model.Revision{}, outcomes: map[Outcome]int{},
	}
	for h := range hosts {
		s.startHost(h)
	}
	return s
}

func (s *simulation) startHost(h int) {
	s.incarnations[h]++
	s.worlds[h] = NewWorld()
	s.worlds[h].SealRecords = 3 // so that batches are written and read back
	s.worlds[h].Random = rand.New(rand.NewPCG(uint64(h), uint64(s.incarnations[h])))
}

func (s *simulation) tick(t *rapid.T, h int, inbox ...Event) {
	for _, c := range s.worlds[h].Tick(s.now, inbox) {
		switch c := c.(type) {
		case Count:
		case Respond:
			s.receiveAnswer(t, h, c)
		default:
			s.calls = append(s.calls, call{h, s.incarnations[h], c})
		}
	}
}

// receiveAnswer delivers an answer to the operator that waits for it, and
// checks it.
func (s *simulation) receiveAnswer(t *rapid.T, h int, c Respond) {
	for i, o := range s.operators {
		if !o.waiting || o.host != h || o.task != c.Task {
			continue
		}
		o.waiting = false
		s.outcomes[c.Answer.Outcome]++
		id := o.change.ID
		switch c.Answer.Outcome {
		case Accepted:
			s.accepted[id] = c.Answer.Revision
			o.unresolved, o.base = false, c.Answer.Revision
		case NotAccepted:
			s.refused[id] = true
			o.unresolved = false
			for _, f := range c.Answer.Conflicts {
				r := s.platform.history(t)[f.Revision-1]
				if r.Change.Author != f.Author || !slices.Contains(r.Change.Edits, f.Edit) {
					t.Fatalf("conflict %v is not in the history", f)
				}
			}
		}
		s.operators[i] = o
	}
}

// submit makes an idle operator submit a change.
func (s *simulation) submit(t *rapid.T) {
	i := rapid.IntRange(0, operators-1).Draw(t, "operator")
	if o := s.operators[i]; o.unresolved || o.waiting {
		return
	}
	o := &s.operators[i]
	if rapid.Bool().Draw(t, "refreshes") {
		o.base = s.platform.head().Revision
	}
	s.changes++
	o.change = tree.Change{
		ID: tree.ChangeID(fmt.Sprint("change-", s.changes)), Author: fmt.Sprint("operator-", i), Reason: "test",
		Base: o.base, Edits: drawEdits(t, s.tree(t)),
	}
	o.unresolved = true
	s.send(t, i, false, false)
}

// tree returns the tree on the platform.
func (s *simulation) tree(t *rapid.T) tree.Tree {
	now, err := tree.Replay(s.platform.history(t))
	if err != nil {
		t.Fatalf("history does not replay: %v", err)
	}
	return now
}

// resubmit makes an operator with an unresolved change submit it again or ask
// for its outcome.
func (s *simulation) resubmit(t *rapid.T) {
	i := rapid.IntRange(0, operators-1).Draw(t, "operator")
	if o := s.operators[i]; o.unresolved && !o.waiting {
		s.send(t, i, true, rapid.Bool().Draw(t, "asks"))
	}
}

func (s *simulation) send(t *rapid.T, i int, repeated, resolve bool) {
	o := &s.operators[i]
	s.lastTask++
	o.host, o.task, o.waiting, o.resolving = rapid.IntRange(0, hosts-1).Draw(t, "host"), s.lastTask, true, resolve
	if resolve {
		s.tick(t, o.host, OutcomeRequested{Task: s.lastTask, ChangeID: o.change.ID, Base: o.change.Base, Deadline: s.now.Add(taskTimeout)})
		return
	}
	s.tick(t, o.host, Submitted{Task: s.lastTask, Change: o.change, Deadline: s.now.Add(taskTimeout), Repeated: repeated})
}

// stopWaiting makes an operator stop waiting, so that it does not receive the
// answer.
func (s *simulation) stopWaiting(t *rapid.T) {
	if i := rapid.IntRange(0, 4*operators).Draw(t, "operator"); i < operators {
		s.operators[i].waiting = false
	}
}

// restart drops the state of a host. Its calls stay in transit.
func (s *simulation) restart(t *rapid.T) {
	h := rapid.IntRange(0, 6*hosts).Draw(t, "host")
	if h >= hosts {
		return
	}
	s.startHost(h)
	for i := range s.operators {
		if s.operators[i].host == h {
			s.operators[i].waiting = false
		}
	}
}

// perform performs a pending call, sometimes with a fault. Calls are performed
// in any order, so some are delayed for long.
func (s *simulation) perform(t *rapid.T, faults bool) {
	if len(s.calls) == 0 {
		return
	}
	i := 0
	fault := ""
	if faults {
		i = rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
		fault = rapid.SampledFrom([]string{
			"", "", "", "", "", "", "", "", "", "", "", "", "", "", "", "", "", "",
			"unavailable", "lostReply", "lostReply", "lostCall", "lostCall", "stale", "stale",
		}).Draw(t, "fault")
	}
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	if s.platform.down {
		fault = "unavailable"
	}
	var e Event
	switch {
	case fault == "unavailable":
		e = replyWithResult(c.command, ResultUnavailable)
	case !isWrite(c.command):
		at := s.platform.version()
		if fault == "stale" {
			at = rapid.Uint64Range(0, at).Draw(t, "version")
		}
		e = s.platform.read(c.command, at)
	case fault == "lostReply":
		s.platform.write(c.command)
		e = replyWithResult(c.command, ResultUnknown)
	case fault == "lostCall":
		e = replyWithResult(c.command, ResultUnknown)
		if rapid.Bool().Draw(t, "late") {
			// The write takes effect later; its reply is dropped because no
			// incarnation is numbered 0.
			s.calls = append(s.calls, call{c.host, 0, c.command})
		}
	default:
		e = s.platform.write(c.command)
	}
	s.replies = append(s.replies, reply{c.host, c.incarnation, e})
}

func (s *simulation) deliver(t *rapid.T) {
	if len(s.replies) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.replies)-1).Draw(t, "reply")
	r := s.replies[i]
	if rapid.IntRange(0, 9).Draw(t, "twice") < 9 {
		s.replies = slices.Delete(s.replies, i, i+1) // otherwise it is delivered again later
	}
	if r.incarnation == s.incarnations[r.host] {
		s.tick(t, r.host, r.event)
	}
}

// advance moves the clock and ticks every host with a due deadline.
func (s *simulation) advance(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 5, 10, 20, 50, 100, 200, 500, 2000}).Draw(t, "ms")
	s.now = s.now.Add(time.Duration(ms) * time.Millisecond)
	for h := range hosts {
		if next := s.worlds[h].Next(); !next.IsZero() && !next.After(s.now) {
			s.tick(t, h)
		}
	}
}

// check compares the history with the answers that operators got.
func (s *simulation) check(t *rapid.T) {
	s.platform.check(t)
	records := s.platform.history(t)
	for _, r := range records {
		if s.refused[r.Change.ID] {
			t.Fatalf("change %s is in the history, but its operator was told that it is not accepted", r.Change.ID)
		}
	}
	for id, rv := range s.accepted {
		if int(rv) > len(records) || records[rv-1].Change.ID != id {
			t.Fatalf("change %s is not revision %d, as its operator was told", id, rv)
		}
	}
}

// resolveAll ends all faults and lets every operator resolve its change.
func (s *simulation) resolveAll(t *rapid.T) {
	s.platform.down = false
	for range 2000 {
		for len(s.calls) > 0 {
			s.perform(t, false)
		}
		for len(s.replies) > 0 {
			r := s.replies[0]
			s.replies = s.replies[1:]
			if r.incarnation == s.incarnations[r.host] {
				s.tick(t, r.host, r.event)
			}
		}
		s.now = s.now.Add(50 * time.Millisecond)
		idle := true
		for h := range hosts {
			s.tick(t, h)
			idle = idle && s.worlds[h].Running() == 0
		}
		if !idle {
			continue
		}
		for i, o := range s.operators {
			if o.waiting {
				t.Fatalf("operator %d got no answer", i)
			}
			if o.unresolved && s.platform.version() > 0 {
				s.send(t, i, true, true)
				idle = false
			}
		}
		if idle {
			return
		}
	}
	t.Fatalf("operators could not resolve their changes")
}

// TestMain fixes the seed and the number of runs, so that a run in CI can be
// repeated. For a long run: go test ./internal/edit -rapid.checks=100000
// -rapid.seed=0
func TestMain(m *testing.M) {
	for f, v := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "400", "rapid.steps": "400"} {
		if err := flag.Set(f, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against accepted changes that are lost or overwritten, wrong answers,
// and a tree that differs from its history, under conflicts, lost and late
// replies, outages, stale reads and restarts.
func TestChangesUnderFaults(t *testing.T) {
	total, revisions := map[Outcome]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"submit":   s.submit,
			"submit2":  s.submit,
			"again":    s.resubmit,
			"leave":    s.stopWaiting,
			"restart":  s.restart,
			"perform":  func(t *rapid.T) { s.perform(t, true) },
			"perform2": func(t *rapid.T) { s.perform(t, true) },
			"perform3": func(t *rapid.T) { s.perform(t, true) },
			"perform4": func(t *rapid.T) { s.perform(t, true) },
			"deliver":  s.deliver,
			"deliver2": s.deliver,
			"deliver3": s.deliver,
			"deliver4": s.deliver,
			"advance":  s.advance,
			"outage": func(t *rapid.T) {
				s.platform.down = rapid.IntRange(0, 7).Draw(t, "down") == 7
			},
			"": s.check,
		})
		s.resolveAll(t)
		s.check(t)
		for o, n := range s.outcomes {
			total[o] += n
		}
		revisions = max(revisions, int(s.platform.head().Revision))
	})
	t.Logf("answers: %d accepted, %d not accepted, %d unknown; up to %d revisions",
		total[Accepted], total[NotAccepted], total[Unknown], revisions)
}
