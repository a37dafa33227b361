// Package link implements remote procedure calls between daemons, with drpc over
// TCP. A Pool makes calls to peers over connections that are opened on demand
// and reused; a Server dispatches calls to handler functions.
//
// # Usage
//
//	pool := link.NewPool()
//	response, err := pool.Probe(ctx, "10.0.0.2:7001", request)
//	pool.Close()
//
//	server := link.NewServer()
//	server.Probe = func(ctx context.Context, m *peer.ProbeRequest) (*peer.ProbeResponse, error) { ... }
//	go server.Serve(listener)
//	server.Close()
//
// A drpc connection handles one call at a time, so a pool opens one connection
// per concurrent call to a peer.
package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
)

const (
	// DefaultTimeout limits a call whose context has no earlier deadline.
	DefaultTimeout = 5 * time.Second
	// DefaultMaxMessageBytes is the maximum size of a message. A membership table of
	// 6,700 hosts takes about 700 KB, and an object of the platform up to 1 MB.
	DefaultMaxMessageBytes = 16 << 20
	// DefaultMaxIdleConnections is the maximum number of idle connections of a
	// pool. Without a limit, a large fleet would accumulate them, because probes
	// go to random hosts.
	DefaultMaxIdleConnections = 256
	// DefaultMaxConnectionsPerPeer is the maximum number of open connections to a
	// peer.
	DefaultMaxConnectionsPerPeer = 64
)

// ErrNotSent marks the error of a call that was not written to a connection, so
// that the peer cannot have run it.
var ErrNotSent = errors.New("call was not sent")

// Pool makes calls to peers. Its exported fields must be set before the first
// call. It is safe for concurrent use.
type Pool struct {
	// TLS returns the configuration for connections to a peer; nil for plain
	// connections.
	TLS func(model.Address) *tls.Config
	// OnAuthFailure is called with the error of each peer that failed to
	// authenticate; may be nil.
	OnAuthFailure func(error)
	// Log is called with errors of connections that occur after the response;
	// may be nil.
	Log func(error)
	// Timeout, MaxMessageBytes, MaxIdleConnections and MaxConnectionsPerPeer
	// default to the constants above.
	Timeout               time.Duration
	MaxMessageBytes       int
	MaxIdleConnections    int
	MaxConnectionsPerPeer int

	mu        sync.Mutex
	idle      map[model.Address][]*drpcconn.Conn
	idleOrder []model.Address // one entry per idle connection, oldest first
	openCount map[model.Address]int
	closed    bool
	calls     sync.WaitGroup
	stop      chan struct{}
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{
		Timeout: DefaultTimeout, MaxMessageBytes: DefaultMaxMessageBytes,
		MaxIdleConnections: DefaultMaxIdleConnections, MaxConnectionsPerPeer: DefaultMaxConnectionsPerPeer,
		idle: map[model.Address][]*drpcconn.Conn{}, openCount: map[model.Address]int{}, stop: make(chan struct{}),
	}
}

// Probe checks whether a peer is alive, or asks it to probe another host.
func (p *Pool) Probe(ctx context.Context, to model.Address, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	return call(ctx, p, to, "probe peer", m, peer.DRPCPeerServiceClient.Probe)
}

// Push sends gossip to a peer: this host's digest and membership changes.
func (p *Pool) Push(ctx context.Context, to model.Address, m *peer.PushRequest) (*peer.PushResponse, error) {
	return call(ctx, p, to, "push to peer", m, peer.DRPCPeerServiceClient.Push)
}

// Pull fetches objects from a peer.
func (p *Pool) Pull(ctx context.Context, to model.Address, m *peer.PullRequest) (*peer.PullResponse, error) {
	return call(ctx, p, to, "pull from peer", m, peer.DRPCPeerServiceClient.Pull)
}

// Members fetches the membership table of a peer.
func (p *Pool) Members(ctx context.Context, to model.Address, m *peer.MembersRequest) (*peer.MembersResponse, error) {
	return call(ctx, p, to, "fetch members", m, peer.DRPCPeerServiceClient.Members)
}

// Forward sends a caller's request to a peer. On an error other than ErrNotSent,
// the peer may have run the request.
func (p *Pool) Forward(ctx context.Context, to model.Address, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return call(ctx, p, to, "forward request", m, peer.DRPCPeerServiceClient.Forward)
}

// Delegate asks a peer to send or cancel calls to searchers.
func (p *Pool) Delegate(ctx context.Context, to model.Address, m *peer.DelegateRequest) (*peer.DelegateResponse, error) {
	return call(ctx, p, to, "delegate calls", m, peer.DRPCPeerServiceClient.Delegate)
}

// Deliver sends a peer the results of calls that it delegated.
func (p *Pool) Deliver(ctx context.Context, to model.Address, m *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	return call(ctx, p, to, "deliver results", m, peer.DRPCPeerServiceClient.Deliver)
}

// Close cancels the calls in flight, closes all connections and waits for the
// calls to return.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.stop)
	for _, cs := range p.idle {
		for _, c := range cs {
			_ = c.Close()
		}
	}
	p.idle, p.idleOrder = map[model.Address][]*drpcconn.Conn{}, nil
	p.mu.Unlock()
	p.calls.Wait()
	return nil
}

