package model

// Outcome is the kind of an answer.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeRefused Outcome = iota
	OutcomePartial
	OutcomeComplete
)

// String returns the name used in logs and JSON.
func (o Outcome) String() string {
	return [...]string{"refused", "partial", "complete"}[o]
}

// Part describes one shard in the coverage of an answer.
type Part struct {
	Shard       ShardID
	FirstRecord string
	LastRecord  string
	Records     uint64
	// Reason is the reason why the shard was not searched; empty for a searched
	// shard.
	Reason MissingReason
}

// NewPart returns the coverage entry of a shard.
func NewPart(s Shard, reason MissingReason) Part {
	return Part{
		Shard: s.ID, FirstRecord: s.FirstRecord, LastRecord: s.LastRecord,
		Records: s.Records, Reason: reason,
	}
}

// Coverage lists the searched and the missing parts of a snapshot.
type Coverage struct {
	Searched []Part
	Missing  []Part
}

// Records returns the number of searched records and the total number.
func (c Coverage) Records() (searched, total uint64) {
	for _, p := range c.Searched {
		searched += p.Records
	}
	total = searched
	for _, p := range c.Missing {
		total += p.Records
	}
	return searched, total
}

// Answer is the result of a request: hits with coverage, or a refusal.
type Answer struct {
	Request  RequestID
	Hits     []Hit
	Matches  uint64
	Version  IndexVersion
	Revision Revision
	Coverage Coverage
	// Refusal is valid if Outcome is OutcomeRefused.
	Refusal Refusal
	Outcome Outcome
}

// NewAnswer returns an answer with the given coverage. It is complete if no part
// is missing and partial otherwise.
func NewAnswer(id RequestID, version IndexVersion, revision Revision, coverage Coverage) Answer {
	a := Answer{
		Request: id, Version: version, Revision: revision,
		Coverage: coverage, Outcome: OutcomeComplete,
	}
	if len(coverage.Missing) > 0 {
		a.Outcome = OutcomePartial
	}
	return a
}

// NewRefused returns the answer to a refused request.
func NewRefused(id RequestID, refusal Refusal) Answer {
	return Answer{Request: id, Refusal: refusal, Outcome: OutcomeRefused}
}

// WithHits returns a copy of the answer with the given hits and match count.
func (a Answer) WithHits(hits []Hit, matches uint64) Answer {
	a.Hits, a.Matches = hits, matches
	return a
}
