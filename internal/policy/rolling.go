package policy

import "time"

// RollingCounter counts events in a rolling window, in buckets of a fraction of
// the window. The covered time is at least the window and at most one bucket
// longer. Bucket times are measured on the monotonic clock from the first
// event, so that steps of the wall clock have no effect.
type RollingCounter struct {
	step    time.Duration
	start   time.Time
	buckets []int
	// newest is the number of the bucket at index newest % len(buckets).
	newest int64
	sum    int
}

// NewRollingCounter returns an empty counter over a window that is divided into
// steps buckets.
func NewRollingCounter(window time.Duration, steps int) *RollingCounter {
	return &RollingCounter{step: window / time.Duration(steps), buckets: make([]int, steps+1)}
}

// Add counts n events at the given time. Times must not go backwards by more
// than a bucket.
func (c *RollingCounter) Add(now time.Time, n int) {
	c.advance(now)
	c.buckets[c.newest%int64(len(c.buckets))] += n
	c.sum += n
}

// Sum returns the number of events in the window that ends now.
func (c *RollingCounter) Sum(now time.Time) int {
	c.advance(now)
	return c.sum
}

func (c *RollingCounter) advance(now time.Time) {
	if c.start.IsZero() {
		c.start = now
	}
	step := int64(now.Sub(c.start) / c.step)
	if step-c.newest > int64(len(c.buckets)) {
		clear(c.buckets)
		c.sum, c.newest = 0, step
		return
	}
	for c.newest < step {
		c.newest++
		i := c.newest % int64(len(c.buckets))
		c.sum -= c.buckets[i]
		c.buckets[i] = 0
	}
}

// RollingBudget limits extra events to a share of the ordinary events in a
// rolling window plus a fixed slack. Budgets of several hosts are additive: if
// each host keeps its own, the total number of extra events is at most the
// share of the total number of ordinary events plus the sum of the slacks.
type RollingBudget struct {
	// Share is the number of extra events allowed per ordinary event.
	Share float64
	// Slack is the number of extra events allowed beyond the share in one
	// window.
	Slack float64

	ordinary *RollingCounter
	extra    *RollingCounter
}

// NewRollingBudget returns a budget over a window that is divided into steps
// buckets.
func NewRollingBudget(share, slack float64, window time.Duration, steps int) *RollingBudget {
	return &RollingBudget{Share: share, Slack: slack, ordinary: NewRollingCounter(window, steps), extra: NewRollingCounter(window, steps)}
}

// Earn counts an ordinary event.
func (b *RollingBudget) Earn(now time.Time) { b.ordinary.Add(now, 1) }

// Spend counts an extra event and reports whether it is allowed. An event that
// is not allowed is not counted.
func (b *RollingBudget) Spend(now time.Time) bool {
	if float64(b.extra.Sum(now)+1) > b.Share*float64(b.ordinary.Sum(now))+b.Slack {
		return false
	}
	b.extra.Add(now, 1)
	return true
}

// Left returns the number of extra events allowed now.
func (b *RollingBudget) Left(now time.Time) float64 {
	return b.Share*float64(b.ordinary.Sum(now)) + b.Slack - float64(b.extra.Sum(now))
}
