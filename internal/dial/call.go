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

// callProgress records how far a call got, which decides whether it may have run.
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

// CallError is how a call ended without a reply.
type CallError struct {
	Failure model.Failure
	// NotStarted is set if it is proved that the searcher did not run the call.
	NotStarted bool
	Cause      error
}

// Error returns step, peer and cause.
func (f *CallError) Error() string { return f.Failure.String() + ": " + f.Cause.Error() }

// Unwrap returns the cause.
func (f *CallError) Unwrap() error { return f.Cause }

// Search runs a call at its searcher. The error is always a *Failed.
func (p *Pool) Search(ctx context.Context, c query.StartCall) (model.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	var progress callProgress
	q, err := p.clientFor(c.Searcher)
	if err != nil {
		return model.Reply{}, &CallError{
			Failure: model.FailureUnsent, NotStarted: true,
			Cause: fault.Wrap(err, "search shard", string(c.Searcher.Address)),
		}
	}
	defer q.grant.endCall()
	res, err := q.client.Search(progress.withTrace(ctx), connect.NewRequest(wire.Call(c, time.Now())))
	if err != nil {
		return model.Reply{}, classify(ctx, err, &progress, "search shard", string(c.Searcher.Address))
	}
	return wire.Reply(res.Msg), nil
}

// clientFor returns the transport of a searcher for one call. Without ownership it is
// made where Follow has not made it.
func (p *Pool) clientFor(s model.Searcher) (*searcherClient, error) {
	p.mu.Lock()
	q, ok := p.clients[s.ID]
	ownershipKnown := p.ownershipKnown
	p.mu.Unlock()
	switch {
	case ok && q.address == s.Address:
	case ownershipKnown:
		return nil, errNoGrant
	default:
		q = p.ensureClient(s, connectionShare(view.Ownership{}, s))
	}
	return q, q.grant.beginCall()
}

// classify tells how a call failed and whether it is proved not to have run:
// either the searcher said so, or no byte of the request was written.
func classify(ctx context.Context, err error, p *callProgress, step, peer string) *CallError {
	err = fault.Wrap(err, step, peer)
	if failure, notStarted, stated := wire.SearcherRefusal(err); stated {
		return &CallError{Failure: failure, NotStarted: notStarted, Cause: err}
	}
	unsent := !p.written.Load()
	f := &CallError{NotStarted: unsent, Cause: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.Failure = model.FailureDeadline
	case errors.Is(ctx.Err(), context.Canceled):
		f.Failure = model.FailureCancelled
	case !p.connected.Load():
		f.Failure = model.FailureConnect
	case unsent:
		f.Failure = model.FailureUnsent
	default:
		f.Failure = model.FailureLost
	}
	return f
}
