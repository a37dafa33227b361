package ctrl

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/tick"
)

const (
	// relayFanout is the number of peers that receive the pushes of one round.
	relayFanout = 3
	// assumedHostCount is the number of hosts assumed until a peer has sent its
	// members. A low number would make this host's connection share and retry
	// budget too large.
	assumedHostCount = 64
	// standaloneDelay is the time after which a host that has found no peer assumes
	// that it is the only host.
	standaloneDelay = 5 * time.Second
	// settleDelay is the time without a growth by settledGrowth after which the known
	// hosts count as complete. Members of a fleet that starts arrive within a second.
	settleDelay   = 500 * time.Millisecond
	settledGrowth = 1.1
	// quarantineDuration is the retention time of a request that crashed searchers.
	// Callers retry such a request within seconds, and a crashed searcher restarts
	// within seconds. The setting of package tree also defaults to ten minutes.
	quarantineDuration = 10 * time.Minute
	// watchersPerDomain is the number of hosts of each failure domain that watch
	// the store. In a domain of at most maxHostsAllWatch hosts, all of them do.
	watchersPerDomain = 2
	maxHostsAllWatch  = 3
)

// FeedEvent wraps an event for package feed.
type FeedEvent struct{ Event feed.Event }

// FeedCommand wraps a command of package feed.
type FeedCommand struct{ Command feed.Command }

// PublishRelay makes a view visible to relayed traffic.
type PublishRelay struct{ View relay.View }

func (FeedEvent) event()      {}
func (FeedCommand) command()  {}
func (PublishRelay) command() {}

// Relay is the control state of a daemon that relays requests by routes. It
// composes the worlds of packages member and feed.
type Relay struct {
	tick.Frame[Event, Command]
	membership
	// Feed holds configuration and searchers. Its fields may be set before the
	// first tick.
	Feed *feed.World
	// Seed is set if other hosts join through this host. A seed watches the store
	// before it has joined; other hosts first wait briefly for their peers.
	Seed bool

	view  relay.View
	dirty bool

	leaving bool
	// joined and standalone are those of the view.
	joined     bool
	standalone bool
	role       feed.RoleAssigned
	// settled is set once the number of members has not grown for settleDelay since
	// grewAt, when it was memberCount.
	settled     bool
	memberCount int
	grewAt      time.Time

	suspects suspects

	feedEvents []feed.Event
}

// NewRelay returns a world without configuration and searchers. The incarnation
// must be higher than those of earlier processes on the host, as the start time
// in milliseconds is.
func NewRelay(self model.Host, incarnation uint64) *Relay {
	seed := xxhash.Sum64String(string(self.ID))
	w := &Relay{
		membership: newMembership(self, incarnation), Feed: feed.NewWorld(), suspects: newSuspects(self.ID, incarnation),
		view: relay.View{HostCount: assumedHostCount, Reason: "no configuration is known yet"},
	}
	w.Feed.FailureDomain = self.FailureDomain
	w.Feed.Random = rand.New(rand.NewPCG(seed, incarnation))
	w.SetSystems(w.receive, w.tickMember, w.assignRole, w.tickFeed, w.updateReadiness, w.quarantine, w.announce, w.publish, w.answerStatus, w.scheduleWake)
	return w
}

// scheduleWake is the system that requests the next tick at the earliest deadline
// of the composed worlds.
func (w *Relay) scheduleWake() {
	w.WakeAt(w.Member.Next())
	w.WakeAt(w.Feed.Next())
}

// receive is the system that distributes the events of a tick to the worlds.
func (w *Relay) receive() {
	for _, e := range w.Inbox() {
		if g, ok := w.queueMemberEvent(e); ok {
			w.queueDigest(g)
		}
		switch e := e.(type) {
		case FeedEvent:
			w.feedEvents = append(w.feedEvents, e.Event)
		case LeaveRequested:
			w.leaving, w.dirty = true, true
		}
	}
}

