package query

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

// fuzzCall is a call as observed by the searchers.
type fuzzCall struct {
	StartCall
	// open is set until an outcome was delivered or the call was cancelled.
	open bool
	// provedNotStarted is set once the world was told that the call did not
	// start.
	provedNotStarted bool
	// replied is set once a valid reply was delivered.
	replied bool
}

type fuzzRequest struct {
	query   model.Request
	calls   []*fuzzCall
	answers []model.Answer
}

// fuzzer drives a world with random events and keeps the state that its oracles
// compare with.
type fuzzer struct {
	test  *rapid.T
	world *World
	now   time.Time
	// The state of the view that was sent last.
	searchers []model.Searcher
	versions  []model.Snapshot
	nodes     []tree.Node
	// snapshots holds every version that was ever published.
	snapshots   map[model.IndexVersion]model.Snapshot
	suspects    map[model.Fingerprint]bool
	quarantined map[model.Fingerprint]bool
	draining    bool
	// ownSlots is this host's share of each searcher's slots.
	ownSlots      int
	searcherCount int

	requests  map[model.RequestID]*fuzzRequest
	byArrival []*fuzzRequest
	calls     []*fuzzCall
	// drainingUntil holds the time until which a draining searcher must get no
	// call.
	drainingUntil map[model.SearcherID]time.Time
	// hedges and nonHedges count the calls sent.
	hedges    int
	nonHedges int
	events    []Event
}

// Checks the guarantees of the query path under random sequences of events and
// faults. The check methods are the oracles; their messages name the violated
// guarantee of docs/design.md, such as P2.
func TestWorldGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzer(t)
		actions := []func(){
			f.addRequest, f.addRequest, f.addRequest, f.replyToCall, f.replyToCall, f.replyToCall, f.replyToCall, f.replyToAll,
			f.failCall, f.failCall, f.corruptReply, f.repeatOutcome, f.cancelRequest, f.changeView, f.advance, f.advance, f.flush,
		}
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			if rapid.IntRange(0, 3).Draw(t, "batch") > 0 {
				f.flush()
			}
		}
		f.flush()
		f.advanceTo(f.now.Add(2 * time.Second))
		f.checkEnd()
	})
}

func newFuzzer(t *rapid.T) *fuzzer {
	f := &fuzzer{
		test: t, now: epoch, world: NewWorld("host-a", "domain-a"),
		snapshots: map[model.IndexVersion]model.Snapshot{}, requests: map[model.RequestID]*fuzzRequest{},
		drainingUntil: map[model.SearcherID]time.Time{},
		suspects:      map[model.Fingerprint]bool{}, quarantined: map[model.Fingerprint]bool{},
	}
	f.nodes = []tree.Node{
		{Path: tree.Root, Values: map[tree.Key]tree.Value{
			tree.KeyCanary:        tree.Enum(f.drawWord("canary", "off", "suspects", "unseen")),
			tree.KeyHedgeBudget:   tree.Number(int64(rapid.SampledFrom([]int{0, 50, 300}).Draw(t, "hedgeBudget"))),
			tree.KeyRetryBudget:   tree.Number(int64(rapid.SampledFrom([]int{0, 100, 1000}).Draw(t, "retryBudget"))),
			tree.KeyRestartBudget: tree.Number(int64(rapid.IntRange(0, 2).Draw(t, "restarts"))),
			tree.KeyProbation:     tree.Number(50),
			tree.KeySlowStart:     tree.Number(int64(rapid.SampledFrom([]int{0, 100}).Draw(t, "slowStart"))),
		}},
		{Path: "/acme"},
		{Path: "/zeta", Values: map[tree.Key]tree.Value{tree.KeyWeight: tree.Number(3), tree.KeyMaxQueue: tree.Number(2)}},
		{Path: "/acme/files"},
		{Path: "/acme/files/early", Values: map[tree.Key]tree.Value{
			tree.KeyCutOff: tree.Enum("early"), tree.KeyEarlyShare: tree.Number(400),
		}},
		{Path: "/zeta/files"},
	}
	f.ownSlots = rapid.IntRange(0, 3).Draw(t, "ownSlots")
	for range rapid.IntRange(1, 6).Draw(t, "searchers") {
		f.addSearcher()
	}
	f.addVersion()
	f.queueEvent(ViewChanged{f.view()})
	f.flush()
	return f
}

func (f *fuzzer) drawWord(label string, words ...string) string {
	return rapid.SampledFrom(words).Draw(f.test, label)
}

func (f *fuzzer) queueEvent(e Event) { f.events = append(f.events, e) }

func (f *fuzzer) addSearcher() {
	f.searcherCount++
	id := model.SearcherID(fmt.Sprintf("n%d", f.searcherCount))
	f.searchers = append(f.searchers, model.Searcher{
		ID: id, Address: model.Address(id), Slots: rapid.IntRange(1, 3).Draw(f.test, "slots"),
		FailureDomain: model.FailureDomain(f.drawWord("domain", "domain-a", "domain-b")),
	})
}

