package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// lane drives a World with a manual clock and records its commands.
type lane struct {
	*World
	now    time.Time
	handle Handle
	// sent holds the calls in the order in which they were started, answers the
	// answer to each request.
	sent      []StartCall
	answers   map[Handle]Answer
	cancelled []CallID
	// unsent is set if calls wait for a connection.
	unsent bool
}

// newLane returns a World in failure domain d1 with the given number of shards,
// each with one searcher in d1 and one in d2. The route /all/ goes to all shards,
// the route /one/, which is not idempotent, to the first service.
func newLane(shards int, change func(*View, *model.Route)) *lane {
	l := &lane{World: NewWorld("host-1", "d1"), now: time.Unix(1000, 0), answers: map[Handle]Answer{}}
	l.RetryBudget = RetryBudget{RetryShare: 0.2, RetrySlack: 40, RetryWindow: 10 * time.Second}
	route := model.Route{
		Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Timeout: time.Second,
		TargetLatency: 150 * time.Millisecond, Attempts: 2, TopK: 3, MinCoverage: 0.5,
	}
	var services []model.Service
	v := View{HostCount: 1, Joined: true, Ready: true}
	for i := range shards {
		name := model.ServiceName(fmt.Sprintf("shard-%d", i))
		route.Shards = append(route.Shards, name)
		services = append(services, model.Service{Name: name, ConnectionCap: 20})
		for _, domain := range []string{"d1", "d2"} {
			v.Fleet.Registrations = append(v.Fleet.Registrations, registration(string(name), domain))
		}
	}
	single := model.Route{
		Name: "one", Host: "h", Prefix: "/one/", Timeout: time.Second, TargetLatency: 500 * time.Millisecond,
		Attempts: 2, Shares: []model.Share{{Service: "shard-0", Weight: 1}},
	}
	if change != nil {
		change(&v, &route)
	}
	v.Configuration = model.NewConfiguration(1, []model.Route{route, single}, services, model.Limits{})
	l.tick(ViewChanged{View: v})
	return l
}

func registration(service, domain string) model.Registration {
	id := model.SearcherID(service + "/" + domain)
	return model.Registration{
		Searcher: model.Searcher{ID: id, Address: model.Address(id), FailureDomain: model.FailureDomain(domain), Slots: 2},
		Service:  model.ServiceName(service), StartMillis: 1,
	}
}

func (l *lane) tick(events ...Event) {
	var revoked []Event
	defer func() {
		if len(revoked) > 0 {
			l.tick(revoked...)
		}
	}()
	for _, c := range l.Tick(l.now, events) {
		switch c := c.(type) {
		case StartCall:
			l.sent = append(l.sent, c)
		case CancelCall:
			l.cancelled = append(l.cancelled, c.Call)
		case RevokeUnsent: // all calls were sent, unless unsent says otherwise
			for _, id := range c.Calls {
				if l.unsent {
					revoked = append(revoked, CallFailed{Call: id, Failure: model.FailureUnsent, NotRun: true})
				}
			}
			revoked = append(revoked, Revoked{Handle: c.Handle})
		case Respond:
			l.answers[c.Handle] = c.Answer
		}
	}
}

// advance advances the clock by d and ticks at each wake-up time on the way.
func (l *lane) advance(d time.Duration) {
	end := l.now.Add(d)
	for next := l.Next(); !next.IsZero() && !next.After(end); next = l.Next() {
		l.now = next
		l.tick()
	}
	l.now = end
	l.tick()
}

// submit sends a request and returns its handle.
func (l *lane) submit(path string) Handle {
	l.handle++
	l.tick(Arrived{Request: Request{
		Handle: l.handle, ID: model.RequestID(fmt.Sprint("r-", l.handle)), Host: "h", Path: path, Arrived: l.now,
	}})
	return l.handle
}

// reply answers a call with a signed success.
func (l *lane) reply(c StartCall, body string) {
	l.tick(Replied{Call: c.Call, Reply: Reply{Status: 200, Signature: "s-" + string(c.Searcher.ID), Body: []byte(body)}})
}

// shed answers a call with an overload error of a searcher that did not run it.
func (l *lane) shed(c StartCall) {
	l.tick(Replied{Call: c.Call, Reply: Reply{Status: 503, NotRun: true}})
}

// last returns the call that was started last.
func (l *lane) last() StartCall { return l.sent[len(l.sent)-1] }

// remainingBudget returns the remaining retry budget of the first service.
func (l *lane) remainingBudget() float64 {
	id, _ := l.services.Find("shard-0")
	return l.service.Get(id).extraCalls.Left(l.now)
}

// TestQueuedRetryUsesRetryBudget guards against a retry that is queued and then
// counted as a first call, so that a service gets more calls than the retry
// budget of all hosts allows.
func TestQueuedRetryUsesRetryBudget(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) { v.HostCount = 18 }) // one connection to each searcher
	l.advance(l.RetryBudget.RetryWindow)                                // grants the retry slack
	l.submit("/all/a")
	first := l.last()
	l.submit("/all/b") // takes the only connection to the other searcher
	second := l.last()
	is.True(first.Searcher.ID != second.Searcher.ID)
	before := l.remainingBudget()
	l.shed(first) // its part is queued for the other searcher
	is.Equal(len(l.sent), 2)
	l.reply(second, "")
	is.Equal(len(l.sent), 3)
	is.Equal(l.last().Searcher.ID, second.Searcher.ID)
	is.Equal(l.remainingBudget(), before-1)
}

