package client

import (
	"context"
	"errors"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/pkg/entry"
)

func (c *Client) entryClient(address model.Address) entry.EntryServiceClient {
	scheme := "http://"
	if c.TLS != nil {
		scheme = "https://"
	}
	return entry.NewEntryServiceClient(c.HTTP, scheme+string(address))
}

// fetchAddresses requests the addresses of a service from one entry host and
// returns the event for the result.
func (c *Client) fetchAddresses(cmd fetchAddresses) event {
	answer, cause := c.callAddresses(c.ctx, cmd.address, cmd.service)
	if answer == nil {
		return addressesFailed{cmd.service, cause}
	}
	return addressesReceived{
		service: cmd.service, hosts: addressesOf(answer.GetAddresses()),
		ttl: time.Duration(answer.GetTtlMs()) * time.Millisecond,
	}
}

// callAddresses calls the Addresses method of one entry host. The call runs no
// request on a searcher, so a failed one counts as unsent.
func (c *Client) callAddresses(ctx context.Context, address model.Address, service string) (*entry.AddressesResponse, failure) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	r, err := c.entryClient(address).Addresses(ctx, connect.NewRequest(&entry.AddressesRequest{Service: service}))
	if err != nil {
		return nil, classifyError(err, address, true)
	}
	return r.Msg, failure{}
}

// sendAttempt sends a request to one entry host and returns the event for the
// result. The request is known not to have run if its headers were never written.
func (c *Client) sendAttempt(p *pendingRequest, a attempt) event {
	var written atomic.Bool
	ctx := httptrace.WithClientTrace(p.ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	reply, err := c.callEntry(ctx, p.message, a.host.Address)
	if err != nil {
		return attemptFailed{a.id, a.host, classifyError(err, a.host.Address, !written.Load())}
	}
	return attemptReplied{a.id, a.host, reply}
}

// callEntry calls the method of the entry service that takes the message.
func (c *Client) callEntry(ctx context.Context, m message, address model.Address) (any, error) {
	switch m := m.(type) {
	case *entry.SearchRequest:
		r, err := c.entryClient(address).Search(ctx, connect.NewRequest(m))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	case *entry.SendRequest:
		r, err := c.entryClient(address).Send(ctx, connect.NewRequest(m))
		if err != nil {
			return nil, err
		}
		return r.Msg, nil
	}
	return nil, errors.New("unknown request type")
}

// classifyError returns the reason for a failed call, and whether the request is
// known not to have run: the host reported so, or no byte of it was written.
func classifyError(err error, peer model.Address, unsent bool) failure {
	f := failure{peer: string(peer), reason: ReasonLost, detail: err.Error(), notRun: unsent}
	var ce *connect.Error
	if errors.As(err, &ce) {
		for _, d := range ce.Details() {
			value, detailErr := d.Value()
			m, ok := value.(*entry.Refusal)
			if detailErr == nil && ok {
				f.reason = m.GetReason()
				// The error message has the form "reason (execution): detail".
				_, f.detail, _ = strings.Cut(ce.Message(), ": ")
				f.notRun = m.GetExecution() == entry.Execution_EXECUTION_NOT_RUN
				f.alternatives = addressesOf(m.GetAddresses())
				return f
			}
		}
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		f.reason = ReasonDeadline
	case errors.Is(err, context.Canceled):
		f.reason = ReasonCancelled
	case unsent:
		f.reason = ReasonUnreachable
	}
	return f
}

func addressesOf(list []*entry.EntryAddress) []model.EntryAddress {
	out := make([]model.EntryAddress, 0, len(list))
	for _, a := range list {
		out = append(out, model.EntryAddress{
			Host: model.HostID(a.GetHost()), Address: model.Address(a.GetAddress()),
			FailureDomain: model.FailureDomain(a.GetFailureDomain()), Weight: a.GetWeight(),
		})
	}
	return out
}
