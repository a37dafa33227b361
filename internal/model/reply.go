package model

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hit is one matching record.
type Hit struct {
	Record string
	Score  float64
	// Source is the record encoded as JSON.
	Source []byte
}

// Attempt is the sequence number of a call within its request.
type Attempt uint32

// Reply is the response of a searcher for one shard.
type Reply struct {
	Request RequestID
	Attempt Attempt
	Shard   ShardID
	Version IndexVersion
	Hits    []Hit
	// Count is the number of hits that the searcher reported to have sent.
	Count int
	// Matches is the number of matching records in the shard.
	Matches uint64
	// Checksum is the checksum of the hits computed by the searcher.
	Checksum uint64
	// Draining reports whether the searcher accepts no new requests.
	Draining bool
}

// Checksum returns the xxhash64 of the hits in order.
func Checksum(hits []Hit) uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, h := range hits {
		// Lengths are hashed too, so that bytes shifted from one field to another
		// change the checksum.
		binary.LittleEndian.PutUint64(number[:], uint64(len(h.Record)))
		_, _ = d.Write(number[:])
		_, _ = d.WriteString(h.Record)
		binary.LittleEndian.PutUint64(number[:], math.Float64bits(h.Score))
		_, _ = d.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], uint64(len(h.Source)))
		_, _ = d.Write(number[:])
		_, _ = d.Write(h.Source)
	}
	return d.Sum64()
}
