package link

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
)

func serve(t *testing.T, s *Server) model.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return model.Address(l.Addr().String())
}

func newPool(t *testing.T) *Pool {
	p := NewPool()
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func echo(_ context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return &peer.ForwardResponse{Response: m.GetRequest()}, nil
}

// Guards against connections that are not reused, and against responses that are
// delivered to another of many concurrent calls.
func TestPoolReusesConnections(t *testing.T) {
	is := is.New(t)
	s := NewServer()
	s.Forward = echo
	to, p := serve(t, s), newPool(t)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			for range 20 {
				m, err := p.Forward(t.Context(), to, &peer.ForwardRequest{Request: []byte{byte(i)}, TimeoutMs: 5000})
				if err != nil || m.GetResponse()[0] != byte(i) {
					t.Errorf("call %d: got %v, %v", i, m.GetResponse(), err)
				}
			}
		})
	}
	wg.Wait()
	is.True(p.openCount[to] <= 20) // no more connections than concurrent calls
	is.Equal(len(p.idle[to]), p.openCount[to])
}

// Guards against a call that never returns if the peer does not respond, and
// against errors without step and peer.
func TestCallEndsAtItsDeadline(t *testing.T) {
	is := is.New(t)
	s := NewServer()
	release := make(chan struct{})
	s.Probe = func(context.Context, *peer.ProbeRequest) (*peer.ProbeResponse, error) {
		<-release
		return &peer.ProbeResponse{}, nil
	}
	to, p := serve(t, s), newPool(t)
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := p.Probe(ctx, to, &peer.ProbeRequest{})
	var f *fault.Error
	is.True(errors.As(err, &f))
	is.Equal(f.Step, "probe peer")
	is.Equal(f.Peer, string(to))
	is.True(!errors.Is(err, ErrNotSent)) // it may have run
	is.Equal(p.openCount[to], 0)         // the connection is not reused
}

// Guards against reporting a request as possibly run although no connection could
// be opened.
func TestUnreachablePeerIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := model.Address(l.Addr().String())
	is.NoErr(l.Close())
	_, err = newPool(t).Forward(t.Context(), to, &peer.ForwardRequest{})
	is.True(errors.Is(err, ErrNotSent))
}

// Guards against messages above the maximum size, which would exhaust memory, and
// against rejecting smaller ones.
func TestMessagesAreBounded(t *testing.T) {
	is := is.New(t)
	s := NewServer()
	s.Forward, s.MaxMessageBytes = echo, 1<<10
	to, p := serve(t, s), newPool(t)
	_, err := p.Forward(t.Context(), to, &peer.ForwardRequest{Request: make([]byte, 1<<14), TimeoutMs: 1000})
	is.True(err != nil)
	_, err = p.Forward(t.Context(), to, &peer.ForwardRequest{Request: make([]byte, 1<<9), TimeoutMs: 1000})
	is.NoErr(err)
}

// Guards against a shutdown that cuts off a forwarded request in flight.
func TestCloseWaitsForCallsInFlight(t *testing.T) {
	is := is.New(t)
	s := NewServer()
	running, release := make(chan struct{}), make(chan struct{})
	s.Forward = func(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
		close(running)
		<-release
		return echo(ctx, m)
	}
	to, p := serve(t, s), newPool(t)
	result := make(chan error, 1)
	go func() {
		_, err := p.Forward(context.Background(), to, &peer.ForwardRequest{Request: []byte{1}, TimeoutMs: 5000})
		result <- err
	}()
	<-running
	closed := make(chan struct{})
	go func() { _ = s.Close(); close(closed) }()
	select {
	case <-closed:
		t.Fatal("closed while a call was in flight")
	case <-time.After(20 * time.Millisecond):
	}
	close(release)
	is.NoErr(<-result)
	<-closed
}

// slowListener is a listener whose connections delay each write, as if the
// writing goroutine were scheduled late.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	return c.Conn.Write(b)
}

// Guards against a shutdown that closes the connection between the return of a
// handler and the write of its result or error.
func TestCloseWaitsForResponsesToBeWritten(t *testing.T) {
	for n, e := range map[string]error{"result": nil, "error": errors.New("no such service")} {
		t.Run(n, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			s := NewServer()
			finished := make(chan struct{})
			s.Forward = func(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
				close(finished)
				if e != nil {
					return nil, e
				}
				return echo(ctx, m)
			}
			go func() { _ = s.Serve(slowListener{l}) }()
			p := newPool(t)
			result := make(chan error, 1)
			go func() {
				_, err := p.Forward(context.Background(), model.Address(l.Addr().String()),
					&peer.ForwardRequest{Request: []byte{1}, TimeoutMs: 5000})
				result <- err
			}()
			<-finished
			is.NoErr(s.Close())
			got := <-result
			if e == nil {
				is.NoErr(got)
				return
			}
			is.True(strings.Contains(got.Error(), e.Error()))
		})
	}
}

// Guards against keeping more idle connections than the limit.
func TestIdleConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	p := newPool(t)
	p.MaxIdleConnections = 2
	for range 5 {
		s := NewServer()
		s.Forward = echo
		_, err := p.Forward(t.Context(), serve(t, s), &peer.ForwardRequest{TimeoutMs: 1000})
		is.NoErr(err)
	}
	is.Equal(len(p.idleOrder), 2)
	is.Equal(len(p.openCount), 2)
}
