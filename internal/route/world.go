// Package route assigns services to entry hosts, computes the addresses that
// callers get, and manages this host's seats. A seat is a lease that allows a
// host to open connections to the searchers of a service.
//
// Services are assigned by rendezvous hashing (Thaler, Ravishankar 1998) over
// the members that are alive and ready, spread over failure domains. The
// assignment depends on members and settings only, so hosts with equal views
// give equal answers. While views differ after a change, seats enforce the
// connection cap of each searcher. A seat is a row of the platform object
// seats/<service> and is acquired by a conditional update.
//
// # Leases
//
// A holder renews its row five times per lease. Its grant ends two thirds of a
// lease after it sent the latest write that took effect, by its own clock. A
// host that waits for a seat may replace a row that it has observed unchanged
// for a whole lease, provided that it read the row at least every quarter of the
// lease. As the row was written before it was first observed, its grant ended at
// least a third of a lease earlier.
//
// While no host reaches the platform, no host can replace a row either. A host
// that has had answers from peers for a third of a lease, none of which reports
// a host that reached the platform in that time, extends its grants to two
// thirds of a lease after it sent the latest probe that was answered. This is
// safe as long as a report reaches all hosts within a twelfth of a lease. A host
// that gets no answers, or was paused, gets no extension. A host that has never
// seen another member needs no report.
//
// # Former holders
//
// A host to which a service is no longer assigned continues to run it until
// callers have had time to learn other addresses and an assigned host runs it,
// then for one lease at most. If former holders hold all seats, the one with the
// lowest nonce withdraws at once and the others continue. Hosts that wait for a
// seat forward requests to the holders.
//
// # Platform calls
//
// With S services and a lease of L seconds the holders make 5·S·subset/L reads
// and as many writes per second, independent of the number of hosts. In terms of
// hosts, with k seats on each of H hosts, it is 5·H·k/L of each. A host that
// waits for a seat adds one read per second, or 12/L if that is more, while it
// waits; so does a former holder that waits for its successor. With 680
// services, a subset of 2 and a lease of 60 s there are 113 reads and 113 writes
// per second.
//
// # Usage
//
//	world := route.NewWorld("host-a", nonce)
//	for _, c := range world.Tick(now, []route.Event{route.MembersChanged{Members: m}}) {
//		// perform ReadSeats, WriteSeats, Assigned and Released
//	}
package route

import (
	"maps"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

// World holds the assignment of services and the seats of one host.
type World struct {
	tick.Frame[Event, Command]
	host  model.HostID
	nonce uint64

	settings tree.Settings
	// maxTimeout is the largest timeout that any request may have.
	maxTimeout time.Duration

	members *table.Table[model.HostID]
	member  *table.Column[member]
	domains *table.Table[model.FailureDomain]
	domain  *table.Column[domain]

	services *table.Table[model.ServiceName]
	service  *table.Column[service]
	seat     *table.Column[seat]

	// active lists the services that are assigned to this host or of which it
	// has a seat, so that a tick does not iterate over all services.
	active []table.ID

	// incarnation is this host's current incarnation.
	incarnation uint64
	// sawPeer is set once another member was seen.
	sawPeer bool
	// platformContact is the latest time at which any host is known to have
	// reached the platform. lastPeerAnswer is when the probe of the latest peer
	// answer was sent, and peerAnswersSince is when the current series of such
	// answers without a long gap began.
	platformContact  time.Time
	lastPeerAnswer   time.Time
	peerAnswersSince time.Time

	releasing bool
	released  bool

	// reassign is set if all assignments must be recomputed.
	reassign         bool
	addressesChanged bool
	addresses        map[model.ServiceName][]model.EntryAddress
	owned            map[model.ServiceName]Owned
	holders          map[model.ServiceName][]model.HostID
}

// NewWorld returns the world of a host. The nonce identifies the process; it
// must differ from that of every earlier process.
func NewWorld(host model.HostID, nonce uint64) *World {
	w := &World{
		host: host, nonce: nonce,
		members: table.New[model.HostID](), domains: table.New[model.FailureDomain](),
		services:  table.New[model.ServiceName](),
		addresses: map[model.ServiceName][]model.EntryAddress{}, owned: map[model.ServiceName]Owned{},
	}
	w.member = table.NewColumn[member](w.members)
	w.domain = table.NewColumn[domain](w.domains)
	w.service = table.NewColumn[service](w.services)
	w.seat = table.NewColumn[seat](w.services)
	w.adopt(tree.New())
	w.SetSystems(
		w.applySettings, w.applyIndexes, w.applyMembers, w.assign,
		w.applyPeerReports, w.applySeatReads, w.applySeatWrites, w.followAssignment, w.readSeats, w.reportRelease, w.publish, w.dropIdleServices,
	)
	return w
}

// applySettings is the system that applies new settings.
func (w *World) applySettings() {
	tick.Each(w.Inbox(), func(e SettingsChanged) { w.adopt(e.Tree) })
}

func (w *World) adopt(t tree.Tree) {
	w.settings = t.Effective(tree.Root)
	w.maxTimeout = w.settings.MaxTimeout
	for _, n := range t.Nodes() {
		w.maxTimeout = max(w.maxTimeout, t.Effective(n.Path).MaxTimeout)
	}
	w.reassign = true
}

// applyIndexes is the system that updates the slots and connection caps of
// services from their searchers.
func (w *World) applyIndexes() {
	tick.Each(w.Inbox(), func(e IndexesChanged) {
		for _, x := range e.Indexes {
			id, isNew := w.services.Add(x.Service)
			s := w.service.Get(id)
			if isNew {
				s = newService(x.Service)
			}
			w.service.Set(id, s.withSearchers(x.Searchers))
			w.reassign = w.reassign || isNew
		}
	})
}

// publish is the system that emits addresses, owned services and seat holders
// if any of them changed.
func (w *World) publish() {
	owned, holders := map[model.ServiceName]Owned{}, map[model.ServiceName][]model.HostID{}
	for _, id := range w.active {
		if list := w.otherHolders(id); len(list) > 0 {
			holders[w.services.Key(id)] = list
		}
		if o, ok := w.ownership(id); ok {
			owned[w.services.Key(id)] = o
			w.WakeAt(o.Until)
		}
	}
	if !w.addressesChanged && maps.Equal(owned, w.owned) && maps.EqualFunc(holders, w.holders, slices.Equal[[]model.HostID]) {
		return
	}
	w.owned, w.holders, w.addressesChanged = owned, holders, false
	w.Emit(Assigned{Addresses: maps.Clone(w.addresses), Owned: owned, Holders: holders})
}

// activate adds a service to the active services.
func (w *World) activate(id table.ID) {
	if !slices.Contains(w.active, id) {
		w.active = append(w.active, id)
	}
}

// dropIdleServices is the system that removes services with no pending work
// from the active services.
func (w *World) dropIdleServices() {
	w.active = slices.DeleteFunc(w.active, func(id table.ID) bool {
		s := w.seat.Get(id)
		_, hasRow := s.seats.ByNonce(w.nonce)
		idle := !s.wanted && !s.held && !hasRow && !s.callInFlight && s.nextCall.IsZero()
		return idle && !slices.Contains(w.service.Get(id).assigned, w.host)
	})
}
