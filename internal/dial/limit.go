package dial

import (
	"fmt"
	"io"
	"net/http"
)

// bodyLimiter is a transport that ends a response whose body exceeds maxReplyBytes. The
// client refuses a larger message, but reads on to the end of the body to tell its size.
type bodyLimiter struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l bodyLimiter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: maxReplyBytes + 1} // one more than the client accepts
	return response, nil
}

// limitedBody fails once more than the given number of bytes have been read.
type limitedBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *limitedBody) Read(to []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("the reply has more than %d bytes", maxReplyBytes)
	}
	n, err := b.ReadCloser.Read(to[:min(len(to), b.left)])
	b.left -= n
	return n, err
}
