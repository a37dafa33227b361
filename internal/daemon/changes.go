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
	// changeTimeout is the time budget of a change whose caller names none.
	changeTimeout = 10 * time.Second
	// changeReturn is kept back from the caller's deadline, so that an answer
	// such as unknown still reaches the caller; an eighth of the remaining time
	// if that is less.
	changeReturn = 100 * time.Millisecond
	// segmentReaders is how many segments are read at once. With it a tree of
	// 100,000 nodes takes about 100 round trips on a host that has none yet.
	segmentReaders = 8
)

// changes runs an edit world and carries out its commands on the platform.
type changes struct {
	loop  *tick.Loop[edit.Event, edit.Command]
	store store.Store
	meter *meter.Meter
	log   hclog.Logger

	last    atomic.Uint64
	calls   sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	waiting map[edit.TaskID]chan edit.Answer
}

func newChanges(s store.Store, m *meter.Meter, log hclog.Logger) *changes {
	c := &changes{store: s, meter: m, log: log, waiting: map[edit.TaskID]chan edit.Answer{}}
	// Calls outlive the request that caused them; close ends them.
	c.ctx, c.cancel = context.WithCancel(context.Background())
	w := edit.NewWorld()
	w.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.loop = tick.NewLoop[edit.Event, edit.Command](w, c.execute)
	return c
}

// apply carries a change through and waits for the answer.
func (c *changes) apply(ctx context.Context, change tree.Change, repeated bool) edit.Answer {
	task := edit.TaskID(c.last.Add(1))
	return c.await(ctx, task, change.ID, edit.Submitted{
		Task: task, Change: change, Deadline: changeDeadline(ctx), Repeated: repeated,
	})
}

// resolve finds out what became of a change.
func (c *changes) resolve(ctx context.Context, id tree.ChangeID, base model.Revision) edit.Answer {
	task := edit.TaskID(c.last.Add(1))
	return c.await(ctx, task, id, edit.OutcomeRequested{Task: task, ChangeID: id, Base: base, Deadline: changeDeadline(ctx)})
}

func changeDeadline(ctx context.Context) time.Time {
	asked, ok := ctx.Deadline()
	if !ok {
		return time.Now().Add(changeTimeout)
	}
	return asked.Add(-min(changeReturn, time.Until(asked)/8))
}

// await hands a task to the world and waits. The task goes on if the caller
// leaves; what became of it is then in the history.
func (c *changes) await(ctx context.Context, task edit.TaskID, id tree.ChangeID, e edit.Event) edit.Answer {
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

// execute carries out a command; I/O runs on a goroutine of its own.
func (c *changes) execute(command edit.Command) {
	switch k := command.(type) {
	case edit.ReadHead:
		c.call(func() edit.Event { return c.readHead(k) })
	case edit.Load:
		c.call(func() edit.Event { return c.load(k) })
	case edit.WriteParts:
		c.call(func() edit.Event { return c.writeParts(k) })
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

func (c *changes) call(f func() edit.Event) {
	c.calls.Go(func() { c.loop.Send(f()) })
}

func (c *changes) readHead(k edit.ReadHead) edit.Event {
	e := edit.HeadRead{Task: k.Task, Attempt: k.Attempt}
	var err error
	e.Head, e.Version, err = readHead(c.ctx, c.store)
	e.Result, e.Detail = resultOf(err)
	return e
}

func (c *changes) load(k edit.Load) edit.Event {
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

func (c *changes) writeParts(k edit.WriteParts) edit.Event {
	e := edit.PartsWritten{Task: k.Task, Attempt: k.Attempt}
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

func (c *changes) writeHead(k edit.WriteHead) edit.Event {
	e := edit.HeadWritten{Task: k.Task, Attempt: k.Attempt}
	o, err := put(c.ctx, c.store, wire.HeadName, wire.EncodeHead(k.Head), k.IfVersion)
	e.Version = o.Version
	e.Result, e.Detail = resultOf(err)
	return e
}

// errInvalid marks errors that do not go away when the call is repeated.
var errInvalid = errors.New("invalid settings object")

// resultOf returns how a call ended, with the error's text.
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

// close stops the loop, ends all calls and waits for them.
func (c *changes) close() {
	_ = c.loop.Close()
	c.cancel()
	c.calls.Wait()
}

// put refuses values that are too large before they are sent.
func put(ctx context.Context, s store.Store, name string, value []byte, ifVersion uint64) (store.Object, error) {
	if len(value) > store.MaxValueBytes {
		return store.Object{}, fault.Wrap(errInvalid, "write "+name, "")
	}
	return s.Put(ctx, name, value, ifVersion)
}
