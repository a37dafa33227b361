package model

import "time"

// SearcherID identifies a searcher.
type SearcherID string

// Searcher is a backend server that runs queries on the shards it holds.
type Searcher struct {
	ID            SearcherID
	Address       Address
	FailureDomain FailureDomain
	// Slots is the number of requests that the searcher runs concurrently, for
	// all entry hosts together.
	Slots int
	// ConnectionCap is the number of connections that the searcher accepts from
	// all entry hosts together.
	ConnectionCap int
	// ConnectCost is the processing time that the searcher spends on a new
	// connection.
	ConnectCost time.Duration
	// Leaving reports whether the searcher must get no new requests.
	Leaving bool
}

// WithLeaving returns a copy of the searcher with Leaving set or cleared.
func (s Searcher) WithLeaving(leaving bool) Searcher {
	s.Leaving = leaving
	return s
}
