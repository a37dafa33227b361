package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// crashingFingerprint is the fingerprint of a request that crashes searchers.
const crashingFingerprint model.Fingerprint = 7

// submitWithFingerprint sends a request with a fingerprint and returns its
// handle.
func (l *lane) submitWithFingerprint(path string, f model.Fingerprint) Handle {
	l.handle++
	l.tick(Arrived{Request: Request{
		Handle: l.handle, ID: model.RequestID(fmt.Sprint("r-", l.handle)), Fingerprint: f, Host: "h", Path: path, Arrived: l.now,
	}})
	return l.handle
}

// lose ends a call by the loss of its connection.
func (l *lane) lose(c StartCall) { l.tick(CallFailed{Call: c.Call, Failure: model.FailureLost}) }

// receiveSuspect applies a view with the crashing request as a suspect.
func (l *lane) receiveSuspect(s Suspect) {
	l.tick(ViewChanged{View: l.view.WithSuspects(map[model.Fingerprint]Suspect{crashingFingerprint: s})})
}

// crash sends a request, loses all of its calls and returns their number.
func (l *lane) crash(path string, f model.Fingerprint) int {
	first := len(l.sent)
	l.submitWithFingerprint(path, f)
	lost := 0
	for ; first+lost < len(l.sent); lost++ {
		l.lose(l.sent[first+lost])
	}
	return lost
}

// TestCrashingRequestIsQuarantined guards against a request that crashes every
// searcher that runs it and that callers keep retrying through all hosts.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const shards, attempts = 8, 20
	for _, c := range []struct {
		name    string
		path    string
		hosts   int
		share   bool
		maxLost int
	}{
		{"sharded, one host", "/all/x", 1, false, shards + quarantineWaves - 1},
		{"sharded, hosts share losses", "/all/x", 4, true, shards + quarantineWaves - 1},
		{"sharded, hosts are partitioned", "/all/x", 4, false, 4 * (shards + quarantineWaves - 1)},
		{"single, hosts share losses", "/one/x", 4, true, quarantineWaves},
		{"single, hosts are partitioned", "/one/x", 4, false, 4 * quarantineWaves},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var hosts []*lane
			for range c.hosts {
				l := newLane(shards, nil)
				l.advance(l.RetryBudget.RetryWindow) // grants the retry slack
				hosts = append(hosts, l)
			}
			lost := 0
			for i := range attempts * c.hosts {
				l := hosts[i%c.hosts]
				lost += l.crash(c.path, crashingFingerprint)
				for _, other := range hosts {
					if c.share {
						other.receiveSuspect(l.findSuspect(crashingFingerprint))
					}
				}
			}
			is.True(lost <= c.maxLost)
			for _, l := range hosts {
				a := l.answers[l.submitWithFingerprint(c.path, crashingFingerprint)]
				is.Equal(a.Refusal.Reason, model.ReasonQuarantined)
				is.Equal(a.Refusal.Execution, model.NotRun) // no searcher was called in this attempt
				is.True(a.RetryAfter > 0)
			}
		})
	}
}

// TestRequestSucceedsAfterAllConnectionsReset guards against failing a search
// after all connections of the host were reset at once, which looks like a
// request that crashes searchers.
func TestRequestSucceedsAfterAllConnectionsReset(t *testing.T) {
	is := is.New(t)
	l := newLane(6, nil)
	l.advance(l.RetryBudget.RetryWindow)
	h := l.submitWithFingerprint("/all/x", 1)
	first := l.sent
	for _, c := range first {
		l.lose(c)
	}
	is.Equal(len(l.sent), 7) // one call tests whether a searcher survives
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(len(l.sent), 12) // the other parts are released
	for _, c := range l.sent[7:] {
		l.reply(c, "0123456789abcdef")
	}
	is.Equal(l.answers[h].Kind, Merged)
	is.Equal(l.answers[h].Missing, 0)
	is.Equal(l.findSuspect(1).Losses, 0)
}

