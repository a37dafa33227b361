package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/stand/plat"
	"toucanpulley.example/stand/ports"
)

// cluster runs several daemons on loopback against a simulated platform.
type cluster struct {
	t        *testing.T
	platform *plat.Platform
	settings []conf.Settings
	daemons  []*Daemon
	// authority issues the daemons' certificates; nil for plain connections.
	authority *certs.Authority
}

func newCluster(t *testing.T, domains, perDomain int) *cluster {
	s := &cluster{t: t, platform: plat.New()}
	var hosts []store.HostEntry
	for i := range domains * perDomain {
		domain := model.FailureDomain(fmt.Sprintf("domain-%d", i%domains))
		c := conf.Settings{Host: model.HostID(fmt.Sprintf("host-%d", i)), FailureDomain: domain, Region: "sindh", Lanes: 1}.
			WithAddresses(s.address(), s.address())
		s.settings = append(s.settings, c)
		hosts = append(hosts, store.HostEntry{ID: string(c.Host), Role: store.RoleEntry, Address: c.Entry, Peer: c.Peer, FailureDomain: domain})
	}
	hosts = append(hosts, store.HostEntry{ID: "searcher-1", Role: store.RoleSearcher})
	s.platform.SetHosts(hosts)
	s.put("index/jury-desk", wire.IndexDocument{Service: "jury-desk", Searchers: []wire.SearcherDocument{
		{ID: "searcher-1", Address: "127.0.0.1:1", Slots: 2, ConnectionCap: 25},
	}}, 0)
	s.putRevision(1, 0)
	t.Cleanup(func() {
		for _, d := range s.daemons {
			_ = d.Close()
		}
	})
	return s
}

func (s *cluster) address() model.Address {
	address, err := ports.Address("127.0.0.1")
	if err != nil {
		s.t.Fatal(err)
	}
	return model.Address(address)
}

func (s *cluster) put(name string, doc any, version uint64) {
	_, err := s.platform.Put(context.Background(), name, wire.EncodeJSON(doc), version)
	if err != nil {
		s.t.Fatal(err)
	}
}

// putRevision writes a settings revision, replacing the given version of the
// head object.
func (s *cluster) putRevision(revision, head uint64) {
	name := fmt.Sprintf("settings/segment/%d", revision)
	s.put(name, wire.SegmentDocument{Nodes: []wire.NodeDocument{{Path: "/"}, {Path: "/dastkar"}, {Path: "/dastkar/jury-desk"}}}, 0)
	s.put(headName, wire.HeadDocument{Revision: revision, Segments: []string{name}}, head)
}

func (s *cluster) start(c conf.Settings, seeds ...model.Address) {
	c.Seeds = seeds
	d := New(c)
	d.Store = s.platform
	if s.authority != nil {
		d.Certs = issueConfig(s.t, s.authority, s.authority, string(c.Host))
	}
	startDaemon(s.t, d)
	s.daemons = append(s.daemons, d)
}

// startDaemon runs a daemon and waits until it has started. The test fails if
// Run returns before that.
func startDaemon(t *testing.T, d *Daemon) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	select {
	case <-d.Started():
	case <-ended:
		t.FailNow()
	}
}

