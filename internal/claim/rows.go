package claim

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// phase is how far this host is with a key.
type phase uint8

const (
	// phaseUnclaimed has no durable claim that this host knows of.
	phaseUnclaimed phase = iota
	// phasePolling waits for the outcome of a claim that another request holds.
	phasePolling
	// phaseClaimed has a durable claim and is dispatched or given up in this tick.
	phaseClaimed
	// phaseDispatched was dispatched.
	phaseDispatched
	// phaseRecording has an outcome that is not yet known to be durable.
	phaseRecording
	// phaseReleasing did not run, and its claim may be durable still.
	phaseReleasing
	// phaseFinished is removed at the end of the tick.
	phaseFinished
)

// keyState is the cell of a key that this host works on.
type keyState struct {
	// request is the request that may be dispatched; its ID is the claim's nonce.
	request   model.KeyedRequest
	bodyHash  uint64
	partition table.ID
	window    time.Duration
	// returnAllowance is kept back from the deadline for the way back.
	returnAllowance time.Duration
	// deadline is the latest deadline of the requests that wait.
	deadline time.Time
	callers  []table.ID

	phase phase
	// claimWriteAt is when the earliest claim write that may have taken effect was
	// begun; zero if there is none.
	claimWriteAt time.Time
	// replacedVersion is the version that the last claim write was to replace.
	replacedVersion uint64
	// replyLost is set while the reply to a claim write is lost and the
	// partition has not been seen at a later version.
	replyLost bool
	// claimedAt is set once the claim was seen in the partition.
	confirmed bool
	// writePending is set while a write that holds a change for this key is under way.
	writePending bool

	searcher model.SearcherID
	outcome  State
	result   []byte
	// refusal is why the request does not run, for phase releasing.
	refusal model.Refusal
}

func (k keyState) withPhase(p phase) keyState {
	k.phase = p
	return k
}

func (k keyState) withCaller(id table.ID, due time.Time) keyState {
	k.callers = append(slices.Clone(k.callers), id)
	if due.After(k.deadline) {
		k.deadline = due
	}
	return k
}

func (k keyState) withoutCallers() keyState {
	k.callers = nil
	return k
}

func (k keyState) withoutCaller(id table.ID) keyState {
	k.callers = slices.DeleteFunc(slices.Clone(k.callers), func(c table.ID) bool { return c == id })
	return k
}

// withWritePending notes a write that holds a change for the key.
func (k keyState) withWritePending(now time.Time, over uint64) keyState {
	k.writePending = true
	if k.phase == phaseUnclaimed {
		k.replacedVersion = over
		if k.claimWriteAt.IsZero() {
			k.claimWriteAt = now
		}
	}
	return k
}

// withWriteEnd notes the end of a write. A write without effect restarts the
// time within which the request may be dispatched.
func (k keyState) withWriteEnd(r model.WriteResult) keyState {
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

// withClaim notes that the claim was seen in the partition.
func (k keyState) withClaim() keyState {
	k.phase, k.confirmed, k.replyLost = phaseClaimed, true, false
	return k
}

// withoutClaim notes that no claim write of this request took effect or will.
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

// callerState is the cell of a request that waits for an answer.
type callerState struct {
	claim    table.ID
	deadline time.Time
	bytes    int
}

// partitionState is the cell of a partition.
type partitionState struct {
	// content is the newest version that this host has seen.
	content Partition
	// known is set while content may be the current version.
	known bool
	// busy is set while a call is under way.
	busy bool
	// proposed is the content of the write under way.
	proposed Partition
	// changed is set in a tick that brought new content.
	changed bool
	// unreachable is set if the last call could not reach the platform.
	unreachable bool
	failures    int
	// retryAt is when the next call may begin.
	retryAt time.Time
	// pollAt is when claims of other hosts are looked at again.
	pollAt time.Time
	usedAt time.Time
	// lastWriteAt is when the last write was begun.
	lastWriteAt time.Time
	// seenAt is when content was read or written.
	seenAt time.Time
	// contendedUntil is until when other hosts are expected to write.
	contendedUntil time.Time
	// writeReserved is set while a read precedes a write that has its turn already.
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

func (s partitionState) withChanged(touched bool) partitionState {
	s.changed = touched
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

// withReadBeforeWrite notes a read for a write that has its turn.
func (s partitionState) withReadBeforeWrite() partitionState {
	s.busy, s.known, s.writeReserved = true, false, true
	return s
}

func (s partitionState) withContention(until time.Time) partitionState {
	s.contendedUntil = until
	return s
}

// probablyStale reports whether another host has probably written since.
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
