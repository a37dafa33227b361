package devel

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a start that waits until its time is over and names no cause, because a
// host has failed to start: its port was taken between the search for a free one and its
// use.
func TestStartFailsWithTheCause(t *testing.T) {
	is := is.New(t)
	s := NewSite(nil)
	cause := errors.New("address already in use")
	s.hostFailed(cause)
	is.True(errors.Is(s.awaitReady(t.Context()), cause))
}
