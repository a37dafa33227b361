// Package conns keeps connections to searchers and carries calls over them. A
// connection carries one call at a time. Each searcher has a bound on open
// connections and a number that is opened ahead of need.
//
// The encoding of calls and replies is given by a Codec. A reply counts for a
// call only if it echoes the call's request id; an answer to an earlier request
// is skipped, and bytes on an idle connection close it.
//
// # Usage
//
//	pool := conns.NewPool(codec)
//	pool.Report = func(e relay.Event) { loop.Send(e) }
//	pool.Follow(connect)
//	pool.Start(call)
//	pool.Close()
package conns

import (
	"bufio"
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
	// DefaultConnectTimeout bounds the setup of a connection. A way between
	// failure domains and back takes 9 ms and the searcher's own part 6 ms.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultIdleTime is how long an idle connection is kept if the searcher
	// states no limit.
	DefaultIdleTime = 30 * time.Second
	// freshTime is how long ago a connection may have been used for a call that
	// cannot be repeated. Searchers forget idle connections after seconds.
	freshIdleTime = 2 * time.Second
	// idleMargin is taken off the idle limit that a searcher states, in which its
	// close can be on the way.
	idleMargin = 500 * time.Millisecond
	// reopenDelay is the pause before a lost connection is opened again ahead of
	// need. It doubles up to reopenMost with each connection that ends before it
	// carried a call, as those beyond a searcher's bound do.
	reopenDelay    = 300 * time.Millisecond
	reopenDelayMax = 10 * time.Second
	// unackedTime is how long sent bytes may stay without an acknowledgement
	// before a connection counts as broken (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find connections that
	// fell silent within about 3 s.
	keepAliveIdle     = 1500 * time.Millisecond
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// inlineWrite is the largest message in bytes that is written by the caller
	// of Start. An idle connection has room for it, so the write cannot block.
	inlineWriteBytes = 8 << 10
	// readBuffer is the size of a connection's read buffer in bytes; most replies
	// are smaller.
	readBufferBytes = 2 << 10
)

// Dial opens a TCP connection that notices a silent peer by itself.
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

// RoundTrip returns the round trip time that the kernel has measured on a TCP
// connection, in steps of a microsecond.
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

// Outcome is a reply as it was read, with what it says of its connection.
type ReadResult struct {
	Reply relay.Reply
	// Echo is the request id in the reply; empty if it has none.
	RequestID model.RequestID
	// Reusable is set if the connection can carry another call.
	Reusable bool
	// Idle is how long the searcher keeps the connection; zero if it does not say.
	IdleTimeout time.Duration
	// Interim is set for a reply that announces another one.
	Interim bool
}

// Codec encodes calls and decodes replies.
type Codec struct {
	// Append appends the message of a call.
	Append func(to []byte, c relay.StartCall) []byte
	// Read reads one reply to a call. An error means that the reply is incomplete
	// or is no reply.
	Read func(r *bufio.Reader, c relay.StartCall) (ReadResult, error)
}

// Pool keeps the connections to all searchers. Fields are set before Follow.
type Pool struct {
	// Report is told how each call ended, but for those that were cancelled.
	OnResult func(relay.Event)
	// Opened is told of each new connection; may be nil.
	OnOpened func(model.SearcherID)
	// Unsent is told of each call that was cancelled before it had a connection. It
	// must not block or call the pool.
	OnUnsent func(relay.StartCall)
	// ConnectTimeout and IdleTime default to the constants.
	ConnectTimeout time.Duration
	IdleTime       time.Duration

	codec  Codec
	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	backends map[model.SearcherID]*backend
	active   map[relay.CallID]*activeCall
	closed   bool
}

