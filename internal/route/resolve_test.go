package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// driver drives the world of host-0 step by step and records its latest view
// and commands.
type driver struct {
	is     *is.I
	world  *World
	now    time.Time
	view   Assigned
	reads  []ReadSeats
	writes []WriteSeats
}

// newDriver returns a driver whose host is assigned to jury-desk, with a
// connection cap of 100, and waits for the result of its first read.
func newDriver(t *testing.T, values map[tree.Key]int64) *driver {
	t.Helper()
	d := &driver{is: is.New(t), world: NewWorld("host-0", 7), now: start}
	d.tick(SettingsChanged{newSettings(t, values)}, IndexesChanged{[]model.Index{newIndex("jury-desk", 100)}},
		MembersChanged{[]model.Member{newMember(0, 1), newMember(1, 1)}})
	d.advanceToRead()
	return d
}

func (d *driver) tick(events ...Event) {
	d.reads, d.writes = nil, nil
	for _, c := range d.world.Tick(d.now, events) {
		switch c := c.(type) {
		case Assigned:
			d.view = c
		case ReadSeats:
			d.reads = append(d.reads, c)
		case WriteSeats:
			d.writes = append(d.writes, c)
		}
	}
}

// advanceToRead advances to the next read.
func (d *driver) advanceToRead() {
	d.is.Helper()
	for range 100 {
		if len(d.reads) > 0 {
			return
		}
		d.now = d.world.Next()
		d.tick()
	}
	d.is.Fail() // there is no further read
}

// replyToRead supplies the result of the read and returns the rows of the write
// that follows.
func (d *driver) replyToRead(version uint64, rows ...model.Seat) []model.Seat {
	d.tick(SeatsRead{Service: "jury-desk", Seats: model.Seats{Version: version, Rows: rows}})
	if len(d.writes) == 0 {
		return nil
	}
	return d.writes[0].Seats.Rows
}

func (d *driver) replyToWrite(result model.WriteResult, version uint64) {
	d.tick(SeatsWritten{Service: "jury-desk", Result: result, Version: version})
}

func (d *driver) owned() Owned { return d.view.Owned["jury-desk"] }

// Guards against a write with a lost reply that is not recognized when it is
// read back, and against a grant that starts later than that write.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	d := newDriver(t, nil)
	rows := d.replyToRead(0)
	sent := d.now
	d.replyToWrite(model.WriteUnknown, 0)
	d.is.Equal(d.owned(), Owned{}) // not known to be held
	d.advanceToRead()
	d.is.True(d.now.After(sent))
	d.replyToRead(1, rows...)
	d.is.Equal(d.owned().Until, sent.Add(40*time.Second)) // two thirds of the lease
}

// Guards against a stale read that makes the host give up its seat.
func TestOlderReadChangesNothing(t *testing.T) {
	d := newDriver(t, nil)
	d.replyToRead(3)
	d.replyToWrite(model.WriteAccepted, 4)
	before := d.owned()
	d.is.True(before.Connections > 0)
	d.advanceToRead()
	d.is.Equal(len(d.replyToRead(3)), 0) // a stale read causes no write
	d.is.Equal(d.owned(), before)
}

// Guards against using a larger share of the connection cap than the platform
// may have stored, while the outcome of a write with a smaller share is unknown.
func TestSmallestUnresolvedShareCounts(t *testing.T) {
	d := newDriver(t, nil)
	rows := d.replyToRead(0)
	d.replyToWrite(model.WriteAccepted, 1)
	d.is.Equal(d.owned().Connections, 25) // one of 4 seats
	d.tick(SettingsChanged{newSettings(t, map[tree.Key]int64{tree.KeySpare: 8})})
	d.is.Equal(d.owned().Connections, 10) // a smaller share takes effect at once
	d.advanceToRead()
	smaller := d.replyToRead(1, rows...)
	d.is.Equal(smaller[0].Divisor, 10)
	d.replyToWrite(model.WriteUnknown, 0)
	d.tick(SettingsChanged{newSettings(t, nil)})
	d.is.Equal(d.owned().Connections, 10)
	d.advanceToRead()
	d.is.Equal(d.replyToRead(2, smaller...)[0].Divisor, 4)
	d.is.Equal(d.owned().Connections, 10)
	d.replyToWrite(model.WriteAccepted, 3)
	d.is.Equal(d.owned().Connections, 25)
}

// Guards against a grant that resumes while the write that removes its row may
// still take effect.
func TestRemovalEndsTheGrant(t *testing.T) {
	d := newDriver(t, map[tree.Key]int64{tree.KeyMaxTimeout: 1000, tree.KeySeatLease: 600_000})
	rows := d.replyToRead(0)
	d.replyToWrite(model.WriteAccepted, 1)
	d.tick(MembersChanged{[]model.Member{newMember(0, 1).WithState(model.MemberSuspect)}})
	for v := uint64(1); ; v++ {
		d.advanceToRead()
		next := d.replyToRead(v, rows...)
		if len(next) == 0 {
			break // the row is removed
		}
		rows = next
		d.replyToWrite(model.WriteAccepted, v+1)
	}
	d.replyToWrite(model.WriteUnknown, 0)
	d.tick(MembersChanged{[]model.Member{newMember(0, 1)}})
	d.is.Equal(d.owned(), Owned{})
	d.advanceToRead()
	d.replyToRead(100_000, rows...) // the removal has not taken effect yet
	d.is.Equal(d.owned(), Owned{})
	d.replyToWrite(model.WriteAccepted, 100_001) // the version has changed, so the removal can no longer take effect
	d.is.True(d.owned().Connections > 0)
}

// Guards against a takeover after the lease in force at the waiting host
// instead of the lease in the row, while a change of the setting spreads.
func TestTakeoverWaitsForTheLeaseOfTheRow(t *testing.T) {
	d := newDriver(t, map[tree.Key]int64{tree.KeySeatLease: 5000, tree.KeySpare: 0})
	others := []model.Seat{
		{Holder: "host-1", Nonce: 8, Renewal: 1, Divisor: 2, Lease: time.Minute},
		{Holder: "host-2", Nonce: 9, Renewal: 1, Divisor: 2, Lease: time.Minute},
	}
	first := d.now
	for len(d.replyToRead(1, others...)) == 0 {
		d.advanceToRead()
	}
	d.is.True(d.now.Sub(first) >= time.Minute)
	d.is.True(d.now.Sub(first) < time.Minute+5*time.Second)
}
