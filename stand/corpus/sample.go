package corpus

import (
	"bytes"
	_ "embed"
)

// SampleSeed and SampleRecords are the arguments with which sample.jsonl was
// generated.
const (
	SampleSeed    = 20260101
	SampleRecords = 4000
)

//go:generate sh -c "go run ./gen > sample.jsonl"
//go:embed sample.jsonl
var sample []byte

// Sample returns the embedded sample records.
func Sample() ([]Record, error) { return Read(bytes.NewReader(sample)) }
