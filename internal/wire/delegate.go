package wire

import (
	"fmt"
	"time"

	"toucanpulley.example/internal/heads"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/relay"
)

// EncodeDelegatedCalls encodes calls that another host sends for this one.
func EncodeDelegatedCalls(c relay.DelegateCalls, message []byte) *peer.DelegateRequest {
	m := &peer.DelegateRequest{
		RequestId: string(c.Request), Message: message, TimeoutMs: uint32(max(c.Timeout.Milliseconds(), 1)), TopK: uint32(c.TopK),
		Calls: make([]*peer.DelegatedCall, 0, len(c.Calls)),
	}
	for _, d := range c.Calls {
		m.Calls = append(m.Calls, &peer.DelegatedCall{Call: uint64(d.Call), Searcher: string(d.Searcher)})
	}
	return m
}

// DecodeDelegatedCalls decodes calls that another host delegates to this one. The
// caller sets Message and Offset.
func DecodeDelegatedCalls(m *peer.DelegateRequest) relay.GuestCalls {
	c := relay.GuestCalls{
		Guest: guestOf(m), Request: model.RequestID(m.GetRequestId()), Timeout: time.Duration(m.GetTimeoutMs()) * time.Millisecond, TopK: int(m.GetTopK()),
		Calls: make([]relay.DelegatedCall, 0, len(m.GetCalls())),
	}
	for _, d := range m.GetCalls() {
		c.Calls = append(c.Calls, relay.DelegatedCall{Call: relay.CallID(d.GetCall()), Searcher: model.SearcherID(d.GetSearcher())})
	}
	return c
}

// DecodeCancelledCalls decodes the calls that another host no longer needs.
func DecodeCancelledCalls(m *peer.DelegateRequest) relay.GuestCancelled {
	c := relay.GuestCancelled{Guest: guestOf(m)}
	for _, id := range m.GetCancelled() {
		c.Calls = append(c.Calls, relay.CallID(id))
	}
	return c
}

func guestOf(m *peer.DelegateRequest) relay.Guest {
	return relay.Guest{Host: model.HostID(m.GetSender()), Process: m.GetProcess(), Peer: model.Address(m.GetPeerAddress())}
}

// EncodeGuestReplies encodes the results of delegated calls.
func EncodeGuestReplies(c relay.GuestReplies) *peer.DeliverRequest {
	m := &peer.DeliverRequest{Process: c.Guest.Process, Results: make([]*peer.DelegatedResult, 0, len(c.Results))}
	for _, r := range c.Results {
		d := &peer.DelegatedResult{
			Call: uint64(r.Call), Status: uint32(r.Reply.Status), Signature: r.Reply.Signature, Body: r.Reply.Body,
			NotRun: r.Reply.NotRun || r.NotRun, Misdirected: r.Reply.Misdirected, Leaving: r.Reply.Leaving,
			RetryAfterMs: uint32(r.Reply.RetryAfter.Milliseconds()),
			Failed:       r.Failed, Failure: uint32(r.Failure), Cause: r.Cause,
		}
		if r.Reply.RateLimited {
			d.RateLimit = &r.Reply.RateLimit
		}
		m.Results = append(m.Results, d)
	}
	return m
}

// DecodeGuestReplies decodes the results of calls that this host delegated. A failure
// that is not known counts as one of the other host, and a reply without a valid status
// as none.
func DecodeGuestReplies(m *peer.DeliverRequest) []relay.GuestResult {
	list := make([]relay.GuestResult, 0, len(m.GetResults()))
	for _, d := range m.GetResults() {
		r := relay.GuestResult{Call: relay.CallID(d.GetCall())}
		switch status := d.GetStatus(); {
		case d.GetFailed():
			r.Failed, r.NotRun, r.Cause = true, d.GetNotRun(), d.GetCause()
			r.Failure = model.Failure(min(d.GetFailure(), uint32(model.FailureDelegate)))
		case !heads.ValidStatus(int(status)):
			r.Failed, r.Failure, r.Cause = true, model.FailureTruncated, fmt.Sprintf("the reply has the invalid status %d", status)
		default:
			r.Reply = relay.Reply{
				Status: int(d.GetStatus()), Signature: d.GetSignature(), Body: d.GetBody(), NotRun: d.GetNotRun(),
				Misdirected: d.GetMisdirected(), Leaving: d.GetLeaving(), RetryAfter: time.Duration(d.GetRetryAfterMs()) * time.Millisecond,
				RateLimited: d.RateLimit != nil, RateLimit: d.GetRateLimit(),
			}
		}
		list = append(list, r)
	}
	return list
}
