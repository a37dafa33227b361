package relay

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

const (
	// maxGuestDelay is how much longer than usual a message with delegated calls may
	// have been on its way. A later one comes from before a pause of this process or a
	// cut of the network, and its time may have run out.
	maxGuestDelay = 300 * time.Millisecond
	// guestRetention is how long a process that delegates no calls is remembered.
	guestRetention = time.Minute
	// guestPauseMemory is how long after a pause of this process the first message of a
	// sender counts as late, because it may have arrived during the pause.
	guestPauseMemory = 100 * time.Millisecond
	// guestWakeInterval is the interval at which a host that takes delegated calls
	// ticks, to notice a pause of its process.
	guestWakeInterval = 200 * time.Millisecond
	// guestDelayMemory is the time after which the usual delay of a sender is measured
	// anew, because a clock may have been set.
	guestDelayMemory = 10 * time.Second
)

// Guest identifies a process that delegates calls to this host.
type Guest struct {
	Host model.HostID
	// Process differs between the processes of a host, whose calls have the same ids.
	Process uint64
	// Peer is the address for the replies.
	Peer model.Address
}

// GuestCalls reports calls that another host delegates to this one.
type GuestCalls struct {
	Guest   Guest
	Request model.RequestID
	Message any
	Timeout time.Duration
	Calls   []DelegatedCall
	// TopK is the number of records in an answer to the request.
	TopK int
	// Offset is the receiver's time of day less that of the sender at sending: the
	// delay plus the unknown difference of the clocks.
	Offset time.Duration
}

// GuestCancelled reports delegated calls that the other host no longer needs.
type GuestCancelled struct {
	Guest Guest
	Calls []CallID
}

// GuestReplies sends the results of delegated calls to the host that delegated them.
type GuestReplies struct {
	Guest   Guest
	Results []GuestResult
}

// GuestResult is the result of a delegated call: a reply, or a failure if Failed is set.
type GuestResult struct {
	Call   CallID
	Reply  Reply
	Failed bool
	// Failure, NotRun and Cause are as for CallFailed.
	Failure model.Failure
	NotRun  bool
	Cause   string
}

// Event returns the result as an event of the host that delegated the call.
func (r GuestResult) Event() Event {
	if r.Failed {
		return CallFailed{Call: r.Call, Failure: r.Failure, NotRun: r.NotRun, Cause: r.Cause}
	}
	return Replied{Call: r.Call, Reply: r.Reply}
}

func (GuestCalls) event()     {}
func (GuestCancelled) event() {}
func (GuestReplies) command() {}

// guestKey identifies a delegated call.
type guestKey struct {
	guest Guest
	call  CallID
}

// guestCall is the component of a delegated call: the call that this host sends, and
// the number of records in an answer.
type guestCall struct {
	call table.ID
	topK int
}

// guestDelay is the component of a process that delegates calls: the least offset of
// its messages, and when one was last close to it.
type guestDelay struct {
	least time.Duration
	at    time.Time
}

// guestRoute is the name under which the latencies of delegated calls are kept.
const guestRoute = "delegated calls"

// noticePause is the system that notices a pause of the process on a host that takes
// delegated calls.
func (w *World) noticePause() {
	if w.Delay() > maxGuestDelay {
		w.guestsLateUntil = w.Now().Add(guestPauseMemory)
	}
	if w.view.HoldsConnections(w.Host) && w.Now().Before(w.lastGuestAt.Add(guestDelayMemory)) {
		w.WakeAt(w.Now().Add(guestWakeInterval))
	}
}

// admitGuests is the system that starts delegated calls. The world of the host that
// delegates them decides on retries and budgets; this one keeps what the searchers
// asked of this machine: pauses, leaving, replaced addresses.
func (w *World) admitGuests() {
	tick.Each(w.Inbox(), func(e GuestCalls) {
		late := w.isLate(e)
		if late {
			w.Emit(Count{"guest", "late"})
			w.log("delegated calls came late", "request", e.Request, "from", e.Guest.Host, "calls", len(e.Calls),
				"offsetMs", milliseconds(e.Offset))
		}
		for _, c := range e.Calls {
			if result, refused := w.refuseGuest(c, late); refused {
				w.addGuestResult(e.Guest, result)
				continue
			}
			w.startGuest(e, c)
		}
	})
	tick.Each(w.Inbox(), func(e GuestCancelled) {
		for _, c := range e.Calls {
			if id, ok := w.guestCalls.Find(guestKey{e.Guest, c}); ok {
				w.cancelGuest(w.guestCall.Get(id).call)
			}
		}
	})
}

