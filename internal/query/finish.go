package query

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

func scale(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * share)
}

// finish is the system that answers requests whose parts all have an outcome,
// and those that another system ended.
func (w *World) finish() {
	finished := false
	for _, id := range slices.Clone(w.changedRequests()) {
		r := w.request.Get(id)
		switch {
		case r.refusal != nil:
			w.finishRequest(id, r, model.NewRefused(r.query.ID, *r.refusal))
			finished = true
		case r.running && r.pendingParts == 0:
			w.finishRequest(id, r, w.answer(r))
			finished = true
		}
	}
	if finished {
		w.running = slices.DeleteFunc(w.running, func(id table.ID) bool { return !w.requests.Has(id) })
	}
	w.resetChanges()
}

// finishRequest answers a request and removes its rows.
func (w *World) finishRequest(id table.ID, r request, a model.Answer) {
	w.dropParts(r)
	if r.running {
		s := w.service.Get(r.service).withRunningDelta(-1)
		s.duration.Add(w.Now().Sub(r.started))
		w.service.Set(r.service, s)
		if s.queue.Len() > 0 || len(w.changes.deferred) > 0 {
			w.WakeAt(w.Now()) // a slot was freed or a canary ended
		}
	} else {
		w.service.Get(r.service).queue.Remove(func(q table.ID) bool { return q == id })
	}
	w.requests.Remove(id)
	w.Emit(Respond{r.query.ID, a})
}

// answer merges the parts of a request. It returns a refusal if no shard was
// searched.
func (w *World) answer(r request) model.Answer {
	coverage := model.Coverage{Searched: make([]model.Part, 0, len(r.parts))}
	hitCount, matches := 0, uint64(0)
	for _, id := range r.parts {
		hitCount += len(w.part.Get(id).hits)
	}
	hits := make([]model.Hit, 0, hitCount)
	for _, id := range r.parts {
		p := w.part.Get(id)
		if p.state == partSearched {
			coverage.Searched = append(coverage.Searched, model.NewPart(p.shard, ""))
			hits = append(hits, p.hits...)
			matches += p.matches
			continue
		}
		coverage.Missing = append(coverage.Missing, model.NewPart(p.shard, p.reason))
		w.Emit(Count{CounterMissing, string(p.reason)})
	}
	if len(coverage.Searched) == 0 && len(coverage.Missing) > 0 {
		return model.NewRefused(r.query.ID, w.refusalFor(r, coverage.Missing[0].Reason))
	}
	return model.NewAnswer(r.query.ID, r.snapshot.Version, r.revision, coverage).
		WithHits(mergeHits(hits, r.query.Limit), matches)
}

// refusalFor returns the refusal of a request for which no shard was searched.
func (w *World) refusalFor(r request, reason model.MissingReason) model.Refusal {
	refusal := model.NewRefusal(model.ReasonNoReplica, "no shard could be searched; first reason: %s", reason)
	switch reason {
	case model.MissingDeadline:
		refusal.Reason = model.ReasonDeadlineExpired
	case model.MissingVersionGone:
		refusal.Reason = model.ReasonNoSnapshot
	case model.MissingSuspect:
		refusal.Reason = model.ReasonQuarantined
	}
	return refusal.WithExecution(r.execution())
}

// mergeHits orders hits by descending score, then record id, and keeps the
// first limit.
func mergeHits(hits []model.Hit, limit int) []model.Hit {
	slices.SortFunc(hits, func(a, b model.Hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), strings.Compare(a.Record, b.Record))
	})
	return hits[:min(len(hits), limit)]
}
