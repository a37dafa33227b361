package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// poison is the fingerprint of a request that crashes searchers.
const crashingFingerprint model.Fingerprint = 7

// askFor sends a request with a fingerprint and returns its handle.
func (l *lane) askFor(path string, f model.Fingerprint) Handle {
	l.handle++
	l.tick(Arrived{Request: Request{
		Handle: l.handle, ID: model.RequestID(fmt.Sprint("r-", l.handle)), Fingerprint: f, Host: "h", Path: path, Arrived: l.now,
	}})
	return l.handle
}

// lose ends a call with its connection.
func (l *lane) lose(c StartCall) { l.tick(CallFailed{Call: c.Call, Failure: model.FailureLost}) }

// hear has control name the request as a suspect.
func (l *lane) receiveSuspect(s Suspect) {
	l.tick(ViewChanged{View: l.view.WithSuspects(map[model.Fingerprint]Suspect{crashingFingerprint: s})})
}

// crash loses all calls of a request until it has an answer, and returns how
// many searchers were lost.
func (l *lane) crash(path string, f model.Fingerprint) int {
	from := len(l.sent)
	l.askFor(path, f)
	lost := 0
	for ; from+lost < len(l.sent); lost++ {
		l.lose(l.sent[from+lost])
	}
	return lost
}

// Guards against a request that crashes every searcher that runs it, and is
// sent again and again through every host.
func TestCrashingRequestFellsFewSearchers(t *testing.T) {
	const shards, attempts = 8, 20
	for _, c := range []struct {
		name  string
		path  string
		hosts int
		told  bool
		most  int
	}{
		{"search, one host", "/all/x", 1, false, shards + quarantineWaves - 1},
		{"search, hosts tell each other", "/all/x", 4, true, shards + quarantineWaves - 1},
		{"search, hosts are cut off from each other", "/all/x", 4, false, 4 * (shards + quarantineWaves - 1)},
		{"fetch, hosts tell each other", "/one/x", 4, true, quarantineWaves},
		{"fetch, hosts are cut off from each other", "/one/x", 4, false, 4 * quarantineWaves},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var hosts []*lane
			for range c.hosts {
				l := newLane(shards, nil)
				l.wait(l.RetryBudget.RetryWindow) // the process has its slack
				hosts = append(hosts, l)
			}
			lost := 0
			for i := range attempts * c.hosts {
				l := hosts[i%c.hosts]
				lost += l.crash(c.path, crashingFingerprint)
				for _, other := range hosts {
					if c.told {
						other.receiveSuspect(l.findSuspect(crashingFingerprint))
					}
				}
			}
			is.True(lost <= c.most)
			for _, l := range hosts {
				a := l.answers[l.askFor(c.path, crashingFingerprint)]
				is.Equal(a.Refusal.Reason, model.ReasonQuarantined)
				is.Equal(a.Refusal.Execution, model.NotRun) // this attempt reached no searcher
				is.True(a.RetryAfter > 0)
			}
		})
	}
}

// Guards against searches that fail because all connections of the host were
// reset at once, which looks like a request that crashes searchers.
func TestResetOfAllConnectionsIsSurvived(t *testing.T) {
	is := is.New(t)
	l := newLane(6, nil)
	l.wait(l.RetryBudget.RetryWindow)
	h := l.askFor("/all/x", 1)
	first := l.sent
	for _, c := range first {
		l.lose(c)
	}
	is.Equal(len(l.sent), 7) // one call finds out whether searchers survive
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(len(l.sent), 12) // now the others follow
	for _, c := range l.sent[7:] {
		l.reply(c, "0123456789abcdef")
	}
	is.Equal(l.answers[h].Kind, Merged)
	is.Equal(l.answers[h].Missing, 0)
	is.Equal(l.findSuspect(1).Losses, 0)
}

// Guards against a lost part that is never sent again because it waits for a
// proof that has come already.
func TestLostPartIsSentAgainOnceASearcherSurvived(t *testing.T) {
	for _, early := range []bool{true, false} {
		t.Run(fmt.Sprint("proof comes first: ", early), func(t *testing.T) {
			is := is.New(t)
			l := newLane(2, nil)
			l.wait(l.RetryBudget.RetryWindow)
			h := l.askFor("/all/x", 1)
			a, b := l.sent[0], l.sent[1]
			if early {
				l.reply(a, "0123456789abcdef")
				l.lose(b)
			} else {
				l.lose(b)
				is.Equal(len(l.sent), 2) // held: the request may be the cause
				l.reply(a, "0123456789abcdef")
			}
			is.Equal(len(l.sent), 3)
			l.reply(l.last(), "0123456789abcdef")
			is.Equal(l.answers[h].Missing, 0)
		})
	}
}

