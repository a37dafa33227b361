package claim

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// phase is the processing state of a key on this host.
type phase uint8

const (
	// phaseUnclaimed: this host knows of no durable claim.
	phaseUnclaimed phase = iota
	// phasePolling: another request holds the claim, and this host reads the
	// partition until the claim has an outcome.
	phasePolling
	// phaseClaimed: the claim is durable. The request is dispatched or refused
	// in the same tick.
	phaseClaimed
	// phaseDispatched: the request was sent to a searcher.
	phaseDispatched
	// phaseRecording: the outcome is known but not yet confirmed to be durable.
	phaseRecording
	// phaseReleasing: the request did not run, and its claim may still be
	// durable.
	phaseReleasing
	// phaseFinished: the row is removed at the end of the tick.
	phaseFinished
)

// keyState is the component of a key that this host processes.
type keyState struct {
	// request is the only request of the key that may be dispatched; its ID is
	// the nonce of the claim.
	request   model.KeyedRequest
	bodyHash  uint64
	partition table.ID
	window    time.Duration
	// returnAllowance is the part of the time budget reserved for the response.
	returnAllowance time.Duration
	// deadline is the latest deadline of the waiting requests.
	deadline time.Time
	waiters  []table.ID

	phase phase
	// claimWriteAt is the start of the earliest claim write that may have taken
	// effect; zero if there is none.
	claimWriteAt time.Time
	// replacedVersion is the partition version that the last claim write was to
	// replace.
	replacedVersion uint64
	// replyLost is set from the loss of a claim write's reply until the
	// partition is seen at a later version.
	replyLost bool
	// confirmed is set once the content of the partition holds the claim.
	confirmed bool
	// writePending is set while a write with a change for this key is in
	// progress.
	writePending bool

	searcher model.SearcherID
	outcome  State
	result   []byte
	// refusal is the reason why the request does not run; used in
	// phaseReleasing.
	refusal model.Refusal
}

func (k keyState) withPhase(p phase) keyState {
	k.phase = p
	return k
}

func (k keyState) withWaiter(id table.ID, deadline time.Time) keyState {
	k.waiters = append(slices.Clone(k.waiters), id)
	if deadline.After(k.deadline) {
		k.deadline = deadline
	}
	return k
}

func (k keyState) withoutWaiters() keyState {
	k.waiters = nil
	return k
}

func (k keyState) withoutWaiter(id table.ID) keyState {
	k.waiters = slices.DeleteFunc(slices.Clone(k.waiters), func(c table.ID) bool { return c == id })
	return k
}

// withWritePending returns the state after the start of a write with a change
// for the key.
func (k keyState) withWritePending(now time.Time, version uint64) keyState {
	k.writePending = true
	if k.phase == phaseUnclaimed {
		k.replacedVersion = version
		if k.claimWriteAt.IsZero() {
			k.claimWriteAt = now
		}
	}
	return k
}

// withWriteResult returns the state after the end of a write. If the claim write
// had no effect, MaxDispatchDelay counts from the next one.
func (k keyState) withWriteResult(r model.WriteResult) keyState {
	if !k.writePending {
		return k
	}
	k.writePending = false
	switch {
	case k.confirmed || k.claimWriteAt.IsZero():
	case r == model.WriteUnknown:
		k.replyLost = true
	case r != model.WriteAccepted && !k.replyLost:
		k.claimWriteAt = time.Time{}
	}
	return k
}

// withClaim returns the state after the claim was found in the content of the
// partition.
func (k keyState) withClaim() keyState {
	k.phase, k.confirmed, k.replyLost = phaseClaimed, true, false
	return k
}

// withoutClaim returns the state once it is certain that no claim write of this
// request took effect or will take effect.
func (k keyState) withoutClaim() keyState {
	k.replyLost, k.claimWriteAt = false, time.Time{}
	return k
}

func (k keyState) withSearcher(id model.SearcherID) keyState {
	k.searcher = id
	return k
}

func (k keyState) withOutcome(s State, result []byte) keyState {
	k.phase, k.outcome, k.result = phaseRecording, s, slices.Clone(result)
	return k
}

func (k keyState) withRelease(r model.Refusal) keyState {
	k.phase, k.refusal = phaseReleasing, r
	return k
}

// waiterState is the component of a request that waits for an answer.
type waiterState struct {
	key      table.ID
	deadline time.Time
	bytes    int
}

// partitionState is the component of a partition.
type partitionState struct {
	// content is the newest version that this host has read or written.
	content Partition
	// known is set while content may be the current version.
	known bool
	// busy is set while a platform call is in progress.
	busy bool
	// proposed is the content of the write in progress.
	proposed Partition
	// changed is set during a tick that received new content.
	changed bool
	// unreachable is set if the last call did not reach the platform.
	unreachable bool
	failures    int
	// retryAt is the earliest time of the next call.
	retryAt time.Time
	// pollAt is the earliest time of the next read for claims of other hosts.
	pollAt time.Time
	usedAt time.Time
	// lastWriteAt is the start of the last write.
	lastWriteAt time.Time
	// seenAt is the time when content was last read or written.
	seenAt time.Time
	// contendedUntil is the end of the period in which other hosts are expected
	// to write.
	contendedUntil time.Time
	// writeReserved is set while the partition is read before a write that has
	// already taken its token from the rate limit.
	writeReserved bool
}

func (s partitionState) withContent(now time.Time, p Partition) partitionState {
	if p.Version >= s.content.Version {
		s.content = p
	}
	if s.unreachable {
		s.failures = 0
	}
	s.known, s.changed, s.unreachable, s.retryAt, s.seenAt = true, true, false, time.Time{}, now
	return s
}

func (s partitionState) withChanged(changed bool) partitionState {
	s.changed = changed
	return s
}

func (s partitionState) withCallDone(now time.Time) partitionState {
	s.busy, s.usedAt = false, now
	return s
}

func (s partitionState) withReadPending() partitionState {
	s.busy = true
	return s
}

// withReadBeforeWrite returns the state after the start of a read for a write
// that has already taken its token from the rate limit.
func (s partitionState) withReadBeforeWrite() partitionState {
	s.busy, s.known, s.writeReserved = true, false, true
	return s
}

func (s partitionState) withContention(until time.Time) partitionState {
	s.contendedUntil = until
	return s
}

// probablyStale reports whether another host has probably written the partition
// since it was last seen.
func (s partitionState) probablyStale(now time.Time) bool {
	return now.Before(s.contendedUntil) && now.Sub(s.seenAt) > maxContentAge
}

func (s partitionState) withWritePending(now time.Time, p Partition) partitionState {
	s.busy, s.proposed, s.lastWriteAt, s.writeReserved = true, p, now, false
	return s
}

func (s partitionState) withFailure(r model.WriteResult, retryAt time.Time) partitionState {
	s.failures++
	s.unreachable, s.retryAt = r == model.WriteFailed, retryAt
	if r != model.WriteFailed {
		s.known = false
	}
	return s
}

func (s partitionState) withoutFailures() partitionState {
	s.failures = 0
	return s
}

func (s partitionState) withPollAt(at time.Time) partitionState {
	s.pollAt = at
	return s
}

func (s partitionState) withUsedAt(now time.Time) partitionState {
	s.usedAt = now
	return s
}
