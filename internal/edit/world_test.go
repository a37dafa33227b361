package edit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/tree"
)

// driver performs the commands of one world until it gets an answer.
type driver struct {
	world    *World
	platform *platform
	now      time.Time
	// intercept returns a reply that replaces the platform's reply to a call,
	// or nil.
	intercept func(Command) Event
	calls     int
}

func newDriver() *driver {
	return &driver{world: NewWorld(), platform: newPlatform(), now: startTime, intercept: func(Command) Event { return nil }}
}

// run sends events to the world and returns the answer and the time that it
// took.
func (d *driver) run(t *testing.T, inbox ...Event) (Answer, time.Duration) {
	t.Helper()
	start := d.now
	for range 10_000 {
		commands := d.world.Tick(d.now, inbox)
		inbox = nil
		for _, c := range commands {
			switch c := c.(type) {
			case Count:
			case Respond:
				return c.Answer, d.now.Sub(start)
			default:
				d.calls++
				e := d.intercept(c)
				if e == nil && isWrite(c) {
					e = d.platform.write(c)
				} else if e == nil {
					e = d.platform.read(c, d.platform.version())
				}
				inbox = append(inbox, e)
			}
		}
		if next := d.world.Next(); len(inbox) == 0 && next.After(d.now) {
			d.now = next
		}
	}
	t.Fatal("no answer")
	return Answer{}, 0
}

func (d *driver) submit(t *testing.T, c tree.Change) (Answer, time.Duration) {
	t.Helper()
	return d.run(t, Submitted{Task: TaskID(d.calls + 1), Change: c, Deadline: d.now.Add(taskTimeout)})
}

func newChange(id tree.ChangeID, e ...tree.Edit) tree.Change {
	return tree.Change{ID: id, Author: "ann", Reason: "why", Edits: e}
}

// Guards against unbounded retries, and against an answer "unknown" or
// "accepted" for a change that certainly had no effect.
func TestRetriesAreBounded(t *testing.T) {
	tests := []struct {
		name    string
		result  Result
		calls   int
		maxTime time.Duration
	}{
		{"unavailable", ResultUnavailable, maxFailures, time.Second},
		{"invalid", ResultInvalid, 1, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := newDriver()
			d.intercept = func(c Command) Event { return replyWithResult(c, tc.result) }
			a, took := d.submit(t, newChange("x", tree.NewCreate("/a")))
			is.Equal(a.Outcome, NotAccepted)
			is.Equal(d.calls, tc.calls)
			is.True(took <= tc.maxTime)
			is.Equal(d.world.Running(), 0)
		})
	}
}

// Guards against a task that restarts without bound while others change the
// tree.
func TestConflictsAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	writes := 0
	d.intercept = func(c Command) Event {
		if c, ok := c.(WriteHead); ok {
			writes++
			other := newChange(tree.ChangeID(rune('A'+writes)), tree.NewCreate(tree.Path("/other-"+string(rune('a'+writes)))))
			d.platform.heads = append(d.platform.heads, d.platform.head().WithChange(other, nil))
			return replyWithResult(c, ResultConflict)
		}
		return nil
	}
	a, _ := d.submit(t, newChange("x", tree.NewCreate("/a")))
	is.Equal(a.Outcome, NotAccepted)
	is.Equal(writes, maxConflicts+1)
}

// Guards against an answer "not accepted" for an accepted change whose reply
// was lost.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.intercept = func(c Command) Event {
		if c, ok := c.(WriteHead); ok {
			d.platform.write(c)
			return replyWithResult(c, ResultUnknown)
		}
		return nil
	}
	a, _ := d.submit(t, newChange("x", tree.NewCreate("/a")))
	is.Equal(a.Outcome, Accepted)
	is.Equal(int(a.Revision), 1)
}

// Guards against "not accepted" for a write whose reply was lost and that
// cannot be read back before the deadline.
func TestUnreadableOutcomeIsUnknown(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	lost := false
	d.intercept = func(c Command) Event {
		if c, ok := c.(WriteHead); ok {
			lost = true
			return replyWithResult(c, ResultUnknown)
		}
		if lost {
			return replyWithResult(c, ResultUnavailable)
		}
		return nil
	}
	a, took := d.submit(t, newChange("x", tree.NewCreate("/a")))
	is.Equal(a.Outcome, Unknown)
	is.Equal(a.ChangeID, tree.ChangeID("x"))
	is.Equal(took, taskTimeout)
}

// Guards against accepting a change ID twice, and against answering a different
// change that reuses the ID with the revision of the first.
func TestChangeIDIsIdempotentOnlyForTheSameChange(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	first, _ := d.submit(t, newChange("x", tree.NewCreate("/a")))
	again, _ := d.submit(t, newChange("x", tree.NewCreate("/a")))
	is.Equal(again, first)
	other, _ := d.submit(t, newChange("x", tree.NewCreate("/b")))
	is.Equal(other.Outcome, NotAccepted)
	is.Equal(int(d.platform.head().Revision), 1)
}

