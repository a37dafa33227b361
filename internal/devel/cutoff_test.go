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

// slowSite is a site whose searchers take some time for each search.
func slowSite(t *testing.T, delay time.Duration, maxTimeout string) *Site {
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

// Guards against a graceful shutdown that cuts off a request in flight, and
// against a refusal that names no other host.
func TestDrainCutsOffNothing(t *testing.T) {
	is := is.New(t)
	s := slowSite(t, 100*time.Millisecond, "1000")
	d, address := s.Daemons()[0], s.Entries()[0]
	d.Drain()
	var mu sync.Mutex
	var answered, refused int
	var calls sync.WaitGroup
	every := time.NewTicker(60 * time.Millisecond)
	defer every.Stop()
	running := true
	for n := 0; running && n < 1000; n++ {
		calls.Go(func() {
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
		case err := <-s.ended[d]:
			is.NoErr(err)
			running = false
		case <-every.C:
		}
	}
	calls.Wait()
	is.True(!running)     // the drain ended
	is.True(answered > 0) // the host served on after it left the answers
}

// Guards against a second signal that is ignored, or that cuts off requests
// without a word or with a claim that they did not run.
func TestSecondDrainCutsOff(t *testing.T) {
	is := is.New(t)
	s := slowSite(t, 20*time.Second, "60000")
	d := s.Daemons()[0]
	failed := make(chan error, 1)
	go func() { failed <- searchOnce(s.Entries()[0]) }()
	for len(d.InFlight()) == 0 {
		time.Sleep(time.Millisecond)
	}
	d.Drain()
	d.Drain()
	err := <-s.ended[d]
	is.True(err != nil) // the error states the number of requests cut off
	err = <-failed
	is.True(err != nil)
	refusal, ok := wire.RefusalOf(err)
	is.True(!ok || refusal.Execution == model.MayHaveRun)
}
