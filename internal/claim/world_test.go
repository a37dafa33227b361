package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// Guards against one platform write for each request: the pending claims of a
// partition must share a write.
func TestClaimsOfOnePartitionShareOneWrite(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1)
	const n = 20
	var ids []model.RequestID
	for _, nm := range keyNamesIn(1, n) {
		ids = append(ids, s.submit(s.hosts[0], nm, startTime, "body", time.Second))
	}
	s.run(10 * time.Millisecond)
	for _, id := range ids {
		requireResult(t, s, id, id)
	}
	is.Equal(s.reads, 1)
	is.True(s.writes <= 3) // the claims, the first outcome, all other outcomes
}

// Guards against returning the outcome of another request that used the same
// key.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	s, id := newDispatchPending(t, time.Second)
	joined := s.submit(s.hosts[0], "k", startTime, "other", time.Second)
	requireRefusal(t, s, joined, model.ReasonBadRequest, model.NotRun)
	s.run(10 * time.Millisecond)
	requireResult(t, s, id, id)
	other := s.submit(s.hosts[1], "k", startTime, "other", time.Second)
	reissued := s.submit(s.hosts[1], "k", startTime.Add(time.Second), "body", time.Second)
	s.run(10 * time.Millisecond)
	requireRefusal(t, s, other, model.ReasonBadRequest, model.NotRun)
	requireRefusal(t, s, reissued, model.ReasonBadRequest, model.NotRun)
}

// Guards against a key that runs again after its claim was removed, also on a
// host whose clock is behind.
func TestKeyOutsideTheWindowIsRefused(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 2)
	names := keyNamesIn(1, 3)
	window := s.view.Tree.Effective("/").KeyWindow
	first := s.submit(s.hosts[0], names[0], startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, first, first)
	s.hosts[1].clockOffset = -window
	s.advance(window + 2*MaxClockSkew)
	fresh := s.submit(s.hosts[0], names[1], s.now, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, fresh, fresh)
	_, kept := s.current(0).Claim(KeyOf(s.requests[first]))
	is.True(!kept) // removed by compaction
	for _, h := range s.hosts {
		again := s.submit(h, names[0], startTime, "body", time.Second)
		s.run(10 * time.Millisecond)
		requireRefusal(t, s, again, model.ReasonKeyOutsideWindow, model.NotRun)
	}
	past := s.submit(s.hosts[0], names[2], s.now.Add(-window-time.Second), "body", time.Second)
	requireRefusal(t, s, past, model.ReasonKeyOutsideWindow, model.NotRun) // without a platform call
	future := s.submit(s.hosts[0], names[2], s.now.Add(MaxClockSkew+time.Second), "body", time.Second)
	requireRefusal(t, s, future, model.ReasonKeyOutsideWindow, model.NotRun)
}

// Guards against a host that removes valid claims because its clock is ahead.
func TestClockAheadDoesNotRemoveClaims(t *testing.T) {
	s, id := newDispatchPending(t, time.Second)
	s.run(10 * time.Millisecond)
	s.hosts[1].clockOffset = 40 * time.Minute
	other := s.submit(s.hosts[1], keyNamesIn(PartitionCount, 1)[0], startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, other, other)
	again := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, again, id)
}

// Guards against a host and a caller whose clocks are far ahead. Such a host
// removes valid claims; their keys must not run again, and new keys must not be
// blocked.
func TestClockFarAheadDoesNotBlockNewKeys(t *testing.T) {
	s := newSimulation(t, 2)
	names := keyNamesIn(1, 3)
	old := s.submit(s.hosts[0], names[0], startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, old, old)
	ahead := s.hosts[1]
	ahead.clockOffset = 3 * time.Hour
	future := s.submit(ahead, names[1], s.clock(ahead), "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, future, future)
	s.run(partitionIdleTimeout + time.Second) // host 0 evicts the partition
	again := s.submit(s.hosts[0], names[0], startTime, "body", time.Second)
	fresh := s.submit(s.hosts[0], names[2], s.now, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireRefusal(t, s, again, model.ReasonKeyOutsideWindow, model.NotRun)
	requireResult(t, s, fresh, fresh)
}

// Guards against repeated write conflicts when several hosts write to one
// partition: after a conflict, the partition is read before each write.
func TestContendedPartitionIsReadBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 2)
	names := keyNamesIn(1, 4)
	var ids []model.RequestID
	for i, h := range s.hosts {
		ids = append(ids, s.submit(h, names[i], startTime, "body", time.Second))
	}
	s.run(10 * time.Millisecond) // the second host's write conflicts
	s.advance(10 * time.Millisecond)
	ids = append(ids, s.submit(s.hosts[0], names[2], startTime, "body", time.Second))
	s.run(10 * time.Millisecond) // the second host has not seen this
	before := s.writes
	ids = append(ids, s.submit(s.hosts[1], names[3], startTime, "body", time.Second))
	onlyPending[ReadPartition](s)
	s.run(10 * time.Millisecond)
	is.Equal(s.writes-before, 2) // the claim and the outcome; none failed
	for _, id := range ids {
		requireResult(t, s, id, id)
	}
}

