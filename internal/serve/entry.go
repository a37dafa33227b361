// Package serve answers callers and operators over connect. It checks and
// decodes messages; every decision is made elsewhere.
//
// # Usage
//
//	e := serve.NewEntry("host-a")
//	e.Views, e.Meter = cell, meter
//	e.Search = lanes.Search
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

// compressMinBytes is the least size of a compressed answer; smaller ones cost
// more processor time than they save.
const compressMinBytes = 4 << 10

// maxRequest is the largest request of a caller, in bytes.
const maxRequest = 256 << 10

// Entry serves EntryService. Fields are set before the first request.
type Entry struct {
	Views *view.Atomic
	Meter *meter.Meter
	// Search runs a request and returns its answer; it returns early if the
	// context ends.
	Search func(context.Context, model.Request) model.Answer
	// Send runs a keyed request at most once and returns its answer.
	Send func(model.KeyedRequest) model.KeyedAnswer
	// ForwardSend sends a keyed request to the host that runs its service; may be
	// nil.
	ForwardSend ForwardKeyed
	// NewID returns a request id that is unique over all hosts.
	NewID func() model.RequestID
	// Forward sends a search to a host that runs its service; nil refuses it.
	Forward ForwardSearch
	// Flight holds the requests in flight.
	Flight *Flight

	host model.HostID
}

// NewEntry returns the handler of a host.
func NewEntry(host model.HostID) *Entry { return &Entry{host: host, Flight: NewFlight()} }

// Handler returns the path and handler for a mux.
func (e *Entry) Handler() (string, http.Handler) {
	path, handler := entry.NewEntryServiceHandler(entryHandler{e}, connect.WithReadMaxBytes(maxRequest),
		connect.WithCompressMinBytes(compressMinBytes))
	return path, e.limit(handler)
}

// refuse counts a refusal and returns it as a connect error.
func (e *Entry) refuse(r model.Refusal) error {
	e.Meter.Count("refusal", string(r.Reason))
	return wire.RefusalError(r)
}

// entryHandler keeps the connect methods out of Entry's exported API.
type entryHandler struct{ entry *Entry }

// Addresses names the entry hosts that a caller should use for a service.
func (h entryHandler) Addresses(_ context.Context, r *connect.Request[entry.AddressesRequest]) (*connect.Response[entry.AddressesResponse], error) {
	e := h.entry
	v := e.Views.Load()
	list, ok := v.Addresses[model.ServiceName(r.Msg.GetService())]
	if !ok {
		return nil, e.refuse(model.NewRefusal(model.ReasonUnknownService, "service %q is not known", r.Msg.GetService()))
	}
	return connect.NewResponse(&entry.AddressesResponse{
		Addresses: wire.Addresses(list), SettingsRevision: uint64(v.Revision),
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

// search answers a search here, or on another host if this one does not run the
// service and the search may be forwarded.
func (e *Entry) search(ctx context.Context, m *entry.SearchRequest, mayForward bool) (*entry.SearchResponse, error) {
	arrived := time.Now()
	request, err := wire.SearchRequest(m, e.NewID())
	if err != nil {
		return nil, e.refuse(model.NewRefusal(model.ReasonBadRequest, "%v", err))
	}
	defer e.Flight.Enter(request.ID)()
	v := e.Views.Load()
	if refusal := e.notServing(v, request.Service); refusal != nil {
		return nil, e.refuse(*refusal)
	}
	settings, refusal := v.Resolve(request.Account, request.Service, request.Scope)
	if refusal != nil {
		return nil, e.refuse(*refusal)
	}
	deadline := arrived.Add(wire.Timeout(m.GetTimeoutMs(), settings.Timeout, settings.MaxTimeout))
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	request = request.WithDeadline(deadline)
	if hosts := e.elsewhere(v, request.Service, request.ID); len(hosts) > 0 && mayForward {
		return e.forwardSearch(ctx, hosts, m, request.Service, deadline.Add(-settings.ReturnAllowance))
	}
	answer := e.Search(ctx, request)
	e.Meter.Observe("search", time.Since(arrived))
	if answer.Outcome == model.OutcomeRefused {
		return nil, e.refuse(e.withOthers(answer.Refusal, request.Service))
	}
	e.Meter.Count("answer", answer.Outcome.String())
	return wire.SearchResponse(answer, m.GetRequestId(), e.host), nil
}

// notServing returns the refusal of a host that takes no requests.
func (e *Entry) notServing(v view.View, service model.ServiceName) *model.Refusal {
	var r model.Refusal
	switch {
	case v.Draining:
		r = model.NewRefusal(model.ReasonDraining, "host %s is shutting down", e.host)
	case !v.Ready:
		r = model.NewRefusal(model.ReasonNotReady, "%s", v.NotReadyReason)
	default:
		return nil
	}
	r = e.withOthers(r, service)
	return &r
}

// withOthers names other hosts in refusals that another host may not give.
func (e *Entry) withOthers(r model.Refusal, service model.ServiceName) model.Refusal {
	if r.Reason != model.ReasonDraining && r.Reason != model.ReasonNotReady {
		return r
	}
	return r.WithAlternatives(e.others(e.Views.Load(), service))
}
