package conf

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const validSettings = `{"host":"a","failureDomain":"karachi-a","region":"sindh",
"entryAddress":"127.0.0.1:7100","peerAddress":"127.0.0.1:7101","platform":"http://127.0.0.1:7000","seeds":["127.0.0.2:7101"]}`

// Guards against invalid settings that are accepted, or rejected without the path
// of the key and the allowed values.
func TestParseReportsProblems(t *testing.T) {
	replace := func(old, with string) string { return strings.Replace(validSettings, old, with, 1) }
	tests := []struct {
		name, data, path, allowed string
	}{
		{"unknown key", replace(`"host"`, `"colour":1,"host"`), "colour", "entryAddress"},
		{"wrong type", replace(`"a"`, `7`), "host", "1 to 63"},
		{"out of range", replace(`"host"`, `"lanes":0,"host"`), "lanes", "1 to 64"},
		{"duplicate address", replace("127.0.0.1:7101", "127.0.0.1:7100"), "peerAddress", "address of its own"},
		{"duplicate in list", replace("127.0.0.2:7101", "127.0.0.1:7101"), "seeds[0]", "address of its own"},
		{"not an address", replace("127.0.0.2:7101", "localhost"), "seeds[0]", "IP address"},
		{"missing", replace(`"host":"a",`, ``), "host", "1 to 63"},
		{"key twice", replace(`"host"`, `"host":"b","host"`), "host", "twice"},
		{"not JSON", `{`, "(file)", "JSON"},
		{"log level", replace(`"host"`, `"logLevel":"loud","host"`), "logLevel", "trace, debug"},
		{"tls not an object", replace(`"host"`, `"tls":7,"host"`), "tls", "JSON object"},
		{"tls key missing", replace(`"host"`, `"tls":{"certificate":"conf.go","key":"conf.go"},"host"`), "tls.ca", "file that can be read"},
		{"tls file missing", replace(`"host"`, `"tls":{"certificate":"no-such.pem"},"host"`), "tls.certificate", "file that can be read"},
		{"tls directory", replace(`"host"`, `"tls":{"certificate":"."},"host"`), "tls.certificate", "not a file"},
		{"tls unknown key", replace(`"host"`, `"tls":{"cert":"a"},"host"`), "tls.cert", "ca, certificate"},
		{"tls key twice", replace(`"host"`, `"tls":{"key":"conf.go","key":"conf.go"},"host"`), "tls.key", "twice"},
		{"tls searchers", replace(`"host"`, `"tls":{"searchers":"yes"},"host"`), "tls.searchers", "on, off"},
		{"operators not a list", replace(`"host"`, `"tls":{"operators":"ops"},"host"`), "tls.operators", "up to 64 distinct names"},
		{"operator not a name", replace(`"host"`, `"tls":{"operators":["ops","*.ops"]},"host"`), "tls.operators[1]", "1 to 63"},
		{"operator twice", replace(`"host"`, `"tls":{"operators":["ops","ops"]},"host"`), "tls.operators[1]", "distinct"},
		{"too many operators", replace(`"host"`, `"tls":{"operators":["ops"`+strings.Repeat(`,"ops"`, 64)+`]},"host"`), "tls.operators", "up to 64"},
		{"null", replace(`"a"`, `null`), "host", "1 to 63"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(tc.data))
			var invalid *ValidationError
			is.True(errors.As(err, &invalid))
			found := false
			for _, p := range invalid.Problems {
				found = found || p.Path == tc.path && strings.Contains(p.Message, tc.allowed)
			}
			is.True(found) // the problem has the path and the allowed values
		})
	}
	_, err := Parse([]byte(validSettings))
	is.New(t).NoErr(err)
}
