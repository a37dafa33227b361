package route

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
)

// Parts of a lease; the package comment tells how they follow from each other.
const (
	renewalsPerLease = 5 // renewals in one lease
	// waitReadInterval is the longest pause between two reads of a host that waits for a
	// seat. A service whose former hosts have left is served by nobody until then.
	waitReadInterval = time.Second

	readsPerLease    = 12 // reads in one lease while a host waits for a seat
	readGapDivisor   = 4  // reads further apart than 1/gapPart of a lease prove nothing
	outageDivisor    = 3  // platform out of reach of all peers for 1/quietPart of a lease
	answerGapDivisor = 12 // answers of peers further apart than 1/heardPart of a lease prove nothing
	retryDivisor     = 15 // delay after a failed call
	jitterDivisor    = 60 // range of the jitter before a first read or after a conflict
)

// grantDuration is how long a write of a row with this lease grants its seat.
func grantDuration(lease time.Duration) time.Duration { return lease * 2 / 3 }

// observedSeat is a row of another holder as it was first read.
type observedSeat struct {
	row   model.Seat
	since time.Time
}

// seat is the cell of this host's seat of a service.
type seat struct {
	// wanted is set while the service is assigned to this host.
	wanted bool
	// closeAfter is when a seat that is no longer wanted is closed if an assigned host
	// holds one, and lingersMost when it is closed whoever does.
	closeAfter    time.Time
	closeDeadline time.Time
	// closing is set once the grant is withdrawn; closed is when the connections
	// have closed and the row may be removed.
	closing  bool
	closedAt time.Time

	// held is set while row was written by this process and not lost; until is
	// when the grant ends.
	held  bool
	row   model.Seat
	until time.Time
	// divisor is the largest of the confirmed row and of writes with an unknown
	// outcome, that is, the smallest part that the platform may hold.
	divisor int
	// lastWritten is the latest row that was written, at the time sent.
	lastWritten model.Seat
	sentAt      time.Time
	removing    bool

	known    model.Seats
	observed []observedSeat
	readAt   time.Time
	// unhandledRead is set by a read until the next action.
	unhandledRead bool
	callInFlight  bool
	nextCall      time.Time
	calls         uint64
}

func (s seat) withNextCall(at time.Time) seat {
	s.nextCall = at
	return s
}

// withRead takes the rows of a successful read and what they tell about the
// rows of other holders.
func (s seat) withRead(now time.Time, seats model.Seats) seat {
	gap := now.Sub(s.readAt)
	var seen []observedSeat
	for _, row := range seats.Rows {
		i := slices.IndexFunc(s.observed, func(o observedSeat) bool { return o.row == row })
		if i >= 0 && gap <= row.Lease/readGapDivisor {
			seen = append(seen, s.observed[i])
			continue
		}
		seen = append(seen, observedSeat{row: row, since: now})
	}
	s.known, s.observed, s.readAt, s.unhandledRead = seats, seen, now, true
	return s
}

// withConfirmed takes the latest written row as the one that the platform holds.
func (s seat) withConfirmed() seat {
	s.held, s.row, s.divisor = true, s.lastWritten, s.lastWritten.Divisor
	return s.withUntil(s.sentAt.Add(grantDuration(s.row.Lease)))
}

// withUntil extends the grant; it is never shortened.
func (s seat) withUntil(until time.Time) seat {
	if until.After(s.until) {
		s.until = until
	}
	return s
}

// withoutRow takes the row as lost or removed.
func (s seat) withoutRow() seat {
	s.held, s.until, s.closing = false, time.Time{}, false
	return s
}

// withWrite notes a write that was sent.
func (s seat) withWrite(now time.Time, row model.Seat, removes bool) seat {
	s.callInFlight, s.unhandledRead, s.sentAt, s.removing = true, false, now, removes
	s.lastWritten = row
	if removes {
		// The write may take effect at any time from now on.
		s.held, s.until = false, time.Time{}
		return s
	}
	s.divisor = max(s.divisor, row.Divisor)
	return s
}

// expired reports whether a row of another holder may be taken over.
func (s seat) expired(now time.Time, nonce uint64, row model.Seat) bool {
	if row.Nonce == nonce {
		return false
	}
	i := slices.IndexFunc(s.observed, func(o observedSeat) bool { return o.row == row })
	return i >= 0 && now.Sub(s.observed[i].since) >= row.Lease
}

// shortestLease returns the shortestLease lease of a service's rows and the setting.
func (s seat) shortestLease(lease time.Duration) time.Duration {
	for _, row := range s.known.Rows {
		lease = min(lease, row.Lease)
	}
	return lease
}
