package conns

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"toucanpulley.example/internal/model"
)

// joinedBodyBytes is the size up to which a body is copied behind the head, to send both
// with one system call. Copies of larger ones, one for each call of a request, would take
// many times the memory of the request.
const joinedBodyBytes = 4 << 10

// rawConn returns the file descriptor of a connection, or nil if it has none.
func rawConn(c net.Conn) syscall.RawConn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// write sends a call and never waits for the searcher: the goroutine of the traffic lane
// calls it. What the socket does not take at once is written in a goroutine of its own.
func (c *conn) write(a *activeCall) {
	head, body := c.pool.codec.Encode(a.start)
	if len(body) <= joinedBodyBytes {
		head, body = append(head, body...), nil
	}
	n, err := c.writeAvailable(head)
	if err == nil && n == len(head) && len(body) > 0 {
		var m int
		m, err = c.writeAvailable(body)
		n += m
	}
	if err == nil && n < len(head)+len(body) {
		c.pool.tasks.Go(func() {
			unsent := net.Buffers{head[min(n, len(head)):], body[max(n-len(head), 0):]}
			unsent = slices.DeleteFunc(unsent, func(b []byte) bool { return len(b) == 0 })
			rest, err := unsent.WriteTo(c.socket)
			c.writeEnded(a, n+int(rest), err)
		})
		return
	}
	c.writeEnded(a, n, err)
}

// writeAvailable writes the part of a message that the socket takes without waiting.
func (c *conn) writeAvailable(message []byte) (int, error) {
	if c.raw == nil {
		return 0, nil
	}
	n, writeErr := 0, error(nil)
	err := c.raw.Write(func(fd uintptr) bool {
		n, writeErr = unix.Write(int(fd), message)
		return true // do not wait until the socket is writable
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(writeErr, unix.EAGAIN) || errors.Is(writeErr, unix.EINTR):
		return 0, nil
	case writeErr != nil:
		return 0, os.NewSyscallError("write", writeErr)
	}
	return n, nil
}

// linger keeps a connection whose reply came before its request was written. The end of
// the write frees it. The caller must hold the mutex of the pool.
func (c *conn) linger() {
	c.call = nil
	c.backend.lingering = append(c.backend.lingering, c)
	_ = c.socket.SetWriteDeadline(time.Now().Add(c.pool.UnreadRequestTime)) // fails on a closed socket only
}

// closeLingering closes the connection that has lingered longest, if any, and allows a
// replacement. The caller must hold the mutex of the pool.
func (b *backend) closeLingering() {
	if len(b.lingering) == 0 {
		return
	}
	c := b.lingering[0]
	b.lingering = b.lingering[1:]
	c.close()
	c.counted = false
	b.open--
}

// writeEnded handles the end of a request's write, of which n bytes were written. It
// frees a lingering connection.
func (c *conn) writeEnded(a *activeCall, n int, err error) {
	p := c.pool
	p.mu.Lock()
	c.writing = false
	i := slices.Index(c.backend.lingering, c)
	if i >= 0 {
		c.backend.lingering = slices.Delete(c.backend.lingering, i, i+1)
	}
	if err != nil {
		c.close()
	}
	p.mu.Unlock()
	switch {
	case err != nil:
		failure, notRun := model.FailureLost, false
		if n == 0 {
			failure, notRun = model.FailureUnsent, true
		}
		// The caller may be the goroutine that receives results, so OnResult could
		// block.
		p.tasks.Go(func() { p.fail(a, failure, notRun, err) })
	case i >= 0:
		_ = c.socket.SetWriteDeadline(time.Time{}) // fails on a closed socket only
		c.free()
	}
}
