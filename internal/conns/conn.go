package conns

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

var errUnexpectedData = errors.New("bytes arrived on an idle connection")

// conn is a connection with a goroutine that reads it. Its fields but for
// socket and reader are guarded by the pool.
type conn struct {
	pool        *Pool
	backend     *backend
	socket      net.Conn
	reader      *bufio.Reader
	call        *activeCall
	lastUsed    time.Time
	idleTimeout time.Duration
	closed      bool
	// counted is set while the connection counts as open at its peer, worked once
	// it carried a call.
	counted     bool
	carriedCall bool
}

// open starts to open a connection. The caller holds the lock.
func (p *Pool) open(s *backend) {
	s.open++
	to := s.limits.Searcher
	p.tasks.Go(func() {
		socket, err := Dial(p.ctx, to.Address, p.ConnectTimeout)
		if err != nil {
			p.openFailed(s, err)
			return
		}
		p.OnOpened(to.ID)
		c := &conn{
			pool: p, backend: s, socket: socket, reader: bufio.NewReaderSize(socket, readBufferBytes),
			idleTimeout: p.IdleTime, lastUsed: time.Now(), counted: true,
		}
		if t, ok := p.nextCall(c); ok {
			if t != nil {
				c.write(t)
			}
			c.readReplies()
		}
	})
}

// openFailed fails the call that has waited longest for the connection.
func (p *Pool) openFailed(s *backend, err error) {
	p.mu.Lock()
	s.open--
	s.unusedConns++
	var t *activeCall
	if len(s.waiting) > 0 {
		t, s.waiting = s.waiting[0], s.waiting[1:]
	}
	if len(s.waiting) > 0 && s.open == 0 && !p.closed {
		p.open(s)
	}
	p.scheduleReopen(s)
	p.mu.Unlock()
	if t != nil {
		p.fail(t, model.FailureConnect, true, err)
	}
}

// reopen opens connections ahead of need again after a pause. The caller holds
// the lock.
func (p *Pool) scheduleReopen(s *backend) {
	if p.closed || !s.inUse || s.reopening || s.open >= s.limits.MinOpen {
		return
	}
	s.reopening = true
	time.AfterFunc(min(reopenDelay<<min(s.unusedConns, 10), reopenDelayMax), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.reopening = false
		p.openMinimum(s)
	})
}

// ready gives a free connection to a waiting call or makes it idle. It returns
// false if the connection was closed instead.
func (p *Pool) nextCall(c *conn) (*activeCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := c.backend
	c.call = nil
	switch {
	case c.closed || p.closed:
	case len(s.waiting) > 0:
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		p.assign(t, c)
		return t, true
	case s.inUse && s.open <= max(s.limits.MaxOpen, 1):
		c.lastUsed = time.Now()
		s.idle = append(s.idle, c)
		return nil, true
	}
	c.close()
	p.removeConn(c)
	return nil, false
}

// release takes a closed connection out of the count of its searcher. The
// caller holds the lock.
func (p *Pool) removeConn(c *conn) {
	s := c.backend
	for i, o := range s.idle {
		if o == c {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			break
		}
	}
	if c.counted {
		c.counted = false
		s.open--
	}
	if len(s.waiting) > s.open && s.open < max(s.limits.MaxOpen, 1) && !p.closed {
		p.open(s)
	}
	p.scheduleReopen(s)
}

// shut closes the socket. The goroutine that reads it notices.
func (c *conn) close() {
	c.closed = true
	_ = c.socket.Close() // what was lost with it is reported for its call
}

// write sends a call. A large message is written by a goroutine of its own.
func (c *conn) write(t *activeCall) {
	message := c.pool.codec.Append(nil, t.start)
	if len(message) > inlineWriteBytes {
		c.pool.tasks.Go(func() { c.writeMessage(t, message) })
		return
	}
	c.writeMessage(t, message)
}

func (c *conn) writeMessage(t *activeCall, message []byte) {
	n, err := c.socket.Write(message)
	if err == nil {
		return
	}
	failure, notRun := model.FailureLost, false
	if n == 0 {
		failure, notRun = model.FailureUnsent, true
	}
	c.pool.mu.Lock()
	c.close()
	c.pool.mu.Unlock()
	// The caller may be the goroutine that takes reports.
	c.pool.tasks.Go(func() { c.pool.fail(t, failure, notRun, err) })
}

// run reads replies until the connection ends.
func (c *conn) readReplies() {
	for {
		_, err := c.reader.Peek(1)
		t := c.currentCall(err == nil)
		if err == nil && t == nil {
			err = errUnexpectedData
		}
		if err != nil {
			c.closeWithError(t, model.FailureLost, err)
			return
		}
		outcome, err := c.pool.codec.Read(c.reader, t.start)
		if err != nil {
			c.closeWithError(t, model.FailureTruncated, err)
			return
		}
		if outcome.Interim {
			continue
		}
		if outcome.RequestID != "" && outcome.RequestID != t.start.Request && outcome.Reusable {
			continue // an answer to an earlier request; the one to this call follows
		}
		if !c.deliver(t, outcome) {
			return
		}
	}
}

// current returns the call of the connection. An idle connection with bytes is
// taken out of use.
func (c *conn) currentCall(readable bool) *activeCall {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.call == nil && readable {
		c.close()
	}
	return c.call
}

// deliver reports a reply and makes the connection free again. It returns false
// if the connection was closed.
func (c *conn) deliver(t *activeCall, outcome ReadResult) bool {
	p := c.pool
	mismatched := outcome.RequestID != "" && outcome.RequestID != t.start.Request
	p.mu.Lock()
	_, live := p.active[t.start.Call]
	delete(p.active, t.start.Call)
	c.carriedCall, c.backend.unusedConns = true, 0
	if outcome.IdleTimeout > 0 {
		c.idleTimeout = max(outcome.IdleTimeout-idleMargin, 0)
	}
	if mismatched || !outcome.Reusable || c.reader.Buffered() > 0 {
		c.close()
	}
	p.mu.Unlock()
	if live && mismatched {
		p.OnResult(relay.CallFailed{Call: t.start.Call, Failure: model.FailureTruncated, Cause: "the reply is for another request"})
	} else if live {
		p.OnResult(relay.Replied{Call: t.start.Call, Reply: outcome.Reply})
	}
	next, ok := p.nextCall(c)
	if ok && next != nil {
		c.write(next)
	}
	return ok
}

// end closes the connection and fails its call.
func (c *conn) closeWithError(t *activeCall, failure model.Failure, err error) {
	p := c.pool
	p.mu.Lock()
	if !c.closed && !c.carriedCall {
		c.backend.unusedConns++
	}
	c.close()
	p.removeConn(c)
	p.mu.Unlock()
	if t != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the searcher closed the connection")
		}
		p.fail(t, failure, false, err)
	}
}