func (w *Relay) queueDigest(g Gossip) {
	d := feed.Digest{Version: g.Digest.Revision, FleetRevision: g.Digest.IndexVersion, FleetHash: g.Digest.LeavingStamp, Age: feed.AgeUnknown}
	if g.Digest.SettingsAge >= 0 {
		d.Age = time.Duration(g.Digest.SettingsAge) * time.Millisecond
	}
	w.feedEvents = append(w.feedEvents, feed.DigestReceived{Peer: g.Sender.Host, Digest: d})
}

// assignRole is the system that decides whether this host watches the store: the
// first watchersPerDomain live hosts of a failure domain, ordered by hash, do.
func (w *Relay) assignRole() {
	role := feed.RoleAssigned{Joined: w.Member.Joined()}
	lowerRanked, domainSize := 0, 0
	self := xxhash.Sum64String(string(w.Self.ID))
	for id := range w.members.All() {
		m := w.member.Get(id)
		if !live(m) || m.Host.FailureDomain != w.Self.FailureDomain {
			continue
		}
		domainSize++
		if xxhash.Sum64String(string(m.Host.ID)) < self {
			lowerRanked++
		}
	}
	role.Followed = domainSize > maxHostsAllWatch
	role.Watch = lowerRanked < watchersPerDomain || !role.Followed
	if !role.Joined || !w.settled && !w.role.Watch {
		// Few members are known yet, so that most hosts would count as first.
		role.Watch = w.Seed
	}
	if role != w.role {
		w.role = role
		w.feedEvents = append(w.feedEvents, role)
	}
}

// tickMember is the system that ticks the membership.
func (w *Relay) tickMember() {
	for _, c := range w.Member.Tick(w.Now(), w.takeMemberEvents()) {
		if m, ok := w.peerCommand(c, w.gossip); ok {
			w.Emit(m)
		}
		switch c := c.(type) {
		case member.Changed:
			w.applyMemberChanges(c)
		case member.Refuted:
			w.Emit(Refuted{Incarnation: c.Incarnation, Suspended: c.Paused})
			if c.Paused {
				w.feedEvents = append(w.feedEvents, feed.Resumed{})
			}
		}
	}
}

func (w *Relay) applyMemberChanges(c member.Changed) {
	w.dirty = true
	w.applyChanges(c, func(previous, m model.Member) {
		if c, ok := memberChanged(previous, m, w.Self.ID); ok {
			w.Emit(c)
		}
	})
}

// tickFeed is the system that ticks package feed.
func (w *Relay) tickFeed() {
	inbox := w.feedEvents
	w.feedEvents = nil
	for _, c := range w.Feed.Tick(w.Now(), inbox) {
		switch c := c.(type) {
		case feed.Adopt:
			w.view = w.view.WithConfiguration(c.Catalog.Configuration).WithFleet(c.Catalog.Fleet)
			w.dirty = true
			w.pushToDomain()
		case feed.PushDigest:
			w.pushToDomain()
		case feed.AddContacts:
			w.memberEvents = append(w.memberEvents, member.HostsListed{Hosts: c.Hosts})
			w.tickMember()
		default:
			w.Emit(FeedCommand{Command: c})
		}
	}
}

// gossip returns the gossip for a message with the given member changes.
func (w *Relay) gossip(changes []model.Member) Gossip {
	d := w.Feed.Digest(w.Now())
	age := int64(-1)
	if d.Age != feed.AgeUnknown {
		age = d.Age.Milliseconds()
	}
	return Gossip{
		Sender: w.Member.Self(), Hash: w.Member.Hash(), Changes: changes, Quarantine: w.suspects.gossipEntries(w.Now()),
		Digest: spread.Digest{
			Revision: d.Version, IndexVersion: d.FleetRevision, LeavingStamp: d.FleetHash,
			PlatformAge: -1, SettingsAge: age, FleetAge: -1, Ready: w.view.Ready,
		},
	}
}

