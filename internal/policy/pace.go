package policy

import (
	"math"
	"time"
)

// Pace limits the rate of events by the generic cell rate algorithm (ITU-T I.371):
// a bucket of tokens that gains one per Interval. It is immutable.
type Pace struct {
	// Interval is the time in which a token is gained.
	Interval time.Duration
	// Burst is the number of tokens that the bucket holds, at least 1.
	Burst float64
	// Lapse is the time after which an unused token is lost; zero if tokens are kept.
	// It is used with a Burst of 1, for events at random times that many holders of a
	// small share must not make together.
	Lapse time.Duration

	// fullAt is the time at which the bucket is full again.
	fullAt time.Time
}

// NewPace returns an empty bucket that gains perSecond tokens a second, which must be
// positive, up to the given number.
func NewPace(perSecond, burst float64, now time.Time) Pace {
	p := Pace{Interval: interval(perSecond), Burst: max(burst, 1)}
	p.fullAt = now.Add(scale(p.Interval, p.Burst))
	return p
}

// WithRate returns the pace with another rate and burst. It keeps its tokens as far
// as the bucket holds them.
func (p Pace) WithRate(perSecond, burst float64, now time.Time) Pace {
	next := Pace{Interval: interval(perSecond), Burst: max(burst, 1), Lapse: p.Lapse}
	missing := max(float64(p.current(now).fullAt.Sub(now))/float64(p.Interval), 0)
	tokens := min(max(p.Burst-missing, 0), next.Burst)
	next.fullAt = now.Add(scale(next.Interval, next.Burst-tokens))
	return next
}

// WithLapse returns the pace with tokens that are lost unless used within d, and the
// first one after the given fraction of an interval.
func (p Pace) WithLapse(d time.Duration, phase float64, now time.Time) Pace {
	p.Burst, p.Lapse = 1, d
	p.fullAt = now.Add(scale(p.Interval, phase))
	return p
}

// WithEvent returns the pace after an event, which takes a token.
func (p Pace) WithEvent(now time.Time) Pace {
	p = p.current(now)
	if p.fullAt.Before(now) {
		p.fullAt = now
	}
	p.fullAt = p.fullAt.Add(p.Interval)
	return p
}

// AvailableAt returns the time of the next event, which may be in the past.
func (p Pace) AvailableAt(now time.Time) time.Time {
	p = p.current(now)
	return p.fullAt.Add(-scale(p.Interval, p.Burst-1))
}

// current returns the pace without tokens that have lapsed.
func (p Pace) current(now time.Time) Pace {
	if overdue := now.Sub(p.fullAt) - p.Lapse; p.Lapse > 0 && overdue > 0 {
		p.fullAt = p.fullAt.Add(p.Interval * (overdue/p.Interval + 1))
	}
	return p
}

func interval(perSecond float64) time.Duration {
	return max(scale(time.Second, 1/perSecond), 1)
}

// scale returns a duration times a factor, bounded so that tiny rates do not
// overflow.
func scale(d time.Duration, factor float64) time.Duration {
	const maxDuration = 24 * time.Hour
	return time.Duration(math.Min(float64(d)*factor, float64(maxDuration)))
}
