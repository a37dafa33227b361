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
	// minBackoff and mostBackoff bound the pause after a failed call, which
	// doubles with each failure. The store has rates, and a machine that can
	// reach it again must have the configuration within 3 s.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// watchDelay is the pause before searchers are watched again after a change.
	// Changes come in groups, and each call to the store has a price.
	watchDelay = 300 * time.Millisecond
	// hostListRetryDelay is the pause before the list of entry hosts is read again while
	// no peer is known.
	hostListRetryDelay = 3 * time.Second
	// minOutage is how long the store must have been away for entries to have
	// lapsed meanwhile.
	minOutage = 300 * time.Millisecond
	// registrationGrace is how long after an outage a missing entry may come back.
	// Searchers that live are back within about 2 s.
	registrationGrace = 2300 * time.Millisecond
	// initialReadDelay is how long a fresh host that does not follow the store waits for
	// its peers' beliefs before it asks the store, hostsDelay how long a host
	// without peers waits before it reads the list of hosts.
	initialReadDelay = 700 * time.Millisecond
	hostListDelay    = 1500 * time.Millisecond
	// maxFollowerAge is the age of beliefs from which a host that does not follow the
	// store asks it. Changes must be in force within 5 s where there are hosts
	// that do not follow it; reading takes some 10 ms, a slow store 240 ms.
	maxFollowerAge = 3 * time.Second
	// digestPushInterval is the time between pushes of a host that follows the store; with
	// three peers each, most hosts hear one of six such hosts every two seconds.
	digestPushInterval = 500 * time.Millisecond
	// localPullDelay is the pause before a host that does not follow the store pulls
	// from a peer of its failure domain, in which several digests gather. Bytes
	// between domains are paid for, so others are asked after pullLate, within
	// which news comes from nearby or by the host's own watch, or after pullFar
	// if this host knows nothing yet.
	localPullDelay    = 20 * time.Millisecond
	remotePullDelay   = 300 * time.Millisecond
	fallbackPullDelay = time.Second
)

// topic is the cell of a topic: how far it is known and what call is out.
type topic struct {
	known bool
	asOf  uint64
	// inFlight is set while a call is out; turn numbers the calls, so that a call
	// that is given up is not taken for its successor.
	inFlight bool
	callID   uint64
	failures int
	// nextCallAt is when the nextCallAt call may begin.
	nextCallAt time.Time
}

func (t topic) withCall() topic {
	t.inFlight = true
	t.callID++
	return t
}

func (t topic) withResult(asOf uint64, next time.Time) topic {
	t.inFlight, t.known, t.failures, t.nextCallAt = false, true, 0, next
	t.asOf = max(t.asOf, asOf)
	return t
}

func (t topic) withFailure(next time.Time) topic {
	t.inFlight, t.nextCallAt = false, next
	t.failures++
	return t
}

// withReset returns the topic to be read in full. A call that is out is
// given up.
func (t topic) withReset(now time.Time) topic {
	t.inFlight, t.known, t.asOf, t.nextCallAt = false, false, 0, now
	return t
}

// entry is the cell of a searcher's entry.
type entry struct {
	registration model.Registration
	// expiresAt is when an entry that is missing counts as gone; zero if it is there.
	expiresAt time.Time
}

