package claim

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// receive is the system that processes the results of platform calls.
func (w *World) receive() {
	tick.Each(w.Inbox(), func(e ReadDone) {
		row, ok := w.partitions.Find(e.Number)
		if !ok {
			return
		}
		s := w.partition.Get(row).withCallDone(w.Now())
		if e.Failed {
			w.partition.Set(row, s.withFailure(model.WriteFailed, w.retryAt(s.failures, maxRetryDelay)))
			w.refuseUnclaimed(row)
			return
		}
		w.partition.Set(row, s.withContent(w.Now(), e.Partition))
	})
	tick.Each(w.Inbox(), func(e WriteDone) {
		row, ok := w.partitions.Find(e.Number)
		if !ok {
			return
		}
		for id := range w.keys.All() {
			if k := w.key.Get(id); k.partition == row {
				w.setWriteResult(id, k.withWriteResult(e.Result))
			}
		}
		s := w.partition.Get(row).withCallDone(w.Now())
		switch e.Result {
		case model.WriteAccepted:
			w.partition.Set(row, s.withContent(w.Now(), s.proposed.WithVersion(e.Version)).withoutFailures())
		case model.WriteFailed:
			w.partition.Set(row, s.withFailure(e.Result, w.retryAt(s.failures, maxRetryDelay)))
			w.refuseUnclaimed(row)
		case model.WriteConflict:
			w.partition.Set(row, s.withFailure(e.Result, w.retryAt(s.failures, maxConflictDelay)).
				withContention(w.Now().Add(contentionPeriod)))
		case model.WriteUnknown:
			w.partition.Set(row, s.withFailure(e.Result, w.retryAt(s.failures, maxRetryDelay)))
		}
	})
}

// setWriteResult stores the state of a key after a write. If the request was
// refused during a claim write and that write had no effect, there is no claim
// to release.
func (w *World) setWriteResult(id table.ID, k keyState) {
	w.key.Set(id, k)
	if k.phase == phaseReleasing && !k.confirmed && k.claimWriteAt.IsZero() {
		w.finish(id, model.NewKeyedRefusal(k.request.ID, k.refusal))
	}
}

// retryAt returns the time of the next call after a number of consecutive
// failures: at once after the first, then after a jittered exponential delay.
func (w *World) retryAt(failures int, maxDelay time.Duration) time.Time {
	if failures == 0 {
		return w.Now()
	}
	delay := min(minRetryDelay<<min(failures, 10), maxDelay)
	return w.Now().Add(delay/2 + time.Duration(w.Random.Int64N(int64(delay/2))))
}

// refuseUnclaimed refuses the requests of an unreachable partition whose claims
// were certainly not written.
func (w *World) refuseUnclaimed(row table.ID) {
	for id := range w.keys.All() {
		if k := w.key.Get(id); k.partition == row && k.phase == phaseUnclaimed && k.claimWriteAt.IsZero() {
			w.release(id, platformDownRefusal())
		}
	}
}
