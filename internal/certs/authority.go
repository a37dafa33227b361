package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"time"

	"toucanpulley.example/internal/fault"
)

// certificateLifetime is the validity of the certificates of an Authority. It is
// longer than the lifetime of a dev site.
const certificateLifetime = 30 * 24 * time.Hour

// Authority is an in-memory certificate authority for the dev command and tests.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a newly generated key.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap(err, "generate key of authority", name)
	}
	template := &x509.Certificate{
		Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := createCertificate(template, template, key, key)
	if err != nil {
		return nil, fault.Wrap(err, "create certificate of authority", name)
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, key: key}, fault.Wrap(err, "parse certificate of authority", name)
}

func createCertificate(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) ([]byte, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template.SerialNumber = serial
	template.NotBefore, template.NotAfter = now.Add(-time.Hour), now.Add(certificateLifetime)
	return x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
}

// Roots returns a pool with the certificate of the authority.
func (a *Authority) Roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return pool
}

// Issue returns a new certificate and key for an ID and optional IP addresses,
// with the authority as the only root.
func (a *Authority) Issue(id string, addresses ...net.IP) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, fault.Wrap(err, "generate key", id)
	}
	der, err := createCertificate(&x509.Certificate{
		Subject: pkix.Name{CommonName: id}, DNSNames: []string{id}, IPAddresses: addresses,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, key, a.key)
	if err != nil {
		return Material{}, fault.Wrap(err, "create certificate", id)
	}
	return Material{
		Certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, Roots: a.Roots(),
	}, nil
}

// Config returns the configuration of an ID with a newly issued certificate.
func (a *Authority) Config(id string, addresses ...net.IP) (*Config, error) {
	m, err := a.Issue(id, addresses...)
	if err != nil {
		return nil, err
	}
	return NewConfig(StaticSource{m})
}

// WriteRoot writes the certificate of the authority in PEM format.
func (a *Authority) WriteRoot(w io.Writer) error {
	return pem.Encode(w, &pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// PEM encodes the certificate and key of issued material and the certificate of
// the authority, as a FileSource reads them.
func (a *Authority) PEM(m Material) (certificate, key, ca []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(m.Certificate.PrivateKey)
	if err != nil {
		return nil, nil, nil, fault.Wrap(err, "encode key", "")
	}
	encode := func(blockType string, der []byte) []byte {
		return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	}
	return encode("CERTIFICATE", m.Certificate.Certificate[0]), encode("PRIVATE KEY", der), encode("CERTIFICATE", a.cert.Raw), nil
}

// StaticSource is a Source whose material never changes.
type StaticSource struct{ Material Material }

// Version returns a constant.
func (StaticSource) Version() (string, error) { return "memory", nil }

// Read returns the material.
func (s StaticSource) Read() (Material, error) { return s.Material, nil }
