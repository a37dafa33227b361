package model

import "time"

// Registration is what a searcher says of itself to the platform.
type Registration struct {
	Searcher Searcher
	Service  ServiceName
	// Born is the start of the searcher in Unix milliseconds. A searcher that
	// starts again under its id has another one and knows nothing of before.
	Born int64
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

// Same reports whether two registrations are of one start of one searcher.
func (r Registration) Same(o Registration) bool {
	return r.Searcher.ID == o.Searcher.ID && r.Born == o.Born &&
		r.Searcher.Address == o.Searcher.Address && r.Service == o.Service
}

// WithLeaving returns the registration of a searcher that must get no new work.
func (r Registration) WithLeaving(leaving bool) Registration {
	r.Searcher = r.Searcher.WithLeaving(leaving)
	return r
}

// Fleet is an immutable list of registrations as of a revision of the platform.
type Fleet struct {
	Revision      uint64
	Registrations []Registration
}
