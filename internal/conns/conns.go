// Package conns implements a pool of TCP connections to searchers. A connection
// carries one call at a time. Each searcher has a maximum number of open
// connections and a minimum number that is opened in advance. Connections on demand
// are closed after each call.
//
// A Codec encodes calls and decodes replies. A reply is accepted only if it has the
// request id of the call. Late replies to earlier requests are
// skipped, and data received on an idle connection closes it. Replies are bounded in
// size, each and all together.
//
// # Usage
//
//	pool := conns.NewPool(codec)
//	pool.OnResult = func(e relay.Event) { loop.Send(e) }
//	pool.SetPlan(plan)
//	pool.Start(call)
//	pool.Close()
package conns

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

const (
	// DefaultConnectTimeout bounds the setup of a connection. A round trip between
	// failure domains takes 9 ms and the searcher needs another 6 ms.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultIdleTime is how long an idle connection is kept if the searcher does
	// not announce an idle timeout.
	DefaultIdleTime = 30 * time.Second
	// DefaultUnreadRequestTime is how long a searcher that has answered may take to read
	// the rest of the request before the connection is closed.
	DefaultUnreadRequestTime = 2 * time.Second
	// freshIdleTime is the maximum idle time of a connection for a call that cannot
	// be retried. Searchers drop idle connections after seconds.
	freshIdleTime = 2 * time.Second
	// idleMargin is subtracted from the idle timeout that a searcher announces,
	// because its close may already be in transit.
	idleMargin = 500 * time.Millisecond
	// reopenDelay is the delay before a lost connection is reopened in advance. It
	// doubles up to reopenDelayMax with each connection that closes before it
	// carried a call, as happens beyond a searcher's connection limit.
	reopenDelay    = 300 * time.Millisecond
	reopenDelayMax = 10 * time.Second
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive
	// peer within about 3 s.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

// Dial opens a TCP connection that detects an unresponsive peer.
func Dial(ctx context.Context, address model.Address, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optErr error
			err := raw.Control(func(fd uintptr) {
				optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optErr
		},
	}
	return d.DialContext(ctx, "tcp", string(address))
}

// RoundTrip returns the kernel's round-trip time estimate of a TCP connection, in
// microsecond resolution.
func RoundTrip(c net.Conn) (time.Duration, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return 0, errors.New("not a TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var info *unix.TCPInfo
	var optErr error
	if err := raw.Control(func(fd uintptr) {
		info, optErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || optErr != nil {
		return 0, errors.Join(err, optErr)
	}
	return time.Duration(info.Rtt) * time.Microsecond, nil
}

// ReadResult is a decoded reply with the connection properties that it announces.
type ReadResult struct {
	Reply relay.Reply
	// RequestID is the request id in the reply; empty if it has none.
	RequestID model.RequestID
	// Reusable is set if the connection can carry another call.
	Reusable bool
	// IdleTimeout is the searcher's idle timeout of the connection; zero if not
	// announced.
	IdleTimeout time.Duration
	// Interim is set for an interim reply, which another reply follows.
	Interim bool
}

// Codec encodes calls and decodes replies.
type Codec struct {
	// Encode returns the encoded call: its head, and the body that follows it. The body
	// may be shared by many calls and must not be changed.
	Encode func(c relay.StartCall) (head, body []byte)
	// Read reads one reply to a call, and calls EndHead before it reads a body. It
	// returns an error if the reply is incomplete or malformed.
	Read func(r *ReplyReader, c relay.StartCall) (ReadResult, error)
	// Marshal and Unmarshal encode the message of a call for another host, which sends
	// the call.
	Marshal   func(message any) []byte
	Unmarshal func([]byte) (any, error)
}

// Pool holds the connections to all searchers. The exported fields must be set
// before SetPlan is called.
type Pool struct {
	// OnResult receives the reply or failure of each call that was not cancelled.
	OnResult func(relay.Event)
	// OnOpened is called for each new connection.
	OnOpened func(model.SearcherID)
	// OnUnsent is called for each call that was cancelled before it had a
	// connection. It must not block or call methods of the pool.
	OnUnsent func(relay.StartCall)
	// ConnectTimeout defaults to DefaultConnectTimeout, IdleTime to DefaultIdleTime and
	// UnreadRequestTime to DefaultUnreadRequestTime.
	ConnectTimeout    time.Duration
	IdleTime          time.Duration
	UnreadRequestTime time.Duration
	// ReplyMemory bounds the bytes of unfinished replies over all connections, apart
	// from small ones; it defaults to DefaultReplyMemory. The largest replies are cut
	// off beyond it.
	ReplyMemory int

	replies *replyMemory
	codec   Codec
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu       sync.Mutex
	backends map[model.SearcherID]*backend
	active   map[relay.CallID]*activeCall
	closed   bool
}

// NewPool returns a pool without connections.
func NewPool(codec Codec) *Pool {
	p := &Pool{
		OnResult: func(relay.Event) {}, OnOpened: func(model.SearcherID) {}, OnUnsent: func(relay.StartCall) {},
		ConnectTimeout: DefaultConnectTimeout, IdleTime: DefaultIdleTime, UnreadRequestTime: DefaultUnreadRequestTime,
		ReplyMemory: DefaultReplyMemory,
		replies:     newReplyMemory(DefaultReplyMemory),
		codec:       codec, backends: map[model.SearcherID]*backend{}, active: map[relay.CallID]*activeCall{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// activeCall is a call without a result. Its conn is nil while it waits for one.
type activeCall struct {
	start   relay.StartCall
	conn    *conn
	backend *backend
}

// backend holds the connections to one searcher.
type backend struct {
	limits relay.ConnectionLimits
	// inUse is false once the searcher is no longer in the plan.
	inUse bool
	// open counts the connections, including those being opened.
	open int
	idle []*conn
	// lingering holds the connections that have their reply and still write their
	// request, longest first.
	lingering []*conn
	waiting   []*activeCall
	// reopening is set while a timer to reopen connections is pending. unusedConns
	// counts the consecutive connections that closed before they carried a call.
	reopening   bool
	unusedConns int
}

// SetPlan applies the searchers in use and their connection limits. Connections to
// other searchers are closed once they are idle.
func (p *Pool) SetPlan(plan relay.ConnectionPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replies.setLimit(p.ReplyMemory)
	for id, limits := range plan.Searchers {
		b, ok := p.backends[id]
		if ok && b.limits.Searcher.Address != limits.Searcher.Address {
			p.removeBackend(id, b)
			ok = false
		}
		if !ok {
			b = &backend{}
			p.backends[id] = b
		}
		b.limits, b.inUse = limits, true
		b.closeExcessIdle()
		p.openMinimum(b)
	}
	for id, b := range p.backends {
		if _, ok := plan.Searchers[id]; !ok {
			p.removeBackend(id, b)
		}
	}
}

// Open returns the number of connections to a searcher, including those being
// opened.
func (p *Pool) Open(id model.SearcherID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.backends[id]; ok {
		return b.open
	}
	return 0
}

// removeBackend removes a searcher that is no longer in use and closes its idle
// connections.
func (p *Pool) removeBackend(id model.SearcherID, b *backend) {
	b.inUse = false
	for _, c := range b.idle {
		c.close()
	}
	b.idle = nil
	delete(p.backends, id)
}

// closeExcessIdle closes idle connections beyond the limit. Their goroutines update
// the count of open connections.
func (b *backend) closeExcessIdle() {
	for extra := b.open - b.limits.MaxOpen; extra > 0 && len(b.idle) > 0; extra-- {
		b.idle[0].close()
		b.idle = b.idle[1:]
	}
}

// openMinimum opens connections until the minimum number is open.
func (p *Pool) openMinimum(b *backend) {
	for !p.closed && b.inUse && !b.reopening && b.open < b.limits.MinOpen {
		p.open(b)
	}
}

// Start sends a call. It does not block.
func (p *Pool) Start(call relay.StartCall) {
	p.mu.Lock()
	b, ok := p.backends[call.Searcher.ID]
	if !ok || p.closed {
		p.mu.Unlock()
		// The caller may be the goroutine that receives results, so OnResult could
		// block.
		p.tasks.Go(func() {
			p.OnResult(relay.CallFailed{Call: call.Call, Failure: model.FailureConnect, NotRun: true, Cause: "the searcher is no longer in use"})
		})
		return
	}
	a := &activeCall{start: call, backend: b}
	p.active[call.Call] = a
	if c := p.takeIdle(b, call.Fresh); c != nil {
		p.assign(a, c)
		p.mu.Unlock()
		c.write(a)
		return
	}
	b.waiting = append(b.waiting, a)
	if b.open >= b.limits.MaxOpen {
		b.closeLingering()
	}
	if b.open < b.limits.MaxOpen || b.open == 0 {
		p.open(b)
	}
	p.mu.Unlock()
}

// Cancel cancels a call. It closes the connection, which stops the searcher's work
// on the call.
func (p *Pool) Cancel(id relay.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.active[id]
	if !ok {
		return
	}
	delete(p.active, id)
	if a.conn == nil {
		a.backend.removeWaiting(a)
		p.OnUnsent(a.start)
		return
	}
	a.conn.close()
}

// RevokeUnsent cancels those of the given calls that have no connection yet, reports
// them as not run, and then calls done. It does not block.
func (p *Pool) RevokeUnsent(calls []relay.CallID, done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var revoked []*activeCall
	for _, id := range calls {
		if a, ok := p.active[id]; ok && a.conn == nil {
			delete(p.active, id)
			a.backend.removeWaiting(a)
			revoked = append(revoked, a)
		}
	}
	p.tasks.Go(func() { // OnResult could block
		for _, a := range revoked {
			p.OnUnsent(a.start)
			p.OnResult(relay.CallFailed{Call: a.start.Call, Failure: model.FailureUnsent, NotRun: true, Cause: "the call had no connection yet"})
		}
		done()
	})
}

// Close closes all connections and waits for their goroutines.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	for id, b := range p.backends {
		p.removeBackend(id, b)
	}
	for _, a := range p.active {
		if a.conn != nil {
			a.conn.close()
		}
	}
	p.mu.Unlock()
	p.tasks.Wait()
	return nil
}

// takeIdle returns the most recently used idle connection that has not expired, or
// nil. If fresh is set, a connection expires after freshIdleTime. Expired
// connections are closed.
func (p *Pool) takeIdle(b *backend, fresh bool) *conn {
	for len(b.idle) > 0 {
		c := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		idle := time.Since(c.lastUsed)
		if idle < c.idleTimeout && (!fresh || idle < freshIdleTime) {
			return c
		}
		c.close()
		b.open-- // allows a replacement before the goroutine ends
		c.counted = false
	}
	return nil
}

// assign links a call with the connection that carries it.
func (p *Pool) assign(a *activeCall, c *conn) {
	a.conn, c.call, c.writing = c, a, true
}

// removeWaiting removes a call that waits for a connection.
func (b *backend) removeWaiting(a *activeCall) {
	for i, w := range b.waiting {
		if w == a {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// fail reports that a call failed, unless its result was reported before or it was
// cancelled.
func (p *Pool) fail(a *activeCall, failure model.Failure, notRun bool, err error) {
	p.mu.Lock()
	_, live := p.active[a.start.Call]
	delete(p.active, a.start.Call)
	p.mu.Unlock()
	if live {
		p.OnResult(relay.CallFailed{Call: a.start.Call, Failure: failure, NotRun: notRun, Cause: err.Error()})
	}
}
