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

// ForwardSearchFunc sends a caller's search to another entry host, which must
// answer it with ForwardedSearch. An error contains the refusal of the other
// host; after an error without a refusal, the search may or may not have run.
type ForwardSearchFunc func(ctx context.Context, to model.EntryAddress, m *entry.SearchRequest) (*entry.SearchResponse, error)

// ForwardSendFunc sends a caller's keyed request to another entry host, which must
// answer it with ForwardedSend. Errors are as for ForwardSearchFunc.
type ForwardSendFunc func(ctx context.Context, to model.EntryAddress, m *entry.SendRequest) (*entry.SendResponse, error)

// ForwardedSend answers a keyed request that another entry host forwarded. It is
// not forwarded again.
func (e *Entry) ForwardedSend(ctx context.Context, m *entry.SendRequest) (*entry.SendResponse, error) {
	return e.send(ctx, m, false)
}

// ForwardedSearch answers a search that another entry host forwarded. It is not
// forwarded again: if this host does not run the service, the search is refused.
func (e *Entry) ForwardedSearch(ctx context.Context, m *entry.SearchRequest) (*entry.SearchResponse, error) {
	return e.search(ctx, m, false)
}

// forwardTargets returns the hosts to which to forward a request, in order of
// preference; none if this host runs the service. The order is rotated by the
// request id to spread the load. Hosts known to hold a seat of the service come
// first, then the other hosts that are assigned to it: the known holders may be out of
// date, and one that was killed stays among them until its failure is known.
func (e *Entry) forwardTargets(v view.View, service model.ServiceName, id model.RequestID) []model.EntryAddress {
	if v.Runs(service) || e.ForwardSearch == nil {
		return nil
	}
	holders := v.SeatHolderAddresses(service)
	others := slices.DeleteFunc(assignedHosts(e.otherHosts(v, service)), func(a model.EntryAddress) bool {
		return slices.ContainsFunc(holders, func(h model.EntryAddress) bool { return h.Host == a.Host })
	})
	return slices.Concat(rotate(holders, id), rotate(others, id))
}

// rotate returns a list of hosts rotated by the request id.
func rotate(hosts []model.EntryAddress, id model.RequestID) []model.EntryAddress {
	if len(hosts) == 0 {
		return nil
	}
	offset := xxhash.Sum64String(string(id)) % uint64(len(hosts))
	return slices.Concat(hosts[offset:], hosts[:offset])
}

// assignedHosts returns the addresses with the highest weight, which are those of
// the hosts that are assigned to a service.
func assignedHosts(addresses []model.EntryAddress) []model.EntryAddress {
	maxWeight := uint32(0)
	for _, a := range addresses {
		maxWeight = max(maxWeight, a.Weight)
	}
	return slices.DeleteFunc(addresses, func(a model.EntryAddress) bool { return a.Weight < maxWeight })
}

// otherHosts returns the entry hosts of a service except this one.
func (e *Entry) otherHosts(v view.View, service model.ServiceName) []model.EntryAddress {
	return slices.DeleteFunc(slices.Clone(v.Addresses[service]), func(a model.EntryAddress) bool { return a.Host == e.host })
}

// forward runs a request on the first of several hosts that accepts it. It tries
// the next host only if the previous one refused the request as not run because
// it was not ready or draining.
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
	answer, to, err := forward(ctx, e, hosts, m, e.ForwardSearch)
	if err == nil {
		return answer, nil
	}
	reason := model.ReasonNoReplica
	if connect.CodeOf(err) == connect.CodeDeadlineExceeded || ctx.Err() != nil {
		reason = model.ReasonDeadlineExpired
	}
	return nil, e.forwardRefusal(err, reason, to, service)
}

// forwardSend runs a keyed request on another host. If that host does not respond,
// the outcome is unknown; the caller can safely retry with the same key.
func (e *Entry) forwardSend(ctx context.Context, hosts []model.EntryAddress, m *entry.SendRequest, service model.ServiceName, deadline time.Time) (*entry.SendResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, to, err := forward(ctx, e, hosts, m, e.ForwardSend)
	if err == nil {
		return answer, nil
	}
	return nil, e.forwardRefusal(err, model.ReasonOutcomeUnknown, to, service)
}

// forwardRefusal returns the refusal in the error of a forwarded request, or one
// with the given reason if the other host did not respond.
func (e *Entry) forwardRefusal(err error, reason model.Reason, to model.EntryAddress, service model.ServiceName) error {
	if refusal, ok := wire.RefusalOf(err); ok {
		return e.refuse(e.withOtherHosts(refusal, service))
	}
	return e.refuse(model.NewRefusal(reason, "host %s, which runs the service, did not answer: %v", to.Host, err).
		WithExecution(model.MayHaveRun).WithAlternatives(e.otherHosts(e.Views.Load(), service)))
}
