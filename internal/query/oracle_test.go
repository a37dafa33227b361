package query

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
)

// maxTicksPerInstant bounds the ticks that a world may request without the
// clock moving; more would be a busy loop.
const maxTicksPerInstant = 100

func (f *fuzzer) advance() {
	f.flush()
	f.advanceTo(f.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(f.test, "ms")) * time.Millisecond))
}

// advanceTo moves the clock and ticks the world at each wake-up that it
// requests.
func (f *fuzzer) advanceTo(to time.Time) {
	for n := 0; ; n++ {
		next := f.world.Next()
		if next.IsZero() || next.After(to) {
			f.now = to
			return
		}
		if next.After(f.now) {
			f.now, n = next, 0
		}
		if n > maxTicksPerInstant {
			f.test.Fatalf("the world requested more than %d ticks at %v", maxTicksPerInstant, f.now)
		}
		f.flush()
	}
}

// flush ticks the world with the queued events and checks its commands.
func (f *fuzzer) flush() {
	events := f.events
	f.events = nil
	for _, c := range f.world.Tick(f.now, events) {
		switch c := c.(type) {
		case StartCall:
			f.checkCall(c)
		case CancelCall:
			for _, k := range f.requests[c.Request].calls {
				k.open = k.open && k.Attempt != c.Attempt
			}
		case Respond:
			f.checkAnswer(c)
		}
	}
	f.checkEjections()
	f.checkWaiting()
}

// checkCall is the oracle of guarantee P6, of the slot limits and of the hedge
// budget.
func (f *fuzzer) checkCall(c StartCall) {
	r := f.requests[c.Request]
	if len(r.answers) > 0 {
		f.test.Fatalf("call %d of request %s after its answer", c.Attempt, c.Request)
	}
	i := slices.IndexFunc(f.searchers, func(s model.Searcher) bool { return s.ID == c.Searcher.ID })
	if i < 0 || f.searchers[i].Leaving || f.now.Before(f.drainingUntil[c.Searcher.ID]) {
		f.test.Fatalf("P6: searcher %s got a call although it is leaving, draining or removed", c.Searcher.ID)
	}
	inFlight, hedge := 1, false
	for _, k := range f.calls {
		if k.open && k.Searcher.ID == c.Searcher.ID {
			inFlight++
		}
		if k.open && k.Request == c.Request && k.Version == c.Version && k.Shard == c.Shard {
			hedge = true
		}
	}
	slots := f.searchers[i].Slots
	if f.ownSlots > 0 {
		slots = min(slots, f.ownSlots)
	}
	if inFlight > slots {
		f.test.Fatalf("searcher %s has %d calls in flight and %d slots", c.Searcher.ID, inFlight, slots)
	}
	if f.quarantined[r.query.Fingerprint()] {
		f.test.Fatalf("a call for quarantined request %s", c.Request)
	}
	if hedge {
		f.hedges++
	} else {
		f.nonHedges++
	}
	if budget := 1 + f.world.rootSettings.HedgeBudget*float64(f.nonHedges); float64(f.hedges) > budget+1e-6 {
		f.test.Fatalf("%d hedges for %d calls exceed the budget", f.hedges, f.nonHedges)
	}
	call := &fuzzCall{StartCall: c, open: true}
	r.calls = append(r.calls, call)
	f.calls = append(f.calls, call)
}

// checkAnswer is the oracle of guarantees P1 to P4 and of the deadline.
func (f *fuzzer) checkAnswer(c Respond) {
	r, a := f.requests[c.Request], c.Answer
	r.answers = append(r.answers, a)
	if len(r.answers) > 1 || a.Request != c.Request {
		f.test.Fatalf("request %s was answered %d times, last as %s", c.Request, len(r.answers), a.Request)
	}
	if f.now.After(r.query.Deadline) {
		f.test.Fatalf("request %s was answered at %v, after its deadline %v", c.Request, f.now, r.query.Deadline)
	}
	if a.Outcome == model.OutcomeRefused {
		started := slices.ContainsFunc(r.calls, func(c *fuzzCall) bool { return !c.provedNotStarted })
		if a.Refusal.Execution == model.NotRun && started {
			f.test.Fatalf("P4: request %s was refused as notRun after a call that may have started", c.Request)
		}
		if a.Refusal.Reason == model.ReasonDraining && len(r.calls) > 0 {
			f.test.Fatalf("P7: request %s was interrupted by the drain of this host", c.Request)
		}
		if a.Refusal.Reason == "" || len(a.Hits) > 0 {
			f.test.Fatalf("refusal of %s without reason or with hits: %+v", c.Request, a)
		}
		return
	}
	f.checkCoverage(r, a)
}

