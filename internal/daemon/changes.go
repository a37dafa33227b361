package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/edit"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/meter"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/wire"
)

const (
	// changeTimeout is the time budget of a change without a deadline.
	changeTimeout = 10 * time.Second
	// changeReplyMargin is subtracted from the caller's deadline, so that an
	// answer still reaches the caller, even if the outcome is unknown by then. The
	// margin is at most an eighth of the remaining time.
	changeReplyMargin = 100 * time.Millisecond
	// segmentReaders is the number of goroutines that read segments. With 8, a
	// host without any segments loads a tree of 100,000 nodes in about 100 round
	// trips.
	segmentReaders = 8
)

// changeRunner runs the loop of an edit world, which applies changes of the
// settings, and executes its commands on the platform.
type changeRunner struct {
	loop  *tick.Loop[edit.Event, edit.Command]
	store store.Store
	meter *meter.Meter
	log   hclog.Logger

	lastTask atomic.Uint64
	calls    sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	mu       sync.Mutex
	waiting  map[edit.TaskID]chan edit.Answer
}

func newChangeRunner(s store.Store, m *meter.Meter, log hclog.Logger) *changeRunner {
	c := &changeRunner{store: s, meter: m, log: log, waiting: map[edit.TaskID]chan edit.Answer{}}
	// Platform calls continue after the caller's context is cancelled. close
	// cancels them.
	c.ctx, c.cancel = context.WithCancel(context.Background())
	w := edit.NewWorld()
	w.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.loop = tick.NewLoop[edit.Event, edit.Command](w, c.execute)
	return c
}

// apply submits a change and waits for the answer.
func (c *changeRunner) apply(ctx context.Context, change tree.Change, repeated bool) edit.Answer {
	task := edit.TaskID(c.lastTask.Add(1))
	return c.await(ctx, task, change.ID, edit.Submitted{
		Task: task, Change: change, Deadline: changeDeadline(ctx), Repeated: repeated,
	})
}

// resolve determines the outcome of an earlier change.
func (c *changeRunner) resolve(ctx context.Context, id tree.ChangeID, base model.Revision) edit.Answer {
	task := edit.TaskID(c.lastTask.Add(1))
	return c.await(ctx, task, id, edit.OutcomeRequested{Task: task, ChangeID: id, Base: base, Deadline: changeDeadline(ctx)})
}

func changeDeadline(ctx context.Context) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(changeTimeout)
	}
	return deadline.Add(-min(changeReplyMargin, time.Until(deadline)/8))
}

// await sends an event that starts a task and waits for the task's answer. If
// the context is cancelled, the task continues; its outcome is then recorded in
// the settings history.
func (c *changeRunner) await(ctx context.Context, task edit.TaskID, id tree.ChangeID, e edit.Event) edit.Answer {
	answer := make(chan edit.Answer, 1)
	c.mu.Lock()
	c.waiting[task] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, task)
		c.mu.Unlock()
	}()
	if !c.loop.Send(e) {
		return edit.Answer{ChangeID: id, Outcome: edit.Unknown, Message: "the host is shutting down"}
	}
	select {
	case a := <-answer:
		c.log.Info("settings change answered", "change", id, "outcome", a.Outcome, "revision", a.Revision, "message", a.Message)
		return a
	case <-ctx.Done():
		return edit.Answer{ChangeID: id, Outcome: edit.Unknown, Message: "the caller left"}
	case <-c.loop.Done():
		return edit.Answer{ChangeID: id, Outcome: edit.Unknown, Message: "the host is shutting down"}
	}
}

// execute runs a command of the world. It does I/O on separate goroutines,
// so that it does not block the loop.
func (c *changeRunner) execute(command edit.Command) {
	switch k := command.(type) {
	case edit.ReadHead:
		c.call(func() edit.Event { return c.readHead(k) })
	case edit.Load:
		c.call(func() edit.Event { return c.load(k) })
	case edit.WriteObjects:
		c.call(func() edit.Event { return c.writeObjects(k) })
	case edit.WriteHead:
		c.call(func() edit.Event { return c.writeHead(k) })
	case edit.Count:
		c.meter.Count("change", k.Reason)
	case edit.Respond:
		c.mu.Lock()
		answer := c.waiting[k.Task]
		c.mu.Unlock()
		if answer != nil {
			answer <- k.Answer
		}
	}
}

// call runs f on a separate goroutine and sends its event to the loop.
func (c *changeRunner) call(f func() edit.Event) {
	c.calls.Go(func() { c.loop.Send(f()) })
}

func (c *changeRunner) readHead(k edit.ReadHead) edit.Event {
	e := edit.HeadRead{Task: k.Task, Attempt: k.Attempt}
	var err error
	e.Head, e.Version, err = readHead(c.ctx, c.store)
	e.Result, e.Detail = resultOf(err)
	return e
}

func (c *changeRunner) load(k edit.Load) edit.Event {
	e := edit.Loaded{Task: k.Task, Attempt: k.Attempt}
	var err error
	if k.Batch != 0 {
		e.Batch, err = readBatch(c.ctx, c.store, k.Batch)
	}
	if err == nil {
		e.Segments, err = readSegments(c.ctx, c.store, k.Segments)
	}
	e.Result, e.Detail = resultOf(err)
	return e
}

func (c *changeRunner) writeObjects(k edit.WriteObjects) edit.Event {
	e := edit.ObjectsWritten{Task: k.Task, Attempt: k.Attempt}
	err := writeBatch(c.ctx, c.store, k.Batch)
	for _, s := range k.Segments {
		if err != nil {
			break
		}
		var name string
		name, err = writeSegment(c.ctx, c.store, s.Nodes)
		e.Names = append(e.Names, name)
	}
	e.Result, e.Detail = resultOf(err)
	return e
}

func (c *changeRunner) writeHead(k edit.WriteHead) edit.Event {
	e := edit.HeadWritten{Task: k.Task, Attempt: k.Attempt}
	o, err := put(c.ctx, c.store, wire.HeadName, wire.EncodeHead(k.Head), k.IfVersion)
	e.Version = o.Version
	e.Result, e.Detail = resultOf(err)
	return e
}

// errInvalid marks errors that a retry cannot fix.
var errInvalid = errors.New("invalid settings object")

// resultOf maps the error of a platform call to its result and error text.
func resultOf(err error) (edit.Result, string) {
	switch {
	case err == nil:
		return edit.ResultDone, ""
	case errors.Is(err, errInvalid):
		return edit.ResultInvalid, err.Error()
	case errors.Is(err, store.ErrNotFound):
		return edit.ResultMissing, err.Error()
	case errors.Is(err, store.ErrConflict):
		return edit.ResultConflict, err.Error()
	case errors.Is(err, store.ErrOutcomeUnknown):
		return edit.ResultUnknown, err.Error()
	default:
		return edit.ResultUnavailable, err.Error()
	}
}

// close stops the loop, cancels all calls and waits for them to return.
func (c *changeRunner) close() {
	_ = c.loop.Close()
	c.cancel()
	c.calls.Wait()
}

// put writes an object if it has the expected version. For a value over the
// platform's size limit, it returns errInvalid without sending it.
func put(ctx context.Context, s store.Store, name string, value []byte, ifVersion uint64) (store.Object, error) {
	if len(value) > store.MaxValueBytes {
		return store.Object{}, fault.Wrap(errInvalid, "write "+name, "")
	}
	return s.Put(ctx, name, value, ifVersion)
}
