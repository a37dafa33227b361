package certs

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"

	"toucanpulley.example/internal/fault"
)

// FileSource is a Source that reads PEM files.
type FileSource struct {
	// Certificate is the file with the certificate chain of the host, leaf first.
	Certificate string
	// Key is the file with the private key of the certificate.
	Key string
	// CA is the file with the certificates of the trusted authorities.
	CA string
}

// Version returns the modification time and size of each file.
func (f FileSource) Version() (string, error) {
	var b strings.Builder
	for _, n := range []string{f.Certificate, f.Key, f.CA} {
		info, err := os.Stat(n)
		if err != nil {
			return "", fault.Wrap(err, "stat certificate file", n)
		}
		fmt.Fprintf(&b, "%d %d;", info.ModTime().UnixNano(), info.Size())
	}
	return b.String(), nil
}

// Read reads and parses the files.
func (f FileSource) Read() (Material, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return Material{}, fault.Wrap(err, "read certificate and key", f.Certificate)
	}
	data, err := os.ReadFile(f.CA)
	if err != nil {
		return Material{}, fault.Wrap(err, "read authorities", f.CA)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return Material{}, fault.New("read authorities", f.CA, "the file contains no PEM certificate")
	}
	return Material{Certificate: cert, Roots: roots}, nil
}