// Guards against decisions based on a head that is known to be stale.
func TestStaleHeadIsNotUsed(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.submit(t, newChange("x", tree.NewCreate("/a")))
	d.submit(t, newChange("y", tree.NewCreate("/b")))
	stale := 3
	d.intercept = func(c Command) Event {
		if _, ok := c.(ReadHead); ok && stale > 0 {
			stale--
			return d.platform.read(c, 1)
		}
		if c, ok := c.(WriteHead); ok {
			is.Equal(c.IfVersion, uint64(2))
		}
		return nil
	}
	a, _ := d.submit(t, newChange("z", tree.NewCreate("/c")))
	is.Equal(int(a.Revision), 3)
}

// Guards against a segment cache that outgrows the tree.
func TestCacheHoldsOnlyTheTree(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.submit(t, newChange("x", tree.NewCreate("/a")))
	for i := range 20 {
		c := newChange(tree.ChangeID(rune('A'+i)), tree.NewSet("/a", tree.KeyWeight, tree.Number(int64(i+1))))
		c.Base = d.platform.head().Revision
		a, _ := d.submit(t, c)
		is.Equal(a.Outcome, Accepted)
	}
	is.True(len(d.world.segmentCache) <= 2*len(d.platform.head().Segments))
}

// Guards against "not accepted" while a head write whose reply was lost can
// still take effect, although a head without the change was read since.
func TestPendingWriteIsNotRuledOutByTheSameVersion(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	var late Command
	d.intercept = func(c Command) Event {
		switch c.(type) {
		case WriteHead:
			late = c
			return replyWithResult(c, ResultUnknown)
		case WriteObjects:
			if late != nil {
				return replyWithResult(c, ResultUnavailable)
			}
		}
		return nil
	}
	a, _ := d.submit(t, newChange("x", tree.NewCreate("/a")))
	is.Equal(a.Outcome, Unknown)
	d.platform.write(late)
	is.Equal(int(d.platform.head().Revision), 1) // the write took effect after the answer
}

// Guards against "not accepted" for a repeated change that another host still
// processes: later edits by others may make it allowed again.
func TestRefusedRepeatIsNotAcceptedThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	slow, other := newDriver(), newDriver()
	other.platform = slow.platform
	next := 0
	accept := func(e ...tree.Edit) {
		next++
		c := newChange(tree.ChangeID(rune('A'+next)), e...)
		c.Base = slow.platform.head().Revision
		a, _ := other.submit(t, c)
		is.Equal(a.Outcome, Accepted)
	}
	accept(tree.NewCreate("/a"), tree.NewCreate("/a/s"))
	change := newChange("x", tree.NewSet("/a/s", tree.KeyTimeout, tree.Number(5000)))
	change.Base = slow.platform.head().Revision
	paused := true
	slow.intercept = func(c Command) Event {
		if c, ok := c.(WriteHead); ok && paused {
			paused = false
			accept(tree.NewSet("/a", tree.KeyMaxTimeout, tree.Number(1000)))
			a, _ := other.run(t, Submitted{Task: 99, Change: change, Deadline: other.now.Add(taskTimeout), Repeated: true})
			is.Equal(a.Outcome, NotAccepted)
			accept(tree.NewUnset("/a", tree.KeyMaxTimeout))
			return slow.platform.write(c)
		}
		return nil
	}
	a, _ := slow.submit(t, change)
	is.Equal(a.Outcome, NotAccepted)
	_, found := tree.FindRecord(slow.platform.history(t), "x")
	is.True(!found)
}

// Guards against "not accepted" for one of two tasks with the same change while
// the other is still in progress.
func TestTasksWithTheSameChangeIDAreRepeated(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	d.platform.heads = []tree.Head{tree.Head{}.WithChange(newChange("first", tree.NewCreate("/a")), nil)}
	d.intercept = func(c Command) Event { return replyWithResult(c, ResultUnavailable) }
	c := newChange("x", tree.NewCreate("/b"))
	answers := map[TaskID]Outcome{}
	inbox := []Event{
		Submitted{Task: 1, Change: c, Deadline: d.now.Add(taskTimeout)},
		Submitted{Task: 2, Change: c, Deadline: d.now.Add(taskTimeout)},
	}
	for range 200 {
		var replies []Event
		for _, c := range d.world.Tick(d.now, inbox) {
			switch c := c.(type) {
			case Count:
			case Respond:
				answers[c.Task] = c.Answer.Outcome
			default:
				replies = append(replies, replyWithResult(c, ResultUnavailable))
			}
		}
		inbox, d.now = replies, d.now.Add(100*time.Millisecond)
	}
	is.Equal(answers, map[TaskID]Outcome{1: Unknown, 2: Unknown})
}

// Guards against accepting a late reply to one head write as the reply to the
// next, which may still take effect.
func TestReplyOfAnOlderAttemptIsDropped(t *testing.T) {
	is := is.New(t)
	d := newDriver()
	var first Event
	d.intercept = func(c Command) Event {
		if c, ok := c.(WriteHead); ok {
			if first == nil {
				first = replyWithResult(c, ResultConflict)
				d.platform.heads = append(d.platform.heads, tree.Head{}.WithChange(newChange("other", tree.NewCreate("/b")), nil))
			}
			return first // the second write gets the first one's reply again
		}
		return nil
	}
	a, _ := d.submit(t, newChange("x", tree.NewCreate("/a")))
	is.Equal(a.Outcome, Unknown)
}
