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
	"toucanpulley.example/internal/table"
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
	// Self is the host that the daemon runs on.
	Self model.Host
	// Member and Feed are the worlds that it composes. Their fields may be set
	// before the first tick.
	Member *member.World
	Feed   *feed.World
	// Random chooses peers; set before the first tick to replay a run.
	Random *rand.Rand
	// Seed is set if peers find each other through this host. It follows the
	// store before it knows its peers; others wait for theirs for a moment.
	Seed bool

	now   time.Time
	inbox []Event
	out   []Command
	alarm tick.Alarm
	view  relay.View
	dirty bool

	members *table.Table[model.HostID]
	member  *table.Column[model.Member]
	self    member.SelfChanged
	leaving bool
	begun   time.Time
	alone   bool
	place   feed.Placed

	suspects suspects

	rounds       int
	nextAnnounce time.Time

	forMember []member.Event
	forFeed   []feed.Event
	systems   []func()
}

// NewRelay returns a world without beliefs. The incarnation must be higher than
// in the host's earlier lives; the start time in milliseconds is.
func NewRelay(self model.Host, incarnation uint64) *Relay {
	seed := xxhash.Sum64String(string(self.ID))
	w := &Relay{
		Self: self, Member: member.NewWorld(self, incarnation), Feed: feed.NewWorld(),
		Random:  rand.New(rand.NewPCG(incarnation, seed)),
		view:    relay.View{HostCount: unknownHosts, Reason: "no configuration is known yet"},
		members: table.New[model.HostID](), suspects: newSuspects(),
	}
	w.Feed.FailureDomain = self.FailureDomain
	w.Feed.Random = rand.New(rand.NewPCG(seed, incarnation))
	w.member = table.NewColumn[model.Member](w.members)
	w.systems = []func(){w.receive, w.tickMember, w.assign, w.tickFeed, w.changeSelf, w.quarantine, w.announce, w.publish}
	return w
}

// Tick runs every system over the events and returns commands.
func (w *Relay) Tick(now time.Time, inbox []Event) []Command {
	if w.begun.IsZero() {
		w.begun = now
	}
	w.now, w.inbox, w.out = now, inbox, nil
	w.alarm.Reset()
	for _, system := range w.systems {
		system()
	}
	w.alarm.At(w.Member.Next())
	w.alarm.At(w.Feed.Next())
	return w.out
}

// Next returns the time of the next deadline; zero if there is none.
func (w *Relay) Next() time.Time { return w.alarm.Next() }

func (w *Relay) emit(c Command) { w.out = append(w.out, c) }

// receive is the system that hands the events of a tick to the worlds.
func (w *Relay) receive() {
	for _, e := range w.inbox {
		switch e := e.(type) {
		case Probed:
			w.forMember = append(w.forMember, member.Probed{
				ID: e.ID, From: e.Gossip.Sender, Target: e.Target, Hash: e.Gossip.Hash, Changes: e.Gossip.Changes,
			})
			w.hear(e.Gossip)
		case Acked:
			w.forMember = append(w.forMember, member.Acked{
				ID: e.ID, From: e.Gossip.Sender, Reached: e.Reached, Hash: e.Gossip.Hash, Changes: e.Gossip.Changes,
			})
			w.hear(e.Gossip)
		case Pushed:
			w.forMember = append(w.forMember, member.Told{From: e.Gossip.Sender, Changes: e.Gossip.Changes})
			w.hear(e.Gossip)
		case MemberEvent:
			w.forMember = append(w.forMember, e.Event)
		case FeedEvent:
			w.forFeed = append(w.forFeed, e.Event)
		case LeaveRequested:
			w.leaving, w.dirty = true, true
		}
	}
}

func (w *Relay) hear(g Gossip) {
	if g.Sender.Host.ID == w.Self.ID {
		return
	}
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
	inbox := w.forMember
	w.forMember = nil
	for _, c := range w.Member.Tick(w.now, inbox) {
		switch c := c.(type) {
		case member.SendProbe:
			w.emit(SendProbe{ID: c.ID, To: c.To, Target: c.Target, Gossip: w.gossip(c.Changes)})
		case member.AnswerProbe:
			w.emit(AnswerProbe{ID: c.ID, Reached: c.Reached, Gossip: w.gossip(c.Changes)})
		case member.FetchMembers:
			w.emit(FetchMembers{From: c.From, Self: w.Member.Self()})
		case member.AnswerMembers:
			w.emit(AnswerMembers{ID: c.ID, Members: c.Members})
		case member.Changed:
			w.followMembers(c)
		case member.Refuted:
			w.emit(Refuted{Incarnation: c.Incarnation, Suspended: c.Paused})
			if c.Paused {
				w.forFeed = append(w.forFeed, feed.Woke{})
			}
		}
	}
}

