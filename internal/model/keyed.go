package model

import (
	"slices"
	"time"
)

// KeyedRequest is a non-idempotent request with an idempotency key. It runs at
// most once for each combination of key, service and account.
type KeyedRequest struct {
	// ID is unique across all hosts and their restarts.
	ID      RequestID
	Account ClientAccount
	Service ServiceName
	// Key is the idempotency key chosen by the caller.
	Key string
	// Issued is the time at which the caller issued the key, truncated to
	// milliseconds.
	Issued time.Time
	Body   []byte
	// Deadline is the time by which the entry host must have the answer.
	Deadline time.Time
}

// NewKeyedRequest returns a request without body and deadline.
func NewKeyedRequest(id RequestID, account ClientAccount, service ServiceName, key string, issued time.Time) KeyedRequest {
	return KeyedRequest{ID: id, Account: account, Service: service, Key: key, Issued: issued.Truncate(time.Millisecond)}
}

// WithBody returns a copy of the request with a copy of the given body.
func (r KeyedRequest) WithBody(body []byte) KeyedRequest {
	r.Body = slices.Clone(body)
	return r
}

// WithDeadline returns a copy of the request with the given deadline.
func (r KeyedRequest) WithDeadline(deadline time.Time) KeyedRequest {
	r.Deadline = deadline
	return r
}

// KeyedAnswer is the result of a keyed request, or a refusal.
type KeyedAnswer struct {
	Request RequestID
	Result  []byte
	// Repeated reports whether the result was recorded for an earlier request
	// with the same key.
	Repeated bool
	Revision Revision
	// Refusal is nil unless the request was refused.
	Refusal *Refusal
}

// NewKeyedResult returns the answer of a request that ran.
func NewKeyedResult(id RequestID, result []byte) KeyedAnswer {
	return KeyedAnswer{Request: id, Result: slices.Clone(result)}
}

// NewKeyedRefusal returns the answer of a refused request.
func NewKeyedRefusal(id RequestID, r Refusal) KeyedAnswer {
	return KeyedAnswer{Request: id, Refusal: &r}
}

// WithRepeated returns a copy of the answer with Repeated set or cleared.
func (a KeyedAnswer) WithRepeated(repeated bool) KeyedAnswer {
	a.Repeated = repeated
	return a
}

// WithRevision returns a copy of the answer with the given settings revision.
func (a KeyedAnswer) WithRevision(r Revision) KeyedAnswer {
	a.Revision = r
	return a
}
