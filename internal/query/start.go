package query

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// overcommitFactor is the number of requests admitted per slot of the shard
// with the fewest slots. The parts of a request end at different times; with a
// factor of 1 the slots of the other shards would be idle in between.
const overcommitFactor = 2

// maxCapacityAge is the maximum age of a service's cached capacity. Computing
// it visits every replica.
const maxCapacityAge = 5 * time.Millisecond

// start is the system that takes requests from the queues by weight, selects
// their snapshots and creates their parts.
func (w *World) start() {
	for id := range w.services.All() {
		s := w.service.Get(id)
		if s.queue.Len() == 0 {
			continue
		}
		slots := w.capacity(id)
		s = w.service.Get(id)
		for s.running < slots {
			next, ok := s.queue.Pop()
			if !ok {
				break
			}
			if s.queue.Len() > 0 && w.refuseLate(next, s) {
				continue
			}
			if w.startRequest(next) {
				s = s.withRunningDelta(1)
			}
		}
		w.service.Set(id, s)
	}
}

// refuseLate ends a request that has too little time left to run after its
// wait, so that another request gets the slot. It is called only while others
// wait.
func (w *World) refuseLate(id table.ID, s service) bool {
	r := w.request.Get(id)
	runningTime, _ := s.duration.Quantile(runningTimeQuantile)
	if r.refusal != nil || !w.Now().Add(runningTime).After(r.due) {
		return false
	}
	w.markChanged(id)
	s.queue.Refund(r.query.Account)
	w.request.Set(id, r.withRefusal(*newRefusal(model.ReasonDeadlineTooShort, "the time left after the queue is %v", r.due.Sub(w.Now()))))
	return true
}

// startRequest selects the snapshot of a request and creates its parts. It
// returns false if the request has ended or no snapshot can be searched.
func (w *World) startRequest(id table.ID) bool {
	r := w.request.Get(id)
	if !w.requests.Has(id) || r.refusal != nil {
		return false
	}
	snapshot, ok := w.chooseSnapshot(r)
	if !ok {
		w.markChanged(id)
		w.request.Set(id, r.withRefusal(*newRefusal(model.ReasonNoSnapshot, "no index version can be searched")))
		return false
	}
	w.running = append(w.running, id)
	w.markChanged(id)
	w.scheduleCutoff(id, r)
	w.request.Set(id, r.withStart(w.Now()).withSnapshot(snapshot, w.makeParts(id, r, snapshot)))
	return true
}

func (w *World) makeParts(id table.ID, r request, s model.Snapshot) []table.ID {
	ids := make([]table.ID, 0, len(s.Shards))
	for i, sh := range s.Shards {
		row, _ := w.parts.Add(partKey{id, i, r.restarts})
		w.part.Set(row, part{request: id, shard: sh, lastReason: model.MissingNoReplica})
		ids = append(ids, row)
	}
	return ids
}

// chooseSnapshot returns the newest snapshot in which every shard has a usable
// replica or, failing that, the snapshot with the most usable records.
func (w *World) chooseSnapshot(r request) (model.Snapshot, bool) {
	var best model.Snapshot
	mostUsable, found := uint64(0), false
	for _, s := range w.view.Indexes[r.query.Service].Snapshots {
		if slices.Contains(r.excluded, s.Version) {
			continue
		}
		usable := w.usableRecords(s)
		if usable == s.Records() {
			return s, true
		}
		if !found || usable > mostUsable {
			best, mostUsable, found = s, usable, true
		}
	}
	return best, found
}

func (w *World) usableRecords(snapshot model.Snapshot) uint64 {
	var n uint64
	for _, sh := range snapshot.Shards {
		if slices.ContainsFunc(sh.Replicas, func(id model.SearcherID) bool {
			row, ok := w.searchers.Find(id)
			s := w.searcher.Get(row)
			return ok && !s.leaving(w.Now()) && s.mayHaveVersion(snapshot.Version, w.Now())
		}) {
			n += sh.Records
		}
	}
	return n
}

// capacity returns the number of requests of a service that may run at once.
// The result may be up to maxCapacityAge old.
func (w *World) capacity(row table.ID) int {
	s := w.service.Get(row)
	if s.slotsAt.IsZero() || w.Now().Sub(s.slotsAt) > maxCapacityAge {
		s = s.withSlots(max(w.countSlots(w.services.Key(row)), 1), w.Now())
		w.service.Set(row, s)
	}
	return s.slots
}

// countSlots returns the slots of the shard with the fewest slots, times
// overcommitFactor.
func (w *World) countSlots(name model.ServiceName) int {
	snapshots := w.view.Indexes[name].Snapshots
	if len(snapshots) == 0 {
		return 0
	}
	minSlots := -1
	for _, sh := range snapshots[0].Shards {
		slots := 0
		for _, id := range sh.Replicas {
			row, ok := w.searchers.Find(id)
			if s := w.searcher.Get(row); ok && !s.leaving(w.Now()) && !w.Now().Before(s.ejectedUntil) {
				slots += s.limit.Value()
			}
		}
		if minSlots < 0 || slots < minSlots {
			minSlots = slots
		}
	}
	return max(minSlots, 0) * overcommitFactor
}

// restart restarts a request on another snapshot within its restart budget and
// reports whether it did. All parts are dropped, so that an answer never mixes
// index versions.
func (w *World) restart(id table.ID) bool {
	r := w.request.Get(id)
	if r.restarts >= r.settings.RestartBudget {
		return false
	}
	snapshot, ok := w.chooseSnapshot(r.withRestart())
	if !ok || w.usableShare(snapshot) <= w.reachableShare(r) {
		return false
	}
	w.dropParts(r)
	restarted := w.request.Get(id).withRestart() // re-read: dropParts updated the call counts
	w.request.Set(id, restarted.withSnapshot(snapshot, w.makeParts(id, restarted, snapshot)))
	w.Emit(Count{CounterRetry, "restart"})
	return true
}

// usableShare is the share of a snapshot's records that can be searched.
func (w *World) usableShare(s model.Snapshot) float64 {
	return float64(w.usableRecords(s)) / float64(max(s.Records(), 1))
}

// reachableShare is the share of records that a request can still cover without
// the parts that no replica can serve any more.
func (w *World) reachableShare(r request) float64 {
	var n uint64
	for _, id := range r.parts {
		p := w.part.Get(id)
		if p.state == partSearched || p.state == partPending && (len(p.liveCalls) > 0 || w.hasEligibleReplica(r, p)) {
			n += p.shard.Records
		}
	}
	return float64(n) / float64(max(r.snapshot.Records(), 1))
}

// hasEligibleReplica reports whether a replica can serve the part and has not
// failed it.
func (w *World) hasEligibleReplica(r request, p part) bool {
	return slices.ContainsFunc(p.shard.Replicas, func(id model.SearcherID) bool {
		_, ok := w.eligible(r, p, id)
		return ok
	})
}

// dropParts gives up the calls of a request and removes its parts.
func (w *World) dropParts(r request) {
	for _, id := range r.parts {
		w.abandonCalls(id)
		w.parts.Remove(id)
	}
}
