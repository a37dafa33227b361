// Package policy provides generic policies and the containers they work on:
// token budgets, sample windows, adaptive limits, rankings, queues, timers and
// an LRU map.
//
// The package does no I/O and reads no clock; the caller passes the time.
//
// # Usage
//
//	hedges := policy.NewBudget(0.05, 10)
//	hedges.Earn()
//	if hedges.Spend() { ... }
package policy

// Budget limits extra work to a share of the regular work with tokens: each
// unit of regular work earns a fraction of a token and each unit of extra work
// spends a whole one.
type Budget struct {
	// Share is the number of tokens earned per unit of regular work.
	Share float64
	// Burst is the maximum number of accumulated tokens.
	Burst float64

	tokens float64
}

// NewBudget returns a budget that starts with one token, so that a service with
// little traffic can still do extra work occasionally.
func NewBudget(share, burst float64) *Budget {
	return &Budget{Share: share, Burst: burst, tokens: min(1, burst)}
}

// Earn counts one unit of regular work.
func (b *Budget) Earn() { b.tokens = min(b.tokens+b.Share, b.Burst) }

// Spend takes a token for one unit of extra work and reports whether one was
// available.
func (b *Budget) Spend() bool {
	if b.Share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
