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
	// A new revision is pushed in pushRounds rounds to pushFanout peers each.
	// With 5% of messages lost, three rounds of 3 miss 0.02% of hosts, one of
	// 6,700. Two rounds would miss 22, which probes take 3 s to reach.
	pushRounds = 3
	// pushInterval is the interval between rounds; jitter of up to the same
	// length is added.
	pushInterval = 100 * time.Millisecond
	// minPullTimeout is how long a pull may take before a pull from another peer
	// starts. After attemptsBeforeBackoff attempts the timeout doubles up to
	// maxPullTimeout, so that a large answer can arrive over a slow link. A
	// late answer is still applied. With 5% of messages lost, one pull in
	// 10,000 needs more than 4 attempts.
	minPullTimeout        = 200 * time.Millisecond
	maxPullTimeout        = 2 * time.Second
	attemptsBeforeBackoff = 4
	// pullRetryDelay is the minimum delay after a failed pull; jitter of up to
	// the same length is added.
	pullRetryDelay = 50 * time.Millisecond

	// firstReadJitter is the maximum delay of the first read of the platform
	// for a host without peers, so that hosts started together do not read
	// together. joinWait is how long a host with peer addresses waits for its
	// peers first.
	firstReadJitter = 500 * time.Millisecond
	joinWait        = 500 * time.Millisecond
	// readTimeout limits a read of the platform, which makes three calls of up
	// to 5 s each while the platform is slow. Calls to a platform that is down
	// fail sooner.
	readTimeout = 15 * time.Second
	// minReadDelay and maxReadDelay limit the delay between failing reads of
	// the platform. At the maximum delay, 6,700 hosts make 300 reads per
	// second.
	minReadDelay = 200 * time.Millisecond
	maxReadDelay = 30 * time.Second

	// isolationTimeout is the time without any peer after which a host reads
	// the platform, to check whether that is unreachable too.
	isolationTimeout = 5 * time.Second
	// queryInterval is the interval between requests to the same peer during a
	// check.
	queryInterval = time.Second
	// doubleWatchersAfter is the time without a successful platform call of any
	// host after which the number of watchers per failure domain doubles; it
	// doubles again doubleWatchersStep later. The platform may be unreachable for
	// all watchers but not for other hosts. The report of a successful call takes
	// about 13 s to reach 6,700 hosts. In an outage, 8 watchers in each of 23
	// domains make at most 740 calls per second.
	doubleWatchersAfter = 15 * time.Second
	doubleWatchersStep  = 5 * time.Second
	// leavingAddDelay and leavingDropDelay are how long an unchanged host list
	// must differ from the list in force before additions or removals are
	// adopted. Readers see the host list with different lags, and one lagging
	// reader must not remove a leaving host from the list.
	leavingAddDelay  = time.Second
	leavingDropDelay = 30 * time.Second
)

// peer is the component of another host.
type peer struct {
	member model.Member
	digest Digest
	// seenAt is when the latest digest arrived; zero if none did since the start
	// of this process.
	seenAt time.Time
	// queriedAt is when the latest pull from the peer started; answeredAt is when the
	// latest pull that the peer answered started.
	queriedAt, answeredAt time.Time
}

// World is the state of settings distribution on one host.
type World struct {
	tick.Frame[Event, Command]
	// Self is this host.
	Self model.Host
	// Random is the source of jitter; set before the first tick to replay a run.
	Random *rand.Rand

	bundle Bundle
	tree   tree.Tree
	// rootSettings holds the effective settings of the root.
	rootSettings tree.Settings

	peers *table.Table[model.HostID]
	peer  *table.Column[peer]
	// listed holds the failure domains of hosts that are in the host list but
	// are not members.
	listed       *table.Table[model.HostID]
	listedDomain *table.Column[model.FailureDomain]

	seedCount int
	joined    bool
	watching  bool
	// watchersOutdated is set if members or settings changed since the last
	// choice of watchers, and mayBeBehind if a peer may have newer objects.
	// They avoid iterating over all peers on every tick.
	watchersOutdated, mayBeBehind bool
	// watcherDoublings is how often the number of watchers is doubled.
	watcherDoublings int

	// pullPeer is the peer of the current pull; empty if there is none.
	pullPeer       model.HostID
	pullDeadline   time.Time
	pullTimeout    time.Duration
	timedOutPulls  int
	pullRetryAt    time.Time
	pushRoundsLeft int
	nextPush       time.Time

	// platformAnsweredAt is when the platform last answered, and settingsReadAt when
	// the latest answered call for the settings started.
	platformAnsweredAt, settingsReadAt time.Time
	// fleetPlatformAnsweredAt is the latest known time at which the platform
	// answered any host.
	fleetPlatformAnsweredAt time.Time
	// lastDigestAt is when the latest digest of any peer arrived.
	lastDigestAt time.Time
	// firstPlatformAnswer is when the platform first answered.
	firstPlatformAnswer time.Time
	reading             bool
	// lastReadStartedAt is when the latest answered read of the platform started.
	lastReadStartedAt time.Time
	readDeadline      time.Time
	nextRead          time.Time
	readDelay         time.Duration
	// readFailed is set once a read has failed since the last check started.
	readFailed bool
	readError  string

	// checking is the kind of check in progress.
	checking       checkKind
	checkStartedAt time.Time
	checkReason    string
	lastReady      *Ready

	lastLeavingRead     LeavingList
	leavingDiffersSince time.Time
}

