package claim

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// longTimeout is a time budget that outlasts every fault of these tests.
const longTimeout = 10 * time.Second

// newDispatchPending returns a simulation in which host 0 has a request with a
// confirmed claim and a dispatch that is not performed yet.
func newDispatchPending(t *testing.T, timeout time.Duration) (*simulation, model.RequestID) {
	t.Helper()
	s := newSimulation(t, 2)
	id := s.submit(s.hosts[0], "k", startTime, "body", timeout)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.perform(onlyPending[WritePartition](s), succeeds)
	onlyPending[Send](s)
	return s, id
}

// requireRefusal checks the reason and execution state of a refusal.
func requireRefusal(t *testing.T, s *simulation, id model.RequestID, reason model.Reason, e model.Execution) {
	t.Helper()
	a, ok := s.answers[id]
	if !ok || a.Refusal == nil || a.Refusal.Reason != reason || a.Refusal.Execution != e {
		t.Fatalf("request %s got %+v, %+v; want %s (%s)", id, a, a.Refusal, reason, e)
	}
}

// requireResult checks that a request got the result of the request with which
// its key ran.
func requireResult(t *testing.T, s *simulation, id, by model.RequestID) {
	t.Helper()
	a, ok := s.answers[id]
	k := KeyOf(s.requests[id])
	if !ok || a.Refusal != nil || string(a.Result) != resultOf(k, by) || a.Repeated != (id != by) {
		t.Fatalf("request %s got %+v, %+v; want the result of %s", id, a, a.Refusal, by)
	}
}

// Guards against a request that does not run although there is no fault, and a
// resend through another host that does not get the recorded outcome.
func TestResendThroughAnotherHostGetsTheRecordedOutcome(t *testing.T) {
	s, id := newDispatchPending(t, time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, id, id)
	again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, again, id)
	cached := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
	requireResult(t, s, cached, id)
}

// Guards against losing a claim when the platform's reply is lost: the write
// took effect, so the request must run, once.
func TestLostReplyAfterTheClaimWasWritten(t *testing.T) {
	s := newSimulation(t, 1)
	id := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.perform(onlyPending[WritePartition](s), lostAfter)
	s.perform(onlyPending[ReadPartition](s), stale)     // does not show the claim yet
	s.perform(onlyPending[WritePartition](s), succeeds) // conflicts with the write whose reply was lost
	s.run(20 * time.Millisecond)
	requireResult(t, s, id, id)
}

// Guards against a claim that is never released because its write takes effect
// after the reply was lost and the request was refused as not run.
func TestLateClaimWriteAfterRefusalIsReleased(t *testing.T) {
	s := newSimulation(t, 2)
	id := s.submit(s.hosts[0], "k", startTime, "body", 10*time.Millisecond)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.perform(onlyPending[WritePartition](s), lostLate)
	s.advance(20 * time.Millisecond)
	requireRefusal(t, s, id, model.ReasonPlatformDown, model.NotRun)
	s.delayedCalls[0]()
	s.run(20 * time.Millisecond)
	again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.run(20 * time.Millisecond)
	requireResult(t, s, again, again)
}

// Guards against a release that finishes while the claim write may still take
// effect, which would block the key for the whole key window.
func TestReleaseInvalidatesALateClaimWrite(t *testing.T) {
	s := newSimulation(t, 2)
	id := s.submit(s.hosts[0], "k", startTime, "body", 10*time.Millisecond)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.perform(onlyPending[WritePartition](s), lostLate)
	s.advance(20 * time.Millisecond)
	s.run(20 * time.Millisecond)
	requireRefusal(t, s, id, model.ReasonPlatformDown, model.NotRun)
	s.delayedCalls[0]()
	again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.run(20 * time.Millisecond)
	requireResult(t, s, again, again)
}

// Guards against an unrecorded outcome after a stale read that shows the
// partition without the claim.
func TestStaleReadDoesNotEndRecording(t *testing.T) {
	s, id := newDispatchPending(t, time.Second)
	s.perform(onlyPending[Send](s), succeeds)
	s.perform(onlyPending[WritePartition](s), lostBefore)
	s.perform(onlyPending[ReadPartition](s), stale)
	s.run(20 * time.Millisecond)
	requireResult(t, s, id, id)
	again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, again, id)
}

// Guards against a dispatch by a claim owner that resumes after a pause.
func TestPausedHolderDoesNotDispatch(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 2)
	id := s.submit(s.hosts[0], "k", startTime, "body", longTimeout)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.hosts[0].paused = true
	s.perform(onlyPending[WritePartition](s), succeeds)
	s.advance(MaxDispatchDelay + time.Millisecond)
	s.hosts[0].paused = false
	s.tick(s.hosts[0])
	is.Equal(len(s.ops), 1)        // no dispatch
	onlyPending[WritePartition](s) // the write that removes the claim
	s.run(10 * time.Millisecond)
	requireRefusal(t, s, id, model.ReasonPlatformDown, model.NotRun)
	again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.run(10 * time.Millisecond)
	requireResult(t, s, again, again)
}

