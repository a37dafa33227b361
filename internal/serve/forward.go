package serve

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// ForwardSearch sends a caller's search to another entry host, which must answer
// it with Forwarded. An error carries the other host's refusal; one without a
// refusal proves nothing about whether the search ran.
type ForwardSearch func(ctx context.Context, to model.EntryAddress, m *entry.SearchRequest) (*entry.SearchResponse, error)

// ForwardKeyed sends a caller's keyed request to another entry host, which must
// answer it with ForwardedSend. Errors are as for ForwardSearch.
type ForwardKeyed func(ctx context.Context, to model.EntryAddress, m *entry.SendRequest) (*entry.SendResponse, error)

// ForwardedSend answers a keyed request that another entry host forwarded.
func (e *Entry) ForwardedSend(ctx context.Context, m *entry.SendRequest) (*entry.SendResponse, error) {
	return e.send(ctx, m, false)
}

// Forwarded answers a search that another entry host forwarded. It is not
// forwarded again: if this host does not run the service either, it is refused.
func (e *Entry) Forwarded(ctx context.Context, m *entry.SearchRequest) (*entry.SearchResponse, error) {
	return e.search(ctx, m, false)
}

// elsewhere returns the hosts that run a service, in the order in which to try
// them, if this host does not run it.
func (e *Entry) elsewhere(v view.View, service model.ServiceName, id model.RequestID) []model.EntryAddress {
	if v.Runs(service) || e.Forward == nil {
		return nil
	}
	owners := v.SeatHolderAddresses(service)
	if len(owners) == 0 {
		owners = heaviest(e.others(v, service))
	}
	if len(owners) == 0 {
		return nil
	}
	first := xxhash.Sum64String(string(id)) % uint64(len(owners))
	return slices.Concat(owners[first:], owners[:first])
}

// heaviest returns the addresses with the largest weight: those of the hosts that
// are assigned to a service.
func heaviest(list []model.EntryAddress) []model.EntryAddress {
	most := uint32(0)
	for _, a := range list {
		most = max(most, a.Weight)
	}
	return slices.DeleteFunc(list, func(a model.EntryAddress) bool { return a.Weight < most })
}

// forward runs a request on the first of several hosts that takes it. Another
// host is tried only if the one before has proved that it did not run the
// request because it cannot run any.
func forward[Q, R any](ctx context.Context, e *Entry, hosts []model.EntryAddress, request Q,
	call func(context.Context, model.EntryAddress, Q) (R, error),
) (answer R, to model.EntryAddress, err error) {
	for _, to = range hosts {
		e.Meter.Count("forward", "sent")
		if answer, err = call(ctx, to, request); err == nil {
			return answer, to, nil
		}
		e.Meter.Count("forward", "failed")
		refusal, ok := wire.RefusalOf(err)
		if !ok || refusal.Execution != model.NotRun ||
			refusal.Reason != model.ReasonNotReady && refusal.Reason != model.ReasonDraining {
			break
		}
	}
	return answer, to, err
}

// forwardSearch runs a search on another host.
func (e *Entry) forwardSearch(ctx context.Context, hosts []model.EntryAddress, m *entry.SearchRequest, service model.ServiceName, deadline time.Time) (*entry.SearchResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, to, err := forward(ctx, e, hosts, m, e.Forward)
	if err == nil {
		return answer, nil
	}
	reason := model.ReasonNoReplica
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded || ctx.Err() != nil {
		reason = model.ReasonDeadlineExpired
	}
	return nil, e.forwardFailed(err, reason, to, service)
}

// forwardSend runs a keyed request on another host. If that host does not
// answer, the outcome is unknown; the key makes it safe to ask again.
func (e *Entry) forwardSend(ctx context.Context, hosts []model.EntryAddress, m *entry.SendRequest, service model.ServiceName, deadline time.Time) (*entry.SendResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, to, err := forward(ctx, e, hosts, m, e.ForwardSend)
	if err == nil {
		return answer, nil
	}
	return nil, e.forwardFailed(err, model.ReasonOutcomeUnknown, to, service)
}

// forwardFailed returns the refusal of the host that was asked, or one with a
// reason if that host did not answer.
func (e *Entry) forwardFailed(err error, reason model.Reason, to model.EntryAddress, service model.ServiceName) error {
	if refusal, ok := wire.RefusalOf(err); ok {
		return e.refuse(e.withOthers(refusal, service))
	}
	return e.refuse(model.NewRefusal(reason, "host %s, which runs the service, did not answer: %v", to.Host, err).
		WithExecution(model.MayHaveRun).WithAlternatives(e.others(e.Views.Load(), service)))
}
