package devel

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/client"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
)

// searchInterval is the interval between searches, and maxSearches limits their
// number.
const (
	searchInterval = 40 * time.Millisecond
	maxSearches    = 1500
)

// Guards against a drain that loses, repeats or corrupts an answer. Every entry
// host is replaced by a new one while the client searches at a constant rate.
func TestReplaceEveryEntryHostUnderLoad(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	s := NewSite(records)
	s.Nodes = []wire.NodeDocument{{Path: "/", Values: map[string]json.RawMessage{
		"addressTtlMs": json.RawMessage("1000"), "maxTimeoutMs": json.RawMessage("1500"),
		"canary": json.RawMessage(`"off"`),
	}}}
	is.NoErr(s.Run(context.Background()))
	t.Cleanup(func() { _ = s.Close() })
	want := matchingRecords(records)

	c := client.New(s.EntryAddresses()...)
	defer func() { _ = c.Close() }()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var problems []string
	answersByHost, searches := map[string]int{}, 0
	runSearch := func(n int) {
		id := fmt.Sprintf("search-%d", n)
		r, err := c.Search(context.Background(), &entry.SearchRequest{
			RequestId: id, Account: Account, Service: "jury-desk", Limit: 1000, TimeoutMs: 10_000,
			Terms: []*entry.Term{{Field: "craft", Value: "pottery"}, {Field: "status", Value: "shortlisted"}},
		})
		mu.Lock()
		defer mu.Unlock()
		searches++
		switch {
		case err != nil:
			problems = append(problems, id+": "+err.Error())
		case r.GetRequestId() != id || !isCorrect(r, want):
			problems = append(problems, fmt.Sprintf("%s: %s %v, %d hits of %d", id, r.GetRequestId(), r.GetOutcome(), len(r.GetHits()), len(want)))
		default:
			answersByHost[r.GetHost()]++
		}
	}
	wg.Go(func() {
		ticker := time.NewTicker(searchInterval)
		defer ticker.Stop()
		for n := range maxSearches {
			select {
			case <-ticker.C:
				wg.Go(func() { runSearch(n) })
			case <-stop:
				return
			}
		}
	})
	daemons := s.Daemons()
	for range len(s.Domains) {
		is.NoErr(s.ReplaceOldestHost(context.Background())) // the drained host stops without an error
		daemons = append(daemons, s.Daemons()[len(s.Domains)-1])
	}
	close(stop)
	wg.Wait()
	if len(problems) > 0 {
		t.Fatalf("%d of %d searches: %v", len(problems), searches, problems[:min(len(problems), 5)])
	}
	answers := int64(0)
	for _, d := range daemons {
		answers += d.Meter.Value("answer", "complete") + d.Meter.Value("answer", "partial")
	}
	is.Equal(answers, int64(searches))           // no search ran twice
	is.True(len(answersByHost) > len(s.Domains)) // old and new hosts have answered
	t.Logf("%d searches over hosts %v", searches, answersByHost)
}

// matchingRecords returns the expected hits: the sorted ids of the records that
// match the query of the test.
func matchingRecords(records []corpus.Record) []string {
	var ids []string
	for _, r := range records {
		if r.Service == "jury-desk" && r.Matches("craft", "pottery") && r.Matches("status", "shortlisted") {
			ids = append(ids, r.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// isCorrect reports whether an answer is correct. A complete answer must have
// all expected hits. On a busy machine a searcher can miss the deadline; a
// partial answer must then name the missing parts and have no unexpected hits.
func isCorrect(r *entry.SearchResponse, want []string) bool {
	if r.GetOutcome() == entry.Outcome_OUTCOME_COMPLETE {
		return slices.Equal(hitIDs(r), want)
	}
	return len(r.GetCoverage().GetMissing()) > 0 &&
		!slices.ContainsFunc(hitIDs(r), func(id string) bool { return !slices.Contains(want, id) })
}

func hitIDs(r *entry.SearchResponse) []string {
	var ids []string
	for _, h := range r.GetHits() {
		ids = append(ids, h.GetRecordId())
	}
	slices.Sort(ids)
	return ids
}
