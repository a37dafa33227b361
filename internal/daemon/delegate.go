package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/conns"
	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/intake"
	"toucanpulley.example/internal/link"
	"toucanpulley.example/internal/member"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/wire"
)

// delegateTimeout limits the confirmation of a message with delegated calls or their
// results. The receiver confirms it before it does anything.
const delegateTimeout = 500 * time.Millisecond

// smallMessageBytes is the size up to which messages of other hosts are not counted. Their
// number is bounded by the connections of peers.
const smallMessageBytes = 4 << 10

// delegator exchanges delegated calls and their results with other hosts.
type delegator struct {
	self  model.Host
	codec conns.Codec
	peers *peerTransport
	lane  *relayLane
	// process identifies this process, so that results of calls of an earlier one are
	// not taken for those of its own calls.
	process uint64
	// callers bounds the memory of requests.
	callers *intake.Limiter
}

func newDelegator(self model.Host, codec conns.Codec, peers *peerTransport, lane *relayLane, callers *intake.Limiter) *delegator {
	d := &delegator{self: self, codec: codec, peers: peers, lane: lane, process: rand.Uint64(), callers: callers}
	peers.server.Delegate, peers.server.Deliver = d.handleDelegate, d.handleDeliver
	return d
}

// execute runs a command of the lane that concerns other hosts.
func (d *delegator) execute(c relay.Command) {
	switch c := c.(type) {
	case relay.DelegateCalls:
		d.peers.calls.Go(func() { d.delegate(c) })
	case relay.CancelDelegated:
		d.peers.calls.Go(func() { d.cancel(c) })
	case relay.GuestReplies:
		d.peers.calls.Go(func() { d.deliver(c) })
	}
}

func (d *delegator) delegate(c relay.DelegateCalls) {
	err := d.send(c.Delegate, wire.EncodeDelegatedCalls(c, d.codec.Marshal(c.Message)))
	if err == nil {
		return
	}
	failed := relay.DelegationFailed{Delegate: c.Delegate.ID, NotRun: errors.Is(err, link.ErrNotSent), Cause: err.Error()}
	for _, call := range c.Calls {
		failed.Calls = append(failed.Calls, call.Call)
	}
	d.lane.loop.Send(failed)
	d.peers.send(ctrl.MemberEvent{Event: member.CallFailed{Host: c.Delegate.ID}}) // probes the host at once
}

func (d *delegator) cancel(c relay.CancelDelegated) {
	m := &peer.DelegateRequest{Cancelled: make([]uint64, 0, len(c.Calls))}
	for _, id := range c.Calls {
		m.Cancelled = append(m.Cancelled, uint64(id))
	}
	if err := d.send(c.Delegate, m); err != nil {
		// The calls end with their time.
		d.peers.meter.Count("delegate", "cancelFailed")
		d.peers.log.Debug("peer call failed", "step", "cancel delegated calls", "peer", c.Delegate.Peer, "error", err)
	}
}

func (d *delegator) send(to model.Host, m *peer.DelegateRequest) error {
	m.Sender, m.Process, m.PeerAddress, m.SentMs = string(d.self.ID), d.process, string(d.self.Peer), time.Now().UnixMilli()
	ctx, cancel := context.WithTimeout(d.peers.ctx, delegateTimeout)
	defer cancel()
	_, err := d.peers.pool.Delegate(ctx, to.Peer, m)
	return err
}

// deliver returns results. They are not sent again: the other host asks another
// searcher in time.
func (d *delegator) deliver(c relay.GuestReplies) {
	m := wire.EncodeGuestReplies(c)
	m.Sender = string(d.self.ID)
	ctx, cancel := context.WithTimeout(d.peers.ctx, delegateTimeout)
	defer cancel()
	if _, err := d.peers.pool.Deliver(ctx, c.Guest.Peer, m); err != nil {
		d.peers.meter.Count("delegate", "deliverFailed")
		d.peers.log.Info("cannot return results of delegated calls", "peer", c.Guest.Peer, "results", len(c.Results), "error", err)
	}
}

func (d *delegator) handleDelegate(_ context.Context, m *peer.DelegateRequest) (*peer.DelegateResponse, error) {
	if len(m.GetCancelled()) > 0 {
		d.lane.loop.Send(wire.DecodeCancelledCalls(m))
	}
	if len(m.GetCalls()) == 0 {
		return &peer.DelegateResponse{}, nil
	}
	calls := wire.DecodeDelegatedCalls(m)
	calls.Offset = time.Duration(time.Now().UnixMilli()-m.GetSentMs()) * time.Millisecond
	var err error
	if calls.Message, err = d.codec.Unmarshal(m.GetMessage()); err != nil {
		d.peers.log.Warn("cannot decode delegated calls", "peer", m.GetSender(), "request", m.GetRequestId(), "error", err)
		return nil, err
	}
	if !d.hold(len(m.GetMessage()), calls.Timeout) {
		d.peers.meter.Count("guest", "noMemory")
		return nil, errors.New("the requests in progress leave no memory for the delegated calls")
	}
	d.lane.loop.Send(calls)
	return &peer.DelegateResponse{}, nil
}

// hold takes memory for the message of delegated calls until their time has passed.
func (d *delegator) hold(bytes int, timeout time.Duration) bool {
	if bytes <= smallMessageBytes {
		return true
	}
	release, ok := d.callers.Hold(bytes)
	if ok {
		time.AfterFunc(timeout, release)
	}
	return ok
}

func (d *delegator) handleDeliver(_ context.Context, m *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	if m.GetProcess() != d.process {
		d.peers.meter.Count("drop", "formerProcess")
		return &peer.DeliverResponse{}, nil
	}
	for _, r := range wire.DecodeGuestReplies(m) {
		d.lane.loop.Send(r.Event())
	}
	return &peer.DeliverResponse{}, nil
}
