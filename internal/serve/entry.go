// Package serve implements the services for callers and operators over connect.
// It validates, decodes and encodes messages, and forwards requests to the hosts
// that run a service; other packages make all further decisions.
//
// # Usage
//
//	e := serve.NewEntry("host-a")
//	e.Views, e.Meter = views, meter
//	e.Search = search
//	mux.Handle(e.Handler())
package serve

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// compressMinBytes is the minimum size of a response that is compressed. For
// smaller ones the processor time outweighs the saving.
const compressMinBytes = 4 << 10

// maxRequestBytes is the maximum size of a caller's request.
const maxRequestBytes = 256 << 10

// Entry implements EntryService. Its exported fields must be set before the first
// request.
type Entry struct {
	Views *view.Atomic
	Meter *meter.Meter
	// Search runs a request and returns its answer; it returns early if the
	// context is cancelled.
	Search func(context.Context, model.Request) model.Answer
	// Send runs a keyed request at most once and returns its answer.
	Send func(model.KeyedRequest) model.KeyedAnswer
	// ForwardSend sends a keyed request to a host that runs its service. It must
	// be set if ForwardSearch is.
	ForwardSend ForwardSendFunc
	// NewID returns a request id that is unique over all hosts.
	NewID func() model.RequestID
	// ForwardSearch sends a search to a host that runs its service; nil to never
	// forward requests.
	ForwardSearch ForwardSearchFunc
	// InFlight holds the requests in flight.
	InFlight *InFlight

	host model.HostID
}

// NewEntry returns an Entry for the given host.
func NewEntry(host model.HostID) *Entry { return &Entry{host: host, InFlight: NewInFlight()} }

// Handler returns the path at which to mount the service, and its handler.
func (e *Entry) Handler() (string, http.Handler) {
	path, handler := entry.NewEntryServiceHandler(entryHandler{e}, connect.WithReadMaxBytes(maxRequestBytes),
		connect.WithCompressMinBytes(compressMinBytes))
	return path, e.limitRequestSize(handler)
}

// refuse counts a refusal and returns it as a connect error.
func (e *Entry) refuse(r model.Refusal) error {
	e.Meter.Count("refusal", string(r.Reason))
	return wire.RefusalError(r)
}

// entryHandler implements the connect methods, so that Entry does not export
// them.
type entryHandler struct{ entry *Entry }

// Addresses returns the entry hosts that a caller should use for a service.
func (h entryHandler) Addresses(_ context.Context, r *connect.Request[entry.AddressesRequest]) (*connect.Response[entry.AddressesResponse], error) {
	e := h.entry
	v := e.Views.Load()
	addresses, ok := v.Addresses[model.ServiceName(r.Msg.GetService())]
	if !ok {
		return nil, e.refuse(model.NewRefusal(model.ReasonUnknownService, "service %q is not known", r.Msg.GetService()))
	}
	return connect.NewResponse(&entry.AddressesResponse{
		Addresses: wire.AddressMessages(addresses), SettingsRevision: uint64(v.Revision),
		TtlMs: uint32(v.Tree.Effective(tree.Root).AddressTTL / time.Millisecond),
	}), nil
}

// Search runs an idempotent query over every shard of a service.
func (h entryHandler) Search(ctx context.Context, r *connect.Request[entry.SearchRequest]) (*connect.Response[entry.SearchResponse], error) {
	answer, err := h.entry.search(ctx, r.Msg, true)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// search runs a search on this host, or on another one if this host does not run
// the service and mayForward is set.
func (e *Entry) search(ctx context.Context, m *entry.SearchRequest, mayForward bool) (*entry.SearchResponse, error) {
	receivedAt := time.Now()
	request, err := wire.SearchRequest(m, e.NewID())
	if err != nil {
		return nil, e.refuse(model.NewRefusal(model.ReasonBadRequest, "%v", err))
	}
	defer e.InFlight.Begin(request.ID)()
	v := e.Views.Load()
	if refusal := e.unavailable(v, request.Service); refusal != nil {
		return nil, e.refuse(*refusal)
	}
	settings, refusal := v.Resolve(request.Account, request.Service, request.Scope)
	if refusal != nil {
		return nil, e.refuse(*refusal)
	}
	deadline := receivedAt.Add(wire.CallerTimeout(m.GetTimeoutMs(), settings.Timeout, settings.MaxTimeout))
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	request = request.WithDeadline(deadline)
	if hosts := e.forwardTargets(v, request.Service, request.ID); len(hosts) > 0 && mayForward {
		return e.forwardSearch(ctx, hosts, m, request.Service, deadline.Add(-settings.ReturnAllowance))
	}
	answer := e.Search(ctx, request)
	e.Meter.Observe("search", time.Since(receivedAt))
	if answer.Outcome == model.OutcomeRefused {
		return nil, e.refuse(e.withOtherHosts(answer.Refusal, request.Service))
	}
	e.Meter.Count("answer", answer.Outcome.String())
	return wire.SearchResponse(answer, m.GetRequestId(), e.host), nil
}

// unavailable returns a refusal if this host is draining or not ready.
func (e *Entry) unavailable(v view.View, service model.ServiceName) *model.Refusal {
	var r model.Refusal
	switch {
	case v.Draining:
		r = model.NewRefusal(model.ReasonDraining, "host %s is shutting down", e.host)
	case !v.Ready:
		r = model.NewRefusal(model.ReasonNotReady, "%s", v.NotReadyReason)
	default:
		return nil
	}
	r = e.withOtherHosts(r, service)
	return &r
}

// withOtherHosts adds the other hosts of a service to a refusal that is specific
// to this host.
func (e *Entry) withOtherHosts(r model.Refusal, service model.ServiceName) model.Refusal {
	if r.Reason != model.ReasonDraining && r.Reason != model.ReasonNotReady {
		return r
	}
	return r.WithAlternatives(e.otherHosts(e.Views.Load(), service))
}
