// Package feed keeps what a host believes of the configuration and of the
// searchers. It reads both from the platform's store, follows them by watches,
// and takes them from peers while the store is out of reach.
//
// A configuration never goes back to an older version within a process. A
// searcher whose entry is missing after an outage of the store is kept until the
// searchers had time to register again.
//
// # Usage
//
//	w := feed.NewWorld()
//	for _, c := range w.Tick(now, events) {
//		// read and watch topics, pull from peers, adopt beliefs
//	}
//
// The world does no I/O. Whoever carries out Read or Watch reports a Result, and
// whoever carries out PullFrom reports Pulled or PullFailed, once.
package feed

import (
	"time"

	"toucanpulley.example/internal/model"
)

// Topic is a kind of belief that the store holds.
type Topic uint8

// Topics.
const (
	Configuration Topic = iota
	Searchers
	Hosts
)

// String returns the name used in logs.
func (t Topic) String() string { return [...]string{"configuration", "searchers", "hosts"}[t] }

// Change is a change of one searcher's entry.
type Change struct {
	Registration model.Registration
	// Removed is set if the entry is no longer there.
	Removed bool
}

// Digest summarizes what a host believes; the side with less pulls.
type Digest struct {
	Version model.Revision
	// Fleet is the store's revision of the newest change of a searcher, and Hash
	// stands for all searchers.
	Fleet uint64
	Hash  uint64
	// Age is how long ago all of it was certainly current, or NeverCurrent.
	Age time.Duration
}

// AgeUnknown is the age of beliefs that were never compared with the store.
const AgeUnknown time.Duration = -1

// Catalog is what one host gives another.
type Catalog struct {
	Configuration model.Configuration
	// Fleet holds all searchers, or the changes after revision Since if that is
	// not zero. Its Hash stands for all of them.
	Fleet model.Fleet
	Since uint64
}

// Event is something that happened since the last tick.
type Event interface{ event() }

// Result is what came of a Read or Watch.
type Result struct {
	Topic Topic
	// CallID is that of the command. A result of an earlier turn is ignored.
	CallID uint64
	Event  Event
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

// FleetChanged are the changes that a watch brought, none if its time ran out.
type FleetChanged struct {
	Changes []Change
	AsOf    uint64
}

// HostsRead are the entry hosts that have announced themselves.
type HostsRead struct{ Hosts []model.Host }

// Failed is a read or watch without a result.
type Failed struct {
	// HistoryLost is set if the store no longer has the changes asked for.
	HistoryLost bool
	// Begun is when the call began.
	Begun time.Time
	Cause string
}

// PeerSeen is the digest of a peer.
type PeerSeen struct {
	Peer   model.Host
	Digest Digest
}

// Pulled is the catalog of a peer.
type Pulled struct {
	Peer    model.Host
	Catalog Catalog
}

// PullFailed is a pull without a result.
type PullFailed struct{ Peer model.HostID }

// RoleAssigned tells whether this host follows the store by itself and whether it
// knows its peers.
type RoleAssigned struct{ Watch, Joined bool }

// Resumed tells that the process was paused, so that beliefs may be old.
type Resumed struct{}

func (Result) event()            {}
func (ConfigurationRead) event() {}
func (FleetRead) event()         {}
func (FleetChanged) event()      {}
func (HostsRead) event()         {}
func (Failed) event()            {}
func (PeerSeen) event()          {}
func (Pulled) event()            {}
func (PullFailed) event()        {}
func (RoleAssigned) event()      {}
func (Resumed) event()           {}

// Command is something to do after a tick.
type Command interface{ command() }

// Read reads a topic in full.
type Read struct {
	Topic  Topic
	CallID uint64
}

// Watch waits for changes of a topic after a revision.
type Watch struct {
	Topic  Topic
	CallID uint64
	After  uint64
}

// PullFrom asks a peer for its catalog. Version is the configuration that this
// host holds, which need not be sent again, and Fleet the revision after which
// changes of searchers are wanted; zero for all searchers.
type PullFrom struct {
	Peer    model.Host
	Version model.Revision
	Fleet   uint64
}

// Adopt puts changed beliefs in force. Peers would want to know.
type Adopt struct{ Catalog Catalog }

// AddContacts names entry hosts for first contact.
type AddContacts struct{ Hosts []model.Host }

// PushDigest asks to push the digest to a few peers, so that hosts that do not follow
// the store know that their beliefs are current.
type PushDigest struct{}

// Announce makes this host known for first contact.
type Announce struct{}

// LogLine is a line for the log, as pairs of key and value.
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
