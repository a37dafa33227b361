package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// hedge is the system that asks a second searcher for a part whose first call
// takes longer than most.
func (w *World) hedge() {
	for {
		row, due := w.hedges.PopDue(w.Now())
		if !due {
			return
		}
		p := w.part.Get(row)
		if !w.parts.Has(row) || p.state != partOpen || len(p.live) != 1 {
			continue
		}
		w.hedgePart(row, p)
	}
}

func (w *World) hedgePart(row table.ID, p part) {
	r := w.request.Get(p.request)
	if p.runs >= r.route.Attempts || !w.Now().Before(r.due) {
		return
	}
	best, busy, ok := w.choose(r, p)
	switch {
	case r.doubted(), !ok && busy:
		w.hedges.Add(w.Now().Add(hedgeRetry), row)
	case !ok:
		w.Emit(Count{"hedge", "noReplica"})
	case !w.service.Get(p.service).extras.Spend(w.Now()):
		w.Emit(Count{"hedge", "budgetExhausted"})
		w.request.Set(p.request, r.withDeniedHedge())
		w.hedges.Add(w.Now().Add(hedgeRetry), row)
	default:
		w.Emit(Count{"hedge", "sent"})
		w.note("second searcher asked", "request", r.ask.ID, "service", w.services.Key(p.service),
			"searcher", w.searchers.Key(best), "elapsedMs", milliseconds(w.Now().Sub(r.ask.Arrived)))
		w.request.Set(p.request, r.withHedge())
		w.send(row, best, true)
	}
}

// hedgeDelay returns how long a call of a request may take before a second
// searcher is asked.
func (w *World) hedgeDelay(r request) time.Duration {
	usual, ok := w.class.Get(r.class).latency.Quantile(hedgeQuantile)
	if !ok {
		usual = 2 * firstGuess
	}
	most := time.Duration(float64(r.route.Target) * hedgeShare)
	return max(min(usual, most), hedgeFloor)
}

// finish is the system that answers requests whose parts have outcomes.
func (w *World) finish() {
	settled := w.settled
	w.settled = w.settled[:0]
	for _, id := range settled {
		if w.requests.Has(id) {
			w.conclude(id)
		}
	}
}

// conclude answers a request as soon as more waiting cannot help it.
func (w *World) conclude(id table.ID) {
	r := w.request.Get(id)
	required := r.route.Required()
	switch {
	case !r.route.Scattered():
		w.concludeSingle(id, r)
	case r.open == 0 && r.got >= required, r.got >= required && !w.Now().Before(r.cutoff):
		w.respond(id, w.merged(r))
	case r.got+r.open < required:
		w.respond(id, w.failure(r))
	}
}

func (w *World) concludeSingle(id table.ID, r request) {
	p := w.part.Get(r.parts[0])
	switch {
	case p.state == partOpen:
	case p.state == partAnswered || p.reply.Signature != "":
		w.respond(id, Answer{Kind: Relayed, Reply: p.reply})
	default:
		w.respond(id, w.failure(r))
	}
}

// merged returns the answer of the parts that are there.
func (w *World) merged(r request) Answer {
	replies := make([]Reply, 0, r.got)
	for _, row := range r.parts {
		if p := w.part.Get(row); p.state == partAnswered {
			replies = append(replies, p.reply)
		}
	}
	return merge(replies, len(r.parts)-len(replies), r.route.Keep)
}

// failureReasons holds the reason of a request for that of a part which has kept
// it from an answer.
var failureReasons = map[model.MissingReason]model.Reason{
	model.MissingSuspect:     model.ReasonQuarantined,
	model.MissingRetryBudget: model.ReasonRetryBudget,
	model.MissingLost:        model.ReasonSearcherFailed,
	model.MissingRefused:     model.ReasonSearcherFailed,
	model.MissingNoReplica:   model.ReasonNoReplica,
}

