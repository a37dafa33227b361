package intake

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// connKey is the context key of a request's connection.
type connKey struct{}

// ConnContext adds a connection of the listener to the context of its requests.
func (l *Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, connOf(c))
}

// connOf returns the connection of the listener below another one; nil if there is none.
func connOf(c net.Conn) *Conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	counted, _ := c.(*Conn)
	return counted
}

// ConnState counts the memory of a connection anew once its request has ended. A
// connection of HTTP/2 is not cut off while it carries requests, since some of them may
// have arrived in full.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	counted := connOf(c)
	if counted == nil || state != http.StateIdle && state != http.StateActive {
		return
	}
	if t, ok := c.(*tls.Conn); ok && t.ConnectionState().NegotiatedProtocol == "h2" {
		counted.factor.Store(0)
	}
	multiplexed := counted.factor.Load() == 0
	switch {
	case state == http.StateIdle:
		if !multiplexed {
			counted.factor.Store(headFactor)
		}
		l.restart(counted, connBytes)
	case multiplexed:
		l.pin(counted)
	}
}

// Handler counts the bodies of requests. The next handler gets ErrCutOff from a body
// that was cut off, and os.ErrDeadlineExceeded from one that took too long; both are
// certain not to have arrived in full.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(connKey{}).(*Conn)
		if r.Body == nil || r.Body == http.NoBody {
			if c != nil && r.ProtoMajor == 1 && !l.pin(c) {
				refuse(w)
				return
			}
			next.ServeHTTP(w, r)
			return
		}
		b := &body{ReadCloser: r.Body, limiter: l, control: http.NewResponseController(w)}
		if c != nil && r.ProtoMajor == 1 {
			c.factor.Store(bodyFactor)
			b.holder = c
		} else {
			b.holder, b.counts = b, true
			l.begin(b)
			defer l.remove(b)
		}
		_ = b.control.SetReadDeadline(time.Now().Add(l.BodyTimeout)) // unsupported by test recorders only
		r.Body = b
		next.ServeHTTP(w, r)
	})
}

// refuse answers a request whose connection was cut off before the handler began. The
// handler would take the cut for a caller that has left, when it may have passed the
// request on.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", "1")
	http.Error(w, ErrCutOff.Error(), http.StatusServiceUnavailable)
}

// body counts the bytes of a body, or tells its connection when it has ended.
type body struct {
	io.ReadCloser
	limiter *Limiter
	control *http.ResponseController
	// holder is the connection in HTTP/1.1, whose reads are counted, and the body itself
	// otherwise.
	holder holder
	counts bool
	cut    atomic.Bool
}

// Read implements io.Reader.
func (b *body) Read(to []byte) (int, error) {
	n, err := b.ReadCloser.Read(to)
	switch {
	case b.counts && n > 0 && !b.limiter.grow(b, n*bodyFactor):
		return 0, ErrCutOff
	case errors.Is(err, io.EOF):
		_ = b.control.SetReadDeadline(time.Time{}) // fails on a closed connection only
		if !b.limiter.pin(b.holder) {
			return n, ErrCutOff
		}
	case errors.Is(err, os.ErrDeadlineExceeded) && b.cut.Load():
		return n, ErrCutOff
	}
	return n, err
}

// cutOff ends a read in progress.
func (b *body) cutOff() {
	b.cut.Store(true)
	_ = b.control.SetReadDeadline(past) // fails on a closed connection only
}
