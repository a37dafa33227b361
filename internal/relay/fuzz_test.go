package relay

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// oracle drives a World and checks its commands against the guarantees to callers
// and searchers.
type oracle struct {
	t *rapid.T
	*World
	now     time.Time
	handles Handle
	paths   map[Handle]string
	// running holds the calls without an outcome.
	running map[CallID]StartCall
	// runs counts the calls of a request that may have run.
	runs    map[model.RequestID]int
	started map[CallID]int
	// answers counts the answers to each request.
	answers    map[Handle]int
	unanswered map[Handle]bool
	version    model.Revision
	leaving    map[model.SearcherID]bool
	// pausedUntil holds the ends of the pauses that searchers requested, saidLeaving
	// those that reported in a reply that they are leaving.
	pausedUntil map[model.SearcherID]time.Time
	saidLeaving map[model.SearcherID]bool
	// firstCalls and extraCalls hold the times of first and further calls to a service.
	firstCalls, extraCalls map[model.ServiceName][]time.Time
	called                 map[string]bool
	services               map[CallID]model.ServiceName
	shardSets              map[Handle][]model.ServiceName
}

const (
	fuzzShards = 3
	fuzzSlack  = 4.0
)

func newOracle(t *rapid.T) *oracle {
	o := &oracle{
		t: t, World: NewWorld("host-1", "d1"), now: time.Unix(1000, 0), paths: map[Handle]string{},
		running: map[CallID]StartCall{}, runs: map[model.RequestID]int{}, started: map[CallID]int{},
		answers: map[Handle]int{}, unanswered: map[Handle]bool{}, leaving: map[model.SearcherID]bool{}, pausedUntil: map[model.SearcherID]time.Time{},
		saidLeaving: map[model.SearcherID]bool{},
		firstCalls:  map[model.ServiceName][]time.Time{}, extraCalls: map[model.ServiceName][]time.Time{},
		called: map[string]bool{}, services: map[CallID]model.ServiceName{}, shardSets: map[Handle][]model.ServiceName{},
	}
	o.RetryBudget = RetryBudget{RetryShare: 0.2, RetrySlack: fuzzSlack, RetryWindow: 10 * time.Second}
	o.publish()
	o.now = o.now.Add(o.RetryBudget.RetryWindow) // grants the retry slack
	o.tick()
	return o
}

// shards returns the shard set of a configuration version.
func shards(version model.Revision) []model.ServiceName {
	var list []model.ServiceName
	for i := range fuzzShards {
		list = append(list, model.ServiceName(fmt.Sprintf("v%d-%d", version/4, i))) // every fourth version has a new set
	}
	return list
}

// publish applies a new configuration version.
func (o *oracle) publish() {
	o.version++
	set := shards(o.version)
	routes := []model.Route{
		{
			Name: "all", Host: "h", Prefix: "/all/", Idempotent: true, Timeout: 800 * time.Millisecond,
			TargetLatency: 150 * time.Millisecond, Attempts: 2, Shards: set, TopK: 2, MinCoverage: 0.6,
		},
		{
			Name: "once", Host: "h", Prefix: "/once/", Timeout: 800 * time.Millisecond, TargetLatency: 200 * time.Millisecond,
			Attempts: 3, Shares: []model.Share{{Service: set[0], Weight: 1}},
		},
	}
	var services []model.Service
	for _, name := range set {
		services = append(services, model.Service{Name: name, ConnectionCap: 4})
	}
	v := View{HostCount: 1, Joined: true, Ready: true, Configuration: model.NewConfiguration(o.version, routes, services, model.Limits{})}
	for s := range o.version/4 + 1 {
		for _, name := range shards(s * 4) {
			for _, domain := range []string{"d1", "d2"} {
				r := registration(string(name), domain)
				v.Fleet.Registrations = append(v.Fleet.Registrations, r.WithLeaving(o.leaving[r.Searcher.ID]))
			}
		}
	}
	o.tick(ViewChanged{View: v})
}

