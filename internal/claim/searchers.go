package claim

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

// searcherState is the component of a searcher that this host dispatched to.
type searcherState struct {
	// running is the number of requests of this host that the searcher runs.
	running int
	// avoidUntil is set after a failure, so that a resend prefers another
	// searcher.
	avoidUntil time.Time
}

func (s searcherState) withRunningDelta(n int) searcherState {
	s.running += n
	return s
}

func (s searcherState) withAvoidUntil(until time.Time) searcherState {
	s.avoidUntil = until
	return s
}

// updateView is the system that applies new views and removes the rows of
// searchers with no running requests and no recent failure.
func (w *World) updateView() {
	tick.Each(w.Inbox(), func(e ViewChanged) { w.view = e.View })
	for id := range w.searchers.All() {
		s := w.searcher.Get(id)
		if s.running == 0 && !w.Now().Before(s.avoidUntil) {
			w.searchers.Remove(id)
		}
	}
}

// chooseSearcher returns the searcher for the next request of a service.
// Searchers that are leaving are excluded. Those without a recent failure come
// first, then those with the fewest requests of this host, then those in the
// host's own failure domain.
func (w *World) chooseSearcher(service model.ServiceName) (model.Searcher, bool) {
	var candidates []model.Searcher
	for _, s := range w.view.Indexes[service].Searchers {
		if !s.Leaving {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return model.Searcher{}, false
	}
	return slices.MinFunc(candidates, func(a, b model.Searcher) int {
		left, right := w.searcherState(a.ID), w.searcherState(b.ID)
		return cmp.Or(
			cmp.Compare(w.avoidRank(left), w.avoidRank(right)),
			cmp.Compare(left.running, right.running),
			cmp.Compare(w.domainRank(a), w.domainRank(b)),
			strings.Compare(string(a.ID), string(b.ID)))
	}), true
}

func (w *World) searcherState(id model.SearcherID) searcherState {
	row, _ := w.searchers.Find(id)
	return w.searcher.Get(row)
}

func (w *World) setSearcher(id model.SearcherID, s searcherState) {
	row, _ := w.searchers.Add(id)
	w.searcher.Set(row, s)
}

func (w *World) avoidRank(s searcherState) int {
	if w.Now().Before(s.avoidUntil) {
		return 1
	}
	return 0
}

func (w *World) domainRank(s model.Searcher) int {
	if s.FailureDomain == w.FailureDomain {
		return 0
	}
	return 1
}
