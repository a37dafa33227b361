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
	b := NewTokenBucket(10*time.Millisecond, 4)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	taken := 0
	for at := start; at.Before(start.Add(time.Second)); at = at.Add(time.Millisecond) {
		if _, ok := b.Take(at); ok {
			taken++
		}
	}
	is.Equal(taken, 4+99)
	later := start.Add(time.Minute)
	for range 4 {
		_, ok := b.Take(later)
		is.True(ok)
	}
	next, ok := b.Take(later)
	is.True(!ok)
	is.Equal(next, later.Add(10*time.Millisecond))
}