// Guards against exceeding the write rate limit of a host, and against a busy
// loop while writes wait for the rate limit.
func TestWritesAreRateLimited(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1)
	const span = 300 * time.Millisecond
	names := keyNamesIn(PartitionCount, 600)
	writes := 0
	for i := range int(span / time.Millisecond) {
		for _, nm := range names[2*i : 2*i+2] {
			s.submit(s.hosts[0], nm, startTime, "body", time.Second)
		}
		for len(s.ops) > 0 {
			how := succeeds
			if _, isWrite := s.ops[0].command.(WritePartition); isWrite {
				if writes++; writes%7 == 0 {
					how = fails
				}
			}
			s.perform(0, how)
		}
		s.advance(time.Millisecond)
	}
	is.True(s.writes <= writeBurst+int(span/writeInterval))
	is.True(s.writes > 20)
	s.run(3 * time.Second)
	is.Equal(s.hosts[0].world.PendingKeys(), 0)
}

// Guards against a partition that exceeds the platform's largest value: new
// keys are refused, and the outcomes of accepted ones still fit.
func TestFullPartitionRefusesNewKeys(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1)
	full := Partition{Number: 0}
	for i := 0; full.Size()+2*(300+outcomeReserveBytes) <= MaxPartitionBytes; i++ {
		name := fmt.Sprintf("old-%d", i)
		full = full.WithChanges([]Claim{{
			Key: Key{Account: "acme", Service: "orders", Name: name}, Nonce: model.RequestID(name), Issued: startTime, Size: 300,
		}}, nil)
	}
	s.apply(full)
	names := keyNamesIn(1, 2)
	last := s.submit(s.hosts[0], names[0], startTime, "body", time.Second)
	over := s.submit(s.hosts[0], names[1], startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, last, last)
	requireRefusal(t, s, over, model.ReasonQueueFull, model.NotRun)
	is.True(s.current(0).Size() <= MaxPartitionBytes)
}

// Guards against large results that fill a partition.
func TestLargeResultIsReturnedOnceAndNotRecorded(t *testing.T) {
	is := is.New(t)
	s, id := newDispatchPending(t, time.Second)
	i := onlyPending[Send](s)
	c := s.ops[i].command.(Send)
	s.execute(c, true)
	s.ops = nil
	large := []byte(strings.Repeat("x", MaxResultBytes+1))
	h := s.hosts[0]
	for _, o := range h.world.Tick(s.now, []Event{SendDone{Request: c.Request, Completed: true, Result: large}}) {
		switch out := o.(type) {
		case Resolve:
			is.Equal(out.Request, id)
			is.Equal(out.Answer.Result, large)
		default:
			s.ops = append(s.ops, pendingOp{h, h.incarnation, out})
		}
	}
	s.run(10 * time.Millisecond)
	again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireRefusal(t, s, again, model.ReasonTooLarge, model.MayHaveRun)
}

// Guards against dispatches to searchers that are leaving.
func TestLeavingSearchersGetNoDispatch(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1)
	s.deliver(s.hosts[0], ViewChanged{s.view.WithIndexes(testIndex("n0"))})
	for _, nm := range []string{"a", "b", "c"} {
		s.submit(s.hosts[0], nm, startTime, "body", time.Second)
	}
	for len(s.ops) > 0 {
		if c, ok := s.ops[0].command.(Send); ok {
			is.Equal(c.Searcher.ID, model.SearcherID("n1"))
		}
		s.perform(0, succeeds)
	}
	s.deliver(s.hosts[0], ViewChanged{s.view.WithIndexes(testIndex("n0", "n1"))})
	id := s.submit(s.hosts[0], "d", startTime, "body", time.Second)
	requireRefusal(t, s, id, model.ReasonNoReplica, model.NotRun)
}

// Guards against new requests during a shutdown, and a shutdown that loses
// outcomes.
func TestStoppingWaitsForOutcomes(t *testing.T) {
	is := is.New(t)
	s, id := newDispatchPending(t, time.Second)
	h := s.hosts[0]
	is.Equal(len(h.world.Tick(s.now, []Event{Stopping{}})), 0) // not idle
	refused := s.submit(h, "late", startTime, "body", time.Second)
	requireRefusal(t, s, refused, model.ReasonDraining, model.NotRun)
	s.run(10 * time.Millisecond)
	requireResult(t, s, id, id)
	is.Equal(h.world.Tick(s.now, nil), []Command{Idle{}})
}
