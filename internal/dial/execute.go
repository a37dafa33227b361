package dial

import (
	"context"
	"net/http/httptrace"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
)

// Execute sends a keyed request to its searcher in a single call without retries.
// The call starts before NotAfter or not at all. The error is always a
// *CallError.
func (p *Pool) Execute(ctx context.Context, c claim.Send) ([]byte, error) {
	const step = "execute request"
	peer := string(c.Searcher.Address)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if !time.Now().Before(c.NotAfter) {
		return nil, &CallError{
			Failure: model.FailureDeadline, NotStarted: true,
			Cause: fault.New(step, peer, "the latest time for dispatching the request has passed"),
		}
	}
	var progress callProgress
	// Opening a connection can take longer than the remaining time. The transport
	// checks the context again before it writes a request.
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		if !time.Now().Before(c.NotAfter) {
			cancel()
		}
	}})
	client, err := p.clientFor(c.Searcher)
	if err != nil {
		return nil, &CallError{Failure: model.FailureUnsent, NotStarted: true, Cause: fault.Wrap(err, step, peer)}
	}
	defer client.grant.endCall()
	response, err := client.client.Execute(progress.withTrace(ctx), connect.NewRequest(wire.ExecuteRequest(c, time.Now())))
	if err != nil {
		return nil, classify(ctx, err, &progress, step, peer)
	}
	if id := response.Msg.GetRequestId(); id != string(c.Request.ID) {
		return nil, &CallError{
			Failure: model.FailureLost,
			Cause:   fault.New(step, peer, "the reply belongs to request %q, not %q", id, c.Request.ID),
		}
	}
	return response.Msg.GetResult(), nil
}