// call makes one call. It does not retry, because the deadlines of peer calls are
// short and callers have better alternatives than the same peer.
func call[Q, R any](ctx context.Context, p *Pool, to model.Address, step string, request Q,
	method func(peer.DRPCPeerServiceClient, context.Context, Q) (R, error),
) (R, error) {
	var zero R
	if !p.beginCall() {
		return zero, fault.Wrap(errors.Join(ErrNotSent, net.ErrClosed), step, string(to))
	}
	defer p.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	defer context.AfterFunc(channelContext(p.stop), cancel)()
	conn, err := p.getConn(ctx, to)
	if err != nil {
		return zero, fault.Wrap(errors.Join(ErrNotSent, err), step, string(to))
	}
	c := &callConn{Conn: conn}
	response, err := method(peer.NewDRPCPeerServiceClient(c), ctx, request)
	if c.streamErr != nil && p.Log != nil {
		p.Log(fault.Wrap(c.streamErr, "end call after its response", string(to)))
	}
	p.putConn(to, conn, errors.Join(err, c.streamErr))
	if err != nil {
		return zero, fault.Wrap(err, step, string(to))
	}
	if sender, ok := senderOf(response); ok && p.TLS != nil {
		if err := checkSender(conn.Transport(), sender); err != nil {
			err = fault.Wrap(err, step, string(to))
			reportAuthFailure(p.OnAuthFailure, err)
			return zero, err
		}
	}
	return response, nil
}

// channelContext is a context that is cancelled when the channel is closed.
type channelContext chan struct{}

func (c channelContext) Deadline() (time.Time, bool) { return time.Time{}, false }
func (c channelContext) Done() <-chan struct{}       { return c }
func (c channelContext) Value(any) any               { return nil }

// Err returns context.Canceled once the channel is closed.
func (c channelContext) Err() error {
	select {
	case <-c:
		return context.Canceled
	default:
		return nil
	}
}

// beginCall counts a call, so that Close waits for it. It reports false once Close
// was called.
func (p *Pool) beginCall() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.calls.Add(1)
	return true
}

// getConn returns the most recently used idle connection to a peer, or opens one.
func (p *Pool) getConn(ctx context.Context, to model.Address) (*drpcconn.Conn, error) {
	p.mu.Lock()
	for len(p.idle[to]) > 0 {
		last := len(p.idle[to]) - 1
		conn := p.idle[to][last]
		p.setIdle(to, p.idle[to][:last])
		// The last entry of the address belongs to this connection.
		for i := len(p.idleOrder) - 1; i >= 0; i-- {
			if p.idleOrder[i] == to {
				p.idleOrder = slices.Delete(p.idleOrder, i, i+1)
				break
			}
		}
		select {
		case <-conn.Closed():
			p.addOpen(to, -1)
			continue
		default:
		}
		p.mu.Unlock()
		return conn, nil
	}
	if p.openCount[to] >= p.MaxConnectionsPerPeer {
		p.mu.Unlock()
		return nil, errors.New("too many connections to the peer at once")
	}
	p.addOpen(to, 1)
	p.mu.Unlock()
	conn, err := p.dial(ctx, to)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.addOpen(to, -1)
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions(p.MaxMessageBytes)}), nil
}

func (p *Pool) dial(ctx context.Context, to model.Address) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", string(to))
	if err != nil || p.TLS == nil {
		return conn, err
	}
	tlsConn := tls.Client(conn, p.TLS(to))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		if isAuthFailure(err) {
			reportAuthFailure(p.OnAuthFailure, fault.Wrap(err, "authenticate peer", string(to)))
		}
		return nil, err
	}
	return tlsConn, nil
}

// putConn returns a connection to the pool, and closes the oldest idle one beyond
// MaxIdleConnections. After an error it closes the connection, because the peer's
// response may still arrive on it.
func (p *Pool) putConn(to model.Address, conn *drpcconn.Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || p.closed {
		p.addOpen(to, -1)
		_ = conn.Close()
		return
	}
	p.idle[to] = append(p.idle[to], conn)
	p.idleOrder = append(p.idleOrder, to)
	if len(p.idleOrder) > p.MaxIdleConnections {
		oldest := p.idleOrder[0]
		p.idleOrder = p.idleOrder[1:]
		_ = p.idle[oldest][0].Close()
		p.setIdle(oldest, p.idle[oldest][1:])
		p.addOpen(oldest, -1)
	}
}

// setIdle replaces the idle connections to a peer. p.mu must be held.
func (p *Pool) setIdle(to model.Address, conns []*drpcconn.Conn) {
	if len(conns) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = conns
}

// addOpen adds n to the number of open connections to a peer. p.mu must be held.
func (p *Pool) addOpen(to model.Address, n int) {
	p.openCount[to] += n
	if p.openCount[to] <= 0 {
		delete(p.openCount, to)
	}
}

func managerOptions(maxMessageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{MaximumBufferSize: maxMessageBytes},
	}
}
