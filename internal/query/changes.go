package query

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

// changes lists the rows that this tick's systems must look at, so that a tick
// costs as much as what changed and not as much as what runs.
type changes struct {
	// requests lists requests with a part to send or settle, or with an end.
	requests []table.ID
	// deferred lists requests to look at again in the next tick.
	deferred []table.ID
	// searchers lists searchers with a call that ended or with more room.
	searchers []table.ID
	// checkedSearchers is how many of the searchers the probe system has seen; those
	// after it are looked at in the next tick too.
	checkedSearchers int
	// epoch counts the changes after which every part that waits must look at
	// its replicas anew.
	epoch uint64
}

// markChanged has a request looked at in this tick.
func (w *World) markChanged(id table.ID) { w.changes.requests = append(w.changes.requests, id) }

// deferRequest has a request looked at in the next tick.
func (w *World) deferRequest(id table.ID) { w.changes.deferred = append(w.changes.deferred, id) }

// markAllChanged has every part look at its replicas anew, after a searcher has
// become fit or unfit for some of them.
func (w *World) markAllChanged() {
	w.changes.epoch++
	w.changes.requests = append(w.changes.requests, w.order...)
}

// changedRequests returns the requests to look at, oldest first.
func (w *World) changedRequests() []table.ID {
	slices.Sort(w.changes.requests)
	w.changes.requests = slices.Compact(w.changes.requests)
	return w.changes.requests
}

// resetChanges clears the lists at the end of a tick.
func (w *World) resetChanges() {
	c := &w.changes
	c.requests = append(c.requests[:0], c.deferred...)
	c.deferred = c.deferred[:0]
	c.searchers = slices.Delete(c.searchers, 0, c.checkedSearchers)
	for _, id := range c.searchers {
		if w.searchers.Has(id) && (w.waiters.Get(id).Len() > 0 || w.searcher.Get(id).removed) {
			w.WakeAt(w.Now())
		}
	}
}

// timers holds what is due later.
type timers struct {
	// deadlines and cutoffs hold requests.
	deadlines *policy.Timers[table.ID]
	cutoffs   *policy.Timers[table.ID]
	// backoffs holds parts.
	backoffs *policy.Timers[table.ID]
	// hedges holds calls.
	hedges *policy.Timers[table.ID]
	// slots holds searchers that have more room then: an ejection ends, or a
	// limit in slow start grows.
	slots *policy.Timers[table.ID]
	// eligibility holds searchers that are fit again then.
	eligibility *policy.Timers[table.ID]
}

func newTimers() timers {
	return timers{
		deadlines: policy.NewTimers[table.ID](), cutoffs: policy.NewTimers[table.ID](),
		backoffs: policy.NewTimers[table.ID](), hedges: policy.NewTimers[table.ID](),
		slots: policy.NewTimers[table.ID](), eligibility: policy.NewTimers[table.ID](),
	}
}

// forEachDue calls f for each item whose timer is due.
func (w *World) forEachDue(q *policy.Timers[table.ID], f func(table.ID)) {
	for {
		id, ok := q.PopDue(w.Now())
		if !ok {
			return
		}
		f(id)
	}
}

// scheduleWake is the system that names the earliest timer whose row still exists.
func (w *World) scheduleWake() {
	w.WakeAt(w.timers.deadlines.Next(w.requests.Has))
	w.WakeAt(w.timers.cutoffs.Next(w.requests.Has))
	w.WakeAt(w.timers.backoffs.Next(w.parts.Has))
	w.WakeAt(w.timers.hedges.Next(w.calls.Has))
	w.WakeAt(w.timers.slots.Next(w.searchers.Has))
	w.WakeAt(w.timers.eligibility.Next(w.searchers.Has))
}

// fireTimers is called for parts and searchers whose time has come.
func (w *World) fireTimers() {
	w.forEachDue(w.timers.backoffs, func(id table.ID) {
		w.part.Set(id, w.part.Get(id).withWaitEpoch(0))
		w.markChanged(w.part.Get(id).request)
	})
	w.forEachDue(w.timers.slots, func(id table.ID) { w.changes.searchers = append(w.changes.searchers, id) })
	w.forEachDue(w.timers.eligibility, func(table.ID) { w.markAllChanged() })
}

// setPart replaces the cell of a part whose state may have changed.
func (w *World) setPart(row table.ID, p part) {
	oldState := w.part.Get(row).state
	w.part.Set(row, p)
	r := w.request.Get(p.request)
	switch {
	case oldState == partPending && p.state != partPending:
		r = r.withPendingParts(-1)
	case oldState != partPending && p.state == partPending:
		r = r.withPendingParts(1)
	default:
		return
	}
	w.request.Set(p.request, r)
	if r.pendingParts == 0 || r.cutoffAllowed {
		w.markChanged(p.request)
	}
}

// setIneligible replaces the cell of a searcher that has become unfit for some
// parts until a time.
func (w *World) setIneligible(row table.ID, s searcher, until time.Time) {
	w.searcher.Set(row, s)
	w.timers.eligibility.Add(until, row)
	w.markAllChanged()
}

// scopeKey names a scope as a request does.
type scopeKey struct {
	account model.ClientAccount
	service model.ServiceName
	scope   model.ScopeName
}
