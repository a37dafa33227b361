package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// holder drives the world of host-0 step by step and records its latest view
// and commands.
type holder struct {
	is   *is.I
	w    *World
	now  time.Time
	view Assigned
	read []ReadSeats
	sent []WriteSeats
}

// newHolder returns a host that is assigned to jury-desk with a cap of 100 and
// whose first read of the seats is pending.
func newHolder(t *testing.T, values map[tree.Key]int64) *holder {
	t.Helper()
	h := &holder{is: is.New(t), w: NewWorld("host-0", 7), now: start}
	h.tick(SettingsChanged{settings(t, values)}, IndexesChanged{[]model.Index{indexOf("jury-desk", 100)}},
		MembersChanged{[]model.Member{host(0, 1), host(1, 1)}})
	h.toRead()
	return h
}

func (h *holder) tick(events ...Event) {
	h.read, h.sent = nil, nil
	for _, c := range h.w.Tick(h.now, events) {
		switch c := c.(type) {
		case Assigned:
			h.view = c
		case ReadSeats:
			h.read = append(h.read, c)
		case WriteSeats:
			h.sent = append(h.sent, c)
		}
	}
}

// toRead advances to the next read.
func (h *holder) toRead() {
	h.is.Helper()
	for range 100 {
		if len(h.read) > 0 {
			return
		}
		h.now = h.w.Next()
		h.tick()
	}
	h.is.Fail() // there is no further read
}

// answer supplies the result of the read and returns the rows of the write that
// follows.
func (h *holder) answer(version uint64, rows ...model.Seat) []model.Seat {
	h.tick(SeatsRead{Service: "jury-desk", Seats: model.Seats{Version: version, Rows: rows}})
	if len(h.sent) == 0 {
		return nil
	}
	return h.sent[0].Seats.Rows
}

func (h *holder) written(result model.WriteResult, version uint64) {
	h.tick(SeatsWritten{Service: "jury-desk", Result: result, Version: version})
}

func (h *holder) owned() Owned { return h.view.Owned["jury-desk"] }

// Guards against a write with a lost reply that is not recognized when it is
// read back, and against a grant that starts later than that write.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	h := newHolder(t, nil)
	rows := h.answer(0)
	sent := h.now
	h.written(model.WriteUnknown, 0)
	h.is.Equal(h.owned(), Owned{}) // not known to be held
	h.toRead()
	h.is.True(h.now.After(sent))
	h.answer(1, rows...)
	h.is.Equal(h.owned().Until, sent.Add(40*time.Second)) // two thirds of the lease
}

// Guards against a stale read that makes the host give up its seat.
func TestOlderReadChangesNothing(t *testing.T) {
	h := newHolder(t, nil)
	h.answer(3)
	h.written(model.WriteAccepted, 4)
	before := h.owned()
	h.is.True(before.Connections > 0)
	h.toRead()
	h.is.Equal(len(h.answer(3)), 0) // a stale read causes no write
	h.is.Equal(h.owned(), before)
}

// Guards against using a larger share of the cap than the platform may have on
// record while the outcome of a write with a smaller share is unknown.
func TestSmallestUnresolvedPartCounts(t *testing.T) {
	h := newHolder(t, nil)
	rows := h.answer(0)
	h.written(model.WriteAccepted, 1)
	h.is.Equal(h.owned().Connections, 25) // one of 4 seats
	h.tick(SettingsChanged{settings(t, map[tree.Key]int64{tree.KeySpare: 8})})
	h.is.Equal(h.owned().Connections, 10) // a smaller share takes effect at once
	h.toRead()
	smaller := h.answer(1, rows...)
	h.is.Equal(smaller[0].Divisor, 10)
	h.written(model.WriteUnknown, 0)
	h.tick(SettingsChanged{settings(t, nil)})
	h.is.Equal(h.owned().Connections, 10)
	h.toRead()
	h.is.Equal(h.answer(2, smaller...)[0].Divisor, 4)
	h.is.Equal(h.owned().Connections, 10)
	h.written(model.WriteAccepted, 3)
	h.is.Equal(h.owned().Connections, 25)
}

// Guards against a grant that resumes while the write that removes its row may
// still take effect.
func TestRemovalEndsTheGrant(t *testing.T) {
	h := newHolder(t, map[tree.Key]int64{tree.KeyMaxTimeout: 1000, tree.KeySeatLease: 600_000})
	rows := h.answer(0)
	h.written(model.WriteAccepted, 1)
	h.tick(MembersChanged{[]model.Member{host(0, 1).WithState(model.MemberSuspect)}})
	for version := uint64(1); ; version++ {
		h.toRead()
		next := h.answer(version, rows...)
		if len(next) == 0 {
			break // the row is removed
		}
		rows = next
		h.written(model.WriteAccepted, version+1)
	}
	h.written(model.WriteUnknown, 0)
	h.tick(MembersChanged{[]model.Member{host(0, 1)}})
	h.is.Equal(h.owned(), Owned{})
	h.toRead()
	h.answer(100_000, rows...) // the removal has not taken effect yet
	h.is.Equal(h.owned(), Owned{})
	h.written(model.WriteAccepted, 100_001) // the version has changed, so the removal can no longer take effect
	h.is.True(h.owned().Connections > 0)
}

// Guards against a takeover after the lease in force at the waiting host
// instead of the lease in the row, while a change of the setting spreads.
func TestTakeoverWaitsForTheLeaseOfTheRow(t *testing.T) {
	h := newHolder(t, map[tree.Key]int64{tree.KeySeatLease: 5000, tree.KeySpare: 0})
	others := []model.Seat{
		{Holder: "host-1", Nonce: 8, Renewal: 1, Divisor: 2, Lease: time.Minute},
		{Holder: "host-2", Nonce: 9, Renewal: 1, Divisor: 2, Lease: time.Minute},
	}
	first := h.now
	for len(h.answer(1, others...)) == 0 {
		h.toRead()
	}
	h.is.True(h.now.Sub(first) >= time.Minute)
	h.is.True(h.now.Sub(first) < time.Minute+5*time.Second)
}
