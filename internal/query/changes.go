package query

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

// changes lists the rows that the systems of this tick must process. It keeps
// the cost of a tick proportional to the number of changes, not to the number
// of running requests.
type changes struct {
	// requests lists requests with a part to send or complete, or with a
	// refusal.
	requests []table.ID
	// deferred lists requests to process in the next tick.
	deferred []table.ID
	// searchers lists searchers with an ended call or with more free slots.
	searchers []table.ID
	// checkedSearchers is the length of searchers when ejectFailing ran. Later
	// entries are kept for the next tick.
	checkedSearchers int
	// epoch counts the changes after which every waiting part must choose among
	// its replicas again.
	epoch uint64
}

// markChanged schedules a request for this tick.
func (w *World) markChanged(id table.ID) { w.changes.requests = append(w.changes.requests, id) }

// deferRequest schedules a request for the next tick.
func (w *World) deferRequest(id table.ID) { w.changes.deferred = append(w.changes.deferred, id) }

// markAllChanged makes every waiting part choose among its replicas again,
// because the eligibility of a searcher has changed.
func (w *World) markAllChanged() {
	w.changes.epoch++
	w.changes.requests = append(w.changes.requests, w.running...)
}

// changedRequests returns the requests to process in this tick, oldest first
// and without duplicates.
func (w *World) changedRequests() []table.ID {
	slices.Sort(w.changes.requests)
	w.changes.requests = slices.Compact(w.changes.requests)
	return w.changes.requests
}

// resetChanges prepares the lists for the next tick.
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

// timers holds the timers of a World by purpose. Each item is the ID of a row.
type timers struct {
	// deadlines and cutoffs hold requests.
	deadlines *policy.Timers[table.ID]
	cutoffs   *policy.Timers[table.ID]
	// backoffs holds parts.
	backoffs *policy.Timers[table.ID]
	// hedges holds calls.
	hedges *policy.Timers[table.ID]
	// slots holds searchers that gain free slots when the timer fires, because
	// an ejection ends or a limit in slow start grows.
	slots *policy.Timers[table.ID]
	// eligibility holds searchers that become eligible again when the timer
	// fires.
	eligibility *policy.Timers[table.ID]
	// abandoned holds abandoned calls.
	abandoned *policy.Timers[table.ID]
}

func newTimers() timers {
	return timers{
		deadlines: policy.NewTimers[table.ID](), cutoffs: policy.NewTimers[table.ID](),
		backoffs: policy.NewTimers[table.ID](), hedges: policy.NewTimers[table.ID](),
		slots: policy.NewTimers[table.ID](), eligibility: policy.NewTimers[table.ID](),
		abandoned: policy.NewTimers[table.ID](),
	}
}

// forEachDue removes the timers that are due and calls f for their items.
func (w *World) forEachDue(t *policy.Timers[table.ID], f func(table.ID)) {
	for {
		id, ok := t.PopDue(w.Now())
		if !ok {
			return
		}
		f(id)
	}
}

// scheduleWake is the system that sets the next wake-up to the earliest timer
// whose row still exists.
func (w *World) scheduleWake() {
	w.WakeAt(w.timers.deadlines.Next(w.requests.Has))
	w.WakeAt(w.timers.cutoffs.Next(w.requests.Has))
	w.WakeAt(w.timers.backoffs.Next(w.parts.Has))
	w.WakeAt(w.timers.hedges.Next(w.calls.Has))
	w.WakeAt(w.timers.slots.Next(w.searchers.Has))
	w.WakeAt(w.timers.eligibility.Next(w.searchers.Has))
	w.WakeAt(w.timers.abandoned.Next(w.abandoned.Has))
}

// fireTimers processes the due timers of parts, searchers and abandoned calls.
func (w *World) fireTimers() {
	w.cancelAbandoned()
	w.forEachDue(w.timers.backoffs, func(id table.ID) {
		w.part.Set(id, w.part.Get(id).withWaitEpoch(0))
		w.markChanged(w.part.Get(id).request)
	})
	w.forEachDue(w.timers.slots, func(id table.ID) { w.changes.searchers = append(w.changes.searchers, id) })
	w.forEachDue(w.timers.eligibility, func(table.ID) { w.markAllChanged() })
}

// setPart replaces the component of a part and updates the request's count of
// pending parts.
func (w *World) setPart(row table.ID, p part) {
	oldState := w.part.Get(row).state
	w.part.Set(row, p)
	r := w.request.Get(p.request)
	switch {
	case oldState == partPending && p.state != partPending:
		r = r.withPendingPartsDelta(-1)
	case oldState != partPending && p.state == partPending:
		r = r.withPendingPartsDelta(1)
	default:
		return
	}
	w.request.Set(p.request, r)
	if r.pendingParts == 0 || r.cutoffAllowed {
		w.markChanged(p.request)
	}
}

// setIneligible replaces the component of a searcher that cannot serve some
// parts until the given time.
func (w *World) setIneligible(row table.ID, s searcher, until time.Time) {
	w.searcher.Set(row, s)
	w.timers.eligibility.Add(until, row)
	w.markAllChanged()
}

// scopeKey identifies the scope of a request.
type scopeKey struct {
	account model.ClientAccount
	service model.ServiceName
	scope   model.ScopeName
}
