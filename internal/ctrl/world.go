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
	membership
	// Spread and Route are the composed worlds besides the membership. Their
	// fields may be set before the first tick.
	Spread *spread.World
	Route  *route.World

	view         view.View
	rootSettings tree.Settings
	// dirty is set if the view changed, addressesChanged if entry addresses did.
	dirty, addressesChanged bool

	joined bool

	bundle   spread.Bundle
	ready    spread.Ready
	leaving  bool
	draining bool

	suspects suspects

	// probeSentAt holds the send times of the latest probes. The information in an
	// answer is at most as old as its probe.
	probeSentAt *policy.LRU[uint64, time.Time]

	// spreadEvents and routeEvents hold the pending events for the worlds.
	spreadEvents []spread.Event
	routeEvents  []route.Event
}

// NewWorld returns a world without settings. The incarnation must be higher than
// those of earlier processes on the host, as the start time in milliseconds is.
func NewWorld(self model.Host, incarnation uint64) *World {
	w := &World{
		membership: newMembership(self, incarnation), Spread: spread.NewWorld(self),
		Route:       route.NewWorld(self.ID, incarnation^xxhash.Sum64String(string(self.ID))),
		probeSentAt: policy.NewLRU[uint64, time.Time](maxTrackedProbes),
		// A host runs no service before it has a seat.
		view: view.New().WithReady(false, "no settings are known yet").WithRoutes(nil, map[model.ServiceName]view.Ownership{}), rootSettings: tree.New().Effective(tree.Root),
		suspects: newSuspects(self.ID, incarnation), dirty: true,
	}
	w.SetSystems(
		w.queueSeedCount, w.receive, w.receiveHostList, w.tickMember, w.tickSpread, w.tickRoute, w.drain, w.updateSelfState,
		w.quarantine, w.expire, w.announce, w.publish, w.scheduleWake,
	)
	return w
}

// View returns the current view.
func (w *World) View() view.View { return w.view }

// queueSeedCount is the system that passes the number of seeds to package spread.
func (w *World) queueSeedCount() {
	if w.FirstTick() {
		w.spreadEvents = append(w.spreadEvents, spread.ContactsKnown{SeedCount: len(w.Member.Seeds)})
	}
}

// scheduleWake is the system that requests the next tick at the earliest deadline
// of the composed worlds.
func (w *World) scheduleWake() {
	w.WakeAt(w.Member.Next())
	w.WakeAt(w.Spread.Next())
	w.WakeAt(w.Route.Next())
}

// receive is the system that distributes the events of a tick to the worlds.
func (w *World) receive() {
	for _, e := range w.Inbox() {
		if g, ok := w.queueMemberEvent(e); ok {
			var sentAt time.Time
			if a, ok := e.(Acked); ok {
				sentAt, _ = w.probeSentAt.Get(a.ID)
			}
			w.queuePlatformContact(g, sentAt)
			w.spreadEvents = append(w.spreadEvents, spread.DigestReceived{From: g.Sender.Host.ID, Digest: g.Digest})
		}
		switch e := e.(type) {
		case SpreadEvent:
			w.spreadEvents = append(w.spreadEvents, e.Event)
		case RouteEvent:
			w.routeEvents = append(w.routeEvents, e.Event)
			if platformAnswered(e.Event) {
				w.spreadEvents = append(w.spreadEvents, spread.PlatformAnswered{})
			}
		}
	}
}

// receiveHostList is the system that applies the platform's host list.
func (w *World) receiveHostList() {
	tick.Each(w.Inbox(), func(e HostListRead) {
		listed := member.HostsListed{Leaving: map[model.HostID]bool{}}
		var leaving spread.LeavingList
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
		w.memberEvents = append(w.memberEvents, listed)
		w.spreadEvents = append(w.spreadEvents, spread.ContactsKnown{Hosts: remainingHosts(listed)}, spread.LeavingRead{Leaving: leaving})
	})
}

