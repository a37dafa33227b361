package devel

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
)

func startSite(t *testing.T) (*Site, []corpus.Record) {
	t.Helper()
	records, err := corpus.Sample()
	if err != nil {
		t.Fatal(err)
	}
	s := NewSite(records)
	if err := s.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, records
}

func search(t *testing.T, address string, terms ...*entry.Term) *entry.SearchResponse {
	t.Helper()
	c := entry.NewEntryServiceClient(http.DefaultClient, "http://"+address)
	r, err := c.Search(context.Background(), connect.NewRequest(&entry.SearchRequest{
		RequestId: "mine", Account: Account, Service: "jury-desk", Terms: terms, Limit: 1000, TimeoutMs: 10_000,
	}))
	if err != nil {
		t.Fatal(err)
	}
	return r.Msg
}

// Guards against lost, repeated or extra hits on the path from the caller to the
// searchers. The hits must equal those of a direct scan of the records.
func TestSearchEqualsDirectScan(t *testing.T) {
	s, records := startSite(t)
	tests := [][]*entry.Term{
		{{Field: "craft", Value: "pottery"}},
		{{Field: "craft", Value: "ajrak"}, {Field: "status", Value: "shortlisted"}},
		{{Field: "craft", Value: "no-such-craft"}},
		nil,
	}
	for _, ts := range tests {
		for _, a := range s.EntryAddresses() {
			is := is.New(t)
			got := search(t, a, ts...)
			var want, ids []string
			for _, r := range records {
				if r.Service == "jury-desk" && !slices.ContainsFunc(ts, func(m *entry.Term) bool { return !r.Matches(m.GetField(), m.GetValue()) }) {
					want = append(want, r.ID)
				}
			}
			for _, h := range got.GetHits() {
				ids = append(ids, h.GetRecordId())
			}
			slices.Sort(want)
			is.Equal(ids, want)
			is.Equal(got.GetMatches(), uint64(len(want)))
			is.Equal(got.GetRequestId(), "mine")
			is.Equal(got.GetOutcome(), entry.Outcome_OUTCOME_COMPLETE)
			is.Equal(got.GetCoverage().GetSearchedRecords(), got.GetCoverage().GetTotalRecords())
			is.Equal(len(got.GetCoverage().GetSearched()), s.Shards)
			is.Equal(got.GetIndexVersion(), uint64(firstVersion))
			is.Equal(got.GetSettingsRevision(), uint64(1))
		}
	}
}

// Guards against an answer that does not report a shard whose searchers are all
// down.
func TestMissingShardIsNamedInTheAnswer(t *testing.T) {
	is := is.New(t)
	s, _ := startSite(t)
	term := &entry.Term{Field: "craft", Value: "pottery"}
	search(t, s.EntryAddresses()[0], term)
	downShard := s.Fleet("jury-desk").Shards[2]
	for _, n := range downShard.Replicas {
		is.NoErr(n.Close())
	}
	time.Sleep(10 * time.Millisecond) // time to notice the closed connections
	got := search(t, s.EntryAddresses()[0], term)
	is.Equal(got.GetOutcome(), entry.Outcome_OUTCOME_PARTIAL)
	is.Equal(len(got.GetCoverage().GetMissing()), 1)
	missing := got.GetCoverage().GetMissing()[0]
	is.Equal(missing.GetShard(), downShard.ID)
	is.Equal(missing.GetFirstRecord(), downShard.Records[0].ID)
	is.Equal(missing.GetLastRecord(), downShard.Records[len(downShard.Records)-1].ID)
	is.Equal(missing.GetRecords(), uint64(len(downShard.Records)))
	is.True(missing.GetReason() != "")
}
