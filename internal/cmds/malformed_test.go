package cmds

import (
	"bytes"
	"slices"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/stand/canned"
)

// Guards against a command that reports success because of a malformed response.
func TestMalformedResponseFailsCommand(t *testing.T) {
	for name, c := range map[string]struct {
		command, path []string
		response      string
	}{
		"status": {
			[]string{"status", "-metrics"},
			nil,
			"HTTP/1.1 200 OK\r\nX-Odd Name: v\r\nContent-Length: 2\r\n\r\n{}",
		},
		"settings": {
			[]string{"settings", "explain", "-address"},
			[]string{"/a"},
			"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nX-Odd Name: v\r\nContent-Length: 0\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := canned.NewServer()
			s.Serve = canned.HTTP1(c.response)
			is.NoErr(s.Run(t.Context()))
			defer func() { is.NoErr(s.Close()) }()
			var out bytes.Buffer
			is.Equal(Run(slices.Concat(c.command, []string{s.Address()}, c.path), &out, &out), 1)
			is.True(bytes.Contains(out.Bytes(), []byte("malformed response")))
		})
	}
}
