package route

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
)

// Most intervals are given as divisors of the lease; the package comment
// explains how they depend on each other.
const (
	renewalsPerLease = 5
	// waitReadInterval is the maximum interval between reads while a host waits
	// for a seat. A service whose former holders have left has no host until
	// the next read.
	waitReadInterval = time.Second

	readsPerLease    = 12 // while a host waits for a seat
	readGapDivisor   = 4  // a longer gap between reads may hide a change of a row
	outageDivisor    = 3  // time without platform contact before grants are extended
	answerGapDivisor = 12 // a longer gap between peer answers may hide a platform contact
	retryDivisor     = 15 // delay after a failed call
	jitterDivisor    = 60 // maximum jitter before a first read or after a conflict
)

// grantDuration returns for how long a write of a row with this lease grants
// the seat.
func grantDuration(lease time.Duration) time.Duration { return lease * 2 / 3 }

// observedSeat is a row with the time at which this version of it was first
// read.
type observedSeat struct {
	row   model.Seat
	since time.Time
}

// seat is the component that holds this host's seat of a service.
type seat struct {
	// wanted is set while the service is assigned to this host.
	wanted bool
	// closeAfter is when a seat that is no longer wanted is closed if an
	// assigned host holds a seat; closeDeadline is when it is closed in any
	// case.
	closeAfter    time.Time
	closeDeadline time.Time
	// closing is set once the grant is withdrawn. At closedAt the connections
	// have closed and the row may be removed.
	closing  bool
	closedAt time.Time

	// held is set while row was written by this process and is not known to be
	// lost. The grant ends at until.
	held  bool
	row   model.Seat
	until time.Time
	// divisor is the maximum divisor of the confirmed row and of writes with an
	// unknown outcome. It gives the smallest share of the connection cap that
	// the platform may have stored for this host.
	divisor int
	// lastWritten is the latest row that was written, at sentAt; removing is
	// set if that write removes it.
	lastWritten model.Seat
	sentAt      time.Time
	removing    bool

	// seats holds the rows of the service that were last read or written, and
	// observed the time since which each row has been read unchanged.
	seats      model.Seats
	observed   []observedSeat
	lastReadAt time.Time
	// unhandledRead is set by a read until handleRead has processed it.
	unhandledRead bool
	callInFlight  bool
	nextCall      time.Time
	calls         uint64
}

func (s seat) withNextCall(at time.Time) seat {
	s.nextCall = at
	return s
}

// withRead applies the rows of a successful read and updates for how long each
// row has been observed.
func (s seat) withRead(now time.Time, seats model.Seats) seat {
	gap := now.Sub(s.lastReadAt)
	var observed []observedSeat
	for _, r := range seats.Rows {
		i := slices.IndexFunc(s.observed, func(o observedSeat) bool { return o.row == r })
		if i >= 0 && gap <= r.Lease/readGapDivisor {
			observed = append(observed, s.observed[i])
			continue
		}
		observed = append(observed, observedSeat{row: r, since: now})
	}
	s.seats, s.observed, s.lastReadAt, s.unhandledRead = seats, observed, now, true
	return s
}

// withConfirmed marks the last written row as accepted by the platform.
func (s seat) withConfirmed() seat {
	s.held, s.row, s.divisor = true, s.lastWritten, s.lastWritten.Divisor
	return s.withUntil(s.sentAt.Add(grantDuration(s.row.Lease)))
}

// withUntil extends the grant; it never shortens it.
func (s seat) withUntil(until time.Time) seat {
	if until.After(s.until) {
		s.until = until
	}
	return s
}

// withoutRow marks the row as lost or removed.
func (s seat) withoutRow() seat {
	s.held, s.until, s.closing = false, time.Time{}, false
	return s
}

// withWrite records a write that was sent.
func (s seat) withWrite(now time.Time, row model.Seat, removes bool) seat {
	s.callInFlight, s.unhandledRead, s.sentAt, s.removing = true, false, now, removes
	s.lastWritten = row
	if removes {
		// The removal may take effect at any time from now on.
		s.held, s.until = false, time.Time{}
		return s
	}
	s.divisor = max(s.divisor, row.Divisor)
	return s
}

// expired reports whether the lease of a row of another holder is over, so that
// the row may be replaced.
func (s seat) expired(now time.Time, nonce uint64, row model.Seat) bool {
	if row.Nonce == nonce {
		return false
	}
	i := slices.IndexFunc(s.observed, func(o observedSeat) bool { return o.row == row })
	return i >= 0 && now.Sub(s.observed[i].since) >= row.Lease
}

// shortestLease returns the minimum of lease and the leases of all rows of the
// service.
func (s seat) shortestLease(lease time.Duration) time.Duration {
	for _, r := range s.seats.Rows {
		lease = min(lease, r.Lease)
	}
	return lease
}
