package daemon

import (
	"context"
	"encoding/json"
	"time"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/wire"
)

// status returns the state of the lane's world.
func (l *lane) status(ctx context.Context) (query.Status, error) {
	return l.statusQuery.do(ctx, l.loop.Done(), func(token uint64) bool {
		return l.loop.Send(query.StatusRequested{Token: token})
	})
}

// status returns the state of the host as the JSON encoding of a
// wire.StatusDocument.
func (d *Daemon) status(ctx context.Context) ([]byte, error) {
	v := d.views.Load()
	doc := wire.StatusDocument{
		Host: string(d.settings.Host), FailureDomain: string(d.settings.FailureDomain),
		Region: string(d.settings.Region), Revision: uint64(v.Revision),
		Ready: v.Ready, NotReadyReason: v.NotReadyReason, Draining: v.Draining,
		Counters: d.Meter.Values(), Time: time.Now().UTC(),
	}
	doc.AddView(v)
	for _, l := range d.lanes {
		s, err := l.status(ctx)
		if err != nil {
			return nil, err
		}
		doc.AddLane(s, d.pool.OpenConnections)
	}
	data, err := json.Marshal(doc)
	return data, fault.Wrap(err, "encode status", "")
}

// status returns the state of the lane's world.
func (l *relayLane) status(ctx context.Context) (relay.Status, error) {
	return l.statusQuery.do(ctx, l.loop.Done(), func(token uint64) bool {
		return l.loop.Send(relay.StatusRequested{Token: token})
	})
}

// Status returns the state of the host as the JSON encoding of a
// wire.RelayStatusDocument. Run must have been called. It returns an error if the
// host is closed or the context is cancelled.
func (r *Relay) Status(ctx context.Context) ([]byte, error) {
	select {
	case <-r.started:
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), "read status", "")
	}
	control, err := r.statusQuery.do(ctx, r.control.Done(), func(token uint64) bool {
		return r.control.Send(ctrl.StatusRequested{Token: token})
	})
	if err != nil {
		return nil, err
	}
	lane, err := r.lane.status(ctx)
	if err != nil {
		return nil, err
	}
	doc := wire.NewRelayStatus(r.Self, r.View(), time.Now())
	doc.AddControl(control)
	doc.AddLane(lane, r.pool.Open)
	doc.Counters = r.Meter.Values()
	data, err := json.Marshal(doc)
	return data, fault.Wrap(err, "encode status", "")
}
