package link

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/peer"
)

const (
	// DefaultMaxConnections is the maximum number of connections to a server.
	DefaultMaxConnections = 4096
	// idleTimeout is the time without calls after which a connection is closed.
	idleTimeout = 5 * time.Minute
	// drainTimeout limits the time that Close waits for calls in flight.
	drainTimeout = 10 * time.Second
)

// Server answers calls of peers. Its exported fields must be set before Serve. A
// call whose handler function is nil fails as unimplemented.
type Server struct {
	// TLS is the configuration for connections from peers; nil for plain
	// connections. It must require client certificates. A call is rejected unless
	// its sender is a DNS name of the certificate.
	TLS *tls.Config
	// OnAuthFailure is called with the error of each peer that failed to
	// authenticate; may be nil.
	OnAuthFailure func(error)
	// Timeout, MaxMessageBytes and MaxConnections default to the constants above. A
	// Forward call has the timeout of its request instead of Timeout.
	Timeout         time.Duration
	MaxMessageBytes int
	MaxConnections  int
	// Log is called with errors of connections; may be nil.
	Log func(error)

	Probe   func(context.Context, *peer.ProbeRequest) (*peer.ProbeResponse, error)
	Push    func(context.Context, *peer.PushRequest) (*peer.PushResponse, error)
	Pull    func(context.Context, *peer.PullRequest) (*peer.PullResponse, error)
	Members func(context.Context, *peer.MembersRequest) (*peer.MembersResponse, error)
	// Forward runs a caller's request. The deadline of its context is the timeout
	// of the request.
	Forward func(context.Context, *peer.ForwardRequest) (*peer.ForwardResponse, error)
	// Delegate takes calls to searchers, and Deliver the results of such calls.
	Delegate func(context.Context, *peer.DelegateRequest) (*peer.DelegateResponse, error)
	Deliver  func(context.Context, *peer.DeliverRequest) (*peer.DeliverResponse, error)

	mu          sync.Mutex
	activeCalls int
	callsDone   chan struct{}
	closing     chan struct{}
	closeOnce   sync.Once
	done        chan struct{}
}

// NewServer returns a server without handler functions.
func NewServer() *Server {
	return &Server{
		Timeout: DefaultTimeout, MaxMessageBytes: DefaultMaxMessageBytes, MaxConnections: DefaultMaxConnections,
		callsDone: make(chan struct{}), closing: make(chan struct{}), done: make(chan struct{}),
	}
}

// Serve accepts connections on a listener and answers calls until Close. It must
// be called only once.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.done)
	address := listener.Addr().String()
	tracker := callTracker{server: s, mux: drpcmux.New()}
	if err := peer.DRPCRegisterPeerService(tracker.mux, handler{s}); err != nil {
		return fault.Wrap(err, "register peer service", address)
	}
	options := drpcserver.Options{Manager: managerOptions(s.MaxMessageBytes), Log: s.Log}
	options.Manager.InactivityTimeout = idleTimeout
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limited := &limitListener{Listener: listener, closed: ctx.Done(), slots: make(chan struct{}, s.MaxConnections), onAuthFailure: s.OnAuthFailure}
	if s.TLS != nil {
		limited.Listener = tls.NewListener(listener, s.TLS)
	}
	callsEnded := make(chan struct{})
	go func() {
		defer close(callsEnded)
		<-s.closing
		_ = listener.Close()
		s.waitForCalls()
		cancel()
	}()
	err := drpcserver.NewWithOptions(tracker, options).Serve(ctx, limited)
	s.beginClose()
	<-callsEnded
	return fault.Wrap(err, "serve peers", address)
}

// Close stops accepting calls, waits for those in flight, and closes all
// connections. Serve must have been called.
func (s *Server) Close() error {
	s.beginClose()
	<-s.done
	return nil
}

func (s *Server) beginClose() {
	s.closeOnce.Do(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.closing)
		if s.activeCalls == 0 {
			close(s.callsDone)
		}
	})
}

func (s *Server) waitForCalls() {
	timer := time.NewTimer(drainTimeout)
	defer timer.Stop()
	select {
	case <-s.callsDone:
	case <-timer.C:
	}
}

