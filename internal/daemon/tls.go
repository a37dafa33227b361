package daemon

import (
	"crypto/tls"
	"net"
	"slices"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// loadCerts reads the certificates that the settings name.
func (d *Daemon) loadCerts() error {
	files := d.settings.TLS
	if d.Certs != nil || files == nil {
		return nil
	}
	c, err := certs.NewConfig(certs.FileSource{Certificate: files.Certificate, Key: files.Key, CA: files.CA})
	if err != nil {
		return err
	}
	c.OnReloadError = func(err error) {
		d.Log.Error("certificates were not reloaded", "step", "reload certificates", "error", err)
	}
	d.Certs = c
	return nil
}

// searcherTLS returns the configurations for searchers, or nil if they are
// reached by plain connections.
func (d *Daemon) searcherTLS() func(model.SearcherID) *tls.Config {
	if d.Certs == nil || d.settings.TLS == nil || !d.settings.TLS.Searchers {
		return nil
	}
	return func(id model.SearcherID) *tls.Config { return d.Certs.Client(string(id)) }
}

// securePeers sets up mutual TLS between hosts if there are certificates.
func (d *Daemon) securePeers() {
	if d.Certs == nil {
		return
	}
	refused := func(err error) {
		d.Meter.Count("peer", string(model.ReasonUnauthenticated))
		d.Log.Warn("peer refused, it did not prove who it is", "step", "authenticate peer", "error", err)
	}
	// A host that joins is no member yet, so any host's name is accepted; link
	// holds each call to that name.
	d.peers.server.TLS, d.peers.server.Refused = d.Certs.PeerServer(d.isHost), refused
	d.peers.pool.TLS, d.peers.pool.Refused = func(to model.Address) *tls.Config {
		return d.Certs.ClientFunc(func(name string) bool { return d.mayServe(to, name) })
	}, refused
}

// isHost reports whether a name of a certificate is a host's: hosts, searchers
// and operators share the authority, and neither of the latter may act as a
// host. Searchers are known once an index has been read.
func (d *Daemon) isHost(name string) bool {
	if d.isOperator(name) {
		return false
	}
	for _, x := range d.views.Load().Indexes {
		if slices.ContainsFunc(x.Searchers, func(s model.Searcher) bool { return string(s.ID) == name }) {
			return false
		}
	}
	return true
}

func (d *Daemon) isOperator(name string) bool {
	return d.settings.TLS != nil && slices.Contains(d.settings.TLS.Operators, name)
}

// expect names the host that is called, which the host list may know before it
// is a member, until the returned function is called. Seeds have no id yet.
func (p *peers) expect(h model.Host) func() {
	if h.ID == "" {
		return func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected[h.Peer] = append(p.expected[h.Peer], h.ID)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		list := p.expected[h.Peer]
		i := slices.Index(list, h.ID)
		if list = slices.Delete(list, i, i+1); len(list) == 0 {
			delete(p.expected, h.Peer)
			return
		}
		p.expected[h.Peer] = list
	}
}

// expectedAt returns the hosts that are being called at an address.
func (p *peers) expectedAt(a model.Address) []model.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.expected[a])
}

// mayServe reports whether a name is that of the host at a peer address, by the
// members and the host list. Several hosts may have used an address one after
// the other. A seed whose host is not known yet may show any certificate that
// the authority has signed for a host's name.
func (d *Daemon) mayServe(at model.Address, name string) bool {
	known := d.peers.expectedAt(at)
	for _, m := range d.views.Load().Members {
		if m.Host.Peer == at {
			known = append(known, m.Host.ID)
		}
	}
	if len(known) == 0 {
		return d.isHost(name)
	}
	return slices.Contains(known, model.HostID(name))
}

// authorizeOperator returns what tells operators from others; nil without
// certificates, when everyone is accepted.
func (d *Daemon) authorizeOperator() func(*tls.ConnectionState) error {
	if d.Certs == nil {
		return nil
	}
	return func(s *tls.ConnectionState) error {
		names, err := d.Certs.Identify(s)
		if err == nil && !slices.ContainsFunc(names, d.isOperator) {
			err = fault.New("check operator", "", "certificate for %v is not an operator's", names)
		}
		if err != nil {
			d.Log.Warn("operator's call refused", "step", "authenticate operator", "error", err)
		}
		return err
	}
}

// serve answers callers on a listener, by TLS if there are certificates.
func (d *Daemon) serve(l net.Listener) error {
	if d.Certs == nil {
		return d.server.Serve(l)
	}
	d.server.TLSConfig = d.Certs.CallerServer()
	return d.server.ServeTLS(l, "", "")
}
