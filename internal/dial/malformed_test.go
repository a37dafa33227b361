package dial

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/pkg/search"
)

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameData     = 0x0
	frameHeaders  = 0x1
	frameSettings = 0x4
	framePing     = 0x6
	flagAck       = 0x1
	flagEndStream = 0x1
	flagEndHead   = 0x4
)

// http2Reply is a reply as it is sent, so that it can be malformed.
type http2Reply struct {
	status string
	// header and trailer hold names and values in turn.
	header, trailer []string
	// interim holds the fields of an interim reply that precedes this one.
	interim []string
	body    []byte
}

// writeTo writes the frames of the reply.
func (r http2Reply) writeTo(conn net.Conn, stream uint32) error {
	var out bytes.Buffer
	if r.interim != nil {
		out.Write(frame(frameHeaders, flagEndHead, stream, encodeFields("103", r.interim)))
	}
	out.Write(frame(frameHeaders, flagEndHead, stream, encodeFields(r.status, r.header)))
	if r.trailer == nil {
		out.Write(frame(frameData, flagEndStream, stream, r.body))
	} else {
		out.Write(frame(frameData, 0, stream, r.body))
		out.Write(frame(frameHeaders, flagEndHead|flagEndStream, stream, encodeFields("", r.trailer)))
	}
	_, err := conn.Write(out.Bytes())
	return err
}

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	return append(binary.BigEndian.AppendUint32(append(head, flags), stream), payload...)
}

// encodeFields encodes a status, if any, and fields as literals (RFC 7541, section 6.2.2).
func encodeFields(status string, fields []string) []byte {
	const statusName = 8 // index of :status in the static table
	var out []byte
	if status != "" {
		out = append(append(out, statusName, byte(len(status))), status...)
	}
	for i, f := range fields {
		if i%2 == 0 {
			out = append(out, 0) // a new name
		}
		out = append(append(out, byte(len(f))), f...)
	}
	return out
}

// serveHTTP2 replies to each call until the host closes the connection, which it
// reports.
func serveHTTP2(t *testing.T, reply http2Reply) (model.Address, chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed := make(chan struct{}, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = replyToCalls(conn, reply) // ends once the host closes the connection
				closed <- struct{}{}
			}()
		}
	}()
	return model.Address(listener.Addr().String()), closed
}

// replyToCalls serves a connection until its end.
func replyToCalls(conn net.Conn, reply http2Reply) error {
	preface := make([]byte, len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	if _, err := io.ReadFull(conn, preface); err != nil {
		return err
	}
	if _, err := conn.Write(frame(frameSettings, 0, 0, nil)); err != nil {
		return err
	}
	head := make([]byte, 9)
	for {
		if _, err := io.ReadFull(conn, head); err != nil {
			return err
		}
		kindAndSize := binary.BigEndian.Uint32(head)
		payload := make([]byte, kindAndSize>>8)
		if _, err := io.ReadFull(conn, payload); err != nil {
			return err
		}
		kind, flags, stream := byte(kindAndSize), head[4], binary.BigEndian.Uint32(head[5:])
		var err error
		switch {
		case kind == frameSettings && flags&flagAck == 0:
			_, err = conn.Write(frame(frameSettings, flagAck, 0, nil))
		case kind == framePing && flags&flagAck == 0:
			_, err = conn.Write(frame(framePing, flagAck, 0, payload))
		case (kind == frameData || kind == frameHeaders) && flags&flagEndStream != 0:
			err = reply.writeTo(conn, stream)
		}
		if err != nil {
			return err
		}
	}
}

// Guards against a malformed reply that is taken as a searcher's: for a result, or for
// proof that a request was not started, after which it is sent again. Its connection
// must not carry another call.
func TestMalformedReplyIsNoReply(t *testing.T) {
	result, err := proto.Marshal(&search.ExecuteResponse{RequestId: "r1", Result: []byte("done")})
	if err != nil {
		t.Fatal(err)
	}
	refusal, err := proto.Marshal(&search.Refusal{Reason: search.RefusalReason_REFUSAL_REASON_DRAINING, NotStarted: true})
	if err != nil {
		t.Fatal(err)
	}
	notStarted := fmt.Appendf(nil, `{"code":"unavailable","details":[{"type":"toucan.search.v1.Refusal","value":%q}]}`,
		base64.RawStdEncoding.EncodeToString(refusal))
	asProto, asJSON := []string{"content-type", "application/proto"}, []string{"content-type", "application/json"}
	oddName := []string{"x-odd name", "v"}
	for name, reply := range map[string]http2Reply{
		"status 000":                     {status: "000", header: asProto, body: result},
		"status 000, not started":        {status: "000", header: asJSON, body: notStarted},
		"status 999, not started":        {status: "999", header: asJSON, body: notStarted},
		"status with a plus sign":        {status: "+200", header: asProto, body: result},
		"status with four digits":        {status: "0200", header: asProto, body: result},
		"name with a blank":              {status: "200", header: append(asProto, oddName...), body: result},
		"name with a blank, not started": {status: "503", header: append(asJSON, oddName...), body: notStarted},
		"name with a control byte":       {status: "200", header: append(asProto, "x-\x01odd", "v"), body: result},
		"trailer with a blank":           {status: "200", header: asProto, trailer: oddName, body: result},
		"interim reply with a blank":     {status: "200", header: asProto, interim: oddName, body: result},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, closed := serveHTTP2(t, reply)
			p := NewPool()
			p.stop() // opens no connection ahead of the call
			defer func() { is.NoErr(p.Close()) }()
			now := time.Now()
			_, err := p.Execute(t.Context(), claim.Send{
				Request:  model.NewKeyedRequest("r1", "acme", "orders", "k", now),
				Searcher: model.Searcher{ID: "s", Address: address, ConnectionCap: 2},
				NotAfter: now.Add(time.Minute), Deadline: now.Add(time.Minute),
			})
			var failed *CallError
			is.True(errors.As(err, &failed))
			is.Equal(failed.Failure, model.FailureLost)
			is.True(!failed.NotStarted)
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("the connection of the malformed reply stays open")
			}
		})
	}
}

// Guards against the loss of a search whose reply has sound interim replies and
// trailers.
func TestInterimReplyAndTrailer(t *testing.T) {
	is := is.New(t)
	result, err := proto.Marshal(&search.SearchResponse{RequestId: "r1", Count: 3})
	is.NoErr(err)
	address, _ := serveHTTP2(t, http2Reply{
		status: "200", header: []string{"content-type", "application/proto"}, interim: []string{"link", "v"}, trailer: []string{"x-other", "v"}, body: result,
	})
	p := NewPool()
	defer func() { is.NoErr(p.Close()) }()
	deadline := time.Now().Add(time.Minute)
	reply, err := p.Search(t.Context(), query.StartCall{
		Searcher: model.Searcher{ID: "s", Address: address, ConnectionCap: 2}, Deadline: deadline, StopBy: deadline,
	})
	is.NoErr(err)
	is.Equal(reply.Count, 3)
}