// eventually waits until a condition holds for every daemon.
func (s *cluster) eventually(description string, condition func(*Daemon) bool) {
	s.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for _, d := range s.daemons {
		for !condition(d) {
			if time.Now().After(deadline) {
				s.t.Fatalf("%s: not reached on %s: revision %d, ready %v, %s, %d addresses", description, d.settings.Host,
					d.View().Revision, d.View().Ready, d.View().NotReadyReason, len(d.View().Addresses["jury-desk"]))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func (s *cluster) startAll() {
	for _, c := range s.settings {
		s.start(c)
	}
	s.eventually("start", func(d *Daemon) bool {
		return d.View().Ready && readyMembers(d) == len(s.settings)
	})
}

// readyMembers returns the number of ready hosts in the daemon's membership view.
func readyMembers(d *Daemon) int {
	n := 0
	for _, m := range d.View().Members {
		if m.Ready && (m.State == model.MemberAlive || m.State == model.MemberSuspect) {
			n++
		}
	}
	return n
}

// Guards against all daemons watching the platform, and against settings, leaving
// searchers and quarantine entries that reach only the watching daemons.
func TestDaemonsShareDataWithPeers(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 2, 4)
	s.startAll()
	s.eventually("two watchers in each domain", func(*Daemon) bool { return s.platform.Calls().Waiting == 2*2*2 })

	s.putRevision(2, s.headVersion())
	s.eventually("revision", func(d *Daemon) bool { return d.View().Revision == 2 })

	before := s.platform.Calls().Reads
	hosts, err := s.platform.Hosts(context.Background())
	is.NoErr(err)
	hosts[len(hosts)-1].Leaving = true
	s.platform.SetHosts(hosts)
	s.eventually("leaving searcher", func(d *Daemon) bool { return d.View().Indexes["jury-desk"].Searchers[0].Leaving })
	time.Sleep(time.Second)
	is.True(s.platform.Calls().Reads-before < 8*6) // 4 watchers read the list, not 8 daemons

	s.daemons[5].lanes[0].report(ctrl.LossReported{Fingerprint: 77, Losses: 1})
	s.eventually("suspect", func(d *Daemon) bool { return d.View().Suspects[77] })
	s.daemons[2].lanes[0].report(ctrl.LossReported{Fingerprint: 77, Losses: 1})
	s.eventually("quarantine", func(d *Daemon) bool { return d.View().Quarantined[77] && !d.View().Suspects[77] })
}

func (s *cluster) headVersion() uint64 {
	o, err := s.platform.Get(context.Background(), headName)
	if err != nil {
		s.t.Fatal(err)
	}
	return o.Version
}

// Guards against daemons that become unready or cannot start during an outage of
// the platform, and against a fleet that does not recover after it was restarted
// during an outage.
func TestDaemonsSurvivePlatformOutage(t *testing.T) {
	is := is.New(t)
	s := newCluster(t, 3, 1)
	s.startAll()
	s.platform.SetFaults(plat.Faults{Down: true})
	is.NoErr(s.daemons[0].Close())
	s.daemons = s.daemons[1:]
	s.start(s.settings[0], s.settings[1].Peer, s.settings[2].Peer)
	s.eventually("start from peers", func(d *Daemon) bool { return d.View().Ready && d.View().Revision == 1 })

	for _, d := range s.daemons {
		is.NoErr(d.Close())
	}
	s.daemons = nil
	for i, c := range s.settings {
		s.start(c, s.settings[(i+1)%3].Peer)
	}
	s.eventually("reason", func(d *Daemon) bool {
		return strings.Contains(d.View().NotReadyReason, "no settings are known") && !d.View().Ready
	})
	s.platform.SetFaults(plat.Faults{})
	s.eventually("recovery", func(d *Daemon) bool { return d.View().Ready && len(d.View().Addresses["jury-desk"]) == 3 })
}

// Guards against a deadlock between the control loop, which sends views to lanes,
// and lanes, which send reports to the control loop: reporting must never block.
func TestReportsNeverBlockALane(t *testing.T) {
	p := newPeerTransport("host-0", meter.New(), hclog.NewNullLogger())
	release, done := make(chan struct{}), make(chan struct{})
	p.send = func(ctrl.Event) bool { // the control loop is blocked on a lane
		<-release
		return true
	}
	p.calls.Go(p.forwardReports)
	go func() {
		defer close(done)
		for i := range 3 * maxQueuedReports {
			p.report(ctrl.LossReported{Fingerprint: model.Fingerprint(i), Losses: 1})
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Error("report blocked on the control loop")
	}
	close(release)
	<-done
	p.cancel()
	p.calls.Wait()
	is.New(t).True(p.meter.Value("report", "dropped") > 0)
}
