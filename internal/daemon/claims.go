package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/dial"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/wire"
)

// recordTimeout is the time for which a shutdown waits until outcomes are
// recorded. An unrecorded outcome is reported as unknown to later requests with
// the same key.
const recordTimeout = 5 * time.Second

// claimRunner runs the loop of a claim world, which handles requests with
// idempotency keys, and executes its commands.
type claimRunner struct {
	loop  *tick.Loop[claim.Event, claim.Command]
	store store.Store
	pool  *dial.Pool
	meter *meter.Meter
	log   hclog.Logger

	calls  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	// idle is closed when the world reports, during a shutdown, that no keys are
	// left.
	idle     chan struct{}
	idleOnce sync.Once

	mu      sync.Mutex
	waiting map[model.RequestID]chan model.KeyedAnswer
}

func newClaimRunner(world *claim.World, s store.Store, pool *dial.Pool, m *meter.Meter, log hclog.Logger) *claimRunner {
	c := &claimRunner{
		store: s, pool: pool, meter: m, log: log, idle: make(chan struct{}),
		waiting: map[model.RequestID]chan model.KeyedAnswer{},
	}
	world.Size = wire.ClaimSize
	world.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.loop = tick.NewLoop[claim.Event, claim.Command](world, c.execute)
	return c
}

// send passes a request to the world and waits for its answer. It needs no
// timeout, because the world answers before the request's deadline.
func (c *claimRunner) send(r model.KeyedRequest) model.KeyedAnswer {
	answer := make(chan model.KeyedAnswer, 1)
	c.mu.Lock()
	c.waiting[r.ID] = answer
	c.mu.Unlock()
	if !c.loop.Send(claim.Submitted{Request: r}) {
		return c.shutdownRefusal(r.ID, model.NotRun)
	}
	select {
	case a := <-answer:
		return a
	case <-c.loop.Done():
		return c.shutdownRefusal(r.ID, model.MayHaveRun)
	}
}

// shutdownRefusal returns the answer to a request that the loop did not answer
// before it was closed.
func (c *claimRunner) shutdownRefusal(id model.RequestID, e model.Execution) model.KeyedAnswer {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
	return model.NewKeyedRefusal(id, model.NewRefusal(model.ReasonDraining, "the host is shutting down").WithExecution(e))
}

func (c *claimRunner) execute(command claim.Command) {
	switch command := command.(type) {
	case claim.ReadPartition:
		c.calls.Go(func() { c.read(command) })
	case claim.WritePartition:
		c.calls.Go(func() { c.write(command) })
	case claim.Send:
		c.calls.Go(func() { c.dispatch(command) })
	case claim.Resolve:
		c.deliver(command)
	case claim.Idle:
		c.idleOnce.Do(func() { close(c.idle) })
	}
}

func (c *claimRunner) read(r claim.ReadPartition) {
	name := wire.ClaimsName(r.Number)
	event := claim.ReadDone{Number: r.Number, Partition: claim.NewPartition(r.Number, 0, time.Time{})}
	o, err := c.store.Get(c.ctx, name)
	if err == nil {
		event.Partition, err = wire.DecodePartition(r.Number, o.Version, o.Value)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		event.Failed = true
		c.log.Warn("platform call failed", "step", "read claims", "object", name, "error", err)
	}
	result := model.WriteAccepted
	if event.Failed {
		result = model.WriteFailed
	}
	c.meter.Count("claimRead", result.String())
	c.loop.Send(event)
}

func (c *claimRunner) write(w claim.WritePartition) {
	p := w.Partition
	name := wire.ClaimsName(p.Number)
	o, err := c.store.Put(c.ctx, name, wire.EncodePartition(p), p.Version)
	event := claim.WriteDone{Number: p.Number, Result: store.ResultOf(err), Version: o.Version}
	if event.Result == model.WriteFailed || event.Result == model.WriteUnknown {
		c.log.Warn("platform call failed", "step", "write claims", "object", name, "error", err)
	}
	c.meter.Count("claimWrite", event.Result.String())
	c.loop.Send(event)
}

func (c *claimRunner) dispatch(s claim.Send) {
	event := claim.SendDone{Request: s.Request}
	result, err := c.pool.Execute(c.ctx, s)
	if err == nil {
		event.Completed, event.Result = true, result
	}
	var failed *dial.CallError
	if errors.As(err, &failed) {
		event.Failure, event.NotStarted = failed.Failure, failed.NotStarted
		c.log.Warn("dispatch failed", "step", "execute request", "peer", s.Searcher.Address, "request", s.Request.ID,
			"failure", failed.Failure, "notStarted", failed.NotStarted, "error", err)
	}
	c.loop.Send(event)
}

// deliver sends an answer to the request that waits for it, if any.
func (c *claimRunner) deliver(r claim.Resolve) {
	c.mu.Lock()
	answer := c.waiting[r.Request]
	delete(c.waiting, r.Request)
	c.mu.Unlock()
	if answer != nil {
		answer <- r.Answer
	}
}

// close waits until pending outcomes are recorded or recordTimeout has passed,
// then stops the loop and cancels all calls.
func (c *claimRunner) close() {
	c.loop.Send(claim.Stopping{})
	timer := time.NewTimer(recordTimeout)
	defer timer.Stop()
	select {
	case <-c.idle:
	case <-timer.C:
		c.log.Warn("shutdown timed out before the outcomes of all keyed requests were recorded")
	case <-c.loop.Done():
	}
	_ = c.loop.Close()
	c.cancel()
	c.calls.Wait()
}
