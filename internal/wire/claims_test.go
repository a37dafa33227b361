package wire

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/claim"
	"toucanpulley.example/internal/store"
)

func testClaim(name string) claim.Claim {
	c := claim.Claim{
		Key:   claim.Key{Account: "dastkar", Service: "artisan-notify", Name: name},
		Nonce: "host-a-5f-1", Owner: "host-a", Issued: time.UnixMilli(1_800_000_000_123),
		Until: time.UnixMilli(1_800_000_005_000), BodyHash: 1<<63 + 1,
	}
	return c.WithSize(ClaimSize(c))
}

// Guards against claims that are lost or changed by encoding and decoding.
func TestPartitionRoundTrip(t *testing.T) {
	is := is.New(t)
	done := testClaim("b").WithOutcome(claim.Done, []byte{0, 255, '"'})
	done = done.WithSize(ClaimSize(done))
	escaped := testClaim("<&>\x00\u2028\"")
	floor := time.UnixMilli(1_700_000_000_000)
	p := claim.NewPartition(7, 9, floor, testClaim("a"), done, escaped)
	got, err := DecodePartition(7, 9, EncodePartition(p))
	is.NoErr(err)
	is.Equal(got, p)
	empty, err := DecodePartition(7, 1, EncodePartition(claim.NewPartition(7, 1, time.Time{})))
	is.NoErr(err)
	is.True(empty.Floor.IsZero())
	_, err = DecodePartition(7, 1, []byte(`{"floorMs":0,"claims":[{"state":"odd"}]}`))
	is.True(err != nil && strings.Contains(err.Error(), "odd"))
}

// Guards against a partition within claim.MaxPartitionBytes whose encoding is
// over the platform's size limit.
func TestFullPartitionFitsValueLimit(t *testing.T) {
	is := is.New(t)
	result := make([]byte, claim.MaxResultBytes)
	p := claim.NewPartition(0, 1, time.UnixMilli(1_700_000_000_000))
	for i := 0; ; i++ {
		held := testClaim(strings.Repeat("<", 100) + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676)))
		next := p.WithChanges([]claim.Claim{held}, nil)
		if next.Size() > claim.MaxPartitionBytes {
			break
		}
		done := held.WithOutcome(claim.Oversize, result)
		done = done.WithSize(ClaimSize(done))
		p = next.WithChanges([]claim.Claim{done}, nil)
		is.True(p.Size() <= next.Size()) // the outcome fits into the space reserved for it
	}
	is.True(len(EncodePartition(p)) <= store.MaxValueBytes)
}
