package intake

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testTimeout bounds the wait for a condition.
const testTimeout = 20 * time.Second

// testServer is a server whose handler reads the body and reports how that ended.
type testServer struct {
	*Limiter
	address string
	ends    chan error
	cuts    atomic.Int64
}

func newTestServer(t *testing.T, l *Limiter) *testServer {
	t.Helper()
	s := &testServer{Limiter: l, ends: make(chan error, 1000)}
	l.OnCutOff, l.UnencryptedHTTP2 = func() { s.cuts.Add(1) }, true
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = listener.Addr().String()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: l.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			s.ends <- err
			if err != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprint(w, len(body))
		})),
		ConnContext: l.ConnContext, ConnState: l.ConnState, Protocols: protocols, ReadHeaderTimeout: time.Minute,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l.Listener(listener))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return s
}

// post sends a request over HTTP/1.1 or HTTP/2 and returns the response's body.
func (s *testServer) post(version2 bool, body io.Reader) (string, error) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!version2)
	protocols.SetUnencryptedHTTP2(version2)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: testTimeout}
	r, err := client.Post("http://"+s.address, "", body)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(r.Body)
	_ = r.Body.Close() // already read to EOF or to an error
	return fmt.Sprint(r.StatusCode, " ", string(data)), err
}

// unfinished is a body that sends some bytes and ends with the test.
func unfinished(t *testing.T, bytes int) io.Reader {
	reader, writer := io.Pipe()
	t.Cleanup(func() { _ = writer.Close() })
	return io.MultiReader(strings.NewReader(strings.Repeat("a", bytes)), reader)
}

// TestUnfinishedBodiesAreCutOff guards against bodies that are never finished and hold
// the memory that another caller needs, over both versions of HTTP.
func TestUnfinishedBodiesAreCutOff(t *testing.T) {
	for _, version2 := range []bool{false, true} {
		t.Run(fmt.Sprint("HTTP/2 ", version2), func(t *testing.T) {
			const limit = 1 << 20
			is := is.New(t)
			s := newTestServer(t, NewLimiter(limit, 1000))
			for range 40 {
				go func() { _, _ = s.post(version2, unfinished(t, 40<<10)) }()
			}
			for err := error(nil); !errors.Is(err, ErrCutOff); {
				select {
				case err = <-s.ends: // a connection may be cut off before its body is read
				case <-time.After(testTimeout):
					t.Fatal("no body is cut off")
				}
			}
			var got string
			for end := time.Now().Add(testTimeout); got != "200 102400" && time.Now().Before(end); {
				got, _ = s.post(version2, strings.NewReader(strings.Repeat("a", 100<<10))) // may be cut off as well
			}
			is.Equal(got, "200 102400")
			is.True(s.Held() <= limit)
		})
	}
}

// TestUnfinishedHeadsAreCutOff guards against heads that are never finished, whose memory
// no handler sees.
func TestUnfinishedHeadsAreCutOff(t *testing.T) {
	const limit = 1 << 20
	is := is.New(t)
	s := newTestServer(t, NewLimiter(limit, 1000))
	for range 40 {
		c, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n"+strings.Repeat("A: b\r\n", 1000))
		is.NoErr(err)
	}
	for end := time.Now().Add(testTimeout); s.cuts.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(s.cuts.Load() > 0)
	got, err := s.post(false, strings.NewReader("abc"))
	is.NoErr(err)
	is.Equal(got, "200 3")
	is.True(s.Held() <= limit)
}

// TestIdleConnectionsGiveWay guards against connections without a request that keep other
// callers out.
func TestIdleConnectionsGiveWay(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, NewLimiter(1<<20, 4))
	for range 20 {
		c, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		defer func() { _ = c.Close() }()
	}
	got, err := s.post(false, strings.NewReader("abc"))
	is.NoErr(err)
	is.Equal(got, "200 3")
}

