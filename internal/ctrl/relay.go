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
	// relayFanout is the number of peers that a change is pushed to in a round.
	relayFanout = 3
	// unknownHosts is the number of hosts assumed while no peer has told its
	// members. Connection shares and retry budgets must not be too large then.
	unknownHosts = 64
	// aloneAfter is when a host that found no peer believes that there is none.
	aloneAfter = 5 * time.Second
	// quarantineTime is how long a request that crashed searchers is remembered.
	// Callers send such a request again within seconds, and a searcher is back
	// some seconds after a crash; the product's own setting is ten minutes as well.
	quarantineTime = 10 * time.Minute
	// watchersPerDomain hosts of each failure domain follow the store by
	// themselves, or all if there are at most allWatch.
	watchersPerDomain = 2
	allWatch          = 3
)

// FeedEvent is an event for package feed.
type FeedEvent struct{ Event feed.Event }

// FeedCommand is a command of package feed.
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
	hosts
	// Feed is the world that it composes besides the membership. Its fields may be
	// set before the first tick.
	Feed *feed.World
	// Seed is set if peers find each other through this host. It follows the
	// store before it knows its peers; others wait for theirs for a moment.
	Seed bool

	view  relay.View
	dirty bool

	leaving bool
	alone   bool
	place   feed.Placed

	suspects suspects

	forFeed []feed.Event
}

// NewRelay returns a world without beliefs. The incarnation must be higher than
// in the host's earlier lives; the start time in milliseconds is.
func NewRelay(self model.Host, incarnation uint64) *Relay {
	seed := xxhash.Sum64String(string(self.ID))
	w := &Relay{
		hosts: newHosts(self, incarnation), Feed: feed.NewWorld(), suspects: newSuspects(),
		view: relay.View{HostCount: unknownHosts, Reason: "no configuration is known yet"},
	}
	w.Feed.FailureDomain = self.FailureDomain
	w.Feed.Random = rand.New(rand.NewPCG(seed, incarnation))
	w.Order(w.receive, w.tickMember, w.assign, w.tickFeed, w.changeSelf, w.quarantine, w.announce, w.publish, w.answer, w.arm)
	return w
}

// arm is the system that names the deadlines of the worlds.
func (w *Relay) arm() {
	w.WakeAt(w.Member.Next())
	w.WakeAt(w.Feed.Next())
}

// receive is the system that hands the events of a tick to the worlds.
func (w *Relay) receive() {
	for _, e := range w.Inbox() {
		if g, ok := w.take(e); ok {
			w.hear(g)
		}
		switch e := e.(type) {
		case FeedEvent:
			w.forFeed = append(w.forFeed, e.Event)
		case LeaveRequested:
			w.leaving, w.dirty = true, true
		}
	}
}

func (w *Relay) hear(g Gossip) {
	d := feed.Digest{Version: g.Digest.Revision, Fleet: g.Digest.Indexes, Hash: g.Digest.Leaving, Age: feed.NeverCurrent}
	if g.Digest.SettingsAge >= 0 {
		d.Age = time.Duration(g.Digest.SettingsAge) * time.Millisecond
	}
	w.forFeed = append(w.forFeed, feed.PeerSeen{Peer: g.Sender.Host, Digest: d})
}

// assign is the system that decides whether this host follows the store by
// itself: the first few of its failure domain do, in an order by hash.
func (w *Relay) assign() {
	place := feed.Placed{Joined: w.Member.Joined()}
	ahead, domain := 0, 0
	self := xxhash.Sum64String(string(w.Self.ID))
	for id := range w.members.All() {
		m := w.member.Get(id)
		if !live(m) || m.Host.FailureDomain != w.Self.FailureDomain {
			continue
		}
		domain++
		if xxhash.Sum64String(string(m.Host.ID)) < self {
			ahead++
		}
	}
	place.Watch = ahead < watchersPerDomain || domain <= allWatch
	if !place.Joined {
		place.Watch = w.Seed
	}
	if place != w.place {
		w.place = place
		w.forFeed = append(w.forFeed, place)
	}
}

// tickMember is the system that ticks the membership.
func (w *Relay) tickMember() {
	for _, c := range w.Member.Tick(w.Now(), w.taken()) {
		if m, ok := w.message(c, w.gossip); ok {
			w.Emit(m)
		}
		switch c := c.(type) {
		case member.Changed:
			w.followMembers(c)
		case member.Refuted:
			w.Emit(Refuted{Incarnation: c.Incarnation, Suspended: c.Paused})
			if c.Paused {
				w.forFeed = append(w.forFeed, feed.Woke{})
			}
		}
	}
}