// TestLostPartIsRetriedAfterSearcherSurvives guards against a lost part that is
// never retried because it is held for a searcher to survive the request although
// one already has.
func TestLostPartIsRetriedAfterSearcherSurvives(t *testing.T) {
	for _, replyFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("reply arrives before the loss: ", replyFirst), func(t *testing.T) {
			is := is.New(t)
			l := newLane(2, nil)
			l.advance(l.RetryBudget.RetryWindow)
			h := l.submitWithFingerprint("/all/x", 1)
			a, b := l.sent[0], l.sent[1]
			if replyFirst {
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

// TestLostWaveIsCountedWhenTheRequestEnds guards against forgetting the lost calls
// of a request that is answered, or whose caller leaves, while another of its calls
// gets no reply. Each repetition would crash a whole wave of searchers again.
func TestLostWaveIsCountedWhenTheRequestEnds(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("caller leaves: ", leaves), func(t *testing.T) {
			is := is.New(t)
			l := newLane(4, nil)
			l.advance(l.RetryBudget.RetryWindow)
			h := l.submitWithFingerprint("/all/x", crashingFingerprint)
			for _, c := range l.sent[1:] {
				l.lose(c) // the first call gets no reply
			}
			if leaves {
				l.tick(CallerDisconnected{Handle: h})
			}
			l.advance(2 * time.Second)
			is.Equal(l.findSuspect(crashingFingerprint).Losses, 1)
			first := len(l.sent)
			l.submitWithFingerprint("/all/x", crashingFingerprint)
			is.Equal(len(l.sent)-first, 1) // a single call tests the request
			l.advance(2 * time.Second)     // it gets no reply either
			is.Equal(l.findSuspect(crashingFingerprint).Losses, 2)
		})
	}
}

// TestLossAfterTheRequestIsCounted guards against forgetting a searcher that crashes
// shortly after its caller has left, or after the request has ended in another way.
// Each repetition of the request would crash another searcher.
func TestLossAfterTheRequestIsCounted(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		end  func(l *lane, h Handle)
	}{
		{"caller leaves", "/one/x", func(l *lane, h Handle) { l.tick(CallerDisconnected{Handle: h}) }},
		{"caller of a sharded request leaves", "/all/x", func(l *lane, h Handle) { l.tick(CallerDisconnected{Handle: h}) }},
		{"deadline", "/one/x", func(l *lane, _ Handle) { l.advance(time.Second) }},
		{"coverage cannot be reached", "/all/x", func(*lane, Handle) {}},
		{"shutdown", "/one/x", func(l *lane, _ Handle) {
			l.tick(Stopping{AnswerBy: l.now.Add(10 * time.Millisecond)})
			l.advance(10 * time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newLane(2, func(v *View, r *model.Route) {
				if c.name == "coverage cannot be reached" {
					r.MinCoverage = 1
					v.Fleet.Registrations = v.Fleet.Registrations[:2] // none for the second shard
				}
			})
			l.advance(l.RetryBudget.RetryWindow)
			h := l.submitWithFingerprint(c.path, crashingFingerprint)
			c.end(l, h)
			is.Equal(l.Running(), 0)
			is.Equal(l.findSuspect(crashingFingerprint).Losses, 0)
			l.advance(50 * time.Millisecond)
			for _, call := range l.sent {
				l.lose(call)
			}
			is.Equal(l.findSuspect(crashingFingerprint).Losses, 1)
			is.Equal(l.waves.Len(), 0)
		})
	}
}

// TestRequestOfImpatientCallersIsQuarantined guards against a request that is never
// refused, because each of its callers leaves before the searcher crashes.
func TestRequestOfImpatientCallersIsQuarantined(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	l.advance(l.RetryBudget.RetryWindow)
	lost := 0
	for range 20 {
		first := len(l.sent)
		h := l.submitWithFingerprint("/all/x", crashingFingerprint)
		l.tick(CallerDisconnected{Handle: h})
		for _, c := range l.sent[first:] {
			l.lose(c)
			lost++
		}
	}
	is.Equal(lost, 4+quarantineWaves-1)
	is.Equal(l.answers[l.submitWithFingerprint("/all/x", crashingFingerprint)].Refusal.Reason, model.ReasonQuarantined)
}

// TestWaveOfAnEndedRequestIsCountedOnce guards against a request that is refused after
// too few losses, because the losses before and after its end count separately, or
// although a searcher has survived it.
func TestWaveOfAnEndedRequestIsCountedOnce(t *testing.T) {
	for _, survives := range []bool{false, true} {
		t.Run(fmt.Sprint("a searcher survives: ", survives), func(t *testing.T) {
			is := is.New(t)
			l := newLane(4, nil)
			l.advance(l.RetryBudget.RetryWindow)
			h := l.submitWithFingerprint("/all/x", crashingFingerprint)
			l.lose(l.sent[0])
			l.tick(CallerDisconnected{Handle: h})
			is.Equal(l.findSuspect(crashingFingerprint).Losses, 1)
			l.lose(l.sent[1])
			want := 1
			if survives {
				l.reply(l.sent[2], record("a"))
				want = 0
			}
			l.advance(time.Second)
			is.Equal(l.findSuspect(crashingFingerprint).Losses, want)
			is.Equal(l.waves.Len(), 0)
		})
	}
}

// TestSuspectOfACallerThatLeavesIsNotLost guards against counting the call of a
// suspect as lost only because its caller did not wait for the reply.
func TestSuspectOfACallerThatLeavesIsNotLost(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.receiveSuspect(Suspect{Losses: 1, At: l.now})
	h := l.submitWithFingerprint("/one/x", crashingFingerprint)
	l.tick(CallerDisconnected{Handle: h})
	is.Equal(l.findSuspect(crashingFingerprint).Losses, 1)
}

// TestUnrelatedLossesAreNotQuarantined guards against a quarantine of a request
// whose calls were lost for other reasons: its retry by the caller is served.
func TestUnrelatedLossesAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(_ *View, r *model.Route) { r.MinCoverage = 1 })
	l.advance(l.RetryBudget.RetryWindow)
	l.crash("/all/x", 1) // both calls are lost
	h := l.submitWithFingerprint("/all/x", 1)
	l.lose(l.last())
	l.reply(l.last(), "0123456789abcdef")
	is.Equal(l.answers[h].Kind, Merged)
	is.Equal(l.findSuspect(1).Losses, 0) // a searcher survived it
}

