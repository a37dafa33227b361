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
func NewTokenBucket(interval time.Duration, burst int) *TokenBucket {
	return &TokenBucket{Interval: interval, Burst: burst}
}

// Take takes a token and reports whether one was available. If not, it returns
// the time of the next token.
func (b *TokenBucket) Take(now time.Time) (time.Time, bool) {
	if b.fullAt.Before(now) {
		b.fullAt = now
	}
	if free := b.fullAt.Add(-time.Duration(b.Burst-1) * b.Interval); free.After(now) {
		return free, false
	}
	b.fullAt = b.fullAt.Add(b.Interval)
	return now, true
}
