package devel

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
)

// startSlowSite starts a site whose jury-desk searchers delay each search.
func startSlowSite(t *testing.T, delay time.Duration, maxTimeout string) *Site {
	t.Helper()
	records, err := corpus.Sample()
	if err != nil {
		t.Fatal(err)
	}
	s := NewSite(records)
	s.Slots = 8
	s.Nodes = []wire.NodeDocument{{Path: "/", Values: map[string]json.RawMessage{
		"addressTtlMs": json.RawMessage("1000"), "maxTimeoutMs": json.RawMessage(maxTimeout),
		"canary": json.RawMessage(`"off"`), "hedge": json.RawMessage(`"off"`),
	}}}
	if err := s.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	for _, n := range s.Fleet("jury-desk").Searchers {
		n.SetFaults(fleet.Faults{Delay: delay})
	}
	return s
}

func searchOnce(address string) error {
	c := entry.NewEntryServiceClient(http.DefaultClient, "http://"+address)
	_, err := c.Search(context.Background(), connect.NewRequest(&entry.SearchRequest{
		Account: Account, Service: "jury-desk", Limit: 1, TimeoutMs: 60_000,
		Terms: []*entry.Term{{Field: "craft", Value: "pottery"}},
	}))
	return err
}

// Guards against a graceful shutdown that cuts off requests in flight, and
// against a refusal that names no other host.
func TestDrainCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s := startSlowSite(t, 100*time.Millisecond, "1000")
	d, address := s.Daemons()[0], s.EntryAddresses()[0]
	d.Drain()
	var mu sync.Mutex
	var answered, refused int
	var wg sync.WaitGroup
	ticker := time.NewTicker(60 * time.Millisecond)
	defer ticker.Stop()
	running := true
	for n := 0; running && n < 1000; n++ {
		wg.Go(func() {
			admitted := !d.View().Draining
			err := searchOnce(address)
			refusal, ok := wire.RefusalOf(err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				answered++
			case ok && refusal.Reason == model.ReasonDraining:
				refused++
				if refusal.Execution != model.NotRun || len(refusal.Alternatives) == 0 {
					t.Errorf("the request was cut off or the refusal names no other host: %v", refusal)
				}
			case ok:
				// A busy machine may shed a request or miss its deadline.
			case admitted:
				t.Errorf("a search was neither answered nor refused as draining: %v", err)
			}
		})
		select {
		case err := <-s.results[d]:
			is.NoErr(err)
			running = false
		case <-ticker.C:
		}
	}
	wg.Wait()
	is.True(!running)     // the drain ended
	is.True(answered > 0) // the host still served requests after it left the address answers
}

// Guards against a second drain that is ignored, or that cuts off requests
// without an error or with a refusal that says that they did not run.
func TestSecondDrainCancelsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	s := startSlowSite(t, 20*time.Second, "60000")
	d := s.Daemons()[0]
	searchErr := make(chan error, 1)
	go func() { searchErr <- searchOnce(s.EntryAddresses()[0]) }()
	for len(d.InFlight()) == 0 {
		time.Sleep(time.Millisecond)
	}
	d.Drain()
	d.Drain()
	err := <-s.results[d]
	is.True(err != nil) // the error states the number of requests cut off
	err = <-searchErr
	is.True(err != nil)
	refusal, ok := wire.RefusalOf(err)
	is.True(!ok || refusal.Execution == model.MayHaveRun)
}
