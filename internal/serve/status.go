package serve

import (
	"context"

	"connectrpc.com/connect"

	"toucanpulley.example/pkg/entry"
)

// Status returns the status of this entry host as JSON.
func (a *Admin) Status(ctx context.Context, _ *connect.Request[entry.StatusRequest]) (*connect.Response[entry.StatusResponse], error) {
	data, err := a.StatusJSON(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&entry.StatusResponse{Json: data}), nil
}

// Drain starts a graceful shutdown of this entry host without waiting for it.
func (a *Admin) Drain(context.Context, *connect.Request[entry.DrainRequest]) (*connect.Response[entry.DrainResponse], error) {
	a.StartDrain()
	return connect.NewResponse(&entry.DrainResponse{}), nil
}