// addVersion publishes a version with another shard map over the same hundred
// records.
func (f *fuzzer) addVersion() {
	v := model.IndexVersion(len(f.snapshots) + 1)
	n := rapid.IntRange(1, 5).Draw(f.test, "shards")
	var shards []model.Shard
	for i := range n {
		from, to := 100*i/n, 100*(i+1)/n-1
		s := model.Shard{
			ID: model.ShardID(fmt.Sprintf("s%d", i)), Records: uint64(to - from + 1),
			FirstRecord: fmt.Sprintf("r%02d", from), LastRecord: fmt.Sprintf("r%02d", to),
		}
		for range rapid.IntRange(1, 3).Draw(f.test, "replicas") {
			id := rapid.SampledFrom(f.searchers).Draw(f.test, "replica").ID
			if !slices.Contains(s.Replicas, id) {
				s.Replicas = append(s.Replicas, id)
			}
		}
		shards = append(shards, s)
	}
	s := model.NewSnapshot("files", v, shards)
	f.snapshots[v] = s
	f.versions = append(f.versions, s)
}

func (f *fuzzer) view() view.View {
	tr, err := tree.FromNodes(f.nodes)
	if err != nil {
		f.test.Fatal(err)
	}
	index := model.Index{Service: "files", Searchers: slices.Clone(f.searchers)}
	owned := map[model.ServiceName]view.Ownership{"files": {Slots: f.ownSlots}}
	return view.New().WithSettings(3, tr).WithIndexes(index.WithSnapshots(f.versions)).WithRoutes(nil, owned).
		WithQuarantine(maps.Clone(f.suspects), maps.Clone(f.quarantined)).WithDraining(f.draining).WithReady(true, "")
}

func (f *fuzzer) changeView() {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(f.test, "pick") }
	switch rapid.IntRange(0, 9).Draw(f.test, "change") {
	case 0, 1:
		i := pick(len(f.searchers))
		f.searchers[i] = f.searchers[i].WithLeaving(!f.searchers[i].Leaving)
	case 2:
		if i := pick(len(f.searchers)); len(f.searchers) > 1 {
			f.searchers = slices.Delete(slices.Clone(f.searchers), i, i+1)
		}
	case 3:
		f.addSearcher()
	case 4, 5:
		f.addVersion()
	case 6:
		if i := pick(len(f.versions)); len(f.versions) > 1 {
			f.versions = slices.Delete(slices.Clone(f.versions), i, i+1)
		}
	case 7: // a searcher is replaced: same name, another address
		i := pick(len(f.searchers))
		f.searchers[i].Address += "x"
		f.searchers[i].Slots = rapid.IntRange(1, 3).Draw(f.test, "slots")
		delete(f.drainingUntil, f.searchers[i].ID)
	case 8:
		f.draining = !f.draining
		f.ownSlots = rapid.IntRange(0, 3).Draw(f.test, "ownSlots")
	default:
		fp := f.newQuery("x", 0).Fingerprint()
		f.suspects[fp] = !f.suspects[fp]
		f.quarantined[fp] = rapid.IntRange(0, 3).Draw(f.test, "quarantined") == 0
	}
	f.queueEvent(ViewChanged{f.view()})
	f.flush() // the oracles compare with this view
}

func (f *fuzzer) newQuery(id model.RequestID, left time.Duration) model.Request {
	r := model.NewRequest(id, model.ClientAccount(f.drawWord("account", "acme", "zeta")), "files").
		WithTerms(model.Term{Field: "name", Value: f.drawWord("term", "a", "b", "c", "d")}).
		WithLimit(rapid.IntRange(1, 6).Draw(f.test, "limit")).WithDeadline(f.now.Add(left))
	if r.Account == "acme" {
		r = r.WithScope(model.ScopeName(f.drawWord("scope", "", "early")))
	}
	return r
}

func (f *fuzzer) addRequest() {
	id := model.RequestID(fmt.Sprintf("q%d", len(f.byArrival)))
	r := &fuzzRequest{query: f.newQuery(id, time.Duration(rapid.IntRange(0, 300).Draw(f.test, "left"))*time.Millisecond)}
	f.requests[id] = r
	f.byArrival = append(f.byArrival, r)
	f.queueEvent(Arrived{r.query})
}

func (f *fuzzer) cancelRequest() {
	if len(f.byArrival) > 0 {
		f.queueEvent(RequestCancelled{rapid.SampledFrom(f.byArrival).Draw(f.test, "cancelled").query.ID})
	}
}

