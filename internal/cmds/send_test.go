package cmds

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
)

// Guards against an exit status from which a script cannot tell whether a request may
// have run.
func TestSendExitStatuses(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	s := devel.NewSite(records)
	is.NoErr(s.Run(context.Background()))
	defer func() { _ = s.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	tests := []struct {
		name   string
		args   []string
		slow   bool
		status int
		output string
	}{
		{"ran", []string{"-key", "a", "-issued", now, "-timeout", "10s", "body"}, false, 0, "ran;"},
		{"repeated", []string{"-key", "a", "-issued", now, "-timeout", "10s", "body"}, false, 0, "recorded by an earlier request"},
		{"refused", []string{"-key", "b", "-issued", "1", "body"}, false, 1, "notRun"},
		{"unreachable", []string{"-key", "b", "-address", closed.Addr().String(), "body"}, false, 1, "notRun"},
		{"no key", []string{"body"}, false, 2, "-key"},
		{"unknown", []string{"-key", "c", "-timeout", "1s", "body"}, true, 3, "mayHaveRun"},
		{"unknown as JSON", []string{"-key", "d", "-json", "-timeout", "1s", "body"}, true, 3, `"reason": "outcomeUnknown"`},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			faults := fleet.Faults{}
			if tc.slow {
				faults.Delay = time.Minute
			}
			for _, n := range s.Fleet("fair-ledger").Searchers {
				n.SetFaults(faults)
			}
			var out bytes.Buffer
			status := Run(append([]string{"send", "-address", s.EntryAddresses()[0]}, tc.args...), &out, &out)
			is.Equal(status, tc.status)
			is.True(strings.Contains(out.String(), tc.output))
		})
	}
}
