package relay

import (
	"time"

	"toucanpulley.example/internal/model"
)

// View is what control tells traffic: the configuration in force, the searchers
// and the hosts. It is immutable.
type View struct {
	Configuration model.Configuration
	Fleet         model.Fleet
	// Hosts are the entry hosts that take callers, this one among them if it does.
	Hosts []model.Member
	// HostCount is the number of entry hosts that may hold connections, at least 1.
	HostCount int
	// Joined is set once the hosts are known; HostCount is a guess before.
	Joined bool
	// Carriers are the hosts that callers are sent to; see WithCarriers.
	PreferredHosts []model.Member
	// Suspects holds the requests that were running when searchers were lost, here
	// or at a peer.
	Suspects map[model.Fingerprint]Suspect
	// Ready is set if this host takes callers; Reason tells why not.
	Ready  bool
	Reason string
	// Leaving is set once this host shuts down.
	Leaving bool
}

// WithConfiguration returns the view with another configuration.
func (v View) WithConfiguration(c model.Configuration) View {
	v.Configuration = c
	return v
}

// WithFleet returns the view with other searchers.
func (v View) WithFleet(f model.Fleet) View {
	v.Fleet = f
	return v
}

// WithHosts returns the view with other entry hosts; joined is set if there are
// no others.
func (v View) WithHosts(hosts []model.Member, count int, joined bool) View {
	v.Hosts, v.HostCount, v.Joined = hosts, max(count, 1), joined
	return v
}

// WithSuspects returns the view with other requests that may crash searchers.
func (v View) WithSuspects(suspects map[model.Fingerprint]Suspect) View {
	v.Suspects = suspects
	return v
}

// WithReady returns the view of a host that takes callers or does not.
func (v View) WithReady(ready bool, reason string) View {
	v.Ready, v.Reason = ready, reason
	return v
}

// WithLeaving returns the view of a host that shuts down or does not.
func (v View) WithLeaving(leaving bool) View {
	v.Leaving = leaving
	return v
}

// Suspect is a request that was running when searchers were lost.
type Suspect struct {
	// Losses is the number of waves of its calls that were all lost.
	Losses int
	// At is when the last one was lost.
	At time.Time
}

// RefusedUntil returns the end of the time in which the request is refused.
func (s Suspect) RefusedUntil() time.Time {
	if s.Losses < quarantineWaves {
		return s.At
	}
	return s.At.Add(min(quarantineMin<<min(s.Losses-quarantineWaves, 10), quarantineMax))
}

// Bounds are the limits within which the host works. They come from the
// settings of the deployment.
type RetryBudget struct {
	// RetryShare and RetrySlack bound the calls beyond the first of each request
	// for one service in RetryWindow, over all hosts together.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
