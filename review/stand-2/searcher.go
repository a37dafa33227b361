package main

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// heartbeat is the interval at which searchers write to the store.
	heartbeat = 1200 * time.Millisecond
	// backAfter is the time after which a crashed searcher is back.
	backAfter = 4 * time.Second
	// A request with this path and this caller crashes the searchers that run it. The path
	// alone does not.
	poisonPath   = "/pull/poison"
	poisonCaller = "Bearer juror-17"
)

// arrival is a request that a searcher began to run, or that crashed it.
type arrival struct {
	request  string
	searcher string
	at       time.Time
}

// searcher is a stand-in for one back end. Each start has an id and a port of its own.
type searcher struct {
	service string
	name    string
	zone    string
	slots   int
	work    time.Duration
	store   *store
	rec     *recorder
	// dark is set if a crash takes the machine with it: connections fall silent and are
	// not closed until the searcher is back.
	dark bool
	// crashAfter is how long a request runs before it crashes the searcher. A request
	// whose connection closes before is dropped.
	crashAfter time.Duration
	// lateWrite is set if the write before the report of draining is carried out late.
	lateWrite bool
	// onLeaving is called when the store has confirmed that the searcher is draining.
	onLeaving func(arrival)
	// onRun is called when a request begins to run.
	onRun func(arrival)
	// onCrash is called when a request crashes the searcher.
	onCrash func(arrival)

	starts atomic.Int64

	mu       sync.Mutex
	id       string
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	slotFree chan struct{}
	sequence int
	born     int64
	leaving  bool
	// leaveNext is the next step of a searcher that shall leave.
	leaveNext leaveStep
	stopped   chan struct{}
}

// start starts a new incarnation and registers it.
func (s *searcher) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.id = fmt.Sprintf("%s-%d", s.name, s.starts.Add(1))
	s.listener, s.conns, s.slotFree = l, map[net.Conn]bool{}, make(chan struct{}, s.slots)
	s.sequence, s.born, s.leaving, s.stopped = 0, time.Now().UnixMilli(), false, make(chan struct{})
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, ConnState: s.trackConn}
	id, server, stopped := s.id, s.server, s.stopped
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.rec.add("searcher %s of %s started at %s", id, s.service, l.Addr())
	s.register()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.beat()
			case <-stopped:
				return
			}
		}
	}()
	return nil
}

func (s *searcher) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// beat is the write of a heartbeat. The write that a searcher makes before it leaves may
// be carried out late.
func (s *searcher) beat() {
	s.mu.Lock()
	leave := s.leaveNext
	s.mu.Unlock()
	switch leave {
	case leaveAfterNext:
		s.writeLate()
		s.setLeaveNext(leaveNow)
	case leaveNow:
		s.setLeaveNext(stay)
		s.leave()
	default:
		s.register()
	}
}

// register writes the entry of the searcher, unless it has stopped.
func (s *searcher) register() {
	if id, e, ok := s.nextEntry(); ok {
		s.store.putEntry(id, e)
	}
}

// nextEntry returns the next write of the searcher's entry. It reports false if the
// searcher has stopped.
func (s *searcher) nextEntry() (string, entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stopped:
		return "", entry{}, false
	default:
	}
	s.sequence++
	state := "ready"
	if s.leaving {
		state = "draining"
	}
	return s.id, entry{
		Service: s.service, Address: s.listener.Addr().String(), Zone: s.zone, Version: "v1", Slots: s.slots, State: state,
		Sequence: s.sequence, Born: s.born,
	}, true
}

// crash ends the incarnation without a word, as the end of its process would: its
// connections are reset, at once or, if it goes dark, when it is back. Its entry lapses
// after three heartbeats. It starts again under a new id.
func (s *searcher) crash(request string) {
	s.mu.Lock()
	id, stopped := s.id, s.stopped
	select {
	case <-stopped:
		s.mu.Unlock()
		return
	default:
	}
	close(stopped)
	s.mu.Unlock()
	s.rec.add("searcher %s crashes while it runs %s, dark: %v", id, request, s.dark)
	if !s.dark {
		s.reset()
	}
	time.AfterFunc(3*heartbeat, func() { s.store.delete(kindSearchers, id) })
	time.AfterFunc(backAfter, func() {
		if s.dark {
			s.reset()
		}
		if err := s.start(); err != nil {
			s.rec.add("searcher of %s cannot start again: %v", s.service, err)
		}
	})
}

// reset closes the listener and resets all connections of the incarnation.
func (s *searcher) reset() {
	s.mu.Lock()
	listener, server, conns := s.listener, s.server, s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	_ = listener.Close()
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = server.Close()
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, slotFree, stopped, leaving := s.id, s.slotFree, s.stopped, s.leaving
	s.mu.Unlock()
	select {
	case <-stopped: // a dark machine does not answer
		<-r.Context().Done()
		return
	default:
	}
	request := r.Header.Get("X-Request-Id")
	if leaving {
		w.Header().Set(wire.LeavingHeader, "1")
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", request)
	if want := r.Header.Get(wire.InstanceHeader); want != "" && want != id {
		w.Header().Set(wire.NotRunHeader, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case slotFree <- struct{}{}:
		defer func() { <-slotFree }()
	default:
		w.Header().Set(wire.NotRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.rec.add("runs %s at %s: %s %s, %d bytes, from %s", request, id, r.Method, r.RequestURI, len(body), r.RemoteAddr)
	s.onRun(arrival{request: request, searcher: id, at: time.Now()})
	if r.URL.Path == poisonPath && r.Header.Get("Authorization") == poisonCaller {
		select {
		case <-time.After(s.crashAfter):
		case <-r.Context().Done():
			return
		}
		s.onCrash(arrival{request: request, searcher: id, at: time.Now()})
		s.crash(request)
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	select {
	case <-stopped:
		<-r.Context().Done()
		return
	default:
	}
	content := fmt.Sprintf("%s by %s\n", request, id)
	w.Header().Set(wire.StampHeader, stamp(request, id, content))
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = io.WriteString(w, content)
}

// stamp returns the signature of a reply.
func stamp(request, id, content string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, request+"/"+id+"/"+content)
	return strconv.FormatUint(h.Sum64(), 16)
}