// checkCoverage compares an answer with the records of its index version: the
// coverage is a partition of that version's shards (P2), only shards with a
// valid reply count as searched (P2), and hits and matches are exactly those of
// the searched shards in that version for this query (P1, P3).
func (f *fuzzer) checkCoverage(r *fuzzRequest, a model.Answer) {
	var hits []model.Hit
	var matches uint64
	for _, sh := range f.snapshots[a.Version].Shards {
		searched := slices.Contains(a.Coverage.Searched, model.NewPart(sh, ""))
		missing := slices.ContainsFunc(a.Coverage.Missing, func(p model.Part) bool {
			return p.Reason != "" && p == model.NewPart(sh, p.Reason)
		})
		if searched == missing {
			f.test.Fatalf("P2: shard %s of version %d: searched %v, missing %v", sh.ID, a.Version, searched, missing)
		}
		if !searched {
			continue
		}
		i := slices.IndexFunc(r.calls, func(c *fuzzCall) bool {
			return c.replied && c.Version == a.Version && c.Shard == sh.ID
		})
		if i < 0 {
			f.test.Fatalf("P2: shard %s counts as searched without a valid reply", sh.ID)
		}
		reply := correctReply(f.snapshots[a.Version], r.calls[i].StartCall).Reply
		hits, matches = append(hits, reply.Hits...), matches+reply.Matches
	}
	if len(a.Coverage.Searched)+len(a.Coverage.Missing) != len(f.snapshots[a.Version].Shards) ||
		(a.Outcome == model.OutcomeComplete) != (len(a.Coverage.Missing) == 0) {
		f.test.Fatalf("P2: outcome %v does not match coverage %+v", a.Outcome, a.Coverage)
	}
	want := mergeHits(hits, r.query.Limit)
	same := slices.EqualFunc(a.Hits, want, func(x, y model.Hit) bool { return string(x.Source) == string(y.Source) })
	if !same || a.Matches != matches {
		f.test.Fatalf("P1, P3: request %s got %d hits of %d matches, want %d of %d", r.query.ID, len(a.Hits), a.Matches, len(want), matches)
	}
}

// checkEjections verifies that at most half of each shard's replicas are
// excluded because of ejection.
func (f *fuzzer) checkEjections() {
	for _, s := range f.versions {
		for _, sh := range s.Shards {
			eligible := 0
			r, p := request{snapshot: s}, part{shard: sh}
			for _, id := range sh.Replicas {
				if _, ok := f.world.eligible(r, p, id); ok {
					eligible++
				}
			}
			if candidateCount := len(f.world.candidates(r, p)); eligible-candidateCount > len(sh.Replicas)/2 {
				f.test.Fatalf("%d of %d replicas of shard %s are ejected", eligible-candidateCount, len(sh.Replicas), sh.ID)
			}
		}
	}
}

// checkWaiting verifies that the remaining calls of a part are cancelled once
// it has an outcome, and that no part waits while a replica has a free slot for
// it or although none can ever serve it.
func (f *fuzzer) checkWaiting() {
	w := f.world
	for id := range w.parts.All() {
		if p := w.part.Get(id); p.state != partPending && len(p.liveCalls) > 0 {
			f.test.Fatalf("shard %s has an outcome and %d live calls", p.shard.ID, len(p.liveCalls))
		}
	}
	if w.Next().Equal(f.now) || w.rootSettings.SlowStart > 0 {
		return // another tick is due now, or slots are added as time passes
	}
	for _, id := range w.running {
		r := w.request.Get(id)
		r.mode = w.modeFor(r.fingerprint, r.settings.Canary)
		if !w.canSendCall(r) {
			continue
		}
		for _, pt := range r.parts {
			p := w.part.Get(pt)
			if p.state != partPending || len(p.liveCalls) > 0 || f.now.Before(p.notBefore) {
				continue
			}
			if f.now.Before(p.avoidSlowUntil) && w.Next().After(f.now) && !w.Next().After(p.avoidSlowUntil) {
				continue // it waits for a fast replica, and a wake-up bounds the wait
			}
			if _, usable, ok := w.chooseReplica(r, p); ok || !usable {
				f.test.Fatalf("shard %s of %s waits: a replica has a free slot: %v, can serve it later: %v", p.shard.ID, r.query.ID, ok, usable)
			}
		}
	}
}

// checkEnd verifies that every request was answered once and that no rows are
// left.
func (f *fuzzer) checkEnd() {
	w := f.world
	for _, r := range f.byArrival {
		if len(r.answers) != 1 {
			f.test.Fatalf("request %s has %d answers", r.query.ID, len(r.answers))
		}
	}
	if w.requests.Len()+w.parts.Len()+w.calls.Len()+w.abandoned.Len()+len(w.running) > 0 {
		f.test.Fatalf("rows left: %d requests, %d parts, %d calls, %d abandoned calls", w.requests.Len(), w.parts.Len(), w.calls.Len(), w.abandoned.Len())
	}
	if w.searchers.Len() != len(f.searchers) {
		f.test.Fatalf("%d searcher rows for %d searchers", w.searchers.Len(), len(f.searchers))
	}
	for id := range w.searchers.All() {
		if n := w.searcher.Get(id).inFlight; n != 0 {
			f.test.Fatalf("searcher %s has %d calls in flight after all answers", w.searchers.Key(id), n)
		}
	}
	for id := range w.services.All() {
		if s := w.service.Get(id); s.running != 0 || s.queue.Len() != 0 {
			f.test.Fatalf("service row left with %d running and %d queued", s.running, s.queue.Len())
		}
	}
}
