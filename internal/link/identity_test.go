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

func newAuthority(t *testing.T) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newTLSConfig(t *testing.T, signer, trusted *certs.Authority, id string) *certs.Config {
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

// newTLSServer returns the server of host-b, which accepts host-a and host-c, and
// the counter of its authentication failures.
func newTLSServer(t *testing.T, a *certs.Authority) (*Server, *atomic.Int64) {
	t.Helper()
	s, authFailures := NewServer(), &atomic.Int64{}
	s.TLS = newTLSConfig(t, a, a, "host-b").PeerServer(func(id string) bool { return id == "host-a" || id == "host-c" })
	s.OnAuthFailure = func(error) { authFailures.Add(1) }
	s.Forward = echo
	return s, authFailures
}

// Guards against serving a peer that does not authenticate as the sender of its
// call, against rejecting it without reporting the failure, and against TLS
// settings that one side ignores.
func TestServerServesOnlyTheSender(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	toHostB := func(c *certs.Config) func(model.Address) *tls.Config {
		return func(model.Address) *tls.Config { return c.Client("host-b") }
	}
	tests := []struct {
		name         string
		tls          func(model.Address) *tls.Config
		sender       string
		authFailures int64
	}{
		{"the sender", toHostB(newTLSConfig(t, a, a, "host-a")), "host-a", 0},
		{"plain", nil, "host-a", 1},
		{"no certificate", func(model.Address) *tls.Config {
			return &tls.Config{RootCAs: a.Roots(), ServerName: "host-b"}
		}, "host-a", 1},
		{"wrong authority", toHostB(newTLSConfig(t, other, a, "host-a")), "host-a", 1},
		{"wrong name", toHostB(newTLSConfig(t, a, a, "host-d")), "host-d", 1},
		{"another sender", toHostB(newTLSConfig(t, a, a, "host-a")), "host-c", 1},
		{"no sender", toHostB(newTLSConfig(t, a, a, "host-a")), "", 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s, authFailures := newTLSServer(t, a)
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
			is.Equal(err != nil, tc.authFailures > 0)
			_ = s.Close()
			is.Equal(ran, tc.authFailures == 0)
			is.Equal(authFailures.Load(), tc.authFailures)
		})
	}
}

// Guards against kinds of messages whose sender is not compared with the
// certificate.
func TestServerChecksEveryKindOfMessage(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	s, authFailures := newTLSServer(t, a)
	s.Probe = func(context.Context, *peer.ProbeRequest) (*peer.ProbeResponse, error) {
		return &peer.ProbeResponse{}, nil
	}
	s.Push = func(context.Context, *peer.PushRequest) (*peer.PushResponse, error) { return &peer.PushResponse{}, nil }
	s.Pull = func(context.Context, *peer.PullRequest) (*peer.PullResponse, error) { return &peer.PullResponse{}, nil }
	s.Members = func(context.Context, *peer.MembersRequest) (*peer.MembersResponse, error) {
		return &peer.MembersResponse{}, nil
	}
	to, p := serve(t, s), newPool(t)
	c := newTLSConfig(t, a, a, "host-a")
	p.TLS = func(model.Address) *tls.Config { return c.Client("host-b") }
	gossip := &peer.Gossip{Sender: &peer.Member{Host: "host-c"}}
	var errs [4]error
	_, errs[0] = p.Probe(t.Context(), to, &peer.ProbeRequest{Gossip: gossip})
	_, errs[1] = p.Push(t.Context(), to, &peer.PushRequest{Gossip: gossip})
	_, errs[2] = p.Pull(t.Context(), to, &peer.PullRequest{Sender: "host-c"})
	_, errs[3] = p.Members(t.Context(), to, &peer.MembersRequest{Sender: gossip.GetSender()})
	for _, e := range errs {
		is.True(e != nil)
	}
	is.Equal(authFailures.Load(), int64(4))
}

// Guards against calls to a server that is not the expected host of an address,
// and against responses that name another host as sender.
func TestPoolCallsOnlyTheHostOfAnAddress(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	anyMember := func(string) bool { return true }
	tests := []struct {
		name         string
		server       *tls.Config
		sender       string
		ok           bool
		sent         bool
		authFailures int64
	}{
		{"the host", newTLSConfig(t, a, a, "host-b").PeerServer(anyMember), "host-b", true, true, 0},
		{"wrong authority", newTLSConfig(t, other, a, "host-b").PeerServer(anyMember), "host-b", false, false, 1},
		{"wrong name", newTLSConfig(t, a, a, "host-c").PeerServer(anyMember), "host-c", false, false, 1},
		{"another sender", newTLSConfig(t, a, a, "host-b").PeerServer(anyMember), "host-c", false, true, 1},
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
			c, authFailures := newTLSConfig(t, a, a, "host-a"), int64(0)
			p.TLS = func(address model.Address) *tls.Config {
				is.Equal(address, to)
				return c.Client("host-b")
			}
			p.OnAuthFailure = func(error) { authFailures++ }
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := p.Members(ctx, to, &peer.MembersRequest{Sender: &peer.Member{Host: "host-a"}})
			is.Equal(err == nil, tc.ok)
			is.Equal(!errors.Is(err, ErrNotSent), tc.sent)
			is.Equal(authFailures, tc.authFailures)
		})
	}
}

// Guards against calling a plain peer despite TLS settings, or without reporting
// the failure.
func TestPoolRefusesPlainPeers(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	c, p, authFailures := newTLSConfig(t, a, a, "host-a"), newPool(t), 0
	p.TLS = func(model.Address) *tls.Config { return c.Client("host-b") }
	p.OnAuthFailure = func(error) { authFailures++ }
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
		_, _ = io.Copy(io.Discard, conn) // until the pool closes the connection
		_ = conn.Close()
	}()
	_, err = p.Forward(ctx, model.Address(l.Addr().String()), &peer.ForwardRequest{Sender: "host-a", TimeoutMs: 1000})
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(authFailures, 1)

	// A plain server interprets the random bytes of a TLS handshake as a frame and
	// either responds with an error or waits for more bytes. The call must fail as
	// not sent in both cases; only a response proves that the peer is plain.
	s := NewServer()
	s.Forward = echo
	_, err = p.Forward(ctx, serve(t, s), &peer.ForwardRequest{Sender: "host-a", TimeoutMs: 1000})
	is.True(errors.Is(err, ErrNotSent))
}
