package devel_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"toucanpulley.example/internal/cmds"
	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/plat"
	"toucanpulley.example/stand/ports"
)

// entryVariable names the settings file if the test binary is to run as an
// entry host instead of running tests.
const entryVariable = "TOUCANPULLEY_TEST_ENTRY"

func TestMain(m *testing.M) {
	if name := os.Getenv(entryVariable); name != "" {
		os.Exit(cmds.Run([]string{"entry", "-settings", name}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// recovery bounds the time in which services move away from a lost host. It is
// far above the suspicion time of 5 s, so that a slow machine does not fail it.
const recovery = 30 * time.Second

// process is an entry host in a process of its own.
type process struct {
	host    string
	domain  string
	address string
	peer    string
	command *exec.Cmd
}

// processes starts one entry host for each address, as processes.
func processes(t *testing.T, site *devel.Site, domains []devel.Domain) []*process {
	t.Helper()
	var list []*process
	var hosts []store.HostEntry
	for i, d := range domains {
		p := &process{host: fmt.Sprintf("proc-%d", i), domain: d.Name, address: free(t, d.Address), peer: free(t, d.Address)}
		list = append(list, p)
		hosts = append(hosts, store.HostEntry{
			ID: p.host, Role: store.RoleEntry, Address: model.Address(p.address), Peer: model.Address(p.peer),
			FailureDomain: model.FailureDomain(p.domain), Region: devel.Region,
		})
	}
	site.Platform().SetHosts(hosts)
	for _, p := range list {
		p.start(t, site.PlatformURL())
	}
	return list
}

func free(t *testing.T, ip string) string {
	t.Helper()
	address, err := ports.Address(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start runs the process and waits until it is ready.
func (p *process) start(t *testing.T, platform string) {
	t.Helper()
	settings, err := json.Marshal(map[string]any{
		"host": p.host, "failureDomain": p.domain, "region": devel.Region, "logLevel": "error",
		"entryAddress": p.address, "peerAddress": p.peer, "platform": platform,
	})
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "host.json")
	if err := os.WriteFile(name, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), entryVariable+"="+name)
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	p.awaitReady(t)
}

func (p *process) awaitReady(t *testing.T) {
	t.Helper()
	for range 400 {
		res, err := http.Get("http://" + p.address + "/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("host %s is not ready after 10 s", p.host)
}

func (p *process) kill() {
	if p.command.ProcessState == nil {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// find searches at one host for all records of jury-desk with a craft.
func find(address, craft string, timeout time.Duration) (*entry.SearchResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	c := entry.NewEntryServiceClient(http.DefaultClient, "http://"+address)
	r, err := c.Search(ctx, connect.NewRequest(&entry.SearchRequest{
		Account: devel.Account, Service: "jury-desk", Limit: 1000, TimeoutMs: uint32(timeout.Milliseconds()),
		Terms: []*entry.Term{{Field: "craft", Value: craft}},
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// Guards against a path that works only inside one process, and against a host
// that stops answering when others are killed or frozen or the platform is down.
func TestSeparateProcessesSurviveKillFreezeAndPlatformOutage(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	site := devel.NewSite(records)
	site.External = true
	// Short times, so that the drain at the end takes two seconds.
	site.Nodes = []wire.NodeDocument{{Path: "/", Values: map[string]json.RawMessage{
		"addressTtlMs": json.RawMessage("1000"), "maxTimeoutMs": json.RawMessage("1000"),
	}}}
	is.NoErr(site.Run(t.Context()))
	defer func() { _ = site.Close() }()
	list := processes(t, site, devel.DefaultDomains)
	want := uint64(0)
	for _, r := range records {
		if r.Service == "jury-desk" && r.Matches("craft", "pottery") {
			want++
		}
	}
	// A host may refuse while services move to other hosts; an answer that it
	// gives must be whole.
	check := func(p *process) {
		t.Helper()
		for deadline := time.Now().Add(recovery); ; time.Sleep(20 * time.Millisecond) {
			a, err := find(p.address, "pottery", time.Second)
			if err == nil {
				is.Equal(a.GetMatches(), want)
				is.Equal(a.GetOutcome(), entry.Outcome_OUTCOME_COMPLETE)
				return
			}
			if _, ok := wire.RefusalOf(err); !ok {
				t.Fatalf("host %s failed without a reason: %v", p.host, err)
			}
			if time.Now().After(deadline) {
				t.Fatalf("host %s does not answer within %v: %v", p.host, recovery, err)
			}
		}
	}
	for _, p := range list {
		check(p)
	}
	list[2].kill()
	check(list[0])
	list[1].signal(t, syscall.SIGSTOP)
	check(list[0])
	site.Platform().SetFaults(plat.Faults{Down: true})
	check(list[0])
	list[1].signal(t, syscall.SIGCONT)
	check(list[1])
	site.Platform().SetFaults(plat.Faults{})
	list[2].start(t, site.PlatformURL())
	check(list[2])
	list[0].signal(t, syscall.SIGTERM)
	check(list[1])
	is.NoErr(list[0].command.Wait()) // a graceful shutdown ends with status 0
	check(list[2])
}
