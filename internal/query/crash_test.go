package query

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// cluster is a set of entry hosts that share searchers, some of which are down.
type cluster struct {
	hosts []*sim
	// crashedAt holds the past or future time of each searcher's crash; it
	// restarts a second later.
	crashedAt map[model.SearcherID]time.Time
	crashes   int
	// losses holds the latest number of losses reported by each host.
	losses map[int]int
}

func newCluster(t *testing.T, hosts, shards int, values map[tree.Key]tree.Value) *cluster {
	t.Helper()
	cl := &cluster{crashedAt: map[model.SearcherID]time.Time{}, losses: map[int]int{}}
	for range hosts {
		s := newSim(t, shards, values, nil)
		s.onCall = func(c StartCall) (time.Duration, Event) { return cl.respond(s.now, c) }
		cl.hosts = append(cl.hosts, s)
	}
	return cl
}

func crashingRequest(s *sim, id model.RequestID) model.Request {
	return s.request(id).WithTerms(model.Term{Field: "name", Value: "crash"})
}

// respond crashes the searcher 5 ms into a crashing request. Calls that run at
// that time are lost, and calls in the following second fail to connect.
func (cl *cluster) respond(now time.Time, c StartCall) (time.Duration, Event) {
	const serviceTime, restartTime = 5 * time.Millisecond, time.Second
	id := c.Searcher.ID
	crash, crashed := cl.crashedAt[id]
	switch {
	case crashed && !now.Before(crash) && now.Before(crash.Add(restartTime)):
		return time.Millisecond, callFailure(c, model.FailureConnect, true)
	case crashed && now.Before(crash) && crash.Sub(now) <= serviceTime:
		return crash.Sub(now), callFailure(c, model.FailureLost, false)
	case c.Terms[0].Value == "crash":
		cl.crashedAt[id] = now.Add(serviceTime)
		cl.crashes++
		return serviceTime, callFailure(c, model.FailureLost, false)
	default:
		return serviceTime, reply(c)
	}
}

// shareReports applies the loss reports of each host to the views of the other
// hosts after a delay.
func (cl *cluster) shareReports(delay time.Duration) {
	for i, h := range cl.hosts {
		for _, r := range h.reports {
			cl.losses[i] = r.Losses
			total := 0
			for _, n := range cl.losses {
				total += n
			}
			fps := map[model.Fingerprint]bool{r.Fingerprint: true}
			for j, to := range cl.hosts {
				if v := to.world.view.WithQuarantine(fps, nil); j != i {
					if total >= quarantineLosses {
						v = v.WithQuarantine(fps, fps)
					}
					to.schedule(delay, ViewChanged{v})
				}
			}
		}
		h.reports = nil
	}
}

// Guards against a caller that crashes more searchers than the bound of the
// design page by repeating a crashing request without pause, several at once,
// through every entry host. Also guards against quarantining other requests
// that the same crashes interrupted.
func TestCrashingRequestIsBounded(t *testing.T) {
	const shards, clients = 8, 3
	for _, m := range []string{"unseen", "suspects"} {
		for _, n := range []int{1, 4} {
			for _, d := range []time.Duration{10 * time.Millisecond, time.Hour} {
				t.Run(fmt.Sprint(m, n, d), func(t *testing.T) {
					cl := newCluster(t, n, shards, map[tree.Key]tree.Value{tree.KeyCanary: tree.Enum(m)})
					for _, s := range cl.hosts {
						s.warmUp(1)
					}
					sent := 0
					open := map[string]model.RequestID{}
					for ms := range 4000 {
						for h, s := range cl.hosts {
							if ms < 1000*h { // hosts start one after another
								s.run(time.Millisecond)
								continue
							}
							for k := range clients {
								client := fmt.Sprint(h, "-", k)
								if id, ok := open[client]; ok && len(s.done[id]) == 0 {
									continue
								}
								sent++
								open[client] = model.RequestID(fmt.Sprint("k", sent))
								s.step(Arrived{crashingRequest(s, open[client])})
							}
							if sent%10 == 0 {
								s.step(Arrived{s.request(model.RequestID(fmt.Sprint("safe", sent)))})
							}
							s.run(time.Millisecond)
						}
						cl.shareReports(d)
					}
					bound := quarantineLosses * n
					if m == "suspects" {
						bound += n * shards // the first scatter at each host
					}
					t.Logf("%d requests sent, %d searchers crashed, bound %d", sent, cl.crashes, bound)
					if cl.crashes == 0 || cl.crashes > bound {
						t.Errorf("%d searchers crashed, bound %d", cl.crashes, bound)
					}
					for _, s := range cl.hosts {
						for id, as := range s.done {
							if id[0] == 's' && as[0].Refusal.Reason == model.ReasonQuarantined {
								t.Errorf("safe request %s was refused as crashing", id)
							}
						}
					}
				})
			}
		}
	}
}

