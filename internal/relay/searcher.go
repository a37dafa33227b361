package relay

import (
	"math"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
)

// searcher is the component of a searcher as observed by this host.
type searcher struct {
	registration model.Registration
	// start counts the starts of the searcher that this host has seen. What a call to an
	// earlier start shows says nothing about the current one. startSeenAt is when this
	// host learned of it.
	start       int
	startSeenAt time.Time
	service     table.ID
	// local is set if the searcher is in this host's failure domain.
	local bool
	// connections limits the connections of this host to the searcher.
	connections ConnectionLimits
	// delegated is set if the searcher takes less than one connection from each host,
	// so that calls to it are delegated.
	delegated bool
	inFlight  int
	// limit bounds the calls in flight; it is lowered when the searcher sheds load.
	limit policy.Limit
	// lastProgress is when the searcher last answered or got a call while idle.
	lastProgress time.Time
	// latencyRatio is the smoothed ratio of its latencies to the median latencies
	// of the routes. Without new samples since sampledAt it decays to 1.
	latencyRatio float64
	sampledAt    time.Time
	// failedShare is the smoothed fraction of failed calls as of sampledAt.
	failedShare float64
	// consecutiveLosses counts the calls since the last answer that ended without
	// one, and avoidUntil is the end of the cost penalty for several of them.
	consecutiveLosses int
	avoidUntil        time.Time
	// warmUntil is the end of the searcher's warm-up after its start.
	warmUntil time.Time
	// pausedUntil is the time before which the searcher takes no calls from this host.
	pausedUntil time.Time
	// saidLeaving is set once a reply has reported that the searcher is leaving, which
	// its registration may not say. The row is kept until keepUntil, even if the
	// searcher is no longer registered.
	saidLeaving bool
	keepUntil   time.Time
	// rateLimited is set while the replies of the searcher name a limit for all hosts,
	// of which this host keeps its share by pace. limitNamedAt is when a reply last
	// named it.
	rateLimited  bool
	rateLimit    float64
	limitNamedAt time.Time
	pace         policy.Pace
	// draining is set once the searcher must not get new calls: it is leaving, is
	// no longer registered, or another searcher has its address.
	draining bool
}

// decay returns the remaining weight of the samples, 1 for fresh ones.
func (s searcher) decay(now time.Time) float64 {
	return math.Exp2(-now.Sub(s.sampledAt).Seconds() / sampleHalfLife.Seconds())
}

// currentLatencyRatio returns the latency ratio, decayed to the given time.
func (s searcher) currentLatencyRatio(now time.Time) float64 {
	return 1 + (s.latencyRatio-1)*s.decay(now)
}

// withSample returns the searcher with a latency ratio and the outcome of a call
// added to its smoothed values.
func (s searcher) withSample(ratio float64, failed bool, now time.Time) searcher {
	d := s.decay(now)
	s.latencyRatio = 1 + (s.latencyRatio-1)*d
	s.failedShare *= d
	s.latencyRatio += (min(ratio, maxLatencyRatio) - s.latencyRatio) * sampleWeight
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failedShare += (outcome - s.failedShare) * sampleWeight
	s.sampledAt = now
	return s
}

func (s searcher) withCall(now time.Time) searcher {
	if s.inFlight == 0 {
		s.lastProgress = now
	}
	s.inFlight++
	if s.rateLimited {
		s.pace = s.pace.WithEvent(now)
	}
	return s
}

// withoutFormerCall returns the searcher after the end of a call to an earlier start.
func (s searcher) withoutFormerCall() searcher {
	s.inFlight--
	return s
}

func (s searcher) withoutCall(now time.Time, answered bool) searcher {
	s.inFlight--
	if answered {
		s.lastProgress = now
		s.consecutiveLosses, s.avoidUntil = 0, time.Time{}
		s.limit = s.limit.WithSuccess()
	}
	return s
}

