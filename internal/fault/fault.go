// Package fault provides errors that record the step and the peer at which they
// occurred.
//
// # Usage
//
//	if err != nil {
//		return fault.Wrap(err, "search shard", searcher.Address)
//	}
//
// The step is a short verb phrase. The peer is the address or ID of the remote
// side, or empty if the error is local. Errors carry a stack trace from eris.
package fault

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Error is an error with the step and the peer at which it occurred.
type Error struct {
	// Step is the failed operation.
	Step string
	// Peer is the address or ID of the remote side; empty for a local step.
	Peer string

	cause error
}

// New returns an error with a formatted message for a step and peer.
func New(step, peer, format string, args ...any) error {
	return &Error{Step: step, Peer: peer, cause: eris.New(fmt.Sprintf(format, args...))}
}

// Wrap adds a step and peer to an error. It returns nil for a nil error.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, cause: eris.Wrap(err, step)}
}

// Error returns step, peer and cause as one line.
func (e *Error) Error() string {
	cause := eris.Unwrap(e.cause)
	if cause == nil {
		cause = e.cause
	}
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, cause)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Trace returns the error with its stack trace, for debug logs.
func Trace(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Error() + "\n" + eris.ToString(e.cause, true)
	}
	return eris.ToString(err, true)
}