// Guards against refusing a request whose calls were lost for other reasons: a
// caller that sends it once more is served.
func TestLossesOfAnotherCauseAreNotRefused(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(_ *View, r *model.Route) { r.MinCoverage = 1 })
	l.wait(l.RetryBudget.RetryWindow)
	l.crash("/all/x", 1) // both calls are lost
	h := l.askFor("/all/x", 1)
	l.lose(l.last())
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(l.answers[h].Kind, Merged)
	is.Equal(l.findSuspect(1).Losses, 0) // a searcher survived it
}

// Guards against second calls that crash another searcher while the first call
// of a suspect is out.
func TestSuspectIsNotHedged(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	l.wait(l.RetryBudget.RetryWindow)
	l.receiveSuspect(Suspect{Losses: 1, At: l.now})
	l.askFor("/all/x", crashingFingerprint)
	is.Equal(len(l.sent), 1)
	l.wait(500 * time.Millisecond)
	is.Equal(len(l.sent), 1)
}

// Guards against a suspect whose only call waits for a busy searcher while its
// other parts are sent, although none has survived it.
func TestSuspectWaitsForABusySearcher(t *testing.T) {
	is := is.New(t)
	l := newLane(2, func(v *View, r *model.Route) {
		v.HostCount = 18 // one connection to each searcher
		v.Fleet.Registrations = v.Fleet.Registrations[:3]
		r.Shards[0], r.Shards[1] = r.Shards[1], r.Shards[0] // the first has one searcher
	})
	l.askFor("/all/other", 1) // takes the only connection of the first shard
	l.receiveSuspect(Suspect{Losses: 1, At: l.now})
	l.askFor("/all/x", crashingFingerprint)
	l.reply(l.sent[1], "0123456789abcdef")
	is.Equal(len(l.sent), 2) // the second shard is free, but the suspect waits for the first
	l.reply(l.sent[0], "0123456789abcdef")
	is.Equal(len(l.sent), 3)
}

// Guards against a request that is refused for ever although its searchers were
// lost for another reason, and against a quarantine whose end lets a request
// crash many searchers again.
func TestQuarantineEndsWithOneCall(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	l.wait(l.RetryBudget.RetryWindow)
	l.receiveSuspect(Suspect{Losses: quarantineWaves, At: l.now})
	refused := l.answers[l.askFor("/all/x", crashingFingerprint)]
	is.Equal(refused.Refusal.Reason, model.ReasonQuarantined)
	is.Equal(refused.RetryAfter, quarantineMin)
	l.wait(refused.RetryAfter)
	is.Equal(l.crash("/all/x", crashingFingerprint), 1) // one call, which crashes one searcher
	refused = l.answers[l.askFor("/all/x", crashingFingerprint)]
	is.Equal(refused.RetryAfter, 2*quarantineMin)
	l.wait(refused.RetryAfter)
	h := l.askFor("/all/x", crashingFingerprint)
	l.reply(l.last(), "0123456789abcdef") // the searcher survives
	is.Equal(len(l.sent), 5)
	for _, c := range l.sent[2:] {
		l.reply(c, "0123456789abcdef")
	}
	is.Equal(l.answers[h].Missing, 0)
	l.askFor("/all/x", crashingFingerprint)
	is.Equal(len(l.sent), 9) // control still names it, but this host knows better
}

// Guards against suspects that a lane keeps for ever.
func TestSuspectIsForgotten(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.wait(l.RetryBudget.RetryWindow)
	for range quarantineWaves {
		l.crash("/one/x", crashingFingerprint)
	}
	is.Equal(l.answers[l.askFor("/one/x", crashingFingerprint)].Refusal.Reason, model.ReasonQuarantined)
	l.wait(suspectLifetime)
	is.Equal(l.findSuspect(crashingFingerprint).Losses, 0)
	is.Equal(l.suspects.Len(), 0)
}
