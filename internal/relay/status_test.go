package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// requestStatus returns the status that the lane reports.
func (l *lane) requestStatus(t *testing.T) Status {
	t.Helper()
	for _, c := range l.Tick(l.now, []Event{StatusRequested{Token: 7}}) {
		if s, ok := c.(StatusReported); ok && s.Token == 7 {
			return s.Status
		}
	}
	t.Fatal("the lane did not report its status")
	return Status{}
}

// TestStatusReportsSearcherState guards against a status that does not show why a
// searcher gets no calls.
func TestStatusReportsSearcherState(t *testing.T) {
	is := is.New(t)
	l := newLane(1, func(v *View, _ *model.Route) {
		v.Fleet.Registrations[1].WarmUp = 5 * time.Second
	})
	states := func() map[model.SearcherID]string {
		found := map[model.SearcherID]string{}
		for _, s := range l.requestStatus(t).Searchers {
			found[s.Registration.Searcher.ID] = s.State
		}
		return found
	}
	is.Equal(states(), map[model.SearcherID]string{"shard-0/d1": "ok", "shard-0/d2": "cold"})

	l.submit("/all/x")
	s := l.requestStatus(t)
	is.Equal(s.Running, 1)
	is.Equal(s.Searchers[0].InFlight, 1)
	is.Equal(s.Routes[0].Route, "all")
	is.True(s.Services[0].ExtraCalls < 1) // a process that has just started has no retry slack

	l.tick(CallFailed{Call: l.last().Call, Failure: model.FailureLost})
	for range 4 {
		l.submit("/one/x")
		l.tick(CallFailed{Call: l.last().Call, Failure: model.FailureLost})
	}
	is.Equal(states()["shard-0/d1"], "avoided")

	v := l.view
	leaving := v.Fleet.Registrations[0]
	leaving.Searcher.Leaving = true
	l.tick(ViewChanged{View: v.WithFleet(model.Fleet{Registrations: []model.Registration{leaving, v.Fleet.Registrations[1]}})})
	is.Equal(states()["shard-0/d1"], "leaving")
}
