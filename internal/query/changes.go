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
	// held lists requests to look at again in the next tick.
	held []table.ID
	// searchers lists searchers with a call that ended or with more room.
	searchers []table.ID
	// probed is how many of the searchers the probe system has seen; those
	// after it are looked at in the next tick too.
	probed int
	// epoch counts the changes after which every part that waits must look at
	// its replicas anew.
	epoch uint64
}

// touch has a request looked at in this tick.
func (w *World) touch(id table.ID) { w.changes.requests = append(w.changes.requests, id) }

// hold has a request looked at in the next tick.
func (w *World) hold(id table.ID) { w.changes.held = append(w.changes.held, id) }

// touchAll has every part look at its replicas anew, after a searcher has
// become fit or unfit for some of them.
func (w *World) touchAll() {
	w.changes.epoch++
	w.changes.requests = append(w.changes.requests, w.order...)
}

// touched returns the requests to look at, oldest first.
func (w *World) touched() []table.ID {
	slices.Sort(w.changes.requests)
	w.changes.requests = slices.Compact(w.changes.requests)
	return w.changes.requests
}

// nextChanges clears the lists at the end of a tick.
func (w *World) nextChanges() {
	c := &w.changes
	c.requests = append(c.requests[:0], c.held...)
	c.held = c.held[:0]
	c.searchers = slices.Delete(c.searchers, 0, c.probed)
	for _, id := range c.searchers {
		if w.searchers.Has(id) && (w.waiters.Get(id).Len() > 0 || w.searcher.Get(id).gone) {
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
	// room holds searchers that have more room then: an ejection ends, or a
	// limit in slow start grows.
	room *policy.Timers[table.ID]
	// returns holds searchers that are fit again then.
	returns *policy.Timers[table.ID]
}

func newTimers() timers {
	return timers{
		deadlines: policy.NewTimers[table.ID](), cutoffs: policy.NewTimers[table.ID](),
		backoffs: policy.NewTimers[table.ID](), hedges: policy.NewTimers[table.ID](),
		room: policy.NewTimers[table.ID](), returns: policy.NewTimers[table.ID](),
	}
}

// due calls f for each item whose timer is due.
func (w *World) due(q *policy.Timers[table.ID], f func(table.ID)) {
	for {
		id, ok := q.PopDue(w.Now())
		if !ok {
			return
		}
		f(id)
	}
}

// arm is the system that names the earliest timer whose row still exists.
func (w *World) arm() {
	w.WakeAt(w.timers.deadlines.Next(w.requests.Has))
	w.WakeAt(w.timers.cutoffs.Next(w.requests.Has))
	w.WakeAt(w.timers.backoffs.Next(w.parts.Has))
	w.WakeAt(w.timers.hedges.Next(w.calls.Has))
	w.WakeAt(w.timers.room.Next(w.searchers.Has))
	w.WakeAt(w.timers.returns.Next(w.searchers.Has))
}

// wake is called for parts and searchers whose time has come.
func (w *World) wake() {
	w.due(w.timers.backoffs, func(id table.ID) {
		w.part.Set(id, w.part.Get(id).withWaiting(0))
		w.touch(w.part.Get(id).request)
	})
	w.due(w.timers.room, func(id table.ID) { w.changes.searchers = append(w.changes.searchers, id) })
	w.due(w.timers.returns, func(table.ID) { w.touchAll() })
}

// settle replaces the cell of a part whose state may have changed.
func (w *World) settle(row table.ID, p part) {
	was := w.part.Get(row).state
	w.part.Set(row, p)
	r := w.request.Get(p.request)
	switch {
	case was == partPending && p.state != partPending:
		r = r.withOpen(-1)
	case was != partPending && p.state == partPending:
		r = r.withOpen(1)
	default:
		return
	}
	w.request.Set(p.request, r)
	if r.open == 0 || r.late {
		w.touch(p.request)
	}
}

// setUnfit replaces the cell of a searcher that has become unfit for some
// parts until a time.
func (w *World) setUnfit(row table.ID, s searcher, until time.Time) {
	w.searcher.Set(row, s)
	w.timers.returns.Add(until, row)
	w.touchAll()
}

// scopeKey names a scope as a request does.
type scopeKey struct {
	account model.ClientAccount
	service model.ServiceName
	scope   model.ScopeName
}
