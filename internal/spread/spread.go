// Package spread decides which settings revision and index objects a host
// holds, and how they reach all hosts. A few hosts of each failure domain,
// chosen by rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings
// to increase hit rates", IEEE/ACM ToN 1998), watch the platform. A host that
// learns a higher revision pushes it to a few peers, which pull what changed
// from the sender; digests on probes repair lost pushes (Demers et al.,
// "Epidemic algorithms for replicated database maintenance", PODC 1987).
//
// # Usage
//
//	w := spread.NewWorld(self)
//	for _, c := range w.Tick(now, events) {
//		// watch or read the platform, pull from and push to peers
//	}
//
// A lower revision never replaces a higher one. Whoever carries out ReadPlatform
// or PullFrom reports ObjectsLoaded or LoadFailed.
package spread

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// Digest summarizes what a host holds; the side with less pulls.
type Digest struct {
	Revision model.Revision
	// Indexes is the highest object version of the index objects held; all
	// index objects up to it are held.
	Indexes uint64
	// Leaving is the stamp of the list of leaving hosts and searchers.
	Leaving uint64
	// PlatformAge is the time since the platform answered any call, and
	// SettingsAge since it answered a read or watch of the settings, in
	// milliseconds; -1 if it never did.
	PlatformAge int64
	SettingsAge int64
	// FleetAge is the time since the platform answered any host that this one
	// knows of, in milliseconds; -1 if it never did.
	FleetAge int64
	// Ready is set if the sender serves callers.
	Ready bool
}

// Exceeds reports whether d has something that other lacks.
func (d Digest) Exceeds(other Digest) bool {
	return d.Revision > other.Revision || d.Indexes > other.Indexes || d.Leaving > other.Leaving
}

// Covers reports whether d has everything that other has.
func (d Digest) Covers(other Digest) bool { return !other.Exceeds(d) }

// Leaving lists the hosts and searchers that the platform's host list names as
// leaving. A list with a higher stamp replaces one with a lower stamp.
type Leaving struct {
	Stamp     uint64
	Hosts     []model.HostID
	Searchers []model.SearcherID
}

// union returns the sorted names of both lists.
func (l Leaving) union(other Leaving) Leaving {
	return Leaving{
		Hosts:     slices.Compact(slices.Sorted(slices.Values(slices.Concat(l.Hosts, other.Hosts)))),
		Searchers: slices.Compact(slices.Sorted(slices.Values(slices.Concat(l.Searchers, other.Searchers)))),
	}
}

// Event is something that happened since the last tick.
type Event interface{ event() }

// MembersChanged lists members whose row changed or that were forgotten.
type MembersChanged struct {
	Members   []model.Member
	Forgotten []model.HostID
	// Joined is set once a peer has sent its full state.
	Joined bool
}

// ContactsKnown names hosts from the host list, which may not be members yet,
// and whether there are any other addresses for first contact.
type ContactsKnown struct {
	Hosts []model.Host
	Seeds int
}

// DigestReceived is the digest of a peer, from a push or a probe.
type DigestReceived struct {
	From   model.HostID
	Digest Digest
}

// ObjectsLoaded is what the platform or a peer sent.
type ObjectsLoaded struct {
	// From is the peer; empty for the platform.
	From model.HostID
	// Begun is that of the PullFrom or ReadPlatform; zero for a watch. It tells
	// an answer to an old question, which waited while this process was paused.
	Begun time.Time
	// Bundle holds at least what was held when the load began. Tree is that of
	// its settings.
	Bundle Bundle
	Tree   tree.Tree
	// Digest is that of the peer.
	Digest Digest
}

// LoadFailed is a PullFrom or, without a peer, a ReadPlatform that failed.
type LoadFailed struct {
	From   model.HostID
	Reason string
}

// PlatformAnswered tells that the platform answered a call.
type PlatformAnswered struct {
	// Settings is set if the call was a read or a watch of the settings and
	// everything it returned has been reported before.
	Settings bool
	// Begun is when a call for the settings began. What it returned is at least
	// that new; the answer itself may have waited while this process was paused.
	Begun time.Time
}

// LeavingRead is the content of the host list, as a watcher read it.
type LeavingRead struct{ Leaving Leaving }

// Suspended tells that this host was held as failed or its process was paused;
// what it holds must be compared with others before it serves again.
type Suspended struct{ Reason string }

func (MembersChanged) event()   {}
func (ContactsKnown) event()    {}
func (DigestReceived) event()   {}
func (ObjectsLoaded) event()    {}
func (LoadFailed) event()       {}
func (PlatformAnswered) event() {}
func (LeavingRead) event()      {}
func (Suspended) event()        {}

// Command is something to do after a tick.
type Command interface{ command() }

// Watch starts following the platform's settings, index objects and host list.
type Watch struct{}

// Unwatch stops following them.
type Unwatch struct{}

// ReadPlatform reads settings, index objects and host list once.
type ReadPlatform struct{ Begun time.Time }

// PullFrom asks a peer for what it holds beyond the bundle in force.
type PullFrom struct {
	Peer  model.Host
	Begun time.Time
}

// PushTo tells a peer what this host holds.
type PushTo struct{ Peer model.Host }

// Adopt puts a bundle in force.
type Adopt struct {
	Bundle Bundle
	Tree   tree.Tree
	// Settings is set if the settings changed, not only index objects.
	Settings bool
}

// Ready tells whether this host may serve callers, and why not.
type Ready struct {
	Ready  bool
	Reason string
}

func (Watch) command()        {}
func (Unwatch) command()      {}
func (ReadPlatform) command() {}
func (PullFrom) command()     {}
func (PushTo) command()       {}
func (Adopt) command()        {}
func (Ready) command()        {}
