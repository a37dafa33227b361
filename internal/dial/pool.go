// Package dial holds the connections to searchers and makes calls over them.
//
// A Pool keeps an HTTP/2 transport for each searcher. Connections are opened
// before they are needed, are kept, and never exceed the host's share of the
// searcher's connection cap. HTTP/2 is used so that a cancelled call resets its
// stream and keeps the connection, which costs some searchers 6 ms to open.
//
// # Usage
//
//	pool := dial.NewPool()
//	pool.Follow(view)
//	reply, failure, notStarted, err := pool.Search(ctx, startCall)
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

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/pkg/search"
)

const (
	// connectTimeout bounds the time to open a connection.
	connectTimeout = 2 * time.Second
	// warmUpTimeout bounds the call that opens a connection ahead of need.
	warmUpTimeout = 3 * time.Second
	// pingIdleTime is the idle time after which a connection is checked.
	pingIdleTime = 5 * time.Second
	// pingTimeout is the time for the answer to such a check.
	pingTimeout = 2 * time.Second
	// defaultConnections is the share of the cap where control has named none.
	defaultConnections = 2
	// maxReplyBytes is the largest reply of a searcher, in bytes.
	maxReplyBytes = 8 << 20
)

// Pool holds a transport for each searcher.
type Pool struct {
	// OnOpen is called for each connection that was opened; may be nil.
	OnOpen func(model.SearcherID)
	// TLS returns the configuration for a searcher; nil for plain connections.
	TLS func(model.SearcherID) *tls.Config
	// OnTransfer is called for the bytes read and written on a connection; may
	// be nil.
	OnTransfer func(model.Searcher, int)
	// FailureDomain is the host's own. Replies are compressed only across
	// failure domains, where links cost more than processor time does.
	FailureDomain model.FailureDomain
	// LocalAddr is the address that connections are made from; any if nil.
	LocalAddr net.Addr

	// openCounts holds the number of connections of each searcher.
	openCounts sync.Map

	mu sync.Mutex
	// ownershipKnown is set once views name the services that this host owns; calls to
	// other searchers then fail.
	ownershipKnown bool
	clients        map[model.SearcherID]*searcherClient
	warmUps        sync.WaitGroup
	stop           context.CancelFunc
	ctx            context.Context
}

// searcherClient is the transport of one searcher.
type searcherClient struct {
	address   model.Address
	share     int
	grant     *grant
	transport *http.Transport
	client    search.SearcherServiceClient
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
	for name, index := range v.Indexes {
		own, owned := v.Owned[name]
		if v.Owned != nil && !owned {
			continue
		}
		for _, s := range index.Searchers {
			wanted[s.ID] = true
			p.ensureClient(s, connectionShare(own, s)).grant.setExpiry(own.Until)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownershipKnown = v.Owned != nil
	for id, q := range p.clients {
		if !wanted[id] {
			delete(p.clients, id)
			q.close()
		}
	}
}

// connectionShare is the number of connections that this host may open to a searcher.
func connectionShare(own view.Ownership, s model.Searcher) int {
	if own.Connections > 0 {
		return min(own.Connections, s.ConnectionCap)
	}
	return min(defaultConnections, s.ConnectionCap)
}

// ensureClient makes the transport of a searcher and opens its first connection.
func (p *Pool) ensureClient(s model.Searcher, share int) *searcherClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.clients[s.ID]
	if ok && q.address == s.Address && q.share == share {
		return q
	}
	if ok {
		q.close()
	}
	q = p.newClient(s, share)
	p.clients[s.ID] = q
	if p.ctx.Err() == nil {
		p.warmUps.Go(func() { p.warmUp(q) })
	}
	return q
}

func (p *Pool) newClient(s model.Searcher, share int) *searcherClient {
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
		// One HTTP/2 connection carries all calls; the share is the hard bound.
		MaxConnsPerHost: share,
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
		address: s.Address, share: share, grant: grant, transport: transport,
		client: search.NewSearcherServiceClient(&http.Client{Transport: transport}, scheme+string(s.Address), options...),
	}
}

// close closes the connections once the calls in flight have ended.
func (q *searcherClient) close() {
	q.transport.CloseIdleConnections()
	q.grant.revoke()
}

// warmUp opens a connection by a health call; its answer may lag and is not used.
func (p *Pool) warmUp(q *searcherClient) {
	ctx, cancel := context.WithTimeout(p.ctx, warmUpTimeout)
	defer cancel()
	_, _ = q.client.Health(ctx, connect.NewRequest(&search.HealthRequest{}))
}

// Close closes all connections and waits for the goroutines that open them.
func (p *Pool) Close() error {
	p.stop()
	p.warmUps.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, q := range p.clients {
		q.close()
		delete(p.clients, id)
	}
	return nil
}
