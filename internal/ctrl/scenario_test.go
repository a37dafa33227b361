package ctrl_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/model"
)

// domainCount is the number of failure domains of a newSettledSim.
const domainCount = 3

// newSettledSim returns a simulation whose hosts have started and agree
// on the members.
func newSettledSim(t *testing.T, seed uint64, hosts int) (*sim, *oracle) {
	t.Helper()
	s := newSim(seed, domainCount, hosts)
	o := newOracle(s)
	s.platform.accept()
	s.platform.publishIndex()
	s.startAll()
	s.run(15*time.Second + time.Duration(hosts)*200*time.Millisecond)
	o.checkMembersAgree()
	o.check(t)
	return s, o
}

func (o *oracle) check(t *testing.T) {
	t.Helper()
	if len(o.failures) > 0 {
		t.Fatalf("%d failures:\n%s", len(o.failures), strings.Join(o.failures[:min(len(o.failures), 12)], "\n"))
	}
}

// Guards against a host that serves although it can reach neither the platform
// nor a peer, or that stays unready after it can reach them again.
func TestIsolatedHostIsUnreadyUntilReconnected(t *testing.T) {
	is := is.New(t)
	s, o := newSettledSim(t, 1, 6)
	isolated := s.hosts[2].ID
	s.partitioned[isolated], s.platformUnreachable[isolated] = true, true
	s.platform.failWatches()
	s.run(20 * time.Second)
	for _, n := range s.live() {
		is.Equal(n.view.Ready, n.host.ID != isolated)
	}
	is.True(strings.Contains(s.nodes[isolated].view.NotReadyReason, "cut off"))
	s.platform.accept()
	clear(s.partitioned)
	clear(s.platformUnreachable)
	s.run(propagationLimit)
	o.checkConverged("")
	is.True(s.nodes[isolated].view.Ready)
	o.check(t)
}

// Guards against failure domains that do not rejoin after a partition of
// minutes, with the platform reachable from both sides or from neither.
func TestDomainsRejoinAfterPartition(t *testing.T) {
	for _, down := range []bool{false, true} {
		s, o := newSettledSim(t, 2, 9)
		for _, h := range s.hosts {
			s.partitioned[h.ID] = h.FailureDomain == "domain-1"
		}
		s.run(5 * time.Second)
		s.platform.accept()
		s.run(propagationLimit)
		s.platform.down = down
		s.platform.failWatches()
		s.run(10 * time.Minute)
		o.checkConverged("")
		s.send(s.nodes[s.hosts[0].ID], ctrl.LossReported{Fingerprint: 9, Losses: 2})
		s.run(10 * time.Second)
		clear(s.partitioned)
		s.run(propagationLimit)
		o.checkConverged("", 9)
		s.run(agreementLimit)
		o.checkMembersAgree()
		o.checkConverged("", 9)
		o.check(t)
	}
}

// Guards against serving old settings while a known failure domain is
// unreachable: a host that starts then, during a platform outage, must not serve.
func TestNewHostWaitsForEveryDomain(t *testing.T) {
	is := is.New(t)
	s, o := newSettledSim(t, 3, 6)
	s.platform.down = true
	s.platform.failWatches()
	for _, h := range s.hosts {
		s.partitioned[h.ID] = h.FailureDomain == "domain-1"
	}
	s.run(20 * time.Second)
	s.stop(s.hosts[0].ID)
	s.run(time.Second)
	n := s.start(s.hosts[0])
	s.run(40 * time.Second)
	is.True(!n.view.Ready)
	is.True(strings.Contains(n.view.NotReadyReason, "domain-1"))
	for _, peer := range s.live() {
		for _, list := range peer.view.Addresses {
			is.True(!slices.ContainsFunc(list, func(a model.EntryAddress) bool { return a.Host == n.host.ID }))
		}
	}
	clear(s.partitioned)
	s.run(agreementLimit)
	is.True(n.view.Ready)
	o.checkMembersAgree()
	o.check(t)
}

// Guards against a fleet that restarts during a platform outage and stays unready
// after it, or that then overloads the platform with calls.
func TestFleetRestartDuringPlatformOutage(t *testing.T) {
	is := is.New(t)
	const hosts = 60
	s, o := newSettledSim(t, 4, hosts)
	s.platform.down = true
	s.platform.failWatches()
	for _, h := range s.hosts {
		s.stop(h.ID)
	}
	s.startAll()
	s.run(3 * time.Minute)
	for _, n := range s.live() {
		is.True(!n.view.Ready)
		is.True(strings.Contains(n.view.NotReadyReason, "no settings are known"))
	}
	reads, watches := s.platform.reads, s.platform.watches
	s.run(time.Minute)
	// A read of the platform counts as three calls here. Each host reads every
	// 15 to 45 s; the watchers of a domain, 8 of them while no host reaches the
	// platform, try every 0.75 to 1.5 s.
	is.True(s.platform.reads-reads <= hosts*3*4+domainCount*8*80)
	is.True(s.platform.watches-watches <= domainCount*8*2*80)
	reads = s.platform.reads
	s.platform.down = false
	s.run(2 * propagationLimit)
	for _, n := range s.live() {
		is.True(n.view.Ready)
	}
	// Watchers read the host list every second; at most a fifth of the hosts,
	// by chance, read in these 6 s.
	is.True(s.platform.reads-reads <= hosts/5*3+domainCount*8*10)
	o.checkConverged("")
	o.check(t)
}

