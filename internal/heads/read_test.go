package heads

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	maxTestBytes = 8 << 10
	// wholeBytes is the size of a buffer that holds any trailer, as net/http requires.
	wholeBytes = 1 << 20
)

// soundReplies holds replies by their framing. Another reply may follow each but the last.
var soundReplies = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200\nContent-Length: 2\n\nab",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n1\r\na\r\n0\r\nX-Sum: 1\r\n\r\n",
	"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 599 \xe9\t\r\nX-Long: " + strings.Repeat("a", maxTestBytes/2) + "\r\nContent-Length: 1\r\n\r\na",
	"HTTP/1.1 200 OK\r\n\r\nup to the end",
}

// wholeReply is a reply that has been read to its end.
type wholeReply struct {
	status int
	closes bool
	header http.Header
	body   string
	// rest is what follows the reply.
	rest string
}

// readWhole reads a reply to its end. The function reads the head.
func readWhole(text string, bufferBytes int, readHead func(*bufio.Reader) (*http.Response, error)) (wholeReply, error) {
	r := bufio.NewReaderSize(strings.NewReader(text), bufferBytes)
	response, err := readHead(r)
	if err != nil {
		return wholeReply{}, err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // already read to EOF or to an error
	if err != nil {
		return wholeReply{}, err
	}
	rest, err := io.ReadAll(r)
	return wholeReply{response.StatusCode, response.Close, response.Header, string(body), string(rest)}, err
}

// expectLikeNetHTTP checks that a reply that ReadResponse accepts is read as by net/http,
// and reports whether it was accepted.
func expectLikeNetHTTP(t *testing.T, method, text string) bool {
	t.Helper()
	is := is.New(t)
	request := &http.Request{Method: method}
	got, err := readWhole(text, 16, func(r *bufio.Reader) (*http.Response, error) {
		return ReadResponse(r, request, maxTestBytes)
	})
	if err != nil {
		return false
	}
	want, err := readWhole(text, wholeBytes, func(r *bufio.Reader) (*http.Response, error) {
		return http.ReadResponse(r, request)
	})
	is.NoErr(err) // accepts no more than net/http
	is.Equal(got, want)
	return true
}

// TestReadResponseIsLikeNetHTTP guards against a sound reply whose body or end is read
// differently, so that its caller, or that of the next reply, gets other bytes.
func TestReadResponseIsLikeNetHTTP(t *testing.T) {
	for i, reply := range soundReplies {
		for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodHead} {
			next := soundReplies[0]
			if i == len(soundReplies)-1 {
				next = ""
			}
			if !expectLikeNetHTTP(t, method, reply+next) {
				t.Errorf("%s: %.60q is not accepted", method, reply)
			}
		}
	}
}

// TestSectionsAreBounded guards against heads and trailers that are kept beyond the
// limit.
func TestSectionsAreBounded(t *testing.T) {
	long := "X-Long: " + strings.Repeat("a", maxTestBytes) + "\r\n"
	for _, reply := range []string{
		"HTTP/1.1 200 OK\r\n" + long + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + long + "\r\n",
	} {
		is := is.New(t)
		is.True(!expectLikeNetHTTP(t, http.MethodGet, reply))
	}
}

// FuzzReadResponse guards as TestReadResponseIsLikeNetHTTP does, for any bytes.
func FuzzReadResponse(f *testing.F) {
	for _, reply := range soundReplies {
		f.Add(reply, false)
	}
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: 1\n\r\n", false)
	f.Fuzz(func(t *testing.T, text string, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		expectLikeNetHTTP(t, method, text)
	})
}