// NewPool returns a pool without connections.
func NewPool(codec Codec) *Pool {
	p := &Pool{
		OnResult: func(relay.Event) {}, OnOpened: func(model.SearcherID) {}, OnUnsent: func(relay.StartCall) {},
		ConnectTimeout: DefaultConnectTimeout, IdleTime: DefaultIdleTime,
		codec: codec, backends: map[model.SearcherID]*backend{}, active: map[relay.CallID]*activeCall{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// transfer is a call on its way. Its connection is nil while it waits for one.
type activeCall struct {
	start   relay.StartCall
	conn    *conn
	backend *backend
}

// peer holds the connections to one searcher.
type backend struct {
	limits relay.ConnectionLimits
	// used is false once the searcher is no longer followed.
	inUse bool
	// open counts connections, those being opened included.
	open    int
	idle    []*conn
	waiting []*activeCall
	// reopening is set while a timer will open connections ahead of need, wasted
	// counts the connections in a row that ended before they carried a call.
	reopening   bool
	unusedConns int
}

// Follow applies the searchers that are in use and their bounds. Connections to
// others are closed once they are idle.
func (p *Pool) SetPlan(c relay.ConnectionPlan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, limits := range c.Searchers {
		s, ok := p.backends[id]
		if ok && s.limits.Searcher.Address != limits.Searcher.Address {
			p.removeBackend(id, s)
			ok = false
		}
		if !ok {
			s = &backend{}
			p.backends[id] = s
		}
		s.limits, s.inUse = limits, true
		s.closeExcessIdle()
		p.openMinimum(s)
	}
	for id, s := range p.backends {
		if _, ok := c.Searchers[id]; !ok {
			p.removeBackend(id, s)
		}
	}
}

// Open returns the number of connections to a searcher, those being opened
// included.
func (p *Pool) Open(id model.SearcherID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.backends[id]; ok {
		return s.open
	}
	return 0
}

// retire closes the idle connections of a searcher that is no longer used.
func (p *Pool) removeBackend(id model.SearcherID, s *backend) {
	s.inUse = false
	for _, c := range s.idle {
		c.close()
	}
	s.idle = nil
	delete(p.backends, id)
}

// trim closes idle connections beyond the bound. Their goroutines count them out.
func (s *backend) closeExcessIdle() {
	for extra := s.open - s.limits.MaxOpen; extra > 0 && len(s.idle) > 0; extra-- {
		s.idle[0].close()
		s.idle = s.idle[1:]
	}
}

// openAhead opens connections until the number kept ahead of need is reached.
func (p *Pool) openMinimum(s *backend) {
	for !p.closed && s.inUse && !s.reopening && s.open < s.limits.MinOpen {
		p.open(s)
	}
}

// Start sends a call. It does not block.
func (p *Pool) Start(call relay.StartCall) {
	p.mu.Lock()
	s, ok := p.backends[call.Searcher.ID]
	if !ok || p.closed {
		p.mu.Unlock()
		// The caller may be the goroutine that takes reports.
		p.tasks.Go(func() {
			p.OnResult(relay.CallFailed{Call: call.Call, Failure: model.FailureConnect, NotRun: true, Cause: "the searcher is no longer used"})
		})
		return
	}
	t := &activeCall{start: call, backend: s}
	p.active[call.Call] = t
	if c := p.takeIdle(s, call.Fresh); c != nil {
		p.assign(t, c)
		p.mu.Unlock()
		c.write(t)
		return
	}
	s.waiting = append(s.waiting, t)
	if s.open < s.limits.MaxOpen || s.open == 0 {
		p.open(s)
	}
	p.mu.Unlock()
}

// Cancel ends a call. Its connection is closed, which ends the searcher's work.
func (p *Pool) Cancel(id relay.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.active[id]
	if !ok {
		return
	}
	delete(p.active, id)
	if t.conn == nil {
		t.backend.removeWaiting(t)
		p.OnUnsent(t.start)
		return
	}
	t.conn.close()
}

// Close closes all connections and waits for their goroutines.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	for id, s := range p.backends {
		p.removeBackend(id, s)
	}
	for _, t := range p.active {
		if t.conn != nil {
			t.conn.close()
		}
	}
	p.mu.Unlock()
	p.tasks.Wait()
	return nil
}

// takeIdle returns the idle connection used last that is still good.
func (p *Pool) takeIdle(s *backend, fresh bool) *conn {
	for len(s.idle) > 0 {
		c := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		idle := time.Since(c.lastUsed)
		if idle < c.idleTimeout && (!fresh || idle < freshIdleTime) {
			return c
		}
		c.close()
		s.open-- // its place is free at once
		c.counted = false
	}
	return nil
}

// assign gives a call to a connection.
func (p *Pool) assign(t *activeCall, c *conn) {
	t.conn, c.call = c, t
}

// dropWaiting removes a call that waits for a connection.
func (s *backend) removeWaiting(t *activeCall) {
	for i, w := range s.waiting {
		if w == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// fail reports the end of a call without a reply, once.
func (p *Pool) fail(t *activeCall, failure model.Failure, notRun bool, err error) {
	p.mu.Lock()
	_, live := p.active[t.start.Call]
	delete(p.active, t.start.Call)
	p.mu.Unlock()
	if live {
		p.OnResult(relay.CallFailed{Call: t.start.Call, Failure: failure, NotRun: notRun, Cause: err.Error()})
	}
}
