package cmds

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/devel"
	"toucanpulley.example/stand/corpus"
)

// writeCertificate issues a certificate, writes its files and returns the flags for
// them.
func writeCertificate(t *testing.T, a *certs.Authority, name string) (caFlags, pairFlags []string) {
	t.Helper()
	is := is.New(t)
	m, err := a.Issue(name)
	is.NoErr(err)
	certificate, key, authority, err := a.PEM(m)
	is.NoErr(err)
	dir := t.TempDir()
	write := func(file string, data []byte) string {
		path := filepath.Join(dir, file)
		is.NoErr(os.WriteFile(path, data, 0o600))
		return path
	}
	return []string{"-ca", write("ca.pem", authority)},
		[]string{"-cert", write("cert.pem", certificate), "-key", write("key.pem", key)}
}

// Guards against operator commands that do not present their client certificate or
// that report an unauthenticated change as one of unknown outcome, and against
// commands for callers that require a certificate.
func TestCommandsByTLS(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	s := devel.NewSite(records)
	s.Authority, err = certs.NewAuthority("site")
	is.NoErr(err)
	is.NoErr(s.Run(context.Background()))
	defer func() { _ = s.Close() }()
	caFlags, operatorFlags := writeCertificate(t, s.Authority, devel.Operator)
	_, unknownFlags := writeCertificate(t, s.Authority, "somebody")
	set := []string{"-reason", "test", "/" + devel.Account, "weight=2"}
	tests := []struct {
		name    string
		command []string
		flags   [][]string
		rest    []string
		status  int
		output  string
	}{
		{"set by operator", []string{"settings", "set", "-wait"}, [][]string{caFlags, operatorFlags}, set, 0, "accepted"},
		{"set without certificate", []string{"settings", "set"}, [][]string{caFlags}, set, 1, "unauthenticated"},
		{"set with unknown certificate", []string{"settings", "set"}, [][]string{caFlags, unknownFlags}, set, 1, "unauthenticated"},
		{"status by operator", []string{"status"}, [][]string{caFlags, operatorFlags}, nil, 0, "host-"},
		{"status without certificate", []string{"status"}, [][]string{caFlags}, nil, 1, "unauthenticated"},
		{"drain without certificate", []string{"drain"}, [][]string{caFlags}, nil, 1, "unauthenticated"},
		{"no key", []string{"status"}, [][]string{caFlags, operatorFlags[:2]}, nil, 1, "needed together"},
		{"no authority", []string{"status"}, [][]string{operatorFlags}, nil, 1, "needed together"},
		{"addresses without certificate", []string{"addresses"}, [][]string{caFlags}, nil, 0, "127.0.0."},
		{"query without certificate", []string{"query"}, [][]string{caFlags}, []string{"-timeout", "10s"}, 0, "complete"},
		{"addresses without authority", []string{"addresses"}, nil, nil, 1, "notRun"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			args := append(tc.command, "-address", s.EntryAddresses()[0])
			for _, f := range tc.flags {
				args = append(args, f...)
			}
			status, output := run(append(args, tc.rest...)...)
			if status != tc.status || !strings.Contains(output, tc.output) {
				t.Log(output)
			}
			is.Equal(status, tc.status)
			is.True(strings.Contains(output, tc.output))
		})
	}
}
