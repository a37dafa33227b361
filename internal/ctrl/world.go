package ctrl

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
)

// World is the control state of one daemon.
type World struct {
	tick.Frame[Event, Command]
	hosts
	// Spread and Route are the worlds that it composes besides the membership.
	// Their fields may be set before the first tick.
	Spread *spread.World
	Route  *route.World

	view view.View
	root tree.Settings
	// dirty is set if the view changed, and moved if the addresses may have.
	dirty, moved bool

	joined bool

	bundle   spread.Bundle
	ready    spread.Ready
	leaving  bool
	draining bool

	suspects suspects

	// asked holds when a probe was sent, so that the age of its answer is known.
	asked *policy.Recent[uint64, time.Time]

	// forSpread and forRoute are the events of this tick for the worlds.
	forSpread []spread.Event
	forRoute  []route.Event
}

// NewWorld returns a world without settings. The incarnation must be higher
// than in the host's earlier lives; the start time in milliseconds is.
func NewWorld(self model.Host, incarnation uint64) *World {
	w := &World{
		hosts: newHosts(self, incarnation), Spread: spread.NewWorld(self),
		Route: route.NewWorld(self.ID, incarnation^xxhash.Sum64String(string(self.ID))),
		asked: policy.NewRecent[uint64, time.Time](askedProbes),
		// A host runs no service before it holds a seat.
		view: view.New().WithReady(false, "no settings are known yet").WithRoutes(nil, map[model.ServiceName]view.Ownership{}), root: tree.New().Effective(tree.Root),
		suspects: newSuspects(), dirty: true,
	}
	w.Order(
		w.begin, w.receive, w.list, w.tickMember, w.tickSpread, w.tickRoute, w.drain, w.changeSelf,
		w.quarantine, w.expire, w.announce, w.publish, w.arm,
	)
	return w
}

// View returns the view published last.
func (w *World) View() view.View { return w.view }

// begin is the system that tells how many seeds there are.
func (w *World) begin() {
	if w.First() {
		w.forSpread = append(w.forSpread, spread.ContactsKnown{Seeds: len(w.Member.Seeds)})
	}
}

// arm is the system that names the deadlines of the worlds.
func (w *World) arm() {
	w.WakeAt(w.Member.Next())
	w.WakeAt(w.Spread.Next())
	w.WakeAt(w.Route.Next())
}

// receive is the system that hands the events of a tick to the worlds.
func (w *World) receive() {
	for _, e := range w.Inbox() {
		if g, ok := w.take(e); ok {
			var asked time.Time
			if a, ok := e.(Acked); ok {
				asked, _ = w.asked.Get(a.ID)
			}
			w.heardOfPlatform(g, asked)
			w.forSpread = append(w.forSpread, spread.DigestReceived{From: g.Sender.Host.ID, Digest: g.Digest})
		}
		switch e := e.(type) {
		case SpreadEvent:
			w.forSpread = append(w.forSpread, e.Event)
		case RouteEvent:
			w.forRoute = append(w.forRoute, e.Event)
			if platformAnswered(e.Event) {
				w.forSpread = append(w.forSpread, spread.PlatformAnswered{})
			}
		}
	}
}

// list is the system that takes the platform's host list.
func (w *World) list() {
	tick.Each(w.Inbox(), func(e HostsSeen) {
		listed := member.HostsListed{Leaving: map[model.HostID]bool{}}
		var leaving spread.Leaving
		for _, l := range e.Entries {
			switch {
			case l.Searcher != "" && l.Leaving:
				leaving.Searchers = append(leaving.Searchers, l.Searcher)
			case l.Searcher != "":
			case l.Leaving:
				leaving.Hosts = append(leaving.Hosts, l.Host.ID)
				listed.Leaving[l.Host.ID] = true
				listed.Hosts = append(listed.Hosts, l.Host)
			default:
				listed.Hosts = append(listed.Hosts, l.Host)
			}
		}
		w.forMember = append(w.forMember, listed)
		w.forSpread = append(w.forSpread, spread.ContactsKnown{Hosts: without(listed)}, spread.LeavingRead{Leaving: leaving})
	})
}

