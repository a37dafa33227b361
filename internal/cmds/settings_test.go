package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/edit"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/serve"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/stand/corpus"
)

// run runs the program and returns its exit status and combined output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	status := Run(args, &out, &out)
	return status, out.String()
}

func startSite(t *testing.T) *devel.Site {
	t.Helper()
	records, err := corpus.Sample()
	if err != nil {
		t.Fatal(err)
	}
	s := devel.NewSite(records)
	if err := s.Run(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// Guards against commands whose exit status or output does not report the outcome of
// a change.
func TestSettingsCommands(t *testing.T) {
	s := startSite(t)
	edits := writeFile(t, `{"edits":[{"action":"create","path":"/dastkar/jury-desk/portfolios"},
{"action":"set","path":"/dastkar/jury-desk/portfolios","key":"timeoutMs","value":700}]}`)
	tests := []struct {
		name   string
		args   string
		status int
		want   []string
	}{
		{"get", "get /dastkar", 0, []string{"revision 1", "/dastkar/jury-desk (service)"}},
		{"set", "set -wait -author ann -reason why /dastkar/jury-desk timeoutMs=900 cutOff=early", 0, []string{"accepted as revision 2", "host-lahore-a: revision 2 in force"}},
		{"conflict", "set -base 1 -author bob -reason why /dastkar/jury-desk timeoutMs=800", 1, []string{"not accepted", "revision 2, ann: set /dastkar/jury-desk timeoutMs 900"}},
		{"invalid value", "set -author bob -reason why /dastkar/jury-desk timeoutMs=0", 1, []string{"timeoutMs", "1 to 60000"}},
		{"invalid edit", "set -author bob -reason why dastkar weight=1", 2, []string{"not a settings path"}},
		{"no reason", "set -author bob /dastkar weight=2", 2, []string{"-reason"}},
		{"apply", "apply -id mine -base 2 -author bob -reason why " + edits, 0, []string{"accepted as revision 3 (change mine)"}},
		{"apply again", "apply -again -id mine -base 2 -author bob -reason why " + edits, 0, []string{"accepted as revision 3 (change mine)"}},
		{"status", "status -id mine -base 2", 0, []string{"accepted as revision 3"}},
		{"status of none", "status -id none", 1, []string{"not accepted"}},
		{"status is final", "set -again -id none -base 2 -author bob -reason why /dastkar weight=2", 1, []string{"resolved as not accepted"}},
		{"history", "history -limit 2", 0, []string{"bob: why (change mine", "create /dastkar/jury-desk/portfolios", "ann: why"}},
		{"unknown command", "shout", 2, nil},
		{"help", "help set", 0, []string{"Example:"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			args := strings.Fields(tc.args)
			full := append([]string{"settings", args[0]}, args[1:]...)
			if args[0] != "help" && args[0] != "shout" {
				full = append([]string{"settings", args[0], "-address", s.EntryAddresses()[0]}, args[1:]...)
			}
			status, out := run(full...)
			t.Log(out)
			is.Equal(status, tc.status)
			for _, w := range tc.want {
				is.True(strings.Contains(out, w)) // the output reports the outcome
			}
		})
	}
}

// Guards against JSON output that scripts cannot read.
func TestSettingsCommandsPrintJSON(t *testing.T) {
	s := startSite(t)
	for _, a := range [][]string{
		{"get", "/"},
		{"explain", "/dastkar"},
		{"history"},
		{"status", "-id", "initial"},
		{"set", "-author", "ann", "-reason", "why", "-wait", "/dastkar", "weight=2"},
	} {
		is := is.New(t)
		status, out := run(append([]string{"settings", a[0], "-json", "-address", s.EntryAddresses()[1]}, a[1:]...)...)
		is.Equal(status, 0)
		is.True(json.Valid([]byte(out)))
	}
}

// Guards against an unknown outcome that is reported as a failure, or without the id
// that is needed to resolve it later.
func TestUnknownOutcomeHasItsOwnStatus(t *testing.T) {
	is := is.New(t)
	a := serve.NewAdmin()
	a.Views = view.NewAtomic()
	a.Apply = func(context.Context, tree.Change, bool) edit.Answer { return edit.Answer{Outcome: edit.Unknown} }
	a.Resolve = func(context.Context, tree.ChangeID, model.Revision) edit.Answer {
		return edit.Answer{Outcome: edit.Unknown}
	}
	mux := http.NewServeMux()
	mux.Handle(a.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	status, out := run("settings", "set", "-address", address, "-id", "mine", "-author", "ann", "-reason", "why", "/a", "weight=1")
	is.Equal(status, 3)
	is.True(strings.Contains(out, "settings status -address "+address+" -id mine -base 0"))
	status, _ = run("settings", "status", "-address", address, "-id", "mine")
	is.Equal(status, 3)
	server.CloseClientConnections()
	server.Close()
	status, _ = run("settings", "set", "-address", address, "-id", "mine", "-base", "0", "-author", "ann", "-reason", "why", "/a", "weight=1")
	is.Equal(status, 1) // nothing was sent
}

// Guards against -wait that succeeds although a host does not have the revision, or
// that does not list the host.
func TestWaitNamesHostsWithoutTheRevision(t *testing.T) {
	is := is.New(t)
	// A host that responds, but whose revision in force stays at 1.
	laggingAdmin := serve.NewAdmin()
	laggingAdmin.Views = view.NewAtomic()
	laggingAdmin.Views.Store(view.New().WithSettings(1, tree.New()))
	laggingMux := http.NewServeMux()
	laggingMux.Handle(laggingAdmin.Handler())
	laggingServer := httptest.NewServer(laggingMux)
	defer laggingServer.Close()
	laggingAddress := strings.TrimPrefix(laggingServer.URL, "http://")
	a := serve.NewAdmin()
	a.Views = view.NewAtomic()
	a.Views.Store(view.New().WithSettings(2, tree.New()))
	a.Apply = func(context.Context, tree.Change, bool) edit.Answer {
		return edit.Answer{Outcome: edit.Accepted, Revision: 2}
	}
	a.StatusJSON = func(context.Context) ([]byte, error) {
		return json.Marshal(wire.StatusDocument{Host: "a", Members: []wire.MemberStatus{
			{Host: "gone", EntryAddress: "127.0.0.9:1", State: "alive"},
			{Host: "old", EntryAddress: "127.0.0.9:2", State: "failed"},
			{Host: "lagging", EntryAddress: laggingAddress, State: "alive"},
		}})
	}
	mux := http.NewServeMux()
	mux.Handle(a.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	status, out := run("settings", "set", "-timeout", "2s", "-wait", "-address", address, "-author", "ann", "-reason", "why", "/dastkar", "weight=2")
	is.Equal(status, 1)
	is.True(strings.Contains(out, "accepted as revision 2"))
	is.True(strings.Contains(out, address+" a: revision 2 in force"))
	is.True(strings.Contains(out, "127.0.0.9:1 gone: NOT KNOWN TO BE IN FORCE"))
	is.True(!strings.Contains(out, "127.0.0.9:2")) // a failed host is not waited for
	is.True(strings.Contains(out, laggingAddress+" lagging: revision 1, NOT IN FORCE YET"))
}

// Guards against a tree file that passes the check although no change could create
// such a tree.
func TestCheckTree(t *testing.T) {
	tests := []struct {
		name, text string
		status     int
		want       string
	}{
		{"valid", `{"nodes":[{"path":"/"},{"path":"/a","values":{"weight":2}}]}`, 0, "2 nodes"},
		{"range", `{"nodes":[{"path":"/a","values":{"weight":0}}]}`, 2, "/a weight"},
		{"contradiction", `{"nodes":[{"path":"/","values":{"maxTimeoutMs":10}}]}`, 2, "maxTimeoutMs"},
		{"two roots", `{"nodes":[{"path":"/"},{"path":"/"}]}`, 2, "twice"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			status, out := run("check", "-tree", writeFile(t, tc.text))
			is.Equal(status, tc.status)
			is.True(strings.Contains(out, tc.want))
		})
	}
}
