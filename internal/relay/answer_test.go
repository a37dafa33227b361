package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

func record(letter string) string { return strings.Repeat(letter, recordSize) }

// TestPartialAnswerAtTargetLatency guards against a partial answer sent too
// early, which omits a part that would arrive in time, and one sent after the
// target although the required coverage is reached.
func TestPartialAnswerAtTargetLatency(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	h := l.submit("/all/q")
	for _, c := range l.sent[:3] {
		l.reply(c, record("a"))
	}
	l.advance(100 * time.Millisecond)
	_, answered := l.answers[h]
	is.True(!answered)
	l.advance(50 * time.Millisecond)
	a := l.answers[h]
	is.Equal(a.Kind, Merged)
	is.Equal(len(a.Signatures), 3)
	is.Equal(a.Missing, 1)
}

// TestAnswerWaitsForRequiredCoverage guards against a partial answer below the
// required coverage, and one that waits for more parts than required later on.
func TestAnswerWaitsForRequiredCoverage(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	h := l.submit("/all/q")
	l.reply(l.sent[0], record("a"))
	l.advance(200 * time.Millisecond)
	_, answered := l.answers[h]
	is.True(!answered)
	l.reply(l.sent[1], record("b"))
	is.Equal(l.answers[h].Missing, 2)
}

// TestUnreachableCoverageFailsImmediately guards against a request that stays
// open until its deadline although it can no longer succeed.
func TestUnreachableCoverageFailsImmediately(t *testing.T) {
	is := is.New(t)
	l := newLane(2, func(v *View, r *model.Route) {
		r.MinCoverage = 1
		v.Fleet.Registrations = v.Fleet.Registrations[:2] // none for the second shard
	})
	h := l.submit("/all/q")
	a := l.answers[h]
	is.Equal(a.Kind, Refused)
	is.Equal(a.Refusal.Execution, model.MayHaveRun) // the first shard may have run it
}

// TestExecutionOfFailedRequests covers the execution state that the answers to
// failed requests report.
func TestExecutionOfFailedRequests(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(l *lane, c StartCall)
		want model.Execution
	}{
		{"shed", func(l *lane, c StartCall) { l.shed(c) }, model.NotRun},
		{"connect failed", func(l *lane, c StartCall) {
			l.tick(CallFailed{Call: c.Call, Failure: model.FailureConnect, NotRun: true})
		}, model.NotRun},
		{"connection lost", func(l *lane, c StartCall) {
			l.tick(CallFailed{Call: c.Call, Failure: model.FailureLost})
		}, model.MayHaveRun},
		{"deadline expired", func(l *lane, _ StartCall) { l.advance(2 * time.Second) }, model.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := newLane(1, func(v *View, _ *model.Route) {
				v.Fleet.Registrations = v.Fleet.Registrations[:1]
			})
			h := l.submit("/one/q")
			test.end(l, l.last())
			is.Equal(l.answers[h].Refusal.Execution, test.want)
			is.Equal(len(l.sent), 1)
		})
	}
}

// TestNonIdempotentRequestRunsOnce guards against a second call for a request
// that may have run: neither a slow nor a lost call causes one.
func TestNonIdempotentRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.advance(l.RetryBudget.RetryWindow)
	l.submit("/one/q")
	l.advance(900 * time.Millisecond)
	l.tick(CallFailed{Call: l.last().Call, Failure: model.FailureLost})
	is.Equal(len(l.sent), 1)
}

// TestHedgeIsSentOnce guards against a missing or a repeated hedge.
func TestHedgeIsSentOnce(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.advance(l.RetryBudget.RetryWindow)
	h := l.submit("/all/q")
	l.advance(100 * time.Millisecond)
	is.Equal(len(l.sent), 2)
	is.True(l.sent[0].Searcher.ID != l.sent[1].Searcher.ID)
	l.reply(l.sent[1], record("b"))
	is.Equal(l.answers[h].Missing, 0)
	l.reply(l.sent[0], record("a")) // the slower reply is dropped
	is.Equal(len(l.answers[h].Signatures), 1)
}

// TestCallsOfDisconnectedCallersAreCancelled guards against searchers that work
// for a disconnected caller; they must stop within 500 ms.
func TestCallsOfDisconnectedCallersAreCancelled(t *testing.T) {
	is := is.New(t)
	l := newLane(3, nil)
	h := l.submit("/all/q")
	l.tick(CallerDisconnected{Handle: h})
	l.advance(400 * time.Millisecond)
	is.Equal(len(l.cancelled), 3)
	is.Equal(l.Running(), 0)
	is.Equal(l.calls.Len(), 0)
}

