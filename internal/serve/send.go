package serve

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// Send runs a non-idempotent request at most once per key. It continues until the
// deadline even if the caller disconnects, because the request may be running.
func (h entryHandler) Send(ctx context.Context, r *connect.Request[entry.SendRequest]) (*connect.Response[entry.SendResponse], error) {
	answer, err := h.entry.send(ctx, r.Msg, true)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// send runs a keyed request on this host, or on another one if this host does not
// run the service and mayForward is set.
func (e *Entry) send(ctx context.Context, m *entry.SendRequest, mayForward bool) (*entry.SendResponse, error) {
	receivedAt := time.Now()
	request, refusal := wire.KeyedRequest(m, e.NewID())
	if refusal != nil {
		return nil, e.refuse(*refusal)
	}
	defer e.InFlight.Begin(request.ID)()
	v := e.Views.Load()
	if refusal := e.unavailable(v, request.Service); refusal != nil {
		return nil, e.refuse(*refusal)
	}
	settings, refusal := v.Resolve(request.Account, request.Service, "")
	if refusal != nil {
		return nil, e.refuse(*refusal)
	}
	deadline := receivedAt.Add(wire.CallerTimeout(m.GetTimeoutMs(), settings.Timeout, settings.MaxTimeout))
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if hosts := e.forwardTargets(v, request.Service, request.ID); len(hosts) > 0 && mayForward {
		return e.forwardSend(ctx, hosts, m, request.Service, deadline.Add(-settings.ReturnAllowance))
	}
	answer := e.Send(request.WithDeadline(deadline))
	e.Meter.Observe("send", time.Since(receivedAt))
	if answer.Refusal != nil {
		return nil, e.refuse(e.withOtherHosts(*answer.Refusal, request.Service))
	}
	e.Meter.Count("sent", outcomeName(answer))
	return wire.SendResponse(answer, m.GetRequestId(), e.host), nil
}

func outcomeName(a model.KeyedAnswer) string {
	if a.Repeated {
		return "repeated"
	}
	return "ran"
}

// limitRequestSize refuses requests whose Content-Length is above the limit with a
// reason that callers can evaluate. The connect handler enforces the limit for
// requests without a Content-Length.
func (e *Entry) limitRequestSize(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength <= maxRequestBytes || !writer.IsSupported(r) {
			next.ServeHTTP(w, r)
			return
		}
		_ = writer.Write(w, r, e.refuse(model.NewRefusal(model.ReasonTooLarge,
			"the request has %d bytes; allowed: up to %d", r.ContentLength, maxRequestBytes)))
	})
}
