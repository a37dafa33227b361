package wire

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/peer"
)

// Guards against a delegated call whose reply has no valid status and is taken for one
// that did not run, or is merged into an answer.
func TestDelegatedReplyWithoutValidStatus(t *testing.T) {
	for _, status := range []uint32{0, 99, 600, math.MaxUint32} {
		is := is.New(t)
		results := DecodeGuestReplies(&peer.DeliverRequest{Results: []*peer.DelegatedResult{
			{Call: 1, Status: status, Signature: "s", NotRun: true}, {Call: 2, Status: 200, Signature: "s"},
		}})
		is.Equal(len(results), 2)
		is.True(results[0].Failed)
		is.Equal(results[0].Failure, model.FailureTruncated)
		is.True(!results[0].NotRun)
		is.True(!results[1].Failed)
		is.True(results[1].Reply.Succeeded())
	}
}
