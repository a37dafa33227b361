package conns

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

// unreadServer answers without reading requests on, as searchers may that know their
// answer before they have the whole body.
type unreadServer struct {
	*searcher
	// replies are written to the first connection, readOn ends its pause.
	replies chan string
	readOn  chan struct{}
	// received holds what the first connection has read after readOn was closed.
	received chan string
}

func newUnreadServer(t *testing.T) *unreadServer {
	t.Helper()
	u := &unreadServer{replies: make(chan string), readOn: make(chan struct{}), received: make(chan string, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u.searcher = &searcher{listener: listener}
	go func() {
		first, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			for r := range u.replies {
				_, _ = first.Write([]byte(r))
			}
			<-u.readOn
			data, _ := io.ReadAll(first) // ends when the host closes the connection
			u.received <- string(data)
		}()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerAfterReading(conn)
		}
	}()
	return u
}

// answerAfterReading answers requests of any size once they have been read.
func answerAfterReading(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, strings.TrimRight(line, "x\n")+" ok\n"); err != nil {
			return
		}
	}
}

// paddedCodec is testCodec with requests of the given size.
func paddedCodec(size int) Codec {
	c := testCodec()
	c.Encode = func(s relay.StartCall) (head, body []byte) {
		return []byte(s.Request), []byte(strings.Repeat("x", size-len(s.Request)-1) + "\n")
	}
	return c
}

// startWithin starts a call and fails the test if Start waits for the searcher.
func startWithin(t *testing.T, p *Pool, id int) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		startCall(p, id)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Start waits for a searcher that does not read")
	}
}

// Guards against a searcher that stops the whole host: it answers a long request early
// and does not read on, and the goroutine of the traffic lane waits to write the next
// request on the same connection.
func TestSearcherThatDoesNotReadBlocksNoCalls(t *testing.T) {
	const size = 16 << 20 // more than the buffers of both sockets
	is := is.New(t)
	u := newUnreadServer(t)
	events := make(chan relay.Event, 100)
	p := NewPool(paddedCodec(size))
	p.OnResult = func(e relay.Event) { events <- e }
	defer func() { is.NoErr(p.Close()) }()
	p.SetPlan(connectionPlan(u.searcher, 0, 2))
	startWithin(t, p, 1)
	u.replies <- "r1 early\n"
	r, ok := next(t, events).(relay.Replied)
	is.True(ok)
	is.Equal(string(r.Reply.Body), "early")
	startWithin(t, p, 2) // takes another connection
	r, ok = next(t, events).(relay.Replied)
	is.True(ok)
	is.Equal(string(r.Reply.Body), "ok")
	close(u.replies)
	close(u.readOn)
	is.NoErr(p.Close())
	// The kernel may have closed the connection before all was read.
	is.True(strings.HasPrefix("r1"+strings.Repeat("x", size-3)+"\n", <-u.received))
}

// Guards against a request that is written in place of the rest of an earlier one, which
// its searcher answered before it had read it: the connection takes the next call only
// once the rest has been read.
func TestRequestFollowsTheRestOfTheFormer(t *testing.T) {
	const size = 100
	is := is.New(t)
	events := make(chan relay.Event, 10)
	p := NewPool(paddedCodec(size))
	p.OnResult = func(e relay.Event) { events <- e }
	p.UnreadRequestTime = time.Hour
	p.SetPlan(relay.ConnectionPlan{Searchers: map[model.SearcherID]relay.ConnectionLimits{"s-1": {MaxOpen: 1}}})
	near, far := net.Pipe() // has no buffer
	b := p.backends["s-1"]
	c := &conn{
		pool: p, backend: b, socket: near, reader: newReplyReader(near, p.replies, func() {}),
		idleTimeout: time.Hour, lastUsed: time.Now(), counted: true,
	}
	b.open, b.idle = 1, []*conn{c}
	p.tasks.Go(c.readReplies)

	startWithin(t, p, 1)
	read := make([]byte, size)
	_, err := io.ReadFull(far, read[:size/2])
	is.NoErr(err)
	_, err = io.WriteString(far, "r1 early\n")
	is.NoErr(err)
	_, ok := next(t, events).(relay.Replied)
	is.True(ok)
	count := func(list *[]*conn) int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(*list)
	}
	is.Equal(count(&b.lingering), 1)
	is.Equal(count(&b.idle), 0)
	_, err = io.ReadFull(far, read[size/2:])
	is.NoErr(err)
	is.Equal(string(read), "r1"+strings.Repeat("x", size-3)+"\n")
	waitUntil(t, func() bool { return count(&b.idle) == 1 })

	startWithin(t, p, 2)
	_, err = io.ReadFull(far, read)
	is.NoErr(err)
	is.Equal(string(read), "r2"+strings.Repeat("x", size-3)+"\n")
	_, err = io.WriteString(far, "r2 ok\n")
	is.NoErr(err)
	_, ok = next(t, events).(relay.Replied)
	is.True(ok)
	is.NoErr(p.Close())
}

// Guards against the same with short requests, which fill the buffers of a connection
// one by one while its searcher answers without reading them.
func TestUnreadShortRequestsBlockNoCalls(t *testing.T) {
	const size, calls = 7 << 10, 4000 // 28 MB
	is := is.New(t)
	u := newUnreadServer(t)
	events := make(chan relay.Event, 100)
	p := NewPool(paddedCodec(size))
	p.OnResult = func(e relay.Event) { events <- e }
	p.SetPlan(connectionPlan(u.searcher, 0, 1))
	defer func() { is.NoErr(p.Close()) }()
	lingers := func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.backends["s-1"].lingering) > 0
	}
	sent := 0
	for ; sent < calls && !lingers(); sent++ {
		startWithin(t, p, sent)
		u.replies <- fmt.Sprintf("r%d early\n", sent)
		_, ok := next(t, events).(relay.Replied)
		is.True(ok)
	}
	is.True(sent < calls) // the buffers are full
	startWithin(t, p, sent)
	close(u.replies)
	close(u.readOn)
}

// startUnreadCall returns a pool with one connection, whose first call was answered and
// not read.
func startUnreadCall(t *testing.T) (*unreadServer, *Pool, chan relay.Event) {
	t.Helper()
	u := newUnreadServer(t)
	p, events := newTestPool(t, u.searcher, 0, 1)
	p.codec = paddedCodec(16 << 20)
	startCall(p, 1)
	u.replies <- "r1 early\n"
	if _, ok := next(t, events).(relay.Replied); !ok {
		t.Fatal("the first call was not answered")
	}
	return u, p, events
}

// Guards against a connection that stays occupied for good because its searcher has
// answered and never reads the rest of the request.
func TestUnreadRequestEnds(t *testing.T) {
	is := is.New(t)
	u, p, events := startUnreadCall(t)
	waitUntil(t, func() bool { return p.Open("s-1") == 0 })
	startCall(p, 2)
	r, ok := next(t, events).(relay.Replied)
	is.True(ok)
	is.Equal(string(r.Reply.Body), "ok")
	close(u.replies)
	close(u.readOn)
}

// Guards against calls that wait for the only connection to a searcher that has
// answered and does not read the rest of the request.
func TestLingeringConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	u, p, events := startUnreadCall(t)
	start := time.Now()
	startCall(p, 2)
	is.Equal(p.Open("s-1"), 1) // a new connection, in place of the lingering one
	r, ok := next(t, events).(relay.Replied)
	is.True(ok)
	is.Equal(string(r.Reply.Body), "ok")
	t.Logf("answered after %v", time.Since(start))
	close(u.replies)
	close(u.readOn)
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
	}
}
