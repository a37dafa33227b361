// Package member detects which entry hosts are alive. It implements SWIM (Das,
// Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002): each host probes one random member per
// interval, asks others to probe a member that did not answer, marks it as
// suspect before it is failed, and piggybacks changes on probes. A host refutes
// a suspicion of itself with a higher incarnation.
//
// The message rate of a host does not depend on the number of members. Failed
// members are probed periodically, so that the two sides of a healed partition
// find each other.
//
// # Usage
//
//	w := member.NewWorld(self, startTimeMillis)
//	w.Seeds = seeds
//	for _, c := range w.Tick(now, events) {
//		// send probes, answer probes, fetch members
//	}
//
// The world does no I/O. The caller performs SendProbe and reports Acked or
// ProbeFailed with the same ID.
package member

import "toucanpulley.example/internal/model"

// Event is an input of a tick.
type Event interface{ event() }

// Probed is a probe from a peer. It is answered by an AnswerProbe with the same
// ID.
type Probed struct {
	ID   uint64
	From model.Member
	// Target is the member to probe on behalf of the sender; empty for this
	// host.
	Target model.HostID
	// Hash is the sender's Hash.
	Hash    uint64
	Changes []model.Member
}

// Acked is the answer to a SendProbe.
type Acked struct {
	ID   uint64
	From model.Member
	// Reached is false if an indirect probe did not reach the target.
	Reached bool
	Hash    uint64
	Changes []model.Member
}

// ProbeFailed reports that a SendProbe failed or timed out.
type ProbeFailed struct{ ID uint64 }

// CallFailed reports that a call to a member other than a probe failed. The
// member is probed at once.
type CallFailed struct{ Host model.HostID }

// MembersReceived is the full state of a peer, the answer to a FetchMembers.
type MembersReceived struct {
	From    model.HostID
	Members []model.Member
}

// ChangesReceived is a message from a peer that needs no answer.
type ChangesReceived struct {
	From    model.Member
	Changes []model.Member
}

// MembersRequested is a peer's request for the full state. It is answered by an
// AnswerMembers with the same ID.
type MembersRequested struct {
	ID   uint64
	From model.Member
}

// HostsListed is the platform's list of entry hosts. It supplies addresses for
// first contact and names hosts that will not return.
type HostsListed struct {
	Hosts   []model.Host
	Leaving map[model.HostID]bool
}

// SelfChanged reports a new state of this host.
type SelfChanged struct {
	Ready bool
	// State is MemberAlive, MemberLeaving or MemberLeft.
	State model.MemberState
}

func (Probed) event()           {}
func (Acked) event()            {}
func (ProbeFailed) event()      {}
func (CallFailed) event()       {}
func (MembersReceived) event()  {}
func (ChangesReceived) event()  {}
func (MembersRequested) event() {}
func (HostsListed) event()      {}
func (SelfChanged) event()      {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// SendProbe probes a peer, or asks it to probe the target.
type SendProbe struct {
	ID      uint64
	To      model.Host
	Target  model.HostID
	Changes []model.Member
}

// AnswerProbe answers a Probed with the same ID.
type AnswerProbe struct {
	ID      uint64
	Reached bool
	Changes []model.Member
}

// AnswerMembers answers a MembersRequested with the same ID.
type AnswerMembers struct {
	ID      uint64
	Members []model.Member
}

// FetchMembers asks a peer for its full state.
type FetchMembers struct{ From model.Host }

// Changed lists the members whose rows changed and the members that were
// removed.
type Changed struct {
	Members []model.Member
	Removed []model.HostID
}

// Refuted reports that peers marked this host as suspect or failed, or that its
// process was paused. Other hosts may have taken over the leases of this host.
type Refuted struct {
	Incarnation uint64
	// State is the state that peers reported for this host.
	State model.MemberState
	// Paused is set if this host detected a pause of its own process.
	Paused bool
}

func (SendProbe) command()     {}
func (AnswerProbe) command()   {}
func (AnswerMembers) command() {}
func (FetchMembers) command()  {}
func (Changed) command()       {}
func (Refuted) command()       {}
