package relay

import (
	"bytes"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
)

// recordSize is the size of a record of a part in bytes. A shorter rest at the
// end of a part is not a record.
const recordSize = 16

// Kind is the kind of an answer.
type Kind uint8

// Kinds of answers.
const (
	// Relayed is the answer of one searcher.
	Relayed Kind = iota
	// Merged is the answer of several shards.
	Merged
	// Refused is an answer of this host.
	Refused
)

// Answer is the end of a request.
type Answer struct {
	Kind Kind
	// Reply is the searcher's answer if Relayed.
	Reply Reply
	// Signatures prove the parts of a Merged answer; Missing is the number of
	// shards without a part.
	Signatures []string
	Missing    int
	Records    []byte
	// Refusal tells why a Refused request has no answer and whether it ran.
	Refusal model.Refusal
	// RetryAfter is when the caller may come again if the request did not run.
	RetryAfter time.Duration
}

// refused returns the answer to a request without a result.
func refused(refusal model.Refusal) Answer { return Answer{Kind: Refused, Refusal: refusal} }

// WithRetryAfter returns the answer with a time to come back.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.RetryAfter = d
	return a
}

// merge returns the greatest records of the parts, greatest first.
func merge(parts []Reply, missing, keep int) Answer {
	a := Answer{Kind: Merged, Missing: missing, Signatures: make([]string, 0, len(parts))}
	top := policy.NewTopK(keep, bytes.Compare)
	for _, p := range parts {
		a.Signatures = append(a.Signatures, p.Signature)
		for b := p.Body; len(b) >= recordSize; b = b[recordSize:] {
			top.Add(b[:recordSize])
		}
	}
	a.Records = make([]byte, 0, keep*recordSize)
	for _, record := range top.Sorted() {
		a.Records = append(a.Records, record...)
	}
	return a
}
