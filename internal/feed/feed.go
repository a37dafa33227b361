// Package feed maintains a host's copy of the configuration and of the searcher
// list. It reads both from the platform's store, watches the store for changes,
// and pulls from peers while the store is unavailable.
//
// The configuration version never decreases within a process. A searcher whose
// entry is missing after a store outage is kept for a grace period, in which it
// can register again.
//
// # Usage
//
//	w := feed.NewWorld()
//	for _, c := range w.Tick(now, events) {
//		// read and watch topics, pull from peers, adopt the catalog
//	}
//
// The world does no I/O. The caller performs its commands: each Read or Watch
// must be answered by exactly one Result, and each PullFrom by exactly one
// Pulled or PullFailed.
package feed

import (
	"time"

	"toucanpulley.example/internal/model"
)

// Topic is a kind of data that the store holds.
type Topic uint8

// Topics.
const (
	Configuration Topic = iota
	Searchers
	Hosts
)

// String returns the name used in logs.
func (t Topic) String() string { return [...]string{"configuration", "searchers", "hosts"}[t] }

// Change is a change to one searcher's entry.
type Change struct {
	Registration model.Registration
	// Removed is set if the entry is no longer there.
	Removed bool
}

// Digest summarizes the data that a host holds. Of two hosts that compare
// digests, the one that is behind pulls.
type Digest struct {
	Version model.Revision
	// FleetRevision is the store revision of the latest searcher change, and
	// FleetHash a hash over all searchers.
	FleetRevision uint64
	FleetHash     uint64
	// Age is the time since all data was last known to be current, or AgeUnknown.
	Age time.Duration
}

// AgeUnknown is the age of data that was never compared with the store.
const AgeUnknown time.Duration = -1

// Catalog is the data that one host sends to another.
type Catalog struct {
	Configuration model.Configuration
	// Fleet holds all searchers, or only the changes after revision Since if
	// Since is not zero. Its Hash covers all searchers in either case.
	Fleet model.Fleet
	Since uint64
}

// Event is an input of a tick.
type Event interface{ event() }

// Result is the outcome of a Read or Watch.
type Result struct {
	Topic Topic
	// CallID is copied from the command. Results of earlier calls are ignored.
	CallID uint64
	// Event is a ConfigurationRead, FleetRead, FleetChanged, HostsRead or Failed.
	Event Event
}

// ConfigurationRead is the configuration as of a revision of the store. Known
// is false if the store holds none.
type ConfigurationRead struct {
	Known         bool
	Configuration model.Configuration
	AsOf          uint64
}

// FleetRead is a full list of searchers.
type FleetRead struct {
	Registrations []model.Registration
	AsOf          uint64
}

// FleetChanged holds the changes that a watch returned; none if it timed out.
type FleetChanged struct {
	Changes []Change
	AsOf    uint64
}

// HostsRead is the first page of the list of entry hosts that have announced
// themselves. A page is enough to find a first peer, and its size does not grow with
// the fleet.
type HostsRead struct{ Hosts []model.Host }

// Failed is a read or watch that returned no data.
type Failed struct {
	// HistoryLost is set if the store no longer has the requested changes.
	HistoryLost bool
	// StartedAt is the time at which the call started.
	StartedAt time.Time
	Cause     string
}

// DigestReceived is a digest received from a peer.
type DigestReceived struct {
	Peer   model.Host
	Digest Digest
}

// Pulled is a catalog pulled from a peer.
type Pulled struct {
	Peer    model.Host
	Catalog Catalog
}

// PullFailed is a pull that returned no catalog.
type PullFailed struct{ Peer model.HostID }

// RoleAssigned reports whether this host watches the store itself, whether it knows its
// peers, and whether some of them do not watch and rely on those that do.
type RoleAssigned struct{ Watch, Joined, Followed bool }

// AnnounceDone is the result of Announce.
type AnnounceDone struct{ Failed bool }

// Resumed reports that the process was paused, so its data may be stale.
type Resumed struct{}

func (Result) event()            {}
func (ConfigurationRead) event() {}
func (FleetRead) event()         {}
func (FleetChanged) event()      {}
func (HostsRead) event()         {}
func (Failed) event()            {}
func (DigestReceived) event()    {}
func (Pulled) event()            {}
func (PullFailed) event()        {}
func (RoleAssigned) event()      {}
func (AnnounceDone) event()      {}
func (Resumed) event()           {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// Read reads a topic in full, or the first page of the hosts.
type Read struct {
	Topic  Topic
	CallID uint64
	// StaleAllowed is set if the data may be some seconds old, which costs less.
	StaleAllowed bool
}

// Watch waits for changes to a topic after a revision, for at most Wait.
type Watch struct {
	Topic  Topic
	CallID uint64
	After  uint64
	Wait   time.Duration
}

// PullFrom requests the catalog of a peer. Version is the configuration version
// that this host already holds, which the peer can omit. FleetRevision is the
// revision after which searcher changes are requested; zero requests all
// searchers.
type PullFrom struct {
	Peer          model.Host
	Version       model.Revision
	FleetRevision uint64
}

// Adopt replaces the catalog in use. The caller should push the new digest to
// peers.
type Adopt struct{ Catalog Catalog }

// AddContacts adds entry hosts that the membership can contact to join.
type AddContacts struct{ Hosts []model.Host }

// PushDigest pushes the digest to a few peers, so that hosts that do not watch
// the store know that their data is current.
type PushDigest struct{}

// Announce adds this host to the store's list of entry hosts, through which other
// hosts find their first peer. AnnounceDone reports the result.
type Announce struct{}

// LogLine is a log message; Fields holds alternating keys and values.
type LogLine struct {
	Message string
	Warn    bool
	Fields  []any
}

func (Read) command()        {}
func (Watch) command()       {}
func (PullFrom) command()    {}
func (Adopt) command()       {}
func (AddContacts) command() {}
func (PushDigest) command()  {}
func (Announce) command()    {}
func (LogLine) command()     {}
