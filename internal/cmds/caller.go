package cmds

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"os"
	"strings"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/heads"
	"toucanpulley.example/pkg/client"
	"toucanpulley.example/pkg/entry"
)

// hostFlags are the flags for the addresses and credentials of entry hosts.
type hostFlags struct {
	address string
	ca      string
	cert    string
	key     string
}

// defaultAddress is the address of the first entry host of a dev site.
const defaultAddress = "127.0.0.1:7100"

// setFlags defines the flags of every command that connects to an entry host.
func (h *hostFlags) setFlags(f *flag.FlagSet, address string) {
	f.StringVar(&h.address, "address", address, "address of an entry host; query and addresses take several, separated by commas")
	f.StringVar(&h.ca, "ca", "", "PEM file of the certificate authorities of entry hosts; no TLS if empty")
}

// setOperatorFlags defines the flags of commands that require an operator's client
// certificate if the host serves TLS. Other commands need no certificate.
func (h *hostFlags) setOperatorFlags(f *flag.FlagSet, address string) {
	h.setFlags(f, address)
	f.StringVar(&h.cert, "cert", "", "PEM file of the operator's certificate chain; with -ca and -key")
	f.StringVar(&h.key, "key", "", "PEM file of the private key of the certificate")
}

// tlsConfig returns the TLS configuration that the flags describe; nil without TLS.
func (h *hostFlags) tlsConfig() (*tls.Config, error) {
	if h.ca == "" && h.cert == "" && h.key == "" {
		return nil, nil
	}
	if h.ca == "" || (h.cert == "") != (h.key == "") {
		return nil, fault.New("read certificate", h.cert, "-cert, -key and -ca are needed together")
	}
	data, err := os.ReadFile(h.ca)
	if err != nil {
		return nil, fault.Wrap(err, "read certificate authorities", h.ca)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, fault.New("read certificate authorities", h.ca, "the file contains no PEM certificate")
	}
	config := &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}
	if h.cert != "" {
		pair, err := tls.LoadX509KeyPair(h.cert, h.key)
		if err != nil {
			return nil, fault.Wrap(err, "read certificate and key", h.cert)
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// plainClient sends requests without TLS. Malformed responses fail them.
var plainClient = &http.Client{Transport: heads.Transport{Next: http.DefaultTransport}}

// httpClient returns an HTTP client and the base URL of a host. If the flags are
// invalid or a file cannot be read, every call of the client fails.
func (h *hostFlags) httpClient(address string) (*http.Client, string) {
	config, err := h.tlsConfig()
	switch {
	case err != nil:
		return &http.Client{Transport: failingTransport{err}}, "https://" + address
	case config == nil:
		return plainClient, "http://" + address
	default:
		transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
		return &http.Client{Transport: heads.Transport{Next: transport}}, "https://" + address
	}
}

// failingTransport fails every call with the same error.
type failingTransport struct{ err error }

func (f failingTransport) RoundTrip(*http.Request) (*http.Response, error) { return nil, f.err }

// entryClient returns a client of the entry service of the host at -address.
func (h *hostFlags) entryClient() entry.EntryServiceClient {
	hc, base := h.httpClient(h.address)
	return entry.NewEntryServiceClient(hc, base)
}

// adminClient returns a client of the admin service of a host.
func (h *hostFlags) adminClient(address string) entry.AdminServiceClient {
	hc, base := h.httpClient(address)
	return entry.NewAdminServiceClient(hc, base)
}

// newClient returns a client that selects entry hosts itself, starting from those at
// -address.
func (h *hostFlags) newClient() (*client.Client, error) {
	config, err := h.tlsConfig()
	if err != nil {
		return nil, err
	}
	c := client.New(strings.Split(h.address, ",")...)
	c.TLS = config
	return c, nil
}
