package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a rate above the limit and against a bucket that never
// refills.
func TestTokenBucketLimitsRate(t *testing.T) {
	is := is.New(t)
	p := NewTokenBucket(10*time.Millisecond, 4)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	taken := 0
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		if _, ok := p.Take(now); ok {
			taken++
		}
	}
	is.Equal(taken, 4+99)
	later := start.Add(time.Minute)
	for range 4 {
		_, ok := p.Take(later)
		is.True(ok)
	}
	next, ok := p.Take(later)
	is.True(!ok)
	is.Equal(next, later.Add(10*time.Millisecond))
}
