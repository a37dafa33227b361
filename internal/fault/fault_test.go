package fault

import (
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"
)

// Guards against errors that lose their step, peer or cause when they are wrapped.
func TestErrorNamesStepAndPeer(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want string
	}{
		{"with peer", Wrap(io.EOF, "read reply", "127.0.0.1:9"), "read reply (peer 127.0.0.1:9): EOF"},
		{"local", New("load settings", "", "no file"), "load settings: no file"},
		{"nested", Wrap(Wrap(io.EOF, "inner", "p"), "outer", ""), "outer: inner (peer p): EOF"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { is.New(t).Equal(tc.err.Error(), tc.want) })
	}
	is := is.New(t)
	is.True(errors.Is(tests[2].err, io.EOF))
	is.NoErr(Wrap(nil, "step", "peer"))
}
