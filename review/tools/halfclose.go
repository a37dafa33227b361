package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of leaving clients.
const (
	leavingShare = 0.2 // of the clients leave before their time budget, as give_up of the site
	leavingAfter = 40 * time.Millisecond
	// lingerTime is how long a client that leaves waits for the host to close its side.
	lingerTime = time.Second
)

// leavingClients: a part of the clients leave before their answer. They end their sending
// side first and read until the host closes the connection, so that the close is orderly.
// What they read must not be a success without a searcher's stamp.
func leavingClients(s *site, trouble bool) (bool, error) {
	for i := range 3 {
		x := &searcher{id: fmt.Sprintf("i-desk-%d", i), service: "hearing-room", zone: zones[i%len(zones)], slots: 6, queue: 24}
		x.serve = func(r *http.Request, _ []byte) reply {
			time.Sleep(120 * time.Millisecond)
			s.record.add("searcher %s ran %s", x.id, r.Header.Get("X-Request-Id"))
			return reply{status: 200, header: []string{x.stamp(r)}, body: []byte("done")}
		}
		if err := s.addSearcher(x); err != nil {
			return false, err
		}
	}
	s.manifest(1, newServices("hearing-room"), newRoute("file", kindUnsafe, "hearing-room", 4*time.Second, 500*time.Millisecond))
	for i := range 3 {
		if _, err := s.startHost(i, []int{0, 1, 2}); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	var mu sync.Mutex
	served, left, unstamped := 0, 0, 0
	pace(20, time.Now().Add(8*time.Second), func(n int) {
		a := &attempt{id: newRequestID(), method: http.MethodPost, path: fmt.Sprintf("/file/%d", n), host: s.hosts[n%3].entry, body: []byte("file"), budget: 8 * time.Second}
		leaves := trouble && n%int(1/leavingShare) == 0
		if leaves {
			a.sendAndLeave()
		} else {
			a.send()
		}
		s.record.add("client, leaves %v: %v, stamp %q, %d bytes", leaves, a, a.header.Get(wire.Stamp), len(a.answer))
		mu.Lock()
		defer mu.Unlock()
		if leaves {
			left++
		}
		if a.status >= 200 && a.status < 300 {
			served++
			if a.header.Get(wire.Stamp) == "" {
				unstamped++
				s.record.add("SUCCESS WITHOUT STAMP: %s", a.id)
			}
		}
	})
	s.record.say("%d clients left; %d successes, %d of them without a searcher's stamp", left, served, unstamped)
	return unstamped > 0, nil
}

// sendAndLeave sends the attempt, ends the sending side of the connection after a short
// time, and reads what the host still sends until it closes its side.
func (a *attempt) sendAndLeave() {
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	c, err := net.DialTimeout("tcp", a.host, time.Second)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = c.Close() }()
	_, a.err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		a.method, a.path, hostName, a.id, wire.Deadline, a.budget.Milliseconds(), len(a.body), a.body)
	if a.err != nil {
		return
	}
	time.Sleep(leavingAfter)
	if a.err = c.(*net.TCPConn).CloseWrite(); a.err != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	if a.answer, a.err = io.ReadAll(response.Body); a.err == nil {
		a.status, a.header = response.StatusCode, response.Header
	}
}
