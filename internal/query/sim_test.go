package query

import (
	"container/heap"
	"testing"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// callHandler returns the delay and the outcome of a call. With a negative
// delay there is no outcome.
type callHandler func(c StartCall) (time.Duration, Event)

// replyAfter replies to every call after a fixed time.
func replyAfter(d time.Duration) callHandler {
	return func(c StartCall) (time.Duration, Event) { return d, reply(c) }
}

// callFailure returns the failure of a call.
func callFailure(c StartCall, failure model.Failure, notStarted bool) Event {
	return CallFailed{c.Searcher.ID, c.Request, c.Attempt, failure, notStarted}
}

type scheduledEvent struct {
	at    time.Time
	event Event
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// sim runs a harness on a simulated clock; onCall determines the outcomes of
// its calls.
type sim struct {
	*harness
	onCall callHandler
	queue  eventQueue
	// sent holds every call, cancelled the time of each CancelCall and counts
	// the counters.
	sent       []StartCall
	cancelled  map[model.Attempt]time.Time
	counts     map[Count]int
	reports    []ReportSuspect
	answeredAt map[model.RequestID]time.Time
}

func newSim(t *testing.T, shards int, values map[tree.Key]tree.Value, onCall callHandler) *sim {
	t.Helper()
	return &sim{
		harness: newHarness(t, shards, values), onCall: onCall,
		cancelled: map[model.Attempt]time.Time{}, counts: map[Count]int{}, answeredAt: map[model.RequestID]time.Time{},
	}
}

// schedule queues an event for delivery after a delay.
func (s *sim) schedule(d time.Duration, e Event) {
	heap.Push(&s.queue, scheduledEvent{s.now.Add(d), e})
}

// step ticks the world and schedules the outcomes of its calls.
func (s *sim) step(events ...Event) {
	for _, c := range s.world.Tick(s.now, events) {
		switch c := c.(type) {
		case StartCall:
			s.sent = append(s.sent, c)
			if d, e := s.onCall(c); d >= 0 {
				s.schedule(d, e)
			}
		case CancelCall:
			s.cancelled[c.Attempt] = s.now
		case Respond:
			s.done[c.Request] = append(s.done[c.Request], c.Answer)
			s.answeredAt[c.Request] = s.now
		case Count:
			s.counts[c]++
		case ReportSuspect:
			s.reports = append(s.reports, c)
		}
	}
}

// run advances the clock from event to event and ticks the world at each
// wake-up that it requests.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for {
		at := end
		if next := s.world.Next(); !next.IsZero() && next.Before(at) {
			at = next
		}
		if len(s.queue) > 0 && s.queue[0].at.Before(at) {
			at = s.queue[0].at
		}
		if at.After(s.now) {
			s.now = at
		}
		var events []Event
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			events = append(events, heap.Pop(&s.queue).(scheduledEvent).event)
		}
		s.step(events...)
		if !s.now.Before(end) && len(s.queue) == 0 || s.now.Equal(end) {
			return
		}
	}
}

// search sends a request and runs the simulation until it is answered.
func (s *sim) search(id model.RequestID) model.Answer {
	s.step(Arrived{s.request(id)})
	for range 1000 {
		if answers := s.done[id]; len(answers) > 0 {
			return answers[0]
		}
		s.run(time.Millisecond)
	}
	panic("request " + string(id) + " was not answered within its deadline")
}

// warmUp makes the fingerprint of the harness's request proven and fills the
// latency window. It then clears the recorded calls and counts.
func (s *sim) warmUp(n int) {
	for i := range n {
		s.search(model.RequestID("warm" + string(rune('a'+i))))
	}
	s.sent, s.cancelled, s.counts = nil, map[model.Attempt]time.Time{}, map[Count]int{}
}

// callsTo counts the calls to a searcher.
func (s *sim) callsTo(id model.SearcherID) int {
	n := 0
	for _, c := range s.sent {
		if c.Searcher.ID == id {
			n++
		}
	}
	return n
}
