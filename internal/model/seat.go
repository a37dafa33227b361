package model

import (
	"slices"
	"time"
)

// Seat is a row of a service's seats: a host's right to open connections to
// the searchers of the service.
type Seat struct {
	Holder      HostID
	Incarnation uint64
	// Nonce names the process that holds the seat; a restarted host has another.
	Nonce uint64
	// Renewal grows with each write of the row by its holder.
	Renewal uint64
	// Divisor is the part of each connection cap that the row grants, as one
	// part in Divisor. The parts of all rows add up to at most 1.
	Divisor int
	// Lease is the time after which the row may be taken over if it has not
	// changed. It is part of the row, so that a change of the setting cannot
	// make a holder and a reader count by different leases.
	Lease time.Duration
}

// WithRenewal returns the seat with another renewal counter.
func (s Seat) WithRenewal(n uint64) Seat {
	s.Renewal = n
	return s
}

// WithDivisor returns the seat with another part of the connection caps.
func (s Seat) WithDivisor(n int) Seat {
	s.Divisor = n
	return s
}

// Seats are the seats of a service at one version of their object.
type Seats struct {
	Service ServiceName
	// Version is that of the object; zero if it does not exist.
	Version uint64
	Rows    []Seat
}

// ByNonce returns the row that a process holds.
func (s Seats) ByNonce(nonce uint64) (Seat, bool) {
	i := slices.IndexFunc(s.Rows, func(r Seat) bool { return r.Nonce == nonce })
	if i < 0 {
		return Seat{}, false
	}
	return s.Rows[i], true
}

// With returns the seats with a row added, or replaced if its process has one.
func (s Seats) With(row Seat) Seats {
	s = s.Without(func(r Seat) bool { return r.Nonce == row.Nonce })
	s.Rows = append(s.Rows, row)
	return s
}

// Without returns the seats without the rows for which the predicate is true.
func (s Seats) Without(remove func(Seat) bool) Seats {
	s.Rows = slices.DeleteFunc(slices.Clone(s.Rows), remove)
	return s
}

// roundingTolerance absorbs the rounding of sums of parts; with at most 128 rows the
// error is below 1e-13, and a real excess is at least 1/128².
const roundingTolerance = 1e-9

// Fits reports whether a part of the connection caps is left for a row.
func (s Seats) Fits(row Seat) bool {
	sum := 1 / float64(row.Divisor)
	for _, r := range s.Rows {
		if r.Nonce != row.Nonce {
			sum += 1 / float64(r.Divisor)
		}
	}
	return sum <= 1+roundingTolerance
}
