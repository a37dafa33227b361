package intake

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// descriptorShare is the part of a process's descriptors, less reservedDescriptors for
	// files, that the connections of callers may take; the others are for searchers,
	// peers and the store. closingShare is the part of these connections that may be open
	// beyond their limit while they are being closed.
	descriptorShare     = 3
	reservedDescriptors = 200
	closingShare        = 2
	minConns            = 16
	// maxDescriptors stands for an unlimited number.
	maxDescriptors = 1 << 20
)

// MaxConns returns the number of connections for callers of a process that may open the
// given number of descriptors; zero stands for the limit of the operating system.
func MaxConns(descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors <= 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, maxDescriptors))
	}
	if descriptors <= 0 {
		return DefaultMaxConns
	}
	return max((descriptors-reservedDescriptors)/descriptorShare, minConns)
}

// past is a deadline that ends reads and writes in progress.
var past = time.Unix(1, 0)

// Listener returns a listener whose connections count for the limiter. Accept cuts off
// the connection that has held most for longest if there are too many, and waits while
// those that were cut off are being closed.
func (l *Limiter) Listener(next net.Listener) net.Listener {
	return &listener{Listener: next, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (a *listener) Accept() (net.Conn, error) {
	next, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: next, limiter: a.limiter}
	c.factor.Store(headFactor)
	a.limiter.admit(c)
	return c, nil
}

// Close implements net.Listener. It ends an Accept that waits.
func (a *listener) Close() error {
	err := a.Listener.Close()
	a.limiter.endWaits()
	return err
}

// admit adds a connection.
func (l *Limiter) admit(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	if l.holdings.Len() >= l.maxConns {
		if h, ok := l.holdings.Revoke(time.Now()); ok {
			l.cut([]holder{h})
		}
	}
	l.cut(l.holdings.Grow(c, connBytes, time.Now()))
	// Connections that were cut off stay open until their handlers have returned.
	for l.open > l.maxConns+l.maxConns/closingShare && !l.ended {
		l.closed.Wait()
	}
}

// endWaits lets connections in without a wait from now on.
func (l *Limiter) endWaits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.closed.Broadcast()
}

// Conn is a connection that counts for a limiter.
type Conn struct {
	net.Conn
	limiter *Limiter
	// factor is the memory that a byte takes; zero in HTTP/2, whose streams are counted
	// one by one.
	factor atomic.Int64
	// started is set once the connection was read. Only its reader uses it.
	started bool
	// cutDone is set once the connection was cut off. The mutex orders it with changes of
	// the read deadline.
	mu      sync.Mutex
	cutDone bool
	// writing is set during a write that can be cut off.
	writing bool
	closing sync.Once
}

// Read implements net.Conn.
func (c *Conn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	if !c.started && n > 0 {
		c.started = true
		if c.limiter.UnencryptedHTTP2 && bytes.HasPrefix(to[:n], []byte(http2Preface)) {
			c.factor.Store(0)
		}
	}
	if factor := int(c.factor.Load()); n > 0 && factor > 0 && !c.limiter.grow(c, n*factor) {
		return 0, ErrCutOff
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.wasCutOff() {
		return n, ErrCutOff
	}
	return n, err
}

// Write implements net.Conn. It fails if the caller does not take the bytes in time. A
// large write counts as long as it lasts, and can be cut off.
func (c *Conn) Write(from []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limiter.WriteTimeout)); err != nil {
		return 0, err
	}
	if len(from) <= smallWriteBytes {
		return c.Conn.Write(from)
	}
	c.setWriting(true)
	defer c.setWriting(false)
	if !c.limiter.beginWrite(c, len(from)) {
		return 0, ErrCutOff
	}
	n, err := c.Conn.Write(from)
	c.limiter.grow(c, -len(from))
	return n, err
}

func (c *Conn) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn. A connection that was cut off keeps its deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cutDone {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() {
		l := c.limiter
		l.mu.Lock()
		defer l.mu.Unlock()
		l.holdings.Remove(c)
		l.open--
		l.closed.Broadcast()
	})
	return err
}

// cutOff ends a read or a large write in progress and all later reads. Small answers can
// still be written.
func (c *Conn) cutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutDone = true
	_ = c.Conn.SetReadDeadline(past) // fails on a closed connection only
	if c.writing {
		_ = c.SetWriteDeadline(past)
	}
}

func (c *Conn) wasCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutDone
}
