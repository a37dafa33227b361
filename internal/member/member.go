// Package member decides which entry hosts are alive. It follows SWIM (Das,
// Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol", DSN 2002): each host probes one random member per
// interval, asks others to probe a member that did not answer, holds it as
// suspect for a while, and spreads changes on the probes themselves. A host
// refutes a suspicion of itself with a higher incarnation.
//
// The number of messages of a host per second does not depend on the number of
// members. Members held as failed are probed now and then, so that two sides
// of a healed partition find each other again.
//
// # Usage
//
//	w := member.NewWorld(self, startTimeMillis)
//	w.Seeds = seeds
//	for _, c := range w.Tick(now, events) {
//		// send probes, answer probes, fetch members
//	}
//
// The world does no I/O. Whoever carries out SendProbe reports Acked or
// ProbeFailed with the same ID.
package member

import "toucanpulley.example/internal/model"

// Event is something that happened since the last tick.
type Event interface{ event() }

// Probed is a probe that a peer sent. It is answered by an AnswerProbe with
// the same ID.
type Probed struct {
	ID   uint64
	From model.Member
	// Target is the member to probe on behalf of the sender; empty for this host.
	Target model.HostID
	// Hash is the sender's Hash.
	Hash    uint64
	Changes []model.Member
}

// Acked is the answer to a SendProbe.
type Acked struct {
	ID   uint64
	From model.Member
	// Reached is false if a relay could not reach the target.
	Reached bool
	Hash    uint64
	Changes []model.Member
}

// ProbeFailed is a SendProbe that was not answered in time.
type ProbeFailed struct{ ID uint64 }

// CallFailed tells that a call to a member failed that was no probe. The member is
// probed at once.
type CallFailed struct{ Host model.HostID }

// Joined is the full state of a peer, the answer to a FetchMembers.
type Joined struct {
	From    model.HostID
	Members []model.Member
}

// ChangesReceived is a message of a peer that is not answered.
type ChangesReceived struct {
	From    model.Member
	Changes []model.Member
}

// MembersRequested is a peer that asks for the full state. It is answered by an
// AnswerMembers with the same ID.
type MembersRequested struct {
	ID   uint64
	From model.Member
}

// HostsListed is the platform's list of entry hosts: a hint for first contact and
// for hosts that will not return.
type HostsListed struct {
	Hosts   []model.Host
	Leaving map[model.HostID]bool
}

// SelfChanged is a new state of this host.
type SelfChanged struct {
	Ready bool
	// State is MemberAlive, MemberLeaving or MemberLeft.
	State model.MemberState
}

func (Probed) event()           {}
func (Acked) event()            {}
func (ProbeFailed) event()      {}
func (CallFailed) event()       {}
func (Joined) event()           {}
func (ChangesReceived) event()  {}
func (MembersRequested) event() {}
func (HostsListed) event()      {}
func (SelfChanged) event()      {}

// Command is something to do after a tick.
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

// AnswerMembers answers a Fetched with the same ID.
type AnswerMembers struct {
	ID      uint64
	Members []model.Member
}

// FetchMembers asks a peer for its full state.
type FetchMembers struct{ From model.Host }

// Changed lists the members whose row changed, and those that were forgotten.
type Changed struct {
	Members   []model.Member
	Forgotten []model.HostID
}

// Refuted tells that peers held this host as suspect or failed, or that its
// process was paused. Whatever it held before may have passed to others.
type Refuted struct {
	Incarnation uint64
	// State is how peers held this host.
	State model.MemberState
	// Paused is set if this host noticed by itself that its process was paused.
	Paused bool
}

func (SendProbe) command()     {}
func (AnswerProbe) command()   {}
func (AnswerMembers) command() {}
func (FetchMembers) command()  {}
func (Changed) command()       {}
func (Refuted) command()       {}
