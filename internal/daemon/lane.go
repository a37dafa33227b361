package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/dial"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/internal/tick"
)

// callID identifies a call to a searcher.
type callID struct {
	request model.RequestID
	attempt model.Attempt
}

// lane runs the loop of one query world and executes its commands. Its maps are
// shared by the goroutines of the loop, of request handlers and of calls.
type lane struct {
	loop   *tick.Loop[query.Event, query.Command]
	pool   *dial.Pool
	meter  *meter.Meter
	log    hclog.Logger
	report func(ctrl.Event)

	calls       sync.WaitGroup
	waiting     *pending[model.RequestID, model.Answer]
	mu          sync.Mutex
	cancels     map[callID]context.CancelFunc
	statusQuery *statusQuery[query.Status]
}

func newLane(world *query.World, pool *dial.Pool, m *meter.Meter, log hclog.Logger) *lane {
	l := &lane{
		pool: pool, meter: m, log: log, report: func(ctrl.Event) {},
		waiting: newPending[model.RequestID, model.Answer](), cancels: map[callID]context.CancelFunc{},
		statusQuery: newStatusQuery[query.Status]("read lane status"),
	}
	l.loop = tick.NewLoop[query.Event, query.Command](world, l.execute)
	return l
}

// search passes a request to the world and waits for its answer. If the context
// is cancelled, the world is notified and still answers.
func (l *lane) search(ctx context.Context, r model.Request) model.Answer {
	answer := l.waiting.register(r.ID)
	if !l.loop.Send(query.Arrived{Request: r}) {
		return l.shutdownRefusal(r.ID)
	}
	a, ok := awaitAnswer(ctx, answer, l.loop.Done(), func() bool { return l.loop.Send(query.RequestCancelled{Request: r.ID}) })
	if !ok {
		return l.shutdownRefusal(r.ID)
	}
	return a
}

// shutdownRefusal returns the answer to a request that the lane did not answer
// before it was closed.
func (l *lane) shutdownRefusal(id model.RequestID) model.Answer {
	l.waiting.remove(id)
	return model.NewRefused(id, model.NewRefusal(model.ReasonDraining, "the host is shutting down").
		WithExecution(model.MayHaveRun))
}

func (l *lane) execute(c query.Command) {
	switch c := c.(type) {
	case query.StartCall:
		l.startCall(c)
	case query.CancelCall:
		l.endCall(callID{c.Request, c.Attempt})
	case query.Respond:
		l.waiting.deliver(c.Request, c.Answer)
	case query.Count:
		l.meter.Count(string(c.Counter), c.Reason)
	case query.StatusReply:
		l.statusQuery.deliver(c.Token, c.Status)
	case query.ReportSuspect:
		l.log.Warn("searcher lost while it ran a request", "fingerprint", c.Fingerprint, "losses", c.Losses)
		l.report(ctrl.LossReported{Fingerprint: c.Fingerprint, Losses: 1})
	case query.ReportSurvival:
		l.report(ctrl.SurvivalReported(c))
	}
}

func (l *lane) startCall(c query.StartCall) {
	ctx, cancel := context.WithCancel(context.Background())
	id := callID{c.Request, c.Attempt}
	l.mu.Lock()
	l.cancels[id] = cancel
	l.mu.Unlock()
	l.calls.Go(func() {
		defer l.endCall(id)
		reply, err := l.pool.Search(ctx, c)
		if err == nil {
			l.loop.Send(query.Replied{Searcher: c.Searcher.ID, Request: c.Request, Attempt: c.Attempt, Reply: reply})
			return
		}
		event := query.CallFailed{Searcher: c.Searcher.ID, Request: c.Request, Attempt: c.Attempt}
		var failed *dial.CallError
		if errors.As(err, &failed) {
			event.Failure, event.NotStarted = failed.Failure, failed.NotStarted
		}
		if event.Failure != model.FailureCancelled {
			l.log.Debug("call failed", "step", "search shard", "peer", c.Searcher.Address,
				"request", c.Request, "shard", c.Shard, "failure", event.Failure, "error", err)
		}
		l.loop.Send(event)
	})
}

// endCall cancels a call and removes its entry.
func (l *lane) endCall(id callID) {
	l.mu.Lock()
	cancel := l.cancels[id]
	delete(l.cancels, id)
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// close stops the loop, cancels all calls and waits for them to return.
func (l *lane) close() {
	_ = l.loop.Close()
	l.mu.Lock()
	for _, cancel := range l.cancels {
		cancel()
	}
	l.mu.Unlock()
	l.calls.Wait()
}
