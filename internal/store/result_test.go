package store

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// Guards against treating an unknown error as proof that a write had no effect.
func TestResultOfAWrite(t *testing.T) {
	for _, c := range []struct {
		err  error
		want model.WriteResult
	}{
		{nil, model.WriteAccepted},
		{fault.Wrap(ErrConflict, "put", "10.0.0.1:1"), model.WriteConflict},
		{fault.Wrap(errors.Join(ErrUnavailable, errors.New("refused")), "put", "10.0.0.1:1"), model.WriteFailed},
		{ErrOutcomeUnknown, model.WriteUnknown},
		{errors.New("something else"), model.WriteUnknown},
	} {
		is.New(t).Equal(ResultOf(c.err), c.want)
	}
}
