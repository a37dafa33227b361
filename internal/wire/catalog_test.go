package wire

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
)

// TestCatalogRoundTrip guards against losing a field in the encoding, and against
// encoding lapsed registrations.
func TestCatalogRoundTrip(t *testing.T) {
	is := is.New(t)
	present := model.Registration{
		Searcher: model.Searcher{ID: "a", Address: "10.0.0.1:1", FailureDomain: "d", Slots: 2, Leaving: true},
		Service:  "s", StartMillis: 5, WarmUp: time.Second, Revision: 7,
	}
	missing := present.WithLapsed(true)
	missing.Searcher.ID = "b"
	route := model.Route{
		Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, Timeout: time.Second, TargetLatency: time.Millisecond,
		Attempts: 2, Shards: []model.ServiceName{"s"}, TopK: 3, MinCoverage: 0.5,
	}
	sent := feed.Catalog{
		Configuration: model.NewConfiguration(9, []model.Route{route}, []model.Service{{Name: "s", ConnectionCap: 4}}, model.Limits{BodyBytes: 6}),
		Fleet:         model.Fleet{Revision: 8, Registrations: []model.Registration{present, missing}},
	}
	value, err := EncodeCatalog(sent)
	is.NoErr(err)
	got, err := DecodeCatalog(value)
	is.NoErr(err)
	is.Equal(got.Configuration, sent.Configuration)
	is.Equal(got.Fleet, model.Fleet{Revision: 8, Registrations: []model.Registration{present}})
	_, err = DecodeCatalog([]byte("{"))
	is.True(err != nil)
}

// TestCatalogFieldNames guards against a renamed field of a model type that hosts
// of another version do not read: they would take it for zero, and for example
// merge no records.
func TestCatalogFieldNames(t *testing.T) {
	is := is.New(t)
	route := model.Route{
		Name: "r", Host: "h", Prefix: "/p/", Timeout: 5, TargetLatency: 4, Attempts: 2, Priority: 1,
		Shares: []model.Share{{Service: "s", Weight: 1}}, TopK: 3, MinCoverage: 0.5,
	}
	value, err := EncodeCatalog(feed.Catalog{Configuration: model.NewConfiguration(9, []model.Route{route}, nil, model.Limits{BodyBytes: 6})})
	is.NoErr(err)
	is.Equal(string(value), `{"version":9,"limits":{"HeaderBytes":0,"BodyBytes":6,"HeaderTimeout":0,"IdleTimeout":0},`+
		`"routes":[{"Name":"r","Host":"h","Prefix":"/p/","Idempotent":false,"Timeout":5,"Target":4,"Attempts":2,"Rank":1,`+
		`"Shares":[{"Service":"s","Weight":1}],"Shards":null,"Keep":3,"MinCoverage":0.5}],`+
		`"services":null,"fleet":0,"hash":"0","searchers":null}`)
}

// TestCatalogChangesRoundTrip guards against losing a field when a catalog holds
// only changes.
func TestCatalogChangesRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := feed.Catalog{Since: 5, Fleet: model.Fleet{
		Revision: 8, Hash: 1 << 63,
		Registrations: []model.Registration{{Searcher: model.Searcher{ID: "a"}, Service: "s", Revision: 7}},
		Removed:       []model.Removal{{Searcher: "b", Revision: 6}},
	}}
	value, err := EncodeCatalog(sent)
	is.NoErr(err)
	got, err := DecodeCatalog(value)
	is.NoErr(err)
	is.Equal(got, sent)
}

// BenchmarkCatalog reports the size of a catalog with all searchers and with the
// changes of one searcher.
func BenchmarkCatalog(b *testing.B) {
	for _, searchers := range []int{50, 300, 3000, 57000} {
		fleet := model.Fleet{Revision: uint64(searchers), RemovedSince: 1}
		for i := range searchers {
			fleet.Registrations = append(fleet.Registrations, model.Registration{
				Searcher: model.Searcher{
					ID: model.SearcherID(fmt.Sprintf("i-%010x", i)), Address: "10.128.0.9:8080", FailureDomain: "karachi-a", Slots: 2,
				},
				Service: "jury-desk-01", StartMillis: 1_800_000_000_000, Revision: uint64(i + 1),
			})
		}
		changed, _ := fleet.ChangesSince(uint64(searchers) - 1)
		for name, c := range map[string]feed.Catalog{
			"all": {Fleet: fleet}, "changes": {Fleet: changed, Since: uint64(searchers) - 1},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, searchers), func(b *testing.B) {
				size := 0
				for b.Loop() {
					value, err := EncodeCatalog(c)
					if err != nil {
						b.Fatal(err)
					}
					size = len(value)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
