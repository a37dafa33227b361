package wire

import (
	"encoding/json"
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
)

// catalogDocument is the JSON form of the catalog that hosts send each other.
type catalogDocument struct {
	ConfigurationVersion uint64            `json:"version"`
	Limits               model.Limits      `json:"limits"`
	Routes               []model.Route     `json:"routes"`
	Services             []serviceDocument `json:"services"`
	FleetRevision        uint64            `json:"fleet"`
	FleetHash            uint64            `json:"hash,string"`
	// Since, if not zero, is a fleet revision: Removed and Searchers hold only the
	// changes after it.
	Since     uint64                 `json:"since,omitempty"`
	Removed   []removalDocument      `json:"removed,omitempty"`
	Searchers []registrationDocument `json:"searchers"`
}

type serviceDocument struct {
	Name          string `json:"name"`
	ConnectionCap int    `json:"connectionCap,omitempty"`
	HealthPath    string `json:"healthPath,omitempty"`
}

type removalDocument struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

type registrationDocument struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	Leaving       bool   `json:"leaving,omitempty"`
	// StartMs is the start time in milliseconds since the Unix epoch.
	StartMs  int64  `json:"born"`
	WarmUpMs int64  `json:"warmUpMs,omitempty"`
	Revision uint64 `json:"revision"`
	// Sequence counts the writes of the entry since that time; hosts of earlier builds
	// leave it out.
	Sequence uint64 `json:"sequence,omitempty"`
}

// EncodeCatalog encodes a catalog without lapsed registrations, which are those of
// searchers whose entries are missing from the store.
func EncodeCatalog(c feed.Catalog) ([]byte, error) {
	m := catalogDocument{
		ConfigurationVersion: uint64(c.Configuration.Version), Limits: c.Configuration.Limits,
		Routes: c.Configuration.Routes(), FleetRevision: c.Fleet.Revision, FleetHash: c.Fleet.Hash, Since: c.Since,
	}
	for _, s := range c.Configuration.Services() {
		m.Services = append(m.Services, serviceDocument{Name: string(s.Name), ConnectionCap: s.ConnectionCap, HealthPath: s.HealthPath})
	}
	for _, r := range c.Fleet.Registrations {
		if r.Lapsed {
			continue
		}
		m.Searchers = append(m.Searchers, registrationDocument{
			ID: string(r.Searcher.ID), Service: string(r.Service), Address: string(r.Searcher.Address),
			FailureDomain: string(r.Searcher.FailureDomain), Slots: r.Searcher.Slots, Leaving: r.Searcher.Leaving,
			StartMs: r.StartMillis, WarmUpMs: r.WarmUp.Milliseconds(), Revision: r.Revision, Sequence: r.Sequence,
		})
	}
	if c.Since > 0 {
		for _, r := range c.Fleet.Removed {
			m.Removed = append(m.Removed, removalDocument{ID: string(r.Searcher), Revision: r.Revision})
		}
	}
	value, err := json.Marshal(m)
	return value, fault.Wrap(err, "encode catalog", "")
}

// DecodeCatalog decodes a catalog.
func DecodeCatalog(value []byte) (feed.Catalog, error) {
	var m catalogDocument
	if err := json.Unmarshal(value, &m); err != nil {
		return feed.Catalog{}, fault.Wrap(err, "decode catalog", "")
	}
	services := make([]model.Service, 0, len(m.Services))
	for _, s := range m.Services {
		services = append(services, model.Service{Name: model.ServiceName(s.Name), ConnectionCap: s.ConnectionCap, HealthPath: s.HealthPath})
	}
	c := feed.Catalog{Fleet: model.Fleet{Revision: m.FleetRevision, Hash: m.FleetHash}, Since: m.Since}
	if m.ConfigurationVersion > 0 {
		c.Configuration = model.NewConfiguration(model.Revision(m.ConfigurationVersion), m.Routes, services, m.Limits)
	}
	for _, r := range m.Searchers {
		c.Fleet.Registrations = append(c.Fleet.Registrations, model.Registration{
			Searcher: model.Searcher{
				ID: model.SearcherID(r.ID), Address: model.Address(r.Address), FailureDomain: model.FailureDomain(r.FailureDomain),
				Slots: r.Slots, Leaving: r.Leaving,
			},
			Service: model.ServiceName(r.Service), StartMillis: r.StartMs,
			WarmUp: time.Duration(r.WarmUpMs) * time.Millisecond, Revision: r.Revision, Sequence: r.Sequence,
		})
	}
	for _, r := range m.Removed {
		c.Fleet.Removed = append(c.Fleet.Removed, model.Removal{Searcher: model.SearcherID(r.ID), Revision: r.Revision})
	}
	return c, nil
}
