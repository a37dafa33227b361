package model

// MemberState is the state of a host in the membership table.
type MemberState uint8

// States of a member. Later states of one incarnation replace earlier ones.
const (
	MemberAlive MemberState = iota
	// MemberSuspect means that the host did not answer probes and can still refute
	// the suspicion.
	MemberSuspect
	// MemberFailed means that the host did not refute the suspicion in time.
	MemberFailed
	// MemberLeaving means that the host is shutting down.
	MemberLeaving
	// MemberLeft means that the host has shut down.
	MemberLeft
)

// String returns the name used in logs and JSON.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "failed", "leaving", "left"}[s]
}

// Member is the entry of a host in the membership table.
type Member struct {
	Host Host
	// Incarnation is incremented only by the host itself, to refute a suspicion
	// and on each start.
	Incarnation uint64
	State       MemberState
	// Ready reports whether the host has current settings and accepts requests
	// of callers.
	Ready bool
}

// WithState returns a copy of the member in the given state.
func (m Member) WithState(s MemberState) Member {
	m.State = s
	return m
}

// WithIncarnation returns a copy of the member with the given incarnation.
func (m Member) WithIncarnation(n uint64) Member {
	m.Incarnation = n
	return m
}

// WithReady returns a copy of the member with Ready set or cleared.
func (m Member) WithReady(ready bool) Member {
	m.Ready = ready
	return m
}