// TestNoRetrySlackAfterStart guards against a restarted process that spends the
// retry slack a second time within one window.
func TestNoRetrySlackAfterStart(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.submit("/all/a")
	is.True(l.remainingBudget() < 1)
	l.advance(l.RetryBudget.RetryWindow)
	is.True(l.remainingBudget() > 30)
}

// TestConnectionShareBeforeJoin guards against a host that does not know its
// peers yet and, as the only preferred host it knows, opens most of the
// connections that a searcher accepts from all hosts.
func TestConnectionShareBeforeJoin(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) {
		v.HostCount, v.Joined = 64, false
		v.ConnectionHosts = []model.Member{{Host: model.Host{ID: "host-1"}}}
	})
	id, _ := l.searchers.Find("shard-0/d1")
	is.Equal(l.searcher.Get(id).connections.MaxOpen, 1)
	is.True(l.searcher.Get(id).connections.OnDemand) // the cap of 20 is less than the hosts
}

// TestCancelledCallDispatchesQueuedPart guards against a queued part that is not
// dispatched when a cancelled call frees a connection.
func TestCancelledCallDispatchesQueuedPart(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) { v.HostCount = 18 }) // one connection to each searcher
	a, b := l.submit("/all/a"), l.submit("/all/b")
	l.submit("/all/c") // queued
	is.Equal(len(l.sent), 2)
	l.tick(CallerDisconnected{Handle: a}, CallerDisconnected{Handle: b})
	l.now = l.now.Add(abandonedCallTime) // both calls are cancelled
	l.tick()
	is.Equal(len(l.cancelled), 2)
	is.Equal(len(l.sent), 3)
}

// TestViewChangeDispatchesQueuedParts guards against a part that stays queued
// after a view has added a free searcher or removed the busy one.
func TestViewChangeDispatchesQueuedParts(t *testing.T) {
	setup := func(t *testing.T) (*lane, model.Registration) {
		t.Helper()
		var second model.Registration
		l := newLane(1, func(v *View, _ *model.Route) {
			v.HostCount = 18
			second = v.Fleet.Registrations[1]
			v.Fleet.Registrations = v.Fleet.Registrations[:1]
		})
		l.submit("/all/a")
		l.submit("/all/b") // queued
		return l, second
	}
	t.Run("searcher added", func(t *testing.T) {
		is := is.New(t)
		l, second := setup(t)
		l.tick(ViewChanged{View: l.view.WithFleet(model.Fleet{Registrations: append(l.view.Fleet.Registrations, second)})})
		is.Equal(len(l.sent), 2)
	})
	t.Run("searcher removed", func(t *testing.T) {
		is := is.New(t)
		l, _ := setup(t)
		l.tick(ViewChanged{View: l.view.WithFleet(model.Fleet{})})
		is.Equal(l.answers[2].Kind, Refused) // at once, not at its deadline
	})
}

// TestNoHeadOfLineBlocking guards against head-of-line blocking by a part that
// may not use the searcher that has become free.
func TestNoHeadOfLineBlocking(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) { v.HostCount = 18 })
	l.advance(l.RetryBudget.RetryWindow)
	l.submit("/all/a")
	l.submit("/all/b") // both searchers are busy
	a, b := l.sent[0], l.sent[1]
	l.shed(a) // its part is queued for the searcher of b, as it has tried the other
	l.submit("/all/c")
	is.Equal(l.last().Request, model.RequestID("r-3")) // at the searcher of a
	l.submit("/all/d")
	l.reply(l.last(), "0123456789abcdef") // frees the searcher of a
	is.Equal(l.last().Request, model.RequestID("r-4"))
	l.reply(b, "0123456789abcdef")
	is.Equal(l.last().Request, model.RequestID("r-1"))
}

// TestQueuedPartFailsWithoutUntriedSearcher guards against a part that stays
// queued because of a busy searcher that it has tried, although the only searcher
// it has not tried is gone.
func TestQueuedPartFailsWithoutUntriedSearcher(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(l *lane, b StartCall)
	}{
		{"removed by a view", func(l *lane, _ StartCall) {
			l.tick(ViewChanged{View: l.view.WithFleet(model.Fleet{Registrations: l.view.Fleet.Registrations[:1]})})
		}},
		{"misdirected reply", func(l *lane, b StartCall) {
			l.tick(Replied{Call: b.Call, Reply: Reply{Status: 421, Misdirected: true}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLane(1, func(v *View, _ *model.Route) { v.HostCount = 18 })
			l.advance(l.RetryBudget.RetryWindow)
			l.submit("/all/a")
			l.submit("/all/b") // both searchers are busy
			a, b := l.sent[0], l.sent[1]
			l.shed(a)          // its part is queued for the searcher of b
			l.submit("/all/c") // occupies the searcher of a again
			c.leave(l, b)
			is.Equal(l.answers[1].Kind, Refused)
		})
	}
}

// TestPriorityOrder guards against serving a request before one of higher
// priority.
func TestPriorityOrder(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, r *model.Route) {
		v.HostCount, v.Fleet.Registrations = 18, v.Fleet.Registrations[:1]
		r.Priority = 2
	})
	l.submit("/all/a")
	l.submit("/all/b")
	l.submit("/one/c") // priority 0 is the highest
	l.submit("/all/d")
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(l.last().Request, model.RequestID("r-3"))
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(l.last().Request, model.RequestID("r-2"))
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(l.last().Request, model.RequestID("r-4"))
}
