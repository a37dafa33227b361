package claim

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
)

// keyNamesIn returns n names of keys in the first partitions, so that several
// claims share a write.
func keyNamesIn(partitions PartitionNumber, n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		name := fmt.Sprintf("key-%d", i)
		if (Key{Account: "acme", Service: "orders", Name: name}).Partition() < partitions {
			names = append(names, name)
		}
	}
	return names
}

var (
	fuzzNames     = keyNamesIn(2, 40)
	drawnOutcomes = rapid.SampledFrom([]outcome{succeeds, succeeds, succeeds, succeeds, lostAfter, lostBefore, lostLate, fails, stale})
	clockSteps    = rapid.SampledFrom([]time.Duration{
		time.Millisecond, 5 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond,
		MaxDispatchDelay, MaxDispatchDelay + 100*time.Millisecond, 8 * time.Second, 40 * time.Minute, 65 * time.Minute,
	})
)

// fuzzKey is a key and its time of issue.
type fuzzKey struct {
	name   string
	issued time.Time
}

// Guards against keys that run twice, wrong notRun refusals, and recorded
// outcomes that change, under lost replies, delayed and stale calls, outages,
// pauses, restarts, wrong clocks and resends through any host.
func TestKeysRunAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 3)
		for _, h := range s.hosts {
			h.clockOffset = time.Duration(rapid.IntRange(-30, 30).Draw(t, "offset")) * time.Second
		}
		var keys []fuzzKey
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			keys = fuzzStep(t, s, keys)
		}
		endFaultsAndCheck(t, s)
	})
}

// fuzzStep performs one random action and returns all keys so far.
func fuzzStep(t *rapid.T, s *simulation, keys []fuzzKey) []fuzzKey {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 20).Draw(t, "action") {
	case 0, 1, 2, 3:
		if len(keys) == 0 || (len(keys) < len(fuzzNames) && rapid.IntRange(0, 2).Draw(t, "new key") == 0) {
			keys = append(keys, fuzzKey{fuzzNames[len(keys)], s.now})
		}
		k := keys[len(keys)-1-rapid.IntRange(0, min(len(keys)-1, 3)).Draw(t, "key")]
		timeout := rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 400 * time.Millisecond, 10 * time.Second}).Draw(t, "timeout")
		s.submit(h, k.name, k.issued, "body", timeout)
	case 4:
		h.paused = true
	case 5, 6:
		if h.paused {
			h.paused = false
			s.tick(h)
		}
	case 7:
		s.restart(h)
	case 8, 9:
		s.advance(clockSteps.Draw(t, "span"))
	case 10, 11:
		s.advance(time.Millisecond)
	case 12:
		if len(s.delayedCalls) > 0 {
			i := rapid.IntRange(0, len(s.delayedCalls)-1).Draw(t, "late")
			apply := s.delayedCalls[i]
			s.delayedCalls = append(s.delayedCalls[:i:i], s.delayedCalls[i+1:]...)
			apply()
		}
	case 13:
		leaving := rapid.SampledFrom([][]model.SearcherID{nil, {"n0"}, {"n0", "n1"}}).Draw(t, "leaving")
		s.deliver(h, ViewChanged{s.view.WithIndexes(testIndex(leaving...))})
	default:
		if len(s.ops) == 0 {
			return keys
		}
		i := rapid.IntRange(0, len(s.ops)-1).Draw(t, "op")
		o := s.ops[i]
		if _, isSend := o.command.(Send); isSend && o.host.paused && o.incarnation == o.host.incarnation {
			return keys // the goroutine that would dispatch is paused too
		}
		s.perform(i, drawnOutcomes.Draw(t, "outcome"))
	}
	return keys
}

// endFaultsAndCheck ends all faults. It checks that no keys stay in progress
// and that a new key runs.
func endFaultsAndCheck(t *rapid.T, s *simulation) {
	incarnations := map[*host]int{}
	for _, h := range s.hosts {
		h.paused, incarnations[h] = false, h.incarnation
		s.deliver(h, ViewChanged{s.view})
	}
	for _, f := range s.delayedCalls {
		f()
	}
	s.delayedCalls = nil
	// Operations of earlier incarnations have no effect.
	var live []pendingOp
	for _, o := range s.ops {
		if o.incarnation == incarnations[o.host] {
			live = append(live, o)
		}
	}
	s.ops = live
	for range 40 {
		s.run(20 * time.Millisecond)
		s.advance(500 * time.Millisecond)
	}
	s.run(20 * time.Millisecond)
	for _, h := range s.hosts {
		if n := h.world.PendingKeys(); n != 0 {
			t.Fatalf("%s still has %d keys in progress", h.name, n)
		}
	}
	id := s.submit(s.hosts[0], "key-after-all", s.clock(s.hosts[0]), "body", time.Second)
	s.run(100 * time.Millisecond)
	if a, ok := s.answers[id]; !ok || a.Refusal != nil {
		t.Fatalf("a new key got %+v", a)
	}
}
