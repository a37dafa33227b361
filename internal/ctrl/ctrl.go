// Package ctrl decides the control state of a daemon: which hosts are alive,
// which settings and index versions are in force, which hosts serve which
// services, and which requests are quarantined. It composes the worlds of
// packages member and spread, turns commands of one into events of the next,
// and publishes an immutable view for traffic.
//
// # Usage
//
//	world := ctrl.NewWorld(self, startTimeMillis)
//	for _, c := range world.Tick(now, []ctrl.Event{ctrl.HostsSeen{Entries: list}}) {
//		// carry out Publish, Hold and the calls to peers and the platform
//	}
package ctrl

import (
	"time"

	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/view"
)

// Gossip is what every message between daemons carries.
type Gossip struct {
	Sender     model.Member
	Digest     spread.Digest
	Hash       uint64
	Changes    []model.Member
	Quarantine []Quarantine
}

// Quarantine is a request that was running when searchers were lost.
type Quarantine struct {
	Fingerprint model.Fingerprint
	Losses      int
	// Left is how long the entry is still valid. Hosts compare no clocks.
	Left time.Duration
}

// Event is something that happened since the last tick.
type Event interface{ event() }

// Probed is a probe of a peer, to be answered by AnswerProbe.
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

// Pushed is a push of a peer.
type Pushed struct{ Gossip Gossip }

// MemberEvent is an event for package member.
type MemberEvent struct{ Event member.Event }

// SpreadEvent is an event for package spread.
type SpreadEvent struct{ Event spread.Event }

// HostsSeen is the platform's host list.
type HostsSeen struct{ Entries []ListEntry }

// ListEntry is an entry of the host list.
type ListEntry struct {
	Host model.Host
	// Searcher is set if the entry is a searcher.
	Searcher model.SearcherID
	Leaving  bool
}

// LossReported tells that a request was running when searchers were lost to a lane.
type LossReported struct {
	Fingerprint model.Fingerprint
	Losses      int
}

// LeaveRequested takes this host out of the address answers and tells peers.
type LeaveRequested struct{}

// RefuseRequested has traffic refuse new requests.
type RefuseRequested struct{}

func (Probed) event()          {}
func (Acked) event()           {}
func (Pushed) event()          {}
func (MemberEvent) event()     {}
func (SpreadEvent) event()     {}
func (HostsSeen) event()       {}
func (LossReported) event()    {}
func (LeaveRequested) event()  {}
func (RefuseRequested) event() {}

// Command is something to do after a tick.
type Command interface{ command() }

// Publish makes a view visible to traffic.
type Publish struct{ View view.View }

// ServeBundle makes a bundle the one that peers pull from.
type ServeBundle struct{ Bundle spread.Bundle }

// SendProbe probes a peer, or asks it to probe the target.
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

// FetchMembers asks a peer for its full state.
type FetchMembers struct {
	From model.Host
	Self model.Member
}

// AnswerMembers answers a member.Fetched.
type AnswerMembers struct {
	ID      uint64
	Members []model.Member
}

// PushTo tells a peer what this host holds.
type PushTo struct {
	Peer   model.Host
	Gossip Gossip
}

// PullFrom asks a peer for what it holds beyond the bundle held here. The
// answer carries the same Begun.
type PullFrom struct {
	Peer  model.Host
	Begun time.Time
}

// ReadPlatform reads settings, index objects and host list once. The answer
// carries the same Begun.
type ReadPlatform struct{ Begun time.Time }

// Watch starts following the platform; Unwatch stops it.
type Watch struct{}

// Unwatch stops following the platform.
type Unwatch struct{}

// Refuted tells that peers held this host as suspect or failed, or that its
// process was paused. Whoever holds seats or claims checks them.
type Refuted struct {
	Incarnation uint64
	// Suspended is set if this host serves nothing until it has compared its
	// settings with others.
	Suspended bool
}

// MemberChanged tells that this host believes something else of another one.
type MemberChanged struct {
	Member model.Member
	// Former is what was believed before.
	Former model.Member
}

// memberChanged returns the command for a change, and whether it is worth one:
// hosts that are new and well are not.
func memberChanged(former, m model.Member, self model.HostID) (MemberChanged, bool) {
	known := former.Host.ID != ""
	forgotten := m.Host.ID == ""
	changed := former.State != m.State || former.Ready != m.Ready
	return MemberChanged{Member: m, Former: former}, changed && known && !forgotten && m.Host.ID != self
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