// failureReason returns why most of the parts that are missing are.
func (w *World) failureReason(r request) model.Reason {
	if !w.Now().Before(r.due) {
		return model.ReasonDeadlineExpired
	}
	counts := map[model.Reason]int{}
	best := model.ReasonNoReplica
	for _, row := range r.parts {
		p := w.part.Get(row)
		if reason, ok := failureReasons[p.reason]; ok && p.state == partMissing {
			if counts[reason]++; counts[reason] > counts[best] {
				best = reason
			}
		}
	}
	return best
}

// failure returns the answer to a request that cannot be served.
func (w *World) failure(r request) Answer {
	reason := w.failureReason(r)
	refusal := model.NewRefusal(reason, "%d of %d parts were answered, %d are required", r.got, len(r.parts), r.route.Required())
	return refused(refusal.WithExecution(r.execution())).WithRetryAfter(emptyRetry)
}

// expire is the system that ends requests at their cut-off or deadline.
func (w *World) expire() {
	for {
		id, due := w.ends.PopDue(w.Now())
		if !due {
			return
		}
		if !w.requests.Has(id) {
			continue
		}
		r := w.request.Get(id)
		switch {
		case r.route.Scattered() && r.got >= r.route.Required():
			w.respond(id, w.merged(r))
		case !w.Now().Before(r.due):
			w.respond(id, w.failure(r))
		}
	}
}

// respond answers a request and removes it. Its calls linger.
func (w *World) respond(id table.ID, a Answer) {
	r := w.request.Get(id)
	w.Emit(Respond{Handle: r.ask.Handle, Answer: a})
	w.noteAnswer(r, a)
	for _, row := range r.parts {
		w.abandon(w.part.Get(row))
		w.parts.Remove(row)
	}
	w.requests.Remove(id)
}

func (w *World) noteAnswer(r request, a Answer) {
	took := w.Now().Sub(r.ask.Arrived)
	facts := []any{
		"request", r.ask.ID, "route", r.route.Name, "version", r.version, "tookMs", milliseconds(took),
		"hedges", r.hedges, "hedgesDenied", r.denied, "retries", r.retries, "fleet", w.view.Fleet.Revision,
	}
	switch a.Kind {
	case Refused:
		w.Emit(Count{"refusal", string(a.Refusal.Reason)})
		facts = append(facts, "outcome", "failed", "reason", a.Refusal.Reason, "execution", a.Refusal.Execution.String(),
			"detail", a.Refusal.Detail, "attempts", r.route.Attempts, "idempotent", r.route.Idempotent)
	case Merged:
		w.Emit(Observe{"merged", took})
		facts = append(facts, "outcome", "merged", "parts", len(a.Signatures), "missing", a.Missing)
	case Relayed:
		w.Emit(Observe{"relayed", took})
		facts = append(facts, "outcome", "relayed", "status", a.Reply.Status)
	}
	if missing := w.missing(r); len(missing) > 0 {
		facts = append(facts, "without", missing)
	}
	w.note("request answered", facts...)
}

// missing lists the services without a part, why, and the searchers that were
// asked.
func (w *World) missing(r request) []string {
	var list []string
	for _, row := range r.parts {
		p := w.part.Get(row)
		if p.state == partAnswered {
			continue
		}
		reason := string(p.reason)
		if p.state == partOpen {
			reason = string(model.MissingCutOff)
		}
		w.Emit(Count{"missing", reason})
		text := string(w.services.Key(p.service)) + ":" + reason
		for _, id := range p.tried {
			text += "@" + string(w.searchers.Key(id))
		}
		list = append(list, text)
	}
	return list
}

// linger is the system that cancels calls that nobody has waited for too long.
func (w *World) linger() {
	for {
		id, due := w.lingers.PopDue(w.Now())
		if !due {
			return
		}
		if !w.calls.Has(id) {
			continue
		}
		c := w.call.Get(id)
		w.Emit(Count{"call", "cancelled"})
		w.Emit(CancelCall{Call: w.calls.Key(id)})
		w.endCall(id, c, w.Now().Sub(c.sent), endDropped)
	}
}
