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

var errUnexpectedData = errors.New("unexpected data on an idle connection")

// conn is a connection and the goroutine that reads from it. The mutex of the pool
// guards all fields except socket and reader.
type conn struct {
	pool        *Pool
	backend     *backend
	socket      net.Conn
	reader      *bufio.Reader
	call        *activeCall
	lastUsed    time.Time
	idleTimeout time.Duration
	closed      bool
	// counted is set while backend.open includes the connection, carriedCall once a
	// reply has been read from it.
	counted     bool
	carriedCall bool
}

// open starts to open a connection. The caller must hold p.mu.
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

// openFailed fails the call that has waited longest for a connection.
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

// scheduleReopen schedules opening the minimum number of connections again after
// a backoff delay. The caller must hold p.mu.
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

// nextCall assigns the longest waiting call to a free connection and returns it,
// or makes the connection idle. It returns false if it closed the connection.
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

// removeConn removes a closed connection from its backend. The caller must hold
// p.mu.
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

// close closes the socket, which ends the reading goroutine. The caller must hold
// the mutex of the pool.
func (c *conn) close() {
	c.closed = true
	_ = c.socket.Close() // the result of the call reports what was lost
}

// write sends a call. A large message is written in a separate goroutine.
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
	// The caller may be the goroutine that receives results, so OnResult could block.
	c.pool.tasks.Go(func() { c.pool.fail(t, failure, notRun, err) })
}

// readReplies reads replies until the connection is closed.
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
			continue // late reply to an earlier request; the reply to this call follows
		}
		if !c.deliver(t, outcome) {
			return
		}
	}
}

// currentCall returns the call of the connection. It closes an idle connection
// that has received data.
func (c *conn) currentCall(readable bool) *activeCall {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.call == nil && readable {
		c.close()
	}
	return c.call
}

// deliver reports a reply and frees the connection for the next call. It returns
// false if the connection was closed.
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
		p.OnResult(relay.CallFailed{Call: t.start.Call, Failure: model.FailureTruncated, Cause: "the reply has the id of another request"})
	} else if live {
		p.OnResult(relay.Replied{Call: t.start.Call, Reply: outcome.Reply})
	}
	next, ok := p.nextCall(c)
	if ok && next != nil {
		c.write(next)
	}
	return ok
}

// closeWithError closes the connection and fails its call.
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
