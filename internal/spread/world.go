package spread

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

const (
	// pushRounds pushes of pushFanout peers each follow a new revision. With
	// 5% of messages lost, three rounds of 3 leave 0.02% of hosts out, one of
	// 6,700; two would leave 22, which the probes need 3 s to reach.
	pushRounds = 3
	// pushInterval is the time between the rounds; as much again is added at random.
	pushInterval = 100 * time.Millisecond
	// minPullTimeout is how long a pull may take before another peer is asked too.
	// After pullTries attempts the time doubles up to pullMost, as a large
	// answer over a slow link must get through. A late answer is still taken.
	// With 5% of messages lost, one pull in 10,000 needs more than 4 attempts.
	minPullTimeout        = 200 * time.Millisecond
	maxPullTimeout        = 2 * time.Second
	attemptsBeforeBackoff = 4
	// pullRetryDelay is the least delay after a failed pull; as much again is added
	// at random.
	pullRetryDelay = 50 * time.Millisecond

	// firstReadJitter is the longest delay of the first read of the platform for a
	// host with no peers to ask, so that hosts started together do not read
	// together; joinGrace is how long a host with addresses of peers waits for
	// them first.
	firstReadJitter = 500 * time.Millisecond
	joinWait        = 500 * time.Millisecond
	// readTimeout bounds a read of the platform, which takes three calls of up
	// to 5 s each while the platform is slow. One that is down fails sooner.
	readTimeout = 15 * time.Second
	// minReadDelay and readMost bound the delay between reads of the platform that
	// fail. 6,700 hosts with the longest delay make 300 reads a second.
	minReadDelay = 200 * time.Millisecond
	maxReadDelay = 30 * time.Second

	// isolationTimeout is the time without any peer after which a host asks the
	// platform whether it is cut off.
	isolationTimeout = 5 * time.Second
	// askInterval is the time between questions to the peers of a failure domain.
	askInterval = time.Second
	// doubleWatchersAfter is the time without a platform call of any host after which
	// twice as many hosts of each failure domain watch, and again twice as many
	// blindStep later. All watchers may be cut off from a platform that others
	// reach. The news of a call takes about 13 s to reach 6,700 hosts. In an
	// outage 8 watchers of 23 domains make at most 740 calls a second.
	doubleWatchersAfter = 15 * time.Second
	doubleWatchersStep  = 5 * time.Second
	// leavingAddDelay and dropAfter are how long the host list may name more or fewer
	// hosts as leaving than the list in force before it is followed although it
	// did not change. Readers see the host list with different lags, so a host
	// must not be dropped because one of them is behind.
	leavingAddDelay  = time.Second
	leavingDropDelay = 30 * time.Second
)

// peer is the cell of another host.
type peer struct {
	member model.Member
	digest Digest
	// seen is when the digest came; zero if none did in this life.
	seen time.Time
	// asked is when it was last asked for its digest, and answered when the
	// last question that it answered was asked.
	asked, answered time.Time
}

// World is the settings of one host.
type World struct {
	tick.Frame[Event, Command]
	// Self is this host.
	Self model.Host
	// Random is the source of jitter; set before the first tick to replay a run.
	Random *rand.Rand

	bundle Bundle
	tree   tree.Tree
	// root holds the effective settings of the root.
	root tree.Settings

	peers *table.Table[model.HostID]
	peer  *table.Column[peer]
	// listed holds the failure domains of hosts that only the host list names.
	listed *table.Table[model.HostID]
	domain *table.Column[model.FailureDomain]

	seeds    int
	joined   bool
	watching bool
	// watchersOutdated is set if members or settings changed since the last choice of
	// watchers, and mayBeBehind if a peer may hold more than this host. They spare
	// walks over all peers.
	watchersOutdated, mayBeBehind bool
	// doublings is how often the number of watchers is doublings.
	doublings int

	// pullPeer is the peer of the pull in flight.
	pullPeer       model.HostID
	pullDue        time.Time
	pullTimeout    time.Duration
	pullFailures   int
	pullRetryAt    time.Time
	pushRoundsLeft int
	nextPush       time.Time

	// platformAt and settingsAt are when the platform last answered.
	platformAt, settingsAt time.Time
	// fleetAt is when the platform last answered any host, as far as known.
	fleetAt time.Time
	peerAt  time.Time
	// firstAnswer is when the platform answered for the first time.
	firstAnswer time.Time
	reading     bool
	// answeredRead is when the last read that was answered began.
	answeredRead time.Time
	readDue      time.Time
	readAt       time.Time
	readDelay    time.Duration
	// readFailed is set once a read has failed since the last check began.
	readFailed bool
	readReason string

	// checking is why this host must compare what it holds with others.
	checking    checkKind
	checkBegan  time.Time
	checkReason string
	lastReady   *Ready

	lastLeavingRead Leaving
	differsSince    time.Time
}

// checkKind tells what a host must do before it serves.
type checkKind uint8

