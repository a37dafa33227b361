package wire

import (
	"cmp"
	"slices"
	"time"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/feed"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

// RelayStatusDocument is the JSON form of the state of a host that relays
// requests by routes.
type RelayStatusDocument struct {
	Host           string    `json:"host"`
	FailureDomain  string    `json:"failureDomain"`
	Region         string    `json:"region"`
	Time           time.Time `json:"time"`
	Ready          bool      `json:"ready"`
	NotReadyReason string    `json:"notReadyReason,omitempty"`
	Leaving        bool      `json:"leaving"`
	// ConfigurationVersion is the version of the configuration in force.
	ConfigurationVersion uint64 `json:"configuration"`
	// DataAgeMs is the time since the configuration and the fleet were last known
	// to be current; -1 if they never were.
	DataAgeMs        int64  `json:"beliefAgeMs"`
	FleetRevision    uint64 `json:"fleetRevision"`
	StoreUnavailable bool   `json:"storeAway"`
	// FollowsStore is set if the host reads the store directly.
	FollowsStore bool `json:"followsStore"`
	// PreferredHosts are the hosts that callers are sent to.
	PreferredHosts []string `json:"carriers"`
	// Running is the number of unanswered requests.
	Running   int                   `json:"running"`
	Members   []MemberStatus        `json:"members"`
	Routes    []RouteStatus         `json:"routes"`
	Services  []RelayServiceStatus  `json:"services"`
	Searchers []RelaySearcherStatus `json:"searchers"`
	Suspects  []SuspectStatus       `json:"suspects"`
	// Counters holds all counters and gauges by name.
	Counters map[string]int64 `json:"counters"`
}

// RouteStatus holds the latencies of recent calls of a route. HighMs is the
// latency at the quantile from which calls are hedged.
type RouteStatus struct {
	Route    string  `json:"route"`
	MedianMs float64 `json:"medianMs"`
	HighMs   float64 `json:"highMs"`
}

// RelayServiceStatus is the state of a service on a host.
type RelayServiceStatus struct {
	Service string `json:"service"`
	// Waiting is the number of parts that wait for a free searcher.
	Waiting int `json:"waiting"`
	// ExtraCalls is the number of retries and hedged calls that the retry budget
	// allows now.
	ExtraCalls float64 `json:"extraCalls"`
}

// RelaySearcherStatus is the state of a searcher as observed by a host.
type RelaySearcherStatus struct {
	Searcher      string `json:"searcher"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// State is one of ok, leaving, avoided, cold and unused.
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
	InFlight      int    `json:"inFlight"`
	Limit         int    `json:"limit"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	ConnectionCap int    `json:"connectionCap"`
	// LatencyRatio is the smoothed ratio of the searcher's latencies to the median
	// latencies of the routes. FailedShare is the smoothed share of failed calls.
	LatencyRatio      float64 `json:"latencyRatio"`
	FailedShare       float64 `json:"failedShare"`
	ConsecutiveLosses int     `json:"consecutiveLosses"`
}

// NewRelayStatus returns a document with the state in a view.
func NewRelayStatus(self model.Host, v relay.View, now time.Time) RelayStatusDocument {
	d := RelayStatusDocument{
		Host: string(self.ID), FailureDomain: string(self.FailureDomain), Region: string(self.Region), Time: now.UTC(),
		Ready: v.Ready, NotReadyReason: v.Reason, Leaving: v.Leaving, ConfigurationVersion: uint64(v.Configuration.Version),
	}
	for _, m := range v.PreferredHosts {
		d.PreferredHosts = append(d.PreferredHosts, string(m.Host.ID))
	}
	for f, s := range v.Suspects {
		d.Suspects = append(d.Suspects, SuspectStatus{
			Fingerprint: formatFingerprint(f), Losses: s.Losses, Quarantined: now.Before(s.RefusedUntil()), Until: s.RefusedUntil().UTC(),
		})
	}
	slices.SortFunc(d.Suspects, func(a, b SuspectStatus) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return d
}

// AddControl adds the state of the control loop.
func (d *RelayStatusDocument) AddControl(s ctrl.Status) {
	d.DataAgeMs, d.FleetRevision = -1, s.Digest.FleetRevision
	if s.Digest.Age != feed.AgeUnknown {
		d.DataAgeMs = s.Digest.Age.Milliseconds()
	}
	d.StoreUnavailable, d.FollowsStore = s.StoreUnavailable, s.FollowsStore
	for _, m := range s.Members {
		d.Members = append(d.Members, memberStatus(m))
	}
}

// AddLane adds the state of the traffic lane. connectionCount returns the number
// of open connections to a searcher.
func (d *RelayStatusDocument) AddLane(s relay.Status, connectionCount func(model.SearcherID) int) {
	d.Running = s.Running
	for _, r := range s.Routes {
		d.Routes = append(d.Routes, RouteStatus{Route: r.Route, MedianMs: toMillis(r.Median), HighMs: toMillis(r.High)})
	}
	for _, v := range s.Services {
		d.Services = append(d.Services, RelayServiceStatus{Service: string(v.Service), Waiting: v.Waiting, ExtraCalls: v.ExtraCalls})
	}
	for _, n := range s.Searchers {
		info := n.Registration.Searcher
		d.Searchers = append(d.Searchers, RelaySearcherStatus{
			Searcher: string(info.ID), Service: string(n.Registration.Service), Address: string(info.Address),
			FailureDomain: string(info.FailureDomain), State: n.State, Revision: n.Registration.Revision,
			InFlight: n.InFlight, Limit: n.Limit, Slots: info.Slots, Connections: connectionCount(info.ID), ConnectionCap: n.MaxOpen,
			LatencyRatio: n.LatencyRatio, FailedShare: n.FailedShare, ConsecutiveLosses: n.ConsecutiveLosses,
		})
	}
}
