package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
)

// TestCatalogKeepsWhatPeersNeed guards against a field that is lost between
// hosts, and against passing on searchers whose entries are missing.
func TestCatalogKeepsWhatPeersNeed(t *testing.T) {
	is := is.New(t)
	there := model.Registration{
		Searcher: model.Searcher{ID: "a", Address: "10.0.0.1:1", FailureDomain: "d", Slots: 2, Leaving: true},
		Service:  "s", Born: 5, WarmUp: time.Second, Revision: 7,
	}
	missing := there.WithLapsed(true)
	missing.Searcher.ID = "b"
	route := model.Route{
		Name: "r", Host: "h", Prefix: "/p/", Idempotent: true, Timeout: time.Second, Target: time.Millisecond,
		Attempts: 2, Shards: []model.ServiceName{"s"}, Keep: 3, MinCoverage: 0.5,
	}
	sent := feed.Catalog{
		Configuration: model.NewConfiguration(9, []model.Route{route}, []model.Service{{Name: "s", ConnectionCap: 4}}, model.Limits{BodyBytes: 6}),
		Fleet:         model.Fleet{Revision: 8, Registrations: []model.Registration{there, missing}},
	}
	value, err := EncodeCatalog(sent)
	is.NoErr(err)
	got, err := DecodeCatalog(value)
	is.NoErr(err)
	is.Equal(got.Configuration, sent.Configuration)
	is.Equal(got.Fleet, model.Fleet{Revision: 8, Registrations: []model.Registration{there}})
	_, err = DecodeCatalog([]byte("{"))
	is.True(err != nil)
}
