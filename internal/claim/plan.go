package claim

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tree"
)

// partitionChanges are the changes that one write of a partition makes.
type partitionChanges struct {
	put    []Claim
	remove []Key
	// keys are the rows of the keys that the write serves.
	keys []table.ID
}

// write is the system that batches all pending changes of a partition into one
// write. Changes that arrive during a write are batched into the next one, so
// the number of writes grows more slowly than the number of requests.
func (w *World) write() {
	planned := map[table.ID]*partitionChanges{}
	for id := range w.keys.All() {
		k := w.key.Get(id)
		if s := w.partition.Get(k.partition); s.known && !s.busy && !w.Now().Before(s.retryAt) {
			if planned[k.partition] == nil {
				planned[k.partition] = &partitionChanges{}
			}
			w.planChange(id, k, s, planned[k.partition])
		}
	}
	for _, r := range w.writeOrder(planned) {
		c, s := planned[r], w.partition.Get(r)
		if !s.writeReserved {
			next, ok := w.writeLimiter.Take(w.Now())
			if !ok {
				w.WakeAt(next)
				continue
			}
			if s.probablyStale(w.Now()) {
				w.partition.Set(r, s.withReadBeforeWrite())
				w.Emit(ReadPartition{Number: w.partitions.Key(r)})
				continue
			}
		}
		proposed := w.compact(s.content.WithChanges(c.put, c.remove))
		for _, id := range c.keys {
			w.key.Set(id, w.key.Get(id).withWritePending(w.Now(), s.content.Version))
		}
		w.partition.Set(r, s.withWritePending(w.Now(), proposed))
		w.Emit(WritePartition{Partition: proposed})
	}
}

// writeOrder returns the partitions with changes, least recently written first.
func (w *World) writeOrder(planned map[table.ID]*partitionChanges) []table.ID {
	var rows []table.ID
	for r := range w.partitions.All() {
		if c := planned[r]; c != nil && len(c.keys) > 0 {
			rows = append(rows, r)
		}
	}
	slices.SortStableFunc(rows, func(a, b table.ID) int {
		return w.partition.Get(a).lastWriteAt.Compare(w.partition.Get(b).lastWriteAt)
	})
	return rows
}

// planChange adds the pending change of a key to the batch.
func (w *World) planChange(id table.ID, k keyState, s partitionState, c *partitionChanges) {
	key := w.keys.Key(id)
	found, ok := s.content.Claim(key)
	switch k.phase {
	case phaseUnclaimed:
		w.planClaim(id, k, s, c)
	case phaseRecording:
		if !ok || found.Nonce != k.request.ID || found.State != Held {
			w.finish(id, w.outcomeAnswer(k.request.ID, k.outcome, k.result))
			return
		}
		next := found.WithOutcome(k.outcome, k.result)
		c.put = append(c.put, next.WithSize(w.Size(next)))
		c.keys = append(c.keys, id)
	case phaseReleasing:
		// A write without the claim also invalidates a claim write that is
		// still in progress, because it raises the version.
		if ok && found.Nonce == k.request.ID {
			c.remove = append(c.remove, key)
		}
		c.keys = append(c.keys, id)
	case phasePolling, phaseClaimed, phaseDispatched, phaseFinished:
	}
}

// planClaim adds a new claim, unless the key is too old or the partition is
// full.
func (w *World) planClaim(id table.ID, k keyState, s partitionState, c *partitionChanges) {
	if !k.request.Issued.After(s.content.Floor) {
		w.release(id, model.NewRefusal(model.ReasonKeyOutsideWindow,
			"this request did not run, but claims on keys issued at that time are no longer recorded"))
		return
	}
	claim := Claim{
		Key: w.keys.Key(id), Nonce: k.request.ID, Owner: w.Host, Issued: k.request.Issued,
		Until: k.deadline.Add(recordGracePeriod).Truncate(time.Millisecond), BodyHash: k.bodyHash,
	}
	claim = claim.WithSize(w.Size(claim))
	size := s.content.Size()
	for _, o := range c.put {
		size += o.reservedSize()
	}
	if size+claim.reservedSize() > MaxPartitionBytes {
		w.release(id, model.NewRefusal(model.ReasonQueueFull,
			"the partition of claims that holds this key is full until older keys leave the window"))
		return
	}
	c.put = append(c.put, claim)
	c.keys = append(c.keys, id)
}

// compact removes the claims of keys that are older than the key window.
func (w *World) compact(p Partition) Partition {
	window := w.view.Tree.Effective(tree.Root).KeyWindow
	return p.WithoutExpired(w.Now().Add(-window - MaxClockSkew))
}

// read is the system that reads the partitions that keys in progress wait for.
func (w *World) read() {
	for id := range w.keys.All() {
		k := w.key.Get(id)
		s := w.partition.Get(k.partition)
		if s.busy || k.phase == phaseFinished || k.phase == phaseDispatched || k.phase == phaseClaimed {
			continue
		}
		due := s.retryAt
		if s.known {
			if k.phase != phasePolling {
				if w.Now().Before(due) {
					w.WakeAt(due)
				}
				continue
			}
			if s.pollAt.After(due) {
				due = s.pollAt
			}
		}
		if w.Now().Before(due) {
			w.WakeAt(due)
			continue
		}
		w.partition.Set(k.partition, s.withReadPending())
		w.Emit(ReadPartition{Number: w.partitions.Key(k.partition)})
	}
}

// evict is the system that removes finished keys and idle partitions. While
// stopping, it emits Idle once no keys are left.
func (w *World) evict() {
	used := map[table.ID]bool{}
	for id := range w.keys.All() {
		k := w.key.Get(id)
		if k.phase == phaseFinished {
			w.keys.Remove(id)
			continue
		}
		used[k.partition] = true
	}
	for r := range w.partitions.All() {
		s := w.partition.Get(r)
		if s.busy || used[r] {
			continue
		}
		if evictAt := s.usedAt.Add(partitionIdleTimeout); w.Now().Before(evictAt) {
			w.WakeAt(evictAt)
			continue
		}
		w.partitions.Remove(r)
	}
	if w.stopping && w.keys.Len() == 0 {
		w.Emit(Idle{})
	}
}
