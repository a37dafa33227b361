package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// hedgeSlowParts is the system that sends a second call for a part whose first
// call exceeds the hedge delay.
func (w *World) hedgeSlowParts() {
	for {
		row, due := w.hedgeTimers.PopDue(w.Now())
		if !due {
			return
		}
		p := w.part.Get(row)
		if !w.parts.Has(row) || p.state != partOpen || len(p.activeCalls) != 1 {
			continue
		}
		w.hedgePart(row, p)
	}
}

// hedgePart sends a hedge for a part if its attempts, its deadline and the retry
// budget allow it. It postpones the hedge if the usable searchers are full, the
// budget is spent, or the request may crash searchers.
func (w *World) hedgePart(row table.ID, p part) {
	r := w.request.Get(p.request)
	if p.attempts >= r.route.Attempts || !w.Now().Before(r.deadline) {
		return
	}
	c := w.chooseSearcher(r, p)
	switch {
	case w.maybeCrashing(r), !c.found && c.busy:
		w.hedgeTimers.Add(w.Now().Add(hedgeRetryDelay), row)
	case !c.found && !c.availableAt.IsZero():
		w.hedgeTimers.Add(c.availableAt, row)
	case !c.found:
		w.Emit(Count{"hedge", "noReplica"})
	case !w.service.Get(p.service).extraCalls.Spend(w.Now()):
		w.Emit(Count{"hedge", "budgetExhausted"})
		w.request.Set(p.request, r.withDeniedHedge())
		w.hedgeTimers.Add(w.Now().Add(hedgeRetryDelay), row)
	default:
		w.Emit(Count{"hedge", "sent"})
		w.log("second searcher asked", "request", r.received.ID, "service", w.services.Key(p.service),
			"searcher", w.searchers.Key(c.searcher), "elapsedMs", milliseconds(w.Now().Sub(r.received.Arrived)))
		w.request.Set(p.request, r.withHedge())
		w.startCall(row, c.searcher, true)
	}
}

// hedgeDelay returns how long a call may take before a hedge is sent.
func (w *World) hedgeDelay(r request) time.Duration {
	quantile, ok := w.routeStat.Get(r.stats).latency.Quantile(hedgeQuantile)
	if !ok {
		quantile = 2 * defaultLatency
	}
	limit := time.Duration(float64(r.route.TargetLatency) * hedgeDelayMaxShare)
	return max(min(quantile, limit), hedgeDelayMin)
}

// completeRequests is the system that answers requests whose parts were settled.
func (w *World) completeRequests() {
	settled := w.settledRequests
	w.settledRequests = w.settledRequests[:0]
	for _, id := range settled {
		if w.requests.Has(id) {
			w.completeRequest(id)
		}
	}
}

// completeRequest answers a request once waiting longer cannot improve the
// answer.
func (w *World) completeRequest(id table.ID) {
	r := w.request.Get(id)
	required := r.route.RequiredShards()
	switch {
	case !r.route.Sharded():
		w.completeSingle(id, r)
	case r.pendingParts == 0 && r.answeredParts >= required, r.answeredParts >= required && !w.Now().Before(r.partialAt):
		w.respond(id, w.mergedAnswer(r))
	case r.answeredParts+r.pendingParts < required:
		w.giveUp(id, r)
	}
}

func (w *World) completeSingle(id table.ID, r request) {
	p := w.part.Get(r.parts[0])
	switch {
	case p.state == partOpen:
	case p.state == partAnswered || p.reply.relayable():
		w.respond(id, Answer{Kind: Relayed, Reply: p.reply})
	default:
		if p.reply.ClaimsNotRun {
			w.Emit(Count{"answer", "statusWithheld"})
			w.log("status not passed on: it promises that a request has not run that may have run",
				"request", r.received.ID, "status", p.reply.Status, "signed", p.reply.Signature != "")
		}
		w.giveUp(id, r)
	}
}

// mergedAnswer merges the replies of the answered parts.
func (w *World) mergedAnswer(r request) Answer {
	replies := make([]Reply, 0, r.answeredParts)
	for _, row := range r.parts {
		if p := w.part.Get(row); p.state == partAnswered {
			replies = append(replies, p.reply)
		}
	}
	return mergeParts(replies, len(r.parts)-len(replies), r.route.TopK)
}

// failureReasons maps the reason for a missing part to the refusal reason of its
// request.
var failureReasons = map[model.MissingReason]model.Reason{
	model.MissingSuspect:     model.ReasonQuarantined,
	model.MissingRetryBudget: model.ReasonRetryBudget,
	model.MissingLost:        model.ReasonSearcherFailed,
	model.MissingRefused:     model.ReasonSearcherFailed,
	model.MissingNoReplica:   model.ReasonNoReplica,
	model.MissingRestricted:  model.ReasonRestricted,
}

// failureReason returns the most frequent reason among the missing parts, or
// that the deadline expired.
func (w *World) failureReason(r request) model.Reason {
	if w.cutByStop(r) {
		return model.ReasonDraining
	}
	if !w.Now().Before(r.deadline) {
		return model.ReasonDeadlineExpired
	}
	counts := map[model.Reason]int{}
	best := model.ReasonNoReplica
	for _, row := range r.parts {
		p := w.part.Get(row)
		if reason, ok := failureReasons[p.missingReason]; ok && p.state == partMissing {
			if counts[reason]++; counts[reason] > counts[best] {
				best = reason
			}
		}
	}
	return best
}

