package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// Guards against shares whose sum exceeds the connection cap, a share of zero,
// and more seats than connections.
func TestShareOfASeat(t *testing.T) {
	tests := []struct {
		subset, spare, connectionCap, slots int
		connections, share                  int
	}{
		{2, 2, 25, 2, 6, 1},
		{2, 2, 100, 6, 25, 3},
		{2, 2, 40, 3, 10, 2},
		{2, 2, 3, 3, 1, 2},
		{2, 2, 1, 1, 1, 1},
		{1, 0, 25, 2, 25, 2},
		{7, 2, 25, 2, 2, 1},
	}
	for _, x := range tests {
		is := is.New(t)
		w := NewWorld("host-0", 7)
		index := model.Index{Service: "jury-desk", Searchers: []model.Searcher{{Slots: x.slots, ConnectionCap: x.connectionCap}}}
		s := newSettings(t, map[tree.Key]int64{tree.KeySubset: int64(x.subset), tree.KeySpare: int64(x.spare)})
		w.Tick(start, []Event{SettingsChanged{s}, IndexesChanged{[]model.Index{index}}, MembersChanged{[]model.Member{newMember(0, 1)}}})
		out := w.Tick(start.Add(2*time.Second), nil)
		is.Equal(out, []Command{ReadSeats{"jury-desk"}})
		out = w.Tick(start.Add(2*time.Second), []Event{SeatsRead{Service: "jury-desk"}})
		row := out[0].(WriteSeats).Seats.Rows[0]
		is.Equal(row.Divisor, min(x.subset+x.spare, x.connectionCap))
		got := latestAssigned(w.Tick(start.Add(2*time.Second), []Event{SeatsWritten{Service: "jury-desk", Result: model.WriteAccepted, Version: 1}}), Assigned{})
		owned := got.Owned["jury-desk"]
		is.Equal(owned.Connections, x.connections)
		is.Equal(owned.Slots, x.share)
		is.Equal(owned.Until, start.Add(2*time.Second+40*time.Second)) // two thirds of the lease
	}
}

// Guards against a platform outage that ends the grants of hosts which still
// reach each other, and against a host that keeps its grant although no peer
// answers or a peer has reached the platform.
func TestGrantDuringAnOutage(t *testing.T) {
	const lease = time.Minute
	tests := []struct {
		name   string
		report func(at time.Time) []Event
		kept   bool
	}{
		{"peers do not reach the platform either", func(at time.Time) []Event {
			return []Event{PlatformContactReported{From: "host-1", ContactAt: start, ProbeSentAt: at}}
		}, true},
		{"a peer reached the platform", func(at time.Time) []Event {
			return []Event{PlatformContactReported{From: "host-1", ContactAt: at.Add(-time.Second), ProbeSentAt: at}}
		}, false},
		{"the first reports after a gap may be out of date", func(at time.Time) []Event {
			if at.Before(start.Add(35 * time.Second)) {
				return nil
			}
			return []Event{PlatformContactReported{From: "host-1", ContactAt: start, ProbeSentAt: at}}
		}, false},
		{"no peer reports", func(time.Time) []Event { return nil }, false},
		{"reports are unsolicited", func(time.Time) []Event {
			return []Event{PlatformContactReported{From: "host-1", ContactAt: start}}
		}, false},
	}
	for _, x := range tests {
		is := is.New(t)
		w := NewWorld("host-0", 7)
		var view Assigned
		step := func(now time.Time, more ...Event) {
			commands := w.Tick(now, more)
			for len(commands) > 0 {
				var replies []Event
				for _, c := range commands {
					switch c := c.(type) {
					case Assigned:
						view = c
					case ReadSeats:
						replies = append(replies, SeatsRead{Service: c.Service, Failed: now.After(start)})
					case WriteSeats:
						replies = append(replies, SeatsWritten{Service: c.Seats.Service, Result: model.WriteAccepted, Version: 1})
					}
				}
				if len(replies) == 0 {
					return
				}
				commands = w.Tick(now, replies)
			}
		}
		s := newSettings(t, map[tree.Key]int64{tree.KeySeatLease: lease.Milliseconds()})
		step(start.Add(-2*time.Second), SettingsChanged{s}, IndexesChanged{[]model.Index{newIndex("jury-desk", 25)}},
			MembersChanged{[]model.Member{newMember(0, 1), newMember(1, 1)}})
		step(start)
		is.Equal(len(view.Owned), 1)
		for at := start.Add(time.Second); at.Before(start.Add(3 * lease)); at = at.Add(time.Second) {
			step(at, x.report(at)...)
			if owned := view.Owned["jury-desk"]; !x.kept && at.After(start.Add(lease*2/3)) {
				is.Equal(owned, Owned{}) // the grant has ended
			} else if x.kept {
				is.True(owned.Until.After(at)) // the grant is extended
			}
		}
	}
}

