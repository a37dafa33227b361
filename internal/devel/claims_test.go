package devel

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/fleet"
	"toucanpulley.example/stand/plat"
)

const (
	sendService = "fair-ledger"
	// patience is a time budget that no fault of these tests uses up.
	patience = 10 * time.Second
)

// sent is what a caller learned of one request.
type sent struct {
	ok        bool
	result    string
	repeated  bool
	reason    model.Reason
	execution model.Execution
}

// sendKey sends a keyed request through an entry host.
func sendKey(address, key string, issued time.Time, body []byte, timeout time.Duration) sent {
	c := entry.NewEntryServiceClient(http.DefaultClient, "http://"+address)
	r, err := c.Send(context.Background(), connect.NewRequest(&entry.SendRequest{
		Account: Account, Service: sendService, Key: key, KeyIssuedMs: issued.UnixMilli(),
		Body: body, TimeoutMs: uint32(timeout.Milliseconds()),
	}))
	if err == nil {
		return sent{ok: true, result: string(r.Msg.GetResult()), repeated: r.Msg.GetRepeated()}
	}
	refusal, _ := wire.RefusalOf(err)
	return sent{reason: refusal.Reason, execution: refusal.Execution}
}

// executions counts the runs of a key at all searchers.
func executions(s *Site, key string) int {
	n := 0
	for _, r := range s.Fleet(sendService).Searchers {
		n += r.Executions(key)
	}
	return n
}

// keyModel is a register that is written at most once: the first request that
// runs sets the result, and every later success returns it. A request that was
// refused as notRun changes nothing; one that may have run may have set it.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		result, out := state.(string), output.(sent)
		switch {
		case out.ok && !out.repeated && result == "":
			return []any{out.result}
		case out.ok && out.repeated && (result == out.result || result == ranUnseen):
			return []any{out.result}
		case out.ok:
			return nil
		case out.execution == model.NotRun:
			return []any{result}
		case result == "":
			return []any{"", ranUnseen}
		default:
			return []any{result}
		}
	},
}

// ranUnseen stands for a run whose result no caller has got yet.
const ranUnseen = "\x00ran"

// Guards against keys that run twice, or whose callers get different results,
// when they are sent through three hosts at the same time and again, while
// searchers drain and are slow, and the platform loses replies.
func TestKeyedRequestsThroughThreeHosts(t *testing.T) {
	s, _ := startSite(t)
	const keys, each = 30, 6
	issued := time.Now()
	histories := make([][]porcupine.Operation, keys)
	var mu sync.Mutex
	var wait sync.WaitGroup
	start := time.Now()
	searchers := s.Fleet(sendService).Searchers
	s.Platform().SetFaults(plat.Faults{LostReplies: 15})
	searchers[0].SetFaults(fleet.Faults{Draining: true})
	searchers[1].SetFaults(fleet.Faults{Delay: 300 * time.Millisecond})
	for i := range keys {
		for j := range each {
			wait.Go(func() {
				key, address := fmt.Sprintf("key-%d", i), s.Entries()[j%len(s.Entries())]
				for _, timeout := range []time.Duration{time.Duration(j+1) * 50 * time.Millisecond, patience} {
					o := recordSend(start, address, key, issued, timeout)
					mu.Lock()
					histories[i] = append(histories[i], o)
					mu.Unlock()
				}
			})
		}
	}
	wait.Wait()
	s.Platform().SetFaults(plat.Faults{})
	for _, n := range searchers {
		n.SetFaults(fleet.Faults{})
	}
	check := keyModel.ToModel()
	for i, history := range histories {
		key := fmt.Sprintf("key-%d", i)
		history = append(history, recordSend(start, s.Entries()[i%len(s.Entries())], key, issued, patience))
		ran := executions(s, key)
		if ran > 1 {
			t.Errorf("%s ran %d times", key, ran)
		}
		if !porcupine.CheckOperations(check, history) {
			t.Errorf("%s: the history is not that of a key that runs at most once: %+v", key, history)
		}
		if last := history[len(history)-1].Output.(sent); !last.ok && last.reason != model.ReasonOutcomeUnknown {
			t.Errorf("%s: without faults a resend got %+v", key, last)
		}
		if ran == 0 && slices.ContainsFunc(history, func(o porcupine.Operation) bool { return o.Output.(sent).ok }) {
			t.Errorf("%s succeeded and never ran", key)
		}
	}
}

// recordSend sends a keyed request and returns the operation of the history.
func recordSend(start time.Time, address, key string, issued time.Time, timeout time.Duration) porcupine.Operation {
	call := time.Since(start)
	out := sendKey(address, key, issued, []byte("body"), timeout)
	return porcupine.Operation{Call: call.Nanoseconds(), Output: out, Return: time.Since(start).Nanoseconds()}
}

// Guards against refusals of the entry API that carry no reason or execution.
func TestSendRefusals(t *testing.T) {
	s, _ := startSite(t)
	now, address := time.Now(), s.Entries()[0]
	long := string(bytes.Repeat([]byte("k"), 129))
	tests := []struct {
		name, key string
		issued    time.Time
		body      int
		down      bool
		reason    model.Reason
	}{
		{"no key", "", now, 1, false, model.ReasonKeyMissing},
		{"long key", long, now, 1, false, model.ReasonBadRequest},
		{"no time of issue", "k", time.UnixMilli(0), 1, false, model.ReasonBadRequest},
		{"old key", "k", now.Add(-25 * time.Hour), 1, false, model.ReasonKeyOutsideWindow},
		{"future key", "k", now.Add(time.Hour), 1, false, model.ReasonKeyOutsideWindow},
		{"large body", "k", now, 65<<10 + 1, false, model.ReasonTooLarge},
		{"larger than any message", "k", now, 1 << 20, false, model.ReasonTooLarge},
		{"platform down", "k", now, 1, true, model.ReasonPlatformDown},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s.Platform().SetFaults(plat.Faults{Down: tc.down})
			is.Equal(sendKey(address, tc.key, tc.issued, make([]byte, tc.body), time.Second),
				sent{reason: tc.reason, execution: model.NotRun})
			is.Equal(executions(s, tc.key), 0)
		})
	}
}

// Guards against a lost connection during the dispatch that leads to a second
// run, and against an outcome that is lost when its host shuts down.
func TestSendOutcomesEndToEnd(t *testing.T) {
	is := is.New(t)
	s, _ := startSite(t)
	now := time.Now()
	first := sendKey(s.Entries()[0], "a", now, nil, time.Second)
	is.True(first.ok && !first.repeated)
	is.NoErr(s.Daemons()[0].Close())
	is.Equal(sendKey(s.Entries()[1], "a", now, nil, time.Second), sent{ok: true, result: first.result, repeated: true})
	for _, n := range s.Fleet(sendService).Searchers {
		n.SetFaults(fleet.Faults{Delay: time.Minute})
	}
	unknown := sent{reason: model.ReasonOutcomeUnknown, execution: model.MayHaveRun}
	is.Equal(sendKey(s.Entries()[1], "b", now, nil, 100*time.Millisecond), unknown)
	for _, n := range s.Fleet(sendService).Searchers {
		n.SetFaults(fleet.Faults{})
	}
	is.Equal(sendKey(s.Entries()[2], "b", now, nil, time.Second), unknown)
	is.Equal(executions(s, "b"), 1)
}
