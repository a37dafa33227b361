package client

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// Guards against a request that is retried although it may have run or every host
// would refuse it, and against one that fails although another host may serve it.
func TestRetryOnAnotherHost(t *testing.T) {
	tests := []struct {
		reason string
		notRun bool
		// retriedKinds holds the kinds of request that are retried on another host.
		retriedKinds []kind
	}{
		{ReasonUnreachable, true, []kind{kindSearch, kindKeyedSend, kindSend}},
		{string(model.ReasonDraining), true, []kind{kindSearch, kindKeyedSend, kindSend}},
		{string(model.ReasonNotReady), true, []kind{kindSearch, kindKeyedSend, kindSend}},
		{string(model.ReasonPlatformDown), true, []kind{kindSearch, kindKeyedSend, kindSend}},
		{string(model.ReasonQueueFull), true, []kind{kindSearch, kindKeyedSend, kindSend}},
		{string(model.ReasonDraining), false, []kind{kindSearch, kindKeyedSend}},
		{ReasonLost, false, []kind{kindSearch, kindKeyedSend}},
		{string(model.ReasonBadRequest), true, nil},
		{string(model.ReasonQuarantined), true, nil},
		{string(model.ReasonDeadlineTooShort), true, nil},
		{string(model.ReasonOutcomeUnknown), false, nil},
		{string(model.ReasonKeyOutsideWindow), true, nil},
	}
	for _, x := range tests {
		for _, k := range []kind{kindSearch, kindKeyedSend, kindSend} {
			is := is.New(t)
			w := newWorld([]model.Address{"10.0.0.1:1"}, "", 0.1, rand.New(rand.NewPCG(1, 2)))
			hosts := []model.EntryAddress{{Host: "a", Weight: 1}, {Host: "b", Weight: 1}}
			w.Tick(start, []event{addressesReceived{testService, hosts, time.Hour}})
			out := w.Tick(start, []event{submitted{1, k, testService, start.Add(time.Second)}})
			first := out[0].(attempt)
			out = w.Tick(start, []event{attemptFailed{1, first.host, failure{reason: x.reason, notRun: x.notRun}}})
			want := false
			for _, r := range x.retriedKinds {
				want = want || r == k
			}
			got, retried := out[0].(attempt)
			if !retried {
				_, retried = out[len(out)-1].(attempt)
			}
			is.Equal(retried, want) // a retry is sent if the kind allows it
			if retried && got.id == 1 {
				is.True(got.host.Host != first.host.Host)
				continue
			}
			if c, ok := out[len(out)-1].(completion); ok {
				is.Equal(c.err.Reason, x.reason)
				is.Equal(c.err.Execution == NotRun, x.notRun)
			}
		}
	}
}

// Guards against a cancelled error for a request whose reply arrived in the same
// tick, and against requests to a host that just refused one as draining.
func TestReplyBeforeCancellationAndDrainingHost(t *testing.T) {
	is := is.New(t)
	w := newWorld([]model.Address{"10.0.0.1:1"}, "", 0.1, rand.New(rand.NewPCG(1, 2)))
	hosts := []model.EntryAddress{{Host: "a", Weight: 1}, {Host: "b", Weight: 1}}
	w.Tick(start, []event{addressesReceived{testService, hosts, time.Hour}})
	out := w.Tick(start, []event{submitted{1, kindSend, testService, start.Add(time.Second)}})
	first := out[0].(attempt)
	out = w.Tick(start, []event{attemptReplied{1, first.host, "done"}, callerCancelled{1}})
	is.Equal(out, []command{completion{id: 1, reply: "done"}})

	w.Tick(start, []event{attemptFailed{2, first.host, failure{reason: string(model.ReasonDraining), notRun: true}}})
	for n := range 50 {
		out = w.Tick(start, []event{submitted{requestID(10 + n), kindSend, testService, start.Add(time.Second)}})
		is.True(out[0].(attempt).host.Host != first.host.Host)
	}
}
