// Package intake bounds the memory and the connections that the callers of a server hold
// together, whatever they send and however long they take.
//
// A connection holds memory from its opening on, and more with each byte of a request
// until the answer. If all of them hold too much, or are too many, those that have held
// most for longest are cut off first; requests that have arrived in full are not. A body
// also has a time limit.
//
// # Usage
//
//	l := intake.NewLimiter(maxBytes, maxConns)
//	server := &http.Server{
//		Handler: l.Handler(handler), ConnContext: l.ConnContext, ConnState: l.ConnState,
//	}
//	server.Serve(l.Listener(listener))
package intake

import (
	"errors"
	"sync"
	"time"

	"toucanpulley.example/internal/policy"
)

const (
	// DefaultMaxBytes is the memory of requests on a machine that is not described.
	DefaultMaxBytes = 64 << 20
	// DefaultMaxConns is the number of connections without a known limit of descriptors.
	DefaultMaxConns = 4096
	// DefaultBodyTimeout bounds the time for a body. The time budgets of requests are
	// far shorter.
	DefaultBodyTimeout = time.Minute
	// DefaultWriteTimeout bounds the time in which a caller takes a write.
	DefaultWriteTimeout = time.Minute
	// connBytes is the memory of an open connection: stacks, buffers and the request.
	connBytes = 16 << 10
	// http2Preface begins each connection of HTTP/2 (RFC 9113, section 3.4).
	http2Preface = "PRI * HTTP/2.0"
	// headFactor and bodyFactor are the bytes of memory that one byte of a head and of a
	// body takes: parsed headers take many times their size, and a buffer that grows is
	// copied.
	headFactor = 8
	bodyFactor = 2
	// smallWriteBytes is the size up to which a write is not counted; sockets take most of
	// them at once.
	smallWriteBytes = 32 << 10
	// smallBytes is the memory of a request up to which the part that is reserved for
	// small ones is open to it: a usual head and a short body.
	smallBytes = connBytes + 4<<10*headFactor
)

// ErrCutOff is the error of a read from a connection that was cut off.
var ErrCutOff = errors.New("the requests in progress take too much memory, and this one has held most for longest")

// holder is a connection or a body that can be cut off.
type holder interface{ cutOff() }

// Limiter bounds the memory and the connections of the callers of a server. Exported
// fields must be set before the first connection. It is safe for concurrent use.
type Limiter struct {
	// BodyTimeout and WriteTimeout default to the constants above.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration
	// UnencryptedHTTP2 is set if the server accepts HTTP/2 without TLS.
	UnencryptedHTTP2 bool
	// OnCutOff is called for each connection or body that is cut off. It must not block.
	OnCutOff func()

	maxConns int
	mu       sync.Mutex
	holdings *policy.Holdings[holder]
	// open counts the connections that are not closed yet; closed is signalled when one
	// is closed.
	open   int
	closed *sync.Cond
	// ended is set once the listener is closed.
	ended bool
}

// NewLimiter returns a limiter for the given bytes of memory and number of connections.
func NewLimiter(maxBytes, maxConns int) *Limiter {
	l := &Limiter{
		BodyTimeout: DefaultBodyTimeout, WriteTimeout: DefaultWriteTimeout, OnCutOff: func() {},
		maxConns: maxConns, holdings: policy.NewHoldings[holder](maxBytes, smallBytes),
	}
	l.closed = sync.NewCond(&l.mu)
	return l
}

// Held returns the bytes of memory that all requests hold, as estimated.
func (l *Limiter) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings.Total()
}

// Hold takes memory for a message of another host until release is called. It reports
// false if there is none left for it.
func (l *Limiter) Hold(bytes int) (release func(), ok bool) {
	m := &message{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut(l.holdings.Grow(m, bytes*bodyFactor, time.Now()))
	if !l.holdings.Pin(m) {
		return nil, false
	}
	return func() { l.remove(m) }, true
}

// message is a message of another host, which is held in full when it is added. Its field
// gives each message an address of its own.
type message struct{ _ byte }

func (*message) cutOff() {}

// grow raises the memory of a holder. It reports false if the holder was cut off.
func (l *Limiter) grow(h holder, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.holdings.Has(h) {
		return false
	}
	l.cut(l.holdings.Grow(h, bytes, time.Now()))
	return l.holdings.Has(h)
}

// cut cuts off revoked holders. The caller must hold the mutex.
func (l *Limiter) cut(revoked []holder) {
	for _, h := range revoked {
		h.cutOff()
		l.OnCutOff()
	}
}

// begin adds a holder without memory.
func (l *Limiter) begin(h holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut(l.holdings.Grow(h, 0, time.Now()))
}

// beginWrite counts the bytes of an answer, which can be cut off from now on.
func (l *Limiter) beginWrite(c *Conn, bytes int) bool {
	l.mu.Lock()
	l.holdings.Unpin(c, time.Now())
	l.mu.Unlock()
	return l.grow(c, bytes)
}

func (l *Limiter) pin(h holder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings.Pin(h)
}

func (l *Limiter) restart(h holder, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings.Restart(h, bytes, time.Now())
}

func (l *Limiter) remove(h holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holdings.Remove(h)
}