// TestSuspectIsNotHedged guards against hedging a suspect, which could crash a
// second searcher.
func TestSuspectIsNotHedged(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	l.advance(l.RetryBudget.RetryWindow)
	l.receiveSuspect(Suspect{Losses: 1, At: l.now})
	l.submitWithFingerprint("/all/x", crashingFingerprint)
	is.Equal(len(l.sent), 1)
	l.advance(500 * time.Millisecond)
	is.Equal(len(l.sent), 1)
}

// TestSuspectWaitsForABusySearcher guards against releasing further parts of a
// suspect while its only part waits for a busy searcher and no searcher has
// survived the request.
func TestSuspectWaitsForABusySearcher(t *testing.T) {
	is := is.New(t)
	l := newLane(2, func(v *View, r *model.Route) {
		v.HostCount = 18 // one connection to each searcher
		v.Fleet.Registrations = v.Fleet.Registrations[:3]
		r.Shards[0], r.Shards[1] = r.Shards[1], r.Shards[0] // the first has one searcher
	})
	l.submitWithFingerprint("/all/other", 1) // takes the only connection of the first shard
	l.receiveSuspect(Suspect{Losses: 1, At: l.now})
	l.submitWithFingerprint("/all/x", crashingFingerprint)
	l.reply(l.sent[1], "0123456789abcdef")
	is.Equal(len(l.sent), 2) // the second part stays held while the first waits
	l.reply(l.sent[0], "0123456789abcdef")
	is.Equal(len(l.sent), 3)
}

// TestQuarantineEndsWithOneCall guards against a quarantine that never ends
// although the losses had another cause, and one after which the request crashes
// many searchers again.
func TestQuarantineEndsWithOneCall(t *testing.T) {
	is := is.New(t)
	l := newLane(4, nil)
	l.advance(l.RetryBudget.RetryWindow)
	l.receiveSuspect(Suspect{Losses: quarantineWaves, At: l.now})
	refused := l.answers[l.submitWithFingerprint("/all/x", crashingFingerprint)]
	is.Equal(refused.Refusal.Reason, model.ReasonQuarantined)
	is.Equal(refused.RetryAfter, quarantineMin)
	l.advance(refused.RetryAfter)
	is.Equal(l.crash("/all/x", crashingFingerprint), 1) // one call, which crashes one searcher
	refused = l.answers[l.submitWithFingerprint("/all/x", crashingFingerprint)]
	is.Equal(refused.RetryAfter, 2*quarantineMin)
	l.advance(refused.RetryAfter)
	h := l.submitWithFingerprint("/all/x", crashingFingerprint)
	l.reply(l.last(), "0123456789abcdef") // the searcher survives
	is.Equal(len(l.sent), 5)
	for _, c := range l.sent[2:] {
		l.reply(c, "0123456789abcdef")
	}
	is.Equal(l.answers[h].Missing, 0)
	l.submitWithFingerprint("/all/x", crashingFingerprint)
	is.Equal(len(l.sent), 9) // the view still lists the suspect, but a searcher of this lane survived it
}

// TestSuspectExpires guards against suspects that a lane never removes.
func TestSuspectExpires(t *testing.T) {
	is := is.New(t)
	l := newLane(1, nil)
	l.advance(l.RetryBudget.RetryWindow)
	for range quarantineWaves {
		l.crash("/one/x", crashingFingerprint)
	}
	is.Equal(l.answers[l.submitWithFingerprint("/one/x", crashingFingerprint)].Refusal.Reason, model.ReasonQuarantined)
	l.advance(suspectLifetime)
	is.Equal(l.findSuspect(crashingFingerprint).Losses, 0)
	is.Equal(l.suspects.Len(), 0)
}
