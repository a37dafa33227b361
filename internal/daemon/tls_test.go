package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/stand/plat"
	"toucanpulley.example/stand/ports"
)

// Guards against ignoring the certificate files named in the settings, accepting
// callers with an old version of TLS, and starting with a certificate and key
// that do not match.
func TestCertificateFilesOfTheSettings(t *testing.T) {
	is := is.New(t)
	a, err := certs.NewAuthority("test")
	is.NoErr(err)
	m, err := a.Issue("host-a", net.IPv4(127, 0, 0, 1))
	is.NoErr(err)
	certificate, key, ca, err := a.PEM(m)
	is.NoErr(err)
	dir := t.TempDir()
	files := &conf.TLS{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	for name, data := range map[string][]byte{files.Certificate: certificate, files.Key: key, files.CA: ca} {
		is.NoErr(os.WriteFile(name, data, 0o600))
	}
	address, err := ports.Address("127.0.0.1")
	is.NoErr(err)
	s := conf.Settings{Host: "host-a", FailureDomain: "d", Region: "r", TLS: files}.
		WithAddresses(model.Address(address), "127.0.0.1:0")
	d := New(s)
	d.Store = plat.New()
	startDaemon(t, d)
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: a.Roots()})
	is.NoErr(err)
	is.Equal(conn.ConnectionState().Version, uint16(tls.VersionTLS13))
	is.NoErr(conn.Close())
	_, err = tls.Dial("tcp", address, &tls.Config{RootCAs: a.Roots(), MaxVersion: tls.VersionTLS12})
	is.True(err != nil)
	is.NoErr(d.Close())

	is.NoErr(os.WriteFile(files.Key, []byte("not a key"), 0o600))
	wrong := New(s)
	wrong.Store = plat.New()
	is.True(wrong.Run(context.Background()) != nil)
	is.NoErr(wrong.Close())
}
