package route

import (
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// applyOwnIncarnation schedules a renewal of all held seats when this host has
// a new incarnation.
func (w *World) applyOwnIncarnation(m model.Member) {
	if m.Incarnation <= w.incarnation {
		return
	}
	w.incarnation = m.Incarnation
	for _, id := range w.active {
		if s := w.seat.Get(id); s.held {
			w.seat.Set(id, s.withNextCall(w.Now()))
		}
	}
}

// applyPeerReports is the system that extends grants while no host reaches the
// platform.
func (w *World) applyPeerReports() {
	tick.Each(w.Inbox(), func(e PlatformContactReported) {
		if e.ContactAt.After(w.platformContact) {
			w.platformContact = e.ContactAt
		}
		if !e.ProbeSentAt.After(w.lastPeerAnswer) {
			return
		}
		if e.ProbeSentAt.Sub(w.lastPeerAnswer) > w.settings.SeatLease/answerGapDivisor {
			w.peerAnswersSince = e.ProbeSentAt
		}
		w.lastPeerAnswer = e.ProbeSentAt
	})
	for _, id := range w.active {
		s := w.seat.Get(id)
		if !s.held || !w.Now().Before(s.until) {
			continue
		}
		from := w.lastPeerAnswer
		if !w.sawPeer {
			from = w.Now()
		}
		outageStart := from.Add(-s.row.Lease / outageDivisor)
		if w.platformContact.Before(outageStart) && (!w.sawPeer || !w.peerAnswersSince.After(outageStart)) {
			until := from.Add(grantDuration(s.row.Lease))
			// Short extensions are skipped, so that not every report publishes a new view.
			if until.Sub(s.until) > s.row.Lease/answerGapDivisor {
				w.seat.Set(id, s.withUntil(until))
			}
		}
	}
}

// applySeatReads is the system that applies the results of reads.
func (w *World) applySeatReads() {
	tick.Each(w.Inbox(), func(e SeatsRead) {
		id, ok := w.services.Find(e.Service)
		if !ok {
			return
		}
		s := w.seat.Get(id)
		s.callInFlight = false
		if e.Failed || e.Seats.Version < s.seats.Version {
			w.seat.Set(id, s.withNextCall(w.Now().Add(w.retryDelay(s))))
			return
		}
		w.platformContact = w.Now()
		e.Seats.Service = e.Service
		s = s.withRead(w.Now(), e.Seats)
		own, ok := s.seats.ByNonce(w.nonce)
		switch {
		case !ok:
			s = s.withoutRow()
		case !s.removing && own == s.lastWritten:
			s = s.withConfirmed()
		}
		w.seat.Set(id, s)
	})
}

// applySeatWrites is the system that applies the results of writes. After a
// conflict or an unknown outcome the seats are read again.
func (w *World) applySeatWrites() {
	tick.Each(w.Inbox(), func(e SeatsWritten) {
		id, ok := w.services.Find(e.Service)
		if !ok {
			return
		}
		s := w.seat.Get(id)
		s.callInFlight = false
		switch e.Result {
		case model.WriteAccepted:
			s = w.applyAccepted(s, e.Version)
		case model.WriteFailed:
			s.nextCall = w.Now().Add(w.retryDelay(s))
		case model.WriteConflict, model.WriteUnknown:
			s.nextCall = w.Now().Add(w.jitter(id, s, w.settings.SeatLease/jitterDivisor))
		}
		w.seat.Set(id, s)
	})
}

func (w *World) applyAccepted(s seat, version uint64) seat {
	s.seats.Version = version
	if s.removing {
		s.seats = s.seats.Without(func(r model.Seat) bool { return r.Nonce == w.nonce })
		return s.withoutRow().withNextCall(time.Time{})
	}
	s.seats = s.seats.With(s.lastWritten)
	s = s.withConfirmed()
	interval := s.shortestLease(w.settings.SeatLease) / renewalsPerLease
	return s.withNextCall(s.sentAt.Add(interval - w.hashedDelay(s.calls, interval/8)))
}

// followAssignment is the system that requests seats for services that become
// assigned to this host, and withdraws seats that are no longer assigned. A
// seat is withdrawn once callers have had time to learn other addresses and an
// assigned host holds a seat. If former holders hold all seats, one of them
// withdraws at once.
func (w *World) followAssignment() {
	tick.Each(w.Inbox(), func(ReleaseRequested) { w.releasing = true })
	for _, id := range w.active {
		s := w.seat.Get(id)
		_, hasRow := s.seats.ByNonce(w.nonce)
		switch assigned := slices.Contains(w.service.Get(id).assigned, w.host) && !w.releasing; {
		case assigned && !s.wanted:
			s.wanted, s.closing = true, false
		case !assigned && s.wanted:
			s.wanted, s.closeAfter = false, w.Now().Add(w.closeDelay(id))
			s.closeDeadline = s.closeAfter.Add(w.settings.SeatLease)
			s.nextCall = w.Now().Add(w.jitter(id, s, w.settings.SeatLease/jitterDivisor))
		}
		switch {
		case s.wanted || s.closing && !w.releasing || !s.held && !hasRow:
		case w.releasing:
			if !s.closing || s.closedAt.After(w.Now()) {
				s.closing, s.closedAt, s.nextCall = true, w.Now(), w.Now()
			}
		case !s.held:
			s.closing, s.closedAt = true, w.Now()
		case w.yieldsSeat(id, s), !w.Now().Before(s.closeAfter) && (w.servedByAssigned(id, s) || !w.Now().Before(s.closeDeadline)):
			s.closing, s.closedAt = true, w.Now().Add(w.maxTimeout)
		case !w.Now().Before(s.closeAfter):
			s.closeAfter, s.nextCall = w.Now().Add(waitReadInterval), w.Now()
		default:
			w.WakeAt(s.closeAfter)
		}
		w.seat.Set(id, s)
	}
}

// readSeats is the system that sends due reads of seats and handles their
// results.
func (w *World) readSeats() {
	for _, id := range w.active {
		s := w.seat.Get(id)
		if s.unhandledRead && !s.callInFlight {
			s = w.handleRead(id, s)
		}
		if _, hasRow := s.seats.ByNonce(w.nonce); (s.wanted || s.held || hasRow) && s.nextCall.IsZero() && !s.callInFlight {
			s.nextCall = w.Now().Add(w.jitter(id, s, w.settings.SeatLease/jitterDivisor))
		}
		if s.closing && s.nextCall.After(s.closedAt) && s.closedAt.After(w.Now()) {
			s.nextCall = s.closedAt
		}
		if !s.callInFlight && !s.nextCall.IsZero() {
			if w.Now().Before(s.nextCall) {
				w.WakeAt(s.nextCall)
			} else {
				s.callInFlight, s.nextCall = true, time.Time{}
				s.calls++
				w.Emit(ReadSeats{w.services.Key(id)})
			}
		}
		w.seat.Set(id, s)
	}
}

// handleRead decides which write follows a read.
func (w *World) handleRead(id table.ID, s seat) seat {
	s.unhandledRead = false
	own, hasRow := s.seats.ByNonce(w.nonce)
	valid := s.seats.Without(func(r model.Seat) bool { return s.expired(w.Now(), w.nonce, r) })
	switch {
	case hasRow && s.closing && !w.Now().Before(s.closedAt):
		s = s.withWrite(w.Now(), own, true)
		w.Emit(WriteSeats{w.otherSeats(s)})
		return s
	case hasRow:
		return w.writeSeat(s, valid, w.renewedRow(id, s, own, valid))
	case !s.wanted:
		return s.withNextCall(time.Time{})
	}
	target := w.targetSeats(id)
	added := w.renewedRow(id, s, model.Seat{Holder: w.host, Nonce: w.nonce, Divisor: target}, valid)
	if len(valid.Rows) < target && valid.Fits(added) {
		return w.writeSeat(s, valid, added)
	}
	interval := min(s.shortestLease(w.settings.SeatLease)/readsPerLease, waitReadInterval)
	return s.withNextCall(w.Now().Add(interval - w.hashedDelay(s.calls, interval/8)))
}

func (w *World) writeSeat(s seat, valid model.Seats, row model.Seat) seat {
	w.Emit(WriteSeats{valid.With(row)})
	return s.withWrite(w.Now(), row, false)
}

// renewedRow returns the next state of this host's row. A smaller share of the
// connection cap takes effect at once; a larger one only if enough of the cap
// is free.
func (w *World) renewedRow(id table.ID, s seat, row model.Seat, valid model.Seats) model.Seat {
	row.Incarnation, row.Lease = w.incarnation, w.settings.SeatLease
	row.Renewal = max(row.Renewal, s.lastWritten.Renewal) + 1
	target := w.targetSeats(id)
	if resized := row.WithDivisor(target); target > row.Divisor || valid.Fits(resized) {
		return resized
	}
	return row
}

// targetSeats returns the number of seats of a service, which is at most the
// smallest connection cap of its searchers.
func (w *World) targetSeats(id table.ID) int {
	n := w.settings.Subset + w.settings.Spare
	if connectionCap := w.service.Get(id).minConnectionCap; connectionCap > 0 {
		n = min(n, connectionCap)
	}
	return n
}

// ownership returns this host's share of a service if it holds a valid seat.
func (w *World) ownership(id table.ID) (Owned, bool) {
	s, sv := w.seat.Get(id), w.service.Get(id)
	if !s.held || s.closing || !w.Now().Before(s.until) {
		return Owned{}, false
	}
	o := Owned{
		Slots:       max(1, (sv.maxSlots+w.settings.Subset-1)/w.settings.Subset),
		Connections: sv.minConnectionCap / max(s.divisor, w.targetSeats(id)), Until: s.until,
	}
	return o, o.Connections > 0
}

// otherSeats returns the seats without this host's row and without expired
// rows.
func (w *World) otherSeats(s seat) model.Seats {
	return s.seats.Without(func(r model.Seat) bool { return r.Nonce == w.nonce || s.expired(w.Now(), w.nonce, r) })
}

// confirmedHolders returns the holders of other rows that are known to run the
// service. A row exists before its host knows that the write was accepted, so
// it counts only once it has been renewed or has been visible for
// waitReadInterval.
func (w *World) confirmedHolders(s seat) []model.HostID {
	var list []model.HostID
	for _, o := range s.observed {
		confirmed := o.row.Renewal > 1 || w.Now().Sub(o.since) >= waitReadInterval
		if confirmed && o.row.Nonce != w.nonce && !s.expired(w.Now(), w.nonce, o.row) {
			list = append(list, o.row.Holder)
		}
	}
	return list
}

// servedByAssigned reports whether an assigned host runs a service, or cannot
// because this host has the only seat.
func (w *World) servedByAssigned(id table.ID, s seat) bool {
	assigned := w.service.Get(id).assigned
	return w.targetSeats(id) == 1 ||
		slices.ContainsFunc(w.confirmedHolders(s), func(h model.HostID) bool { return slices.Contains(assigned, h) })
}

// yieldsSeat reports whether this host is to withdraw its seat at once. This
// holds for the former holder with the lowest nonce if former holders hold all
// seats of a service and another of them still runs it.
func (w *World) yieldsSeat(id table.ID, s seat) bool {
	others, assigned := w.otherSeats(s).Rows, w.service.Get(id).assigned
	return len(others)+1 >= w.targetSeats(id) && len(w.confirmedHolders(s)) > 0 &&
		!slices.ContainsFunc(others, func(r model.Seat) bool {
			return r.Nonce < w.nonce || slices.Contains(assigned, r.Holder)
		})
}

// otherHolders returns the other hosts with a seat of a service if this host
// waits for a seat of it or is closing its own. Former holders keep their seats
// for a while after the assignment has moved, when no other host can run the
// service.
func (w *World) otherHolders(id table.ID) []model.HostID {
	s := w.seat.Get(id)
	if waiting := s.wanted && !s.held; !waiting && !s.closing {
		return nil
	}
	var list []model.HostID
	for _, r := range w.otherSeats(s).Rows {
		list = append(list, r.Holder)
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// reportRelease is the system that emits Released once all seats are released.
func (w *World) reportRelease() {
	if !w.releasing || w.released {
		return
	}
	for _, id := range w.active {
		s := w.seat.Get(id)
		if _, hasRow := s.seats.ByNonce(w.nonce); hasRow || s.held || s.callInFlight || !s.nextCall.IsZero() {
			return
		}
	}
	w.released = true
	w.Emit(Released{})
}

// retryDelay returns the delay after a failed call.
func (w *World) retryDelay(s seat) time.Duration {
	interval := s.shortestLease(w.settings.SeatLease) / retryDivisor
	return interval - w.hashedDelay(s.calls, interval/4)
}

// jitter returns a pseudo-random duration below maxDelay that differs between
// hosts, services and calls.
func (w *World) jitter(id table.ID, s seat, maxDelay time.Duration) time.Duration {
	return w.hashedDelay(s.calls+uint64(id)<<32, maxDelay)
}

// closeDelay returns how long a seat that is no longer wanted is kept: until no
// caller holds an answer with this host, plus jitter, so that hosts which lost
// a service together do not withdraw together.
func (w *World) closeDelay(id table.ID) time.Duration {
	ttl := w.settings.AddressTTL
	return ttl + w.hashedDelay(uint64(id), ttl/2)
}

// hashedDelay returns a duration below maxDelay that is derived from the nonce
// and n.
func (w *World) hashedDelay(n uint64, maxDelay time.Duration) time.Duration {
	if maxDelay <= 0 {
		return 0
	}
	return time.Duration(score(w.nonce, n*0x9e3779b97f4a7c15) % uint64(maxDelay))
}
