// Package ctrl maintains the control state of a daemon: which hosts are alive,
// which settings and index versions are in force, which hosts serve which
// services, and which requests are quarantined. It composes the worlds of
// packages member, spread, route and feed, passes the commands of one to the
// others as events, and publishes an immutable view for traffic.
//
// # Usage
//
//	world := ctrl.NewWorld(self, startTimeMillis)
//	for _, c := range world.Tick(now, []ctrl.Event{ctrl.HostListRead{Entries: list}}) {
//		// perform Publish, ServeBundle and the calls to peers and the platform
//	}
package ctrl

import (
	"time"

	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/view"
)

// Gossip is the payload of every probe, probe answer and push between daemons.
type Gossip struct {
	Sender     model.Member
	Digest     spread.Digest
	Hash       uint64
	Changes    []model.Member
	Quarantine []Quarantine
}

// Quarantine holds the losses of a request that was running when searchers were
// lost, as counted by one process. The losses of all processes add up.
type Quarantine struct {
	Fingerprint model.Fingerprint
	// Reporter identifies the process that counted the losses.
	Reporter uint64
	// Losses counts the losses since a searcher last survived the request.
	Losses int
	// Survivals counts how often a searcher survived the request after losses. An
	// entry replaces all entries of the request with fewer.
	Survivals int
	// TTL is the time until the entry expires. It is a duration because the clocks
	// of hosts may differ.
	TTL time.Duration
}

// Event is an input of a tick.
type Event interface{ event() }

// Probed is a probe received from a peer; AnswerProbe answers it.
type Probed struct {
	ID     uint64
	Target model.HostID
	Gossip Gossip
}

// Acked is the answer to a SendProbe.
type Acked struct {
	ID      uint64
	Reached bool
	Gossip  Gossip
}

// Pushed is a push received from a peer.
type Pushed struct{ Gossip Gossip }

// MemberEvent wraps an event for package member.
type MemberEvent struct{ Event member.Event }

// SpreadEvent wraps an event for package spread.
type SpreadEvent struct{ Event spread.Event }

// HostListRead contains the host list that this host read from the platform.
type HostListRead struct{ Entries []HostListEntry }

// HostListEntry is an entry of the host list.
type HostListEntry struct {
	Host model.Host
	// Searcher is set if the entry is a searcher.
	Searcher model.SearcherID
	Leaving  bool
}

// LossReported reports that a lane lost searchers while they ran a request. Losses
// counts only the losses that were not reported before.
type LossReported struct {
	Fingerprint model.Fingerprint
	Losses      int
}

// SurvivalReported reports that a searcher survived a request that had been running
// when searchers were lost.
type SurvivalReported struct{ Fingerprint model.Fingerprint }

// LeaveRequested removes this host from address answers and tells peers that it
// is leaving.
type LeaveRequested struct{}

// RefuseRequested makes traffic refuse new requests.
type RefuseRequested struct{}

func (Probed) event()           {}
func (Acked) event()            {}
func (Pushed) event()           {}
func (MemberEvent) event()      {}
func (SpreadEvent) event()      {}
func (HostListRead) event()     {}
func (LossReported) event()     {}
func (SurvivalReported) event() {}
func (LeaveRequested) event()   {}
func (RefuseRequested) event()  {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// Publish makes a view visible to traffic.
type Publish struct{ View view.View }

// ServeBundle sets the bundle that peers can pull.
type ServeBundle struct{ Bundle spread.Bundle }

// SendProbe probes a peer, or requests an indirect probe of the target from it.
type SendProbe struct {
	ID     uint64
	To     model.Host
	Target model.HostID
	Gossip Gossip
}

// AnswerProbe answers a Probed.
type AnswerProbe struct {
	ID      uint64
	Reached bool
	Gossip  Gossip
}

// FetchMembers requests the full membership table of a peer.
type FetchMembers struct {
	From model.Host
	Self model.Member
}

// AnswerMembers answers a member.MembersRequested.
type AnswerMembers struct {
	ID      uint64
	Members []model.Member
}

// PushTo pushes this host's gossip to a peer.
type PushTo struct {
	Peer   model.Host
	Gossip Gossip
}

// PullFrom requests from a peer the objects that the bundle of this host lacks.
// The answer carries the same StartedAt.
type PullFrom struct {
	Peer      model.Host
	StartedAt time.Time
}

// ReadPlatform reads the settings, index objects and host list once. The answer
// carries the same StartedAt.
type ReadPlatform struct{ StartedAt time.Time }

// Watch starts watching the platform.
type Watch struct{}

// Unwatch stops watching the platform.
type Unwatch struct{}

// Refuted reports that peers marked this host as suspect or failed, or that its
// process was paused. The caller must check the seats and claims of this host
// again, as others may have taken them over.
type Refuted struct {
	Incarnation uint64
	// Suspended is set if this host must not serve until it has compared its
	// settings with those of others.
	Suspended bool
}

// MemberChanged reports a change of another host's state.
type MemberChanged struct {
	Member model.Member
	// Previous is the previous state.
	Previous model.Member
}

// memberChanged returns the command for a member's change and whether to emit
// it. Changes of this host, new members and removed members are not reported.
func memberChanged(previous, m model.Member, self model.HostID) (MemberChanged, bool) {
	known := previous.Host.ID != ""
	removed := m.Host.ID == ""
	changed := previous.State != m.State || previous.Ready != m.Ready
	return MemberChanged{Member: m, Previous: previous}, changed && known && !removed && m.Host.ID != self
}

func (MemberChanged) command() {}
func (Publish) command()       {}
func (ServeBundle) command()   {}
func (SendProbe) command()     {}
func (AnswerProbe) command()   {}
func (FetchMembers) command()  {}
func (AnswerMembers) command() {}
func (PushTo) command()        {}
func (PullFrom) command()      {}
func (ReadPlatform) command()  {}
func (Watch) command()         {}
func (Unwatch) command()       {}
func (Refuted) command()       {}