// TestRequestOfAGoneCallerIsNotSent guards against a request that is sent to searchers
// although its caller has left, because both events wait for the same tick of a process
// that was paused or is busy. Nothing would cancel its calls before the deadline.
func TestRequestOfAGoneCallerIsNotSent(t *testing.T) {
	for _, path := range []string{"/all/q", "/one/q"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			l := newLane(3, nil)
			gone := Request{Handle: 1, ID: "gone", Host: "h", Path: path, Arrived: l.now}
			waits := Request{Handle: 2, ID: "waits", Host: "h", Path: "/one/q", Arrived: l.now}
			l.tick(Arrived{Request: gone}, Arrived{Request: waits}, CallerDisconnected{Handle: gone.Handle})
			is.Equal(len(l.sent), 1)
			is.Equal(l.sent[0].Request, waits.ID)
			is.Equal(l.answers[gone.Handle].Refusal.Reason, model.ReasonCallerCancelled)
			is.Equal(l.answers[gone.Handle].Refusal.Execution, model.NotRun)
			l.tick(CallerDisconnected{Handle: waits.Handle})
			is.Equal(l.Running(), 0)
		})
	}
}

// TestLeavingSearcherGetsNoCalls guards against calls to searchers that are
// draining, or whose address was taken over.
func TestLeavingSearcherGetsNoCalls(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	v := l.view
	v.Fleet.Registrations = []model.Registration{
		v.Fleet.Registrations[0].WithLeaving(true), v.Fleet.Registrations[1],
	}
	l.tick(ViewChanged{View: v})
	l.submit("/all/q")
	is.Equal(l.last().Searcher.FailureDomain, model.FailureDomain("d2"))
	l.tick(Replied{Call: l.last().Call, Reply: Reply{Status: 421, Misdirected: true}})
	sent := len(l.sent)
	l.submit("/all/r")
	is.Equal(len(l.sent), sent) // no searcher is left
}

// TestTrafficSplitFollowsWeights guards against a traffic split that deviates
// from its weights.
func TestTrafficSplitFollowsWeights(t *testing.T) {
	is := is.New(t)
	l := newLane(2, func(_ *View, r *model.Route) {
		r.Shards, r.Shares = nil, []model.Share{{Service: "shard-0", Weight: 3}, {Service: "shard-1", Weight: 1}}
	})
	count := map[model.FailureDomain]int{}
	first := 0
	for range 40 {
		l.submit("/all/q")
		c := l.last()
		count[c.Searcher.FailureDomain]++
		if strings.HasPrefix(string(c.Searcher.ID), "shard-0") {
			first++
		}
		l.reply(c, "")
	}
	is.Equal(first, 30)
}

// TestStalledSearcherIsSkipped guards against new calls to a searcher that has
// stopped answering while another searcher is idle.
func TestStalledSearcherIsSkipped(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.submit("/all/q")
	is.Equal(l.last().Searcher.FailureDomain, model.FailureDomain("d1"))
	l.advance(60 * time.Millisecond)
	l.submit("/all/r")
	is.Equal(l.last().Searcher.FailureDomain, model.FailureDomain("d2"))
}

// TestMergeKeepsTheGreatestRecords covers order, duplicate records and trailing
// bytes shorter than a record.
func TestMergeKeepsTheGreatestRecords(t *testing.T) {
	is := is.New(t)
	a := mergeParts([]Reply{
		{Signature: "x", Body: []byte(record("b") + record("d") + "zz")},
		{Signature: "y", Body: []byte(record("d") + record("a"))},
	}, 1, 3)
	is.Equal(string(a.Records), record("d")+record("d")+record("b"))
	is.Equal(a.Signatures, []string{"x", "y"})
	is.Equal(a.Missing, 1)
}

// TestPreferredHosts covers the selection of preferred hosts.
func TestPreferredHosts(t *testing.T) {
	host := func(id, domain string, capacity int) model.Member {
		return model.Member{Ready: true, Host: model.Host{
			ID: model.HostID(id), Entry: model.Address(id), FailureDomain: model.FailureDomain(domain), Capacity: capacity,
		}}
	}
	equal := []model.Member{host("a", "d1", 400), host("b", "d1", 400), host("c", "d2", 400), host("d", "d3", 400)}
	mixed := append([]model.Member{
		host("w", "d1", 80), host("x", "d2", 80), host("a", "d1", 800), host("b", "d2", 800), host("c", "d2", 800),
	}, host("z", "d3", 800))
	suspect := func(hosts []model.Member, ids string) []model.Member {
		list := slices.Clone(hosts)
		for i, m := range list {
			if strings.Contains(ids, string(m.Host.ID)) {
				list[i].State = model.MemberSuspect
			}
		}
		return list
	}
	for _, test := range []struct {
		name   string
		hosts  []model.Member
		domain model.FailureDomain
		want   string
	}{
		// A killed host is a suspect for seconds before it counts as failed.
		{"a suspect", suspect(equal, "a"), "d2", "bc"},
		{"a suspect of the own domain", suspect(equal, "a"), "d1", "bc"},
		{"half are suspects", suspect(append(equal[:3:3], host("e", "d2", 400)), "ab"), "d1", "ce"},
		// This host is more likely partitioned than most others have failed.
		{"most are suspects", suspect(equal, "ab"), "d1", "ab"},
		{"own domain", equal, "d1", "ab"},
		{"single host of its domain", equal, "d2", "abc"},
		{"domain without searchers", equal, "d3", "abc"},
		{"large hosts only", mixed, "d2", "bc"},
		{"large hosts of other domains", mixed, "d1", "abc"},
		{"too few large hosts", mixed[:4], "d2", "xb"},
		{"one domain left", equal[3:], "d1", "d"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := newLane(2, nil)
			v := l.view.WithHosts(test.hosts, len(test.hosts), true).WithPreferredHosts()
			got := ""
			for _, h := range v.HostsFor(test.domain) {
				got += string(h.ID)
			}
			is.Equal(got, test.want)
		})
	}
}

