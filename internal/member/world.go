package member

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// DefaultProbeInterval is the interval between the probes that a host sends.
	DefaultProbeInterval = time.Second
	// DefaultProbeTimeout is the timeout of a direct probe; an indirect probe
	// has twice as long.
	DefaultProbeTimeout = 300 * time.Millisecond
	// DefaultSuspicionTimeout is how long a suspect may refute before it is marked as
	// failed.
	DefaultSuspicionTimeout = 5 * time.Second
	// DefaultRetention is how long a failed member is kept and probed. It outlasts
	// partitions between regions, which take minutes.
	DefaultRetention = time.Hour

	// indirectProbeCount is the number of members that probe a member which did not
	// answer a direct probe.
	indirectProbeCount = 3
	// maxChanges is the maximum number of changes in a message.
	maxChanges = 8
	// retransmitFactor times log2 of the number of members is the number of
	// messages that carry a change.
	retransmitFactor = 2
	// equalRowsWeight is the number of messages for which a peer with the same rows
	// counts.
	equalRowsWeight = 4
	// maxChangeAge is how long a change may stay in the queue. A change reaches
	// 6,700 hosts in about 15 probe intervals; a longer queue only costs processor
	// time.
	maxChangeAge = 30 * time.Second
	// contactInterval is the interval between probes of a failed member or of a
	// contact that never answered. The two sides of a healed partition must
	// exchange settings within 3 s.
	contactInterval = 2 * time.Second
	// pauseThreshold is how late a tick must be to count as a pause of the
	// process.
	pauseThreshold = 2 * time.Second
	// sweepInterval is the interval between searches for rows to remove.
	sweepInterval = 30 * time.Second
)

// row is the component of a member.
type row struct {
	member model.Member
	// updatedAt is when the row was last replaced.
	updatedAt time.Time
}

// probe is the component of a probe in flight.
type probe struct {
	target model.Host
	// peerProbeID is the ID of the peer's request for this indirect probe; zero
	// for a probe of this host.
	peerProbeID uint64
	// directProbe is the row of the failed direct probe that this probe, requested
	// from another member, verifies; zero for other probes.
	directProbe table.ID
	// bestEffort is set if a failure of the probe does not change the state of
	// its target: for a probe on behalf of a peer, and of a failed or unknown
	// host.
	bestEffort bool
	deadline   time.Time
	// indirectProbesSent is set once indirect probes of the target were requested.
	indirectProbesSent bool
}

// World is the membership of one host.
type World struct {
	tick.Frame[Event, Command]
	// Random selects members. Set it before the first tick to replay a run.
	Random *rand.Rand
	// Seeds are peer addresses for first contact.
	Seeds []model.Address
	// ProbeInterval, ProbeTimeout, SuspicionTimeout and Retention default to the
	// constants of package member.
	ProbeInterval, ProbeTimeout, SuspicionTimeout, Retention time.Duration

	self             model.Member
	startIncarnation uint64
	joined           bool
	hash             uint64

	members *table.Table[model.HostID]
	row     *table.Column[row]
	// suspects holds the deadline of each suspect, so that no system iterates
	// over all members on every tick.
	suspects *table.Table[model.HostID]
	deadline *table.Column[time.Time]
	// queue holds the changes to send and how often each was sent.
	queue     *table.Table[model.HostID]
	sendCount *table.Column[int]
	// probes is keyed by the ID of the SendProbe.
	probes *table.Table[uint64]
	probe  *table.Column[probe]
	// contacts holds addresses of hosts that may not be members yet.
	contacts *table.Table[model.Address]
	contact  *table.Column[model.Host]

	lastProbeID uint64
	// lastRefuted is the highest incarnation of this process that was refuted.
	lastRefuted uint64
	// probeRound lists the members that are still to be probed in the current round,
	// and nearbyRound those of this host's failure domain; probeNearby is set if the
	// last probe was for one of nearbyRound.
	probeRound, nearbyRound []model.HostID
	probeNearby             bool
	nextProbe               time.Time
	nextContactProbe        time.Time
	nextSync                time.Time
	nextJoin                time.Time
	nextSweep               time.Time

	changed map[model.HostID]bool
	removed []model.HostID
}

// NewWorld returns the membership of a host that knows only itself. The
// incarnation must be higher than those of earlier processes on the host, such
// as the start time in milliseconds.
func NewWorld(self model.Host, incarnation uint64) *World {
	w := &World{
		ProbeInterval: DefaultProbeInterval, ProbeTimeout: DefaultProbeTimeout, SuspicionTimeout: DefaultSuspicionTimeout, Retention: DefaultRetention,
		Random: rand.New(rand.NewPCG(incarnation, xxhash.Sum64String(string(self.ID)))),
		self:   model.Member{Host: self, Incarnation: incarnation}, startIncarnation: incarnation,
		members: table.New[model.HostID](), suspects: table.New[model.HostID](),
		queue: table.New[model.HostID](), probes: table.New[uint64](), contacts: table.New[model.Address](),
		changed: map[model.HostID]bool{},
	}
	w.row = table.NewColumn[row](w.members)
	w.deadline = table.NewColumn[time.Time](w.suspects)
	w.sendCount = table.NewColumn[int](w.queue)
	w.probe = table.NewColumn[probe](w.probes)
	w.contact = table.NewColumn[model.Host](w.contacts)
	w.SetSystems(
		w.initialize, w.detectPause, w.applySelf, w.applyHostList, w.join, w.receive, w.answerFetches, w.applyAcks, w.applyProbeFailures, w.probeAfterFailedCalls,
		w.expireProbes, w.expireSuspects, w.removeExpiredMembers, w.probeNext, w.probeContacts, w.reportChanges, w.scheduleWake,
	)
	return w
}

