package dial

import (
	"encoding/base64"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/pkg/search"
	"toucanpulley.example/stand/canned"
)

// closeTimeout bounds the wait for a connection to be closed.
const closeTimeout = 10 * time.Second

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
	for name, reply := range map[string]canned.HTTP2Reply{
		"status 000":                     {Status: "000", Header: asProto, Body: result},
		"status 000, not started":        {Status: "000", Header: asJSON, Body: notStarted},
		"status 999, not started":        {Status: "999", Header: asJSON, Body: notStarted},
		"status with a plus sign":        {Status: "+200", Header: asProto, Body: result},
		"status with four digits":        {Status: "0200", Header: asProto, Body: result},
		"name with a blank":              {Status: "200", Header: append(asProto, oddName...), Body: result},
		"name with a blank, not started": {Status: "503", Header: append(asJSON, oddName...), Body: notStarted},
		"name with a control byte":       {Status: "200", Header: append(asProto, "x-\x01odd", "v"), Body: result},
		"trailer with a blank":           {Status: "200", Header: asProto, Trailer: oddName, Body: result},
		"interim reply with a blank":     {Status: "200", Header: asProto, Interim: oddName, Body: result},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := canned.NewServer()
			s.Serve = canned.HTTP2(reply)
			is.NoErr(s.Run(t.Context()))
			defer func() { is.NoErr(s.Close()) }()
			p := NewPool()
			p.stop() // opens no connection ahead of the call
			defer func() { is.NoErr(p.Close()) }()
			now := time.Now()
			_, err := p.Execute(t.Context(), claim.Send{
				Request:  model.NewKeyedRequest("r1", "acme", "orders", "k", now),
				Searcher: model.Searcher{ID: "s", Address: model.Address(s.Address()), ConnectionCap: 2},
				NotAfter: now.Add(time.Minute), Deadline: now.Add(time.Minute),
			})
			var failed *CallError
			is.True(errors.As(err, &failed))
			is.Equal(failed.Failure, model.FailureLost)
			is.True(!failed.NotStarted)
			is.True(s.WaitClosed(closeTimeout)) // the connection of the malformed reply is closed
		})
	}
}

// Guards against a connection that is kept for calls after a malformed reply to the
// health check that opened it.
func TestMalformedHealthReplyEndsConnection(t *testing.T) {
	is := is.New(t)
	s := canned.NewServer()
	s.Serve = canned.HTTP2(canned.HTTP2Reply{Status: "200", Header: []string{"content-type", "application/proto", "x-odd name", "v"}})
	is.NoErr(s.Run(t.Context()))
	defer func() { is.NoErr(s.Close()) }()
	p := NewPool()
	defer func() { is.NoErr(p.Close()) }()
	p.ensureClient(model.Searcher{ID: "s", Address: model.Address(s.Address()), ConnectionCap: 2}, 2)
	is.True(s.WaitClosed(closeTimeout)) // the connection of the malformed reply is closed
}

// Guards against the loss of a search whose reply has sound interim replies and
// trailers.
func TestInterimReplyAndTrailer(t *testing.T) {
	is := is.New(t)
	result, err := proto.Marshal(&search.SearchResponse{RequestId: "r1", Count: 3})
	is.NoErr(err)
	s := canned.NewServer()
	s.Serve = canned.HTTP2(canned.HTTP2Reply{
		Status: "200", Header: []string{"content-type", "application/proto"}, Interim: []string{"link", "v"}, Trailer: []string{"x-other", "v"}, Body: result,
	})
	is.NoErr(s.Run(t.Context()))
	defer func() { is.NoErr(s.Close()) }()
	p := NewPool()
	defer func() { is.NoErr(p.Close()) }()
	deadline := time.Now().Add(time.Minute)
	reply, err := p.Search(t.Context(), query.StartCall{
		Searcher: model.Searcher{ID: "s", Address: model.Address(s.Address()), ConnectionCap: 2}, Deadline: deadline, StopBy: deadline,
	})
	is.NoErr(err)
	is.Equal(reply.Count, 3)
}
