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
	// maxChange is the largest request of an operator, in bytes: 256 edits of
	// less than 1 KB each.
	maxChange = 256 << 10
	// defaultHistory and maxHistory are the number of entries of a history
	// answer if the operator names none, and at most.
	defaultHistory = 20
	maxHistory     = 1000
)

// Admin serves the settings part of AdminService. Fields are set before the
// first request.
type Admin struct {
	entry.UnimplementedAdminServiceHandler

	Views *view.Atomic
	Meter *meter.Meter
	// Authorize returns an error for a connection that is not an operator's; nil
	// to accept every connection.
	Authorize func(*tls.ConnectionState) error
	// Apply carries a change through and answers what became of it.
	Apply func(ctx context.Context, c tree.Change, repeated bool) edit.Answer
	// Resolve tells what became of a change.
	Resolve func(ctx context.Context, id tree.ChangeID, base model.Revision) edit.Answer
	// Records returns up to limit records before a revision, oldest first; of
	// the newest if before is zero.
	Records func(ctx context.Context, limit int, before model.Revision) ([]tree.Record, error)
	// State returns the state of the host as a JSON document.
	State func(context.Context) ([]byte, error)
	// StartDrain starts a graceful shutdown.
	StartDrain func()
}

// NewAdmin returns the handler of a host.
func NewAdmin() *Admin { return &Admin{} }

// Handler returns the path and handler for a mux.
func (a *Admin) Handler() (string, http.Handler) {
	path, handler := entry.NewAdminServiceHandler(a, connect.WithReadMaxBytes(maxChange))
	return path, a.guard(handler)
}

// guard refuses the calls of all but operators before anything of them is read.
func (a *Admin) guard(next http.Handler) http.Handler {
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

// ApplyChange edits several nodes of the settings tree atomically.
func (a *Admin) ApplyChange(ctx context.Context, r *connect.Request[entry.ApplyChangeRequest]) (*connect.Response[entry.ApplyChangeResponse], error) {
	c, err := wire.Change(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := a.Apply(ctx, c, r.Msg.GetRepeatedSubmission())
	return connect.NewResponse(wire.ApplyChangeResponse(answer)), nil
}

// ResolveChange tells what became of a change.
func (a *Admin) ResolveChange(ctx context.Context, r *connect.Request[entry.ResolveChangeRequest]) (*connect.Response[entry.ResolveChangeResponse], error) {
	id := tree.ChangeID(r.Msg.GetChangeId())
	if err := id.Check(); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := a.Resolve(ctx, id, model.Revision(r.Msg.GetBaseRevision()))
	return connect.NewResponse(wire.ResolveChangeResponse(answer)), nil
}

// GetSettings returns the nodes at and below a path, of the revision in force
// on this host.
func (a *Admin) GetSettings(_ context.Context, r *connect.Request[entry.GetSettingsRequest]) (*connect.Response[entry.GetSettingsResponse], error) {
	v, p, err := a.at(r.Msg.GetPath())
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

// ExplainSettings returns the effective values at a node, of the revision in
// force on this host, with the node that each came from.
func (a *Admin) ExplainSettings(_ context.Context, r *connect.Request[entry.ExplainSettingsRequest]) (*connect.Response[entry.ExplainSettingsResponse], error) {
	v, p, err := a.at(r.Msg.GetPath())
	if err != nil {
		return nil, err
	}
	values, err := v.Tree.Explain(p)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&entry.ExplainSettingsResponse{
		Revision: uint64(v.Revision), Values: wire.EffectiveValues(values),
	}), nil
}

// at returns the view in force and the path; the root if it is empty.
func (a *Admin) at(path string) (view.View, tree.Path, error) {
	if path == "" {
		path = string(tree.Root)
	}
	p, err := tree.ParsePath(path)
	if err != nil {
		return view.View{}, "", connect.NewError(connect.CodeInvalidArgument, err)
	}
	return a.Views.Load(), p, nil
}

// History lists accepted changes, newest first, as the platform holds them.
func (a *Admin) History(ctx context.Context, r *connect.Request[entry.HistoryRequest]) (*connect.Response[entry.HistoryResponse], error) {
	limit := int(min(r.Msg.GetLimit(), maxHistory))
	if limit == 0 {
		limit = defaultHistory
	}
	records, err := a.Records(ctx, limit, model.Revision(r.Msg.GetBeforeRevision()))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(wire.HistoryResponse(records)), nil
}
