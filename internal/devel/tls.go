package devel

import (
	"crypto/tls"
	"net"
	"net/netip"
	"strings"

	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/daemon"
	"toucanpulley.example/internal/fault"
)

// Operator is the name in the certificate of the site's operator.
const Operator = "operator"

// searcherTLS returns a function that creates the TLS configuration of a
// searcher, which accepts only entry hosts as clients. It returns nil if the
// site has no authority.
func (s *Site) searcherTLS() func(string) (*tls.Config, error) {
	if s.Authority == nil {
		return nil
	}
	return func(id string) (*tls.Config, error) {
		c, err := s.Authority.Config(id)
		if err != nil {
			return nil, err
		}
		return c.PeerServer(func(peer string) bool { return strings.HasPrefix(peer, hostPrefix) }), nil
	}
}

// newDaemon returns a daemon for the given settings. If the site has an
// authority, the daemon gets a certificate for its host id and address.
func (s *Site) newDaemon(c conf.Settings) (*daemon.Daemon, error) {
	if s.Authority == nil {
		d := daemon.New(c)
		d.Log = s.Log
		return d, nil
	}
	address, err := netip.ParseAddrPort(string(c.Entry))
	if err != nil {
		return nil, fault.Wrap(err, "parse entry address", string(c.Entry))
	}
	config, err := s.Authority.Config(string(c.Host), net.IP(address.Addr().AsSlice()))
	if err != nil {
		return nil, err
	}
	c.TLS = &conf.TLS{Searchers: true, Operators: []string{Operator}}
	d := daemon.New(c)
	d.Log, d.Certs = s.Log, config
	return d, nil
}
