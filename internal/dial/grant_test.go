package dial

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
)

// Guards against connections that are used after the host's grant has expired, or
// that stay open after it was revoked, also if calls were in flight.
func TestConnectionsFollowTheGrant(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	f, err := fleet.Start(context.Background(), fleet.Plan{
		Service: "jury-desk", Shards: 1, Replicas: 1, Slots: 2, ConnectionCap: 5, FailureDomains: []string{"karachi-a"},
	}, 1, corpus.ByService(records)["jury-desk"])
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	fakeSearcher := f.Searchers[0]
	searcher := model.Searcher{ID: model.SearcherID(fakeSearcher.ID), Address: model.Address(f.Addresses[fakeSearcher.ID]), Slots: 2, ConnectionCap: 5}
	index := model.Index{Service: "jury-desk", Searchers: []model.Searcher{searcher}}
	ownedUntil := func(until time.Time) view.View {
		return view.New().WithIndexes(index).WithRoutes(nil, map[model.ServiceName]view.Ownership{
			"jury-desk": {Slots: 1, Connections: 1, Until: until},
		})
	}
	p := NewPool()
	defer func() { _ = p.Close() }()
	call := func() error {
		_, err := p.Search(context.Background(), query.StartCall{
			Searcher: searcher, Service: "jury-desk", Shard: model.ShardID(f.Shards[0].ID), Version: 1, Limit: 1,
			Deadline: time.Now().Add(10 * time.Second), StopBy: time.Now().Add(10 * time.Second),
		})
		return err
	}
	p.SetView(ownedUntil(time.Now().Add(time.Hour)))
	is.NoErr(call())
	p.SetView(ownedUntil(time.Now().Add(-time.Second)))
	assertNotStarted(is, call()) // the grant has expired, although it was not revoked
	p.SetView(ownedUntil(time.Now().Add(time.Hour)))

	fakeSearcher.SetFaults(fleet.Faults{Delay: 50 * time.Millisecond})
	before := fakeSearcher.Stats().Calls
	inFlight := make(chan error, 1)
	go func() { inFlight <- call() }()
	for fakeSearcher.Stats().Calls == before {
		time.Sleep(time.Millisecond)
	}
	p.SetView(view.New().WithIndexes(index).WithRoutes(nil, map[model.ServiceName]view.Ownership{}))
	assertNotStarted(is, call())
	is.NoErr(<-inFlight) // a call in flight ends first
	for range 2000 {
		if fakeSearcher.Stats().Connections == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d connections are still open", fakeSearcher.Stats().Connections)
}

func assertNotStarted(is *is.I, err error) {
	is.Helper()
	var callErr *CallError
	is.True(errors.As(err, &callErr))
	is.True(callErr.NotStarted)
}