// hash stands for the entry in the sum over all searchers; zero if it is missing.
func (e entry) hash() uint64 {
	if !e.expiresAt.IsZero() || e.registration.Searcher.ID == "" {
		return 0
	}
	var number [8]byte
	r, d := e.registration, xxhash.New()
	_, _ = d.WriteString(string(r.Searcher.ID)) // never fails
	binary.LittleEndian.PutUint64(number[:], uint64(r.Born))
	_, _ = d.Write(number[:])
	if r.Searcher.Leaving {
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

// World is what one host believes.
type World struct {
	tick.Frame[Event, Command]
	// Random spreads calls to the store; set before the first tick to replay a run.
	Random *rand.Rand
	// FailureDomain is that of this host; set before the first tick.
	FailureDomain model.FailureDomain

	topics *table.Table[Topic]
	topic  *table.Column[topic]

	configuration model.Configuration
	entries       *table.Table[model.SearcherID]
	entry         *table.Column[entry]
	// fleetRevision is the revision of the newest change of a searcher, sum stands for all
	// entries that are there, in any order.
	fleetRevision uint64
	fleetHash     uint64
	// removed holds the latest removals, complete from the revision logged on.
	removed      []model.Removal
	removedSince uint64
	// dirty is set if beliefs changed in this tick.
	dirty bool

	// storeDown is set while the store does not answer, since awaySince; backAt is
	// when it last came back after an outage.
	storeDown      bool
	storeDownSince time.Time
	recoveredAt    time.Time

	// role tells whether this host follows the store.
	role RoleAssigned
	// currentAt is when all beliefs were certainly current; zero if they never were.
	currentAt  time.Time
	nextPushAt time.Time
	// announced is set once this host was made known.
	announced bool

	// peersAhead holds peers that know more, pullAt is when one is asked.
	peersAhead *table.Table[model.HostID]
	peerAhead  *table.Column[PeerSeen]
	pullAt     time.Time
	pulling    bool
}

// NewWorld returns a world without beliefs.
func NewWorld() *World {
	w := &World{
		Random: rand.New(rand.NewPCG(1, 2)),
		topics: table.New[Topic](), entries: table.New[model.SearcherID](), peersAhead: table.New[model.HostID](),
	}
	w.topic = table.NewColumn[topic](w.topics)
	w.entry = table.NewColumn[entry](w.entries)
	w.peerAhead = table.NewColumn[PeerSeen](w.peersAhead)
	for _, t := range []Topic{Configuration, Searchers, Hosts} {
		w.topics.Add(t)
	}
	w.Order(w.assignRole, w.receive, w.receiveDigests, w.applyPulled, w.expireEntries, w.startCalls, w.pull, w.adopt, w.pushDigest)
	return w
}

// Digest returns a summary of what is believed.
func (w *World) Digest(now time.Time) Digest {
	d := Digest{Version: w.configuration.Version, Fleet: w.fleetRevision, Hash: w.fleetHash, Age: AgeUnknown}
	if !w.currentAt.IsZero() {
		d.Age = max(now.Sub(w.currentAt), 0)
	}
	return d
}

// StoreUnavailable reports whether the store does not answer.
func (w *World) StoreUnavailable() bool { return w.storeDown }

func (w *World) logInfo(text string, facts ...any) { w.Emit(LogLine{Message: text, Fields: facts}) }

func (w *World) logWarning(text string, facts ...any) {
	w.Emit(LogLine{Message: text, Warn: true, Fields: facts})
}

// assignRole is the system that takes whether this host follows the store.
func (w *World) assignRole() {
	tick.Each(w.Inbox(), func(e RoleAssigned) {
		if e.Watch != w.role.Watch {
			w.logInfo("place changed", "followsStore", e.Watch, "joined", e.Joined)
		}
		w.role = e
	})
	if w.role.Watch && !w.announced {
		w.announced = true
		w.Emit(Announce{})
	}
}

// startCalls is the system that reads and watches topics, one call each at a time.
func (w *World) startCalls() {
	w.updateCurrentAt()
	for id := range w.topics.All() {
		name, t := w.topics.Key(id), w.topic.Get(id)
		switch {
		case t.inFlight || !w.callWanted(name, t):
		case w.Now().Before(t.nextCallAt):
			w.WakeAt(t.nextCallAt)
		case !t.known:
			t = t.withCall()
			w.topic.Set(id, t)
			w.Emit(Read{Topic: name, CallID: t.callID})
		default:
			t = t.withCall()
			w.topic.Set(id, t)
			w.Emit(Watch{Topic: name, CallID: t.callID, After: t.asOf})
		}
	}
}

// callWanted reports whether the store is to be asked for a topic. Where peers follow
// the store, this host asks only while it has heard of none for too long.
func (w *World) callWanted(name Topic, t topic) bool {
	due := w.Begun().Add(initialReadDelay)
	switch {
	case name == Hosts && (t.known || w.role.Joined):
		return false
	case name == Hosts:
		due = w.Begun().Add(hostListDelay)
	case w.role.Watch:
		return true
	case !w.currentAt.IsZero():
		due = w.currentAt.Add(maxFollowerAge)
	}
	if w.Now().Before(due) {
		w.WakeAt(due)
		return false
	}
	return true
}

// updateCurrentAt notes that all beliefs are current if both topics are watched now. A
// watch that hears of no change any more ends by its timeout.
func (w *World) updateCurrentAt() {
	for _, t := range []Topic{Configuration, Searchers} {
		if _, cell := w.row(t); !cell.known || cell.failures > 0 {
			return
		}
	}
	if w.role.Watch && !w.storeDown {
		w.currentAt = w.Now()
	}
}

// pushDigest is the system that keeps peers informed that beliefs are current.
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

// backoff returns when a topic with failures is asked for again.
func (w *World) backoff(failures int) time.Time {
	pause := min(minBackoff<<min(failures, 10), maxBackoff)
	return w.Now().Add(pause/2 + time.Duration(w.Random.Int64N(int64(pause))))
}
