package policy

const (
	// slotsPerSuccess is the number of slots by which a success raises a limit.
	slotsPerSuccess = 0.1
	// shedFactor is the factor by which a refusal for lack of capacity lowers
	// a limit.
	shedFactor = 0.7
)

// Limit is an adaptive concurrency limit between 1 and a maximum, with additive
// increase and multiplicative decrease (Chiu and Jain, 1989). It is an
// immutable value.
type Limit struct {
	current float64
	max     int
}

// NewLimit returns a limit that starts at its maximum. The maximum is raised to
// 1 if it is lower.
func NewLimit(limit int) Limit {
	return Limit{current: float64(max(limit, 1)), max: max(limit, 1)}
}

// Value returns the number of requests that may run at once, at least 1.
func (l Limit) Value() int { return max(int(l.current), 1) }

// Max returns the maximum.
func (l Limit) Max() int { return l.max }

// WithMax returns the limit with another maximum. A higher maximum raises the
// current value by the difference.
func (l Limit) WithMax(limit int) Limit {
	limit = max(limit, 1)
	if limit > l.max {
		l.current += float64(limit - l.max)
	}
	l.max = limit
	l.current = min(l.current, float64(limit))
	return l
}

// WithSuccess returns the limit after a successful request.
func (l Limit) WithSuccess() Limit {
	l.current = min(l.current+slotsPerSuccess, float64(l.max))
	return l
}

// WithShed returns the limit after a refusal for lack of capacity.
func (l Limit) WithShed() Limit {
	l.current = max(l.current*shedFactor, 1)
	return l
}

// WithMinimum returns the limit lowered to 1, for a server that was just
// started or ejected.
func (l Limit) WithMinimum() Limit {
	l.current = 1
	return l
}
