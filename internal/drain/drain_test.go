package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/tree"
)

var start = time.Unix(1_000_000, 0)

func settingsChanged(t *testing.T) SettingsChanged {
	t.Helper()
	s := tree.New()
	var err error
	for _, p := range []tree.Path{"/dastkar", "/dastkar/jury-desk"} {
		if s, err = s.WithNode(p); err != nil {
			t.Fatal(err)
		}
	}
	for _, v := range []struct {
		path  tree.Path
		key   tree.Key
		value int64
	}{
		{"/", tree.KeyAddressTTL, 4000},
		{"/", tree.KeyMaxTimeout, 1000},
		{"/dastkar/jury-desk", tree.KeyMaxTimeout, 7000},
		{"/", tree.KeyDrainBound, 60_000},
	} {
		if s, err = s.WithValue(v.path, v.key, tree.Number(v.value)); err != nil {
			t.Fatal(err)
		}
	}
	return SettingsChanged{s}
}

// timedEvent is an event and its time after the start.
type timedEvent struct {
	after time.Duration
	event Event
}

// run ticks a world at each event and each deadline and returns its commands.
func run(first Event, events []timedEvent, until time.Duration) []string {
	w := NewWorld()
	var got []string
	tick := func(now time.Time, inbox ...Event) {
		for _, c := range w.Tick(now, inbox) {
			got = append(got, fmt.Sprintf("%v %T%v", now.Sub(start), c, c))
		}
	}
	tick(start, first)
	for {
		next := w.Next()
		switch {
		case len(events) > 0 && (next.IsZero() || !next.Before(start.Add(events[0].after))):
			tick(start.Add(events[0].after), events[0].event)
			events = events[1:]
		case next.IsZero() || next.After(start.Add(until)):
			return got
		default:
			tick(next)
		}
	}
}

// Guards against requests that are admitted so late that the drain bound cuts them off
// before their deadline.
func TestRefusesWhatMayExceedTheBound(t *testing.T) {
	for _, c := range []struct {
		name        string
		bound, want time.Duration
	}{
		{"bound of more than two time budgets and the TTL", 20 * time.Second, 11 * time.Second},
		{"shorter bound", 10 * time.Second, 3 * time.Second},
		{"bound of one time budget", 7 * time.Second, 0},
		{"bound of less than one time budget", 5 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			settings := settingsChanged(t)
			var err error
			settings.Tree, err = settings.Tree.WithValue("/", tree.KeyDrainBound, tree.Number(c.bound.Milliseconds()))
			is.NoErr(err)
			got := run(settings, []timedEvent{{0, Requested{}}}, time.Hour)
			is.Equal(got[1], fmt.Sprintf("%v drain.Refuse{}", c.want))
		})
	}
}

// Guards against a drain that stops serving before the callers' address answers
// have expired, stops before it is idle, hangs, or aborts requests without
// reporting it.
func TestPhases(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name   string
		events []timedEvent
		want   []string
	}{
		{"no request", nil, nil},
		{
			"idle at once",
			[]timedEvent{{1 * s, Requested{}}, {12500 * time.Millisecond, Idle{}}, {13 * s, Released{}}},
			[]string{"1s drain.Leave{}", "12s drain.Refuse{}", "12.5s drain.Release{}", "13s drain.Stop{}"},
		},
		{
			"an early idle does not count",
			[]timedEvent{{1 * s, Requested{}}, {5 * s, Idle{}}, {20 * s, Idle{}}, {21 * s, Released{}}},
			[]string{"1s drain.Leave{}", "12s drain.Refuse{}", "20s drain.Release{}", "21s drain.Stop{}"},
		},
		{
			"seats cannot be released",
			[]timedEvent{{0, Requested{}}, {11500 * time.Millisecond, Idle{}}},
			[]string{"0s drain.Leave{}", "11s drain.Refuse{}", "11.5s drain.Release{}", "16.5s drain.Stop{}"},
		},
		{
			"a request in flight does not finish",
			[]timedEvent{{0, Requested{}}},
			[]string{"0s drain.Leave{}", "11s drain.Refuse{}", "1m0s drain.Abort{refusing false}", "1m0s drain.Stop{}"},
		},
		{
			"second signal while leaving",
			[]timedEvent{{0, Requested{}}, {2 * s, Forced{}}},
			[]string{"0s drain.Leave{}", "2s drain.Abort{leaving true}", "2s drain.Stop{}"},
		},
		{
			"second request while refusing",
			[]timedEvent{{0, Requested{}}, {20 * s, Requested{}}},
			[]string{"0s drain.Leave{}", "11s drain.Refuse{}", "20s drain.Abort{refusing true}", "20s drain.Stop{}"},
		},
		{
			"second signal while seats are released",
			[]timedEvent{{0, Requested{}}, {11500 * time.Millisecond, Idle{}}, {12 * s, Forced{}}},
			[]string{"0s drain.Leave{}", "11s drain.Refuse{}", "11.5s drain.Release{}", "12s drain.Stop{}"},
		},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(run(settingsChanged(t), x.events, time.Hour), x.want)
		})
	}
}
