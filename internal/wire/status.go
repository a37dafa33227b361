package wire

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/internal/view"
)

// StatusDocument is the JSON form of the state of a host.
type StatusDocument struct {
	Host           string    `json:"host"`
	FailureDomain  string    `json:"failureDomain"`
	Region         string    `json:"region"`
	Time           time.Time `json:"time"`
	Revision       uint64    `json:"revision"`
	Ready          bool      `json:"ready"`
	NotReadyReason string    `json:"notReadyReason,omitempty"`
	Draining       bool      `json:"draining"`
	// Members is the membership table, one entry for each host.
	Members   []MemberStatus   `json:"members"`
	Services  []ServiceStatus  `json:"services"`
	Searchers []SearcherStatus `json:"searchers"`
	Suspects  []SuspectStatus  `json:"suspects"`
	// Counters holds all counters and gauges by name.
	Counters map[string]int64 `json:"counters"`
}

// MemberStatus is the state of a host in the membership table.
type MemberStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	EntryAddress  string `json:"entryAddress"`
	Incarnation   uint64 `json:"incarnation"`
	State         string `json:"state"`
	Ready         bool   `json:"ready"`
}

// ServiceStatus is the state of a service on a host.
type ServiceStatus struct {
	Service string `json:"service"`
	// Owned is set if the host runs the requests of the service.
	Owned bool `json:"owned"`
	// Versions are the known index versions, newest first.
	Versions       []uint64 `json:"versions"`
	Shards         int      `json:"shards"`
	EntryAddresses []string `json:"entryAddresses"`
	Queued         int      `json:"queued"`
	Running        int      `json:"running"`
	MedianMs       float64  `json:"medianMs"`
	P99Ms          float64  `json:"p99Ms"`
}

// SearcherStatus is the state of a searcher as observed by a host.
type SearcherStatus struct {
	Searcher            string  `json:"searcher"`
	Service             string  `json:"service"`
	Address             string  `json:"address"`
	FailureDomain       string  `json:"failureDomain"`
	State               string  `json:"state"`
	InFlight            int     `json:"inFlight"`
	Limit               int     `json:"limit"`
	Slots               int     `json:"slots"`
	Connections         int     `json:"connections"`
	ConnectionCap       int     `json:"connectionCap"`
	LatencyMs           float64 `json:"latencyMs"`
	ConsecutiveFailures int     `json:"consecutiveFailures"`
}

// SuspectStatus describes a request that was running on searchers when they were
// lost.
type SuspectStatus struct {
	Fingerprint string    `json:"fingerprint"`
	Losses      int       `json:"losses"`
	Quarantined bool      `json:"quarantined"`
	Until       time.Time `json:"until,omitzero"`
}

// AddView adds the state in a view.
func (d *StatusDocument) AddView(v view.View) {
	for _, name := range slices.Sorted(maps.Keys(v.Indexes)) {
		s := ServiceStatus{Service: string(name), Owned: v.Runs(name)}
		for i, snapshot := range v.Indexes[name].Snapshots {
			s.Versions = append(s.Versions, uint64(snapshot.Version))
			if i == 0 {
				s.Shards = len(snapshot.Shards)
			}
		}
		for _, a := range v.Addresses[name] {
			s.EntryAddresses = append(s.EntryAddresses, string(a.Address))
		}
		d.Services = append(d.Services, s)
	}
	for _, m := range v.Members {
		d.Members = append(d.Members, memberStatus(m))
	}
	for fp := range v.Quarantined {
		d.Suspects = append(d.Suspects, SuspectStatus{Fingerprint: formatFingerprint(fp), Quarantined: true})
	}
}

// AddLane adds the state of a lane. connectionCount returns the number of open
// connections to a searcher.
func (d *StatusDocument) AddLane(s query.Status, connectionCount func(model.SearcherID) int) {
	for _, v := range s.Services {
		i := slices.IndexFunc(d.Services, func(o ServiceStatus) bool { return o.Service == string(v.Service) })
		if i >= 0 && (v.Queued > 0 || v.Running > 0 || v.Median > 0) {
			d.Services[i].Queued, d.Services[i].Running = v.Queued, v.Running
			d.Services[i].MedianMs, d.Services[i].P99Ms = toMillis(v.Median), toMillis(v.High)
		}
	}
	for _, n := range s.Searchers {
		d.addSearcher(n, connectionCount(n.Searcher.ID))
	}
	for _, x := range s.Suspects {
		d.Suspects = append(d.Suspects, SuspectStatus{
			Fingerprint: formatFingerprint(x.Fingerprint), Losses: x.Losses, Until: x.Until,
		})
	}
}

// addSearcher adds the state of a searcher on one lane. Every lane has a row for
// each searcher. Only the lane that runs the searcher's service makes calls to it,
// so a row with calls replaces the rows of other lanes.
func (d *StatusDocument) addSearcher(n query.SearcherStatus, connections int) {
	row := SearcherStatus{
		Searcher: string(n.Searcher.ID), Service: string(n.Service), Address: string(n.Searcher.Address),
		FailureDomain: string(n.Searcher.FailureDomain), State: n.State, InFlight: n.InFlight, Limit: n.Limit,
		Slots: n.Searcher.Slots, Connections: connections, ConnectionCap: n.Searcher.ConnectionCap,
		LatencyMs: toMillis(n.Latency), ConsecutiveFailures: n.Failures,
	}
	i := slices.IndexFunc(d.Searchers, func(o SearcherStatus) bool { return o.Searcher == row.Searcher })
	switch {
	case i < 0:
		d.Searchers = append(d.Searchers, row)
	case n.Latency > 0 || n.InFlight > 0 || n.Failures > 0:
		d.Searchers[i] = row
	}
}

func memberStatus(m model.Member) MemberStatus {
	return MemberStatus{
		Host: string(m.Host.ID), FailureDomain: string(m.Host.FailureDomain), EntryAddress: string(m.Host.Entry),
		Incarnation: m.Incarnation, State: m.State.String(), Ready: m.Ready,
	}
}

func formatFingerprint(fp model.Fingerprint) string { return fmt.Sprintf("%016x", uint64(fp)) }

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
