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
	announceRounds = 2
	announceGap    = 250 * time.Millisecond
)

// hosts is the part of control that keeps the other hosts. Both worlds of this
// package embed it.
type hosts struct {
	// Self is the host that the daemon runs on.
	Self model.Host
	// Member is the membership. Its fields may be set before the first tick.
	Member *member.World
	// Random chooses peers; set before the first tick to replay a run.
	Random *rand.Rand

	members *table.Table[model.HostID]
	member  *table.Column[model.Member]
	// self is what peers were told of this host.
	self member.SelfChanged
	// forMember are the events of this tick for the membership.
	forMember []member.Event

	// rounds of pushes are still to be made, the next one at nextAnnounce.
	rounds       int
	nextAnnounce time.Time
}

func newHosts(self model.Host, incarnation uint64) hosts {
	h := hosts{
		Self: self, Member: member.NewWorld(self, incarnation), members: table.New[model.HostID](),
		Random: rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(self.ID)))),
	}
	h.member = table.NewColumn[model.Member](h.members)
	return h
}

// take hands an event on to the membership. It returns what the event carries
// besides, and whether that came from a peer.
func (h *hosts) take(e Event) (Gossip, bool) {
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
		known = member.ChangesReceived{From: g.Sender, Changes: g.Changes}
	case MemberEvent:
		h.forMember = append(h.forMember, e.Event)
		return Gossip{}, false
	default:
		return Gossip{}, false
	}
	h.forMember = append(h.forMember, known)
	return g, g.Sender.Host.ID != h.Self.ID
}

// taken returns the events for the membership, once.
func (h *hosts) taken() []member.Event {
	list := h.forMember
	h.forMember = nil
	return list
}

// message returns the command for a command of the membership that is a message
// to a peer, and whether it is one.
func (h *hosts) message(c member.Command, gossip func([]model.Member) Gossip) (Command, bool) {
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

// follow applies changes of members. It calls changed with each row before and
// after, the latter without a host if the member is forgotten.
func (h *hosts) follow(c member.Changed, changed func(former, m model.Member)) {
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

// changeSelf has the membership and peers told of this host's own state, if it
// is another one.
func (h *hosts) changeSelf(ready, leaving bool, now time.Time) bool {
	next := member.SelfChanged{Ready: ready}
	if leaving {
		next.State = model.MemberLeaving
	}
	if next == h.self {
		return false
	}
	h.self = next
	h.forMember = append(h.forMember, next)
	h.announceFrom(now)
	return true
}

// announceFrom has peers told of what changed.
func (h *hosts) announceFrom(now time.Time) { h.rounds, h.nextAnnounce = announceRounds, now }

// announcing reports whether a round of pushes is due.
func (h *hosts) announcing(now time.Time, wake func(time.Time)) bool {
	if h.rounds == 0 {
		return false
	}
	if now.Before(h.nextAnnounce) {
		wake(h.nextAnnounce)
		return false
	}
	h.rounds--
	h.nextAnnounce = now.Add(announceGap + time.Duration(h.Random.Int64N(int64(announceGap))))
	if h.rounds > 0 {
		wake(h.nextAnnounce)
	}
	return true
}

// some returns a few live members that are chosen, in random order.
func (h *hosts) some(most int, chosen func(model.Member) bool) []model.Host {
	var list []model.Host
	for id := range h.members.All() {
		if m := h.member.Get(id); live(m) && m.Host.ID != h.Self.ID && chosen(m) {
			list = append(list, m.Host)
		}
	}
	h.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), most)]
}

// anyMember chooses every member.
func anyMember(model.Member) bool { return true }

// live reports whether a member may answer. A suspect counts, as most suspicions
// come from lost messages.
func live(m model.Member) bool {
	return m.State == model.MemberAlive || m.State == model.MemberSuspect
}
