package model

import "fmt"

// Execution reports whether a refused request may have run on a searcher.
type Execution uint8

// Execution states of a refused request.
const (
	// MayHaveRun is the zero value, so that NotRun must be set explicitly.
	MayHaveRun Execution = iota
	NotRun
)

// String returns the name used in logs and JSON.
func (e Execution) String() string {
	return [...]string{"mayHaveRun", "notRun"}[e]
}

// Reason is the reason why a request was refused.
type Reason string

// Refusal reasons; each has a counter. docs/operations.md describes them.
const (
	ReasonBadRequest       Reason = "badRequest"
	ReasonUnauthenticated  Reason = "unauthenticated"
	ReasonUnknownService   Reason = "unknownService"
	ReasonUnknownScope     Reason = "unknownScope"
	ReasonAccountLimit     Reason = "accountLimit"
	ReasonQueueFull        Reason = "queueFull"
	ReasonDeadlineTooShort Reason = "deadlineTooShort"
	ReasonDeadlineExpired  Reason = "deadlineExpired"
	ReasonCallerCancelled  Reason = "callerCancelled"
	ReasonDraining         Reason = "draining"
	ReasonNotReady         Reason = "notReady"
	ReasonQuarantined      Reason = "quarantined"
	ReasonNoSnapshot       Reason = "noSnapshot"
	ReasonNoReplica        Reason = "noReplica"
	ReasonKeyMissing       Reason = "keyMissing"
	ReasonKeyOutsideWindow Reason = "keyOutsideWindow"
	ReasonClaimHeld        Reason = "claimHeld"
	ReasonPlatformDown     Reason = "platformDown"
	ReasonOutcomeUnknown   Reason = "outcomeUnknown"
	ReasonTooLarge         Reason = "tooLarge"
	// ReasonRequestMemory is used if the request was cut off while it arrived, because all
	// requests together took too much memory.
	ReasonRequestMemory Reason = "requestMemory"
	// ReasonBodyTimeout is used if the body did not arrive in time.
	ReasonBodyTimeout Reason = "bodyTimeout"
	// ReasonSearcherFailed is used if all calls of the request were lost,
	// refused or failed.
	ReasonSearcherFailed Reason = "searcherFailed"
	// ReasonRetryBudget is used if the retry budget allowed no further call.
	ReasonRetryBudget Reason = "retryBudget"
	// ReasonRestricted is used if the searchers have asked this host to send fewer
	// requests, or none for a while.
	ReasonRestricted Reason = "restricted"
)

// Refusal is the error of a refused request.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// Detail is a human-readable explanation.
	Detail string
	// Alternatives lists entry hosts that the caller can use instead of this one.
	Alternatives []EntryAddress
}

// NewRefusal returns a refusal of a request that has not run.
func NewRefusal(reason Reason, format string, args ...any) Refusal {
	return Refusal{Reason: reason, Execution: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// WithExecution returns a copy of the refusal with the given execution state.
func (r Refusal) WithExecution(e Execution) Refusal {
	r.Execution = e
	return r
}

// WithAlternatives returns a copy of the refusal with the given alternative entry
// hosts.
func (r Refusal) WithAlternatives(alternatives []EntryAddress) Refusal {
	r.Alternatives = alternatives
	return r
}

// Error returns reason, execution state and detail.
func (r Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Execution, r.Detail)
}

// MissingReason is the reason why a part of the snapshot was not searched.
type MissingReason string

// Reasons for missing parts.
const (
	// MissingNoReplica means that no searcher could be called.
	MissingNoReplica MissingReason = "noReplica"
	// MissingLost means that the last call failed without a valid reply.
	MissingLost MissingReason = "lost"
	// MissingRefused means that the last searcher returned a refusal or an error.
	MissingRefused MissingReason = "refused"
	// MissingDeadline means that the deadline passed first.
	MissingDeadline MissingReason = "deadline"
	// MissingVersionGone means that no replica holds the index version.
	MissingVersionGone MissingReason = "versionGone"
	// MissingCutOff means that the answer was sent without waiting for the part.
	MissingCutOff MissingReason = "requestMemory"
	// MissingSuspect means that the request may crash searchers, so that no further
	// call was sent.
	MissingSuspect MissingReason = "suspect"
	// MissingRetryBudget means that the retry budget allowed no further call.
	MissingRetryBudget MissingReason = "retryBudget"
	// MissingRestricted means that the searchers take no call of this host for now.
	MissingRestricted MissingReason = "restricted"
)

// RetryReason is the reason why a call is retried on another replica.
type RetryReason string

// Retry reasons; each has a counter.
const (
	RetryShed          RetryReason = "shed"
	RetryDraining      RetryReason = "draining"
	RetryLost          RetryReason = "lost"
	RetryConnectFailed RetryReason = "connectFailed"
	RetryVersionGone   RetryReason = "versionGone"
	RetryTruncated     RetryReason = "truncated"
)

// DropReason is the reason why a reply of a searcher was discarded.
type DropReason string

// Drop reasons; each has a counter.
const (
	// DropLate means that the call, its part or its request had already ended.
	DropLate DropReason = "late"
	// DropCrossed means that the reply belongs to another call, or contains a record
	// of another shard.
	DropCrossed DropReason = "crossed"
	// DropDuplicate means that another reply was already used for the part.
	DropDuplicate DropReason = "duplicate"
	// DropTruncated means that the hits do not match the reported count, the number
	// of matches or the checksum.
	DropTruncated DropReason = "truncated"
	// DropWrongVersion means that another index version was searched.
	DropWrongVersion DropReason = "wrongVersion"
)

// Failure is the kind of a failed call to a searcher, as observed by the entry
// host.
type Failure uint8

// Failures of a call. Only those for which NotStarted holds prove that the
// searcher did not run the request.
const (
	// FailureLost means that the connection was lost after at least one byte of
	// the request had been written.
	FailureLost Failure = iota
	// FailureConnect means that no connection could be established.
	FailureConnect
	// FailureUnsent means that the connection was lost before any byte of the
	// request was written.
	FailureUnsent
	// FailureShed means that the searcher refused the call for lack of capacity.
	FailureShed
	// FailureDraining means that the searcher accepts no new requests.
	FailureDraining
	// FailureVersionGone means that the searcher does not hold the index version.
	FailureVersionGone
	// FailureDeadline means that the deadline of the call expired.
	FailureDeadline
	// FailureCancelled means that the entry host cancelled the call.
	FailureCancelled
	// FailureRejected means that the searcher rejected the request as invalid.
	FailureRejected
	// FailureTruncated means that the message of the reply was incomplete.
	FailureTruncated
	// FailureDelegate means that the host to which the call was delegated did not take
	// it or did not confirm it.
	FailureDelegate
)

// String returns the name used in logs.
func (f Failure) String() string {
	return [...]string{
		"lost", "connectFailed", "unsent", "shed", "draining", "versionGone",
		"deadline", "cancelled", "rejected", "truncated", "delegate",
	}[f]
}
