package client

import (
	"time"

	"toucanpulley.example/internal/model"
)

// requestID names a request of this client.
type requestID uint64

// kind tells what may be done again.
type kind uint8

const (
	// kindSearch is idempotent.
	kindSearch kind = iota
	// kindKeyedSend is a send with a key; hosts run it at most once for the key.
	kindKeyedSend
	// kindSend is a send without a key.
	kindSend
)

// step returns the step named in errors.
func (k kind) step() string {
	if k == kindSearch {
		return "search"
	}
	return "send"
}

// event is something that happened since the last tick.
type event interface{ event() }

// submitted is a new request.
type submitted struct {
	id       requestID
	kind     kind
	service  string
	deadline time.Time
}

// addressesReceived is an address answer.
type addressesReceived struct {
	service string
	hosts   []model.EntryAddress
	ttl     time.Duration
}

// addressesFailed is a host that gave no addresses.
type addressesFailed struct {
	service string
	failure failure
}

// attemptReplied is a request that succeeded.
type attemptReplied struct {
	id    requestID
	host  model.EntryAddress
	reply any
}

// attemptFailed is an attempt that ended without a reply.
type attemptFailed struct {
	id      requestID
	host    model.EntryAddress
	failure failure
}

// callerCancelled is a request whose caller went away.
type callerCancelled struct{ id requestID }

func (submitted) event()         {}
func (addressesReceived) event() {}
func (addressesFailed) event()   {}
func (attemptReplied) event()    {}
func (attemptFailed) event()     {}
func (callerCancelled) event()   {}

// failure is how a call to an entry host failed.
type failure struct {
	peer   string
	reason string
	detail string
	// notRun is set if it is proved that the request did not run.
	notRun bool
	// alternatives names hosts to use in place of the one that refused.
	alternatives []model.EntryAddress
}

// command is something to do after a tick.
type command interface{ command() }

// fetchAddresses asks an entry host for the addresses of a service.
type fetchAddresses struct {
	service string
	address model.Address
}

// attempt sends a request to an entry host.
type attempt struct {
	id   requestID
	host model.EntryAddress
}

// completion ends a request. It is emitted exactly once for each.
type completion struct {
	id    requestID
	reply any
	err   *Error
}

func (fetchAddresses) command() {}
func (attempt) command()        {}
func (completion) command()     {}