// TestSheddingLowersConcurrencyLimit guards against sending more calls to a
// searcher that sheds load. Each shed call costs retry budget, whereas a queued
// one costs nothing.
func TestSheddingLowersConcurrencyLimit(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) {
		v.Fleet.Registrations = v.Fleet.Registrations[:1]
		v.HostCount = 6 // three connections
	})
	for range 3 {
		l.submit("/all/q")
	}
	is.Equal(len(l.sent), 3)
	l.shed(l.sent[0])
	l.shed(l.sent[1])
	l.submit("/all/q")
	is.Equal(len(l.sent), 3) // queued, although two connections are free
	l.reply(l.sent[2], record("a"))
	is.Equal(len(l.sent), 4)
}

// TestPartialAnswerDelaySubtractsRoundTrips guards against answers that are sent
// within the target latency but reach a distant caller after it.
func TestPartialAnswerDelaySubtractsRoundTrips(t *testing.T) {
	for _, test := range []struct {
		name string
		trip time.Duration
		want time.Duration
	}{
		{"short round trip", 2 * time.Millisecond, 136 * time.Millisecond},
		{"long round trip", 15 * time.Millisecond, 110 * time.Millisecond},
		{"unknown round trip", 0, 128 * time.Millisecond},
		{"round trip above the target", time.Second, 75 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			route := model.Route{TargetLatency: 150 * time.Millisecond}
			is.Equal(partialAnswerDelay(Request{RoundTrip: test.trip}, route), test.want)
		})
	}
}

// TestFailureReason guards against a refusal with a wrong reason, such as
// noReplica when all searchers are available.
func TestFailureReason(t *testing.T) {
	all := func(_ *View, r *model.Route) { r.MinCoverage = 1 }
	for _, test := range []struct {
		name   string
		change func(*View, *model.Route)
		act    func(*lane)
		want   model.Reason
	}{
		{"calls lost", all, func(l *lane) { l.crash("/all/x", 1) }, model.ReasonSearcherFailed},
		{"no searcher", func(v *View, _ *model.Route) { v.Fleet = model.Fleet{} }, func(l *lane) { l.submit("/all/x") }, model.ReasonNoReplica},
		{"no retry budget", all, func(l *lane) {
			l.submit("/all/x")
			for i := 0; i < len(l.sent); i++ { // no retry slack has been granted yet
				l.shed(l.sent[i])
			}
		}, model.ReasonRetryBudget},
		{"deadline expired", all, func(l *lane) {
			l.submit("/all/x")
			l.advance(time.Second)
		}, model.ReasonDeadlineExpired},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := newLane(1, test.change)
			if test.want == model.ReasonSearcherFailed {
				l.advance(l.RetryBudget.RetryWindow) // grants the retry slack
			}
			test.act(l)
			is.Equal(l.answers[1].Refusal.Reason, test.want)
		})
	}
}

// Guards against a request that reached no searcher, because its calls waited for
// connections until the deadline, and is answered as one that may have run: its caller
// could then not repeat it. Calls that were sent count as before.
func TestRequestWithoutSentCallsHasNotRun(t *testing.T) {
	for _, c := range []struct {
		unsent bool
		want   model.Execution
	}{{true, model.NotRun}, {false, model.MayHaveRun}} {
		for _, path := range []string{"/one/", "/all/"} {
			t.Run(fmt.Sprint(path, " unsent ", c.unsent), func(t *testing.T) {
				is := is.New(t)
				l := newLane(2, nil)
				l.unsent = c.unsent
				h := l.submit(path)
				l.advance(time.Second)
				is.Equal(l.answers[h].Kind, Refused)
				is.Equal(l.answers[h].Refusal.Execution, c.want)
				is.Equal(l.Running(), 0)
			})
		}
	}
}

// Guards against a request that waits for a searcher and is sent after its deadline,
// because the process was paused and a searcher is free when it goes on. Its caller
// would be told that it may have run, or get two runs after a retry.
func TestNoCallAfterDeadlineOfPausedProcess(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) {
		v.Fleet.Registrations = v.Fleet.Registrations[:1]
		v.HostCount = 18 // one connection to each searcher
	})
	l.submit("/one/")
	waiting := l.submit("/one/")
	is.Equal(len(l.sent), 1)
	l.now = l.now.Add(5 * time.Second) // no tick in between
	l.reply(l.sent[0], "late")
	is.Equal(len(l.sent), 1)
	is.Equal(l.answers[waiting].Refusal.Reason, model.ReasonDeadlineExpired)
	is.Equal(l.answers[waiting].Refusal.Execution, model.NotRun)
}
