package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Uint64

// newRequestID returns an id for one client attempt.
func newRequestID() string { return fmt.Sprintf("%016x", lastRequest.Add(1)) }

// get sends a GET request on a new connection.
func get(address, path string, timeout time.Duration) (int, []byte, error) {
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// attempt is one client attempt and its outcome.
type attempt struct {
	id, method, path, host string
	body                   []byte
	budget                 time.Duration

	// sent is when the last byte of the request was written.
	sent time.Time
	// took is the time until the complete answer, or until the client gave up.
	took   time.Duration
	status int
	header http.Header
	answer []byte
	err    error
}

// send sends the attempt on a new connection and waits for the answer until the time
// budget is over.
func (a *attempt) send() {
	start := time.Now()
	a.sent = start
	defer func() { a.took = time.Since(a.sent) }()
	c, err := net.DialTimeout("tcp", a.host, time.Second)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(start.Add(a.budget))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n%s: %d\r\n", a.method, a.path, hostName, a.id, wire.Deadline, a.budget.Milliseconds())
	if a.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(a.body))
	}
	head.WriteString("\r\n")
	if _, a.err = c.Write(append([]byte(head.String()), a.body...)); a.err != nil {
		return
	}
	a.sent = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: a.method})
	if err != nil {
		a.err = err
		return
	}
	if a.answer, a.err = io.ReadAll(response.Body); a.err == nil {
		a.status, a.header = response.StatusCode, response.Header
	}
}

func (a *attempt) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s %s %s at %s: no answer after %d ms: %v", a.id, a.method, a.path, a.host, a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%s %s %s at %s: status %d after %d ms", a.id, a.method, a.path, a.host, a.status, a.took.Milliseconds())
}

// pace calls f at the given rate until the end, each call on its own goroutine, and waits
// for all calls.
func pace(perSecond float64, end time.Time, f func(n int)) {
	done := make(chan struct{})
	interval := time.Duration(float64(time.Second) / perSecond)
	calls := 0
	for next := time.Now(); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		n := calls
		calls++
		go func() {
			f(n)
			done <- struct{}{}
		}()
	}
	for range calls {
		<-done
	}
}
