package plat

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/object"
	"toucanpulley.example/internal/store"
)

// Handler returns a handler of the platform's Connect API.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(object.NewObjectServiceHandler(handler{p}))
	return mux
}

type handler struct{ platform *Platform }

func (h handler) Get(ctx context.Context, r *connect.Request[object.GetRequest]) (*connect.Response[object.GetResponse], error) {
	o, err := h.platform.Get(ctx, r.Msg.GetName())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&object.GetResponse{Object: encodeObject(o)}), nil
}

func (h handler) Put(ctx context.Context, r *connect.Request[object.PutRequest]) (*connect.Response[object.PutResponse], error) {
	o, err := h.platform.Put(ctx, r.Msg.GetName(), r.Msg.GetValue(), r.Msg.GetIfVersion())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&object.PutResponse{Object: encodeObject(o)}), nil
}

func (h handler) List(ctx context.Context, r *connect.Request[object.ListRequest]) (*connect.Response[object.ListResponse], error) {
	list, version, err := h.platform.List(ctx, r.Msg.GetPrefix())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&object.ListResponse{Objects: encodeObjects(list), Version: version}), nil
}

func (h handler) Watch(ctx context.Context, r *connect.Request[object.WatchRequest]) (*connect.Response[object.WatchResponse], error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Msg.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	list, version, err := h.platform.Watch(ctx, r.Msg.GetPrefix(), r.Msg.GetAfterVersion())
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&object.WatchResponse{Objects: encodeObjects(list), Version: version}), nil
}

func (h handler) Hosts(ctx context.Context, _ *connect.Request[object.HostsRequest]) (*connect.Response[object.HostsResponse], error) {
	list, err := h.platform.Hosts(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	m := &object.HostsResponse{}
	for _, e := range list {
		m.Hosts = append(m.Hosts, &object.Host{
			Id: e.ID, Role: object.Role(e.Role), Address: string(e.Address), PeerAddress: string(e.Peer),
			FailureDomain: string(e.FailureDomain), Region: string(e.Region), Leaving: e.Leaving,
		})
	}
	return connect.NewResponse(m), nil
}

func connectError(err error) error {
	switch {
	case errors.Is(err, store.ErrNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, store.ErrConflict):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

func encodeObject(o store.Object) *object.Object {
	return &object.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

func encodeObjects(list []store.Object) []*object.Object {
	out := make([]*object.Object, 0, len(list))
	for _, o := range list {
		out = append(out, encodeObject(o))
	}
	return out
}
