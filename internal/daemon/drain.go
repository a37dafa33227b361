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

// drainer runs the drain world of a daemon and carries out its commands.
type drainer struct {
	loop   *tick.Loop[drain.Event, drain.Command]
	flight *serve.InFlight

	mu  sync.Mutex
	cut []model.RequestID
	// ended is set by a drain that was cut off.
	ended bool

	// The control goroutine alone uses these.
	revision model.Revision
	refusing bool
}

func newDrainer(execute func(drain.Command)) *drainer {
	r := &drainer{flight: serve.NewInFlight()}
	r.loop = tick.NewLoop[drain.Event, drain.Command](drain.NewWorld(), execute)
	return r
}

// follow takes a view that traffic has seen. Once it refuses new requests, the
// drain waits for those in flight.
func (r *drainer) follow(v view.View) {
	if v.Revision != r.revision {
		r.revision = v.Revision
		r.loop.Send(drain.SettingsChanged{Tree: v.Tree})
	}
	if v.Draining && !r.refusing {
		r.refusing = true
		r.flight.Drain(func() { r.loop.Send(drain.Idle{}) })
	}
}

// cutOff notes the requests that are cut off.
func (r *drainer) cutOff() []model.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended, r.cut = true, r.flight.Requests()
	return r.cut
}

// outcome returns whether the drain was cut off, and an error if that ended
// requests before they had finished.
func (r *drainer) outcome() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.cut) == 0 {
		return r.ended, nil
	}
	return r.ended, fault.New("drain", "", "%d requests were cut off", len(r.cut))
}

// Drain starts a graceful shutdown, after which Run returns. A second call ends
// it at once. It returns without waiting.
func (d *Daemon) Drain() {
	select {
	case <-d.started:
		d.drains.loop.Send(drain.Requested{})
	case <-d.done:
	}
}

// executeDrain carries out a command of the drain world.
func (d *Daemon) executeDrain(c drain.Command) {
	switch c := c.(type) {
	case drain.Leave:
		d.Log.Info("drain: leaving the address answers")
		d.control.Send(ctrl.LeaveRequested{})
		if d.Leave != nil {
			d.wait.Go(d.Leave)
		}
	case drain.Refuse:
		d.Log.Info("drain: refusing new requests")
		d.control.Send(ctrl.RefuseRequested{})
	case drain.Release:
		d.Log.Info("drain: releasing seats")
		d.control.Send(ctrl.RouteEvent{Event: route.ReleaseRequested{}})
	case drain.CutOff:
		for _, id := range d.drains.cutOff() {
			d.Log.Error("drain: request cut off", "request", id, "phase", c.Phase, "forced", c.Forced)
		}
	case drain.Stop:
		d.Log.Info("drain: stopping")
		d.stop()
	}
}

// InFlight returns the requests in flight.
func (d *Daemon) InFlight() []model.RequestID { return d.drains.flight.Requests() }
