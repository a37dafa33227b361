package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

const (
	// latencySamples is the size of a service's latency windows.
	latencySamples = 1024
	// budgetBurstTokens is the maximum number of accumulated hedge or retry
	// tokens.
	budgetBurstTokens = 20
)

// applyView is the system that updates the searcher and service rows to the
// newest view.
func (w *World) applyView() {
	changed := false
	tick.Each(w.Inbox(), func(e ViewChanged) {
		w.revokeProven(e.View.Suspects)
		w.view = e.View
		changed = true
	})
	if !changed {
		return
	}
	w.rootSettings = w.view.Tree.Effective(tree.Root)
	clear(w.resolved)
	w.markAllChanged()
	listed := map[model.SearcherID]bool{}
	for n, ix := range w.view.Indexes {
		// A fleet has tens of thousands of searchers; only those of services
		// that this host runs get rows.
		if !w.view.Runs(n) {
			continue
		}
		service := w.serviceRow(n)
		w.service.Set(service, w.service.Get(service).withSlots(0, time.Time{}))
		for _, sr := range ix.Searchers {
			listed[sr.ID] = true
			w.updateSearcher(sr, service, w.slotLimit(n, sr))
		}
	}
	for id := range w.searchers.All() {
		if !listed[w.searchers.Key(id)] {
			w.searcher.Set(id, w.searcher.Get(id).withRemoved())
			w.changes.searchers = append(w.changes.searchers, id)
		}
	}
}

// slotLimit returns the maximum number of calls that this host may have in
// flight at a searcher.
func (w *World) slotLimit(name model.ServiceName, info model.Searcher) int {
	owned, ok := w.view.Owned[name]
	if !ok || owned.Slots <= 0 {
		return info.Slots
	}
	return min(owned.Slots, info.Slots)
}

func (w *World) updateSearcher(info model.Searcher, service table.ID, slotLimit int) {
	id, added := w.searchers.Add(info.ID)
	s := w.searcher.Get(id)
	if added {
		w.waiters.Set(id, policy.NewFIFO[table.ID]())
	}
	if added || s.info.Address != info.Address {
		// A new or replaced searcher has cold caches.
		s = searcher{service: service, limit: policy.NewLimit(slotLimit), slowStartFrom: w.Now(), inFlight: s.inFlight}
	}
	w.searcher.Set(id, s.withInfo(info, slotLimit))
}

// serviceRow returns the row of a service, creating it on first use, and
// applies the current budget settings.
func (w *World) serviceRow(name model.ServiceName) table.ID {
	id, added := w.services.Add(name)
	if added {
		w.service.Set(id, service{
			queue:    policy.NewFairQueue[model.ClientAccount, table.ID](),
			hedges:   policy.NewBudget(w.rootSettings.HedgeBudget, budgetBurstTokens),
			retries:  policy.NewBudget(w.rootSettings.RetryBudget, budgetBurstTokens),
			latency:  policy.NewSampleWindow[time.Duration](latencySamples),
			duration: policy.NewSampleWindow[time.Duration](latencySamples),
		})
	}
	s := w.service.Get(id)
	s.hedges.Share, s.retries.Share = w.rootSettings.HedgeBudget, w.rootSettings.RetryBudget
	return id
}
