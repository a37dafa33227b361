package client

import (
	"time"

	"toucanpulley.example/internal/model"
)

// requestID identifies a request within one client.
type requestID uint64

// kind is the kind of a request. It decides whether the request is hedged, and
// whether it is retried if it may have run.
type kind uint8

const (
	// kindSearch is a search, which is idempotent.
	kindSearch kind = iota
	// kindKeyedSend is a send with an idempotency key; hosts run it at most once
	// per key.
	kindKeyedSend
	// kindSend is a send without an idempotency key.
	kindSend
)

// step returns the value of Error.Step.
func (k kind) step() string {
	if k == kindSearch {
		return "search"
	}
	return "send"
}

// event is an input of the world; it is handled in the next tick.
type event interface{ event() }

// submitted reports a new request.
type submitted struct {
	id       requestID
	kind     kind
	service  string
	deadline time.Time
}

// addressesReceived reports an address list of a service.
type addressesReceived struct {
	service string
	hosts   []model.EntryAddress
	ttl     time.Duration
}

// addressesFailed reports a failed call for addresses.
type addressesFailed struct {
	service string
	failure failure
}

// attemptReplied reports an attempt that returned a reply.
type attemptReplied struct {
	id    requestID
	host  model.EntryAddress
	reply any
}

// attemptFailed reports an attempt that ended without a reply.
type attemptFailed struct {
	id      requestID
	host    model.EntryAddress
	failure failure
}

// callerCancelled reports that the caller cancelled a request.
type callerCancelled struct{ id requestID }

func (submitted) event()         {}
func (addressesReceived) event() {}
func (addressesFailed) event()   {}
func (attemptReplied) event()    {}
func (attemptFailed) event()     {}
func (callerCancelled) event()   {}

// failure describes a failed call to an entry host.
type failure struct {
	peer   string
	reason string
	detail string
	// notRun is set if the request is known not to have run.
	notRun bool
	// alternatives are the hosts to which the refusing host redirects the request.
	alternatives []model.EntryAddress
}

// command is an output of the world; the client carries it out after the tick.
type command interface{ command() }

// fetchAddresses requests the addresses of a service from an entry host.
type fetchAddresses struct {
	service string
	address model.Address
}

// attempt sends a request to one entry host.
type attempt struct {
	id   requestID
	host model.EntryAddress
}

// completion returns the outcome of a request to its caller. It is emitted exactly
// once per request.
type completion struct {
	id    requestID
	reply any
	err   *Error
}

func (fetchAddresses) command() {}
func (attempt) command()        {}
func (completion) command()     {}
