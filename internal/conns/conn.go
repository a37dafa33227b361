package conns

import (
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

var errUnexpectedData = errors.New("unexpected data on an idle connection")

// conn is a connection and the goroutine that reads from it. The mutex of the pool
// guards all fields except socket, raw and reader.
type conn struct {
	pool        *Pool
	backend     *backend
	socket      net.Conn
	raw         syscall.RawConn
	reader      *ReplyReader
	call        *activeCall
	lastUsed    time.Time
	idleTimeout time.Duration
	closed      bool
	// counted is set while backend.open includes the connection, carriedCall once a
	// reply has been read from it.
	counted     bool
	carriedCall bool
	// writing is set from the start of a call until its request has been written.
	writing bool
}

// open starts to open a connection. The caller must hold p.mu.
func (p *Pool) open(b *backend) {
	b.open++
	searcher := b.limits.Searcher
	p.tasks.Go(func() {
		socket, err := Dial(p.ctx, searcher.Address, p.ConnectTimeout)
		if err != nil {
			p.openFailed(b, err)
			return
		}
		p.OnOpened(searcher.ID)
		c := &conn{
			pool: p, backend: b, socket: socket, raw: rawConn(socket),
			reader:      newReplyReader(socket, p.replies, func() { _ = socket.Close() }), // the read reports why
			idleTimeout: p.IdleTime, lastUsed: time.Now(), counted: true,
		}
		if a, ok := p.nextCall(c); ok {
			if a != nil {
				c.write(a)
			}
			c.readReplies()
		}
	})
}

// openFailed fails the call that has waited longest for a connection.
func (p *Pool) openFailed(b *backend, err error) {
	p.mu.Lock()
	b.open--
	b.unusedConns++
	var a *activeCall
	if len(b.waiting) > 0 {
		a, b.waiting = b.waiting[0], b.waiting[1:]
	}
	if len(b.waiting) > 0 && b.open == 0 && !p.closed {
		p.open(b)
	}
	p.scheduleReopen(b)
	p.mu.Unlock()
	if a != nil {
		p.fail(a, model.FailureConnect, true, err)
	}
}

// scheduleReopen schedules opening the minimum number of connections again after
// a backoff delay. The caller must hold p.mu.
func (p *Pool) scheduleReopen(b *backend) {
	if p.closed || !b.inUse || b.reopening || b.open >= b.limits.MinOpen {
		return
	}
	b.reopening = true
	time.AfterFunc(min(reopenDelay<<min(b.unusedConns, 10), reopenDelayMax), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		b.reopening = false
		p.openMinimum(b)
	})
}

// nextCall assigns the longest waiting call to a free connection and returns it,
// or makes the connection idle. It returns false if it closed the connection.
func (p *Pool) nextCall(c *conn) (*activeCall, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := c.backend
	c.call = nil
	switch {
	case c.closed || p.closed:
	case len(b.waiting) > 0:
		a := b.waiting[0]
		b.waiting = b.waiting[1:]
		p.assign(a, c)
		return a, true
	case b.inUse && !b.limits.OnDemand && b.open <= max(b.limits.MaxOpen, 1):
		c.lastUsed = time.Now()
		b.idle = append(b.idle, c)
		return nil, true
	}
	c.close()
	p.removeConn(c)
	return nil, false
}

// removeConn removes a closed connection from its backend. The caller must hold
// p.mu.
func (p *Pool) removeConn(c *conn) {
	b := c.backend
	isClosed := func(o *conn) bool { return o == c }
	b.idle, b.lingering = slices.DeleteFunc(b.idle, isClosed), slices.DeleteFunc(b.lingering, isClosed)
	if c.counted {
		c.counted = false
		b.open--
	}
	if len(b.waiting) > b.open && b.open < max(b.limits.MaxOpen, 1) && !p.closed {
		p.open(b)
	}
	p.scheduleReopen(b)
}

// close closes the socket, which ends the reading goroutine. The caller must hold
// the mutex of the pool.
func (c *conn) close() {
	c.closed = true
	_ = c.socket.Close() // the result of the call reports what was lost
}

// readReplies reads replies until the connection is closed.
func (c *conn) readReplies() {
	defer c.reader.endCall()
	for {
		c.reader.beginReply()
		_, err := c.reader.Peek(1)
		a := c.currentCall(err == nil)
		if err == nil && a == nil {
			err = errUnexpectedData
		}
		if err != nil {
			failure := model.FailureLost
			if exceedsLimit(err) {
				failure = model.FailureTruncated
			}
			c.closeWithError(a, failure, err)
			return
		}
		result, err := c.pool.codec.Read(c.reader, a.start)
		if err != nil {
			c.closeWithError(a, model.FailureTruncated, err)
			return
		}
		if result.Interim {
			continue
		}
		if result.RequestID != "" && result.RequestID != a.start.Request && result.Reusable {
			continue // late reply to an earlier request; the reply to this call follows
		}
		c.reader.endCall()
		if !c.deliver(a, result) {
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

// deliver reports a reply and frees the connection for the next call. If its request is
// still being written, the connection lingers until the write ends, or is closed if
// other calls wait for one. It returns false if the connection was closed.
func (c *conn) deliver(a *activeCall, result ReadResult) bool {
	p := c.pool
	// A reply without an id may be a second copy of the reply to an earlier call.
	mismatched := result.RequestID != a.start.Request
	p.mu.Lock()
	_, live := p.active[a.start.Call]
	delete(p.active, a.start.Call)
	c.carriedCall, c.backend.unusedConns = true, 0
	if result.IdleTimeout > 0 {
		c.idleTimeout = max(result.IdleTimeout-idleMargin, 0)
	}
	unusable := mismatched || !result.Reusable || c.reader.Buffered() > 0 || c.reader.cutOff()
	lingers := c.writing && !unusable && len(c.backend.waiting) == 0
	switch {
	case lingers:
		c.linger()
	case unusable || c.writing:
		c.close()
	}
	p.mu.Unlock()
	if live && mismatched {
		p.OnResult(relay.CallFailed{Call: a.start.Call, Failure: model.FailureTruncated, Cause: "the reply does not have the id of the request"})
	} else if live {
		p.OnResult(relay.Replied{Call: a.start.Call, Reply: result.Reply})
	}
	return lingers || c.free()
}

// free makes the connection available for the next call. It returns false if the
// connection was closed.
func (c *conn) free() bool {
	next, ok := c.pool.nextCall(c)
	if ok && next != nil {
		c.write(next)
	}
	return ok
}

// closeWithError closes the connection and fails its call.
func (c *conn) closeWithError(a *activeCall, failure model.Failure, err error) {
	p := c.pool
	p.mu.Lock()
	if !c.closed && !c.carriedCall {
		c.backend.unusedConns++
	}
	c.close()
	p.removeConn(c)
	p.mu.Unlock()
	if a != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the searcher closed the connection")
		}
		p.fail(a, failure, false, err)
	}
}
