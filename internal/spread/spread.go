// Package spread distributes settings and index objects to all hosts and decides
// which revision is in force on a host. A few hosts of each failure domain,
// chosen by rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings
// to increase hit rates", IEEE/ACM ToN 1998), watch the platform. A host that
// receives a higher revision pushes its digest to a few peers, which pull the
// changes from the sender. Digests on probes repair lost pushes (Demers et al.,
// "Epidemic algorithms for replicated database maintenance", PODC 1987).
//
// # Usage
//
//	w := spread.NewWorld(self)
//	for _, c := range w.Tick(now, events) {
//		// watch or read the platform, pull from and push to peers
//	}
//
// A lower revision never replaces a higher one. The caller performs ReadPlatform
// and PullFrom and reports ObjectsLoaded or LoadFailed.
package spread

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// Digest summarizes the bundle of a host. A host pulls from a peer whose digest
// exceeds its own.
type Digest struct {
	Revision model.Revision
	// IndexVersion is the version up to which the index objects are complete.
	IndexVersion uint64
	// LeavingStamp is the stamp of the list of leaving hosts and searchers.
	LeavingStamp uint64
	// PlatformAge is the time in milliseconds since the platform answered any
	// call, and SettingsAge the time since it answered a read or watch of the
	// settings; -1 if it never did.
	PlatformAge int64
	SettingsAge int64
	// FleetAge is the time in milliseconds since the platform answered any host
	// known to this one; -1 if it never did.
	FleetAge int64
	// Ready is set if the sender serves callers.
	Ready bool
}

// Exceeds reports whether d has something that other lacks.
func (d Digest) Exceeds(other Digest) bool {
	return d.Revision > other.Revision || d.IndexVersion > other.IndexVersion || d.LeavingStamp > other.LeavingStamp
}

// Covers reports whether d has everything that other has.
func (d Digest) Covers(other Digest) bool { return !other.Exceeds(d) }

// LeavingList lists the hosts and searchers that are marked as leaving in the
// platform's host list. A list with a higher stamp replaces one with a lower
// stamp.
type LeavingList struct {
	Stamp     uint64
	Hosts     []model.HostID
	Searchers []model.SearcherID
}

// union returns the sorted names of both lists.
func (l LeavingList) union(other LeavingList) LeavingList {
	return LeavingList{
		Hosts:     slices.Compact(slices.Sorted(slices.Values(slices.Concat(l.Hosts, other.Hosts)))),
		Searchers: slices.Compact(slices.Sorted(slices.Values(slices.Concat(l.Searchers, other.Searchers)))),
	}
}

// Event is an input of a tick.
type Event interface{ event() }

// MembersChanged lists members whose rows changed and members that were
// removed.
type MembersChanged struct {
	Members []model.Member
	Removed []model.HostID
	// Joined is set once a peer has sent its full state.
	Joined bool
}

// ContactsKnown supplies hosts from the host list, which may not be members
// yet, and the number of other addresses for first contact.
type ContactsKnown struct {
	Hosts     []model.Host
	SeedCount int
}

// DigestReceived is the digest of a peer, from a push or a probe.
type DigestReceived struct {
	From   model.HostID
	Digest Digest
}

// ObjectsLoaded contains the objects that the platform or a peer sent.
type ObjectsLoaded struct {
	// From is the peer; empty for the platform.
	From model.HostID
	// StartedAt is that of the PullFrom or ReadPlatform; zero for a watch. It
	// identifies answers to requests from before a pause of this process.
	StartedAt time.Time
	// Bundle contains at least the bundle in force when the load started. Tree is
	// built from its settings.
	Bundle Bundle
	Tree   tree.Tree
	// Digest is that of the peer.
	Digest Digest
}

// LoadFailed reports a failed PullFrom or, if From is empty, a failed
// ReadPlatform.
type LoadFailed struct {
	From   model.HostID
	Reason string
}

// PlatformAnswered reports that the platform answered a call.
type PlatformAnswered struct {
	// Settings is set if the call was a read or watch of the settings and all
	// its results have already been reported.
	Settings bool
	// StartedAt is when a call for the settings started, which bounds the age of
	// its result. The answer may have been queued during a pause of this process.
	StartedAt time.Time
}

// LeavingRead is the leaving list that this host read from the platform.
type LeavingRead struct{ Leaving LeavingList }

// Suspended reports that peers marked this host as failed or that its process
// was paused. Its bundle must be compared with others before it serves again.
type Suspended struct{ Reason string }

func (MembersChanged) event()   {}
func (ContactsKnown) event()    {}
func (DigestReceived) event()   {}
func (ObjectsLoaded) event()    {}
func (LoadFailed) event()       {}
func (PlatformAnswered) event() {}
func (LeavingRead) event()      {}
func (Suspended) event()        {}

// Command is an action for the caller to perform after a tick.
type Command interface{ command() }

// Watch starts a watch of the platform's settings, index objects and host list.
type Watch struct{}

// Unwatch ends the watch.
type Unwatch struct{}

// ReadPlatform reads settings, index objects and host list once.
type ReadPlatform struct{ StartedAt time.Time }

// PullFrom requests from a peer what is missing in the bundle in force.
type PullFrom struct {
	Peer      model.Host
	StartedAt time.Time
}

// PushTo sends the digest of this host to a peer.
type PushTo struct{ Peer model.Host }

// Adopt puts a bundle in force.
type Adopt struct {
	Bundle Bundle
	Tree   tree.Tree
	// Settings is set if the settings changed, not only index objects.
	Settings bool
}

// Ready reports whether this host may serve callers, and the reason if not.
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
