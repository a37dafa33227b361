// Package view defines the state that the control goroutine publishes to the
// traffic goroutines.
//
// A View is an immutable value. Control creates a new one for each change and
// stores it in an Atomic; traffic loads the current one and uses it for the whole
// duration of a request.
//
// # Usage
//
//	views := view.NewAtomic()
//	views.Store(view.New().WithSettings(7, settingsTree))
//	v := views.Load()
//	s, err := v.Resolve("dastkar", "jury-desk", "portfolios")
package view

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// View is the state of a daemon at one point in time.
type View struct {
	// Revision is the settings revision in force, or zero before the first one.
	Revision model.Revision
	Tree     tree.Tree
	// Indexes holds the searchers and snapshots of each service.
	Indexes map[model.ServiceName]model.Index
	// Addresses holds the entry hosts of each service, in order of preference.
	Addresses map[model.ServiceName][]model.EntryAddress
	// Owned holds the services that this host runs. It is nil without routes.
	Owned map[model.ServiceName]Ownership
	// SeatHolders lists, for each service that is assigned to this host but that
	// it cannot run yet, the hosts that hold a seat and run it.
	SeatHolders map[model.ServiceName][]model.HostID
	// Quarantined holds the fingerprints of requests that are refused.
	Quarantined map[model.Fingerprint]bool
	// Suspects holds the fingerprints of requests that were running when this host
	// or a peer lost a searcher, with too few losses to be refused.
	Suspects map[model.Fingerprint]bool
	// Members is the membership table.
	Members []model.Member
	// Ready reports whether the host accepts requests of callers.
	Ready bool
	// Draining reports whether the host accepts no new requests.
	Draining bool
	// NotReadyReason is the reason why Ready is false.
	NotReadyReason string
}

// Ownership is the share of a service that a host runs.
type Ownership struct {
	// Slots is the maximum number of concurrent requests to one searcher.
	Slots int
	// Connections is the maximum number of connections to one searcher.
	Connections int
	// Until is the time on the clock of this host at which the connections may
	// no longer be used, or zero for no end. It is checked before each use,
	// because a process that was paused may resume before control has published
	// a new view.
	Until time.Time
}

// New returns an empty view.
func New() View { return View{Tree: tree.New()} }

// WithSettings returns a copy of the view with the given settings tree.
func (v View) WithSettings(r model.Revision, t tree.Tree) View {
	v.Revision, v.Tree = r, t
	return v
}

// WithIndexes returns a copy of the view in which the given indexes replace those
// of the same services.
func (v View) WithIndexes(list ...model.Index) View {
	indexes := maps.Clone(v.Indexes)
	if indexes == nil {
		indexes = map[model.ServiceName]model.Index{}
	}
	for _, x := range list {
		indexes[x.Service] = x
	}
	v.Indexes = indexes
	return v
}

// Runs reports whether this host runs the requests of a service. Without routes
// it runs all services.
func (v View) Runs(name model.ServiceName) bool {
	_, owned := v.Owned[name]
	return owned || v.Owned == nil
}

// WithRoutes returns a copy of the view with the given addresses and owned
// services.
func (v View) WithRoutes(addresses map[model.ServiceName][]model.EntryAddress, owned map[model.ServiceName]Ownership) View {
	v.Addresses, v.Owned = addresses, owned
	return v
}

// WithSeatHolders returns a copy of the view with the given seat holders.
func (v View) WithSeatHolders(holders map[model.ServiceName][]model.HostID) View {
	v.SeatHolders = holders
	return v
}

// SeatHolderAddresses returns the addresses of the seat holders of a service that
// have not failed or left.
func (v View) SeatHolderAddresses(name model.ServiceName) []model.EntryAddress {
	var list []model.EntryAddress
	for _, m := range v.Members {
		if m.State != model.MemberFailed && m.State != model.MemberLeft && slices.Contains(v.SeatHolders[name], m.Host.ID) {
			list = append(list, model.EntryAddress{Host: m.Host.ID, Address: m.Host.Entry, FailureDomain: m.Host.FailureDomain})
		}
	}
	return list
}

// WithMembers returns a copy of the view with the given membership table.
func (v View) WithMembers(members []model.Member) View {
	v.Members = members
	return v
}

// WithQuarantine returns a copy of the view with the given suspect and quarantined
// fingerprints.
func (v View) WithQuarantine(suspects, quarantined map[model.Fingerprint]bool) View {
	v.Suspects, v.Quarantined = suspects, quarantined
	return v
}

// WithReady returns a copy of the view that is ready, or not ready for the given
// reason.
func (v View) WithReady(ready bool, reason string) View {
	v.Ready, v.NotReadyReason = ready, reason
	return v
}

// WithDraining returns a copy of the view with Draining set or cleared.
func (v View) WithDraining(draining bool) View {
	v.Draining = draining
	return v
}

// Resolve returns the effective settings of a scope, or a refusal if the account,
// service or scope does not exist.
func (v View) Resolve(a model.ClientAccount, s model.ServiceName, c model.ScopeName) (tree.Settings, *model.Refusal) {
	if _, ok := v.Tree.Node(tree.ServicePath(a, s)); !ok {
		r := model.NewRefusal(model.ReasonUnknownService, "account %q has no service %q", a, s)
		return tree.Settings{}, &r
	}
	path := tree.ScopePath(a, s, c)
	if _, ok := v.Tree.Node(path); !ok {
		r := model.NewRefusal(model.ReasonUnknownScope, "service %q of account %q has no scope %q", s, a, c)
		return tree.Settings{}, &r
	}
	return v.Tree.Effective(path), nil
}

// Atomic holds the current view. One goroutine stores views and any number of
// goroutines load them.
type Atomic struct {
	current atomic.Pointer[View]
}

// NewAtomic returns an Atomic that holds an empty view.
func NewAtomic() *Atomic {
	a := &Atomic{}
	a.Store(New())
	return a
}

// Store publishes a view.
func (a *Atomic) Store(v View) { a.current.Store(&v) }

// Load returns the most recently published view.
func (a *Atomic) Load() View { return *a.current.Load() }
