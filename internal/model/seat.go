package model

import (
	"slices"
	"time"
)

// Seat is a lease that allows a host to open connections to the searchers of a
// service.
type Seat struct {
	Holder      HostID
	Incarnation uint64
	// Nonce identifies the process that holds the seat. It changes when the host
	// restarts.
	Nonce uint64
	// Renewal is incremented by each write of the row by its holder.
	Renewal uint64
	// Divisor is the reciprocal of the share of each connection cap that the row
	// grants. The shares of all rows add up to at most 1.
	Divisor int
	// Lease is the time after which another host may take over an unchanged row.
	// It is stored in the row, so that the holder and all readers use the same
	// lease when the setting changes.
	Lease time.Duration
}

// WithRenewal returns a copy of the seat with the given renewal counter.
func (s Seat) WithRenewal(n uint64) Seat {
	s.Renewal = n
	return s
}

// WithDivisor returns a copy of the seat with the given divisor.
func (s Seat) WithDivisor(n int) Seat {
	s.Divisor = n
	return s
}

// Seats holds the seats of a service, read at one version of their object.
type Seats struct {
	Service ServiceName
	// Version is the version of the object, or zero if it does not exist.
	Version uint64
	Rows    []Seat
}

// ByNonce returns the row held by the process with the given nonce.
func (s Seats) ByNonce(nonce uint64) (Seat, bool) {
	i := slices.IndexFunc(s.Rows, func(r Seat) bool { return r.Nonce == nonce })
	if i < 0 {
		return Seat{}, false
	}
	return s.Rows[i], true
}

// With returns a copy of the seats with a row added. It replaces the row of the
// same process.
func (s Seats) With(row Seat) Seats {
	s = s.Without(func(r Seat) bool { return r.Nonce == row.Nonce })
	s.Rows = append(s.Rows, row)
	return s
}

// Without returns a copy of the seats without the rows that match the predicate.
func (s Seats) Without(remove func(Seat) bool) Seats {
	s.Rows = slices.DeleteFunc(slices.Clone(s.Rows), remove)
	return s
}

// roundingTolerance absorbs rounding errors in sums of shares. With at most 128
// rows the error is below 1e-13, and a real excess is at least 1/128².
const roundingTolerance = 1e-9

// Fits reports whether the shares of all rows still add up to at most 1 after the
// row is added or replaces the row of the same process.
func (s Seats) Fits(row Seat) bool {
	sum := 1 / float64(row.Divisor)
	for _, r := range s.Rows {
		if r.Nonce != row.Nonce {
			sum += 1 / float64(r.Divisor)
		}
	}
	return sum <= 1+roundingTolerance
}
