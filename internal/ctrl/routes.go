package ctrl

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/view"
)

// maxTrackedProbes is the number of probes whose time of sending is remembered; a
// host sends a few a second and an answer comes within one.
const maxTrackedProbes = 64

// RouteEvent is an event for the world of assignment and seats.
type RouteEvent struct{ Event route.Event }

// ReadSeats reads the seats of a service; a RouteEvent with route.SeatsRead
// must follow.
type ReadSeats struct{ Service model.ServiceName }

// WriteSeats replaces the seats of a service; a RouteEvent with
// route.SeatsWritten must follow.
type WriteSeats struct{ Seats model.Seats }

// SeatsReleased tells that every seat was given up.
type SeatsReleased struct{}

func (RouteEvent) event()      {}
func (ReadSeats) command()     {}
func (WriteSeats) command()    {}
func (SeatsReleased) command() {}

// tickRoute is the system that ticks assignment and seats.
func (w *World) tickRoute() {
	inbox := w.routeEvents
	w.routeEvents = nil
	for _, c := range w.Route.Tick(w.Now(), inbox) {
		switch c := c.(type) {
		case route.ReadSeats:
			w.Emit(ReadSeats{Service: c.Service})
		case route.WriteSeats:
			w.Emit(WriteSeats{Seats: c.Seats})
		case route.Released:
			w.Emit(SeatsReleased{})
		case route.Assigned:
			owned := make(map[model.ServiceName]view.Ownership, len(c.Owned))
			for name, o := range c.Owned {
				owned[name] = view.Ownership{Slots: o.Slots, Connections: o.Connections, Until: o.Until}
			}
			w.view, w.dirty = w.view.WithRoutes(c.Addresses, owned).WithHolders(c.Holders), true
		}
	}
}

// queueRouteMembers tells the assignment which members changed. A host that the
// host list names as leaving counts as leaving.
func (w *World) queueRouteMembers(members []model.Member, forgotten []model.HostID) {
	changed := make([]model.Member, 0, len(members)+len(forgotten))
	for _, m := range members {
		changed = append(changed, w.withListedState(m))
	}
	for _, host := range forgotten {
		changed = append(changed, model.Member{Host: model.Host{ID: host}, State: model.MemberLeft})
	}
	w.routeEvents = append(w.routeEvents, route.MembersChanged{Members: changed})
}

// withListedState returns a member as leaving if the host list says so.
func (w *World) withListedState(m model.Member) model.Member {
	live := m.State == model.MemberAlive || m.State == model.MemberSuspect
	if live && slices.Contains(w.bundle.Leaving.Hosts, m.Host.ID) {
		return m.WithState(model.MemberLeaving)
	}
	return m
}

// queueRouteBundle tells the assignment of settings and indexes put in force.
func (w *World) queueRouteBundle(c spread.Adopt) {
	if c.Settings {
		w.routeEvents = append(w.routeEvents, route.SettingsChanged{Tree: c.Tree})
	}
	if c.Bundle.IndexVersion != w.bundle.IndexVersion {
		w.routeEvents = append(w.routeEvents, route.IndexesChanged{Indexes: c.Bundle.Indexes()})
	}
}

// queuePeerPlatformSeen notes how long ago a peer knows the platform to have answered
// any host. Asked is zero for a report that came unasked.
func (w *World) queuePeerPlatformSeen(g Gossip, probeSentAt time.Time) {
	report := route.PeerPlatformSeen{From: g.Sender.Host.ID, Asked: probeSentAt}
	if g.Digest.FleetAge >= 0 {
		report.At = w.Now().Add(-time.Duration(g.Digest.FleetAge) * time.Millisecond)
	}
	w.routeEvents = append(w.routeEvents, report)
}

// platformAnswered reports whether an event shows that the platform answered
// this host.
func platformAnswered(e route.Event) bool {
	switch e := e.(type) {
	case route.SeatsRead:
		return !e.Failed
	case route.SeatsWritten:
		return e.Result == model.WriteAccepted || e.Result == model.WriteConflict
	default:
		return false
	}
}