// TestUnreadAnswersAreCutOff guards against callers that never read their answers, which
// the server held in memory.
func TestUnreadAnswersAreCutOff(t *testing.T) {
	const answerBytes = 8 << 20 // far more than sockets buffer
	is := is.New(t)
	l := NewLimiter(8*answerBytes, 1000)
	var cuts, failures atomic.Int64
	l.OnCutOff = func() { cuts.Add(1) }
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{
		Handler: l.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if _, err := w.Write(make([]byte, answerBytes)); err != nil {
				failures.Add(1)
			}
		})),
		ConnContext: l.ConnContext, ConnState: l.ConnState, ReadHeaderTimeout: time.Minute,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l.Listener(listener))
	}()
	defer func() {
		_ = server.Close()
		<-done
	}()
	for range 20 {
		c, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
	}
	// Six answers fit into three quarters of the limit.
	for end := time.Now().Add(testTimeout); failures.Load() < 14 || failures.Load() != cuts.Load(); {
		if time.Now().After(end) {
			t.Fatalf("%d answers failed, %d were cut off", failures.Load(), cuts.Load())
		}
		time.Sleep(time.Millisecond)
	}
	is.True(l.Held() <= 8*answerBytes)
}

// TestSlowBodyEndsInTime guards against a body that is never finished and holds a
// connection for as long as there is memory.
func TestSlowBodyEndsInTime(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(1<<20, 1000)
	l.BodyTimeout = 50 * time.Millisecond
	s := newTestServer(t, l)
	go func() { _, _ = s.post(false, unfinished(t, 10)) }()
	is.True(errors.Is(<-s.ends, os.ErrDeadlineExceeded))
}

// TestRequestsOfOneConnectionAddNothing guards against a connection that is cut off for
// the bytes of the requests that it has carried before.
func TestRequestsOfOneConnectionAddNothing(t *testing.T) {
	for _, version2 := range []bool{false, true} {
		t.Run(fmt.Sprint("HTTP/2 ", version2), func(t *testing.T) {
			is := is.New(t)
			s := newTestServer(t, NewLimiter(512<<10, 1000))
			protocols := new(http.Protocols)
			protocols.SetHTTP1(!version2)
			protocols.SetUnencryptedHTTP2(version2)
			transport := &http.Transport{Protocols: protocols}
			defer transport.CloseIdleConnections()
			client := &http.Client{Transport: transport, Timeout: testTimeout}
			for range 50 {
				r, err := client.Post("http://"+s.address, "", strings.NewReader(strings.Repeat("a", 60<<10)))
				is.NoErr(err)
				_, err = io.Copy(io.Discard, r.Body)
				is.NoErr(err)
				is.NoErr(r.Body.Close())
				is.Equal(r.StatusCode, http.StatusOK)
			}
			is.Equal(s.cuts.Load(), int64(0))
		})
	}
}

// TestConnectionWithRequestsIsKept guards against a connection of HTTP/2 that is cut off
// while it carries a request that has arrived in full, because it is the oldest one.
func TestConnectionWithRequestsIsKept(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(1<<20, 1000)
	l.UnencryptedHTTP2 = true
	started, finish := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			close(started)
			<-finish
		})),
		ConnContext: l.ConnContext, ConnState: l.ConnState, Protocols: protocols, ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = server.Serve(l.Listener(listener)) }()
	defer func() { _ = server.Close() }()
	answered := make(chan error, 1)
	go func() {
		transport := &http.Transport{Protocols: protocols}
		defer transport.CloseIdleConnections()
		r, err := (&http.Client{Transport: transport, Timeout: testTimeout}).Get("http://" + listener.Addr().String())
		if err == nil {
			err = r.Body.Close()
		}
		answered <- err
	}()
	<-started
	for range 1000 { // take all memory in parts that are smaller than a connection
		_, _ = l.Hold(1 << 10)
	}
	close(finish)
	is.NoErr(<-answered)
}

// TestCutOffRequestIsRefused guards against a request whose connection is cut off between
// its head and its handler, and that is passed on although its answer cannot be waited for.
func TestCutOffRequestIsRefused(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(1<<20, 1000)
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &Conn{Conn: near, limiter: l}
	l.admit(c)
	defer func() { _ = c.Close() }()
	h := l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the request is passed on") }))
	for range 1000 {
		_, _ = l.Hold(1 << 10) // the connection gives way to these
	}
	r := httptest.NewRequestWithContext(l.ConnContext(t.Context(), c), http.MethodGet, "/", nil)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Connection"), "close")
}

// TestMessagesOfHosts guards against messages of other hosts that hold memory without
// bound.
func TestMessagesOfHosts(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(1<<20, 10)
	var releases []func()
	for range 100 {
		if release, ok := l.Hold(100 << 10); ok {
			releases = append(releases, release)
		}
	}
	is.True(len(releases) > 0 && len(releases) < 10)
	is.True(l.Held() <= 1<<20)
	for _, release := range releases {
		release()
	}
	is.Equal(l.Held(), 0)
}
