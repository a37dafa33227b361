package dial

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
)

// callProgress records whether a call had a connection and was written to it,
// which determines whether it may have run.
type callProgress struct {
	connected atomic.Bool
	written   atomic.Bool
}

func (p *callProgress) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { p.connected.Store(true) },
		WroteHeaders: func() { p.written.Store(true) },
	})
}

// CallError is the error of a call without a reply.
type CallError struct {
	Failure model.Failure
	// NotStarted is set if the searcher certainly did not run the call.
	NotStarted bool
	Cause      error
}

// Error returns the kind of failure and the cause.
func (e *CallError) Error() string { return e.Failure.String() + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Search calls a searcher. The error is always a *CallError.
func (p *Pool) Search(ctx context.Context, c query.StartCall) (model.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	var progress callProgress
	client, err := p.clientFor(c.Searcher)
	if err != nil {
		return model.Reply{}, &CallError{
			Failure: model.FailureUnsent, NotStarted: true,
			Cause: fault.Wrap(err, "search shard", string(c.Searcher.Address)),
		}
	}
	defer client.grant.endCall()
	response, err := client.client.Search(progress.withTrace(ctx), connect.NewRequest(wire.CallRequest(c, time.Now())))
	if err != nil {
		return model.Reply{}, classify(ctx, err, &progress, "search shard", string(c.Searcher.Address))
	}
	return wire.DecodeReply(response.Msg), nil
}

// clientFor returns the client of a searcher and counts a call on its grant. If
// the ownership of services is not known yet, it creates a client that SetView
// has not created.
func (p *Pool) clientFor(s model.Searcher) (*searcherClient, error) {
	p.mu.Lock()
	c, ok := p.clients[s.ID]
	ownershipKnown := p.ownershipKnown
	p.mu.Unlock()
	switch {
	case ok && c.address == s.Address:
	case ownershipKnown:
		return nil, errNoGrant
	default:
		c = p.ensureClient(s, maxConnections(view.Ownership{}, s))
	}
	return c, c.grant.beginCall()
}

// classify returns how a call failed and whether it certainly did not run: either
// the searcher said so, or no part of the request was written.
func classify(ctx context.Context, err error, p *callProgress, step, peer string) *CallError {
	err = fault.Wrap(err, step, peer)
	if failure, notStarted, ok := wire.SearcherRefusal(err); ok {
		return &CallError{Failure: failure, NotStarted: notStarted, Cause: err}
	}
	unsent := !p.written.Load()
	callErr := &CallError{NotStarted: unsent, Cause: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		callErr.Failure = model.FailureDeadline
	case errors.Is(ctx.Err(), context.Canceled):
		callErr.Failure = model.FailureCancelled
	case !p.connected.Load():
		callErr.Failure = model.FailureConnect
	case unsent:
		callErr.Failure = model.FailureUnsent
	default:
		callErr.Failure = model.FailureLost
	}
	return callErr
}
