package query

import (
	"maps"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

const (
	// latencyWeight is the weight of a new sample in a searcher's moving
	// average of latency.
	latencyWeight = 0.2
	// latencyHold is how long a searcher is avoided for its latency without a
	// new sample. After it the searcher gets a call, so that one that was slow
	// for a while is found to be fast again. The hold doubles up to
	// latencyHoldMost while it is found to be slow still: with one searcher in
	// twenty slow, a constant hold of 2 s slowed one search in fifteen.
	latencyHold     = 2 * time.Second
	latencyHoldMost = time.Minute
	// censoredFactor estimates the latency of a call that was cancelled from
	// the time that it was waited for. A cancelled call is a lower bound only;
	// averaged as a sample it kept slow searchers below slowFactor.
	censoredFactor = 2
	// drainHold is how long a searcher that said it drains gets no new work,
	// unless it says so again. The host list is expected to name it by then.
	drainHold = 30 * time.Second
	// lackHold is how long a searcher is taken not to hold an index version
	// after it said so.
	lackHold = 10 * time.Second
)

// searcher is the cell of a searcher as this lane has observed it.
type searcher struct {
	info     model.Searcher
	service  table.ID
	inFlight int
	limit    policy.Limit
	// latency is the moving average of reply times; zero before the first.
	latency time.Duration
	// sampled is when latency changed last, and hold how long the searcher is
	// avoided from then if it is slow.
	sampled  time.Time
	hold     time.Duration
	failures int
	// ejected is the end of the ejection; zero if not ejected.
	ejected time.Time
	// trial is set after an ejection until the first success.
	trial bool
	// draining is the end of the time without new work.
	draining time.Time
	// warmUntil is the end of slow start.
	warmFrom time.Time
	// gone is set once the view no longer names the searcher; the row stays
	// until its calls have ended.
	gone bool
	// lacks holds until when an index version is taken to be absent.
	lacks map[model.IndexVersion]time.Time
}

func (s searcher) withInFlight(delta int) searcher {
	s.inFlight += delta
	return s
}

// withSuccess takes a reply; slow is the latency from which on searchers are
// avoided, zero if not known.
func (s searcher) withSuccess(took, slow time.Duration, now time.Time) searcher {
	s = s.withHold(took, slow)
	s.sampled = now
	if s.latency == 0 || s.latency > slow && took <= slow {
		// The first sample, or one that shows a slow searcher to be fast again.
		s.latency = took
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
	s.failures, s.trial = 0, false
	s.limit = s.limit.WithSuccess()
	return s
}

// withSlow raises the latency to what a call that had no reply after a time
// would have taken.
func (s searcher) withSlow(waited, slow time.Duration, now time.Time) searcher {
	likely := censoredFactor * waited
	if likely > s.latency || slow > 0 && likely > slow {
		// A slow searcher that was tried again and is still slow is avoided anew.
		s = s.withHold(likely, slow)
		s.latency, s.sampled = max(likely, s.latency), now
	}
	return s
}

// withHold lengthens the hold after a slow call and ends it after another.
func (s searcher) withHold(took, slow time.Duration) searcher {
	if slow == 0 || took <= slow {
		s.hold = latencyHold
		return s
	}
	if s.latency > slow {
		s.hold = min(2*max(s.hold, latencyHold), latencyHoldMost)
	}
	return s
}

// avoided reports whether the searcher is slow by an earlier sample that still
// counts.
func (s searcher) avoided(slow time.Duration, now time.Time) bool {
	return slow > 0 && s.latency > slow && now.Sub(s.sampled) <= max(s.hold, latencyHold)
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
	s.ejected, s.trial, s.failures = until, true, 0
	s.limit = s.limit.WithMinimum()
	return s
}

func (s searcher) withDraining(until time.Time) searcher {
	s.draining = until
	return s
}

func (s searcher) withLack(v model.IndexVersion, until time.Time) searcher {
	lacks := maps.Clone(s.lacks)
	if lacks == nil {
		lacks = map[model.IndexVersion]time.Time{}
	}
	lacks[v] = until
	s.lacks = lacks
	return s
}

func (s searcher) withInfo(info model.Searcher, most int) searcher {
	s.info, s.gone = info, false
	s.limit = s.limit.WithMax(most)
	return s
}

func (s searcher) withGone() searcher {
	s.gone = true
	return s
}

// leaving reports whether the searcher must get no new work.
func (s searcher) leaving(now time.Time) bool {
	return s.gone || s.info.Leaving || now.Before(s.draining)
}

// has reports whether the searcher may hold an index version.
func (s searcher) has(v model.IndexVersion, now time.Time) bool {
	return !now.Before(s.lacks[v])
}

// room is the number of further calls that the searcher may get.
func (s searcher) room(now time.Time, slowStart time.Duration) int {
	most := s.limit.Value()
	if s.trial {
		most = 1
	} else if age := now.Sub(s.warmFrom); age < slowStart {
		most = min(most, 1+int(float64(s.limit.Max())*float64(age)/float64(slowStart)))
	}
	return most - s.inFlight
}

// nextRoom returns when the limit of a searcher in slow start grows next.
func (s searcher) nextRoom(now time.Time, slowStart time.Duration) (time.Time, bool) {
	age := now.Sub(s.warmFrom)
	if slowStart <= 0 || age >= slowStart {
		return time.Time{}, false
	}
	step := slowStart / time.Duration(s.limit.Max())
	return s.warmFrom.Add((age/step + 1) * step), true
}

// probe is the system that ejects searchers after consecutive failures and
// returns them after probation. A returned searcher gets one call at a time
// until it succeeds; one failure ejects it again. Rows of searchers that left
// the view are removed once their calls have ended.
func (w *World) probe() {
	w.changes.probed = len(w.changes.searchers)
	for _, id := range w.changes.searchers {
		s := w.searcher.Get(id)
		if !w.searchers.Has(id) {
			continue
		}
		if s.gone && s.inFlight == 0 {
			w.searchers.Remove(id)
			continue
		}
		if w.mustEject(s) {
			until := w.Now().Add(w.root.Probation)
			w.searcher.Set(id, s.withEjection(until))
			w.timers.room.Add(until, id)
			w.touchAll() // another ejected replica may be in choice now
			w.Emit(Count{CounterHealth, "ejected"})
		}
	}
}

func (w *World) mustEject(s searcher) bool {
	return !w.Now().Before(s.ejected) && (s.failures >= w.root.EjectAfter || s.trial && s.failures > 0)
}