// Guards against platform calls that grow with the number of hosts: 6 watchers
// keep a watch open and read the host list once a second.
func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{12, 60} {
		s, _ := newSettledSim(t, 5, hosts)
		reads := s.platform.reads
		s.run(time.Minute)
		is.Equal(len(s.platform.waiting), 6)
		is.True(s.platform.reads-reads <= 6*60)
	}
}

// Guards against quarantine entries whose expiry is extended when hosts forward
// them, and against refusing a request after a single loss.
func TestQuarantineSpreadsAndExpires(t *testing.T) {
	is := is.New(t)
	s, _ := newSettledSim(t, 6, 9)
	s.loss = 0.05
	s.send(s.nodes[s.hosts[4].ID], ctrl.LossReported{Fingerprint: 5, Losses: 1})
	s.run(propagationLimit)
	for _, n := range s.live() {
		is.True(n.view.Suspects[5] && !n.view.Quarantined[5])
	}
	s.send(s.nodes[s.hosts[1].ID], ctrl.LossReported{Fingerprint: 5, Losses: 2})
	s.run(propagationLimit)
	for _, n := range s.live() {
		is.True(!n.view.Suspects[5] && n.view.Quarantined[5])
	}
	s.run(10*time.Minute + time.Second)
	for _, n := range s.live() {
		is.True(!n.view.Suspects[5] && !n.view.Quarantined[5])
	}
}

// Guards against a leaving host that stays in address answers.
func TestDrainingHostIsRemovedFromAddresses(t *testing.T) {
	is := is.New(t)
	s, _ := newSettledSim(t, 7, 9)
	var leaving model.HostID
	for _, list := range s.live()[0].view.Addresses {
		leaving = list[0].Host
	}
	s.send(s.nodes[leaving], ctrl.LeaveRequested{})
	s.run(propagationLimit)
	for _, n := range s.live() {
		for _, list := range n.view.Addresses {
			is.Equal(len(list), addressesPerAnswer)
			for _, a := range list {
				is.True(a.Host != leaving)
			}
		}
	}
}

// Guards against a settings change or a quarantined request that takes longer
// than propagationLimit to reach all of 200 hosts. 5% of messages are lost. The
// two are tested separately, as the pushes of one also carry the other.
func TestChangeIsInForceEverywhereInTime(t *testing.T) {
	s, o := newSettledSim(t, 8, 200)
	s.loss = 0.05
	for range 5 {
		s.platform.accept()
		s.run(propagationLimit)
		o.checkConverged("")
	}
	for i := range 5 {
		f := model.Fingerprint(100 + i)
		s.send(s.nodes[s.hosts[i].ID], ctrl.LossReported{Fingerprint: f, Losses: 2})
		s.run(propagationLimit)
		o.checkConverged("", f)
	}
	o.check(t)
}

// Guards against watchers that reconnect too late after a long outage for the
// first change after it to be in force within propagationLimit.
func TestChangeAfterAnOutageIsInForceInTime(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 1, 2)
		o := newOracle(s)
		s.platform.accept()
		s.startAll()
		s.run(10 * time.Second)
		s.platform.down = true
		s.platform.failWatches()
		s.run(time.Minute + s.jitter(10*time.Second))
		s.platform.down = false
		s.platform.accept()
		s.run(propagationLimit)
		o.checkConverged("")
		o.check(t)
	}
}

// Guards against a crashed host that stays in address answers.
func TestCrashedHostIsRemovedFromAddresses(t *testing.T) {
	s, o := newSettledSim(t, 9, 9)
	s.stop(s.hosts[5].ID)
	s.run(agreementLimit)
	o.checkMembersAgree()
	o.check(t)
}

// Guards against a change that reaches no host because no watcher can reach the
// platform, while other hosts can.
func TestOtherHostsWatchIfWatchersLosePlatform(t *testing.T) {
	is := is.New(t)
	s, o := newSettledSim(t, 10, 12)
	for n := range s.platform.waiting {
		s.platformUnreachable[n.host.ID] = true
	}
	is.Equal(len(s.platformUnreachable), 2*domainCount)
	s.platform.failWatches()
	s.run(30 * time.Second)
	s.platform.accept()
	s.run(propagationLimit)
	o.checkConverged("")
	clear(s.platformUnreachable)
	s.run(30 * time.Second)
	is.Equal(len(s.platform.waiting), 2*domainCount) // the additional watchers stop
	o.check(t)
}
