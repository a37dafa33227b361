// Package wire encodes and decodes messages and stored objects. It converts them
// to and from the values of package model and of the packages that make
// decisions, which contain no encodings.
//
// # Usage
//
//	request, err := wire.SearchRequest(message, id)
//	response := wire.SearchResponse(answer, callerID, host)
//	return nil, wire.RefusalError(refusal)
package wire

import (
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/pkg/entry"
)

const (
	// maxTerms is the maximum number of terms in a search.
	maxTerms = 32
	// maxTermBytes is the maximum size of a term's field, and of its value.
	maxTermBytes = 1024
	// maxHits is the maximum number of hits that a caller may request.
	maxHits = 1000
	// defaultHits is the number of hits if the caller sets no limit.
	defaultHits = 10
	// maxIDBytes is the maximum size of a caller's request id.
	maxIDBytes = 128
)

// SearchRequest validates a caller's search and returns it with the id that this
// host assigned. It does not set the deadline.
func SearchRequest(m *entry.SearchRequest, id model.RequestID) (model.Request, error) {
	check := func(ok bool, field, allowed string) error {
		if ok {
			return nil
		}
		return fault.New("check search request", "", "%s is not allowed; allowed: %s", field, allowed)
	}
	if err := check(len(m.GetRequestId()) <= maxIDBytes, "requestId", "up to 128 bytes"); err != nil {
		return model.Request{}, err
	}
	if err := check(len(m.GetTerms()) <= maxTerms, "terms", "up to 32 terms"); err != nil {
		return model.Request{}, err
	}
	if err := check(m.GetLimit() <= maxHits, "limit", "0 (default 10) to 1000"); err != nil {
		return model.Request{}, err
	}
	if err := check(m.GetAccount() != "" && m.GetService() != "", "account or service", "not empty"); err != nil {
		return model.Request{}, err
	}
	terms := make([]model.Term, 0, len(m.GetTerms()))
	for _, t := range m.GetTerms() {
		valid := t.GetField() != "" && len(t.GetField()) <= maxTermBytes && len(t.GetValue()) <= maxTermBytes
		if err := check(valid, "terms", "a field of 1 to 1024 bytes and a value of up to 1024 bytes"); err != nil {
			return model.Request{}, err
		}
		terms = append(terms, model.Term{Field: t.GetField(), Value: t.GetValue()})
	}
	limit := int(m.GetLimit())
	if limit == 0 {
		limit = defaultHits
	}
	return model.NewRequest(id, model.ClientAccount(m.GetAccount()), model.ServiceName(m.GetService())).
		WithScope(model.ScopeName(m.GetScope())).WithTerms(terms...).WithLimit(limit), nil
}

// CallerTimeout returns a caller's time budget, limited to maxTimeout. If ms is zero,
// it returns defaultTimeout.
func CallerTimeout(ms uint32, defaultTimeout, maxTimeout time.Duration) time.Duration {
	if ms == 0 {
		return defaultTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, maxTimeout)
}

// SearchResponse returns the message for an answer that is not a refusal, with
// the request id that the caller chose.
func SearchResponse(a model.Answer, callerID string, host model.HostID) *entry.SearchResponse {
	searched, total := a.Coverage.Records()
	outcome := entry.Outcome_OUTCOME_COMPLETE
	if a.Outcome == model.OutcomePartial {
		outcome = entry.Outcome_OUTCOME_PARTIAL
	}
	m := &entry.SearchResponse{
		RequestId: callerID, Matches: a.Matches, IndexVersion: uint64(a.Version),
		SettingsRevision: uint64(a.Revision), Outcome: outcome, Host: string(host),
		Coverage: &entry.Coverage{
			TotalRecords: total, SearchedRecords: searched,
			Searched: encodeParts(a.Coverage.Searched), Missing: encodeParts(a.Coverage.Missing),
		},
	}
	for _, h := range a.Hits {
		m.Hits = append(m.Hits, &entry.Hit{RecordId: h.Record, Score: h.Score, Source: h.Source})
	}
	return m
}

func encodeParts(list []model.Part) []*entry.Part {
	out := make([]*entry.Part, 0, len(list))
	for _, p := range list {
		out = append(out, &entry.Part{
			Shard: string(p.Shard), FirstRecord: p.FirstRecord, LastRecord: p.LastRecord,
			Records: p.Records, Reason: string(p.Reason),
		})
	}
	return out
}

// AddressMessages returns the messages for entry addresses.
func AddressMessages(list []model.EntryAddress) []*entry.EntryAddress {
	out := make([]*entry.EntryAddress, 0, len(list))
	for _, a := range list {
		out = append(out, &entry.EntryAddress{
			Host: string(a.Host), Address: string(a.Address),
			FailureDomain: string(a.FailureDomain), Weight: a.Weight,
		})
	}
	return out
}
