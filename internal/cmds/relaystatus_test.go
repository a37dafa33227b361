package cmds

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/platform"
)

// Guards against a status of a host on the platform that lacks fields which operators
// need, and against exit status 0 for a failed request.
func TestStatusOfAHostOnThePlatform(t *testing.T) {
	is := is.New(t)
	body, status := `{"host":"front-1","failureDomain":"d1","region":"r","ready":false,"notReadyReason":"no searcher is known yet",
	 "configuration":12,"beliefAgeMs":40,"storeAway":true,"carriers":["front-2"],
	 "searchers":[{"searcher":"s1","service":"jury","state":"avoided","consecutiveLosses":3}],
	 "suspects":[{"fingerprint":"00ff","losses":4,"quarantined":true}],"counters":{"retry.hedge":5}}`, http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != platform.StatusPath {
			t.Errorf("requested path %s", r.URL.Path)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	run := func(flags ...string) (int, string) {
		var out bytes.Buffer
		code := Run(append([]string{"status", "-metrics", server.Listener.Addr().String()}, flags...), &out, &out)
		return code, out.String()
	}
	code, text := run()
	is.Equal(code, 0)
	for _, w := range []string{
		"front-1 (d1, r): not ready: no searcher is known yet; configuration 12", "current 40 ms ago, store unavailable true",
		"callers are sent to front-2", "searcher s1", "avoided", "lost 3", "request 00ff: 4 waves of calls lost, refused true", "retry.hedge",
	} {
		if !strings.Contains(text, w) {
			t.Errorf("%q is not in\n%s", w, text)
		}
	}
	code, text = run("-json")
	is.Equal(code, 0)
	is.True(strings.Contains(text, `"notReadyReason": "no searcher is known yet"`))

	body, status = "the loop is closed", http.StatusServiceUnavailable
	code, text = run()
	is.Equal(code, 1)
	is.True(strings.Contains(text, "503 Service Unavailable: the loop is closed"))
}