// failureAnswer returns the answer to a request that cannot be served.
func (w *World) failureAnswer(r request) Answer {
	reason := w.failureReason(r)
	refusal := model.NewRefusal(reason, "%d of %d parts were answered, %d are required", r.answeredParts, len(r.parts), r.route.RequiredShards())
	after := noReplicaRetryAfter
	if c, restricted := w.findRestriction(r.received, r.route, w.servicesOf(r)); restricted {
		after = w.returnDelay(c, r.route)
	}
	return newRefusedAnswer(refusal.WithExecution(r.execution())).WithRetryAfter(after)
}

// giveUp answers a request that cannot be served. Calls that still wait for a
// connection are revoked first, so that a request that reached no searcher is answered
// as not run.
func (w *World) giveUp(id table.ID, r request) {
	if r.revoking {
		return
	}
	unsent := w.revocableCalls(r)
	if len(unsent) == 0 {
		w.respond(id, w.failureAnswer(r))
		return
	}
	w.request.Set(id, r.withRevoking())
	w.Emit(RevokeUnsent{Handle: r.received.Handle, Calls: unsent})
}

// revocableCalls returns the calls of a request that this host sends itself.
func (w *World) revocableCalls(r request) []CallID {
	var list []CallID
	for _, row := range r.parts {
		for _, id := range w.part.Get(row).activeCalls {
			if w.calls.Has(id) && w.call.Get(id).delegate == 0 {
				list = append(list, w.calls.Key(id))
			}
		}
	}
	return list
}

// answerRevoked is the system that answers requests whose unsent calls were revoked.
func (w *World) answerRevoked() {
	tick.Each(w.Inbox(), func(e Revoked) {
		if id, ok := w.requests.Find(e.Handle); ok {
			w.respond(id, w.failureAnswer(w.request.Get(id)))
		}
	})
}

// servicesOf returns the services of a request's parts.
func (w *World) servicesOf(r request) []model.ServiceName {
	list := make([]model.ServiceName, 0, len(r.parts))
	for _, row := range r.parts {
		list = append(list, w.services.Key(w.part.Get(row).service))
	}
	return list
}

// expireRequests is the system that answers requests at their deadline, or at
// the time for a partial answer.
func (w *World) expireRequests() {
	for {
		id, due := w.requestTimers.PopDue(w.Now())
		if !due {
			return
		}
		if !w.requests.Has(id) {
			continue
		}
		r := w.request.Get(id)
		switch {
		case r.route.Sharded() && r.answeredParts >= r.route.RequiredShards():
			w.respond(id, w.mergedAnswer(r))
		case !w.Now().Before(r.deadline):
			w.giveUp(id, r)
		}
	}
}

// respond answers a request and removes it. Calls still in flight are cancelled
// after abandonedCallTime.
func (w *World) respond(id table.ID, a Answer) {
	r := w.request.Get(id)
	w.endRequestWave(r)
	w.Emit(Respond{Handle: r.received.Handle, Answer: a})
	w.logAnswer(r, a)
	for _, row := range r.parts {
		w.scheduleCancel(w.part.Get(row))
		w.parts.Remove(row)
	}
	w.requests.Remove(id)
}

func (w *World) logAnswer(r request, a Answer) {
	took := w.Now().Sub(r.received.Arrived)
	fields := []any{
		"request", r.received.ID, "route", r.route.Name, "version", r.version, "tookMs", milliseconds(took),
		"hedges", r.hedges, "hedgesDenied", r.hedgesDenied, "retries", r.retries, "fleet", w.view.Fleet.Revision,
	}
	switch a.Kind {
	case Refused:
		w.Emit(Count{"refusal", string(a.Refusal.Reason)})
		fields = append(fields, "outcome", "failed", "reason", a.Refusal.Reason, "execution", a.Refusal.Execution.String(),
			"detail", a.Refusal.Detail, "attempts", r.route.Attempts, "idempotent", r.route.Idempotent)
	case Merged:
		w.Emit(Observe{"merged", took})
		fields = append(fields, "outcome", "merged", "parts", len(a.Signatures), "missing", a.Missing)
	case Relayed:
		w.Emit(Observe{"relayed", took})
		fields = append(fields, "outcome", "relayed", "status", a.Reply.Status)
	}
	if missing := w.describeMissing(r); len(missing) > 0 {
		fields = append(fields, "without", missing)
	}
	w.log("request answered", fields...)
}

// describeMissing lists the services without a reply, each with the reason and
// the searchers that were called.
func (w *World) describeMissing(r request) []string {
	var list []string
	for _, row := range r.parts {
		p := w.part.Get(row)
		if p.state == partAnswered {
			continue
		}
		reason := string(p.missingReason)
		if p.state == partOpen {
			reason = string(model.MissingCutOff)
		}
		w.Emit(Count{"missing", reason})
		text := string(w.services.Key(p.service)) + ":" + reason
		for _, id := range p.triedSearchers {
			text += "@" + string(w.searchers.Key(id))
		}
		list = append(list, text)
	}
	return list
}

// cancelAbandoned is the system that cancels calls whose reply has not been
// needed for abandonedCallTime.
func (w *World) cancelAbandoned() {
	for {
		id, due := w.cancelTimers.PopDue(w.Now())
		if !due {
			return
		}
		if !w.calls.Has(id) {
			continue
		}
		c := w.call.Get(id)
		w.cancelCall(id, c)
		w.endCall(id, c, w.Now().Sub(c.sent), callDropped)
	}
}
