package conns

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
)

// endlessReader counts the bytes that are read from it.
type endlessReader int

// Read implements io.Reader.
func (r *endlessReader) Read(to []byte) (int, error) {
	*r += endlessReader(len(to))
	return len(to), nil
}

// Guards against a head without end that is parsed into memory: parsed headers take
// many times the memory of their bytes, so that a head of 1 MB takes 15 MB. Each reply
// of a call has a head, also one that answers another request.
func TestHeadIsBounded(t *testing.T) {
	is := is.New(t)
	var source endlessReader
	r := NewReplyReader(&source)
	_, err := io.Copy(io.Discard, r)
	is.Equal(err, errHeadTooLarge)
	is.True(source <= MaxHeadBytes)

	source = 0
	r = NewReplyReader(&source)
	for range 3 {
		r.beginReply()
		r.EndHead()
		_, err = io.CopyN(io.Discard, r, 2*MaxHeadBytes)
		is.NoErr(err)
	}
	r.beginReply()
	_, err = io.Copy(io.Discard, r)
	is.Equal(err, errHeadTooLarge)
	is.True(source <= 7*MaxHeadBytes+readBufferBytes)
	r.EndHead()
	_, err = io.Copy(io.Discard, r)
	is.Equal(err, errReplyTooLarge)
	is.Equal(int(source), MaxReplyBytes)
}

// bodyCodec is testCodec for replies of any size.
func bodyCodec() Codec {
	c := testCodec()
	read := c.Read
	c.Read = func(r *ReplyReader, s relay.StartCall) (ReadResult, error) {
		r.EndHead()
		return read(r, s)
	}
	return c
}

// stalledSearcher sends a part of a reply and then nothing until the host closes the
// connection.
func stalledSearcher(t *testing.T, sends int) *searcher {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				lines := bufio.NewScanner(conn)
				lines.Scan()
				_, _ = io.WriteString(conn, strings.Repeat("a", sends)) // fails if the host has closed the connection
				lines.Scan()                                            // until the host closes it
			}()
		}
	}()
	return &searcher{listener: listener}
}

// Guards against a host that runs out of memory because many searchers send replies
// that do not end, each below the limit of one reply. Other searchers' large replies
// must still get through.
func TestUnfinishedRepliesShareMemory(t *testing.T) {
	const (
		calls  = 40
		sends  = MaxReplyBytes * 9 / 10
		memory = 8 * MaxReplyBytes
	)
	is := is.New(t)
	stalled := stalledSearcher(t, sends)
	sound := newSearcher(t, func(id string) string { return id + " " + strings.Repeat("b", 200_000) + "\n" })
	events := make(chan relay.Event, 2*calls)
	p := NewPool(bodyCodec())
	p.ReplyMemory = memory
	p.OnResult = func(e relay.Event) { events <- e }
	t.Cleanup(func() { _ = p.Close() })
	plan := connectionPlan(stalled, 0, calls)
	plan.Searchers["s-2"] = relay.ConnectionLimits{MaxOpen: 1, Searcher: model.Searcher{
		ID: "s-2", Address: model.Address(sound.listener.Addr().String()),
	}}
	p.SetPlan(plan)
	for i := range calls {
		startCall(p, i+1)
	}
	for range calls - memory/sends {
		failed, ok := next(t, events).(relay.CallFailed)
		is.True(ok)
		is.Equal(failed.Failure, model.FailureTruncated)
		is.Equal(failed.Cause, errReplyMemory.Error())
	}
	p.Start(relay.StartCall{Call: calls + 1, Request: "r", Searcher: model.Searcher{ID: "s-2"}})
	for {
		if r, ok := next(t, events).(relay.Replied); ok { // others may be cut off before it
			is.Equal(len(r.Reply.Body), 200_000)
			break
		}
	}
	p.replies.mu.Lock()
	defer p.replies.mu.Unlock()
	is.True(p.replies.total <= memory)
}
