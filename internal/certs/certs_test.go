package certs

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newAuthority(t *testing.T) *Authority {
	t.Helper()
	a, err := NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func newConfig(t *testing.T, a *Authority, id string) *Config {
	t.Helper()
	c, err := a.Config(id)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// configSignedBy returns the configuration of an ID whose certificate is issued by
// signer, while it trusts another authority.
func configSignedBy(t *testing.T, signer, trusted *Authority, id string) *Config {
	t.Helper()
	m, err := signer.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	m.Roots = trusted.Roots()
	c, err := NewConfig(StaticSource{m})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// handshake connects a client to a server. It returns the serial number of the
// server certificate and the errors of both sides.
func handshake(t *testing.T, server, client *tls.Config) (serial string, serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			done <- err
			return
		}
		s := tls.Server(conn, server)
		_ = s.SetDeadline(time.Now().Add(10 * time.Second))
		err = s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x"))
		}
		done <- err
		_ = s.Close()
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := tls.Client(conn, client)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	clientErr = c.Handshake()
	if clientErr == nil {
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.String()
		// In TLS 1.3 the client learns after its handshake that the server rejected
		// its certificate.
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = c.Close()
	return serial, <-done, clientErr
}

// Guards against accepting a peer with a certificate of another authority or with
// another identity, and against versions of TLS before 1.3.
func TestIdentities(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	members := func(id string) bool { return id == "host-a" || id == "host-b" }
	tls12Client := newConfig(t, a, "host-a").Client("host-b")
	tls12Client.MinVersion, tls12Client.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	clientWithoutCert := newConfig(t, a, "host-a").Client("host-b")
	clientWithoutCert.GetClientCertificate = nil
	tests := []struct {
		name           string
		server, client *tls.Config
		want           string // part of an error of either side; empty for success
	}{
		{"trusted on both sides", newConfig(t, a, "host-b").PeerServer(members), newConfig(t, a, "host-a").Client("host-b"), ""},
		{"server of another authority", configSignedBy(t, other, a, "host-b").PeerServer(members), newConfig(t, a, "host-a").Client("host-b"), "unknown authority"},
		{"client of another authority", newConfig(t, a, "host-b").PeerServer(members), configSignedBy(t, other, a, "host-a").Client("host-b"), "unknown authority"},
		{"server with another identity", newConfig(t, a, "host-c").PeerServer(members), newConfig(t, a, "host-a").Client("host-b"), "check identity"},
		{"server with a wildcard", newConfig(t, a, "*.b").PeerServer(members), newConfig(t, a, "host-a").Client("host.b"), "check identity"},
		{"client with another identity", newConfig(t, a, "host-b").PeerServer(members), newConfig(t, a, "host-c").Client("host-b"), "check identity"},
		{"client without certificate", newConfig(t, a, "host-b").PeerServer(members), clientWithoutCert, "certificate"},
		{"client with TLS 1.2", newConfig(t, a, "host-b").PeerServer(members), tls12Client, "version"},
		{"caller with TLS 1.2", newConfig(t, a, "host-b").CallerServer(), tls12Client, "version"},
		{"caller without certificate", newConfig(t, a, "host-b").CallerServer(), clientWithoutCert, ""},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, serverErr, clientErr := handshake(t, tc.server, tc.client)
			if tc.want == "" {
				is := is.New(t)
				is.NoErr(serverErr)
				is.NoErr(clientErr)
				return
			}
			messages := ""
			for _, e := range []error{serverErr, clientErr} {
				if e != nil {
					messages += e.Error() + "\n"
				}
			}
			if clientErr == nil || !strings.Contains(messages, tc.want) {
				t.Fatalf("got %q; want an error with %q", messages, tc.want)
			}
		})
	}
}

// writeFiles writes newly issued material to the files and sets their modification
// time, so that the source version changes.
func writeFiles(t *testing.T, f FileSource, a *Authority, id string, modTime time.Time) {
	t.Helper()
	m, err := a.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	certificate, key, ca, err := a.PEM(m)
	if err != nil {
		t.Fatal(err)
	}
	for n, d := range map[string][]byte{f.Certificate: certificate, f.Key: key, f.CA: ca} {
		if err := os.WriteFile(n, d, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(n, modTime, modTime); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against replaced certificates that stay in use on either side, and against
// handshakes that fail because of a partially written file.
func TestReloadTakesEffect(t *testing.T) {
	is := is.New(t)
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	f := FileSource{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
	now := time.Now()
	writeFiles(t, f, first, "host-b", now)
	c, err := NewConfig(f)
	is.NoErr(err)
	reloadErrors := 0
	c.OnReloadError = func(error) { reloadErrors++ }
	allowAll := func(string) bool { return true }
	server, client := c.PeerServer(allowAll), c.Client("host-a")
	handshakeBoth := func(a *Authority) (string, bool) {
		serial, _, asServer := handshake(t, server, newConfig(t, a, "host-a").Client("host-b"))
		_, _, asClient := handshake(t, newConfig(t, a, "host-a").PeerServer(allowAll), client)
		is.Equal(asServer == nil, asClient == nil)
		return serial, asServer == nil
	}
	oldSerial, ok := handshakeBoth(first)
	is.True(ok)
	is.NoErr(os.WriteFile(f.Key, []byte("half"), 0o600))
	serial, ok := handshakeBoth(first)
	is.True(ok)
	is.Equal(serial, oldSerial) // the previous certificate stays in use
	is.True(reloadErrors > 0)
	writeFiles(t, f, second, "host-b", now.Add(time.Second))
	_, ok = handshakeBoth(first)
	is.True(!ok) // the first authority is no longer trusted
	newSerial, ok := handshakeBoth(second)
	is.True(ok)
	is.True(newSerial != oldSerial)
}

// Guards against an operator who is identified without a certificate issued by a
// trusted authority.
func TestIdentify(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	c := newConfig(t, a, "host-a")
	state := func(signer *Authority) *tls.ConnectionState {
		m, err := signer.Issue("operator")
		if err != nil {
			t.Fatal(err)
		}
		leaf, err := x509.ParseCertificate(m.Certificate.Certificate[0])
		if err != nil {
			t.Fatal(err)
		}
		return &tls.ConnectionState{PeerCertificates: []*x509.Certificate{leaf}}
	}
	tests := []struct {
		name  string
		state *tls.ConnectionState
		want  string // part of the error; empty for success
	}{
		{"trusted", state(a), ""},
		{"another authority", state(other), "unknown authority"},
		{"no certificate", &tls.ConnectionState{}, "no certificate"},
		{"no TLS", nil, "the connection is plain"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			names, err := c.Identify(tc.state)
			if tc.want == "" {
				is.NoErr(err)
				is.Equal(names, []string{"operator"})
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tc.want))
		})
	}
}