func (o *oracle) tick(events ...Event) {
	var revoked []Event
	for _, c := range o.Tick(o.now, events) {
		switch c := c.(type) {
		case StartCall:
			o.checkCall(c)
		case CancelCall:
			delete(o.running, c.Call)
		case RevokeUnsent:
			revoked = append(revoked, Revoked{Handle: c.Handle})
		case Respond:
			o.checkAnswer(c)
		}
	}
	if len(revoked) > 0 {
		o.tick(revoked...)
		return
	}
	if next := o.Next(); !next.IsZero() && !next.After(o.now) {
		o.t.Fatalf("the next wake-up is %v in the past, so the loop would spin", o.now.Sub(next))
	}
	o.checkProgress()
}

// checkProgress checks that every open part makes progress: it has a call, or it
// is queued while all searchers that may serve it are full, or it is held while a
// call of its request is in flight or queued.
func (o *oracle) checkProgress() {
	for row := range o.parts.All() {
		p := o.part.Get(row)
		if p.state != partOpen || len(p.activeCalls) > 0 {
			continue
		}
		r := o.request.Get(p.request)
		switch {
		case p.held && (o.wave.Get(r.wave).activeCalls > 0 || o.hasQueuedPart(r)):
		case p.held || !p.waiting:
			o.t.Fatalf("a part of %s has no call and is not queued (held: %t)", r.received.ID, p.held)
		default:
			c := o.chooseSearcher(r, p)
			wakes := !c.availableAt.IsZero() && !o.Next().IsZero() && !o.Next().After(c.availableAt)
			if c.found || !c.busy && !wakes {
				o.t.Fatalf("a part of %s is queued: searcher with capacity: %t, busy searcher: %t, wake-up for a paused one: %t",
					r.received.ID, c.found, c.busy, wakes)
			}
		}
	}
}

func (o *oracle) checkCall(c StartCall) {
	o.running[c.Call] = c
	o.runs[c.Request]++
	if o.leaving[c.Searcher.ID] || o.saidLeaving[c.Searcher.ID] {
		o.t.Fatalf("call to searcher %s, which is leaving", c.Searcher.ID)
	}
	if until := o.pausedUntil[c.Searcher.ID]; o.now.Before(until) {
		o.t.Fatalf("call to searcher %s, which requested a pause for another %v", c.Searcher.ID, until.Sub(o.now))
	}
	name := model.ServiceName(strings.Split(string(c.Searcher.ID), "/")[0])
	o.services[c.Call] = name
	key := string(c.Request) + string(name)
	times := o.firstCalls
	if o.called[key] {
		times = o.extraCalls
	}
	o.called[key] = true
	times[name] = append(times[name], o.now)
	if allowed := 0.2*float64(o.countRecent(o.firstCalls[name])) + fuzzSlack; float64(o.countRecent(o.extraCalls[name])) > allowed {
		o.t.Fatalf("%d extra calls to %s in a window; allowed: %.1f", o.countRecent(o.extraCalls[name]), name, allowed)
	}
}

// hasQueuedPart reports whether a part of the request is queued.
func (o *oracle) hasQueuedPart(r request) bool {
	return slices.ContainsFunc(r.parts, func(row table.ID) bool {
		p := o.part.Get(row)
		return p.state == partOpen && p.waiting
	})
}

// countRecent counts the times within the retry window.
func (o *oracle) countRecent(times []time.Time) int {
	n := 0
	for _, at := range times {
		if o.now.Sub(at) < o.RetryBudget.RetryWindow {
			n++
		}
	}
	return n
}

func (o *oracle) checkAnswer(c Respond) {
	if o.answers[c.Handle]++; o.answers[c.Handle] > 1 {
		o.t.Fatalf("request %d was answered twice", c.Handle)
	}
	delete(o.unanswered, c.Handle)
	id := requestID(c.Handle)
	switch a := c.Answer; a.Kind {
	case Refused:
		if a.Refusal.Execution == model.NotRun && o.runs[id] > 0 {
			o.t.Fatalf("request %d was reported as not run, but %d calls may have run", c.Handle, o.runs[id])
		}
	case Merged:
		o.checkParts(c.Handle, a)
	case Relayed:
		if a.Reply.ClaimsNotRun {
			o.t.Fatalf("request %d got a status that promises that it has not run", c.Handle)
		}
		if !strings.HasPrefix(a.Reply.Signature, string(id)+":") {
			o.t.Fatalf("request %d got the answer %s", c.Handle, a.Reply.Signature)
		}
	}
}