// Guards against a second run of a request whose claim owner crashed, as the
// request may have run.
func TestRequestOfACrashedOwnerIsNotRunAgain(t *testing.T) {
	s, _ := newDispatchPending(t, time.Second)
	s.ops = nil
	s.restart(s.hosts[0])
	early := s.submit(s.hosts[0], "k", startTime, "body", 200*time.Millisecond)
	s.run(250 * time.Millisecond)
	requireRefusal(t, s, early, model.ReasonClaimHeld, model.MayHaveRun)
	s.run(time.Second + recordGracePeriod)
	for _, h := range s.hosts {
		late := s.submit(h, "k", startTime, "body", time.Second)
		s.run(10 * time.Millisecond)
		requireRefusal(t, s, late, model.ReasonOutcomeUnknown, model.MayHaveRun)
	}
}

// Guards against requests that run, or are reported as possibly run, while the
// platform is unavailable.
func TestPlatformDownRefusesAsNotRun(t *testing.T) {
	s := newSimulation(t, 1)
	id := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
	s.perform(onlyPending[ReadPartition](s), fails)
	requireRefusal(t, s, id, model.ReasonPlatformDown, model.NotRun)
	written := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.perform(onlyPending[WritePartition](s), fails)
	requireRefusal(t, s, written, model.ReasonPlatformDown, model.NotRun)
	if n := s.hosts[0].world.PendingKeys(); n != 0 {
		t.Fatalf("%d keys are still in progress", n)
	}
}

// Guards against two hosts that both claim the same key.
func TestConcurrentClaimsOfOneKey(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 2)
	first := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
	second := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
	s.perform(0, succeeds)
	s.perform(0, succeeds)
	is.Equal(len(s.ops), 2) // both hosts write with the same expected version
	s.run(100 * time.Millisecond)
	requireResult(t, s, first, first)
	requireResult(t, s, second, first)
}

// Guards against the loss of a result when the write that records it fails.
func TestOutcomeWriteFails(t *testing.T) {
	tests := map[string]outcome{"unavailable": fails, "lost before": lostBefore, "lost after": lostAfter}
	for n, o := range tests {
		t.Run(n, func(t *testing.T) {
			s, id := newDispatchPending(t, 100*time.Millisecond)
			s.perform(onlyPending[Send](s), succeeds)
			s.perform(onlyPending[WritePartition](s), o)
			down := s.ops
			s.ops = nil
			s.advance(150 * time.Millisecond)
			requireResult(t, s, id, id) // by the deadline, even without the platform
			joined := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
			requireResult(t, s, joined, id)
			s.ops = append(down, s.ops...)
			s.run(2 * time.Second)
			again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
			s.run(10 * time.Millisecond)
			requireResult(t, s, again, id)
		})
	}
}

// Guards against a second run after the connection is lost during the dispatch,
// and against a key that stays blocked although its request provably did not
// run.
func TestDispatchFails(t *testing.T) {
	for n, o := range map[string]outcome{"before it ran": lostBefore, "after it ran": lostAfter} {
		t.Run("lost "+n, func(t *testing.T) {
			s, id := newDispatchPending(t, time.Second)
			s.perform(onlyPending[Send](s), o)
			s.run(10 * time.Millisecond)
			requireRefusal(t, s, id, model.ReasonOutcomeUnknown, model.MayHaveRun)
			again := s.submit(s.hosts[1], "k", startTime, "body", time.Second)
			s.run(10 * time.Millisecond)
			requireRefusal(t, s, again, model.ReasonOutcomeUnknown, model.MayHaveRun)
		})
	}
	t.Run("not started", func(t *testing.T) {
		is := is.New(t)
		s, id := newDispatchPending(t, time.Second)
		first := s.ops[onlyPending[Send](s)].command.(Send).Searcher.ID
		s.perform(onlyPending[Send](s), fails)
		s.run(10 * time.Millisecond)
		requireRefusal(t, s, id, model.ReasonNoReplica, model.NotRun)
		again := s.submit(s.hosts[0], "k", startTime, "body", time.Second)
		s.perform(onlyPending[WritePartition](s), succeeds)
		is.True(s.ops[onlyPending[Send](s)].command.(Send).Searcher.ID != first) // prefers another searcher
		s.run(10 * time.Millisecond)
		requireResult(t, s, again, again)
	})
}

// Guards against a dispatch after the deadline, checked before the claim and
// before the dispatch.
func TestDeadlineIsCheckedBeforeClaimAndDispatch(t *testing.T) {
	is := is.New(t)
	s := newSimulation(t, 1)
	id := s.submit(s.hosts[0], "k", startTime, "body", time.Millisecond)
	requireRefusal(t, s, id, model.ReasonDeadlineTooShort, model.NotRun)
	id = s.submit(s.hosts[0], "k", startTime, "body", 100*time.Millisecond)
	s.perform(onlyPending[ReadPartition](s), succeeds)
	s.advance(97 * time.Millisecond) // within the time reserved for the response
	s.perform(onlyPending[WritePartition](s), succeeds)
	is.Equal(len(s.ops), 1)        // no dispatch
	onlyPending[WritePartition](s) // the write that removes the claim
	s.run(10 * time.Millisecond)
	requireRefusal(t, s, id, model.ReasonDeadlineExpired, model.NotRun)
	id = s.submit(s.hosts[0], "other", startTime, "body", 50*time.Millisecond)
	s.advance(51 * time.Millisecond)
	requireRefusal(t, s, id, model.ReasonPlatformDown, model.NotRun)
	is.Equal(s.writes, 2)
}
