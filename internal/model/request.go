package model

import (
	"slices"
	"time"
)

// RequestID identifies a request of a caller.
type RequestID string

// Term is the condition that a field has a value.
type Term struct {
	Field string
	Value string
}

// Request is a search request received by an entry host.
type Request struct {
	ID      RequestID
	Account ClientAccount
	Service ServiceName
	Scope   ScopeName
	// Terms are the conditions that a record must all meet.
	Terms []Term
	// Limit is the maximum number of hits in the answer.
	Limit int
	// Deadline is the time by which the entry host must have the answer.
	Deadline time.Time
}

// NewRequest returns a request without scope, terms, limit and deadline.
func NewRequest(id RequestID, account ClientAccount, service ServiceName) Request {
	return Request{ID: id, Account: account, Service: service}
}

// WithScope returns a copy of the request in the given search scope.
func (r Request) WithScope(scope ScopeName) Request {
	r.Scope = scope
	return r
}

// WithTerms returns a copy of the request with the given terms.
func (r Request) WithTerms(terms ...Term) Request {
	r.Terms = slices.Clone(terms)
	return r
}

// WithLimit returns a copy of the request with the given limit.
func (r Request) WithLimit(limit int) Request {
	r.Limit = limit
	return r
}

// WithDeadline returns a copy of the request with the given deadline.
func (r Request) WithDeadline(deadline time.Time) Request {
	r.Deadline = deadline
	return r
}
