package query

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// harness drives a world directly. Each of its shards s0, s1, ... has two
// replicas, s0 for example n0-0 and n0-1.
type harness struct {
	world *World
	now   time.Time
	calls []StartCall
	done  map[model.RequestID][]model.Answer
}

func newHarness(t *testing.T, shards int, values map[tree.Key]tree.Value) *harness {
	t.Helper()
	h := &harness{world: NewWorld("host-a", "domain-a"), now: epoch, done: map[model.RequestID][]model.Answer{}}
	h.tick(ViewChanged{testView(t, shards, values, 1)})
	h.now = h.now.Add(time.Minute) // slow start is over
	return h
}

// testView returns a view with one index version and accounts of equal weight.
// Account acme is always among them.
func testView(t testing.TB, shards int, values map[tree.Key]tree.Value, version model.IndexVersion, accounts ...model.ClientAccount) view.View {
	t.Helper()
	nodes := []tree.Node{{Path: tree.Root, Values: values}}
	if !slices.Contains(accounts, "acme") {
		accounts = append(accounts, "acme")
	}
	for _, a := range accounts {
		nodes = append(nodes, tree.Node{Path: tree.AccountPath(a)}, tree.Node{Path: tree.ServicePath(a, "files")})
	}
	tr, err := tree.FromNodes(nodes)
	if err != nil {
		t.Fatal(err)
	}
	index := model.Index{Service: "files"}
	var shardList []model.Shard
	for i := range shards {
		shard := model.Shard{
			ID: model.ShardID(fmt.Sprintf("s%d", i)), Records: 10,
			FirstRecord: fmt.Sprintf("r%d0", i), LastRecord: fmt.Sprintf("r%d9", i),
		}
		for j := range 2 {
			id := model.SearcherID(fmt.Sprintf("n%d-%d", i, j))
			shard.Replicas = append(shard.Replicas, id)
			index.Searchers = append(index.Searchers, model.Searcher{
				ID: id, Address: model.Address(id), Slots: 2,
				FailureDomain: model.FailureDomain([]string{"domain-a", "domain-b"}[j]),
			})
		}
		shardList = append(shardList, shard)
	}
	index = index.WithSnapshots([]model.Snapshot{model.NewSnapshot("files", version, shardList)})
	return view.New().WithSettings(3, tr).WithIndexes(index).WithReady(true, "")
}

// tick ticks the world and records the calls and answers.
func (h *harness) tick(events ...Event) {
	h.calls = nil
	for _, c := range h.world.Tick(h.now, events) {
		switch c := c.(type) {
		case StartCall:
			h.calls = append(h.calls, c)
		case Respond:
			h.done[c.Request] = append(h.done[c.Request], c.Answer)
		}
	}
}

func (h *harness) request(id model.RequestID) model.Request {
	return model.NewRequest(id, "acme", "files").WithLimit(10).WithDeadline(h.now.Add(time.Second)).
		WithTerms(model.Term{Field: "name", Value: "smith"})
}

// reply returns the valid reply to a call, with one hit.
func reply(c StartCall) Replied {
	hits := []model.Hit{{Record: "r" + string(c.Shard[1:]) + "5", Score: 1}}
	return Replied{Searcher: c.Searcher.ID, Request: c.Request, Attempt: c.Attempt, Reply: model.Reply{
		Request: c.Request, Attempt: c.Attempt, Shard: c.Shard, Version: c.Version,
		Hits: hits, Count: 1, Matches: 1, Checksum: model.Checksum(hits),
	}}
}

// replyToAll replies to all calls until the world starts no more.
func (h *harness) replyToAll() {
	for len(h.calls) > 0 {
		h.now = h.now.Add(time.Millisecond)
		var events []Event
		for _, c := range h.calls {
			events = append(events, reply(c))
		}
		h.tick(events...)
	}
}

// Guards against missing hits and wrong coverage when no fault occurs.
func TestSearchMergesEveryShard(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 5, nil)
	h.tick(Arrived{h.request("q1")})
	is.Equal(len(h.calls), 1) // an unseen fingerprint runs on one searcher first
	h.replyToAll()
	is.Equal(len(h.done["q1"]), 1)
	a := h.done["q1"][0]
	is.Equal(a.Outcome, model.OutcomeComplete)
	is.Equal(len(a.Hits), 5)
	is.Equal(a.Matches, uint64(5))
	is.Equal(a.Version, model.IndexVersion(1))
	is.Equal(a.Revision, model.Revision(3))
	is.Equal(h.world.Running(), 0)
	h.tick(Arrived{h.request("q2")})
	is.Equal(len(h.calls), 5) // a proven fingerprint goes to every shard at once
}

// Guards against a lost shard that the answer does not report.
func TestMissingShardIsReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 3, nil)
	h.tick(Arrived{h.request("q1")})
	h.replyToAll()
	h.tick(Arrived{h.request("q2")})
	for len(h.calls) > 0 {
		var events []Event
		for _, c := range h.calls {
			if c.Shard == "s1" {
				events = append(events, CallFailed{Request: c.Request, Attempt: c.Attempt, Failure: model.FailureConnect, NotStarted: true})
				continue
			}
			events = append(events, reply(c))
		}
		h.tick(events...)
	}
	a := h.done["q2"][0]
	is.Equal(a.Outcome, model.OutcomePartial)
	is.Equal(a.Coverage.Missing, []model.Part{{
		Shard: "s1", FirstRecord: "r10", LastRecord: "r19", Records: 10, Reason: model.MissingLost,
	}})
}

// Guards against a searcher in another failure domain that works until the
// answer is due, so that its reply arrives too late.
func TestStopByAllowsForReturnTime(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, nil)
	request := h.request("q1")
	h.tick(Arrived{request})
	due := request.Deadline.Add(-5 * time.Millisecond) // returnAllowanceMs
	sameDomain := h.calls[0]
	is.True(!sameDomain.CrossesDomain)
	is.Equal(sameDomain.StopBy, due)
	h.tick(CallFailed{Searcher: sameDomain.Searcher.ID, Request: sameDomain.Request, Attempt: sameDomain.Attempt, Failure: model.FailureShed, NotStarted: true})
	crossDomain := h.calls[0]
	is.True(crossDomain.CrossesDomain)
	is.Equal(crossDomain.Deadline, due)
	is.Equal(crossDomain.StopBy, due.Add(-5*time.Millisecond))
}