// without returns the listed hosts that are not leaving.
func without(l member.HostsListed) []model.Host {
	var hosts []model.Host
	for _, h := range l.Hosts {
		if !l.Leaving[h.ID] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// tickMember is the system that ticks the membership.
func (w *World) tickMember() {
	for _, c := range w.Member.Tick(w.Now(), w.taken()) {
		if m, ok := w.message(c, w.gossip); ok {
			w.Emit(m)
		}
		switch c := c.(type) {
		case member.SendProbe:
			w.asked.Put(c.ID, w.Now())
		case member.Changed:
			w.followMembers(c)
		case member.Refuted:
			w.refuted(c)
		}
	}
	if w.Member.Joined() && !w.joined {
		w.joined = true
		w.forSpread = append(w.forSpread, spread.MembersChanged{Joined: true})
	}
}

func (w *World) followMembers(c member.Changed) {
	w.follow(c, func(former, m model.Member) {
		// Most changes are suspicions that are refuted. They change no address.
		w.moved = w.moved || answered(former) != answered(m)
		if c, ok := memberChanged(former, m, w.Self.ID); ok {
			w.Emit(c)
		}
	})
	w.routeMembers(c.Members, c.Forgotten)
	w.forSpread = append(w.forSpread, spread.MembersChanged{
		Members: c.Members, Forgotten: c.Forgotten, Joined: w.Member.Joined(),
	})
}

// refuted makes a host that was out of contact compare what it holds. A mere
// suspicion comes from a few lost messages, so it suspends nothing.
func (w *World) refuted(c member.Refuted) {
	suspended := c.Paused || c.State == model.MemberFailed
	if suspended {
		reason := "peers held this host as failed; its settings are compared with theirs"
		if c.Paused {
			reason = "the process was paused; its settings are compared with those of others"
		}
		w.forSpread = append(w.forSpread, spread.Suspended{Reason: reason})
	}
	w.Emit(Refuted{Incarnation: c.Incarnation, Suspended: suspended})
}

// tickSpread is the system that ticks the dissemination.
func (w *World) tickSpread() {
	inbox := w.forSpread
	w.forSpread = nil
	for _, c := range w.Spread.Tick(w.Now(), inbox) {
		switch c := c.(type) {
		case spread.Watch:
			w.Emit(Watch{})
		case spread.Unwatch:
			w.Emit(Unwatch{})
		case spread.ReadPlatform:
			w.Emit(ReadPlatform{Begun: c.Begun})
		case spread.PullFrom:
			w.Emit(PullFrom{Peer: c.Peer, Begun: c.Begun})
		case spread.PushTo:
			w.Emit(PushTo{Peer: c.Peer, Gossip: w.gossip(nil)})
		case spread.Adopt:
			w.adopt(c)
		case spread.Ready:
			w.ready, w.dirty = c, true
		}
	}
}

// gossip returns what a message carries besides changes of members.
func (w *World) gossip(changes []model.Member) Gossip {
	return Gossip{
		Sender: w.Member.Self(), Digest: w.Spread.Digest(w.Now()), Hash: w.Member.Hash(),
		Changes: changes, Quarantine: w.suspects.entries(w.Now()),
	}
}

// drain is the system that starts a graceful shutdown. Package drain plugs in
// here: its Leave and Refuse commands set what this system sets.
func (w *World) drain() {
	tick.Each(w.Inbox(), func(LeaveRequested) { w.leaving, w.dirty = true, true })
	tick.Each(w.Inbox(), func(RefuseRequested) { w.draining, w.dirty = true, true })
}

// changeSelf is the system that tells peers of this host's own state.
func (w *World) changeSelf() {
	if w.hosts.changeSelf(w.ready.Ready && !w.leaving, w.leaving, w.Now()) {
		w.tickMember()
	}
}

// announce is the system that pushes this host's state and quarantine entries
// to a few peers at once.
func (w *World) announce() {
	if !w.announcing(w.Now(), w.WakeAt) {
		return
	}
	for _, h := range w.some(w.root.PushFanout, anyMember) {
		w.Emit(PushTo{Peer: h, Gossip: w.gossip(nil)})
	}
}