// checkParts checks that the parts belong to this request and to distinct shards
// of the set in force at its arrival, and that the number of missing parts is
// right.
func (o *oracle) checkParts(h Handle, a Answer) {
	set := map[string]bool{}
	for _, name := range o.shardSets[h] {
		set[string(requestID(h))+":"+string(name)] = true
	}
	for _, signature := range a.Signatures {
		if !set[signature] {
			o.t.Fatalf("request %d has the part %s, which is a duplicate or not of its set", h, signature)
		}
		delete(set, signature)
	}
	if len(set) != a.Missing || len(a.Signatures) < 2 {
		o.t.Fatalf("request %d: %d parts, %d missing, reported missing %d", h, len(a.Signatures), len(set), a.Missing)
	}
}

func requestID(h Handle) model.RequestID { return model.RequestID(fmt.Sprintf("r%d", h)) }

func (o *oracle) arrive(t *rapid.T) {
	o.handles++
	path := rapid.SampledFrom([]string{"/all/q", "/all/q", "/once/q", "/none/q"}).Draw(t, "path")
	o.paths[o.handles], o.unanswered[o.handles] = path, true
	o.shardSets[o.handles] = shards(o.version)
	timeout := time.Duration(rapid.IntRange(0, 900).Draw(t, "timeout")) * time.Millisecond
	o.tick(Arrived{Request: Request{
		Handle: o.handles, ID: requestID(o.handles), Fingerprint: model.Fingerprint(rapid.IntRange(0, 3).Draw(t, "fingerprint")), Host: "h", Path: path, Arrived: o.now, Timeout: timeout,
	}})
}

// takeCall removes and returns a running call.
func (o *oracle) takeCall(t *rapid.T) StartCall {
	if len(o.running) == 0 {
		t.Skip("no call is running")
	}
	ids := slices.Sorted(maps.Keys(o.running))
	id := rapid.SampledFrom(ids).Draw(t, "call")
	c := o.running[id]
	delete(o.running, id)
	return c
}

func (o *oracle) reply(t *rapid.T) {
	c := o.takeCall(t)
	leaving := rapid.IntRange(0, 15).Draw(t, "leaving") == 15
	o.saidLeaving[c.Searcher.ID] = o.saidLeaving[c.Searcher.ID] || leaving
	o.tick(Replied{Call: c.Call, Reply: Reply{
		Status: 200, Signature: string(c.Request) + ":" + string(o.services[c.Call]), Body: []byte(record("a")), Leaving: leaving,
	}})
}

