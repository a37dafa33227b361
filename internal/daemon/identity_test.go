package daemon

import (
	"crypto/tls"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/link"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/stand/plat"
)

// issueConfig returns a configuration with a certificate that signer issued for
// an id. The configuration trusts the certificates of trusted.
func issueConfig(t *testing.T, signer, trusted *certs.Authority, id string) *certs.Config {
	t.Helper()
	m, err := signer.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	m.Roots = trusted.Roots()
	c, err := certs.NewConfig(certs.StaticSource{Material: m})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// clientTLS returns a function for link.Pool.TLS that accepts only the
// certificate of one host at any address.
func clientTLS(c *certs.Config, host string) func(model.Address) *tls.Config {
	return func(model.Address) *tls.Config { return c.Client(host) }
}

// newTLSCluster returns a cluster whose hosts use TLS.
func newTLSCluster(t *testing.T, domains, perDomain int) *cluster {
	s := newCluster(t, domains, perDomain)
	s.authority = newAuthority(t)
	for i := range s.settings {
		s.settings[i].TLS = &conf.TLS{Operators: []string{"operator"}}
	}
	return s
}

// Guards against daemons that cannot join a TLS cluster, either through the host
// list or through seeds alone, and against rejecting peers with valid
// certificates.
func TestDaemonsJoinOverTLS(t *testing.T) {
	is := is.New(t)
	s := newTLSCluster(t, 3, 1)
	s.startAll()
	s.putRevision(2, s.headVersion())
	s.eventually("revision", func(d *Daemon) bool { return d.View().Revision == 2 })

	s.platform.SetFaults(plat.Faults{Down: true})
	is.NoErr(s.daemons[0].Close())
	s.daemons = s.daemons[1:]
	s.start(s.settings[0], s.settings[1].Peer, s.settings[2].Peer)
	s.eventually("start from seeds", func(d *Daemon) bool { return d.View().Ready && readyMembers(d) == 3 })
	for _, d := range s.daemons {
		is.Equal(d.Meter.Value("peer", "unauthenticated"), int64(0))
	}
}

// Guards against admitting a daemon whose certificate comes from another
// authority, and against sending it the settings.
func TestDaemonOfAnotherAuthorityIsRejected(t *testing.T) {
	is := is.New(t)
	s := newTLSCluster(t, 1, 2)
	s.startAll()
	foreign := New(s.settings[0].WithAddresses(s.address(), s.address()))
	foreign.settings.Host, foreign.settings.Seeds = "host-9", []model.Address{s.settings[0].Peer}
	foreign.Store = plat.New() // a separate platform
	foreign.Certs = issueConfig(t, newAuthority(t), s.authority, "host-9")
	startDaemon(t, foreign)
	defer func() { _ = foreign.Close() }()
	for first := s.daemons[0]; first.Meter.Value("peer", "unauthenticated") == 0; {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(foreign.View().Revision, model.Revision(0))
	for _, d := range s.daemons {
		is.Equal(len(d.View().Members), 2)
	}
}

// Guards against an operator, a searcher or another host that impersonates a host
// on the peer address.
func TestOnlyHostsCallPeers(t *testing.T) {
	s := newTLSCluster(t, 1, 1)
	s.startAll()
	d := s.daemons[0]
	tests := []struct {
		name, certName, sender string
		ok                     bool
	}{
		{"host", "host-1", "host-1", true},
		{"operator", "operator", "operator", false},
		{"searcher", "searcher-1", "searcher-1", false},
		{"another host", "host-1", "host-2", false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			p := link.NewPool()
			defer func() { _ = p.Close() }()
			p.TLS = clientTLS(issueConfig(t, s.authority, s.authority, tc.certName), "host-0")
			before := d.Meter.Value("peer", "unauthenticated")
			_, err := p.Pull(t.Context(), s.settings[0].Peer, &peer.PullRequest{Sender: tc.sender})
			is.Equal(err == nil, tc.ok)
			// The client sees the refused handshake before the server counts it.
			for i := 0; !tc.ok && i < 1000 && d.Meter.Value("peer", "unauthenticated") == before; i++ {
				time.Sleep(time.Millisecond)
			}
			is.Equal(d.Meter.Value("peer", "unauthenticated") == before, tc.ok)
		})
	}
}

// Guards against accepting another host at a member's address, and an operator or
// searcher at a seed's address.
func TestMayServe(t *testing.T) {
	is := is.New(t)
	s := newTLSCluster(t, 1, 2)
	s.startAll()
	d, address := s.daemons[0], s.settings[1].Peer
	is.True(d.mayServe(address, "host-1"))
	is.True(!d.mayServe(address, "host-0"))
	is.True(!d.mayServe(address, "operator"))
	const seed = model.Address("127.0.0.1:1")
	is.True(d.mayServe(seed, "host-7"))
	is.True(!d.mayServe(seed, "operator"))
	is.True(!d.mayServe(seed, "searcher-1"))
	release := d.peers.expectHost(model.Host{ID: "host-8", Peer: seed})
	is.True(d.mayServe(seed, "host-8"))
	is.True(!d.mayServe(seed, "host-7"))
	release()
	is.True(d.mayServe(seed, "host-7"))
}