func (w *Relay) followMembers(c member.Changed) {
	w.dirty = true
	for _, m := range c.Members {
		id, _ := w.members.Add(m.Host.ID)
		if c, ok := memberChanged(w.member.Get(id), m, w.Self.ID); ok {
			w.emit(c)
		}
		w.member.Set(id, m)
	}
	for _, host := range c.Forgotten {
		if id, ok := w.members.Find(host); ok {
			w.members.Remove(id)
		}
	}
}

// tickFeed is the system that ticks the beliefs.
func (w *Relay) tickFeed() {
	inbox := w.forFeed
	w.forFeed = nil
	for _, c := range w.Feed.Tick(w.now, inbox) {
		switch c := c.(type) {
		case feed.Adopt:
			w.view = w.view.WithConfiguration(c.Catalog.Configuration).WithFleet(c.Catalog.Fleet)
			w.dirty = true
			w.tell()
		case feed.Tell:
			w.tell()
		case feed.Contacts:
			w.forMember = append(w.forMember, member.Listed{Hosts: c.Hosts})
			w.tickMember()
		default:
			w.emit(FeedCommand{Command: c})
		}
	}
}

// gossip returns what a message carries besides changes of members.
func (w *Relay) gossip(changes []model.Member) Gossip {
	d := w.Feed.Digest(w.now)
	age := int64(-1)
	if d.Age != feed.NeverCurrent {
		age = d.Age.Milliseconds()
	}
	return Gossip{
		Sender: w.Member.Self(), Hash: w.Member.Hash(), Changes: changes, Quarantine: w.suspects.entries(w.now),
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
	next := member.SelfChanged{Ready: ready}
	if w.leaving {
		next.State = model.MemberLeaving
	}
	if next == w.self {
		return
	}
	w.self = next
	w.forMember = append(w.forMember, next)
	w.tickMember()
	w.rounds, w.nextAnnounce = announceRounds, w.now
}

// quarantine is the system that keeps the requests that crash searchers, here
// or at peers. Peers are told at once of those found here; probes carry them
// further, because pushes by every host cost 450 messages for each entry in a
// fleet of 76.
func (w *Relay) quarantine() {
	found, told := w.suspects.hear(w.inbox, quarantineTime, w.now)
	if found {
		w.rounds, w.nextAnnounce = announceRounds, w.now
	}
	if w.suspects.expire(w.now, &w.alarm) || found || told {
		known := map[model.Fingerprint]relay.Suspect{}
		for f, s := range w.suspects.all() {
			known[f] = relay.Suspect{Losses: s.losses, At: s.until.Add(-quarantineTime)}
		}
		w.view, w.dirty = w.view.WithSuspects(known), true
	}
}

// announce is the system that pushes what changed to a few peers at once.
func (w *Relay) announce() {
	if w.rounds == 0 {
		return
	}
	if w.now.Before(w.nextAnnounce) {
		w.alarm.At(w.nextAnnounce)
		return
	}
	w.pushTo(func(model.Member) bool { return true })
	w.rounds--
	if w.rounds > 0 {
		w.nextAnnounce = w.now.Add(announceGap + time.Duration(w.Random.Int64N(int64(announceGap))))
		w.alarm.At(w.nextAnnounce)
	}
}

// tell pushes what this host holds to a few peers of its failure domain. Others
// learn it from those that follow the store there, or by probes.
func (w *Relay) tell() {
	w.pushTo(func(m model.Member) bool { return m.Host.FailureDomain == w.Self.FailureDomain })
}

// pushTo pushes what this host holds to a few of the peers that are chosen.
func (w *Relay) pushTo(chosen func(model.Member) bool) {
	for _, h := range somePeers(w.Random, w.members, w.member, relayFanout, func(m model.Member) bool {
		return m.Host.ID != w.Self.ID && chosen(m)
	}) {
		w.emit(PushTo{Peer: h, Gossip: w.gossip(nil)})
	}
}

// somePeers returns a few live members that are chosen, in random order.
func somePeers(random *rand.Rand, members *table.Table[model.HostID], member *table.Column[model.Member],
	most int, chosen func(model.Member) bool,
) []model.Host {
	var list []model.Host
	for id := range members.All() {
		if m := member.Get(id); live(m) && chosen(m) {
			list = append(list, m.Host)
		}
	}
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), most)]
}

// live reports whether a member may answer. A suspect counts, as most suspicions
// come from lost messages.
func live(m model.Member) bool {
	return m.State == model.MemberAlive || m.State == model.MemberSuspect
}

// publish is the system that builds a new view if anything changed.
func (w *Relay) publish() {
	alone := !w.Member.Joined() && !w.now.Before(w.begun.Add(aloneAfter))
	if !w.Member.Joined() && !alone {
		w.alarm.At(w.begun.Add(aloneAfter))
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
	w.emit(PublishRelay{View: w.view})
}
