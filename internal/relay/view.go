package relay

import (
	"time"

	"toucanpulley.example/internal/model"
)

// View is the state that the control thread publishes to the traffic threads: the
// current configuration, the searchers and the hosts. It is immutable.
type View struct {
	Configuration model.Configuration
	Fleet         model.Fleet
	// Hosts are the entry hosts that accept callers, including this one if it does.
	Hosts []model.Member
	// HostCount is the number of entry hosts that may hold connections, at least 1.
	HostCount int
	// Joined is set once the hosts are known; until then HostCount is an estimate.
	Joined bool
	// Settled is set once the number of known hosts has stopped growing, so that
	// connections can be opened ahead of need.
	Settled bool
	// PreferredHosts are the hosts that callers are directed to; see
	// WithPreferredHosts.
	PreferredHosts []model.Member
	// KnownHosts are all hosts that have not left, also those that seem to have
	// failed; none while the hosts are not known. LargeShareHosts are the hosts among them that hold the greater part of
	// an amount that all hosts divide; see WithPreferredHosts.
	KnownHosts      []model.Member
	LargeShareHosts []model.Member
	// ConnectionHosts are the hosts that hold most connections to searchers; see
	// WithPreferredHosts.
	ConnectionHosts []model.Member
	// Suspects holds the requests that may crash searchers, as seen by this host
	// and its peers.
	Suspects map[model.Fingerprint]Suspect
	// Ready is set if this host accepts callers; otherwise Reason tells why not.
	Ready  bool
	Reason string
	// Leaving is set while this host shuts down.
	Leaving bool
}

// WithConfiguration returns the view with the given configuration.
func (v View) WithConfiguration(c model.Configuration) View {
	v.Configuration = c
	return v
}

// WithFleet returns the view with the given searchers.
func (v View) WithFleet(f model.Fleet) View {
	v.Fleet = f
	return v
}

// WithHosts returns the view with the given entry hosts; joined tells whether they
// are complete.
func (v View) WithHosts(hosts []model.Member, count int, joined bool) View {
	v.Hosts, v.HostCount, v.Joined = hosts, max(count, 1), joined
	return v
}

// WithKnownHosts returns the view with the hosts that have not left.
func (v View) WithKnownHosts(hosts []model.Member) View {
	v.KnownHosts = hosts
	return v
}

// WithSettled returns the view with whether the known hosts count as complete.
func (v View) WithSettled(settled bool) View {
	v.Settled = settled
	return v
}

// WithSuspects returns the view with the given requests that may crash searchers.
func (v View) WithSuspects(suspects map[model.Fingerprint]Suspect) View {
	v.Suspects = suspects
	return v
}

// WithReady returns the view with the given readiness of this host.
func (v View) WithReady(ready bool, reason string) View {
	v.Ready, v.Reason = ready, reason
	return v
}

// WithLeaving returns the view with the given shutdown state of this host.
func (v View) WithLeaving(leaving bool) View {
	v.Leaving = leaving
	return v
}

// Suspect is a request that was running when searchers were lost, and that may be
// a query of death: one that crashes the searchers that run it.
type Suspect struct {
	// Losses is the number of waves in which calls were lost and none succeeded, over
	// all hosts. A wave is the set of calls of the request that are in flight together.
	Losses int
	// At is the time of the last lost wave.
	At time.Time
}

// RefusedUntil returns the end of the quarantine on the first host that tests the
// request again.
func (s Suspect) RefusedUntil() time.Time {
	if s.Losses < quarantineWaves {
		return s.At
	}
	return s.At.Add(min(quarantineMin<<min(s.Losses-quarantineWaves, 10), quarantineMax))
}

// RetryBudget limits retries and hedges. It comes from the deployment settings.
type RetryBudget struct {
	// Within RetryWindow, all hosts together may send a service RetrySlack retries
	// and hedges, plus RetryShare for each first call.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
