// Package certs holds the TLS configuration of an entry host: TLS for callers,
// mutual TLS between hosts and towards searchers. Certificates are read again
// at a handshake if they have changed, without a restart. The oldest version
// of TLS is 1.3.
//
// The identity of a host or searcher is its id: one of the DNS names of its
// certificate must equal the id. Wildcards do not count.
//
// # Usage
//
//	config, err := certs.NewConfig(certs.FileSource{Certificate: "a.pem", Key: "a-key.pem", CA: "ca.pem"})
//	config.OnReloadError = func(err error) { log.Error("certificates not reloaded", "error", err) }
//	http.Server{TLSConfig: config.CallerServer()}
//	tls.NewListener(listener, config.PeerServer(isMember))
//	tls.Client(conn, config.Client("host-b"))
//	names, err := config.Identify(request.TLS) // of an operator
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync"

	"toucanpulley.example/internal/fault"
)

// Material is a certificate with its key, and the authorities that are trusted.
type Material struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// Source is where certificates come from.
type Source interface {
	// Version identifies the current material; it is called at each handshake.
	Version() (string, error)
	// Read returns the current material.
	Read() (Material, error)
}

// Config makes TLS configurations over the current material of a source. It is
// safe for concurrent use.
type Config struct {
	// OnReloadError is told of material that could not be read; the earlier material
	// stays in use. It may be nil and is set before the first handshake.
	OnReloadError func(error)

	source   Source
	mu       sync.Mutex
	version  string
	material Material
}

// NewConfig reads the material of a source.
func NewConfig(s Source) (*Config, error) {
	version, err := s.Version()
	if err != nil {
		return nil, err
	}
	m, err := s.Read()
	if err != nil {
		return nil, err
	}
	return &Config{source: s, version: version, material: m}, nil
}

// current returns the material, read again if the source has changed. Files
// that are replaced one after the other may not match for a moment; the next
// handshake tries again.
func (c *Config) current() Material {
	c.mu.Lock()
	defer c.mu.Unlock()
	version, err := c.source.Version()
	if err == nil && version == c.version {
		return c.material
	}
	var m Material
	if err == nil {
		m, err = c.source.Read()
	}
	if err != nil {
		if c.OnReloadError != nil {
			c.OnReloadError(err)
		}
		return c.material
	}
	c.version, c.material = version, m
	return m
}

// CallerServer returns the configuration of a server that demands no certificate. One
// that is shown is not checked in the handshake, but by Identify where it counts.
func (c *Config) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := c.current()
			return &m.Certificate, nil
		},
		ClientAuth: tls.RequestClientCert,
	}
}

// Identify returns the DNS names of the certificate that a client has shown. It
// is an error if there is none of a trusted authority.
func (c *Config) Identify(s *tls.ConnectionState) ([]string, error) {
	if s == nil {
		return nil, fault.New("verify certificate", "", "the connection is plain")
	}
	leaf, err := c.verify(*s, x509.ExtKeyUsageClientAuth)
	if err != nil {
		return nil, err
	}
	return leaf.DNSNames, nil
}

// PeerServer returns the configuration of a server for peers. A peer must show a
// certificate of a trusted authority with a DNS name that allow accepts.
func (c *Config) PeerServer(allow func(id string) bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := c.current()
			return &m.Certificate, nil
		},
		ClientAuth:             tls.RequireAnyClientCert,
		SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			leaf, err := c.verify(s, x509.ExtKeyUsageClientAuth)
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(leaf.DNSNames, allow) {
				return fault.New("check identity", "", "certificate for %v is not allowed", leaf.DNSNames)
			}
			return nil
		},
	}
}

// Client returns the configuration of a client that shows its certificate. The
// server must show one of a trusted authority with the id as a DNS name.
func (c *Config) Client(id string) *tls.Config {
	config := c.ClientFunc(func(name string) bool { return name == id })
	config.ServerName = id
	return config
}

// ClientFunc returns the configuration of a client that shows its certificate. The
// server must show one of a trusted authority with a DNS name that allow
// accepts.
func (c *Config) ClientFunc(allow func(id string) bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m := c.current()
			return &m.Certificate, nil
		},
		// VerifyConnection replaces the built-in check, which would keep the
		// authorities of the time at which the configuration was made.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			leaf, err := c.verify(s, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if !slices.ContainsFunc(leaf.DNSNames, allow) {
				return fault.New("check identity", s.ServerName, "certificate for %v is not allowed", leaf.DNSNames)
			}
			return nil
		},
	}
}

// verify checks the chain of the other side against the current authorities.
func (c *Config) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) (*x509.Certificate, error) {
	if len(s.PeerCertificates) == 0 {
		return nil, fault.New("verify certificate", "", "the other side showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := s.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.current().Roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return leaf, fault.Wrap(err, "verify certificate", "")
}
