package relay

import (
	"bytes"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
)

// recordSize is the size of a record in bytes. Trailing bytes of a part that do
// not fill a record are ignored.
const recordSize = 16

// AnswerKind tells where the content of an answer comes from.
type AnswerKind uint8

const (
	// Relayed answers carry the reply of one searcher.
	Relayed AnswerKind = iota
	// Merged answers combine the records of several shards.
	Merged
	// Refused answers carry an error of this host.
	Refused
)

// Answer is the response to a request.
type Answer struct {
	Kind AnswerKind
	// Reply is the searcher's reply; set for Relayed.
	Reply Reply
	// Signatures holds the searchers' signatures of the parts of a Merged answer,
	// Missing the number of shards without a reply.
	Signatures []string
	Missing    int
	Records    []byte
	// Refusal holds the reason of a Refused answer and whether the request may
	// have run.
	Refusal model.Refusal
	// RetryAfter is the delay before the caller may retry a request that did not
	// run.
	RetryAfter time.Duration
}

func newRefusedAnswer(refusal model.Refusal) Answer { return Answer{Kind: Refused, Refusal: refusal} }

// WithRetryAfter returns the answer with a delay before the caller may retry.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.RetryAfter = d
	return a
}

// mergeParts merges the records of all parts and keeps the greatest up to limit,
// in descending order.
func mergeParts(parts []Reply, missing, limit int) Answer {
	a := Answer{Kind: Merged, Missing: missing, Signatures: make([]string, 0, len(parts))}
	top := policy.NewTopK(limit, bytes.Compare)
	for _, p := range parts {
		a.Signatures = append(a.Signatures, p.Signature)
		for b := p.Body; len(b) >= recordSize; b = b[recordSize:] {
			top.Add(b[:recordSize])
		}
	}
	a.Records = make([]byte, 0, limit*recordSize)
	for _, record := range top.Sorted() {
		a.Records = append(a.Records, record...)
	}
	return a
}

// topRecords returns the greatest records of a part, in descending order.
func topRecords(body []byte, limit int) []byte {
	if limit <= 0 || len(body) <= limit*recordSize {
		return body
	}
	return mergeParts([]Reply{{Body: body}}, 0, limit).Records
}
