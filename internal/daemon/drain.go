package daemon

import (
	"sync"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/drain"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/route"
	"toucanpulley.example/internal/serve"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/view"
)

// drainer runs the loop of the drain world and tracks the requests in flight.
type drainer struct {
	loop     *tick.Loop[drain.Event, drain.Command]
	inFlight *serve.InFlight

	mu             sync.Mutex
	cutOffRequests []model.RequestID
	// wasCutOff is set if the drain ended without waiting for all requests.
	wasCutOff bool

	// revision and refusing are used only by the goroutine of the control loop.
	revision model.Revision
	refusing bool
}

func newDrainer(execute func(drain.Command)) *drainer {
	d := &drainer{inFlight: serve.NewInFlight()}
	d.loop = tick.NewLoop[drain.Event, drain.Command](drain.NewWorld(), execute)
	return d
}

// applyView passes changed settings to the drain world. After the first view that
// refuses new requests, it notifies the world once the requests in flight have
// finished. The lanes must have received the view before.
func (d *drainer) applyView(v view.View) {
	if v.Revision != d.revision {
		d.revision = v.Revision
		d.loop.Send(drain.SettingsChanged{Tree: v.Tree})
	}
	if v.Draining && !d.refusing {
		d.refusing = true
		d.inFlight.Drain(func() { d.loop.Send(drain.Idle{}) })
	}
}

// recordCutOff records the requests in flight as cut off and returns them.
func (d *drainer) recordCutOff() []model.RequestID {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wasCutOff, d.cutOffRequests = true, d.inFlight.Requests()
	return d.cutOffRequests
}

// outcome returns whether the drain was cut off, and an error if requests in
// flight were cut off by it.
func (d *drainer) outcome() (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.cutOffRequests) == 0 {
		return d.wasCutOff, nil
	}
	return d.wasCutOff, fault.New("drain", "", "%d requests were cut off", len(d.cutOffRequests))
}

// Drain starts a graceful shutdown and returns without waiting for it. Run
// returns when the shutdown is complete. A second call ends the shutdown at once
// and cuts off the requests in flight.
func (d *Daemon) Drain() {
	select {
	case <-d.started:
		d.drainer.loop.Send(drain.Requested{})
	case <-d.done:
	}
}

// executeDrain runs a command of the drain world.
func (d *Daemon) executeDrain(c drain.Command) {
	switch c := c.(type) {
	case drain.Leave:
		d.Log.Info("drain: removing this host from the addresses returned to callers")
		d.control.Send(ctrl.LeaveRequested{})
		if d.OnLeave != nil {
			d.goroutines.Go(d.OnLeave)
		}
	case drain.Refuse:
		d.Log.Info("drain: refusing new requests")
		d.control.Send(ctrl.RefuseRequested{})
	case drain.Release:
		d.Log.Info("drain: releasing seats")
		d.control.Send(ctrl.RouteEvent{Event: route.ReleaseRequested{}})
	case drain.Abort:
		for _, id := range d.drainer.recordCutOff() {
			d.Log.Error("drain: request cut off", "request", id, "phase", c.Phase, "forced", c.Forced)
		}
	case drain.Stop:
		d.Log.Info("drain: stopping")
		d.stop()
	}
}

// InFlight returns the ids of the requests in flight.
func (d *Daemon) InFlight() []model.RequestID { return d.drainer.inFlight.Requests() }
