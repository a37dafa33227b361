package daemon

import (
	"crypto/tls"
	"net"
	"slices"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// loadCerts loads the certificate files named in the settings, unless Certs is
// set.
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
		d.Log.Error("failed to reload certificates", "step", "reload certificates", "error", err)
	}
	d.Certs = c
	return nil
}

// searcherTLS returns the TLS configurations for connections to searchers, or nil
// for plain connections.
func (d *Daemon) searcherTLS() func(model.SearcherID) *tls.Config {
	if d.Certs == nil || d.settings.TLS == nil || !d.settings.TLS.Searchers {
		return nil
	}
	return func(id model.SearcherID) *tls.Config { return d.Certs.Client(string(id)) }
}

// configurePeerTLS sets up mutual TLS between hosts if there are certificates.
func (d *Daemon) configurePeerTLS() {
	if d.Certs == nil {
		return
	}
	onAuthFailure := func(err error) {
		d.Meter.Count("peer", string(model.ReasonUnauthenticated))
		d.Log.Warn("peer refused: authentication failed", "step", "authenticate peer", "error", err)
	}
	// The server accepts the name of any host, because a joining host is not a
	// member yet. Package link checks the sender of each call against the name in
	// the certificate.
	d.peers.server.TLS, d.peers.server.OnAuthFailure = d.Certs.PeerServer(d.isHost), onAuthFailure
	d.peers.pool.TLS, d.peers.pool.OnAuthFailure = func(to model.Address) *tls.Config {
		return d.Certs.ClientFunc(func(name string) bool { return d.mayServe(to, name) })
	}, onAuthFailure
}

// isHost reports whether a certificate name may belong to a host. Hosts,
// searchers and operators share one certificate authority, so the names of
// searchers and operators are excluded. Searchers are known only after an index
// has been read.
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

// expectHost registers a host that is being called, until the returned function
// is called. This covers hosts in the host list that are not members yet. Seeds
// have no id and are not registered.
func (p *peerTransport) expectHost(h model.Host) func() {
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

// expectedHosts returns the hosts that are being called at an address.
func (p *peerTransport) expectedHosts(a model.Address) []model.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.expected[a])
}

// mayServe reports whether a certificate name belongs to a host at a peer
// address, according to the members and the host list. Several hosts may have
// used an address in succession. At the address of a seed whose host is not
// known yet, the name of any host is accepted.
func (d *Daemon) mayServe(address model.Address, name string) bool {
	known := d.peers.expectedHosts(address)
	for _, m := range d.views.Load().Members {
		if m.Host.Peer == address {
			known = append(known, m.Host.ID)
		}
	}
	if len(known) == 0 {
		return d.isHost(name)
	}
	return slices.Contains(known, model.HostID(name))
}

// authorizeOperator returns a function that rejects callers that are not
// operators. Without certificates it returns nil, which accepts every caller.
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
			d.Log.Warn("operator call refused", "step", "authenticate operator", "error", err)
		}
		return err
	}
}

// serve serves callers on a listener, with TLS if certificates are configured.
func (d *Daemon) serve(l net.Listener) error {
	l = d.callers.Listener(l)
	if d.Certs == nil {
		return d.server.Serve(l)
	}
	d.server.TLSConfig = d.Certs.CallerServer()
	return d.server.ServeTLS(l, "", "")
}