func (w *Relay) followMembers(c member.Changed) {
	w.dirty = true
	w.follow(c, func(former, m model.Member) {
		if c, ok := memberChanged(former, m, w.Self.ID); ok {
			w.Emit(c)
		}
	})
}

// tickFeed is the system that ticks the beliefs.
func (w *Relay) tickFeed() {
	inbox := w.forFeed
	w.forFeed = nil
	for _, c := range w.Feed.Tick(w.Now(), inbox) {
		switch c := c.(type) {
		case feed.Adopt:
			w.view = w.view.WithConfiguration(c.Catalog.Configuration).WithFleet(c.Catalog.Fleet)
			w.dirty = true
			w.tell()
		case feed.Tell:
			w.tell()
		case feed.Contacts:
			w.forMember = append(w.forMember, member.HostsListed{Hosts: c.Hosts})
			w.tickMember()
		default:
			w.Emit(FeedCommand{Command: c})
		}
	}
}

// gossip returns what a message carries besides changes of members.
func (w *Relay) gossip(changes []model.Member) Gossip {
	d := w.Feed.Digest(w.Now())
	age := int64(-1)
	if d.Age != feed.NeverCurrent {
		age = d.Age.Milliseconds()
	}
	return Gossip{
		Sender: w.Member.Self(), Hash: w.Member.Hash(), Changes: changes, Quarantine: w.suspects.entries(w.Now()),
		Digest: spread.Digest{
			Revision: d.Version, Indexes: d.Fleet, Leaving: d.Hash,
			PlatformAge: -1, SettingsAge: age, FleetAge: -1, Ready: w.view.Ready,
		},
	}
}

// changeSelf is the system that decides whether this host takes callers and
// tells its peers.
func (w *Relay) changeSelf() {
	ready, reason := true, ""
	switch {
	case w.leaving:
		ready, reason = false, "the host is shutting down"
	case !w.view.Configuration.Known():
		ready, reason = false, "no configuration is known yet"
	case len(w.view.Fleet.Registrations) == 0:
		ready, reason = false, "no searcher is known yet"
	}
	if ready != w.view.Ready || reason != w.view.Reason || w.leaving != w.view.Leaving {
		w.view, w.dirty = w.view.WithReady(ready, reason).WithLeaving(w.leaving), true
	}
	if w.hosts.changeSelf(ready, w.leaving, w.Now()) {
		w.tickMember()
	}
}

// quarantine is the system that keeps the requests that crash searchers, here
// or at peers. Peers are told at once of those found here; probes carry them
// further, because pushes by every host cost 450 messages for each entry in a
// fleet of 76.
func (w *Relay) quarantine() {
	found, told := w.suspects.hear(w.Inbox(), quarantineTime, w.Now())
	if found {
		w.announceFrom(w.Now())
	}
	if w.suspects.expire(w.Now(), w.WakeAt) || found || told {
		known := map[model.Fingerprint]relay.Suspect{}
		for f, s := range w.suspects.all() {
			known[f] = relay.Suspect{Losses: s.losses, At: s.until.Add(-quarantineTime)}
		}
		w.view, w.dirty = w.view.WithSuspects(known), true
	}
}

// announce is the system that pushes what changed to a few peers at once.
func (w *Relay) announce() {
	if w.announcing(w.Now(), w.WakeAt) {
		w.pushTo(anyMember)
	}
}

// tell pushes what this host holds to a few peers of its failure domain. Others
// learn it from those that follow the store there, or by probes.
func (w *Relay) tell() {
	w.pushTo(func(m model.Member) bool { return m.Host.FailureDomain == w.Self.FailureDomain })
}

// pushTo pushes what this host holds to a few of the peers that are chosen.
func (w *Relay) pushTo(chosen func(model.Member) bool) {
	for _, h := range w.some(relayFanout, chosen) {
		w.Emit(PushTo{Peer: h, Gossip: w.gossip(nil)})
	}
}

// publish is the system that builds a new view if anything changed.
func (w *Relay) publish() {
	alone := !w.Member.Joined() && !w.Now().Before(w.Begun().Add(aloneAfter))
	if !w.Member.Joined() && !alone {
		w.WakeAt(w.Begun().Add(aloneAfter))
	}
	if !w.dirty && alone == w.alone {
		return
	}
	w.alone = alone
	w.dirty = false
	var serving []model.Member
	known := 0
	for id := range w.members.All() {
		m := w.member.Get(id)
		if m.State != model.MemberLeft {
			known++
		}
		if live(m) && m.Ready {
			serving = append(serving, m)
		}
	}
	joined := w.Member.Joined() || alone
	if !joined {
		known = max(known, unknownHosts)
	}
	slices.SortFunc(serving, func(a, b model.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	w.view = w.view.WithHosts(serving, known, joined).WithCarriers()
	w.Emit(PublishRelay{View: w.view})
}
