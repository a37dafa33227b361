package policy

import "time"

// TokenBucket limits a rate. It holds up to Burst tokens and gains one per
// Interval.
type TokenBucket struct {
	Interval time.Duration
	Burst    int

	// fullAt is the time at which the bucket is full again.
	fullAt time.Time
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(every time.Duration, burst int) *TokenBucket {
	return &TokenBucket{Interval: every, Burst: burst}
}

// Take takes a token and reports whether one was available. If not, it returns
// the time of the next token.
func (p *TokenBucket) Take(now time.Time) (time.Time, bool) {
	if p.fullAt.Before(now) {
		p.fullAt = now
	}
	if free := p.fullAt.Add(-time.Duration(p.Burst-1) * p.Interval); free.After(now) {
		return free, false
	}
	p.fullAt = p.fullAt.Add(p.Interval)
	return now, true
}
