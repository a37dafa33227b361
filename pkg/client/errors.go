package client

import "fmt"

// Execution says whether a failed request may have run.
type Execution uint8

// Executions of a failed request.
const (
	// MayHaveRun means that it is not known whether the request ran. It is the zero
	// value, so that NotRun must be set explicitly.
	MayHaveRun Execution = iota
	// NotRun means that nothing was sent, or that every host that received the
	// request reported that it did not run.
	NotRun
)

// String returns the name of the execution in error messages.
func (e Execution) String() string { return [...]string{"mayHaveRun", "notRun"}[e] }

// Failure reasons that the client sets itself. All others are refusal reasons of
// entry hosts, for example "queueFull".
const (
	// ReasonDeadline means that the deadline passed before a reply arrived.
	ReasonDeadline = "deadline"
	// ReasonNoAddresses means that no entry host returned addresses.
	ReasonNoAddresses = "noAddresses"
	// ReasonUnreachable means that the entry host could not be reached, so that
	// nothing of the request was sent.
	ReasonUnreachable = "unreachable"
	// ReasonLost means that the connection was lost after the request was sent.
	ReasonLost = "lost"
	// ReasonCancelled means that the caller cancelled the request.
	ReasonCancelled = "cancelled"
	// ReasonClosed means that the client was closed.
	ReasonClosed = "closed"
)

// Error describes a failed request.
type Error struct {
	// Step is the operation that failed.
	Step string
	// Peer is the address of the entry host; empty if none was involved.
	Peer string
	// Reason is a refusal reason of the entry host or a Reason constant of this
	// package.
	Reason    string
	Execution Execution
	// Detail describes the failure in plain text.
	Detail string
}

// Error returns step, peer, reason, execution and detail on one line.
func (e *Error) Error() string {
	peer := ""
	if e.Peer != "" {
		peer = " (peer " + e.Peer + ")"
	}
	return fmt.Sprintf("%s%s: %s (%s): %s", e.Step, peer, e.Reason, e.Execution, e.Detail)
}
