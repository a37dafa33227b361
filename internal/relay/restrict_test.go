package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// pause answers a call as a searcher does that turns it away and wants no further
// calls for a while.
func (l *lane) pause(c StartCall, d time.Duration) {
	l.tick(Replied{Call: c.Call, Reply: Reply{Status: 503, NotRun: true, RetryAfter: d}})
}

// TestPausedSearcherGetsNoCalls guards against calls to a searcher that turned one
// away and named the time for which it wants no others, also after its registration
// was away for a moment.
func TestPausedSearcherGetsNoCalls(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.advance(l.RetryBudget.RetryWindow)
	l.submit("/all/a")
	paused := l.last()
	l.pause(paused, 2*time.Second)
	fleet := l.view.Fleet
	l.tick(ViewChanged{View: l.view.WithFleet(model.Fleet{Registrations: fleet.Registrations[1:], Revision: 2})})
	l.tick(ViewChanged{View: l.view.WithFleet(fleet)})
	first := len(l.sent)
	for i := range 15 {
		l.submit(fmt.Sprint("/all/", i))
		l.reply(l.last(), record("a"))
		l.advance(100 * time.Millisecond)
	}
	for _, c := range l.sent[first:] {
		is.True(c.Searcher.ID != paused.Searcher.ID)
	}
	l.advance(time.Second)
	for i := range 20 {
		l.submit(fmt.Sprint("/all/later-", i)) // no replies: both searchers get calls
	}
	found := false
	for _, c := range l.sent[first:] {
		found = found || c.Searcher.ID == paused.Searcher.ID
	}
	is.True(found)
}

// TestSearcherThatSaysItLeavesGetsNoCalls guards against calls to a searcher that has
// told this host in a reply that it is leaving while its registration still says
// that it is ready, also after the registration was away for a moment.
func TestSearcherThatSaysItLeavesGetsNoCalls(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.submit("/all/a")
	leaving := l.last()
	l.tick(Replied{Call: leaving.Call, Reply: Reply{Status: 200, Signature: "s", Body: []byte(record("a")), Leaving: true}})
	fleet := l.view.Fleet
	l.tick(ViewChanged{View: l.view.WithFleet(fleet)})
	l.tick(ViewChanged{View: l.view.WithFleet(model.Fleet{Registrations: fleet.Registrations[1:], Revision: 2})})
	l.tick(ViewChanged{View: l.view.WithFleet(fleet)})
	l.advance(10 * time.Second)
	for i := range 20 {
		l.submit(fmt.Sprint("/all/", i))
	}
	is.True(len(l.sent) > 1)
	for _, c := range l.sent[1:] {
		is.True(c.Searcher.ID != leaving.Searcher.ID)
	}
	restarted := slices.Clone(fleet.Registrations)
	restarted[0].StartMillis++
	l.tick(ViewChanged{View: l.view.WithFleet(model.Fleet{Registrations: restarted, Revision: 3})})
	id, _ := l.searchers.Find(leaving.Searcher.ID)
	is.True(l.searcher.Get(id).usable()) // another start of the searcher
}

// TestRestrictedRequestIsRefusedAtOnce guards against keeping a request until its
// deadline although all searchers want no calls for longer than its target latency,
// and against sending the rest of a search that cannot reach its coverage.
func TestRestrictedRequestIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	l := newLane(3, func(_ *View, r *model.Route) { r.MinCoverage = 1 })
	l.advance(l.RetryBudget.RetryWindow)
	l.submit("/all/a")
	shard := l.sent[0].Searcher.ID[:len("shard-0")]
	l.pause(l.sent[0], 700*time.Millisecond)
	for _, c := range l.sent[1:] {
		if c.Searcher.ID[:len("shard-0")] == shard {
			l.pause(c, 900*time.Millisecond)
		}
	}
	first := len(l.sent)
	h := l.submit("/all/b")
	is.Equal(len(l.sent), first)
	is.Equal(l.answers[h].Refusal.Reason, model.ReasonRestricted)
	is.Equal(l.answers[h].Refusal.Execution, model.NotRun)
	is.Equal(l.answers[h].RetryAfter, 700*time.Millisecond)
	l.advance(700 * time.Millisecond)
	l.submit("/all/c")
	is.Equal(len(l.sent), first+3) // served as soon as one searcher is back
}

