package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

var epoch = time.Unix(1_800_000_000, 0)

func testHost(i int) model.Host {
	id := fmt.Sprintf("host-%d", i)
	return model.Host{ID: model.HostID(id), Peer: model.Address(id + ":1"), FailureDomain: "karachi-a"}
}

func testMember(i int, incarnation uint64, state model.MemberState) model.Member {
	return model.Member{Host: testHost(i), Incarnation: incarnation, State: state}
}

func commands[C Command](list []Command) []C {
	var out []C
	for _, c := range list {
		if typed, ok := c.(C); ok {
			out = append(out, typed)
		}
	}
	return out
}

// Guards against a row that is replaced by one with a lower incarnation or an
// earlier state.
func TestMergePrecedence(t *testing.T) {
	tests := []struct {
		name              string
		current, received model.Member
		want              model.Member
	}{
		{"suspect of the same incarnation", testMember(1, 5, model.MemberAlive), testMember(1, 5, model.MemberSuspect), testMember(1, 5, model.MemberSuspect)},
		{"suspect of an older incarnation", testMember(1, 5, model.MemberAlive), testMember(1, 4, model.MemberSuspect), testMember(1, 5, model.MemberAlive)},
		{"alive of the same incarnation", testMember(1, 5, model.MemberSuspect), testMember(1, 5, model.MemberAlive), testMember(1, 5, model.MemberSuspect)},
		{"alive of a newer incarnation", testMember(1, 5, model.MemberFailed), testMember(1, 6, model.MemberAlive), testMember(1, 6, model.MemberAlive)},
		{"failed without suspicion", testMember(1, 5, model.MemberAlive), testMember(1, 5, model.MemberFailed), testMember(1, 5, model.MemberSuspect)},
		{"failed after suspicion", testMember(1, 5, model.MemberSuspect), testMember(1, 5, model.MemberFailed), testMember(1, 5, model.MemberFailed)},
		{"leaving", testMember(1, 5, model.MemberAlive), testMember(1, 6, model.MemberLeaving), testMember(1, 6, model.MemberLeaving)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWorld(testHost(0), 1)
			w.Tick(epoch, []Event{MembersReceived{Members: []model.Member{tt.current}}})
			w.Tick(epoch, []Event{ChangesReceived{From: testMember(2, 1, model.MemberAlive), Changes: []model.Member{tt.received}}})
			r, _ := w.find("host-1")
			is.New(t).Equal(r.member, tt.want)
		})
	}
}

// Guards against a host that does not refute a suspicion of itself, and against
// a Refuted for an incarnation of an earlier process.
func TestHostRefutesSuspicion(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 100)
	w.Tick(epoch, nil)
	out := w.Tick(epoch, []Event{ChangesReceived{From: testMember(1, 1, model.MemberAlive), Changes: []model.Member{testMember(0, 40, model.MemberFailed)}}})
	is.Equal(len(commands[Refuted](out)), 0)
	is.Equal(w.Self().Incarnation, uint64(100))
	out = w.Tick(epoch, []Event{ChangesReceived{From: testMember(1, 1, model.MemberAlive), Changes: []model.Member{testMember(0, 100, model.MemberFailed)}}})
	is.Equal(commands[Refuted](out), []Refuted{{Incarnation: 100, State: model.MemberFailed}})
	is.Equal(w.Self().Incarnation, uint64(101))
	is.Equal(w.Self().State, model.MemberAlive)
	// After its clock was set back, a host finds its own row with a higher incarnation.
	w.Tick(epoch, []Event{ChangesReceived{From: testMember(1, 1, model.MemberAlive), Changes: []model.Member{testMember(0, 500, model.MemberAlive)}}})
	is.Equal(w.Self().Incarnation, uint64(501))
}

// runUntil ticks a world at its deadlines until the given time and returns its
// commands.
func runUntil(w *World, until time.Time, answer func(SendProbe) Event) (out []Command) {
	var inbox []Event
	for now := epoch; !now.After(until); {
		list := w.Tick(now, inbox)
		inbox = nil
		for _, c := range list {
			if p, ok := c.(SendProbe); ok {
				if e := answer(p); e != nil {
					inbox = append(inbox, e)
				}
			}
		}
		out = append(out, list...)
		if len(inbox) == 0 {
			now = w.Next()
		}
	}
	return out
}

