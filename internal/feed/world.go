package feed

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call, which doubles
	// with each failure. The store limits call rates, and a host that can reach it
	// again must have the configuration within 3 s.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// watchDelay is the delay before searchers are watched again after a change.
	// Changes arrive in bursts, and each store call is billed.
	watchDelay = 300 * time.Millisecond
	// hostListRetryDelay is the delay before the list of entry hosts is read again
	// while no peer is known. hostListInterval is the interval at which the hosts that
	// watch the store read it, so that groups of hosts that do not know each other
	// meet; their number grows with the failure domains only.
	hostListRetryDelay = 3 * time.Second
	hostListInterval   = 30 * time.Second
	// announceSpread is the time over which hosts without peers announce themselves,
	// and announceRetryDelay the delay after a failed announcement. All hosts of a
	// fleet may start at once.
	announceSpread     = time.Second
	announceRetryDelay = 2 * time.Second
	// minOutage is the duration of a store outage from which searcher entries may
	// have expired.
	minOutage = 300 * time.Millisecond
	// registrationGrace is how long after an outage missing entries are kept. Live
	// searchers register again within about 2 s.
	registrationGrace = 2300 * time.Millisecond
	// initialReadDelay is how long a new host that does not watch the store waits
	// for data from its peers before it reads the store. hostListDelay is how long
	// a host without peers waits before it reads the list of entry hosts.
	initialReadDelay = 700 * time.Millisecond
	hostListDelay    = 1500 * time.Millisecond
	// DefaultChangeBound is the default of World.ChangeBound.
	DefaultChangeBound = 5 * time.Second
	// maxAgeShare is the data age at which a host that does not watch the store reads
	// it, as a share of the bound. The rest is for a read that is lost and repeated.
	maxAgeShare = 0.5
	// followedWatchShare is how long a watch waits whose host others rely on, as a share
	// of the bound. Their data is as old as its last answer, and must reach them before
	// maxAgeShare.
	followedWatchShare = 0.2
	// watchWait is how long a watch waits whose host no other relies on. With a longer
	// one, a watch on a dead connection could outlast the 4 s after which a host counts
	// as stable again.
	watchWait = 3 * time.Second
	// digestPushInterval is the push interval of a host that watches the store.
	// With three peers per push and six such hosts, most hosts receive a push
	// every two seconds.
	digestPushInterval = 500 * time.Millisecond
	// localPullDelay is the delay before a host that does not watch the store pulls
	// from a peer of its failure domain; several digests can arrive meanwhile.
	// Traffic between domains is billed, so a host pulls from a peer of another
	// domain only after remotePullDelay if it has no configuration, else after
	// fallbackPullDelay, within which its own watch or a local peer usually
	// delivers the data.
	localPullDelay    = 20 * time.Millisecond
	remotePullDelay   = 300 * time.Millisecond
	fallbackPullDelay = time.Second
)

// topic is the component of a topic: the revision read and the call in flight.
type topic struct {
	known bool
	asOf  uint64
	// inFlight is set while a call is in flight. callID numbers the calls, so that
	// the result of an abandoned call is not taken for that of its successor.
	inFlight bool
	callID   uint64
	failures int
	// nextCallAt is the earliest start of the next call.
	nextCallAt time.Time
	// startedAt is the start of the latest call. currentAt is when the store last showed
	// that the data was current; zero if never.
	startedAt time.Time
	currentAt time.Time
}

func (t topic) withCall(now time.Time) topic {
	t.inFlight, t.startedAt = true, now
	t.callID++
	return t
}

// withResult returns the topic after an answer. A read shows the data as of its start; a
// watch, which is held open until there is a change, as of its end.
func (t topic) withResult(asOf uint64, now, next time.Time) topic {
	t.currentAt = now
	if !t.known {
		t.currentAt = t.startedAt
	}
	t.inFlight, t.known, t.failures, t.nextCallAt = false, true, 0, next
	t.asOf = max(t.asOf, asOf)
	return t
}

func (t topic) withFailure(next time.Time) topic {
	t.inFlight, t.nextCallAt = false, next
	t.failures++
	return t
}

// withReset returns the topic marked for a full read. A call in flight is
// abandoned.
func (t topic) withReset(now time.Time) topic {
	t.inFlight, t.known, t.asOf, t.nextCallAt = false, false, 0, now
	return t
}

// entry is the component of a searcher.
type entry struct {
	registration model.Registration
	// expiresAt is when an entry missing from the store is removed; zero if the
	// entry is present.
	expiresAt time.Time
}

