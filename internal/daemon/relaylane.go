package daemon

import (
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/conns"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/relay"
	"toucanpulley.example/internal/tick"
)

// relayLane runs one relay world and carries out its commands. The map of
// waiting handlers is used by the loop's goroutine and by those of handlers.
type relayLane struct {
	loop  *tick.Loop[relay.Event, relay.Command]
	pool  *conns.Pool
	meter *meter.Meter
	log   hclog.Logger

	mu      sync.Mutex
	waiting map[relay.Handle]chan relay.Answer
}

func newRelayLane(world *relay.World, pool *conns.Pool, m *meter.Meter, log hclog.Logger) *relayLane {
	l := &relayLane{pool: pool, meter: m, log: log, waiting: map[relay.Handle]chan relay.Answer{}}
	l.loop = tick.NewLoop[relay.Event, relay.Command](world, l.execute)
	return l
}

// serve hands a request to the world and waits for its answer.
func (l *relayLane) serve(ctx context.Context, q relay.Request) relay.Answer {
	answer := make(chan relay.Answer, 1)
	l.mu.Lock()
	l.waiting[q.Handle] = answer
	l.mu.Unlock()
	if !l.loop.Send(relay.Arrived{Request: q}) {
		return l.abandon(q.Handle, model.NotRun)
	}
	gone := ctx.Done()
	for {
		select {
		case a := <-answer:
			return a
		case <-gone:
			gone = nil
			l.loop.Send(relay.CallerGone{Handle: q.Handle})
		case <-l.loop.Done():
			return l.abandon(q.Handle, model.MayHaveRun)
		}
	}
}

// abandon answers a request whose lane was closed under it.
func (l *relayLane) abandon(h relay.Handle, e model.Execution) relay.Answer {
	l.mu.Lock()
	delete(l.waiting, h)
	l.mu.Unlock()
	refusal := model.NewRefusal(model.ReasonDraining, "the host is shutting down").WithExecution(e)
	return relay.Answer{Kind: relay.Refused, Refusal: refusal}
}

func (l *relayLane) execute(c relay.Command) {
	switch c := c.(type) {
	case relay.StartCall:
		l.pool.Start(c)
	case relay.CancelCall:
		l.pool.Cancel(c.Call)
	case relay.Respond:
		l.respond(c)
	case relay.Connect:
		l.pool.Follow(c)
	case relay.Count:
		l.meter.Count(c.Group, c.Reason)
	case relay.Observe:
		l.meter.Observe(c.Name, c.Took)
	case relay.Note:
		if c.Warn {
			l.log.Warn(c.Text, c.Facts...)
		} else {
			l.log.Info(c.Text, c.Facts...)
		}
	}
}

func (l *relayLane) respond(c relay.Respond) {
	l.mu.Lock()
	answer := l.waiting[c.Handle]
	delete(l.waiting, c.Handle)
	l.mu.Unlock()
	if answer != nil {
		answer <- c.Answer
	}
}