// Guards against a member that is marked as failed without indirect probes or
// before its time to refute is over, or that is never probed again.
func TestUnresponsiveMemberIsSuspectedThenFailedAndReprobed(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 1)
	var all []model.Member
	for i := 1; i < 6; i++ {
		all = append(all, testMember(i, 1, model.MemberAlive))
	}
	w.Tick(epoch, []Event{MembersReceived{Members: all}})
	indirectProbes, reprobes := 0, 0
	var failedAt time.Time
	runUntil(w, epoch.Add(60*time.Second), func(p SendProbe) Event {
		r, _ := w.find("host-1")
		switch {
		case p.Target == "host-1":
			indirectProbes++
			return Acked{ID: p.ID, From: testMember(2, 1, model.MemberAlive), Hash: w.Hash()}
		case p.To.ID == "host-1":
			if r.member.State == model.MemberFailed {
				reprobes++
				if failedAt.IsZero() {
					failedAt = r.updatedAt
				}
			}
			return ProbeFailed{ID: p.ID}
		default:
			return Acked{ID: p.ID, From: model.Member{Host: p.To, Incarnation: 1}, Reached: true, Hash: w.Hash()}
		}
	})
	is.True(indirectProbes >= 3)
	is.True(reprobes >= 15) // every 2 s
	// The first probe is sent within a round of 5 s; indirect probes end 0.6 s
	// after it fails.
	is.True(failedAt.Sub(epoch) >= DefaultSuspicionTimeout)
	is.True(failedAt.Sub(epoch) <= 5*time.Second+time.Second+DefaultSuspicionTimeout)
}

// Guards against a suspicion of a member that other hosts can reach.
func TestIndirectAckPreventsSuspicion(t *testing.T) {
	w := NewWorld(testHost(0), 1)
	w.Tick(epoch, []Event{MembersReceived{Members: []model.Member{testMember(1, 1, model.MemberAlive), testMember(2, 1, model.MemberAlive)}}})
	runUntil(w, epoch.Add(30*time.Second), func(p SendProbe) Event {
		if p.To.ID == "host-1" {
			return ProbeFailed{ID: p.ID}
		}
		return Acked{ID: p.ID, From: testMember(2, 1, model.MemberAlive), Reached: true, Hash: w.Hash()}
	})
	r, _ := w.find("host-1")
	is.New(t).Equal(r.member.State, model.MemberAlive)
}

// Guards against a message rate or message size that grows with the number of
// members.
func TestMessagesDoNotDependOnFleetSize(t *testing.T) {
	for _, n := range []int{7, 300, 3000} {
		is := is.New(t)
		w := NewWorld(testHost(0), 1)
		var all []model.Member
		for i := 1; i < n; i++ {
			all = append(all, testMember(i, 1, model.MemberAlive))
		}
		w.Tick(epoch, []Event{MembersReceived{Members: all}})
		var updates []model.Member
		for _, m := range all {
			updates = append(updates, m.WithIncarnation(2))
		}
		w.Tick(epoch, []Event{ChangesReceived{From: all[0], Changes: updates}})
		probes := 0
		runUntil(w, epoch.Add(30*time.Second), func(p SendProbe) Event {
			probes++
			is.True(len(p.Changes) <= maxChanges)
			return Acked{ID: p.ID, From: model.Member{Host: p.To, Incarnation: 1}, Reached: true, Hash: w.Hash()}
		})
		is.True(probes >= 29 && probes <= 31)
	}
}

// Guards against failed members that are never removed, or that return from
// peers which remove them later.
func TestFailedMemberIsRemoved(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 1)
	w.Retention = time.Minute
	w.Tick(epoch, []Event{MembersReceived{Members: []model.Member{testMember(1, 1, model.MemberFailed), testMember(2, 1, model.MemberAlive)}}})
	out := runUntil(w, epoch.Add(2*time.Minute), func(p SendProbe) Event {
		if p.To.ID == "host-1" {
			return ProbeFailed{ID: p.ID}
		}
		return Acked{ID: p.ID, From: testMember(2, 1, model.MemberAlive), Reached: true, Hash: w.Hash(), Changes: nil}
	})
	var removed []model.HostID
	for _, c := range commands[Changed](out) {
		removed = append(removed, c.Removed...)
	}
	is.Equal(removed, []model.HostID{"host-1"})
	w.Tick(w.Next(), []Event{ChangesReceived{From: testMember(2, 1, model.MemberAlive), Changes: []model.Member{testMember(1, 1, model.MemberFailed)}}})
	_, known := w.find("host-1")
	is.True(!known)
}