// hash returns the entry's contribution to the fleet hash; zero if the store does
// not hold the entry.
func (e entry) hash() uint64 {
	if !e.expiresAt.IsZero() || e.registration.Searcher.ID == "" {
		return 0
	}
	var buf [8]byte
	r, d := e.registration, xxhash.New()
	_, _ = d.WriteString(string(r.Searcher.ID)) // never fails
	binary.LittleEndian.PutUint64(buf[:], uint64(r.StartMillis))
	_, _ = d.Write(buf[:])
	if r.Searcher.Leaving {
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

// World holds the configuration and searchers known to one host.
type World struct {
	tick.Frame[Event, Command]
	// Random adds jitter to store calls; set before the first tick to replay a run.
	Random *rand.Rand
	// FailureDomain is that of this host; set before the first tick.
	FailureDomain model.FailureDomain
	// ChangeBound is the time within which a change that the store has confirmed must be
	// in force on a host that can reach the store. It defaults to DefaultChangeBound; set
	// before the first tick.
	ChangeBound time.Duration

	topics *table.Table[Topic]
	topic  *table.Column[topic]

	configuration model.Configuration
	entries       *table.Table[model.SearcherID]
	entry         *table.Column[entry]
	// fleetRevision is the revision of the latest searcher change, which this host
	// learned at revisedAt. fleetHash is the sum of the hashes of all present entries,
	// independent of their order.
	fleetRevision uint64
	revisedAt     time.Time
	fleetHash     uint64
	// removed is the log of removals, complete after revision removedSince.
	removed      []model.Removal
	removedSince uint64
	// dirty is set if the catalog changed in this tick.
	dirty bool

	// storeDown is set while store calls fail, since storeDownSince; the last one
	// failed at storeFailedAt. recoveredAt is the end of the latest outage.
	storeDown      bool
	storeDownSince time.Time
	storeFailedAt  time.Time
	recoveredAt    time.Time

	// role holds whether this host watches the store.
	role RoleAssigned
	// currentAt is when all data was last known to be current; zero if never.
	currentAt  time.Time
	nextPushAt time.Time
	// announced is set once this host is in the store's list of entry hosts, announcing
	// while a call for it is in flight. announceAt is the earliest time of the next.
	announced, announcing bool
	announceAt            time.Time

	// peersAhead holds peers with newer data; pullAt is when to pull from one.
	peersAhead *table.Table[model.HostID]
	peerAhead  *table.Column[DigestReceived]
	pullAt     time.Time
	pulling    bool
}

// NewWorld returns an empty world.
func NewWorld() *World {
	w := &World{
		Random: rand.New(rand.NewPCG(1, 2)), ChangeBound: DefaultChangeBound,
		topics: table.New[Topic](), entries: table.New[model.SearcherID](), peersAhead: table.New[model.HostID](),
	}
	w.topic = table.NewColumn[topic](w.topics)
	w.entry = table.NewColumn[entry](w.entries)
	w.peerAhead = table.NewColumn[DigestReceived](w.peersAhead)
	for _, t := range []Topic{Configuration, Searchers, Hosts} {
		w.topics.Add(t)
	}
	w.SetSystems(w.assignRole, w.receive, w.announce, w.receiveDigests, w.applyPulled, w.expireEntries, w.startCalls, w.pull, w.adopt, w.pushDigest)
	return w
}

// Digest returns a summary of the data that this host holds.
func (w *World) Digest(now time.Time) Digest {
	d := Digest{Version: w.configuration.Version, FleetRevision: w.fleetRevision, FleetHash: w.fleetHash, Age: AgeUnknown}
	if !w.currentAt.IsZero() {
		d.Age = max(now.Sub(w.currentAt), 0)
	}
	return d
}

// ageMillis returns the age of the data for log lines, or -1 if it is unknown.
func (w *World) ageMillis() int64 {
	if w.currentAt.IsZero() {
		return -1
	}
	return w.Now().Sub(w.currentAt).Milliseconds()
}

// StoreUnavailable reports whether calls to the store fail.
func (w *World) StoreUnavailable() bool { return w.storeDown }

func (w *World) logInfo(message string, fields ...any) {
	w.Emit(LogLine{Message: message, Fields: fields})
}

func (w *World) logWarning(message string, fields ...any) {
	w.Emit(LogLine{Message: message, Warn: true, Fields: fields})
}

// assignRole is the system that applies role assignments.
func (w *World) assignRole() {
	tick.Each(w.Inbox(), func(e RoleAssigned) {
		if e.Watch != w.role.Watch {
			w.logInfo("role changed", "followsStore", e.Watch, "joined", e.Joined)
		}
		w.role = e
	})
}

// announce is the system that adds this host to the store's list of entry hosts, if
// others may need it as their first peer: it watches the store, or it has found no peer
// through its seeds and the list, as all hosts of a fleet whose seeds are stale.
func (w *World) announce() {
	tick.Each(w.Inbox(), func(e AnnounceDone) {
		w.announcing, w.announced = false, !e.Failed
		w.announceAt = w.Now().Add(announceRetryDelay/2 + time.Duration(w.Random.Int64N(int64(announceRetryDelay))))
	})
	_, hosts := w.topicRow(Hosts)
	needed := w.role.Watch || !w.role.Joined && hosts.known
	switch {
	case w.announced || w.announcing || !needed:
	case w.Now().Before(w.announceAt):
		w.WakeAt(w.announceAt)
	default:
		w.announcing = true
		w.Emit(Announce{})
	}
}

// startCalls is the system that reads and watches topics, with at most one call
// in flight per topic.
func (w *World) startCalls() {
	w.updateCurrentAt()
	for id := range w.topics.All() {
		name, t := w.topics.Key(id), w.topic.Get(id)
		switch {
		case t.inFlight || !w.shouldCall(name):
		case w.Now().Before(t.nextCallAt):
			w.WakeAt(t.nextCallAt)
		case !t.known || name == Hosts:
			if t.failures == 0 && !w.role.Watch && name != Hosts && !w.currentAt.IsZero() {
				w.logInfo("no peer has current data; reading the platform", "topic", name.String(), "ageMs", w.ageMillis())
			}
			t = t.withCall(w.Now())
			w.topic.Set(id, t)
			w.Emit(Read{Topic: name, CallID: t.callID, StaleAllowed: name == Hosts && w.role.Joined})
		default:
			t = t.withCall(w.Now())
			w.topic.Set(id, t)
			w.Emit(Watch{Topic: name, CallID: t.callID, After: t.asOf, Wait: w.watchWait()})
		}
	}
}

// shouldCall reports whether to call the store for a topic. If peers watch the
// store, this host calls it only when its data has reached maxAge.
func (w *World) shouldCall(name Topic) bool {
	due := w.StartTime().Add(initialReadDelay)
	switch {
	case name == Hosts && w.role.Joined:
		if !w.role.Watch {
			return false
		}
		due = w.StartTime().Add(hostListInterval)
	case name == Hosts:
		due = w.StartTime().Add(hostListDelay)
	case w.role.Watch:
		return true
	case !w.currentAt.IsZero():
		due = w.currentAt.Add(w.maxAge())
	}
	if w.Now().Before(due) {
		w.WakeAt(due)
		return false
	}
	return true
}

// maxAge returns the data age at which a host that does not watch the store reads it.
func (w *World) maxAge() time.Duration {
	return time.Duration(float64(w.ChangeBound) * maxAgeShare)
}

// watchWait returns how long a watch waits for changes.
func (w *World) watchWait() time.Duration {
	if !w.role.Followed {
		return watchWait
	}
	return time.Duration(float64(w.ChangeBound) * followedWatchShare)
}

// updateCurrentAt derives the age of the data from the last answers of the store to both
// topics. A watch that is under way proves nothing: its path may have fallen silent.
func (w *World) updateCurrentAt() {
	_, configuration := w.topicRow(Configuration)
	_, searchers := w.topicRow(Searchers)
	if !configuration.known || !searchers.known {
		return
	}
	at := configuration.currentAt
	if searchers.currentAt.Before(at) {
		at = searchers.currentAt
	}
	if at.After(w.currentAt) {
		w.currentAt = at
	}
}

// pushDigest is the system that tells peers at intervals that the data of this
// host is current.
func (w *World) pushDigest() {
	if !w.role.Watch {
		return
	}
	if !w.Now().Before(w.nextPushAt) {
		w.nextPushAt = w.Now().Add(digestPushInterval)
		w.Emit(PushDigest{})
	}
	w.WakeAt(w.nextPushAt)
}

// backoff returns the time of the next call after some failures, with jitter.
func (w *World) backoff(failures int) time.Time {
	delay := min(minBackoff<<min(failures, 10), maxBackoff)
	return w.Now().Add(delay/2 + time.Duration(w.Random.Int64N(int64(delay))))
}
