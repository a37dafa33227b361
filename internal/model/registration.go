package model

import "time"

// Registration is the entry that a searcher writes about itself to the platform.
type Registration struct {
	Searcher Searcher
	Service  ServiceName
	// StartMillis is the start time of the searcher in Unix milliseconds. It
	// differs after a restart under the same ID, which loses all earlier state.
	StartMillis int64
	// Sequence counts the writes of the entry since that start; zero if unknown. The
	// store may carry out an earlier write after a later one.
	Sequence uint64
	// WarmUp is the remaining warm-up time at registration, during which the
	// searcher is slow.
	WarmUp time.Duration
	// Revision is the platform revision at which the entry was last written.
	Revision uint64
	// Lapsed reports whether the entry was missing after an outage of the
	// platform and may come back. It is not shared with other hosts.
	Lapsed bool
}

// WithLapsed returns a copy of the registration with Lapsed set or cleared.
func (r Registration) WithLapsed(lapsed bool) Registration {
	r.Lapsed = lapsed
	return r
}

// SameStart reports whether two registrations belong to the same start of the
// same searcher.
func (r Registration) SameStart(o Registration) bool {
	return r.Searcher.ID == o.Searcher.ID && r.StartMillis == o.StartMillis &&
		r.Searcher.Address == o.Searcher.Address && r.Service == o.Service
}

// WithSequence returns a copy of the registration with the given sequence.
func (r Registration) WithSequence(n uint64) Registration {
	r.Sequence = n
	return r
}

// WrittenBefore reports whether the searcher wrote the registration before the given
// write of the same start.
func (r Registration) WrittenBefore(startMillis int64, sequence uint64) bool {
	return r.StartMillis != 0 && r.StartMillis == startMillis && r.Sequence != 0 && r.Sequence < sequence
}

// WithLeaving returns a copy of the registration whose searcher has Leaving set
// or cleared.
func (r Registration) WithLeaving(leaving bool) Registration {
	r.Searcher = r.Searcher.WithLeaving(leaving)
	return r
}

// Removal records that the entry of a searcher was absent at a platform revision.
type Removal struct {
	Searcher SearcherID
	Revision uint64
	// StartMillis and Sequence are those of the last registration that this host held;
	// they are not shared with other hosts.
	StartMillis int64
	Sequence    uint64
}

// Fleet is an immutable list of registrations at a platform revision.
type Fleet struct {
	Revision      uint64
	Registrations []Registration
	// Hash covers all registrations that have not lapsed.
	Hash uint64
	// Removed lists recent removals. It is complete from revision RemovedSince on.
	Removed      []Removal
	RemovedSince uint64
}

// ChangesSince returns the changes after a revision. It reports false if the
// revision is zero or the recorded removals do not reach back that far.
func (f Fleet) ChangesSince(revision uint64) (Fleet, bool) {
	if revision == 0 || f.RemovedSince == 0 || revision < f.RemovedSince {
		return Fleet{}, false
	}
	changed := Fleet{Revision: f.Revision, Hash: f.Hash}
	for _, r := range f.Registrations {
		if r.Revision > revision {
			changed.Registrations = append(changed.Registrations, r)
		}
	}
	for _, r := range f.Removed {
		if r.Revision > revision {
			changed.Removed = append(changed.Removed, r)
		}
	}
	return changed, true
}