// correctReply is the valid reply to a call. Its hits encode the version and
// the term, so that the origin of each hit in an answer can be checked.
func correctReply(snapshot model.Snapshot, c StartCall) Replied {
	shard := snapshot.Shards[slices.IndexFunc(snapshot.Shards, func(s model.Shard) bool { return s.ID == c.Shard })]
	matches := int(shard.Records)/4 + int(c.Version)%3 + int(c.Terms[0].Value[0])%5
	var hits []model.Hit
	for i := range min(c.Limit, matches) {
		hits = append(hits, model.Hit{
			Record: shard.FirstRecord, Score: float64(100 - 7*i),
			Source: fmt.Appendf(nil, "%d %s %s %d", c.Version, c.Shard, c.Terms[0].Value, i),
		})
	}
	return Replied{Searcher: c.Searcher.ID, Request: c.Request, Attempt: c.Attempt, Reply: model.Reply{
		Request: c.Request, Attempt: c.Attempt, Shard: c.Shard, Version: c.Version,
		Hits: hits, Count: len(hits), Matches: uint64(matches), Checksum: model.Checksum(hits),
	}}
}

// pickOpenCall returns a random call without an outcome, or nil.
func (f *fuzzer) pickOpenCall() *fuzzCall {
	var open []*fuzzCall
	for _, c := range f.calls {
		if c.open {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(f.test, "call")
}

func (f *fuzzer) replyToCall() {
	if c := f.pickOpenCall(); c != nil {
		f.sendReply(c)
	}
}

func (f *fuzzer) replyToAll() {
	f.flush()
	for _, c := range slices.Clone(f.calls) {
		if c.open {
			f.sendReply(c)
		}
	}
}

func (f *fuzzer) sendReply(c *fuzzCall) {
	e := correctReply(f.snapshots[c.Version], c.StartCall)
	e.Reply.Draining = rapid.IntRange(0, 15).Draw(f.test, "drains") == 0
	c.open, c.replied = false, true
	f.deliver(c, e, e.Reply.Draining)
}

func (f *fuzzer) failCall() {
	c := f.pickOpenCall()
	if c == nil {
		return
	}
	failure := model.Failure(rapid.IntRange(int(model.FailureLost), int(model.FailureTruncated)).Draw(f.test, "failure"))
	c.open = false
	c.provedNotStarted = failure != model.FailureLost && failure != model.FailureTruncated && rapid.Bool().Draw(f.test, "notStarted")
	f.deliver(c, CallFailed{c.Searcher.ID, c.Request, c.Attempt, failure, c.provedNotStarted}, failure == model.FailureDraining)
}

// deliver sends an outcome to the world. If the searcher announced a drain, the
// event is flushed at once, because checkCall allows the searcher no calls from
// then on.
func (f *fuzzer) deliver(c *fuzzCall, e Event, drains bool) {
	f.queueEvent(e)
	if drains {
		f.drainingUntil[c.Searcher.ID] = f.now.Add(3 * time.Second)
		f.flush()
	}
}

// corruptReply sends a reply that must not contribute to any answer.
func (f *fuzzer) corruptReply() {
	c := f.pickOpenCall()
	if c == nil {
		return
	}
	e := correctReply(f.snapshots[c.Version], c.StartCall)
	otherCall := rapid.SampledFrom(f.calls).Draw(f.test, "other")
	switch kind := rapid.IntRange(0, 6).Draw(f.test, "corruption"); {
	case kind == 6 && otherCall.Request != c.Request: // an event with another request's id
		e.Request, e.Reply.Request = otherCall.Request, otherCall.Request
		f.queueEvent(e)
		return
	case kind == 0 && otherCall != c: // the reply to another call
		e.Reply = correctReply(f.snapshots[otherCall.Version], otherCall.StartCall).Reply
	case kind == 1 && len(e.Reply.Hits) > 0: // truncated after the count was written
		e.Reply.Hits = e.Reply.Hits[:len(e.Reply.Hits)-1]
	case kind == 2 && len(e.Reply.Hits) > 0: // truncated by the searcher itself
		e.Reply.Hits = e.Reply.Hits[:len(e.Reply.Hits)-1]
		e.Reply.Count, e.Reply.Checksum = len(e.Reply.Hits), model.Checksum(e.Reply.Hits)
	case kind == 3: // another version's reply
		e.Reply.Version++
	case kind == 4 && len(e.Reply.Hits) > 0: // damaged in transit
		e.Reply.Hits[0].Score++
	default: // another shard's reply
		e.Reply.Shard += "x"
	}
	c.open = false
	f.queueEvent(e)
}

// repeatOutcome delivers a valid reply or a failure for a call that has already
// ended.
func (f *fuzzer) repeatOutcome() {
	if len(f.calls) == 0 {
		return
	}
	f.flush() // the world has processed the first outcome
	c := rapid.SampledFrom(f.calls).Draw(f.test, "repeated")
	switch {
	case c.open:
	case rapid.Bool().Draw(f.test, "asReply"):
		f.queueEvent(correctReply(f.snapshots[c.Version], c.StartCall))
	case rapid.Bool().Draw(f.test, "drains"):
		f.deliver(c, CallFailed{c.Searcher.ID, c.Request, c.Attempt, model.FailureDraining, true}, true)
	default:
		f.queueEvent(CallFailed{c.Searcher.ID, c.Request, c.Attempt, model.FailureLost, false})
	}
}
