package conns

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

// testCodec encodes a call as "id\n" and a reply as "id body\n". The body "close"
// makes the connection not reusable.
func testCodec() Codec {
	return Codec{
		Encode: func(c relay.StartCall) (head, body []byte) { return []byte(string(c.Request) + "\n"), nil },
		Read: func(r *ReplyReader, _ relay.StartCall) (ReadResult, error) {
			line, err := r.ReadString('\n')
			if err != nil {
				return ReadResult{}, err
			}
			id, body, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
			return ReadResult{
				RequestID: model.RequestID(id), Reusable: body != "close",
				Reply: relay.Reply{Status: 200, Body: []byte(body)},
			}, nil
		},
	}
}

// searcher is a test server that replies to each line with the result of a function.
// A reply without a newline closes the connection.
type searcher struct {
	listener net.Listener
	accepted chan net.Conn
}

func newSearcher(t *testing.T, answer func(line string) string) *searcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &searcher{listener: listener, accepted: make(chan net.Conn, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.accepted <- conn
			go serve(conn, answer)
		}
	}()
	return s
}

func serve(conn net.Conn, answer func(string) string) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		reply := answer(lines.Text())
		if reply == "" {
			break
		}
		if _, err := conn.Write([]byte(reply)); err != nil || !strings.HasSuffix(reply, "\n") {
			break
		}
	}
	_ = conn.Close()
}

// newTestPool returns a pool with one searcher and the channel of its results.
func newTestPool(t *testing.T, s *searcher, minOpen, maxOpen int) (*Pool, chan relay.Event) {
	t.Helper()
	events := make(chan relay.Event, 100)
	p := NewPool(testCodec())
	p.OnResult = func(e relay.Event) { events <- e }
	p.SetPlan(connectionPlan(s, minOpen, maxOpen))
	t.Cleanup(func() { _ = p.Close() })
	return p, events
}

func connectionPlan(s *searcher, minOpen, maxOpen int) relay.ConnectionPlan {
	to := model.Searcher{ID: "s-1", Address: model.Address(s.listener.Addr().String())}
	return relay.ConnectionPlan{Searchers: map[model.SearcherID]relay.ConnectionLimits{
		"s-1": {Searcher: to, MinOpen: minOpen, MaxOpen: maxOpen},
	}}
}

func startCall(p *Pool, id int) {
	p.Start(relay.StartCall{
		Call: relay.CallID(id), Request: model.RequestID(fmt.Sprint("r", id)), Searcher: model.Searcher{ID: "s-1"},
	})
}

func next(t *testing.T, events chan relay.Event) relay.Event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(10 * time.Second):
		t.Fatal("no call ended")
		return nil
	}
}

// TestReplies covers the replies that a searcher may send.
func TestReplies(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer string
		// body is the expected body; empty if the call must fail.
		body    string
		failure model.Failure
	}{
		{"complete", "r1 hello\n", "hello", 0},
		{"after a late reply to an earlier request", "r0 late\nr1 hello\n", "hello", 0},
		{"with the id of another request, then closed", "r0 close\n", "", model.FailureTruncated},
		// A second copy of an earlier reply cannot be told from one to this call.
		{"without an id", " copy\n", "", model.FailureTruncated},
		{"without an id, then the reply", " copy\nr1 hello\n", "", model.FailureTruncated},
		{"truncated", "r1 hel", "", model.FailureTruncated},
		{"connection closed", "", "", model.FailureLost},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSearcher(t, func(string) string { return test.answer })
			p, events := newTestPool(t, s, 0, 1)
			startCall(p, 1)
			switch e := next(t, events).(type) {
			case relay.Replied:
				is.Equal(string(e.Reply.Body), test.body)
			case relay.CallFailed:
				is.Equal(test.body, "")
				is.Equal(e.Failure, test.failure)
				is.True(!e.NotRun) // the searcher may have run it
			}
		})
	}
}

// TestUnexpectedDataClosesIdleConnection guards against an extra reply that is
// taken for the reply to the next call.
func TestUnexpectedDataClosesIdleConnection(t *testing.T) {
	is := is.New(t)
	s := newSearcher(t, func(line string) string {
		if line == "r1" {
			return "r1 a\nr2 forged\n"
		}
		return line + " b\n"
	})
	p, events := newTestPool(t, s, 0, 1)
	startCall(p, 1)
	is.Equal(string(next(t, events).(relay.Replied).Reply.Body), "a")
	startCall(p, 2)
	is.Equal(string(next(t, events).(relay.Replied).Reply.Body), "b")
	is.Equal(len(s.accepted), 2) // the second call went over a new connection
}

// TestUnreachableSearcherReportsNotRun guards against a request that is not
// retried although nothing was sent.
func TestUnreachableSearcherReportsNotRun(t *testing.T) {
	is := is.New(t)
	s := newSearcher(t, func(string) string { return "" })
	is.NoErr(s.listener.Close())
	p, events := newTestPool(t, s, 0, 1)
	startCall(p, 1)
	e := next(t, events).(relay.CallFailed)
	is.True(e.NotRun)
	is.Equal(e.Failure, model.FailureConnect)
}

