package model

import "time"

// Registration is what a searcher says of itself to the platform.
type Registration struct {
	Searcher Searcher
	Service  ServiceName
	// StartMillis is the start of the searcher in Unix milliseconds. A searcher that
	// starts again under its id has another one and knows nothing of before.
	StartMillis int64
	// WarmUp is how long the searcher was still slow when it registered.
	WarmUp time.Duration
	// Revision is the platform's revision of the entry.
	Revision uint64
	// Lapsed is set if the entry is missing after an outage of the platform and
	// may come back. Other hosts are not told of it.
	Lapsed bool
}

// WithLapsed returns the registration marked as missing or not.
func (r Registration) WithLapsed(lapsed bool) Registration {
	r.Lapsed = lapsed
	return r
}

// SameStart reports whether two registrations are of one start of one searcher.
func (r Registration) SameStart(o Registration) bool {
	return r.Searcher.ID == o.Searcher.ID && r.StartMillis == o.StartMillis &&
		r.Searcher.Address == o.Searcher.Address && r.Service == o.Service
}

// WithLeaving returns the registration of a searcher that must get no new work.
func (r Registration) WithLeaving(leaving bool) Registration {
	r.Searcher = r.Searcher.WithLeaving(leaving)
	return r
}

// Removal is a searcher whose entry was gone as of a revision of the platform.
type Removal struct {
	Searcher SearcherID
	Revision uint64
}

// Fleet is an immutable list of registrations as of a revision of the platform.
type Fleet struct {
	Revision      uint64
	Registrations []Registration
	// Hash stands for all registrations that have not lapsed.
	Hash uint64
	// Removed holds the latest removals; it is complete from revision Logged on.
	Removed      []Removal
	RemovedSince uint64
}

// ChangesSince returns only what changed after a revision, and whether that is known.
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
