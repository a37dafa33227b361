// Package canned implements servers that send fixed bytes in reply to each request, so
// that replies can be malformed.
//
// # Usage
//
//	s := canned.NewServer()
//	s.Serve = canned.HTTP1("HTTP/1.1 000 \r\n\r\n")
//	err := s.Run(ctx)
//	defer s.Close()
//	// send a request to s.Address()
//	closed := s.WaitClosed(10 * time.Second)
package canned

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxClosed is the number of closed connections that are kept for WaitClosed.
const maxClosed = 100

// Server serves connections until its Close. The exported field must be set before Run.
type Server struct {
	// Serve serves one connection until the client closes it.
	Serve func(net.Conn)

	listener net.Listener
	closed   chan struct{}
	tasks    sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
	ended bool
}

// NewServer returns a server that is not listening yet.
func NewServer() *Server {
	return &Server{closed: make(chan struct{}, maxClosed), conns: map[net.Conn]bool{}}
}

// Run starts to accept connections on a free loopback port. It does not wait.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	var err error
	if s.listener, err = config.Listen(ctx, "tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.tasks.Go(func() {
		for {
			c, err := s.listener.Accept()
			if err != nil {
				return
			}
			if s.track(c) {
				s.tasks.Go(func() { s.serve(c) })
			}
		}
	})
	return nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// WaitClosed waits until the client has closed a connection that no earlier call has
// reported. It returns false after the timeout.
func (s *Server) WaitClosed(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-s.closed:
		return true
	case <-timer.C:
		return false
	}
}

// Close closes the listener and all connections and waits for their goroutines.
func (s *Server) Close() error {
	err := s.listener.Close()
	s.mu.Lock()
	s.ended = true
	for c := range s.conns {
		err = errors.Join(err, c.Close())
	}
	s.mu.Unlock()
	s.tasks.Wait()
	return err
}

// track adds a connection. It returns false if the server is closed.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		_ = c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) serve(c net.Conn) {
	s.Serve(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	delete(s.conns, c)
	_ = c.Close() // the client has closed it
	select {
	case s.closed <- struct{}{}:
	default:
	}
}

// HTTP1 returns a function that sends the reply to the first request of a connection and
// then waits until the client closes it.
func HTTP1(reply string) func(net.Conn) {
	return func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		_, _ = io.WriteString(c, reply) // fails if the client has closed the connection
		_, _ = io.Copy(io.Discard, c)   // until the client closes it
	}
}
