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
	// ampleTimeout is longer than any delay that the faults of these tests cause.
	ampleTimeout = 10 * time.Second
)

// sendOutcome is the result of one request as its caller sees it.
type sendOutcome struct {
	ok        bool
	result    string
	repeated  bool
	reason    model.Reason
	execution model.Execution
}

// sendKeyed sends a keyed request through an entry host.
func sendKeyed(address, key string, issued time.Time, body []byte, timeout time.Duration) sendOutcome {
	c := entry.NewEntryServiceClient(http.DefaultClient, "http://"+address)
	r, err := c.Send(context.Background(), connect.NewRequest(&entry.SendRequest{
		Account: Account, Service: sendService, Key: key, KeyIssuedMs: issued.UnixMilli(),
		Body: body, TimeoutMs: uint32(timeout.Milliseconds()),
	}))
	if err == nil {
		return sendOutcome{ok: true, result: string(r.Msg.GetResult()), repeated: r.Msg.GetRepeated()}
	}
	refusal, _ := wire.RefusalOf(err)
	return sendOutcome{reason: refusal.Reason, execution: refusal.Execution}
}

// executions returns how often the request of a key ran, over all searchers.
func executions(s *Site, key string) int {
	n := 0
	for _, r := range s.Fleet(sendService).Searchers {
		n += r.Executions(key)
	}
	return n
}

// keyModel models a key as a register that is written at most once: the first
// request that runs sets the result, and every later success returns it. A
// request refused as notRun leaves the register unchanged; a request refused as
// mayHaveRun may have set it.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, _, output any) []any {
		result, outcome := state.(string), output.(sendOutcome)
		switch {
		case outcome.ok && !outcome.repeated && result == "":
			return []any{outcome.result}
		case outcome.ok && outcome.repeated && (result == outcome.result || result == unobservedResult):
			return []any{outcome.result}
		case outcome.ok:
			return nil
		case outcome.execution == model.NotRun:
			return []any{result}
		case result == "":
			return []any{"", unobservedResult}
		default:
			return []any{result}
		}
	},
}

// unobservedResult represents the result of a run that no caller has received
// yet.
const unobservedResult = "\x00ran"

// Guards against requests that run twice, or whose callers get different
// results, if the same key is sent concurrently and repeatedly through three
// hosts while one searcher is draining, another one is slow and the platform
// loses replies.
func TestKeyedRequestsThroughThreeHosts(t *testing.T) {
	s, _ := startSite(t)
	const keys, callersPerKey = 30, 6
	issued := time.Now()
	histories := make([][]porcupine.Operation, keys)
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	searchers := s.Fleet(sendService).Searchers
	s.Platform().SetFaults(plat.Faults{LostReplies: 15})
	searchers[0].SetFaults(fleet.Faults{Draining: true})
	searchers[1].SetFaults(fleet.Faults{Delay: 300 * time.Millisecond})
	for i := range keys {
		for j := range callersPerKey {
			wg.Go(func() {
				key, address := fmt.Sprintf("key-%d", i), s.EntryAddresses()[j%len(s.EntryAddresses())]
				for _, d := range []time.Duration{time.Duration(j+1) * 50 * time.Millisecond, ampleTimeout} {
					o := recordSend(start, address, key, issued, d)
					mu.Lock()
					histories[i] = append(histories[i], o)
					mu.Unlock()
				}
			})
		}
	}
	wg.Wait()
	s.Platform().SetFaults(plat.Faults{})
	for _, n := range searchers {
		n.SetFaults(fleet.Faults{})
	}
	checkerModel := keyModel.ToModel()
	for i, h := range histories {
		key := fmt.Sprintf("key-%d", i)
		h = append(h, recordSend(start, s.EntryAddresses()[i%len(s.EntryAddresses())], key, issued, ampleTimeout))
		runs := executions(s, key)
		if runs > 1 {
			t.Errorf("%s ran %d times", key, runs)
		}
		if !porcupine.CheckOperations(checkerModel, h) {
			t.Errorf("%s: history is not linearizable for a key that runs at most once: %+v", key, h)
		}
		if last := h[len(h)-1].Output.(sendOutcome); !last.ok && last.reason != model.ReasonOutcomeUnknown {
			t.Errorf("%s: a repeated request without faults returned %+v", key, last)
		}
		if runs == 0 && slices.ContainsFunc(h, func(o porcupine.Operation) bool { return o.Output.(sendOutcome).ok }) {
			t.Errorf("%s succeeded but never ran", key)
		}
	}
}

// recordSend sends a keyed request and returns it as an operation for the
// checker.
func recordSend(start time.Time, address, key string, issued time.Time, timeout time.Duration) porcupine.Operation {
	call := time.Since(start)
	outcome := sendKeyed(address, key, issued, []byte("body"), timeout)
	return porcupine.Operation{Call: call.Nanoseconds(), Output: outcome, Return: time.Since(start).Nanoseconds()}
}

// Guards against refusals of the entry API without a reason or execution state.
func TestSendRefusals(t *testing.T) {
	s, _ := startSite(t)
	now, address := time.Now(), s.EntryAddresses()[0]
	longKey := string(bytes.Repeat([]byte("k"), 129))
	tests := []struct {
		name, key    string
		issued       time.Time
		body         int
		platformDown bool
		reason       model.Reason
	}{
		{"no key", "", now, 1, false, model.ReasonKeyMissing},
		{"long key", longKey, now, 1, false, model.ReasonBadRequest},
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
			s.Platform().SetFaults(plat.Faults{Down: tc.platformDown})
			is.Equal(sendKeyed(address, tc.key, tc.issued, make([]byte, tc.body), time.Second),
				sendOutcome{reason: tc.reason, execution: model.NotRun})
			is.Equal(executions(s, tc.key), 0)
		})
	}
}

// Guards against a second run after the call to the searcher was lost, here by a
// timeout, and against an outcome that is lost when the host that dispatched the
// request shuts down.
func TestSendOutcomesEndToEnd(t *testing.T) {
	is := is.New(t)
	s, _ := startSite(t)
	now := time.Now()
	first := sendKeyed(s.EntryAddresses()[0], "a", now, nil, time.Second)
	is.True(first.ok && !first.repeated)
	is.NoErr(s.Daemons()[0].Close())
	is.Equal(sendKeyed(s.EntryAddresses()[1], "a", now, nil, time.Second), sendOutcome{ok: true, result: first.result, repeated: true})
	for _, n := range s.Fleet(sendService).Searchers {
		n.SetFaults(fleet.Faults{Delay: time.Minute})
	}
	unknown := sendOutcome{reason: model.ReasonOutcomeUnknown, execution: model.MayHaveRun}
	is.Equal(sendKeyed(s.EntryAddresses()[1], "b", now, nil, 100*time.Millisecond), unknown)
	for _, n := range s.Fleet(sendService).Searchers {
		n.SetFaults(fleet.Faults{})
	}
	is.Equal(sendKeyed(s.EntryAddresses()[2], "b", now, nil, time.Second), unknown)
	is.Equal(executions(s, "b"), 1)
}
