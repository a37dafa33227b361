package feed

import (
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// firstBackoff and mostBackoff bound the pause after a failed call, which
	// doubles with each failure. The store has rates, and a machine that can
	// reach it again must have the configuration within 3 s.
	firstBackoff = 60 * time.Millisecond
	mostBackoff  = 500 * time.Millisecond
	// watchGap is the pause before searchers are watched again after a change.
	// Changes come in groups, and each call to the store has a price.
	watchGap = 300 * time.Millisecond
	// hostsRetry is the pause before the list of entry hosts is read again while
	// no peer is known.
	hostsRetry = 3 * time.Second
	// outage is how long the store must have been away for entries to have
	// lapsed meanwhile.
	outage = 300 * time.Millisecond
	// lapseGrace is how long after an outage a missing entry may come back.
	// Searchers that live are back within about 2 s.
	lapseGrace = 2300 * time.Millisecond
	// pullDelay is how long a host waits for its own watch before it pulls what
	// a peer has, and pullDelayAway the same while the store is away.
	pullDelay     = time.Second
	pullDelayAway = 20 * time.Millisecond
)

// topic is the cell of a topic: how far it is known and what call is out.
type topic struct {
	known bool
	asOf  uint64
	// busy is set while a call is out; turn numbers the calls, so that a call
	// that is given up is not taken for its successor.
	busy     bool
	turn     uint64
	failures int
	// next is when the next call may begin.
	next time.Time
}

func (t topic) withCall() topic {
	t.busy = true
	t.turn++
	return t
}

func (t topic) withResult(asOf uint64, next time.Time) topic {
	t.busy, t.known, t.failures, t.next = false, true, 0, next
	t.asOf = max(t.asOf, asOf)
	return t
}

func (t topic) withFailure(next time.Time) topic {
	t.busy, t.next = false, next
	t.failures++
	return t
}

// withoutHistory returns the topic to be read in full. A call that is out is
// given up.
func (t topic) withoutHistory(now time.Time) topic {
	t.busy, t.known, t.asOf, t.next = false, false, 0, now
	return t
}

// entry is the cell of a searcher's entry.
type entry struct {
	registration model.Registration
	// lapsed is when an entry that is missing counts as gone; zero if it is there.
	lapsed time.Time
}

// World is what one host believes.
type World struct {
	// Random spreads calls to the store; set before the first tick to replay a run.
	Random *rand.Rand

	alarm tick.Alarm
	now   time.Time
	inbox []Event
	out   []Command

	topics *table.Table[Topic]
	topic  *table.Column[topic]

	configuration model.Configuration
	entries       *table.Table[model.SearcherID]
	entry         *table.Column[entry]
	// fleet is the revision of the newest change of a searcher.
	fleet uint64
	// dirty is set if beliefs changed in this tick, loud if peers should hear.
	dirty, loud bool

	// away is set while the store does not answer, since awaySince; backAt is
	// when it last came back after an outage.
	away      bool
	awaySince time.Time
	backAt    time.Time

	// ahead holds peers that know more, pullAt is when one is asked.
	ahead   *table.Table[model.HostID]
	peer    *table.Column[PeerSeen]
	pullAt  time.Time
	pulling bool

	systems []func()
}

// NewWorld returns a world without beliefs.
func NewWorld() *World {
	w := &World{
		Random: rand.New(rand.NewPCG(1, 2)),
		topics: table.New[Topic](), entries: table.New[model.SearcherID](), ahead: table.New[model.HostID](),
	}
	w.topic = table.NewColumn[topic](w.topics)
	w.entry = table.NewColumn[entry](w.entries)
	w.peer = table.NewColumn[PeerSeen](w.ahead)
	for _, t := range []Topic{Configuration, Searchers, Hosts} {
		w.topics.Add(t)
	}
	w.systems = []func(){w.receive, w.hearPeers, w.takePulled, w.lapse, w.ask, w.pull, w.adopt}
	return w
}

// Tick runs every system over the events and returns commands.
func (w *World) Tick(now time.Time, inbox []Event) []Command {
	w.now, w.inbox, w.out = now, inbox, nil
	w.alarm.Reset()
	for _, system := range w.systems {
		system()
	}
	return w.out
}

// Next returns the time of the next deadline; zero if there is none.
func (w *World) Next() time.Time { return w.alarm.Next() }

// Digest returns a summary of what is believed.
func (w *World) Digest() Digest {
	return Digest{Version: w.configuration.Version, Fleet: w.fleet, Hash: w.hash()}
}

// Away reports whether the store does not answer.
func (w *World) Away() bool { return w.away }

func (w *World) emit(c Command) { w.out = append(w.out, c) }

func (w *World) note(text string, facts ...any) { w.emit(Note{Text: text, Facts: facts}) }

func (w *World) warn(text string, facts ...any) { w.emit(Note{Text: text, Warn: true, Facts: facts}) }

// ask is the system that reads and watches topics, one call each at a time.
func (w *World) ask() {
	for id := range w.topics.All() {
		name, t := w.topics.Key(id), w.topic.Get(id)
		switch {
		case t.busy, name == Hosts && t.known:
		case w.now.Before(t.next):
			w.alarm.At(t.next)
		case !t.known:
			t = t.withCall()
			w.topic.Set(id, t)
			w.emit(Read{Topic: name, Turn: t.turn})
		default:
			t = t.withCall()
			w.topic.Set(id, t)
			w.emit(Watch{Topic: name, Turn: t.turn, After: t.asOf})
		}
	}
}

// backoff returns when a topic with failures is asked for again.
func (w *World) backoff(failures int) time.Time {
	pause := min(firstBackoff<<min(failures, 10), mostBackoff)
	return w.now.Add(pause/2 + time.Duration(w.Random.Int64N(int64(pause))))
}
