package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of a caller that leaves early.
const (
	// crashAfter is how long a searcher runs the request before it crashes.
	crashAfter = 150 * time.Millisecond
	// leaveAfter is when the caller leaves: within half the target of 500 ms.
	leaveAfter = 100 * time.Millisecond
	// leavingSpan is how long the caller leaves early, and leavingRate the number of
	// its attempts in a second.
	leavingSpan = 8 * time.Second
	leavingRate = 2
	// patientSpan is how long the caller goes on and waits for its answers.
	patientSpan = 4 * time.Second
)

// impatientCaller: a request crashes each searcher that begins to run it, and comes again.
// Its caller leaves before its time budget.
func impatientCaller(s *site, trouble bool) (bool, error) {
	c := newCrashes(s, crashAfter)
	for slot := range 12 {
		if err := c.startSearcher(slot); err != nil {
			return false, err
		}
	}
	if err := c.startHosts([]int{0, 1, 2}); err != nil {
		return false, err
	}
	leavesUntil := time.Now().Add(leavingSpan)
	end := leavesUntil.Add(patientSpan)
	var clients sync.WaitGroup
	clients.Go(func() { c.sendOthers(end) })
	clients.Go(func() {
		pace(leavingRate, end, func(n int) {
			a := &attempt{id: newRequestID(), method: http.MethodGet, path: crashPath, host: s.hosts[n%crashHosts].entry, budget: 8 * time.Second}
			if trouble && time.Now().Before(leavesUntil) {
				a.sendAndClose(leaveAfter)
				s.record.add("client of the request that crashes searchers: sent %s to %s and left after %v: %v", a.id, a.host, leaveAfter, a.err)
				return
			}
			a.send()
			s.record.add("client of the request that crashes searchers: %v", a)
		})
	})
	clients.Wait()
	return c.result(), nil
}

// sendAndClose sends the attempt and closes the connection after the given time.
func (a *attempt) sendAndClose(after time.Duration) {
	c, err := net.DialTimeout("tcp", a.host, time.Second)
	if err != nil {
		a.err = err
		return
	}
	_, a.err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\n\r\n", a.method, a.path, hostName, a.id, wire.Deadline, a.budget.Milliseconds())
	time.Sleep(after)
	_ = c.Close()
}
