package query

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// Guards against hedges beyond the budget, slower calls of a hedged pair that
// keep running, and a first call that is never hedged because no event follows
// it.
func TestHedgingIsBoundedAndCancelsSlowerCalls(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 20, nil, replyAfter(time.Millisecond))
	s.warmUp(3)
	s.onCall = func(c StartCall) (time.Duration, Event) {
		if c.Searcher.ID == "n3-0" {
			return 200 * time.Millisecond, reply(c)
		}
		if c.Shard == "s5" {
			return 5 * time.Millisecond, reply(c) // the slower call of the pair is cancelled before the request ends
		}
		return time.Millisecond, reply(c)
	}
	start := s.now
	is.Equal(s.search("q").Outcome, model.OutcomeComplete)
	is.True(s.answeredAt["q"].Sub(start) < 10*time.Millisecond)
	is.Equal(s.callsTo("n3-1"), 1)
	for _, c := range s.sent {
		if c.Searcher.ID == "n3-0" {
			is.True(s.cancelled[c.Attempt].Before(s.answeredAt["q"]))
		}
	}
	// Every first call hangs now; the budget bounds the hedges.
	s.sent, s.counts = nil, map[Count]int{}
	s.onCall = func(StartCall) (time.Duration, Event) { return -1, nil }
	for i := range 10 {
		s.search(model.RequestID(fmt.Sprint("slow", i)))
	}
	hedges, allCalls := s.counts[Count{CounterCall, "hedge"}], s.counts[Count{CounterCall, "all"}]
	tokens := 1 + 0.05*20*4 // tokens that the earlier requests could accumulate
	is.True(hedges > 0)
	is.True(float64(hedges) <= tokens+0.05*float64(allCalls))
}

// Guards against a replica that is avoided permanently after being slow once.
func TestSlowReplicaIsRetested(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, map[tree.Key]tree.Value{tree.KeyHedge: tree.Enum("off")}, replyAfter(time.Millisecond))
	s.warmUp(20)
	slow := true
	s.onCall = func(c StartCall) (time.Duration, Event) {
		if slow && c.Searcher.ID == "n0-0" {
			return 50 * time.Millisecond, reply(c)
		}
		return time.Millisecond, reply(c)
	}
	for i := range 20 {
		s.search(model.RequestID(fmt.Sprint("a", i)))
	}
	is.True(s.callsTo("n0-0") <= 2)
	slow = false
	s.run(3 * time.Second)
	for i := range 20 {
		s.search(model.RequestID(fmt.Sprint("b", i)))
		s.run(time.Second)
	}
	is.True(s.callsTo("n0-0") >= 5)
}

// Guards against new work for a draining or leaving searcher, even if its later
// replies do not mention the drain.
func TestLeavingSearcherGetsNoNewWork(t *testing.T) {
	replyDraining := func(c StartCall) (time.Duration, Event) {
		e := reply(c)
		e.Reply.Draining = c.Searcher.ID == "n0-0"
		return time.Millisecond, e
	}
	refuseDraining := func(c StartCall) (time.Duration, Event) {
		if c.Searcher.ID == "n0-0" {
			return time.Millisecond, callFailure(c, model.FailureDraining, true)
		}
		return time.Millisecond, reply(c)
	}
	change := func(f func([]model.Searcher) []model.Searcher) func(*sim) {
		return func(s *sim) {
			index := s.world.view.Indexes["files"]
			index.Searchers = f(slices.Clone(index.Searchers))
			s.step(ViewChanged{s.world.view.WithIndexes(index)})
		}
	}
	markedLeaving := change(func(l []model.Searcher) []model.Searcher {
		l[0] = l[0].WithLeaving(true)
		return l
	})
	removed := change(func(l []model.Searcher) []model.Searcher { return l[1:] })
	for n, c := range map[string]struct {
		onCall  callHandler
		prepare func(*sim)
	}{
		"announced in a reply": {replyDraining, func(*sim) {}}, "announced by a refusal": {refuseDraining, func(*sim) {}},
		"listed as leaving": {replyAfter(time.Millisecond), markedLeaving}, "removed from the view": {replyAfter(time.Millisecond), removed},
	} {
		t.Run(n, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, nil, c.onCall)
			s.warmUp(3)
			c.prepare(s)
			for i := range 20 {
				is.Equal(s.search(model.RequestID(fmt.Sprint("q", i))).Outcome, model.OutcomeComplete)
				s.run(time.Second)
			}
			is.Equal(s.callsTo("n0-0"), 0)
			is.Equal(s.callsTo("n0-1"), 20)
		})
	}
}