// initialize is the system that sets the first deadlines. The first probe comes
// after a random delay, so that hosts started together do not probe together.
func (w *World) initialize() {
	if !w.FirstTick() {
		return
	}
	w.setAndQueue(w.self)
	for _, a := range w.Seeds {
		w.addContact(model.Host{Peer: a})
	}
	w.nextProbe = w.Now().Add(time.Duration(w.Random.Int64N(int64(w.ProbeInterval))))
	w.nextContactProbe = w.Now().Add(contactInterval/2 + time.Duration(w.Random.Int64N(int64(contactInterval))))
	w.nextSweep = w.Now().Add(sweepInterval)
}

// scheduleWake is the system that requests the next tick at the earliest
// deadline.
func (w *World) scheduleWake() {
	w.WakeAt(w.nextProbe)
	w.WakeAt(w.nextContactProbe)
	w.WakeAt(w.nextSweep)
	w.WakeAt(w.nextJoin)
	for id := range w.suspects.All() {
		w.WakeAt(w.deadline.Get(id))
	}
	for id := range w.probes.All() {
		w.WakeAt(w.probe.Get(id).deadline)
	}
}

// Self returns this host's own row.
func (w *World) Self() model.Member { return w.self }

// Joined reports whether a peer has sent its full state.
func (w *World) Joined() bool { return w.joined }

// ContactCount returns the number of addresses known for first contact, some of
// which may belong to members or to hosts that are gone.
func (w *World) ContactCount() int { return w.contacts.Len() }

// Hash returns a hash of all rows except those of failed and left members; equal
// hashes mean equal rows.
func (w *World) Hash() uint64 { return w.hash }

// Members returns all rows, including that of this host.
func (w *World) Members() []model.Member {
	list := make([]model.Member, 0, w.members.Len())
	for id := range w.members.All() {
		list = append(list, w.row.Get(id).member)
	}
	return list
}

// setAndQueue replaces a member's row and queues the change for other hosts.
func (w *World) setAndQueue(m model.Member) {
	w.setMember(m)
	entry, _ := w.queue.Add(m.Host.ID)
	w.sendCount.Set(entry, 0)
}

// setMember replaces a member's row and updates the hash.
func (w *World) setMember(m model.Member) {
	id, added := w.members.Add(m.Host.ID)
	old := w.row.Get(id)
	if !added {
		w.hash ^= hashOf(old.member)
	}
	if m.Host.ID == w.self.Host.ID {
		w.self = m
	}
	w.hash ^= hashOf(m)
	w.row.Set(id, row{member: m, updatedAt: w.Now()})
	w.changed[m.Host.ID] = true
	if m.State == model.MemberSuspect {
		s, _ := w.suspects.Add(m.Host.ID)
		w.deadline.Set(s, w.Now().Add(w.SuspicionTimeout))
	} else if s, ok := w.suspects.Find(m.Host.ID); ok {
		w.suspects.Remove(s)
	}
	if added && m.Host.ID != w.self.Host.ID {
		w.insertInRound(m.Host.ID)
	}
}

// removeMember removes a member and its queued change, and records the removal.
func (w *World) removeMember(host model.HostID) {
	id, ok := w.members.Find(host)
	if !ok {
		return
	}
	w.hash ^= hashOf(w.row.Get(id).member)
	w.members.Remove(id)
	if q, ok := w.queue.Find(host); ok {
		w.queue.Remove(q)
	}
	delete(w.changed, host)
	w.removed = append(w.removed, host)
}

// find returns a member's row.
func (w *World) find(host model.HostID) (row, bool) {
	id, ok := w.members.Find(host)
	return w.row.Get(id), ok
}

// hashOf hashes the state on which peers must agree. Failed and left members
// hash to zero, as hosts remove them at different times.
func hashOf(m model.Member) uint64 {
	if m.State >= model.MemberFailed && m.State != model.MemberLeaving {
		return 0
	}
	state := uint64(m.State) << 1
	if m.Ready {
		state |= 1
	}
	const goldenRatio = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return bits.RotateLeft64(xxhash.Sum64String(string(m.Host.ID))^m.Incarnation*goldenRatio, int(state)+1) * goldenRatio
}

// reportChanges is the system that emits the changed and removed members.
func (w *World) reportChanges() {
	if len(w.changed) == 0 && len(w.removed) == 0 {
		return
	}
	c := Changed{Removed: w.removed}
	for host := range w.changed {
		if r, ok := w.find(host); ok {
			c.Members = append(c.Members, r.member)
		}
	}
	sortMembers(c.Members)
	w.changed, w.removed = map[model.HostID]bool{}, nil
	w.Emit(c)
}
