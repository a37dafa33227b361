package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// beatInterval is heartbeat-ms of the site.
	beatInterval = 1200 * time.Millisecond
	// maxSegment and receiveBuffer give connections on loopback a small window, so that a
	// peer that does not read blocks the writer, as DEPLOY.md says of the links.
	maxSegment    = 536
	receiveBuffer = 4 << 10
	// requestsPerConnection is the number of requests after which a searcher sends
	// Connection: close.
	requestsPerConnection = 10
	// keepAliveSeconds is the idle timeout that searchers announce.
	keepAliveSeconds = 30
)

// reply is what a searcher sends for a request.
type reply struct {
	status int
	header []string
	body   []byte
	// silent closes the connection without a reply.
	silent bool
}

// searcher is a stand-in for one searcher. Its fields must be set before start.
type searcher struct {
	id, service, zone string
	slots, queue      int
	store             *objectStore
	// serve runs a request and returns the reply. It is called with a slot.
	serve func(r *http.Request, body []byte) reply
	// early, if set, may answer a request before its body is read. The searcher reads
	// the body after the returned delay and keeps the connection.
	early func(r *http.Request) (answer reply, readAfter time.Duration, ok bool)
	// arrived is called for each request that the searcher does not answer with 421.
	arrived func(r *http.Request)

	listener net.Listener
	slot     chan struct{}
	mu       sync.Mutex
	waiting  int
	born     int64
	sequence int
	state    string
	conns    map[net.Conn]bool
	stopped  bool
}

func (s *searcher) start() error {
	control := func(_, _ string, raw syscall.RawConn) error {
		var first error
		err := raw.Control(func(fd uintptr) {
			first = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, maxSegment)
			if err := syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); first == nil {
				first = err
			}
		})
		if err != nil {
			return err
		}
		return first
	}
	l, err := (&net.ListenConfig{Control: control}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener, s.slot, s.conns = l, make(chan struct{}, s.slots), map[net.Conn]bool{}
	s.born, s.state = time.Now().UnixMilli(), "ready"
	s.beat()
	go s.accept()
	go s.beats()
	return nil
}

// registration returns the entry of the searcher with the next sequence number.
func (s *searcher) registration(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return map[string]any{
		"service": s.service, "address": s.listener.Addr().String(), "zone": s.zone, "version": "1", "slots": s.slots,
		"state": state, wire.WarmUpLeft: 0, "sequence": s.sequence, "born": s.born,
	}
}

// beat writes the searcher's entry.
func (s *searcher) beat() { s.store.put("servers", s.id, s.registration(s.currentState())) }

func (s *searcher) currentState() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

func (s *searcher) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

func (s *searcher) beats() {
	for {
		time.Sleep(beatInterval)
		s.mu.Lock()
		stopped := s.stopped
		s.mu.Unlock()
		if stopped {
			return
		}
		s.beat()
	}
}

// stop ends the searcher, closes its connections and removes its entry.
func (s *searcher) stop() {
	s.crash()
	s.store.remove("servers", s.id)
}

// crash ends the searcher without a word. Its entry lapses after three intervals.
func (s *searcher) crash() {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	s.stopped = true
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	time.AfterFunc(3*beatInterval, func() { s.store.remove("servers", s.id) })
}

func (s *searcher) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *searcher) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, 4096)
	for n := 1; n <= requestsPerConnection; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.answer(c, r, n == requestsPerConnection) {
			return
		}
	}
}

// answer reads the rest of a request and answers it. It reports whether the connection
// can carry another request.
func (s *searcher) answer(c net.Conn, r *http.Request, last bool) bool {
	if r.Header.Get(wire.Instance) != s.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return s.write(c, r, reply{status: http.StatusMisdirectedRequest, header: []string{wire.NotRun + ": 1"}}, last)
	}
	if s.arrived != nil {
		s.arrived(r)
	}
	if s.early != nil {
		if answer, readAfter, ok := s.early(r); ok {
			if !s.write(c, r, answer, last) {
				return false
			}
			time.Sleep(readAfter)
			_, err := io.Copy(io.Discard, r.Body)
			return err == nil
		}
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	if !s.takeSlot() {
		return s.write(c, r, reply{status: http.StatusServiceUnavailable, header: []string{wire.NotRun + ": 1"}}, last)
	}
	answer := s.serve(r, body)
	<-s.slot
	if answer.silent {
		return false
	}
	return s.write(c, r, answer, last)
}

// takeSlot waits for a slot. It reports false if the queue is full.
func (s *searcher) takeSlot() bool {
	s.mu.Lock()
	if s.waiting >= s.queue+s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.slot <- struct{}{}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return true
}

func (s *searcher) write(c net.Conn, r *http.Request, a reply, last bool) bool {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=%d\r\n",
		a.status, http.StatusText(a.status), r.Header.Get("X-Request-Id"), len(a.body), keepAliveSeconds)
	for _, h := range a.header {
		head.WriteString(h + "\r\n")
	}
	if last {
		head.WriteString("Connection: close\r\n")
	}
	head.WriteString("\r\n")
	_, err := c.Write(append([]byte(head.String()), a.body...))
	return err == nil
}

// stamp returns the header with the searcher's signature.
func (s *searcher) stamp(r *http.Request) string {
	return wire.Stamp + ": " + s.id + "." + r.Header.Get("X-Request-Id")
}