const (
	checkNone checkKind = iota
	// checkStart is a host that holds nothing from before its start.
	checkStart
	// checkAgain is a host that was out of contact and kept what it held.
	checkAgain
)

// NewWorld returns the settings of a host that holds nothing.
func NewWorld(self model.Host) *World {
	w := &World{
		Self: self, Random: rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), rand.Uint64())),
		tree: tree.New(), root: tree.New().Effective(tree.Root), watchersOutdated: true, checking: checkStart, readDelay: minReadDelay, pullTimeout: minPullTimeout,
		peers: table.New[model.HostID](), listed: table.New[model.HostID](),
	}
	w.peer = table.NewColumn[peer](w.peers)
	w.domain = table.NewColumn[model.FailureDomain](w.listed)
	w.Order(
		w.initialize, w.applyMembers, w.applyDigests, w.applyPlatformAnswers, w.adoptBundles, w.applyLoadFailures, w.applyLeavingLists, w.startRechecks,
		w.chooseWatchers, w.checkReadiness, w.readPlatform, w.askPeers, w.pullFromPeer, w.pushToPeers, w.reportReadiness,
	)
	return w
}

// initialize is the system that has beliefs checked from the initialize tick on.
func (w *World) initialize() {
	if w.First() {
		w.checkBegan = w.Now()
	}
}

// Digest returns what this host holds. The ages are those at the given time, as
// a message may be sent before this world ticks.
func (w *World) Digest(now time.Time) Digest {
	return w.digestAt(now, w.lastReady != nil && w.lastReady.Ready)
}

func (w *World) digestAt(now time.Time, ready bool) Digest {
	return Digest{
		Revision: w.bundle.Revision, Indexes: w.bundle.IndexVersion, Leaving: w.bundle.Leaving.Stamp,
		PlatformAge: ageMillis(now, w.platformAt), SettingsAge: ageMillis(now, w.settingsAt), FleetAge: ageMillis(now, w.fleetAt), Ready: ready,
	}
}

// ageMillis returns the ageMillis of a belief in milliseconds; -1 if there is none.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// jitter returns a random time up to d.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(w.Random.Int64N(int64(d)))
}

// isDue reports whether an alarm is due, and names it if not.
func (w *World) isDue(t time.Time) bool {
	if w.Now().Before(t) {
		w.WakeAt(t)
		return false
	}
	return true
}

// contactable reports whether a member may be asked.
func contactable(m model.Member) bool {
	return m.State == model.MemberAlive || m.State == model.MemberSuspect || m.State == model.MemberLeaving
}

// applyMembers is the system that keeps peers and the domains known.
func (w *World) applyMembers() {
	tick.Each(w.Inbox(), func(e MembersChanged) {
		w.mayBeBehind = true
		w.watchersOutdated = w.watchersOutdated || e.Joined && !w.joined
		w.joined = w.joined || e.Joined
		for _, m := range e.Members {
			if m.Host.ID == w.Self.ID {
				continue
			}
			id, _ := w.peers.Add(m.Host.ID)
			p := w.peer.Get(id)
			p.member = m
			w.watchersOutdated = w.watchersOutdated || m.Host.FailureDomain == w.Self.FailureDomain
			w.peer.Set(id, p)
			if l, ok := w.listed.Find(m.Host.ID); ok {
				w.listed.Remove(l)
			}
		}
		for _, host := range e.Forgotten {
			if id, ok := w.peers.Find(host); ok {
				w.peers.Remove(id)
				w.watchersOutdated = true
			}
		}
	})
	tick.Each(w.Inbox(), func(e ContactsKnown) {
		w.seeds = max(w.seeds, e.Seeds)
		for _, h := range e.Hosts {
			if _, member := w.peers.Find(h.ID); !member && h.ID != w.Self.ID && h.ID != "" {
				id, _ := w.listed.Add(h.ID)
				w.domain.Set(id, h.FailureDomain)
			}
		}
	})
}

// applyDigests is the system that keeps the digests of peers.
func (w *World) applyDigests() {
	tick.Each(w.Inbox(), func(e DigestReceived) { w.recordDigest(e.From, e.Digest) })
	tick.Each(w.Inbox(), func(e ObjectsLoaded) {
		if e.From == "" {
			return
		}
		w.recordDigest(e.From, e.Digest)
		if id, ok := w.peers.Find(e.From); ok {
			p := w.peer.Get(id)
			if e.Begun.After(p.answered) {
				p.answered = e.Begun
			}
			w.peer.Set(id, p)
		}
	})
}

func (w *World) recordDigest(from model.HostID, d Digest) {
	w.peerAt = w.Now()
	if at := w.Now().Add(-time.Duration(d.FleetAge) * time.Millisecond); d.FleetAge >= 0 && at.After(w.fleetAt) {
		w.fleetAt = at
	}
	w.mayBeBehind = w.mayBeBehind || d.Exceeds(w.digestAt(w.Now(), false))
	if id, ok := w.peers.Find(from); ok {
		p := w.peer.Get(id)
		p.digest, p.seen = d, w.Now()
		w.peer.Set(id, p)
	}
}
