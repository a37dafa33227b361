package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/intake"
	"toucanpulley.example/internal/link"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
	"toucanpulley.example/internal/serve"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// Method names of forwarded requests.
const (
	methodSearch = "search"
	methodSend   = "send"
)

func (d *Daemon) forwardSearch(ctx context.Context, to model.EntryAddress, m *entry.SearchRequest) (*entry.SearchResponse, error) {
	answer := &entry.SearchResponse{}
	return answer, d.forward(ctx, to, methodSearch, m, answer)
}

func (d *Daemon) forwardSend(ctx context.Context, to model.EntryAddress, m *entry.SendRequest) (*entry.SendResponse, error) {
	answer := &entry.SendResponse{}
	return answer, d.forward(ctx, to, methodSend, m, answer)
}

// forward sends a caller's request to a peer and decodes the response into
// answer. It does not retry. If the peer refused the request, the error carries
// the refusal.
func (d *Daemon) forward(ctx context.Context, to model.EntryAddress, method string, request, answer proto.Message) error {
	members := d.views.Load().Members
	i := slices.IndexFunc(members, func(m model.Member) bool { return m.Host.ID == to.Host })
	if i < 0 {
		// The refusal reports that the request has not run, as it was not sent.
		return wire.RefusalError(model.NewRefusal(model.ReasonNotReady, "host %s, which runs the service, is gone", to.Host))
	}
	address := members[i].Host.Peer
	data, err := proto.Marshal(request)
	if err != nil {
		return fault.Wrap(err, "encode forwarded request", string(address))
	}
	deadline, _ := ctx.Deadline()
	r, err := d.peers.pool.Forward(ctx, address, &peer.ForwardRequest{
		Sender: string(d.settings.Host), Method: method, Request: data,
		TimeoutMs: uint32(max(time.Until(deadline).Milliseconds(), 1)),
	})
	if errors.Is(err, link.ErrNotSent) {
		return wire.RefusalError(model.NewRefusal(model.ReasonNotReady, "host %s, which runs the service, could not be reached: %v", to.Host, err))
	}
	if err != nil {
		return fault.Wrap(err, "forward request", string(address))
	}
	if r.GetErrorCode() != 0 {
		return wire.DecodeForwardedError(r)
	}
	return fault.Wrap(proto.Unmarshal(r.GetResponse(), answer), "decode forwarded answer", string(address))
}

// limitForwarded refuses forwarded requests for which the callers' requests leave no
// memory.
func limitForwarded(callers *intake.Limiter, next func(context.Context, *peer.ForwardRequest) (*peer.ForwardResponse, error),
) func(context.Context, *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return func(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
		if len(m.GetRequest()) <= smallMessageBytes {
			return next(ctx, m)
		}
		release, ok := callers.Hold(len(m.GetRequest()))
		if !ok {
			refusal := model.NewRefusal(model.ReasonRequestMemory, "the requests in progress leave no memory for %d bytes", len(m.GetRequest()))
			var refused *connect.Error
			if err := wire.RefusalError(refusal); !errors.As(err, &refused) {
				return nil, err
			}
			return wire.EncodeForwardedError(refused), nil
		}
		defer release()
		return next(ctx, m)
	}
}

// forwardHandler returns the handler of requests that peers forward to this
// host. The handler never forwards a request again.
func forwardHandler(e *serve.Entry) func(context.Context, *peer.ForwardRequest) (*peer.ForwardResponse, error) {
	return func(ctx context.Context, m *peer.ForwardRequest) (*peer.ForwardResponse, error) {
		switch m.GetMethod() {
		case methodSearch:
			return answerForwarded(ctx, m, &entry.SearchRequest{}, e.ForwardedSearch)
		case methodSend:
			return answerForwarded(ctx, m, &entry.SendRequest{}, e.ForwardedSend)
		default:
			return nil, fault.New("answer forwarded request", m.GetSender(), "method %q is not known", m.GetMethod())
		}
	}
}

// answerForwarded decodes a forwarded request, runs it and encodes the response
// or the error.
func answerForwarded[Q, R proto.Message](ctx context.Context, m *peer.ForwardRequest, request Q,
	run func(context.Context, Q) (R, error),
) (*peer.ForwardResponse, error) {
	if err := proto.Unmarshal(m.GetRequest(), request); err != nil {
		return nil, fault.Wrap(err, "decode forwarded request", m.GetSender())
	}
	answer, err := run(ctx, request)
	var refused *connect.Error
	if errors.As(err, &refused) {
		return wire.EncodeForwardedError(refused), nil
	}
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(answer)
	return &peer.ForwardResponse{Response: data}, fault.Wrap(err, "encode forwarded answer", m.GetSender())
}
