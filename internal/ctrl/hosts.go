package ctrl

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

const (
	// announceRounds is the number of push rounds after a change of this host's
	// state or of the quarantine. The rounds are announceInterval apart, plus up
	// to as much jitter.
	announceRounds   = 2
	announceInterval = 250 * time.Millisecond
)

// membership is the part of the control state that tracks the other hosts. Both
// worlds of this package embed it.
type membership struct {
	// Self is the host that the daemon runs on.
	Self model.Host
	// Member is the membership. Its fields may be set before the first tick.
	Member *member.World
	// Random selects peers; set before the first tick to replay a run.
	Random *rand.Rand

	members *table.Table[model.HostID]
	member  *table.Column[model.Member]
	// announcedState is the state of this host last announced to peers.
	announcedState member.SelfChanged
	// memberEvents holds the pending events for package member.
	memberEvents []member.Event

	// announceRoundsLeft push rounds remain; the next is due at nextAnnounceAt.
	announceRoundsLeft int
	nextAnnounceAt     time.Time
}

func newMembership(self model.Host, incarnation uint64) membership {
	ms := membership{
		Self: self, Member: member.NewWorld(self, incarnation), members: table.New[model.HostID](),
		Random: rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(self.ID)))),
	}
	ms.member = table.NewColumn[model.Member](ms.members)
	return ms
}

// queueMemberEvent queues the part of an event that concerns package member, if
// any. It returns the gossip that the event carries and whether another host sent
// it.
func (ms *membership) queueMemberEvent(e Event) (Gossip, bool) {
	var g Gossip
	var event member.Event
	switch e := e.(type) {
	case Probed:
		g = e.Gossip
		event = member.Probed{ID: e.ID, From: g.Sender, Target: e.Target, Hash: g.Hash, Changes: g.Changes}
	case Acked:
		g = e.Gossip
		event = member.Acked{ID: e.ID, From: g.Sender, Reached: e.Reached, Hash: g.Hash, Changes: g.Changes}
	case Pushed:
		g = e.Gossip
		event = member.ChangesReceived{From: g.Sender, Changes: g.Changes}
	case MemberEvent:
		ms.memberEvents = append(ms.memberEvents, e.Event)
		return Gossip{}, false
	default:
		return Gossip{}, false
	}
	ms.memberEvents = append(ms.memberEvents, event)
	return g, g.Sender.Host.ID != ms.Self.ID
}

// takeMemberEvents returns the pending events for package member and clears them.
func (ms *membership) takeMemberEvents() []member.Event {
	list := ms.memberEvents
	ms.memberEvents = nil
	return list
}

// peerCommand converts a command of package member that sends a message to a
// peer. It reports false for other commands.
func (ms *membership) peerCommand(c member.Command, gossip func([]model.Member) Gossip) (Command, bool) {
	switch c := c.(type) {
	case member.SendProbe:
		return SendProbe{ID: c.ID, To: c.To, Target: c.Target, Gossip: gossip(c.Changes)}, true
	case member.AnswerProbe:
		return AnswerProbe{ID: c.ID, Reached: c.Reached, Gossip: gossip(c.Changes)}, true
	case member.FetchMembers:
		return FetchMembers{From: c.From, Self: ms.Member.Self()}, true
	case member.AnswerMembers:
		return AnswerMembers{ID: c.ID, Members: c.Members}, true
	}
	return nil, false
}

// applyChanges applies member changes to the table. It calls changed with the
// previous and new state of each; the new one is empty if the member is removed.
func (ms *membership) applyChanges(c member.Changed, changed func(previous, m model.Member)) {
	for _, m := range c.Members {
		id, _ := ms.members.Add(m.Host.ID)
		changed(ms.member.Get(id), m)
		ms.member.Set(id, m)
	}
	for _, host := range c.Removed {
		if id, ok := ms.members.Find(host); ok {
			changed(ms.member.Get(id), model.Member{})
			ms.members.Remove(id)
		}
	}
}

// setSelfState updates this host's own state in the membership, announces it to
// peers, and reports whether it changed.
func (ms *membership) setSelfState(ready, leaving bool, now time.Time) bool {
	next := member.SelfChanged{Ready: ready}
	if leaving {
		next.State = model.MemberLeaving
	}
	if next == ms.announcedState {
		return false
	}
	ms.announcedState = next
	ms.memberEvents = append(ms.memberEvents, next)
	ms.startAnnouncing(now)
	return true
}

// startAnnouncing schedules push rounds to announce a change to peers.
func (ms *membership) startAnnouncing(now time.Time) {
	ms.announceRoundsLeft, ms.nextAnnounceAt = announceRounds, now
}

// announceDue reports whether a push round is due, and schedules the next one.
func (ms *membership) announceDue(now time.Time, wake func(time.Time)) bool {
	if ms.announceRoundsLeft == 0 {
		return false
	}
	if now.Before(ms.nextAnnounceAt) {
		wake(ms.nextAnnounceAt)
		return false
	}
	ms.announceRoundsLeft--
	ms.nextAnnounceAt = now.Add(announceInterval + time.Duration(ms.Random.Int64N(int64(announceInterval))))
	if ms.announceRoundsLeft > 0 {
		wake(ms.nextAnnounceAt)
	}
	return true
}

// samplePeers returns up to limit live peers that match, in random order.
func (ms *membership) samplePeers(limit int, match func(model.Member) bool) []model.Host {
	var list []model.Host
	for id := range ms.members.All() {
		if m := ms.member.Get(id); live(m) && m.Host.ID != ms.Self.ID && match(m) {
			list = append(list, m.Host)
		}
	}
	ms.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), limit)]
}

// anyMember matches every member.
func anyMember(model.Member) bool { return true }

// live reports whether a member is alive or suspect. Suspects are included, as
// most suspicions come from lost messages.
func live(m model.Member) bool {
	return m.State == model.MemberAlive || m.State == model.MemberSuspect
}
