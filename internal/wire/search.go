package wire

import (
	"errors"
	"time"

	"connectrpc.com/connect"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
	"toucanpulley.example/pkg/search"
)

// CallRequest returns the search request of a call. Its timeout is the time from
// now to the call's deadline.
func CallRequest(c query.StartCall, now time.Time) *search.SearchRequest {
	m := &search.SearchRequest{
		RequestId: string(c.Request), Attempt: uint32(c.Attempt), Service: string(c.Service),
		Shard: string(c.Shard), IndexVersion: uint64(c.Version), Limit: uint32(c.Limit),
		TimeoutMs: uint32(max(c.StopBy.Sub(now)/time.Millisecond, 1)),
	}
	for _, t := range c.Terms {
		m.Terms = append(m.Terms, &search.Term{Field: t.Field, Value: t.Value})
	}
	return m
}

// ExecuteRequest returns the message that sends a keyed request to a searcher.
// Its timeout is the time from now to the request's deadline.
func ExecuteRequest(c claim.Send, now time.Time) *search.ExecuteRequest {
	return &search.ExecuteRequest{
		RequestId: string(c.Request.ID), Key: c.Request.Key, Body: c.Request.Body,
		TimeoutMs: uint32(max(c.Deadline.Sub(now)/time.Millisecond, 1)),
	}
}

// DecodeReply returns the reply in a searcher's response.
func DecodeReply(m *search.SearchResponse) model.Reply {
	r := model.Reply{
		Request: model.RequestID(m.GetRequestId()), Attempt: model.Attempt(m.GetAttempt()),
		Shard: model.ShardID(m.GetShard()), Version: model.IndexVersion(m.GetIndexVersion()),
		Count: int(m.GetCount()), Matches: m.GetMatches(), Checksum: m.GetChecksum(),
		Draining: m.GetDraining(), Hits: make([]model.Hit, 0, len(m.GetHits())),
	}
	for _, h := range m.GetHits() {
		r.Hits = append(r.Hits, model.Hit{Record: h.GetRecordId(), Score: h.GetScore(), Source: h.GetSource()})
	}
	return r
}

var refusalFailures = map[search.RefusalReason]model.Failure{
	search.RefusalReason_REFUSAL_REASON_SHED:         model.FailureShed,
	search.RefusalReason_REFUSAL_REASON_DRAINING:     model.FailureDraining,
	search.RefusalReason_REFUSAL_REASON_VERSION_GONE: model.FailureVersionGone,
	search.RefusalReason_REFUSAL_REASON_DEADLINE:     model.FailureDeadline,
	search.RefusalReason_REFUSAL_REASON_BAD_REQUEST:  model.FailureRejected,
}

// SearcherRefusal returns the failure in a searcher's error, and whether the
// searcher states that it did not start the request. stated is false if the error
// did not come from the searcher.
func SearcherRefusal(err error) (failure model.Failure, notStarted, stated bool) {
	var ce *connect.Error
	if !errors.As(err, &ce) || !connect.IsWireError(err) {
		return 0, false, false
	}
	for _, d := range ce.Details() {
		value, detailErr := d.Value()
		if m, ok := value.(*search.Refusal); ok && detailErr == nil {
			failure, known := refusalFailures[m.GetReason()]
			if !known {
				failure = model.FailureRejected
			}
			return failure, m.GetNotStarted(), true
		}
	}
	return model.FailureRejected, false, true
}
