package conf

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const relaySettings = `{"host":"h-1","failureDomain":"d","region":"r","entryAddress":"10.0.0.1:1",
"readyAddress":"10.0.0.1:2","directoryAddress":"10.0.0.1:3","peerAddress":"10.0.0.1:4","metricsAddress":"10.0.0.1:5",
"platform":"10.0.0.9:1","cpuShare":0.4,"linkMbps":1000,"memoryMb":284.5,"graceSeconds":2.5}`

// Guards against invalid settings that are accepted, or rejected without the path
// of the key.
func TestRelaySettings(t *testing.T) {
	for _, test := range []struct{ name, old, new, path string }{
		{"valid", "", "", ""},
		{"missing", `"region":"r",`, "", "region"},
		{"no address", `10.0.0.1:3`, `nowhere`, "directoryAddress"},
		{"address twice", `10.0.0.1:3`, `10.0.0.1:2`, "directoryAddress"},
		{"share above one", `0.4`, `1.5`, "cpuShare"},
		{"short bound", `"graceSeconds":2.5`, `"leavingBoundMs":50`, "leavingBoundMs"},
		{"zero duration", `"graceSeconds":2.5`, `"retryWindowSeconds":0`, "retryWindowSeconds"},
		{"wrong type", `"linkMbps":1000`, `"linkMbps":"fast"`, "linkMbps"},
		{"unknown key", `"cpuShare"`, `"cpuShares"`, "cpuShares"},
		{"not JSON", `{"host"`, `host`, "(file)"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, err := ParseRelay([]byte(strings.Replace(relaySettings, test.old, test.new, 1)))
			if test.path == "" {
				is.NoErr(err)
				is.Equal(s.Capacity(), 400)
				is.Equal(s.Grace, 2500*time.Millisecond) // durations may be fractional
				return
			}
			var invalid *ValidationError
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Problems[0].Path, test.path)
		})
	}
}