// TestCancelClosesTheConnection guards against a searcher that continues to work
// on a cancelled call.
func TestCancelClosesTheConnection(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := newSearcher(t, func(string) string { <-release; return "r1 a\n" })
	p, events := newTestPool(t, s, 0, 1)
	startCall(p, 1)
	conn := <-s.accepted
	p.Cancel(1)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(10 * time.Second)))
	close(release)
	is.NoErr(p.Close())
	is.Equal(len(events), 0) // a cancelled call is not reported
}

// TestConnectionLimit guards against opening more connections than a searcher
// accepts from this host.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	s := newSearcher(t, func(line string) string { time.Sleep(time.Millisecond); return line + " a\n" })
	p, events := newTestPool(t, s, 2, 2)
	for id := 1; id <= 20; id++ {
		startCall(p, id)
	}
	for range 20 {
		_, ok := next(t, events).(relay.Replied)
		is.True(ok)
	}
	is.True(len(s.accepted) <= 2)
}

// TestIdleConnectionsBeyondLimitAreClosed guards against keeping connections open
// after the limit was lowered.
func TestIdleConnectionsBeyondLimitAreClosed(t *testing.T) {
	is := is.New(t)
	s := newSearcher(t, func(line string) string { return line + " a\n" })
	p, _ := newTestPool(t, s, 3, 3)
	for range 3 {
		<-s.accepted
	}
	idle := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.backends["s-1"].idle)
	}
	for idle() < 3 {
		time.Sleep(time.Millisecond)
	}
	p.SetPlan(connectionPlan(s, 1, 1))
	is.Equal(idle(), 1)
}

// TestCancelledCallWithoutConnectionIsUnsent guards against logging a call that
// was cancelled before it had a connection like a call that the searcher did not
// answer.
func TestCancelledCallWithoutConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := newSearcher(t, func(line string) string { <-release; return line + " a\n" })
	defer close(release)
	p, _ := newTestPool(t, s, 0, 1)
	var unsent []relay.CallID
	p.OnUnsent = func(c relay.StartCall) { unsent = append(unsent, c.Call) }
	startCall(p, 1)
	<-s.accepted
	startCall(p, 2) // the only connection is in use
	p.Cancel(2)
	is.Equal(unsent, []relay.CallID{2})
}

// Guards against a second copy of a reply that a searcher sends late, on a connection
// that carries another call: it must not be taken for the reply to that call, whether it
// comes while the connection is idle or before the reply of the next call.
func TestSecondCopyOfAReplyIsDropped(t *testing.T) {
	for _, c := range []struct{ name, copied string }{{"with its id", "r1 first\n"}, {"without an id", " first\n"}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			calls := 0
			s := newSearcher(t, func(line string) string {
				calls++
				if calls == 1 {
					return line + " first\n"
				}
				return c.copied + line + " own\n"
			})
			p, events := newTestPool(t, s, 0, 1)
			startCall(p, 1)
			first, ok := next(t, events).(relay.Replied)
			is.True(ok)
			is.Equal(string(first.Reply.Body), "first")
			startCall(p, 2)
			switch e := next(t, events).(type) {
			case relay.Replied:
				is.Equal(e.Call, relay.CallID(2))
				is.Equal(string(e.Reply.Body), "own")
			case relay.CallFailed:
				is.True(!e.NotRun)
			}
		})
	}
}

// Guards against a call that waits for a connection and is reported as one that may
// have run, and against a revocation of calls that were sent.
func TestRevokeUnsent(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 2), make(chan struct{})
	s := newSearcher(t, func(line string) string { arrived <- struct{}{}; <-release; return line + " x\n" })
	p, events := newTestPool(t, s, 0, 1)
	startCall(p, 1)
	<-arrived
	startCall(p, 2) // waits: one connection is allowed
	done := make(chan struct{})
	p.RevokeUnsent([]relay.CallID{1, 2, 3}, func() { close(done) })
	e, ok := next(t, events).(relay.CallFailed)
	is.True(ok)
	is.Equal(e.Call, relay.CallID(2))
	is.True(e.NotRun)
	<-done
	close(release)
	_, ok = next(t, events).(relay.Replied)
	is.True(ok)
}

// Guards against hosts that keep connections to a searcher which does not take one from
// each host: it then resets connections of others, with requests on them.
func TestOnDemandConnectionIsClosedAfterItsCall(t *testing.T) {
	is := is.New(t)
	s := newSearcher(t, func(line string) string { return line + " x\n" })
	p, events := newTestPool(t, s, 0, 1)
	plan := connectionPlan(s, 0, 1)
	limits := plan.Searchers["s-1"]
	limits.OnDemand = true
	plan.Searchers["s-1"] = limits
	p.SetPlan(plan)
	for i := range 2 {
		startCall(p, i)
		_, ok := next(t, events).(relay.Replied)
		is.True(ok)
		for end := time.Now().Add(10 * time.Second); p.Open("s-1") > 0; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end))
		}
	}
	is.Equal(len(s.accepted), 2)
}
