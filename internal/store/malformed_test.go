package store

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/stand/canned"
)

// closeTimeout bounds the wait for a connection to be closed.
const closeTimeout = 10 * time.Second

// Guards against a malformed response that is taken for the platform's: for an object
// that does not exist, a conflict, or a write that was accepted. Its connection must not
// carry another call.
func TestMalformedResponse(t *testing.T) {
	respond := func(statusLine, fields, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
	}
	const oddName = "X-Odd Name: v\r\n"
	for name, response := range map[string]string{
		"status 000, conflict":         respond("000 ", "", `{"code":"failed_precondition"}`),
		"status 000, not found":        respond("000 ", "", `{"code":"not_found"}`),
		"status 999, conflict":         respond("999 ", "", `{"code":"failed_precondition"}`),
		"name with a blank":            "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n" + oddName + "Content-Length: 0\r\n\r\n",
		"name with a blank, conflict":  respond("412 Precondition Failed", oddName, `{"code":"failed_precondition"}`),
		"name with a blank, not found": respond("404 Not Found", oddName, `{"code":"not_found"}`),
		"name with a control byte":     respond("404 Not Found", "X-\x01Odd: v\r\n", `{"code":"not_found"}`),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := canned.NewServer()
			s.Serve = canned.HTTP1(response)
			is.NoErr(s.Run(t.Context()))
			defer func() { is.NoErr(s.Close()) }()
			c := NewClient("http://" + s.Address())
			_, err := c.Get(t.Context(), "o")
			is.True(errors.Is(err, ErrUnavailable))
			is.True(!errors.Is(err, ErrNotFound))
			is.True(s.WaitClosed(closeTimeout)) // the connection of the malformed response is closed
			_, err = c.Put(t.Context(), "o", []byte("v"), 1)
			is.True(errors.Is(err, ErrOutcomeUnknown))
			is.True(s.WaitClosed(closeTimeout)) // the connection of the malformed response is closed
		})
	}
}