// checkKind is the kind of check that a host must complete before it serves.
type checkKind uint8

const (
	checkNone checkKind = iota
	// checkStartup is the check of a host that has just started.
	checkStartup
	// checkRecheck is the check of a host that kept its bundle but was isolated,
	// paused or marked as failed.
	checkRecheck
)

// NewWorld returns the world of a host without settings.
func NewWorld(self model.Host) *World {
	w := &World{
		Self: self, Random: rand.New(rand.NewPCG(xxhash.Sum64String(string(self.ID)), rand.Uint64())),
		tree: tree.New(), rootSettings: tree.New().Effective(tree.Root), watchersOutdated: true, checking: checkStartup, readDelay: minReadDelay, pullTimeout: minPullTimeout,
		peers: table.New[model.HostID](), listed: table.New[model.HostID](),
	}
	w.peer = table.NewColumn[peer](w.peers)
	w.listedDomain = table.NewColumn[model.FailureDomain](w.listed)
	w.SetSystems(
		w.initialize, w.applyMembers, w.applyDigests, w.applyPlatformAnswers, w.adoptBundles, w.applyLoadFailures, w.applyLeavingLists, w.startRechecks,
		w.chooseWatchers, w.checkReadiness, w.readPlatform, w.queryPeers, w.pullFromPeer, w.pushToPeers, w.reportReadiness,
	)
	return w
}

// initialize is the system that sets the start of the first check.
func (w *World) initialize() {
	if w.FirstTick() {
		w.checkStartedAt = w.Now()
	}
}

// Digest returns the digest of this host. The ages are relative to the given
// time, as a message may be sent before the next tick.
func (w *World) Digest(now time.Time) Digest {
	return w.digestAt(now, w.lastReady != nil && w.lastReady.Ready)
}

func (w *World) digestAt(now time.Time, ready bool) Digest {
	return Digest{
		Revision: w.bundle.Revision, IndexVersion: w.bundle.IndexVersion, LeavingStamp: w.bundle.Leaving.Stamp,
		PlatformAge: ageMillis(now, w.platformAnsweredAt), SettingsAge: ageMillis(now, w.settingsReadAt), FleetAge: ageMillis(now, w.fleetPlatformAnsweredAt), Ready: ready,
	}
}

// ageMillis returns the time since at in milliseconds; -1 if at is zero.
func ageMillis(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// jitter returns a random duration below d.
func (w *World) jitter(d time.Duration) time.Duration {
	return time.Duration(w.Random.Int64N(int64(d)))
}

// isDue reports whether a time has come, and schedules a tick for it if not.
func (w *World) isDue(t time.Time) bool {
	if w.Now().Before(t) {
		w.WakeAt(t)
		return false
	}
	return true
}

// contactable reports whether requests may be sent to a member.
func contactable(m model.Member) bool {
	return m.State == model.MemberAlive || m.State == model.MemberSuspect || m.State == model.MemberLeaving
}

// applyMembers is the system that updates peers and the failure domains of
// listed hosts.
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
		for _, host := range e.Removed {
			if id, ok := w.peers.Find(host); ok {
				w.peers.Remove(id)
				w.watchersOutdated = true
			}
		}
	})
	tick.Each(w.Inbox(), func(e ContactsKnown) {
		w.seedCount = max(w.seedCount, e.SeedCount)
		for _, h := range e.Hosts {
			if _, member := w.peers.Find(h.ID); !member && h.ID != w.Self.ID && h.ID != "" {
				id, _ := w.listed.Add(h.ID)
				w.listedDomain.Set(id, h.FailureDomain)
			}
		}
	})
}

// applyDigests is the system that records the digests of peers.
func (w *World) applyDigests() {
	tick.Each(w.Inbox(), func(e DigestReceived) { w.recordDigest(e.From, e.Digest) })
	tick.Each(w.Inbox(), func(e ObjectsLoaded) {
		if e.From == "" {
			return
		}
		w.recordDigest(e.From, e.Digest)
		if id, ok := w.peers.Find(e.From); ok {
			p := w.peer.Get(id)
			if e.StartedAt.After(p.answeredAt) {
				p.answeredAt = e.StartedAt
			}
			w.peer.Set(id, p)
		}
	})
}

func (w *World) recordDigest(from model.HostID, d Digest) {
	w.lastDigestAt = w.Now()
	if at := w.Now().Add(-time.Duration(d.FleetAge) * time.Millisecond); d.FleetAge >= 0 && at.After(w.fleetPlatformAnsweredAt) {
		w.fleetPlatformAnsweredAt = at
	}
	w.mayBeBehind = w.mayBeBehind || d.Exceeds(w.digestAt(w.Now(), false))
	if id, ok := w.peers.Find(from); ok {
		p := w.peer.Get(id)
		p.digest, p.seenAt = d, w.Now()
		w.peer.Set(id, p)
	}
}