func (o *oracle) refuse(t *rapid.T) {
	c := o.takeCall(t)
	o.runs[c.Request]--
	misdirected := rapid.Bool().Draw(t, "misdirected")
	if misdirected {
		o.tick(Replied{Call: c.Call, Reply: Reply{Status: 421, Misdirected: true}})
		return
	}
	pause := time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Millisecond
	o.pausedUntil[c.Searcher.ID] = laterOf(o.pausedUntil[c.Searcher.ID], o.now.Add(pause))
	o.tick(Replied{Call: c.Call, Reply: Reply{Status: 503, NotRun: true, RetryAfter: pause}})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (o *oracle) lose(t *rapid.T) {
	c := o.takeCall(t)
	notRun := rapid.Bool().Draw(t, "notRun")
	if notRun {
		o.runs[c.Request]--
	}
	o.tick(CallFailed{Call: c.Call, Failure: model.FailureLost, NotRun: notRun})
}

func (o *oracle) replyError(t *rapid.T) {
	c := o.takeCall(t)
	signature := ""
	if rapid.Bool().Draw(t, "signed") {
		signature = string(c.Request) + ":error"
	}
	claims := rapid.Bool().Draw(t, "claims not run")
	o.tick(Replied{Call: c.Call, Reply: Reply{Status: 500, Signature: signature, ClaimsNotRun: claims}})
}

// replyLate sends a reply for a call that has ended, as a late reply does.
func (o *oracle) replyLate(t *rapid.T) {
	id := CallID(rapid.IntRange(1, 50).Draw(t, "ended call"))
	if _, ok := o.running[id]; !ok {
		o.tick(Replied{Call: id, Reply: Reply{Status: 200, Signature: "late"}})
	}
}

func (o *oracle) disconnect(t *rapid.T) {
	h := Handle(rapid.IntRange(1, int(o.handles)+1).Draw(t, "caller"))
	if o.unanswered[h] {
		o.tick(CallerDisconnected{Handle: h})
	}
}

// loseAll loses all calls of a request, as if the request crashed its searchers.
func (o *oracle) loseAll(t *rapid.T) {
	first := o.takeCall(t)
	o.running[first.Call] = first
	for _, call := range slices.Sorted(maps.Keys(o.running)) {
		if c, ok := o.running[call]; ok && c.Request == first.Request {
			delete(o.running, call)
			o.tick(CallFailed{Call: call, Failure: model.FailureLost})
		}
	}
}

// receiveSuspect applies a view with one suspect or none.
func (o *oracle) receiveSuspect(t *rapid.T) {
	suspects := map[model.Fingerprint]Suspect{}
	if n := rapid.IntRange(0, quarantineWaves).Draw(t, "losses"); n > 0 {
		suspects[model.Fingerprint(rapid.IntRange(1, 3).Draw(t, "suspect"))] = Suspect{Losses: n, At: o.now}
	}
	o.tick(ViewChanged{View: o.view.WithSuspects(suspects)})
}

func (o *oracle) drain(t *rapid.T) {
	name := rapid.SampledFrom(shards(o.version)).Draw(t, "service")
	domain := rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain")
	id := registration(string(name), domain).Searcher.ID
	o.leaving[id] = !o.leaving[id]
	o.publish()
}

func (o *oracle) advance(t *rapid.T) {
	end := o.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	for next := o.Next(); !next.IsZero() && !next.After(end); next = o.Next() {
		o.now = next
		o.tick()
	}
	o.now = end
}

// TestRelayUnderFaults drives the World with replies, refusals, losses, late
// replies, drains and new versions. It checks that each request has one answer,
// that the parts of an answer are of one shard set and counted correctly, that a
// request is reported as not run only if that is certain, that a request that is
// not idempotent runs at most once, that leaving searchers get no calls, that
// searchers that requested a pause get none until its end, and that extra calls
// stay within the retry budget.
func TestRelayUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": o.arrive, "arrive more": o.arrive, "reply": o.reply, "reply more": o.reply,
			"decline": o.refuse, "lose": o.lose, "lose all": o.loseAll, "inject suspect": o.receiveSuspect, "error reply": o.replyError,
			"repeat reply": o.replyLate, "disconnect": o.disconnect, "drain": o.drain, "publish": func(*rapid.T) { o.publish() },
			"pass time": o.advance,
			"": func(t *rapid.T) {
				for h, path := range o.paths {
					if path == "/once/q" && o.runs[requestID(h)] > 1 {
						t.Fatalf("request %d may have run %d times", h, o.runs[requestID(h)])
					}
				}
			},
		})
		// Every request ends by its deadline without further events.
		o.now = o.now.Add(2 * time.Second)
		for range 3 {
			o.tick()
			o.now = o.now.Add(time.Second)
		}
		if len(o.unanswered) > 0 || o.Running() > 0 || o.calls.Len() > 0 || o.waves.Len() > 0 {
			t.Fatalf("%d requests, %d calls and %d waves did not end", len(o.unanswered), o.calls.Len(), o.waves.Len())
		}
	})
}