// remainingHosts returns the listed hosts that are not leaving.
func remainingHosts(l member.HostsListed) []model.Host {
	var hosts []model.Host
	for _, h := range l.Hosts {
		if !l.Leaving[h.ID] {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// tickMember is the system that ticks the membership and converts its commands.
func (w *World) tickMember() {
	for _, c := range w.Member.Tick(w.Now(), w.takeMemberEvents()) {
		if m, ok := w.peerCommand(c, w.gossip); ok {
			w.Emit(m)
		}
		switch c := c.(type) {
		case member.SendProbe:
			w.probeSentAt.Put(c.ID, w.Now())
		case member.Changed:
			w.applyMemberChanges(c)
		case member.Refuted:
			w.handleRefuted(c)
		}
	}
	if w.Member.Joined() && !w.joined {
		w.joined = true
		w.spreadEvents = append(w.spreadEvents, spread.MembersChanged{Joined: true})
	}
}

func (w *World) applyMemberChanges(c member.Changed) {
	w.applyChanges(c, func(previous, m model.Member) {
		// Most changes are suspicions that are refuted, which change no address.
		w.addressesChanged = w.addressesChanged || entryAddress(previous) != entryAddress(m)
		if c, ok := memberChanged(previous, m, w.Self.ID); ok {
			w.Emit(c)
		}
	})
	w.queueRouteMembers(c.Members, c.Removed)
	w.spreadEvents = append(w.spreadEvents, spread.MembersChanged{
		Members: c.Members, Removed: c.Removed, Joined: w.Member.Joined(),
	})
}

// handleRefuted suspends a host that peers marked as failed or whose process was
// paused, until it has compared its settings with others. A suspicion alone does
// not suspend it, as a few lost messages can cause one.
func (w *World) handleRefuted(c member.Refuted) {
	suspended := c.Paused || c.State == model.MemberFailed
	if suspended {
		reason := "peers held this host as failed; its settings are compared with theirs"
		if c.Paused {
			reason = "the process was paused; its settings are compared with those of others"
		}
		w.spreadEvents = append(w.spreadEvents, spread.Suspended{Reason: reason})
	}
	w.Emit(Refuted{Incarnation: c.Incarnation, Suspended: suspended})
}

// tickSpread is the system that ticks package spread.
func (w *World) tickSpread() {
	inbox := w.spreadEvents
	w.spreadEvents = nil
	for _, c := range w.Spread.Tick(w.Now(), inbox) {
		switch c := c.(type) {
		case spread.Watch:
			w.Emit(Watch{})
		case spread.Unwatch:
			w.Emit(Unwatch{})
		case spread.ReadPlatform:
			w.Emit(ReadPlatform{StartedAt: c.StartedAt})
		case spread.PullFrom:
			w.Emit(PullFrom{Peer: c.Peer, StartedAt: c.StartedAt})
		case spread.PushTo:
			w.Emit(PushTo{Peer: c.Peer, Gossip: w.gossip(nil)})
		case spread.Adopt:
			w.adopt(c)
		case spread.Ready:
			w.ready, w.dirty = c, true
		}
	}
}

// gossip returns the gossip for a message with the given member changes.
func (w *World) gossip(changes []model.Member) Gossip {
	return Gossip{
		Sender: w.Member.Self(), Digest: w.Spread.Digest(w.Now()), Hash: w.Member.Hash(),
		Changes: changes, Quarantine: w.suspects.gossipEntries(w.Now()),
	}
}

// drain is the system that starts a graceful shutdown. Its events result from the
// Leave and Refuse commands of package drain.
func (w *World) drain() {
	tick.Each(w.Inbox(), func(LeaveRequested) { w.leaving, w.dirty = true, true })
	tick.Each(w.Inbox(), func(RefuseRequested) { w.draining, w.dirty = true, true })
}

// updateSelfState is the system that announces this host's own state to peers.
func (w *World) updateSelfState() {
	if w.setSelfState(w.ready.Ready && !w.leaving, w.leaving, w.Now()) {
		w.tickMember()
	}
}

// announce is the system that pushes this host's state and quarantine entries
// to a few peers immediately.
func (w *World) announce() {
	if !w.announceDue(w.Now(), w.WakeAt) {
		return
	}
	for _, h := range w.samplePeers(w.rootSettings.PushFanout, anyMember) {
		w.Emit(PushTo{Peer: h, Gossip: w.gossip(nil)})
	}
}
