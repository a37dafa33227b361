package serve

import (
	"context"
	"crypto/tls"
	"net/http"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/edit"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

const (
	// maxChangeBytes is the maximum size of an operator's request: 256 edits of
	// less than 1 KB each.
	maxChangeBytes = 256 << 10
	// defaultHistoryEntries and maxHistoryEntries are the default and the maximum
	// number of entries in a history response.
	defaultHistoryEntries = 20
	maxHistoryEntries     = 1000
)

// Admin implements AdminService. Its exported fields must be set before the first
// request.
type Admin struct {
	entry.UnimplementedAdminServiceHandler

	Views *view.Atomic
	Meter *meter.Meter
	// Authorize returns an error if a connection does not belong to an operator;
	// nil to accept every connection.
	Authorize func(*tls.ConnectionState) error
	// Apply applies a change and returns its outcome.
	Apply func(ctx context.Context, c tree.Change, repeated bool) edit.Answer
	// Resolve determines the outcome of an earlier change.
	Resolve func(ctx context.Context, id tree.ChangeID, base model.Revision) edit.Answer
	// Records returns the last records before a revision, at most limit, oldest
	// first; the newest records if before is zero.
	Records func(ctx context.Context, limit int, before model.Revision) ([]tree.Record, error)
	// StatusJSON returns the status of the host as a JSON document.
	StatusJSON func(context.Context) ([]byte, error)
	// StartDrain starts a graceful shutdown.
	StartDrain func()
}

// NewAdmin returns an Admin whose fields are not set.
func NewAdmin() *Admin { return &Admin{} }

// Handler returns the path at which to mount the service, and its handler.
func (a *Admin) Handler() (string, http.Handler) {
	path, handler := entry.NewAdminServiceHandler(a, connect.WithReadMaxBytes(maxChangeBytes))
	return path, a.requireOperator(handler)
}

// requireOperator rejects calls of anyone but operators before their body is read.
func (a *Admin) requireOperator(next http.Handler) http.Handler {
	if a.Authorize == nil {
		return next
	}
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := a.Authorize(r.TLS)
		if err == nil {
			next.ServeHTTP(w, r)
			return
		}
		a.Meter.Count("refusal", string(model.ReasonUnauthenticated))
		if !writer.IsSupported(r) {
			http.Error(w, err.Error(), http.StatusUnauthorized)
			return
		}
		_ = writer.Write(w, r, wire.RefusalError(model.NewRefusal(model.ReasonUnauthenticated, "%v", err)))
	})
}

// ApplyChange applies a set of edits to the settings tree atomically.
func (a *Admin) ApplyChange(ctx context.Context, r *connect.Request[entry.ApplyChangeRequest]) (*connect.Response[entry.ApplyChangeResponse], error) {
	c, err := wire.DecodeChange(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := a.Apply(ctx, c, r.Msg.GetRepeatedSubmission())
	return connect.NewResponse(wire.ApplyChangeResponse(answer)), nil
}

// ResolveChange determines the outcome of an earlier change.
func (a *Admin) ResolveChange(ctx context.Context, r *connect.Request[entry.ResolveChangeRequest]) (*connect.Response[entry.ResolveChangeResponse], error) {
	id := tree.ChangeID(r.Msg.GetChangeId())
	if err := id.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := a.Resolve(ctx, id, model.Revision(r.Msg.GetBaseRevision()))
	return connect.NewResponse(wire.ResolveChangeResponse(answer)), nil
}

// GetSettings returns a node and its descendants in the revision in force on this
// host.
func (a *Admin) GetSettings(_ context.Context, r *connect.Request[entry.GetSettingsRequest]) (*connect.Response[entry.GetSettingsResponse], error) {
	v, p, err := a.viewAndPath(r.Msg.GetPath())
	if err != nil {
		return nil, err
	}
	if r.Msg.GetRevisionOnly() {
		return connect.NewResponse(&entry.GetSettingsResponse{Revision: uint64(v.Revision)}), nil
	}
	nodes, err := wire.NodeMessages(v.Tree, p)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&entry.GetSettingsResponse{Revision: uint64(v.Revision), Nodes: nodes}), nil
}

// ExplainSettings returns the effective values at a node in the revision in force
// on this host, each with the node that sets it.
func (a *Admin) ExplainSettings(_ context.Context, r *connect.Request[entry.ExplainSettingsRequest]) (*connect.Response[entry.ExplainSettingsResponse], error) {
	v, p, err := a.viewAndPath(r.Msg.GetPath())
	if err != nil {
		return nil, err
	}
	values, err := v.Tree.Explain(p)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&entry.ExplainSettingsResponse{
		Revision: uint64(v.Revision), Values: wire.EffectiveValueMessages(values),
	}), nil
}

// viewAndPath returns the current view and the parsed path; an empty path means
// the root.
func (a *Admin) viewAndPath(path string) (view.View, tree.Path, error) {
	if path == "" {
		path = string(tree.Root)
	}
	p, err := tree.ParsePath(path)
	if err != nil {
		return view.View{}, "", connect.NewError(connect.CodeInvalidArgument, err)
	}
	return a.Views.Load(), p, nil
}

// History returns accepted changes, newest first, as stored on the platform.
func (a *Admin) History(ctx context.Context, r *connect.Request[entry.HistoryRequest]) (*connect.Response[entry.HistoryResponse], error) {
	limit := int(min(r.Msg.GetLimit(), maxHistoryEntries))
	if limit == 0 {
		limit = defaultHistoryEntries
	}
	records, err := a.Records(ctx, limit, model.Revision(r.Msg.GetBeforeRevision()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(wire.HistoryResponse(records)), nil
}
