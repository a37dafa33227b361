package route

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// Event is an input of a tick.
type Event interface{ event() }

// MembersChanged holds the members that changed. A removed member has the state
// failed or left.
type MembersChanged struct{ Members []model.Member }

// SettingsChanged reports a settings tree that took effect.
type SettingsChanged struct{ Tree tree.Tree }

// IndexesChanged holds the indexes that changed.
type IndexesChanged struct{ Indexes []model.Index }

// SeatsRead is the result of a ReadSeats.
type SeatsRead struct {
	Service model.ServiceName
	// Failed is set if the platform did not answer.
	Failed bool
	// Seats has version zero if the object does not exist.
	Seats model.Seats
}

// SeatsWritten is the result of a WriteSeats.
type SeatsWritten struct {
	Service model.ServiceName
	Result  model.WriteResult
	// Version is the object version after an accepted write.
	Version uint64
}

// PlatformContactReported is a peer's report of the latest time at which any
// host known to it reached the platform. Peers forward the latest such time.
type PlatformContactReported struct {
	From model.HostID
	// ContactAt is a time of the local clock; zero if the peer knows of no such
	// time.
	ContactAt time.Time
	// ProbeSentAt is when this host sent the probe that the report answers;
	// zero for an unsolicited report, whose age is unknown.
	ProbeSentAt time.Time
}

// ReleaseRequested releases all seats at once. The caller must have checked
// that no request is in flight.
type ReleaseRequested struct{}

func (MembersChanged) event()          {}
func (SettingsChanged) event()         {}
func (IndexesChanged) event()          {}
func (SeatsRead) event()               {}
func (SeatsWritten) event()            {}
func (PlatformContactReported) event() {}
func (ReleaseRequested) event()        {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// ReadSeats reads the seats of a service. The caller must report the result as
// SeatsRead.
type ReadSeats struct{ Service model.ServiceName }

// WriteSeats replaces the seats of a service if the object still has the
// version in Seats. The caller must report the result as SeatsWritten.
type WriteSeats struct{ Seats model.Seats }

// Assigned is the new view after a change. The maps must not be modified.
type Assigned struct {
	// Addresses holds the entry hosts of each service, most preferred first.
	Addresses map[model.ServiceName][]model.EntryAddress
	// Owned holds the services for which this host holds a seat.
	Owned map[model.ServiceName]Owned
	// Holders holds, for each service that is assigned to this host but of
	// which it has no seat yet, the hosts with a seat, sorted by ID.
	Holders map[model.ServiceName][]model.HostID
}

// Owned is the share of a service that this host's seat grants.
type Owned struct {
	// Slots is the maximum number of concurrent requests to one searcher.
	Slots int
	// Connections is the maximum number of connections to one searcher.
	Connections int
	// Until is when the grant ends by the local clock, unless a later Assigned
	// extends it. As the process may have been paused, compare it with the
	// clock before each use of a connection.
	Until time.Time
}

// Released reports that all seats were released after ReleaseRequested.
type Released struct{}

func (ReadSeats) command()  {}
func (WriteSeats) command() {}
func (Assigned) command()   {}
func (Released) command()   {}