// Guards against unseen requests that are sent to all shards at once, a request
// that stays a suspect after a searcher survived it, and a quarantine in the
// view that is ignored.
func TestCanarySuspectQuarantine(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, nil, replyAfter(5*time.Millisecond))
	s.step(Arrived{s.request("first")}, Arrived{s.request("second")}, Arrived{s.request("third")})
	is.Equal(len(s.sent), quarantineLosses) // unseen: at most as many calls as searchers may be lost
	s.run(time.Second)
	s.sent = nil
	s.step(Arrived{s.request("proven")})
	is.Equal(len(s.sent), 4)
	s.run(time.Second)

	fp := s.request("x").Fingerprint()
	s.sent = nil
	s.step(ViewChanged{s.world.view.WithQuarantine(map[model.Fingerprint]bool{fp: true}, nil)}, Arrived{s.request("suspected")})
	is.Equal(len(s.sent), 1) // a peer lost a searcher to it
	s.run(time.Second)
	is.Equal(s.done["suspected"][0].Outcome, model.OutcomeComplete)

	// One loss with another cause: the lost part is retried once a searcher has
	// survived the request.
	lost := 0
	s.onCall = func(c StartCall) (time.Duration, Event) {
		if lost++; lost == 1 {
			return time.Millisecond, callFailure(c, model.FailureLost, false)
		}
		return time.Millisecond, reply(c)
	}
	lostOnce := s.request("lostOnce").WithTerms(model.Term{Field: "name", Value: "jones"})
	s.step(Arrived{lostOnce})
	s.run(time.Second)
	is.Equal(s.done["lostOnce"][0].Outcome, model.OutcomeComplete)
	is.Equal(s.world.suspects.Len(), 0)
	is.Equal(len(s.reports), 1)

	// A quarantine in the view also ends queued and running requests.
	s.onCall = func(StartCall) (time.Duration, Event) { return -1, nil }
	s.sent = nil
	for i := range 20 {
		s.step(Arrived{s.request(model.RequestID(fmt.Sprint("run", i)))})
	}
	sentBefore := len(s.sent)
	s.step(ViewChanged{s.world.view.WithQuarantine(nil, map[model.Fingerprint]bool{fp: true})})
	for range 5 {
		s.run(time.Millisecond)
	}
	is.Equal(len(s.sent), sentBefore)
	for i := range 20 {
		a := s.done[model.RequestID(fmt.Sprint("run", i))]
		is.Equal(len(a), 1)
		is.Equal(a[0].Refusal.Reason, model.ReasonQuarantined)
	}
	is.Equal(s.world.Running(), 0)
}

// Guards against a retry of a suspect, a quarantine that takes effect only once
// a slot is free, and a fingerprint suspected by a peer that is sent to all
// shards at once.
func TestSuspectIsNotRetried(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 1, nil)
	s := cl.hosts[0]
	first := s.search("safe")
	is.Equal(first.Outcome, model.OutcomeComplete)
	for i, ex := range []model.Execution{model.MayHaveRun, model.MayHaveRun, model.NotRun} {
		id := model.RequestID(fmt.Sprint("k", i))
		s.step(Arrived{crashingRequest(s, id)})
		s.run(2 * time.Second)
		is.Equal(s.done[id][0].Refusal.Reason, model.ReasonQuarantined)
		is.Equal(s.done[id][0].Refusal.Execution, ex)
		is.Equal(cl.crashes, min(i+1, quarantineLosses))
	}
	s.onCall = func(StartCall) (time.Duration, Event) { return -1, nil }
	for i := range 20 {
		s.step(Arrived{s.request(model.RequestID(fmt.Sprint("hung", i)))})
	}
	s.step(Arrived{crashingRequest(s, "now")})
	is.Equal(len(s.done["now"]), 1) // refused although no slot is free

	s = newSim(t, 4, map[tree.Key]tree.Value{tree.KeyCanary: tree.Enum("suspects")}, replyAfter(time.Millisecond))
	s.step(Arrived{s.request("unseen")})
	is.Equal(len(s.sent), 4)
	s.step(ViewChanged{s.world.view.WithQuarantine(map[model.Fingerprint]bool{crashingRequest(s, "x").Fingerprint(): true}, nil)})
	s.step(Arrived{crashingRequest(s, "suspected")})
	is.Equal(len(s.sent), 4+1)
}

// Guards against a request that crashes searchers and is never refused, because each of
// its callers leaves before the searcher crashes: a call that was cancelled at once
// could not be lost.
func TestCrashingRequestOfImpatientCallersIsBounded(t *testing.T) {
	is := is.New(t)
	cl := newCluster(t, 1, 1, nil)
	s := cl.hosts[0]
	is.Equal(s.search("safe").Outcome, model.OutcomeComplete)
	for i := range 20 {
		id := model.RequestID(fmt.Sprint("k", i))
		s.step(Arrived{crashingRequest(s, id)})
		s.run(time.Millisecond)
		s.step(RequestCancelled{id})
		is.Equal(len(s.done[id]), 1) // answered at once, although its call goes on
		s.run(2 * time.Second)
	}
	is.Equal(cl.crashes, quarantineLosses)
	is.Equal(s.done["k19"][0].Refusal.Reason, model.ReasonQuarantined)
	is.Equal(s.world.abandoned.Len(), 0)
}

// Guards against a searcher that works for a caller that has left: the call of a request
// that no searcher has survived yet goes on for a moment and is then cancelled, others
// are cancelled at once.
func TestCallsOfLeavingCallersEnd(t *testing.T) {
	for _, survived := range []bool{false, true} {
		t.Run(fmt.Sprint("survived before: ", survived), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, nil, replyAfter(time.Millisecond))
			if survived {
				s.search("first")
			}
			s.onCall = func(StartCall) (time.Duration, Event) { return -1, nil }
			s.sent = nil
			s.step(Arrived{s.request("leaves")})
			is.Equal(len(s.sent), 1)
			left := s.now
			s.step(RequestCancelled{"leaves"})
			s.run(time.Second)
			want := left.Add(abandonedCallTime)
			if survived {
				want = left
			}
			is.Equal(s.cancelled[s.sent[0].Attempt], want)
			is.Equal(s.world.abandoned.Len(), 0)
		})
	}
}
