package dial

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/pkg/search"
)

// executor is a searcher with a configurable Execute.
type executor struct {
	search.UnimplementedSearcherServiceHandler
	execute func(*search.ExecuteRequest) (*search.ExecuteResponse, error)
}

func (e executor) Execute(_ context.Context, r *connect.Request[search.ExecuteRequest]) (*connect.Response[search.ExecuteResponse], error) {
	m, err := e.execute(r.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(m), nil
}

// Guards against reporting a call as not started although it may have run, and
// against a call that starts after NotAfter.
func TestExecutePhases(t *testing.T) {
	refused := func(*search.ExecuteRequest) (*search.ExecuteResponse, error) {
		err := connect.NewError(connect.CodeUnavailable, errors.New("draining"))
		d, _ := connect.NewErrorDetail(&search.Refusal{Reason: search.RefusalReason_REFUSAL_REASON_DRAINING, NotStarted: true})
		err.AddDetail(d)
		return nil, err
	}
	failing := func(*search.ExecuteRequest) (*search.ExecuteResponse, error) {
		return nil, connect.NewError(connect.CodeInternal, errors.New("disk full"))
	}
	slow := func(*search.ExecuteRequest) (*search.ExecuteResponse, error) {
		time.Sleep(1500 * time.Millisecond)
		return &search.ExecuteResponse{RequestId: "r1"}, nil
	}
	mismatched := func(*search.ExecuteRequest) (*search.ExecuteResponse, error) {
		return &search.ExecuteResponse{RequestId: "r2"}, nil
	}
	tests := []struct {
		name       string
		execute    func(*search.ExecuteRequest) (*search.ExecuteResponse, error)
		notAfter   time.Duration
		closed     bool
		runs       int
		failure    model.Failure
		notStarted bool
	}{
		{"refused", refused, time.Second, false, 1, model.FailureDraining, true},
		{"error without a refusal", failing, time.Second, false, 1, model.FailureRejected, false},
		{"deadline while it runs", slow, time.Second, false, 1, model.FailureDeadline, false},
		{"reply to another request", mismatched, time.Second, false, 1, model.FailureLost, false},
		{"after NotAfter", slow, -time.Millisecond, false, 0, model.FailureDeadline, true},
		{"no connection", slow, time.Second, true, 0, model.FailureConnect, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ran := make(chan struct{}, 10)
			address := serveExecutor(t, executor{execute: func(r *search.ExecuteRequest) (*search.ExecuteResponse, error) {
				ran <- struct{}{}
				return tc.execute(r)
			}}, tc.closed)
			p := NewPool()
			defer func() { _ = p.Close() }()
			now := time.Now()
			_, err := p.Execute(context.Background(), claim.Send{
				Request:  model.NewKeyedRequest("r1", "acme", "orders", "k", now),
				Searcher: model.Searcher{ID: "n0", Address: address, ConnectionCap: 2},
				Deadline: now.Add(time.Second), NotAfter: now.Add(tc.notAfter),
			})
			var callErr *CallError
			is.True(errors.As(err, &callErr))
			is.Equal(callErr.Failure, tc.failure)
			is.Equal(callErr.NotStarted, tc.notStarted)
			is.Equal(len(ran), tc.runs)
		})
	}
}

// Guards against a call that starts after NotAfter because its connection took
// long to open.
func TestExecuteGivesUpAfterASlowConnect(t *testing.T) {
	is := is.New(t)
	ran := make(chan struct{}, 10)
	address := serveExecutor(t, executor{execute: func(r *search.ExecuteRequest) (*search.ExecuteResponse, error) {
		ran <- struct{}{}
		return &search.ExecuteResponse{RequestId: r.GetRequestId()}, nil
	}}, false)
	p := NewPool()
	defer func() { _ = p.Close() }()
	s := model.Searcher{ID: "n0", Address: address, ConnectionCap: 2}
	p.mu.Lock()
	p.clients[s.ID] = p.newClient(s, 2)
	c := p.clients[s.ID]
	p.mu.Unlock()
	dial := c.transport.DialContext
	c.transport.DialContext = func(ctx context.Context, network, to string) (net.Conn, error) {
		time.Sleep(100 * time.Millisecond)
		return dial(ctx, network, to)
	}
	now := time.Now()
	_, err := p.Execute(context.Background(), claim.Send{
		Request: model.NewKeyedRequest("r1", "acme", "orders", "k", now), Searcher: s,
		Deadline: now.Add(10 * time.Second), NotAfter: now.Add(50 * time.Millisecond),
	})
	var callErr *CallError
	is.True(errors.As(err, &callErr))
	is.True(callErr.NotStarted)
	is.Equal(len(ran), 0)
}

func serveExecutor(t *testing.T, e executor, closed bool) model.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if closed {
		_ = l.Close()
		return model.Address(l.Addr().String())
	}
	mux := http.NewServeMux()
	mux.Handle(search.NewSearcherServiceHandler(e))
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return model.Address(l.Addr().String())
}
