package cmds

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/platform"
)

const (
	// relayStatusTimeout bounds a status request to a host on the users' platform,
	// which responds or fails within 2 s.
	relayStatusTimeout = 5 * time.Second
	// maxRelayStatusBytes bounds a status response; 57,000 searchers take 400 bytes
	// each.
	maxRelayStatusBytes = 32 << 20
)

// runRelay prints the state of a host on the users' platform.
func (s *status) runRelay(ctx context.Context) subcommands.ExitStatus {
	doc, err := fetchRelayStatus(ctx, s.metricsAddress)
	switch {
	case err != nil:
		return s.fail(err)
	case s.json:
		return s.console.json(doc)
	}
	s.printRelay(doc)
	return exitOK
}

func fetchRelayStatus(ctx context.Context, address string) (doc wire.RelayStatusDocument, err error) {
	ctx, cancel := context.WithTimeout(ctx, relayStatusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.StatusPath, nil)
	if err != nil {
		return doc, fault.Wrap(err, "get status", address)
	}
	response, err := plainClient.Do(request)
	if err != nil {
		return doc, fault.Wrap(err, "get status", address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxRelayStatusBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		return doc, fault.New("get status", address, "%s: %s", response.Status, strings.TrimSpace(string(data)))
	}
	if err == nil {
		err = json.Unmarshal(data, &doc)
	}
	return doc, fault.Wrap(err, "read status", address)
}

func (s *status) printRelay(d wire.RelayStatusDocument) {
	state := "ready"
	switch {
	case d.Leaving:
		state = "leaving"
	case !d.Ready:
		state = "not ready: " + d.NotReadyReason
	}
	s.printf("%s (%s, %s): %s; configuration %d, fleet revision %d, current %d ms ago, store unavailable %t, follows store %t; %d requests running\n",
		d.Host, d.FailureDomain, d.Region, state, d.ConfigurationVersion, d.FleetRevision, d.DataAgeMs, d.StoreUnavailable, d.FollowsStore, d.Running)
	s.printf("  callers are sent to %s\n", strings.Join(d.PreferredHosts, " "))
	s.printMembers(d.Members)
	for _, r := range d.Routes {
		s.printf("  route %-20s p50 %.1f ms p95 %.1f ms\n", r.Route, r.MedianMs, r.HighMs)
	}
	for _, v := range d.Services {
		s.printf("  service %-20s %d parts waiting, %.1f extra calls allowed\n", v.Service, v.Waiting, v.ExtraCalls)
	}
	for _, n := range d.Searchers {
		s.printf("  searcher %-22s %-8s %-20s in flight %d/%d of %d slots, connections %d of %d, latency ratio %.2f, failed %.2f, lost %d, %s, revision %d\n",
			n.Searcher, n.State, n.Service, n.InFlight, n.Limit, n.Slots, n.Connections, n.ConnectionCap, n.LatencyRatio,
			n.FailedShare, n.ConsecutiveLosses, n.FailureDomain, n.Revision)
	}
	for _, x := range d.Suspects {
		s.printf("  request %s: %d waves of calls lost, refused %t until %s\n", x.Fingerprint, x.Losses, x.Quarantined, x.Until.Format(time.RFC3339))
	}
	for _, k := range slices.Sorted(maps.Keys(d.Counters)) {
		s.printf("  %-34s %d\n", k, d.Counters[k])
	}
}