// Guards against a process that does not detect its own pause.
func TestProcessPauseIsDetected(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 1)
	w.Tick(epoch, nil)
	is.Equal(len(commands[Refuted](w.Tick(epoch.Add(time.Second), nil))), 0)
	out := w.Tick(epoch.Add(time.Minute), nil)
	is.Equal(commands[Refuted](out), []Refuted{{Incarnation: 1, Paused: true}})
}

// Guards against a host that never learns of the other members because a peer
// contacted it before it had the address of any peer.
func TestHostJoinsThroughAnyMember(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 1)
	w.Tick(epoch, nil)
	w.Tick(epoch, []Event{ChangesReceived{From: testMember(1, 1, model.MemberAlive)}})
	out := w.Tick(epoch.Add(2*joinInterval), nil)
	out = append(out, w.Tick(epoch.Add(4*joinInterval), nil)...)
	fetches := commands[FetchMembers](out)
	is.True(len(fetches) > 0)
	is.Equal(fetches[0].From.ID, model.HostID("host-1"))
}

// Guards against a member that stays alive because another host has taken over its
// address and answers its probes.
func TestAckFromAnotherHostIsIgnored(t *testing.T) {
	w := NewWorld(testHost(0), 1)
	w.Tick(epoch, []Event{MembersReceived{Members: []model.Member{testMember(1, 1, model.MemberAlive)}}})
	runUntil(w, epoch.Add(30*time.Second), func(p SendProbe) Event {
		other := testMember(2, 1, model.MemberAlive)
		other.Host.Peer = p.To.Peer
		return Acked{ID: p.ID, From: other, Reached: p.Target == "", Hash: w.Hash()}
	})
	r, _ := w.find("host-1")
	is.New(t).Equal(r.member.State, model.MemberFailed)
}

// Guards against changes that are sent forever or stay in the queue too long.
func TestChangesAreSentALimitedNumberOfTimes(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 1)
	w.Tick(epoch, []Event{MembersReceived{Members: []model.Member{testMember(1, 1, model.MemberAlive), testMember(2, 1, model.MemberAlive)}}})
	w.Tick(epoch, []Event{ChangesReceived{From: testMember(1, 1, model.MemberAlive), Changes: []model.Member{testMember(2, 2, model.MemberAlive)}}})
	sends := 0
	runUntil(w, epoch.Add(20*time.Second), func(p SendProbe) Event {
		for _, m := range p.Changes {
			if m.Host.ID == "host-2" {
				sends++
			}
		}
		return Acked{ID: p.ID, From: model.Member{Host: p.To, Incarnation: 1}, Reached: true, Hash: w.Hash()}
	})
	is.True(sends >= 1 && sends <= retransmitFactor*2) // 3 members have 2 bits
	w.Tick(epoch.Add(20*time.Second), []Event{ChangesReceived{From: testMember(1, 1, model.MemberAlive), Changes: []model.Member{testMember(2, 3, model.MemberAlive)}}})
	is.Equal(w.queue.Len(), 1)
	w.Tick(epoch.Add(20*time.Second+maxChangeAge+time.Second), nil)
	is.Equal(len(w.changesFor("host-1")), 0)
}

// Guards against a killed host that is suspected only when its turn in the
// probe round comes although calls to it fail, and against a second probe while
// one is in flight.
func TestFailedCallTriggersImmediateProbe(t *testing.T) {
	is := is.New(t)
	w := NewWorld(testHost(0), 1)
	var others []model.Member
	for i := 1; i <= 10; i++ {
		others = append(others, testMember(i, 1, model.MemberAlive))
	}
	w.Tick(epoch, []Event{MembersReceived{Members: others}})
	at := epoch.Add(10 * time.Millisecond)
	countDirectProbes := func(out []Command) int {
		n := 0
		for _, p := range commands[SendProbe](out) {
			if p.To.ID == "host-3" && p.Target == "" {
				n++
			}
		}
		return n
	}
	is.Equal(countDirectProbes(w.Tick(at, []Event{CallFailed{Host: "host-3"}, CallFailed{Host: "host-3"}, CallFailed{Host: "host-99"}})), 1)
	is.Equal(countDirectProbes(w.Tick(at, []Event{CallFailed{Host: "host-3"}})), 0) // a probe is already in flight
	runUntil(w, at.Add(3*DefaultProbeTimeout+time.Millisecond), func(p SendProbe) Event {
		if p.To.ID == "host-3" || p.Target == "host-3" {
			return nil
		}
		return Acked{ID: p.ID, From: testMember(0, 1, model.MemberAlive)}
	})
	r, _ := w.find("host-3")
	is.Equal(r.member.State, model.MemberSuspect)
}
