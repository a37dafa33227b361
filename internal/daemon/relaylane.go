package daemon

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/conns"
	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/tick"
)

// relayLane runs the loop of one relay world and executes its commands.
type relayLane struct {
	loop        *tick.Loop[relay.Event, relay.Command]
	pool        *conns.Pool
	meter       *meter.Meter
	log         hclog.Logger
	report      func(ctrl.Event)
	waiting     *pending[relay.Handle, relay.Answer]
	statusQuery *statusQuery[relay.Status]
	// delegator must be set before the loop runs.
	delegator *delegator
}

func newRelayLane(world *relay.World, pool *conns.Pool, m *meter.Meter, log hclog.Logger) *relayLane {
	l := &relayLane{
		pool: pool, meter: m, log: log, report: func(ctrl.Event) {}, waiting: newPending[relay.Handle, relay.Answer](),
		statusQuery: newStatusQuery[relay.Status]("read lane status"),
	}
	l.loop = tick.NewLoop[relay.Event, relay.Command](world, l.execute)
	return l
}

// serve passes a request to the world and waits for its answer. If the context
// is cancelled, the world is notified and still answers.
func (l *relayLane) serve(ctx context.Context, q relay.Request) relay.Answer {
	answer := l.waiting.register(q.Handle)
	if !l.loop.Send(relay.Arrived{Request: q}) {
		return l.shutdownRefusal(q.Handle, model.NotRun)
	}
	a, ok := awaitAnswer(ctx, answer, l.loop.Done(), func() bool { return l.loop.Send(relay.CallerDisconnected{Handle: q.Handle}) })
	if !ok {
		return l.shutdownRefusal(q.Handle, model.MayHaveRun)
	}
	return a
}

// shutdownRefusal returns the answer to a request that the lane did not answer
// before it was closed.
func (l *relayLane) shutdownRefusal(h relay.Handle, e model.Execution) relay.Answer {
	l.waiting.remove(h)
	refusal := model.NewRefusal(model.ReasonDraining, "the host is shutting down").WithExecution(e)
	return relay.Answer{Kind: relay.Refused, Refusal: refusal}
}

func (l *relayLane) execute(c relay.Command) {
	switch c := c.(type) {
	case relay.StartCall:
		l.pool.Start(c)
	case relay.CancelCall:
		l.pool.Cancel(c.Call)
	case relay.RevokeUnsent:
		l.pool.RevokeUnsent(c.Calls, func() { l.loop.Send(relay.Revoked{Handle: c.Handle}) })
	case relay.Respond:
		l.waiting.deliver(c.Handle, c.Answer)
	case relay.DelegateCalls, relay.CancelDelegated, relay.GuestReplies:
		l.delegator.execute(c)
	case relay.ConnectionPlan:
		l.pool.SetPlan(c)
	case relay.StatusReported:
		l.statusQuery.deliver(c.Token, c.Status)
	case relay.LossReport:
		l.report(ctrl.LossReported(c))
	case relay.SurvivalReport:
		l.report(ctrl.SurvivalReported(c))
	case relay.Count:
		l.meter.Count(c.Group, c.Reason)
	case relay.Observe:
		l.meter.Observe(c.Name, c.Duration)
	case relay.LogLine:
		if c.Warn {
			l.log.Warn(c.Message, c.Fields...)
		} else {
			l.log.Info(c.Message, c.Fields...)
		}
	}
}