// beginCall counts a call as active. It reports false once Close was called.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closing:
		return false
	default:
		s.activeCalls++
		return true
	}
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
	select {
	case <-s.closing:
		if s.activeCalls == 0 {
			close(s.callsDone)
		}
	default:
	}
}

// callTracker counts a call as active until its response and the end of its
// stream are written, so that Close does not cut them off.
type callTracker struct {
	server *Server
	mux    *drpcmux.Mux
}

// HandleRPC answers one call. It sends the error or the end of the stream itself,
// because drpc sends them after HandleRPC, when the call is no longer counted.
func (t callTracker) HandleRPC(stream drpc.Stream, rpc string) error {
	if !t.server.beginCall() {
		return errors.New("the host is shutting down")
	}
	defer t.server.endCall()
	err := t.mux.HandleRPC(stream, rpc)
	s, ok := stream.(*drpcstream.Stream)
	switch {
	case !ok:
		return err
	case err != nil:
		return s.SendError(err)
	}
	return s.CloseSend()
}

// handler implements the drpc service with the functions of a server.
type handler struct{ server *Server }

func (h handler) Probe(ctx context.Context, m *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	return invoke(ctx, h.server, h.server.Timeout, m, h.server.Probe)
}

func (h handler) Push(ctx context.Context, m *peer.PushRequest) (*peer.PushResponse, error) {
	return invoke(ctx, h.server, h.server.Timeout, m, h.server.Push)
}

func (h handler) Pull(ctx context.Context, m *peer.PullRequest) (*peer.PullResponse, error) {
	return invoke(ctx, h.server, h.server.Timeout, m, h.server.Pull)
}

func (h handler) Members(ctx context.Context, m *peer.MembersRequest) (*peer.MembersResponse, error) {
	return invoke(ctx, h.server, h.server.Timeout, m, h.server.Members)
}

func (h handler) Forward(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	timeout := time.Duration(m.GetTimeoutMs()) * time.Millisecond
	return invoke(ctx, h.server, timeout, m, h.server.Forward)
}

func (h handler) Delegate(ctx context.Context, m *peer.DelegateRequest) (*peer.DelegateResponse, error) {
	return invoke(ctx, h.server, h.server.Timeout, m, h.server.Delegate)
}

func (h handler) Deliver(ctx context.Context, m *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	return invoke(ctx, h.server, h.server.Timeout, m, h.server.Deliver)
}

// invoke authenticates the sender of a call and runs the handler function of its
// method.
func invoke[Q, R any](ctx context.Context, s *Server, timeout time.Duration, request Q, method func(context.Context, Q) (R, error)) (R, error) {
	var zero R
	if method == nil {
		return zero, drpcerr.WithCode(errors.New("not implemented"), drpcerr.Unimplemented)
	}
	if s.TLS != nil {
		if err := checkCallSender(ctx, request); err != nil {
			reportAuthFailure(s.OnAuthFailure, err)
			return zero, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return method(ctx, request)
}

// limitListener is a listener that limits the number of connections. After the
// listener is closed, Accept blocks until all calls have ended, because an error
// would make the drpc server cancel them.
type limitListener struct {
	net.Listener
	closed        <-chan struct{}
	slots         chan struct{}
	onAuthFailure func(error)
}

// Accept waits for a free slot and a connection.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		if errors.Is(err, net.ErrClosed) {
			<-l.closed
		}
		return nil, err
	}
	return &limitedConn{
		Conn: conn, releaseSlot: sync.OnceFunc(func() { <-l.slots }),
		authenticate: sync.OnceValue(func() error { return authenticate(conn, l.onAuthFailure) }),
	}, nil
}

// limitedConn is a connection that releases its slot on Close.
type limitedConn struct {
	net.Conn
	releaseSlot  func()
	authenticate func() error
}

// Read completes the TLS handshake, if any, before it reads. The handshake is not
// done in Accept, where an unresponsive peer would block all others.
func (c *limitedConn) Read(b []byte) (int, error) {
	if err := c.authenticate(); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// Close closes the connection and releases its slot.
func (c *limitedConn) Close() error {
	defer c.releaseSlot()
	return c.Conn.Close()
}
