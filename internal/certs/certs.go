// Package certs provides the TLS configurations of an entry host: TLS for callers,
// and mutual TLS between hosts and to searchers. A handshake reloads certificates
// that have changed, without a restart. The minimum version of TLS is 1.3.
//
// A host or searcher is identified by its ID, which must equal one of the DNS
// names of its certificate. Wildcards are not supported.
//
// # Usage
//
//	config, err := certs.NewConfig(certs.FileSource{Certificate: "a.pem", Key: "a-key.pem", CA: "ca.pem"})
//	config.OnReloadError = func(err error) { log.Error("certificates not reloaded", "error", err) }
//	http.Server{TLSConfig: config.CallerServer()}
//	tls.NewListener(listener, config.PeerServer(isMember))
//	tls.Client(conn, config.Client("host-b"))
//	names, err := config.Identify(request.TLS) // DNS names of an operator
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync"

	"toucanpulley.example/internal/fault"
)

// Material is a certificate with its private key, and the trusted authorities.
type Material struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// Source provides certificates.
type Source interface {
	// Version returns a value that changes with the material. It is called at
	// each handshake.
	Version() (string, error)
	// Read returns the current material.
	Read() (Material, error)
}

// Config creates TLS configurations that use the current material of a source. It
// is safe for concurrent use.
type Config struct {
	// OnReloadError is called if new material cannot be read, in which case the
	// previous material stays in use. It may be nil and must be set before the
	// first handshake.
	OnReloadError func(error)

	source   Source
	mu       sync.Mutex
	version  string
	material Material
}

// NewConfig returns a configuration with the current material of a source.
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

// current returns the material and reloads it if the source has changed. A reload
// can fail while files are replaced one by one, as certificate and key do not
// match; the next handshake tries again.
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

// CallerServer returns the configuration of a server that requires no client
// certificate. A presented certificate is not verified in the handshake; Identify
// verifies it where an identity is required.
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

// Identify returns the DNS names of the client certificate. It returns an error if
// the client presented none that a trusted authority has issued.
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

// PeerServer returns the configuration of a server for peers. A peer must present a
// certificate that a trusted authority has issued and that has a DNS name accepted
// by allow.
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

// Client returns the configuration of a client that presents its certificate. The
// server must present a certificate that a trusted authority has issued and that
// has the ID as a DNS name.
func (c *Config) Client(id string) *tls.Config {
	config := c.ClientFunc(func(name string) bool { return name == id })
	config.ServerName = id
	return config
}

// ClientFunc is like Client, but accepts a server with a DNS name for which allow
// returns true.
func (c *Config) ClientFunc(allow func(id string) bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m := c.current()
			return &m.Certificate, nil
		},
		// VerifyConnection replaces the built-in verification, which would use the
		// authorities at the time of this call even after a reload.
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

// verify checks the certificate chain of the peer against the current authorities
// and returns the leaf.
func (c *Config) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) (*x509.Certificate, error) {
	if len(s.PeerCertificates) == 0 {
		return nil, fault.New("verify certificate", "", "the other side showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, ic := range s.PeerCertificates[1:] {
		intermediates.AddCert(ic)
	}
	leaf := s.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.current().Roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return leaf, fault.Wrap(err, "verify certificate", "")
}
