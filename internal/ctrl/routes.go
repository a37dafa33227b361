package ctrl

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/view"
)

// maxTrackedProbes is the number of latest probes whose send time is kept. A
// host sends a few probes per second, each answered within a second.
const maxTrackedProbes = 64

// RouteEvent wraps an event for package route, which assigns services and seats.
type RouteEvent struct{ Event route.Event }

// ReadSeats reads the seats of a service; a RouteEvent with route.SeatsRead
// must follow.
type ReadSeats struct{ Service model.ServiceName }

// WriteSeats replaces the seats of a service; a RouteEvent with
// route.SeatsWritten must follow.
type WriteSeats struct{ Seats model.Seats }

// SeatsReleased reports that this host has released all its seats.
type SeatsReleased struct{}

func (RouteEvent) event()      {}
func (ReadSeats) command()     {}
func (WriteSeats) command()    {}
func (SeatsReleased) command() {}

// tickRoute is the system that ticks package route.
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
			w.view, w.dirty = w.view.WithRoutes(c.Addresses, owned).WithSeatHolders(c.Holders), true
		}
	}
}

// queueRouteMembers queues member changes for package route. Hosts that the host
// list marks as leaving count as leaving.
func (w *World) queueRouteMembers(members []model.Member, removed []model.HostID) {
	changed := make([]model.Member, 0, len(members)+len(removed))
	for _, m := range members {
		changed = append(changed, w.withListedState(m))
	}
	for _, host := range removed {
		changed = append(changed, model.Member{Host: model.Host{ID: host}, State: model.MemberLeft})
	}
	w.routeEvents = append(w.routeEvents, route.MembersChanged{Members: changed})
}

// withListedState returns a live member as leaving if the host list marks it so.
func (w *World) withListedState(m model.Member) model.Member {
	live := m.State == model.MemberAlive || m.State == model.MemberSuspect
	if live && slices.Contains(w.bundle.Leaving.Hosts, m.Host.ID) {
		return m.WithState(model.MemberLeaving)
	}
	return m
}

// queueRouteBundle queues adopted settings and indexes for package route.
func (w *World) queueRouteBundle(c spread.Adopt) {
	if c.Settings {
		w.routeEvents = append(w.routeEvents, route.SettingsChanged{Tree: c.Tree})
	}
	if c.Bundle.IndexVersion != w.bundle.IndexVersion {
		w.routeEvents = append(w.routeEvents, route.IndexesChanged{Indexes: c.Bundle.Indexes()})
	}
}

// queuePlatformContact passes to package route the time at which, according to a
// peer, the platform last answered any host. probeSentAt is zero if the peer's
// message was not the answer to a probe.
func (w *World) queuePlatformContact(g Gossip, probeSentAt time.Time) {
	report := route.PlatformContactReported{From: g.Sender.Host.ID, ProbeSentAt: probeSentAt}
	if g.Digest.FleetAge >= 0 {
		report.ContactAt = w.Now().Add(-time.Duration(g.Digest.FleetAge) * time.Millisecond)
	}
	w.routeEvents = append(w.routeEvents, report)
}

// platformAnswered reports whether an event proves that the platform answered
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
