package query

import (
	"maps"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

const (
	// latencySampleWeight is the weight of a new sample in a searcher's moving
	// average of latency.
	latencySampleWeight = 0.2
	// minAvoidance is how long a slow searcher is avoided without a new latency
	// sample. It then gets a call, so that a searcher that has recovered is
	// detected. The time doubles up to maxAvoidance while the searcher stays
	// slow: with one searcher in twenty slow, a constant 2 s slowed one search
	// in fifteen.
	minAvoidance = 2 * time.Second
	maxAvoidance = time.Minute
	// censoredFactor scales the elapsed time of a cancelled call to an estimate
	// of its latency. The elapsed time is only a lower bound; averaged as an
	// ordinary sample it kept slow searchers below slowFactor.
	censoredFactor = 2
	// drainTimeout is how long a searcher that announced a drain gets no new
	// work, unless it announces it again. By then the host list is expected to
	// mark it as leaving.
	drainTimeout = 30 * time.Second
	// missingVersionTimeout is how long a searcher is assumed not to hold an
	// index version after it reported so.
	missingVersionTimeout = 10 * time.Second
)

// searcher is the component of a searcher as observed by this lane.
type searcher struct {
	info     model.Searcher
	service  table.ID
	inFlight int
	limit    policy.Limit
	// meanLatency is the moving average of reply times; zero before the first.
	meanLatency time.Duration
	// sampledAt is the time of the latest change of meanLatency, and avoidance
	// is how long the searcher is avoided from then on if it is slow.
	sampledAt time.Time
	avoidance time.Duration
	// failures counts the lost, unconnected and truncated calls since the
	// latest success or ejection.
	failures int
	// ejectedUntil is the end of the ejection; zero if not ejected.
	ejectedUntil time.Time
	// trial is set after an ejection until the first success.
	trial bool
	// drainingUntil is the time until which a draining searcher gets no new
	// work.
	drainingUntil time.Time
	// slowStartFrom is the start of slow start.
	slowStartFrom time.Time
	// removed is set once the view no longer contains the searcher. The row
	// stays until its calls have ended.
	removed bool
	// missingVersions maps index versions to the time until which they are
	// assumed to be absent.
	missingVersions map[model.IndexVersion]time.Time
}

func (s searcher) withInFlightDelta(delta int) searcher {
	s.inFlight += delta
	return s
}

// withSuccess applies a reply. Latencies above threshold are slow; a threshold
// of zero means that it is unknown.
func (s searcher) withSuccess(latency, threshold time.Duration, now time.Time) searcher {
	s = s.withAvoidance(latency, threshold)
	s.sampledAt = now
	if s.meanLatency == 0 || s.meanLatency > threshold && latency <= threshold {
		// The first sample, or one that shows that a slow searcher has
		// recovered.
		s.meanLatency = latency
	}
	s.meanLatency += time.Duration(latencySampleWeight * float64(latency-s.meanLatency))
	s.failures, s.trial = 0, false
	s.limit = s.limit.WithSuccess()
	return s
}

// withLatencyBound raises the mean latency to the estimate for a call that was
// waited for without a reply.
func (s searcher) withLatencyBound(waited, threshold time.Duration, now time.Time) searcher {
	estimate := censoredFactor * waited
	if estimate > s.meanLatency || threshold > 0 && estimate > threshold {
		// A slow searcher that is still slow on its retest is avoided again.
		s = s.withAvoidance(estimate, threshold)
		s.meanLatency, s.sampledAt = max(estimate, s.meanLatency), now
	}
	return s
}

// withAvoidance doubles the avoidance time of a slow searcher after another
// slow call and resets it after a fast one.
func (s searcher) withAvoidance(latency, threshold time.Duration) searcher {
	if threshold == 0 || latency <= threshold {
		s.avoidance = minAvoidance
		return s
	}
	if s.meanLatency > threshold {
		s.avoidance = min(2*max(s.avoidance, minAvoidance), maxAvoidance)
	}
	return s
}

// avoided reports whether the searcher is slow by a sample that has not
// expired.
func (s searcher) avoided(threshold time.Duration, now time.Time) bool {
	return threshold > 0 && s.meanLatency > threshold && now.Sub(s.sampledAt) <= max(s.avoidance, minAvoidance)
}

func (s searcher) withFailure() searcher {
	s.failures++
	return s
}

func (s searcher) withShed(adaptive bool) searcher {
	if adaptive {
		s.limit = s.limit.WithShed()
	}
	return s
}

func (s searcher) withEjection(until time.Time) searcher {
	s.ejectedUntil, s.trial, s.failures = until, true, 0
	s.limit = s.limit.WithMinimum()
	return s
}

func (s searcher) withDraining(until time.Time) searcher {
	s.drainingUntil = until
	return s
}

func (s searcher) withMissingVersion(v model.IndexVersion, until time.Time) searcher {
	versions := maps.Clone(s.missingVersions)
	if versions == nil {
		versions = map[model.IndexVersion]time.Time{}
	}
	versions[v] = until
	s.missingVersions = versions
	return s
}

func (s searcher) withInfo(info model.Searcher, slotLimit int) searcher {
	s.info, s.removed = info, false
	s.limit = s.limit.WithMax(slotLimit)
	return s
}

func (s searcher) withRemoved() searcher {
	s.removed = true
	return s
}

// leaving reports whether the searcher must get no new work.
func (s searcher) leaving(now time.Time) bool {
	return s.removed || s.info.Leaving || now.Before(s.drainingUntil)
}

// mayHaveVersion reports whether the searcher may hold an index version.
func (s searcher) mayHaveVersion(v model.IndexVersion, now time.Time) bool {
	return !now.Before(s.missingVersions[v])
}

// freeSlots is the number of further calls that the searcher may get.
func (s searcher) freeSlots(now time.Time, slowStart time.Duration) int {
	limit := s.limit.Value()
	if s.trial {
		limit = 1
	} else if age := now.Sub(s.slowStartFrom); age < slowStart {
		limit = min(limit, 1+int(float64(s.limit.Max())*float64(age)/float64(slowStart)))
	}
	return limit - s.inFlight
}

// nextFreeSlot returns the time at which the limit of a searcher in slow start
// grows next.
func (s searcher) nextFreeSlot(now time.Time, slowStart time.Duration) (time.Time, bool) {
	age := now.Sub(s.slowStartFrom)
	if slowStart <= 0 || age >= slowStart {
		return time.Time{}, false
	}
	step := slowStart / time.Duration(s.limit.Max())
	return s.slowStartFrom.Add((age/step + 1) * step), true
}

// ejectFailing is the system that ejects searchers after consecutive failures
// until their probation ends. A searcher then gets one call at a time until one
// succeeds; a single failure ejects it again. Rows of searchers that left the
// view are removed once their calls have ended.
func (w *World) ejectFailing() {
	w.changes.checkedSearchers = len(w.changes.searchers)
	for _, id := range w.changes.searchers {
		s := w.searcher.Get(id)
		if !w.searchers.Has(id) {
			continue
		}
		if s.removed && s.inFlight == 0 {
			w.searchers.Remove(id)
			continue
		}
		if w.shouldEject(s) {
			until := w.Now().Add(w.rootSettings.Probation)
			w.searcher.Set(id, s.withEjection(until))
			w.timers.slots.Add(until, id)
			w.markAllChanged() // another ejected replica may have been readmitted
			w.Emit(Count{CounterHealth, "ejected"})
		}
	}
}

func (w *World) shouldEject(s searcher) bool {
	return !w.Now().Before(s.ejectedUntil) && (s.failures >= w.rootSettings.EjectAfter || s.trial && s.failures > 0)
}
