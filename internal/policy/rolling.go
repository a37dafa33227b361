package policy

import "time"

// RollingCounter counts events over a window that moves with the time, in steps of a
// fraction of the window. The window covered is never shorter than asked for and
// at most one step longer. Steps are counted from the first event on the
// monotonic clock, so that a step of the time of day changes nothing.
type RollingCounter struct {
	step    time.Duration
	start   time.Time
	buckets []int
	// newest is the index of the step that buckets[newest % len] counts.
	newest int64
	sum    int
}

// NewRollingCounter returns an empty count over a window that is kept in steps.
func NewRollingCounter(window time.Duration, steps int) *RollingCounter {
	return &RollingCounter{step: window / time.Duration(steps), buckets: make([]int, steps+1)}
}

// Add counts n events at a time. Times must not go backwards by more than a
// step.
func (r *RollingCounter) Add(now time.Time, n int) {
	r.advance(now)
	r.buckets[r.newest%int64(len(r.buckets))] += n
	r.sum += n
}

// Sum returns the number of events in the window that ends now.
func (r *RollingCounter) Sum(now time.Time) int {
	r.advance(now)
	return r.sum
}

func (r *RollingCounter) advance(now time.Time) {
	if r.start.IsZero() {
		r.start = now
	}
	step := int64(now.Sub(r.start) / r.step)
	if step-r.newest > int64(len(r.buckets)) {
		clear(r.buckets)
		r.sum, r.newest = 0, step
		return
	}
	for r.newest < step {
		r.newest++
		i := r.newest % int64(len(r.buckets))
		r.sum -= r.buckets[i]
		r.buckets[i] = 0
	}
}

// RollingBudget bounds extra events by a share of the ordinary ones in a rolling
// window plus a fixed slack. Allowances of several hosts add up: if each keeps
// its own, the sum of extras is at most the share of the sum of the ordinary
// events plus the sum of the slacks.
type RollingBudget struct {
	// Share is the number of extra events for each ordinary one.
	Share float64
	// Slack is the number of extra events beyond the share in one window.
	Slack float64

	ordinary *RollingCounter
	extra    *RollingCounter
}

// NewRollingBudget returns an allowance over a window.
func NewRollingBudget(share, slack float64, window time.Duration, steps int) *RollingBudget {
	return &RollingBudget{Share: share, Slack: slack, ordinary: NewRollingCounter(window, steps), extra: NewRollingCounter(window, steps)}
}

// Earn counts an ordinary event.
func (a *RollingBudget) Earn(now time.Time) { a.ordinary.Add(now, 1) }

// Spend counts an extra event and reports whether it is allowed; one that is
// not allowed is not counted.
func (a *RollingBudget) Spend(now time.Time) bool {
	if float64(a.extra.Sum(now)+1) > a.Share*float64(a.ordinary.Sum(now))+a.Slack {
		return false
	}
	a.extra.Add(now, 1)
	return true
}

// Left returns how many extra events are allowed now.
func (a *RollingBudget) Left(now time.Time) float64 {
	return a.Share*float64(a.ordinary.Sum(now)) + a.Slack - float64(a.extra.Sum(now))
}
