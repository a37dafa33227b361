package model

import "fmt"

// Execution tells whether a refused request ran.
type Execution uint8

// Executions of a refused request.
const (
	// MayHaveRun is the zero value, so that NotRun is always stated on purpose.
	MayHaveRun Execution = iota
	NotRun
)

// String returns the name used in logs and JSON.
func (e Execution) String() string {
	return [...]string{"mayHaveRun", "notRun"}[e]
}

// Reason is why a request was refused.
type Reason string

// Refusal reasons; each has a counter.
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
	// ReasonSearcherFailed is a request whose calls were lost, refused or failed.
	ReasonSearcherFailed Reason = "searcherFailed"
	// ReasonRetryBudget is a request that the retry budget allowed no further call.
	ReasonRetryBudget Reason = "retryBudget"
)

// Refusal is why a request was refused and whether it ran. It is an error.
type Refusal struct {
	Reason    Reason
	Execution Execution
	// Detail is a sentence for a person.
	Detail string
	// Alternatives names entry hosts to use in place of this one.
	Alternatives []EntryAddress
}

// NewRefusal returns a refusal of a request that did not run.
func NewRefusal(reason Reason, format string, args ...any) Refusal {
	return Refusal{Reason: reason, Execution: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// WithExecution returns the refusal with another execution.
func (r Refusal) WithExecution(e Execution) Refusal {
	r.Execution = e
	return r
}

// WithAlternatives returns the refusal with entry hosts to use in place of this one.
func (r Refusal) WithAlternatives(alternatives []EntryAddress) Refusal {
	r.Alternatives = alternatives
	return r
}

// Error returns reason, execution and detail.
func (r Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Reason, r.Execution, r.Detail)
}

// MissingReason is why a part of the snapshot was not searched.
type MissingReason string

// Reasons for missing parts.
const (
	MissingNoReplica   MissingReason = "noReplica"
	MissingLost        MissingReason = "lost"
	MissingRefused     MissingReason = "refused"
	MissingDeadline    MissingReason = "deadline"
	MissingVersionGone MissingReason = "versionGone"
	MissingCutOff      MissingReason = "cutOff"
	MissingSuspect     MissingReason = "suspect"
	MissingRetryBudget MissingReason = "retryBudget"
)

// RetryReason is why a call is sent again to another replica.
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

// DropReason is why a reply of a searcher was not used.
type DropReason string

// Drop reasons; each has a counter.
const (
	DropLate         DropReason = "late"
	DropCrossed      DropReason = "crossed"
	DropDuplicate    DropReason = "duplicate"
	DropTruncated    DropReason = "truncated"
	DropWrongVersion DropReason = "wrongVersion"
)

// Failure is how a call to a searcher failed, as far as the caller can tell.
type Failure uint8

// Failures of a call. Only those for which NotStarted holds prove that the
// searcher did not run the request.
const (
	// FailureLost is a connection lost after any byte of the request was written.
	FailureLost Failure = iota
	// FailureConnect is a connection that was never made.
	FailureConnect
	// FailureUnsent is a connection lost before any byte of the request was written.
	FailureUnsent
	// FailureShed is a searcher that refused for lack of capacity.
	FailureShed
	// FailureDraining is a searcher that takes no new work.
	FailureDraining
	// FailureVersionGone is a searcher that does not hold the index version.
	FailureVersionGone
	// FailureDeadline is a call that ran out of time.
	FailureDeadline
	// FailureCancelled is a call that we cancelled.
	FailureCancelled
	// FailureRejected is a searcher that found the request invalid.
	FailureRejected
	// FailureTruncated is a reply whose message was incomplete.
	FailureTruncated
)

// String returns the name used in logs.
func (f Failure) String() string {
	return [...]string{
		"lost", "connectFailed", "unsent", "shed", "draining", "versionGone",
		"deadline", "cancelled", "rejected", "truncated",
	}[f]
}
