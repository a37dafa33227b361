package heads

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that fails a call whose response, interim response
// or trailer is malformed, and closes its connection. With HTTP/2 this ends the other
// calls on the connection too. Continued field lines are left to net/http, which joins
// them.
type Transport struct {
	// Next sends the requests.
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkNames(http.Header(header)) },
	})
	response, err := t.Next.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		closeConn(conn)
		_ = response.Body.Close() // its connection is closed
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerChecker{response.Body, response, conn}
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Next.
func (t Transport) CloseIdleConnections() { (&http.Client{Transport: t.Next}).CloseIdleConnections() }

func closeConn(c net.Conn) {
	if c != nil {
		_ = c.Close() // what was in transit is not used
	}
}

// trailerChecker is a body that ends with an error if the trailer after it is malformed.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
	conn     net.Conn
}

// Read implements io.Reader.
func (c *trailerChecker) Read(to []byte) (int, error) {
	n, err := c.ReadCloser.Read(to)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(c.response.Trailer); malformed != nil {
			closeConn(c.conn)
			return n, malformed
		}
	}
	return n, err
}