// Guards against a service that has no host for long because the assigned host
// reads the seats too rarely.
func TestWaitingHostReadsTheSeatsEverySecond(t *testing.T) {
	is := is.New(t)
	w := NewWorld("host-0", 7)
	index := model.Index{Service: "jury-desk", Searchers: []model.Searcher{{Slots: 2, ConnectionCap: 25}}}
	w.Tick(start, []Event{SettingsChanged{newSettings(t, nil)}, IndexesChanged{[]model.Index{index}}, MembersChanged{[]model.Member{newMember(0, 1)}}})
	full := model.Seats{Service: "jury-desk", Version: 1}
	for n := range uint64(4) {
		full = full.With(model.Seat{Holder: "other", Nonce: 100 + n, Divisor: 4, Lease: time.Minute})
	}
	now, reads := start.Add(2*time.Second), 0
	for now.Before(start.Add(12 * time.Second)) {
		for _, c := range w.Tick(now, nil) {
			is.Equal(c, Command(ReadSeats{"jury-desk"})) // no write follows, as all seats are taken
			reads++
			w.Tick(now, []Event{SeatsRead{Service: "jury-desk", Seats: full}})
		}
		now = w.Next()
	}
	is.True(reads >= 9)
}

// Guards against a host that waits for a seat and does not publish the current
// holders, to which requests are forwarded.
func TestWaitingHostPublishesTheHolders(t *testing.T) {
	is := is.New(t)
	w := NewWorld("host-0", 7)
	index := model.Index{Service: "jury-desk", Searchers: []model.Searcher{{Slots: 2, ConnectionCap: 25}}}
	s := newSettings(t, map[tree.Key]int64{tree.KeySubset: 1, tree.KeySpare: 1})
	w.Tick(start, []Event{SettingsChanged{s}, IndexesChanged{[]model.Index{index}}, MembersChanged{[]model.Member{newMember(0, 1)}}})
	w.Tick(start.Add(2*time.Second), nil)
	row := func(name model.HostID, nonce uint64) model.Seat {
		return model.Seat{Holder: name, Nonce: nonce, Divisor: 2, Lease: time.Minute, Renewal: 1}
	}
	full := model.Seats{Service: "jury-desk", Version: 4, Rows: []model.Seat{row("host-9", 1), row("host-8", 2)}}
	got := latestAssigned(w.Tick(start.Add(3*time.Second), []Event{SeatsRead{Service: "jury-desk", Seats: full}}), Assigned{})
	is.Equal(got.Holders["jury-desk"], []model.HostID{"host-8", "host-9"})

	freed := model.Seats{Service: "jury-desk", Version: 5, Rows: full.Rows[:1]}
	w.Tick(start.Add(5*time.Second), []Event{SeatsRead{Service: "jury-desk", Seats: freed}})
	got = latestAssigned(w.Tick(start.Add(5*time.Second), []Event{SeatsWritten{Service: "jury-desk", Result: model.WriteAccepted, Version: 6}}), Assigned{})
	is.Equal(len(got.Holders), 0) // it holds a seat of its own
	is.Equal(len(got.Owned), 1)
}
