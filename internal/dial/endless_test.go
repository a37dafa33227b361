package dial

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/query"
)

// Guards against a host that reads a reply without end into memory until it is killed,
// or for as long as its caller waits.
func TestEndlessReplyIsCutOff(t *testing.T) {
	const (
		endless = 256 << 20
		// maxSent allows for a whole reply and the buffers of the connection.
		maxSent = 4 * maxReplyBytes
	)
	for name, send := range map[string]func(http.ResponseWriter, *atomic.Int64) error{
		"body": func(w http.ResponseWriter, sent *atomic.Int64) error {
			w.Header().Set("Content-Type", "application/proto")
			n, err := io.WriteString(w, strings.Repeat("a", 64<<10))
			sent.Add(int64(n))
			return err
		},
		"error body": func(w http.ResponseWriter, sent *atomic.Int64) error {
			if sent.Load() == 0 {
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			n, err := io.WriteString(w, strings.Repeat("a", 64<<10))
			sent.Add(int64(n))
			return err
		},
		"headers": func(w http.ResponseWriter, _ *atomic.Int64) error {
			w.Header().Set("X-Long", strings.Repeat("a", 2*maxHeaderBytes))
			return errors.New("all is sent")
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for sent.Load() < endless && send(w, &sent) == nil {
				}
			}))
			server.Config.Protocols = new(http.Protocols)
			server.Config.Protocols.SetUnencryptedHTTP2(true)
			server.Start()
			defer server.Close()
			pool := NewPool()
			defer func() { is.NoErr(pool.Close()) }()
			start := time.Now()
			_, err := pool.Search(t.Context(), query.StartCall{
				Searcher: model.Searcher{ID: "s", Address: model.Address(server.Listener.Addr().String()), ConnectionCap: 2},
				Deadline: start.Add(time.Minute), StopBy: start.Add(time.Minute),
			})
			var failed *CallError
			is.True(errors.As(err, &failed))
			is.True(failed.Failure != model.FailureDeadline)
			is.True(!failed.NotStarted)
			is.True(sent.Load() < maxSent)
		})
	}
}
