// Package dial manages the connections to searchers and makes calls over them.
//
// A Pool has an HTTP/2 transport for each searcher. Connections are opened ahead
// of use, are reused, and never exceed the host's share of the searcher's
// connection cap. With HTTP/2, cancelling a call resets its stream and keeps the
// connection, which takes some searchers 6 ms to open. A malformed reply ends its
// connection.
//
// # Usage
//
//	pool := dial.NewPool()
//	pool.SetView(view)
//	reply, err := pool.Search(ctx, startCall)
//	pool.Close()
package dial

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/heads"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/pkg/search"
)

const (
	// connectTimeout limits the time to open a connection, and that of its TLS
	// handshake.
	connectTimeout = 2 * time.Second
	// warmUpTimeout limits the call that opens a connection ahead of use.
	warmUpTimeout = 3 * time.Second
	// pingIdleTime is the idle time after which a connection is pinged.
	pingIdleTime = 5 * time.Second
	// pingTimeout is the time after which an unanswered ping closes the connection.
	pingTimeout = 2 * time.Second
	// defaultConnections is the maximum number of connections to a searcher if the
	// view assigns none.
	defaultConnections = 2
	// maxReplyBytes is the maximum size of a reply of a searcher.
	maxReplyBytes = 8 << 20
	// maxHeaderBytes is the maximum size of the headers of a reply. Parsed headers take
	// up to 16 times the memory of their bytes.
	maxHeaderBytes = 32 << 10
)

// Pool makes calls to searchers over reused connections. Its exported fields must
// be set before the first call. It is safe for concurrent use.
type Pool struct {
	// OnOpen is called for each opened connection; may be nil.
	OnOpen func(model.SearcherID)
	// TLS returns the configuration for a searcher; nil for plain connections.
	TLS func(model.SearcherID) *tls.Config
	// OnTransfer is called for the bytes read and written on a connection; may
	// be nil.
	OnTransfer func(model.Searcher, int)
	// FailureDomain is that of this host. Replies are compressed only across
	// failure domains, where bandwidth is more expensive than processor time.
	FailureDomain model.FailureDomain
	// LocalAddr is the local address of connections; any if nil.
	LocalAddr net.Addr

	// openCounts maps the id of a searcher to its number of open connections.
	openCounts sync.Map

	mu sync.Mutex
	// ownershipKnown is set if the view names the services that this host owns.
	// Calls to searchers of other services then fail.
	ownershipKnown bool
	clients        map[model.SearcherID]*searcherClient
	warmUps        sync.WaitGroup
	// stop cancels ctx, the context of the calls that open connections.
	stop context.CancelFunc
	ctx  context.Context
}

// searcherClient is the client of one searcher with its transport.
type searcherClient struct {
	address        model.Address
	maxConnections int
	grant          *grant
	transport      *http.Transport
	client         search.SearcherServiceClient
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	ctx, stop := context.WithCancel(context.Background())
	return &Pool{clients: map[model.SearcherID]*searcherClient{}, ctx: ctx, stop: stop}
}

// SetView opens connections to the searchers of owned services and closes those
// to all others.
func (p *Pool) SetView(v view.View) {
	wanted := map[model.SearcherID]bool{}
	for n, ix := range v.Indexes {
		ownership, owned := v.Owned[n]
		if v.Owned != nil && !owned {
			continue
		}
		for _, s := range ix.Searchers {
			wanted[s.ID] = true
			p.ensureClient(s, maxConnections(ownership, s)).grant.setExpiry(ownership.Until)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownershipKnown = v.Owned != nil
	for id, c := range p.clients {
		if !wanted[id] {
			delete(p.clients, id)
			c.close()
		}
	}
}

// maxConnections returns the number of connections that this host may open to a
// searcher.
func maxConnections(ownership view.Ownership, s model.Searcher) int {
	if ownership.Connections > 0 {
		return min(ownership.Connections, s.ConnectionCap)
	}
	return min(defaultConnections, s.ConnectionCap)
}

// ensureClient returns the client of a searcher. If it is missing or outdated, it
// creates one and opens its first connection in the background.
func (p *Pool) ensureClient(s model.Searcher, maxConns int) *searcherClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[s.ID]
	if ok && c.address == s.Address && c.maxConnections == maxConns {
		return c
	}
	if ok {
		c.close()
	}
	c = p.newClient(s, maxConns)
	p.clients[s.ID] = c
	if p.ctx.Err() == nil {
		p.warmUps.Go(func() { p.warmUp(c) })
	}
	return c
}

func (p *Pool) newClient(s model.Searcher, maxConns int) *searcherClient {
	dialer := &net.Dialer{Timeout: connectTimeout, LocalAddr: p.LocalAddr}
	grant := newGrant()
	protocols := new(http.Protocols)
	scheme, config := "http://", (*tls.Config)(nil)
	if p.TLS != nil {
		scheme, config = "https://", p.TLS(s.ID)
	}
	protocols.SetHTTP2(config != nil)
	protocols.SetUnencryptedHTTP2(config == nil)
	transport := &http.Transport{
		TLSClientConfig: config, TLSHandshakeTimeout: connectTimeout,
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		// An HTTP/2 connection multiplexes calls, so that one usually suffices;
		// maxConns is an upper limit.
		MaxConnsPerHost:        maxConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if p.OnOpen != nil {
				p.OnOpen(s.ID)
			}
			return grant.addConn(p.countConn(conn, s))
		},
	}
	options := []connect.ClientOption{connect.WithReadMaxBytes(maxReplyBytes)}
	if s.FailureDomain == p.FailureDomain {
		options = append(options, connect.WithAcceptCompression("gzip", nil, nil))
	}
	return &searcherClient{
		address: s.Address, maxConnections: maxConns, grant: grant, transport: transport,
		client: search.NewSearcherServiceClient(&http.Client{Transport: bodyLimiter{heads.Transport{Next: transport}}}, scheme+string(s.Address), options...),
	}
}

// close revokes the grant, which closes the connections once the calls in flight
// have ended.
func (c *searcherClient) close() {
	c.transport.CloseIdleConnections()
	c.grant.revoke()
}

// warmUp opens a connection by a health call. The result is ignored, because it
// may be outdated.
func (p *Pool) warmUp(c *searcherClient) {
	ctx, cancel := context.WithTimeout(p.ctx, warmUpTimeout)
	defer cancel()
	_, _ = c.client.Health(ctx, connect.NewRequest(&search.HealthRequest{}))
}

// Close waits for the goroutines that open connections and closes all connections
// that have no calls in flight; the others are closed after their last call.
func (p *Pool) Close() error {
	p.stop()
	p.warmUps.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.clients {
		c.close()
		delete(p.clients, id)
	}
	return nil
}
