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

var errUnsolicited = errors.New("bytes arrived on an idle connection")

// conn is a connection with a goroutine that reads it. Its fields but for
// socket and reader are guarded by the pool.
type conn struct {
	pool     *Pool
	peer     *peer
	socket   net.Conn
	reader   *bufio.Reader
	transfer *transfer
	usedAt   time.Time
	keep     time.Duration
	shutdown bool
	// counted is set while the connection counts as open at its peer, worked once
	// it carried a call.
	counted bool
	worked  bool
}

// open starts to open a connection. The caller holds the lock.
func (p *Pool) open(s *peer) {
	s.open++
	to := s.limits.Searcher
	p.wait.Go(func() {
		socket, err := Dial(p.ctx, to.Address, p.ConnectTimeout)
		if err != nil {
			p.openFailed(s, err)
			return
		}
		p.Opened(to.ID)
		c := &conn{
			pool: p, peer: s, socket: socket, reader: bufio.NewReaderSize(socket, readBuffer),
			keep: p.IdleTime, usedAt: time.Now(), counted: true,
		}
		if t, ok := p.ready(c); ok {
			if t != nil {
				c.write(t)
			}
			c.run()
		}
	})
}

// openFailed fails the call that has waited longest for the connection.
func (p *Pool) openFailed(s *peer, err error) {
	p.mu.Lock()
	s.open--
	s.wasted++
	var t *transfer
	if len(s.waiting) > 0 {
		t, s.waiting = s.waiting[0], s.waiting[1:]
	}
	if len(s.waiting) > 0 && s.open == 0 && !p.closed {
		p.open(s)
	}
	p.reopen(s)
	p.mu.Unlock()
	if t != nil {
		p.fail(t, model.FailureConnect, true, err)
	}
}

// reopen opens connections ahead of need again after a pause. The caller holds
// the lock.
func (p *Pool) reopen(s *peer) {
	if p.closed || !s.used || s.reopening || s.open >= s.limits.Ahead {
		return
	}
	s.reopening = true
	time.AfterFunc(min(reopenDelay<<min(s.wasted, 10), reopenMost), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		s.reopening = false
		p.openAhead(s)
	})
}

// ready gives a free connection to a waiting call or makes it idle. It returns
// false if the connection was closed instead.
func (p *Pool) ready(c *conn) (*transfer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := c.peer
	c.transfer = nil
	switch {
	case c.shutdown || p.closed:
	case len(s.waiting) > 0:
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		p.assign(t, c)
		return t, true
	case s.used && s.open <= max(s.limits.Most, 1):
		c.usedAt = time.Now()
		s.idle = append(s.idle, c)
		return nil, true
	}
	c.shut()
	p.release(c)
	return nil, false
}

// release takes a closed connection out of the count of its searcher. The
// caller holds the lock.
func (p *Pool) release(c *conn) {
	s := c.peer
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
	if len(s.waiting) > s.open && s.open < max(s.limits.Most, 1) && !p.closed {
		p.open(s)
	}
	p.reopen(s)
}

// shut closes the socket. The goroutine that reads it notices.
func (c *conn) shut() {
	c.shutdown = true
	_ = c.socket.Close() // what was lost with it is reported for its call
}

// write sends a call. A large message is written by a goroutine of its own.
func (c *conn) write(t *transfer) {
	message := c.pool.codec.Append(nil, t.call)
	if len(message) > inlineWrite {
		c.pool.wait.Go(func() { c.send(t, message) })
		return
	}
	c.send(t, message)
}

func (c *conn) send(t *transfer, message []byte) {
	n, err := c.socket.Write(message)
	if err == nil {
		return
	}
	failure, notRun := model.FailureLost, false
	if n == 0 {
		failure, notRun = model.FailureUnsent, true
	}
	c.pool.mu.Lock()
	c.shut()
	c.pool.mu.Unlock()
	// The caller may be the goroutine that takes reports.
	c.pool.wait.Go(func() { c.pool.fail(t, failure, notRun, err) })
}

// run reads replies until the connection ends.
func (c *conn) run() {
	for {
		_, err := c.reader.Peek(1)
		t := c.current(err == nil)
		if err == nil && t == nil {
			err = errUnsolicited
		}
		if err != nil {
			c.end(t, model.FailureLost, err)
			return
		}
		outcome, err := c.pool.codec.Read(c.reader, t.call)
		if err != nil {
			c.end(t, model.FailureTruncated, err)
			return
		}
		if outcome.Interim {
			continue
		}
		if outcome.Echo != "" && outcome.Echo != t.call.Request && outcome.Reusable {
			continue // an answer to an earlier request; the one to this call follows
		}
		if !c.deliver(t, outcome) {
			return
		}
	}
}

// current returns the call of the connection. An idle connection with bytes is
// taken out of use.
func (c *conn) current(readable bool) *transfer {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.transfer == nil && readable {
		c.shut()
	}
	return c.transfer
}

// deliver reports a reply and makes the connection free again. It returns false
// if the connection was closed.
func (c *conn) deliver(t *transfer, outcome Outcome) bool {
	p := c.pool
	crossed := outcome.Echo != "" && outcome.Echo != t.call.Request
	p.mu.Lock()
	_, live := p.active[t.call.Call]
	delete(p.active, t.call.Call)
	c.worked, c.peer.wasted = true, 0
	if outcome.Idle > 0 {
		c.keep = max(outcome.Idle-idleMargin, 0)
	}
	if crossed || !outcome.Reusable || c.reader.Buffered() > 0 {
		c.shut()
	}
	p.mu.Unlock()
	if live && crossed {
		p.Report(relay.CallFailed{Call: t.call.Call, Failure: model.FailureTruncated, Cause: "the reply is for another request"})
	} else if live {
		p.Report(relay.Replied{Call: t.call.Call, Reply: outcome.Reply})
	}
	next, ok := p.ready(c)
	if ok && next != nil {
		c.write(next)
	}
	return ok
}

// end closes the connection and fails its call.
func (c *conn) end(t *transfer, failure model.Failure, err error) {
	p := c.pool
	p.mu.Lock()
	if !c.shutdown && !c.worked {
		c.peer.wasted++
	}
	c.shut()
	p.release(c)
	p.mu.Unlock()
	if t != nil {
		if errors.Is(err, io.EOF) {
			err = errors.New("the searcher closed the connection")
		}
		p.fail(t, failure, false, err)
	}
}
