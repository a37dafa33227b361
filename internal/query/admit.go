package query

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

const (
	// maxQueueRequests bounds the queue of a service across all accounts. At
	// 1 KB per request it takes 4 MB.
	maxQueueRequests = 4096
	// runningTimeQuantile is the quantile of recent running times that serves as
	// the estimate for a new request.
	runningTimeQuantile = 0.9
)

// admit is the system that queues new requests or refuses them before any call
// is sent.
func (w *World) admit() {
	tick.Each(w.Inbox(), func(e Arrived) {
		if refusal := w.admitRequest(e.Request); refusal != nil {
			w.Emit(Respond{e.Request.ID, model.NewRefused(e.Request.ID, *refusal)})
		}
	})
}

func (w *World) admitRequest(query model.Request) *model.Refusal {
	settings, refusal := w.resolve(query)
	if refusal != nil {
		return refusal
	}
	fingerprint := query.Fingerprint()
	due := query.Deadline.Add(-settings.ReturnAllowance)
	if refusal := w.checkAdmissible(query, fingerprint, due); refusal != nil {
		return refusal
	}
	row := w.serviceRow(query.Service)
	if refusal := w.checkQueue(row, query, settings, due); refusal != nil {
		return refusal
	}
	id, added := w.requests.Add(query.ID)
	if !added {
		return newRefusal(model.ReasonBadRequest, "request id %q is in use", query.ID)
	}
	w.request.Set(id, request{
		query: query, settings: settings, revision: w.view.Revision, fingerprint: fingerprint,
		service: row, arrived: w.Now(), due: due,
	})
	w.timers.deadlines.Add(due, id)
	w.service.Get(row).queue.Push(query.Account, settings.Weight, id)
	return nil
}

// resolve returns the settings of a request's scope. Results are cached until
// the view changes.
func (w *World) resolve(query model.Request) (*tree.Settings, *model.Refusal) {
	key := scopeKey{query.Account, query.Service, query.Scope}
	if s, ok := w.resolved[key]; ok {
		return s, nil
	}
	s, refusal := w.view.Resolve(query.Account, query.Service, query.Scope)
	if refusal != nil {
		return nil, refusal
	}
	w.resolved[key] = &s
	return &s, nil
}

// checkAdmissible returns a refusal if this host must not run the request at
// all.
func (w *World) checkAdmissible(query model.Request, fingerprint model.Fingerprint, due time.Time) *model.Refusal {
	switch {
	case w.view.Draining:
		return newRefusal(model.ReasonDraining, "host %s is shutting down", w.Host)
	case !w.view.Runs(query.Service):
		return newRefusal(model.ReasonNotReady, "service %q is not assigned to host %s", query.Service, w.Host)
	case w.isQuarantined(fingerprint):
		return newRefusal(model.ReasonQuarantined, "this request crashed searchers and is refused for a while")
	case !w.Now().Before(due):
		return newRefusal(model.ReasonDeadlineExpired, "the deadline had passed on arrival")
	case len(w.view.Indexes[query.Service].Snapshots) == 0:
		return newRefusal(model.ReasonNoSnapshot, "no index version of service %q is known", query.Service)
	}
	return nil
}

func newRefusal(reason model.Reason, format string, args ...any) *model.Refusal {
	r := model.NewRefusal(reason, format, args...)
	return &r
}

// checkQueue returns a refusal if the request would wait too long or its queue
// is full.
func (w *World) checkQueue(row table.ID, query model.Request, settings *tree.Settings, due time.Time) *model.Refusal {
	s := w.service.Get(row)
	slots := w.capacity(row)
	if s.running+s.queue.Len() < slots {
		return nil
	}
	switch runningTime, _ := s.duration.Quantile(runningTimeQuantile); {
	case s.queue.ClassLen(query.Account) >= settings.MaxQueue:
		return newRefusal(model.ReasonAccountLimit, "%d requests of account %q wait already", settings.MaxQueue, query.Account)
	case s.queue.Len() >= maxQueueRequests:
		return newRefusal(model.ReasonQueueFull, "%d requests for service %q wait already", maxQueueRequests, query.Service)
	default:
		wait := expectedWait(s.queue.Ahead(query.Account, settings.Weight), slots, runningTime)
		if left := due.Sub(w.Now()); wait+runningTime > left {
			return newRefusal(model.ReasonDeadlineTooShort, "expected time is %v and the time left is %v", wait+runningTime, left)
		}
	}
	return nil
}

// expectedWait estimates the time in the queue from the number of requests
// ahead, the number that run at once and their running time (Little's law).
func expectedWait(ahead, slots int, runningTime time.Duration) time.Duration {
	return time.Duration(float64(runningTime) * float64(ahead+1) / float64(slots))
}