// withLoss returns the searcher after a call that ended without an answer.
func (s searcher) withLoss(now time.Time) searcher {
	s.consecutiveLosses++
	if s.consecutiveLosses >= lossesToAvoid {
		s.avoidUntil = now.Add(min(avoidTimeMin<<min(s.consecutiveLosses-lossesToAvoid, 8), avoidTimeMax))
	}
	return s
}

// withPause returns the searcher with a pause requested by its reply.
func (s searcher) withPause(until time.Time) searcher {
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
	return s
}

// withRateLimit returns the searcher with the limit that its reply named and the pace
// of this host.
func (s searcher) withRateLimit(limit float64, p policy.Pace, now time.Time) searcher {
	s.rateLimited, s.rateLimit, s.pace, s.limitNamedAt = true, limit, p, now
	return s
}

// withoutRateLimit returns the searcher after a reply that names no limit any more.
func (s searcher) withoutRateLimit() searcher {
	s.rateLimited = false
	return s
}

// availableAt returns the time from which the searcher takes another call from this
// host, apart from the limits on calls in flight.
func (s searcher) availableAt(now time.Time) time.Time {
	if !s.rateLimited {
		return s.pausedUntil
	}
	if at := s.pace.AvailableAt(now); at.After(s.pausedUntil) {
		return at
	}
	return s.pausedUntil
}

// callsPerSecond returns the number of calls that the searcher takes from this host;
// infinite without a limit.
func (s searcher) callsPerSecond() float64 {
	if !s.rateLimited {
		return math.Inf(1)
	}
	return 1 / s.pace.Interval.Seconds()
}

// withSaidLeaving returns the searcher after a reply that reports that it is leaving.
func (s searcher) withSaidLeaving(keepUntil time.Time) searcher {
	s.saidLeaving, s.draining, s.keepUntil = true, true, keepUntil
	return s
}

// removable reports whether the row of a searcher that is no longer registered can
// be removed. What its replies said must outlast a registration that is away for a
// moment.
func (s searcher) removable(now time.Time) bool {
	limitKnown := s.rateLimited && now.Before(s.limitNamedAt.Add(replyRetention))
	return s.inFlight == 0 && !now.Before(s.pausedUntil) && !now.Before(s.keepUntil) && !limitKnown
}

func (s searcher) withDraining() searcher {
	s.draining = true
	return s
}

// withRegistration returns the searcher with the given registration. Its
// statistics are reset if the registration belongs to another start.
func (s searcher) withRegistration(r model.Registration, local bool, now time.Time) searcher {
	if !s.registration.SameStart(r) {
		s = searcher{
			service: s.service, start: s.start + 1, startSeenAt: now, inFlight: s.inFlight, latencyRatio: 1, sampledAt: now, warmUntil: now.Add(r.WarmUp),
		}
	}
	s.registration, s.local, s.draining = r, local, r.Searcher.Leaving || s.saidLeaving
	return s
}

// withConnections returns the searcher with the limits of this host's connections.
// Delegated calls need none, and are limited to what the searcher can run and queue.
func (s searcher) withConnections(c ConnectionLimits, delegated bool) searcher {
	s.connections, s.delegated = c, delegated
	s.limit = s.limit.WithMax(s.maxInFlight())
	return s
}

// maxInFlight returns the number of calls that this host may have in flight.
func (s searcher) maxInFlight() int {
	if s.delegated {
		return max(s.connections.MaxOpen, delegatedCallsPerSlot*s.registration.Searcher.Slots)
	}
	return s.connections.MaxOpen
}

func (s searcher) withShed() searcher {
	s.limit = s.limit.WithShed()
	return s
}

// usable reports whether this host may send calls to the searcher.
func (s searcher) usable() bool { return !s.draining && s.connections.MaxOpen > 0 }

// full reports whether the calls in flight have reached the limit of this host.
func (s searcher) full() bool { return s.inFlight >= min(s.maxInFlight(), s.limit.Value()) }
