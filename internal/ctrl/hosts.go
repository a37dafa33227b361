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
	// announceRounds pushes to a few peers each follow a change of this host's own
	// state or of the quarantine, announceGap or a little more apart.
	announceRounds   = 2
	announceInterval = 250 * time.Millisecond
)

// membership is the part of control that keeps the other membership. Both worlds of this
// package embed it.
type membership struct {
	// Self is the host that the daemon runs on.
	Self model.Host
	// Member is the membership. Its fields may be set before the first tick.
	Member *member.World
	// Random chooses peers; set before the first tick to replay a run.
	Random *rand.Rand

	members *table.Table[model.HostID]
	member  *table.Column[model.Member]
	// selfState is what peers were told of this host.
	selfState member.SelfChanged
	// memberEvents are the events of this tick for the membership.
	memberEvents []member.Event

	// announceRoundsLeft of pushes are still to be made, the next one at nextAnnounce.
	announceRoundsLeft int
	nextAnnounceAt     time.Time
}

func newMembership(self model.Host, incarnation uint64) membership {
	h := membership{
		Self: self, Member: member.NewWorld(self, incarnation), members: table.New[model.HostID](),
		Random: rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(self.ID)))),
	}
	h.member = table.NewColumn[model.Member](h.members)
	return h
}

// queueMemberEvent hands an event on to the membership. It returns what the event carries
// besides, and whether that came from a peer.
func (h *membership) queueMemberEvent(e Event) (Gossip, bool) {
	var g Gossip
	var known member.Event
	switch e := e.(type) {
	case Probed:
		g = e.Gossip
		known = member.Probed{ID: e.ID, From: g.Sender, Target: e.Target, Hash: g.Hash, Changes: g.Changes}
	case Acked:
		g = e.Gossip
		known = member.Acked{ID: e.ID, From: g.Sender, Reached: e.Reached, Hash: g.Hash, Changes: g.Changes}
	case Pushed:
		g = e.Gossip
		known = member.Told{From: g.Sender, Changes: g.Changes}
	case MemberEvent:
		h.memberEvents = append(h.memberEvents, e.Event)
		return Gossip{}, false
	default:
		return Gossip{}, false
	}
	h.memberEvents = append(h.memberEvents, known)
	return g, g.Sender.Host.ID != h.Self.ID
}

// takeMemberEvents returns the events for the membership, once.
func (h *membership) takeMemberEvents() []member.Event {
	list := h.memberEvents
	h.memberEvents = nil
	return list
}

// peerCommand returns the command for a command of the membership that is a peerCommand
// to a peer, and whether it is one.
func (h *membership) peerCommand(c member.Command, gossip func([]model.Member) Gossip) (Command, bool) {
	switch c := c.(type) {
	case member.SendProbe:
		return SendProbe{ID: c.ID, To: c.To, Target: c.Target, Gossip: gossip(c.Changes)}, true
	case member.AnswerProbe:
		return AnswerProbe{ID: c.ID, Reached: c.Reached, Gossip: gossip(c.Changes)}, true
	case member.FetchMembers:
		return FetchMembers{From: c.From, Self: h.Member.Self()}, true
	case member.AnswerMembers:
		return AnswerMembers{ID: c.ID, Members: c.Members}, true
	}
	return nil, false
}

// applyChanges applies changes of members. It calls changed with each row before and
// after, the latter without a host if the member is forgotten.
func (h *membership) applyChanges(c member.Changed, changed func(former, m model.Member)) {
	for _, m := range c.Members {
		id, _ := h.members.Add(m.Host.ID)
		changed(h.member.Get(id), m)
		h.member.Set(id, m)
	}
	for _, host := range c.Forgotten {
		if id, ok := h.members.Find(host); ok {
			changed(h.member.Get(id), model.Member{})
			h.members.Remove(id)
		}
	}
}

// setSelfState has the membership and peers told of this host's own state, if it
// is another one.
func (h *membership) setSelfState(ready, leaving bool, now time.Time) bool {
	next := member.SelfChanged{Ready: ready}
	if leaving {
		next.State = model.MemberLeaving
	}
	if next == h.selfState {
		return false
	}
	h.selfState = next
	h.memberEvents = append(h.memberEvents, next)
	h.startAnnouncing(now)
	return true
}

// startAnnouncing has peers told of what changed.
func (h *membership) startAnnouncing(now time.Time) {
	h.announceRoundsLeft, h.nextAnnounceAt = announceRounds, now
}

// announceDue reports whether a round of pushes is due.
func (h *membership) announceDue(now time.Time, wake func(time.Time)) bool {
	if h.announceRoundsLeft == 0 {
		return false
	}
	if now.Before(h.nextAnnounceAt) {
		wake(h.nextAnnounceAt)
		return false
	}
	h.announceRoundsLeft--
	h.nextAnnounceAt = now.Add(announceInterval + time.Duration(h.Random.Int64N(int64(announceInterval))))
	if h.announceRoundsLeft > 0 {
		wake(h.nextAnnounceAt)
	}
	return true
}

// samplePeers returns a few live members that are chosen, in random order.
func (h *membership) samplePeers(limit int, match func(model.Member) bool) []model.Host {
	var list []model.Host
	for id := range h.members.All() {
		if m := h.member.Get(id); live(m) && m.Host.ID != h.Self.ID && match(m) {
			list = append(list, m.Host)
		}
	}
	h.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), limit)]
}

// anyMember chooses every member.
func anyMember(model.Member) bool { return true }

// live reports whether a member may answer. A suspect counts, as most suspicions
// come from lost messages.
func live(m model.Member) bool {
	return m.State == model.MemberAlive || m.State == model.MemberSuspect
}
