package query

import (
	"fmt"
	"testing"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

// BenchmarkSearcherCalls measures the ticks of a world with 20 requests of 84
// shards each: with free slots for all calls and one tick for the replies of
// each millisecond; with one tick per reply; and with 2 slots per searcher, so
// that parts wait for free slots and requests wait in the queue.
func BenchmarkSearcherCalls(b *testing.B) {
	b.Run("tick=1ms", func(b *testing.B) { benchmarkCalls(b, 20, false) })
	b.Run("tick=reply", func(b *testing.B) { benchmarkCalls(b, 20, true) })
	b.Run("tick=1ms/slots=2", func(b *testing.B) { benchmarkCalls(b, 2, false) })
	b.Run("tick=reply/slots=2", func(b *testing.B) { benchmarkCalls(b, 2, true) })
}

// loadGenerator keeps 20 requests in a world by sending a new one for each
// answer.
type loadGenerator struct {
	harness
	bench        *testing.B
	pending      [][]Event // by the milliseconds until delivery
	calls        int
	requestCount int
}

func (l *loadGenerator) newArrival() Event {
	l.requestCount++
	r := l.request(model.RequestID(fmt.Sprint("q", l.requestCount)))
	return Arrived{r.WithDeadline(l.now.Add(time.Hour))}
}

// tick runs the world and returns the arrivals that replace answered requests.
func (l *loadGenerator) tick(events ...Event) []Event {
	var next []Event
	for _, c := range l.world.Tick(l.now, events) {
		switch c := c.(type) {
		case StartCall:
			l.calls++
			ms := 5 + int(c.Attempt)*7%10
			for len(l.pending) <= ms {
				l.pending = append(l.pending, nil)
			}
			l.pending[ms] = append(l.pending[ms], reply(c))
		case Respond:
			if c.Answer.Outcome != model.OutcomeComplete {
				l.bench.Fatalf("%+v", c.Answer)
			}
			next = append(next, l.newArrival())
		}
	}
	return next
}

func benchmarkCalls(b *testing.B, slots int, tickPerReply bool) {
	const running, shards = 20, 84
	v := testView(b, shards, map[tree.Key]tree.Value{tree.KeySlowStart: tree.Number(0)}, 1)
	for i := range v.Indexes["files"].Searchers {
		v.Indexes["files"].Searchers[i].Slots = slots
	}
	l := &loadGenerator{bench: b, harness: harness{world: NewWorld("host-a", "domain-a"), now: epoch}}
	l.tick(ViewChanged{v})
	nextEvents := l.tick(l.newArrival())
	for range running - 1 {
		nextEvents = append(nextEvents, l.newArrival())
	}
	step := func() {
		l.now = l.now.Add(time.Millisecond)
		if len(l.pending) > 0 {
			nextEvents, l.pending = append(nextEvents, l.pending[0]...), l.pending[1:]
		}
		events := nextEvents
		nextEvents = nil
		if !tickPerReply {
			nextEvents = l.tick(events...)
			return
		}
		for _, e := range events {
			nextEvents = append(nextEvents, l.tick(e)...)
		}
	}
	for range 200 {
		step()
	}
	l.calls = 0
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(l.calls), "µs/call")
	b.ReportMetric(float64(l.calls)/float64(b.N), "calls/op")
}
