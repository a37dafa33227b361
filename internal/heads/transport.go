package heads

import (
	"errors"
	"fmt"
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
		if isProtocolError(err) {
			closeConn(conn)
		}
		return nil, err
	}
	if err := Check(response); err != nil {
		closeConn(conn)
		_ = response.Body.Close() // its connection is closed
		return nil, err
	}
	if response.ProtoMajor == 2 || len(response.TransferEncoding) > 0 {
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
	malformed := isProtocolError(err)
	if errors.Is(err, io.EOF) {
		if nameErr := checkNames(c.response.Trailer); nameErr != nil {
			malformed, err = true, nameErr
		}
	}
	if malformed {
		closeConn(c.conn)
	}
	return n, err
}

// streamError has the fields of http2.StreamError of golang.org/x/net, to which net/http
// converts its own type.
type streamError struct {
	StreamID uint32
	Code     uint32
	Cause    error
}

// Error implements error.
func (e streamError) Error() string { return fmt.Sprintf("stream error %d: %v", e.Code, e.Cause) }

// isProtocolError reports whether an HTTP/2 stream was reset with PROTOCOL_ERROR, as
// net/http does after a malformed message. It keeps the connection.
func isProtocolError(err error) bool {
	const protocolError = 0x1 // RFC 9113, section 7
	var e streamError
	return errors.As(err, &e) && e.Code == protocolError
}
