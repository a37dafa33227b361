package link

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
)

func authority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func identity(t *testing.T, signer, trusted *certs.Authority, id string) *certs.Config {
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

// secure returns a server of host-b that accepts host-a and host-c, and what
// counts its refusals.
func secure(t *testing.T, a *certs.Authority) (*Server, *atomic.Int64) {
	t.Helper()
	s, refused := NewServer(), &atomic.Int64{}
	s.TLS = identity(t, a, a, "host-b").PeerServer(func(id string) bool { return id == "host-a" || id == "host-c" })
	s.Refused = func(error) { refused.Add(1) }
	s.Forward = echo
	return s, refused
}

// Guards against a peer that is served, or refused without being counted, though
// it does not prove that it is the sender of its call, and against TLS settings
// that one side ignores.
func TestServerServesOnlyTheSender(t *testing.T) {
	a, other := authority(t), authority(t)
	host := func(c *certs.Config) func(model.Address) *tls.Config {
		return func(model.Address) *tls.Config { return c.Client("host-b") }
	}
	tests := []struct {
		name    string
		tls     func(model.Address) *tls.Config
		sender  string
		refused int64
	}{
		{"the sender", host(identity(t, a, a, "host-a")), "host-a", 0},
		{"plain", nil, "host-a", 1},
		{"no certificate", func(model.Address) *tls.Config {
			return &tls.Config{RootCAs: a.Roots(), ServerName: "host-b"}
		}, "host-a", 1},
		{"wrong authority", host(identity(t, other, a, "host-a")), "host-a", 1},
		{"wrong name", host(identity(t, a, a, "host-d")), "host-d", 1},
		{"another sender", host(identity(t, a, a, "host-a")), "host-c", 1},
		{"no sender", host(identity(t, a, a, "host-a")), "", 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, refused := secure(t, a)
			ran := false
			s.Forward = func(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
				ran = true
				return echo(ctx, m)
			}
			to, p := serve(t, s), newPool(t)
			p.TLS = tc.tls
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := p.Forward(ctx, to, &peer.ForwardRequest{Sender: tc.sender, TimeoutMs: 1000})
			is.Equal(err != nil, tc.refused > 0)
			_ = s.Close()
			is.Equal(ran, tc.refused == 0)
			is.Equal(refused.Load(), tc.refused)
		})
	}
}

// Guards against messages whose sender is not compared with the certificate.
func TestServerChecksEveryKindOfMessage(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	s, refused := secure(t, a)
	s.Probe = func(context.Context, *peer.ProbeRequest) (*peer.ProbeResponse, error) {
		return &peer.ProbeResponse{}, nil
	}
	s.Push = func(context.Context, *peer.PushRequest) (*peer.PushResponse, error) { return &peer.PushResponse{}, nil }
	s.Pull = func(context.Context, *peer.PullRequest) (*peer.PullResponse, error) { return &peer.PullResponse{}, nil }
	s.Members = func(context.Context, *peer.MembersRequest) (*peer.MembersResponse, error) {
		return &peer.MembersResponse{}, nil
	}
	to, p := serve(t, s), newPool(t)
	c := identity(t, a, a, "host-a")
	p.TLS = func(model.Address) *tls.Config { return c.Client("host-b") }
	gossip := &peer.Gossip{Sender: &peer.Member{Host: "host-c"}}
	var errs [4]error
	_, errs[0] = p.Probe(t.Context(), to, &peer.ProbeRequest{Gossip: gossip})
	_, errs[1] = p.Push(t.Context(), to, &peer.PushRequest{Gossip: gossip})
	_, errs[2] = p.Pull(t.Context(), to, &peer.PullRequest{Sender: "host-c"})
	_, errs[3] = p.Members(t.Context(), to, &peer.MembersRequest{Sender: gossip.GetSender()})
	for _, err := range errs {
		is.True(err != nil)
	}
	is.Equal(refused.Load(), int64(4))
}

// Guards against calls to a server that is not the host at the address, and
// against answers in the name of another host.
func TestPoolCallsOnlyTheHostOfAnAddress(t *testing.T) {
	a, other := authority(t), authority(t)
	members := func(string) bool { return true }
	tests := []struct {
		name    string
		server  *tls.Config
		sender  string
		ok      bool
		sent    bool
		refused int64
	}{
		{"the host", identity(t, a, a, "host-b").PeerServer(members), "host-b", true, true, 0},
		{"wrong authority", identity(t, other, a, "host-b").PeerServer(members), "host-b", false, false, 1},
		{"wrong name", identity(t, a, a, "host-c").PeerServer(members), "host-c", false, false, 1},
		{"another sender", identity(t, a, a, "host-b").PeerServer(members), "host-c", false, true, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, p := NewServer(), newPool(t)
			s.TLS = tc.server
			s.Members = func(context.Context, *peer.MembersRequest) (*peer.MembersResponse, error) {
				return &peer.MembersResponse{Sender: tc.sender}, nil
			}
			to := serve(t, s)
			c, refused := identity(t, a, a, "host-a"), int64(0)
			p.TLS = func(address model.Address) *tls.Config {
				is.Equal(address, to)
				return c.Client("host-b")
			}
			p.Refused = func(error) { refused++ }
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := p.Members(ctx, to, &peer.MembersRequest{Sender: &peer.Member{Host: "host-a"}})
			is.Equal(err == nil, tc.ok)
			is.Equal(!errors.Is(err, ErrNotSent), tc.sent)
			is.Equal(refused, tc.refused)
		})
	}
}

// Guards against a plain peer that is called by TLS settings without notice.
func TestPoolRefusesPlainPeers(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	c, p, refused := identity(t, a, a, "host-a"), newPool(t), 0
	p.TLS = func(model.Address) *tls.Config { return c.Client("host-b") }
	p.Refused = func(error) { refused++ }
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("an answer in plain text"))
		_, _ = io.Copy(io.Discard, conn) // until the pool gives up
		_ = conn.Close()
	}()
	_, err = p.Forward(ctx, model.Address(l.Addr().String()), &peer.ForwardRequest{Sender: "host-a", TimeoutMs: 1000})
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(refused, 1)

	// What a plain server makes of the random bytes of a TLS handshake differs:
	// it answers with an error, or waits for the rest of a frame. The call must
	// fail unsent either way; only an answer proves that the peer is plain.
	s := NewServer()
	s.Forward = echo
	_, err = p.Forward(ctx, serve(t, s), &peer.ForwardRequest{Sender: "host-a", TimeoutMs: 1000})
	is.True(errors.Is(err, ErrNotSent))
}
