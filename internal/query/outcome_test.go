package query

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

// Guards against a refusal that reports notRun although a searcher may have run
// the request, or mayHaveRun although it is certain that none did.
func TestOutcomeTable(t *testing.T) {
	allFail := func(f model.Failure, notStarted bool) callHandler {
		return func(c StartCall) (time.Duration, Event) { return time.Millisecond, callFailure(c, f, notStarted) }
	}
	noReply := func(StartCall) (time.Duration, Event) { return -1, nil }
	drainHost := func(s *sim) { s.step(ViewChanged{s.world.view.WithDraining(true)}) }
	cancel := func(s *sim) { s.schedule(50*time.Millisecond, RequestCancelled{"q"}) }
	for n, c := range map[string]struct {
		onCall    callHandler
		prepare   func(*sim)
		reason    model.Reason
		execution model.Execution
	}{
		"every searcher sheds":             {allFail(model.FailureShed, true), nil, model.ReasonDeadlineExpired, model.NotRun},
		"every searcher drains":            {allFail(model.FailureDraining, true), nil, model.ReasonNoReplica, model.NotRun},
		"this host drains":                 {replyAfter(time.Millisecond), drainHost, model.ReasonDraining, model.NotRun},
		"deadline passes at the searchers": {noReply, nil, model.ReasonDeadlineExpired, model.MayHaveRun},
		"searcher's deadline, not started": {allFail(model.FailureDeadline, true), nil, model.ReasonDeadlineExpired, model.NotRun},
		"caller cancels while calls run":   {noReply, cancel, model.ReasonCallerCancelled, model.MayHaveRun},
		"caller cancels on arrival":        {noReply, func(s *sim) { s.step(Arrived{s.request("q")}, RequestCancelled{"q"}) }, model.ReasonCallerCancelled, model.NotRun},
		"no connection":                    {allFail(model.FailureConnect, true), nil, model.ReasonNoReplica, model.NotRun},
		"lost before the first byte":       {allFail(model.FailureUnsent, true), nil, model.ReasonNoReplica, model.NotRun},
		"lost while the request is sent":   {allFail(model.FailureLost, false), nil, model.ReasonQuarantined, model.MayHaveRun},
		"lost, proved not started":         {allFail(model.FailureLost, true), nil, model.ReasonNoReplica, model.NotRun},
		"reply is truncated":               {allFail(model.FailureTruncated, false), nil, model.ReasonNoReplica, model.MayHaveRun},
	} {
		t.Run(n, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 2, nil, c.onCall)
			if c.prepare != nil {
				c.prepare(s)
			}
			a := s.done["q"]
			if len(a) == 0 {
				a = append(a, s.search("q"))
			}
			is.Equal(a[0].Outcome, model.OutcomeRefused)
			is.Equal(a[0].Refusal.Reason, c.reason)
			is.Equal(a[0].Refusal.Execution, c.execution)
		})
	}
}

// twoVersions adds index version 2 with other shard names.
func twoVersions(v view.View) view.View {
	index := v.Indexes["files"]
	firstSnapshot := index.Snapshots[0]
	shards := model.NewSnapshot("files", 2, firstSnapshot.Shards).Shards
	for i := range shards {
		shards[i].ID = "u" + shards[i].ID[1:]
	}
	return v.WithIndexes(index.WithSnapshots([]model.Snapshot{firstSnapshot, model.NewSnapshot("files", 2, shards)}))
}

// Guards against mixed versions, needless restarts and missing shards that are
// not reported when an index version disappears while a request runs.
func TestVersionGone(t *testing.T) {
	versionGone := func(version model.IndexVersion, at ...model.SearcherID) callHandler {
		return func(c StartCall) (time.Duration, Event) {
			for _, id := range at {
				if c.Searcher.ID == id && c.Version == version {
					return 3 * time.Millisecond, callFailure(c, model.FailureVersionGone, true)
				}
			}
			return time.Millisecond, reply(c)
		}
	}
	for n, c := range map[string]struct {
		onCall  callHandler
		budget  int64
		version model.IndexVersion
		missing int
		restart int
	}{
		"another replica has it": {versionGone(2, "n1-0"), 1, 2, 0, 0},
		"no replica, restart":    {versionGone(2, "n1-0", "n1-1"), 1, 1, 0, 1},
		"no replica, no budget":  {versionGone(2, "n1-0", "n1-1"), 0, 2, 1, 0},
		"both versions lack a part": {func(c StartCall) (time.Duration, Event) {
			d, e := versionGone(c.Version, "n1-0", "n1-1")(c)
			return d, e
		}, 3, 1, 1, 1},
	} {
		t.Run(n, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 3, map[tree.Key]tree.Value{tree.KeyRestartBudget: tree.Number(c.budget)}, c.onCall)
			s.step(ViewChanged{twoVersions(s.world.view)})
			a := s.search("q")
			is.Equal(a.Version, c.version)
			is.Equal(len(a.Coverage.Missing), c.missing)
			is.Equal(len(a.Hits), 3-c.missing)
			is.Equal(s.counts[Count{CounterRetry, "restart"}], c.restart)
			for _, p := range a.Coverage.Missing {
				is.Equal(p.Reason, model.MissingVersionGone)
			}
		})
	}
}

// Guards against losing a request when the index is repartitioned over other
// searchers while it runs.
func TestRepartitioningRestartsTheRequest(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 2, nil, replyAfter(time.Millisecond))
	s.warmUp(1)
	s.onCall = func(c StartCall) (time.Duration, Event) {
		if c.Version == 1 && c.Shard == "s1" {
			return 10 * time.Millisecond, callFailure(c, model.FailureUnsent, true)
		}
		return time.Millisecond, reply(c)
	}
	repartitioned := testView(t, 5, nil, 2).Indexes["files"]
	for i := range repartitioned.Searchers {
		repartitioned.Searchers[i].ID += "-new"
	}
	for _, sh := range repartitioned.Snapshots[0].Shards {
		for i := range sh.Replicas {
			sh.Replicas[i] += "-new"
		}
	}
	s.schedule(5*time.Millisecond, ViewChanged{s.world.view.WithIndexes(repartitioned)})
	a := s.search("q")
	is.Equal(a.Version, model.IndexVersion(2))
	is.Equal(len(a.Hits), 5)
	is.Equal(a.Outcome, model.OutcomeComplete)
	is.Equal(s.world.searchers.Len(), 10) // the rows of the old searchers are gone
}

// Guards against an early cut-off that happens too early or too late, leaves
// out too many records or is not reported.
func TestEarlyCutOff(t *testing.T) {
	for n, c := range map[string]struct {
		share  int64
		reason model.MissingReason
		after  time.Duration
	}{
		"small remainder": {100, model.MissingCutOff, 497500 * time.Microsecond},
		"large remainder": {99, model.MissingDeadline, 995 * time.Millisecond},
	} {
		t.Run(n, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 10, map[tree.Key]tree.Value{
				tree.KeyCutOff: tree.Enum("early"), tree.KeyEarlyShare: tree.Number(c.share),
			}, func(c StartCall) (time.Duration, Event) {
				if c.Shard == "s7" {
					return -1, nil
				}
				return time.Millisecond, reply(c)
			})
			start := s.now
			a := s.search("q")
			is.Equal(s.answeredAt["q"].Sub(start), c.after)
			is.Equal(a.Coverage.Missing, []model.Part{
				{Shard: "s7", FirstRecord: "r70", LastRecord: "r79", Records: 10, Reason: c.reason},
			})
		})
	}
}