// Guards against calls to a broken searcher, a shard whose replicas are all
// ejected, and full load on a searcher that has just returned.
func TestEjectionProbationAndSlowStart(t *testing.T) {
	is := is.New(t)
	broken := true
	s := newSim(t, 1, map[tree.Key]tree.Value{tree.KeyRetryBudget: tree.Number(1000)}, nil)
	s.onCall = func(c StartCall) (time.Duration, Event) {
		if broken && c.Searcher.ID == "n0-0" {
			return time.Millisecond, callFailure(c, model.FailureConnect, true)
		}
		return time.Millisecond, reply(c)
	}
	searchAll := func(prefix string, n int) {
		for i := range n {
			is.Equal(s.search(model.RequestID(fmt.Sprint(prefix, i))).Outcome, model.OutcomeComplete)
		}
	}
	searchAll("a", 20)
	is.Equal(s.callsTo("n0-0"), 3) // ejected after three failures
	s.run(2 * time.Second)         // probation is over
	searchAll("b", 20)
	is.Equal(s.callsTo("n0-0"), 4) // one trial call failed
	broken = false
	s.run(2 * time.Second)
	searchAll("c", 20)
	is.True(s.callsTo("n0-0") > 10) // a trial call succeeded
	s.onCall = func(c StartCall) (time.Duration, Event) {
		return time.Millisecond, callFailure(c, model.FailureConnect, true)
	}
	for i := range 6 {
		s.search(model.RequestID(fmt.Sprint("d", i)))
	}
	s.onCall = replyAfter(time.Millisecond)
	searchAll("e", 1) // both replicas failed; one of them is still used

	s = newSim(t, 1, map[tree.Key]tree.Value{tree.KeySlowStart: tree.Number(1000)}, replyAfter(time.Millisecond))
	s.warmUp(1)
	index := s.world.view.Indexes["files"]
	for i := range index.Searchers {
		index.Searchers[i].Address += "-replaced"
		index.Searchers[i].Slots = 10
	}
	s.step(ViewChanged{s.world.view.WithIndexes(index)})
	inFlight := func() int {
		s.onCall = func(StartCall) (time.Duration, Event) { return -1, nil }
		before := len(s.sent)
		for i := range 20 {
			s.step(Arrived{s.request(model.RequestID(fmt.Sprint("s", before, "-", i)))})
		}
		n := len(s.sent) - before
		s.run(time.Second) // all expire
		return n
	}
	s.now = s.now.Add(450 * time.Millisecond)
	is.Equal(inFlight(), 10) // 1 + 0.45 * 10 of 10 slots, at each of two searchers
	is.Equal(inFlight(), 20)
}

// Guards against retries that multiply the load when all calls fail, and
// against load shedding that reduces coverage although time is left.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 20, map[tree.Key]tree.Value{tree.KeyEjectAfter: tree.Number(100)}, replyAfter(time.Millisecond))
	s.warmUp(1)
	s.onCall = func(c StartCall) (time.Duration, Event) {
		return time.Millisecond, callFailure(c, model.FailureConnect, true)
	}
	for i := range 20 {
		s.search(model.RequestID(fmt.Sprint("q", i)))
	}
	is.True(float64(len(s.sent)) <= 1.1*20*20+3) // 10% and the tokens accumulated before

	for _, b := range []int64{0, 1000} {
		is.Equal(answerAfterSheds(t, b).Outcome, model.OutcomeComplete)
	}
}

// answerAfterSheds returns the answer to a request that is shed four times per
// shard.
func answerAfterSheds(t *testing.T, retryBudget int64) model.Answer {
	shed := map[model.ShardID]int{}
	s := newSim(t, 3, map[tree.Key]tree.Value{tree.KeyRetryBudget: tree.Number(retryBudget)}, nil)
	s.onCall = func(c StartCall) (time.Duration, Event) {
		if shed[c.Shard]++; shed[c.Shard] <= 4 {
			return time.Millisecond, callFailure(c, model.FailureShed, true)
		}
		return time.Millisecond, reply(c)
	}
	return s.search("shed")
}

// Guards against unbounded queues and against work that cannot finish before
// its deadline.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, map[tree.Key]tree.Value{tree.KeyMaxQueue: tree.Number(5)}, replyAfter(20*time.Millisecond))
	s.warmUp(3)
	for i := range 20 {
		s.step(Arrived{s.request(model.RequestID(fmt.Sprint("q", i)))})
	}
	refused := 0
	for _, as := range s.done {
		if as[0].Outcome == model.OutcomeRefused {
			is.Equal(as[0].Refusal.Reason, model.ReasonAccountLimit)
			is.Equal(as[0].Refusal.Execution, model.NotRun)
			refused++
		}
	}
	is.Equal(refused, 20-8-5)                                                  // 8 run, including overcommit, and 5 wait
	short := s.request("short").WithDeadline(s.now.Add(26 * time.Millisecond)) // 20 to run, 5 for the return allowance
	short.Account = "zeta"
	s.step(ViewChanged{testView(t, 1, nil, 1, "acme", "zeta")}, Arrived{short})
	is.Equal(s.done["short"][0].Refusal.Reason, model.ReasonDeadlineTooShort)
	is.Equal(s.done["short"][0].Refusal.Execution, model.NotRun)
	is.Equal(s.answeredAt["short"], s.now) // refused at once
}

// Guards against a part that keeps waiting although an ejected replica has been
// readmitted, because the other replica was ejected too.
func TestEjectionReadmitsOtherReplica(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, map[tree.Key]tree.Value{
		tree.KeyEjectAfter: tree.Number(1), tree.KeyProbation: tree.Number(60_000),
		tree.KeyRetryBudget: tree.Number(0), tree.KeyHedge: tree.Enum("off"), tree.KeyCanary: tree.Enum("off"),
	}, func(c StartCall) (time.Duration, Event) {
		return time.Millisecond, callFailure(c, model.FailureConnect, true)
	})
	s.search("ejects n0-0")
	s.onCall = func(StartCall) (time.Duration, Event) { return -1, nil }
	s.step(Arrived{s.request("a")}, Arrived{s.request("b")}, Arrived{s.request("waits")})
	is.Equal(s.callsTo("n0-1"), 2)
	s.step(callFailure(s.sent[1], model.FailureConnect, true)) // ejects n0-1
	last := s.sent[len(s.sent)-1]
	is.Equal(last.Request, model.RequestID("waits"))
	is.Equal(last.Searcher.ID, model.SearcherID("n0-0"))
}