// isLate reports whether a message with delegated calls was on its way for much longer
// than the fastest one of its sender.
func (w *World) isLate(e GuestCalls) bool {
	w.lastGuestAt = w.Now()
	id, added := w.guests.Add(e.Guest)
	if added {
		w.expireGuests()
	}
	d := w.guestDelay.Get(id)
	switch {
	case added && w.Now().Before(w.guestsLateUntil):
		w.guests.Remove(id) // the next message shows the usual delay
		return true
	case added || e.Offset < d.least || !w.Now().Before(d.at.Add(guestDelayMemory)):
		w.guestDelay.Set(id, guestDelay{e.Offset, w.Now()})
		return false
	case e.Offset-d.least > maxGuestDelay:
		return true
	}
	w.guestDelay.Set(id, guestDelay{d.least, w.Now()})
	return false
}

// expireGuests removes processes that have not delegated calls for some time.
func (w *World) expireGuests() {
	for id := range w.guests.All() {
		if d := w.guestDelay.Get(id); !d.at.IsZero() && !w.Now().Before(d.at.Add(guestRetention)) {
			w.guests.Remove(id)
		}
	}
}

// refuseGuest returns the result of a delegated call that is not sent.
func (w *World) refuseGuest(c DelegatedCall, late bool) (GuestResult, bool) {
	id, known := w.searchers.Find(c.Searcher)
	s := w.searcher.Get(id)
	switch {
	case late || w.view.Leaving && !w.answerBy.IsZero() && !w.Now().Before(w.answerBy):
		return GuestResult{Call: c.Call, Failed: true, Failure: model.FailureDelegate, NotRun: true, Cause: "the delegated call came late"}, true
	case !known || !s.usable():
		return GuestResult{Call: c.Call, Failed: true, Failure: model.FailureDelegate, NotRun: true, Cause: "the searcher is not in use"}, true
	case w.Now().Before(s.pausedUntil):
		return GuestResult{Call: c.Call, Reply: Reply{Status: 503, NotRun: true, RetryAfter: s.pausedUntil.Sub(w.Now())}}, true
	}
	return GuestResult{}, false
}

// startGuest sends a delegated call.
func (w *World) startGuest(e GuestCalls, c DelegatedCall) {
	row, added := w.guestCalls.Add(guestKey{e.Guest, c.Call})
	if !added {
		return // the message came twice
	}
	to, _ := w.searchers.Find(c.Searcher)
	s := w.searcher.Get(to).withCall(w.Now())
	w.searcher.Set(to, s)
	w.lastCall++
	id, _ := w.calls.Add(w.lastCall)
	w.guestCall.Set(row, guestCall{id, e.TopK})
	w.call.Set(id, call{
		searcher: to, stats: w.routeStatsRow(model.Route{Name: guestRoute}), request: e.Request, sent: w.Now(), guest: row, start: s.start,
	})
	w.cancelTimers.Add(w.Now().Add(e.Timeout), id)
	w.Emit(Count{"call", "guest"})
	w.Emit(StartCall{Call: w.lastCall, Searcher: s.registration.Searcher, Request: e.Request, Message: e.Message, Timeout: e.Timeout})
}

// cancelGuest ends a delegated call whose reply is no longer needed.
func (w *World) cancelGuest(id table.ID) {
	if w.calls.Has(id) {
		c := w.call.Get(id)
		w.cancelCall(id, c)
		w.endCall(id, c, w.Now().Sub(c.sent), callDropped)
	}
}

// finishGuest queues the result of a call for the host that delegated it, if any. Of
// the records of a reply it returns those that can be among the greatest of an answer.
func (w *World) finishGuest(c call, result GuestResult) {
	if !w.guestCalls.Has(c.guest) {
		return
	}
	key := w.guestCalls.Key(c.guest)
	result.Call = key.call
	if result.Reply.Succeeded() {
		result.Reply.Body = topRecords(result.Reply.Body, w.guestCall.Get(c.guest).topK)
	}
	w.addGuestResult(key.guest, result)
}

func (w *World) addGuestResult(g Guest, r GuestResult) {
	if w.guestResults[g] == nil {
		w.guestsToAnswer = append(w.guestsToAnswer, g)
	}
	w.guestResults[g] = append(w.guestResults[g], r)
}

// sendGuestReplies is the system that returns the results of a tick, one message for
// each host.
func (w *World) sendGuestReplies() {
	for _, g := range w.guestsToAnswer {
		w.Emit(GuestReplies{Guest: g, Results: w.guestResults[g]})
	}
	w.guestsToAnswer = w.guestsToAnswer[:0]
	clear(w.guestResults)
}