// updateReadiness is the system that decides whether this host accepts callers
// and announces that to its peers.
func (w *Relay) updateReadiness() {
	ready, reason := true, ""
	switch {
	case w.leaving:
		ready, reason = false, "the host is shutting down"
	case !w.view.Configuration.Loaded():
		ready, reason = false, "no configuration is known yet"
	case len(w.view.Fleet.Registrations) == 0:
		ready, reason = false, "no searcher is known yet"
	}
	if ready != w.view.Ready || reason != w.view.Reason || w.leaving != w.view.Leaving {
		w.view, w.dirty = w.view.WithReady(ready, reason).WithLeaving(w.leaving), true
	}
	if w.setSelfState(ready, w.leaving, w.Now()) {
		w.tickMember()
	}
}

// quarantine is the system that tracks requests that crash searchers, on this
// host or at peers. Only the host with the report pushes it; probes distribute
// it further, because pushes by every host would cost 450 messages per entry in a
// fleet of 76.
func (w *Relay) quarantine() {
	reported, learned := w.suspects.update(w.Inbox(), quarantineDuration, w.Now())
	if reported {
		w.startAnnouncing(w.Now())
	}
	if w.suspects.expire(w.Now(), w.WakeAt) || reported || learned {
		entries := map[model.Fingerprint]relay.Suspect{}
		for f, s := range w.suspects.all() {
			entries[f] = relay.Suspect{Losses: s.losses(), At: s.expiresAt().Add(-quarantineDuration)}
		}
		w.view, w.dirty = w.view.WithSuspects(entries), true
	}
}

// announce is the system that pushes changes to a few peers immediately.
func (w *Relay) announce() {
	if w.announceDue(w.Now(), w.WakeAt) {
		w.pushToPeers(anyMember)
	}
}

// pushToDomain pushes gossip to a few peers of this host's failure domain. Other
// domains have their own hosts that watch the store, and also receive probes.
func (w *Relay) pushToDomain() {
	w.pushToPeers(func(m model.Member) bool { return m.Host.FailureDomain == w.Self.FailureDomain })
}

// pushToPeers pushes gossip to up to relayFanout random peers that match.
func (w *Relay) pushToPeers(match func(model.Member) bool) {
	for _, h := range w.samplePeers(relayFanout, match) {
		w.Emit(PushTo{Peer: h, Gossip: w.gossip(nil)})
	}
}

// publish is the system that builds and emits a new view if anything changed.
func (w *Relay) publish() {
	standalone := !w.Member.Joined() && !w.Now().Before(w.StartTime().Add(standaloneDelay))
	if !w.Member.Joined() && !standalone {
		w.WakeAt(w.StartTime().Add(standaloneDelay))
	}
	settled, joined := w.checkSettled(), w.Member.Joined() || standalone
	if !w.dirty && joined == w.joined && standalone == w.standalone && settled == w.settled {
		return
	}
	w.standalone, w.settled, w.joined = standalone, settled, joined
	w.dirty = false
	var serving, known []model.Member
	for id := range w.members.All() {
		m := w.member.Get(id)
		if m.State != model.MemberLeft {
			known = append(known, m)
		}
		if live(m) && m.Ready {
			serving = append(serving, m)
		}
	}
	hostCount := len(known)
	if standalone {
		// The hosts that the store lists may be running, but unreachable for this one.
		hostCount = max(hostCount, w.Member.ContactCount()+1)
	}
	if !joined {
		hostCount = max(hostCount, assumedHostCount)
	}
	if hostCount > len(known) {
		known = nil // all hosts get equal shares
	}
	slices.SortFunc(serving, func(a, b model.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	w.view = w.view.WithHosts(serving, hostCount, joined).WithKnownHosts(known).WithSettled(joined && settled).WithPreferredHosts()
	w.Emit(PublishRelay{View: w.view})
}

// checkSettled reports whether the number of members has stopped growing.
func (w *Relay) checkSettled() bool {
	if n := w.members.Len(); w.grewAt.IsZero() || float64(n) > float64(w.memberCount)*settledGrowth {
		w.memberCount, w.grewAt = n, w.Now()
	}
	at := w.grewAt.Add(settleDelay)
	if w.Now().Before(at) {
		w.WakeAt(at)
		return false
	}
	return true
}