// TestShortPauseIsWaitedFor guards against refusing a request that a paused searcher
// can still answer within the target latency.
func TestShortPauseIsWaitedFor(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) { v.Fleet.Registrations = v.Fleet.Registrations[:1] })
	l.advance(l.RetryBudget.RetryWindow)
	l.submit("/all/a")
	l.pause(l.last(), 50*time.Millisecond)
	h := l.submit("/all/b")
	is.Equal(len(l.sent), 1)
	l.advance(50 * time.Millisecond)
	is.Equal(len(l.sent), 2)
	l.reply(l.last(), record("a"))
	is.Equal(l.answers[h].Kind, Merged)
}

// onlyHost makes a view with one searcher whose only host is that of the lane.
func onlyHost(v *View, _ *model.Route) {
	v.Fleet.Registrations = v.Fleet.Registrations[:1]
	v.LargeShareHosts = []model.Member{{Host: model.Host{ID: "host-1"}}}
}

// TestExtremeLimits guards against a limit of nothing that never ends because no call
// is made, and against a huge one that overflows and stops all calls.
func TestExtremeLimits(t *testing.T) {
	for _, c := range []struct {
		limit float64
		calls int
	}{{0, 1}, {1e300, 100}} {
		t.Run(fmt.Sprint(c.limit, " a second"), func(t *testing.T) {
			is := is.New(t)
			l := newLane(1, onlyHost)
			reply := Reply{Status: 200, Signature: "s", Body: []byte(record("a")), RateLimited: true, RateLimit: c.limit}
			l.submit("/all/first")
			l.tick(Replied{Call: l.last().Call, Reply: reply})
			for range 100 {
				l.advance(200 * time.Millisecond)
				first := len(l.sent)
				l.submit("/all/x")
				for _, call := range l.sent[first:] {
					l.tick(Replied{Call: call.Call, Reply: reply})
				}
			}
			is.True(len(l.sent)-1 >= c.calls)
			is.True(len(l.sent)-1 <= max(3, 100*c.calls))
		})
	}
}

// TestRefusedCallersReturnOneAfterTheOther guards against callers that are told to
// return at the same time although their searcher takes them one by one.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	l := newLane(1, onlyHost)
	l.submit("/all/first")
	l.tick(Replied{Call: l.last().Call, Reply: Reply{
		Status: 200, Signature: "s", Body: []byte(record("a")), RateLimited: true, RateLimit: 4,
	}})
	var last time.Duration
	for range 3 {
		a := l.answers[l.submit("/all/x")]
		is.Equal(a.Refusal.Reason, model.ReasonRestricted)
		is.True(a.RetryAfter > last)
		last = a.RetryAfter
	}
	is.True(last <= time.Second) // the route's timeout
}

// TestQueuedPartsShareOneTimer guards against timers that multiply with each sweep over
// the queued parts of a service, which took all memory within seconds.
func TestQueuedPartsShareOneTimer(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, r *model.Route) {
		onlyHost(v, r)
		r.TargetLatency = time.Second
	})
	reply := Reply{Status: 200, Signature: "s", Body: []byte(record("a")), RateLimited: true, RateLimit: 20}
	l.submit("/all/first")
	l.tick(Replied{Call: l.last().Call, Reply: reply})
	for i := range 100 {
		l.submit(fmt.Sprint("/all/", i))
		l.advance(20 * time.Millisecond)
		is.True(l.serviceTimers.Len() <= 2)
	}
	is.True(len(l.sent) > 20)
}
