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

// settingsFileVariable is the environment variable that makes the test binary
// run as an entry host, with the settings file that it names, instead of running
// tests.
const settingsFileVariable = "TOUCANPULLEY_TEST_ENTRY"

func TestMain(m *testing.M) {
	if name := os.Getenv(settingsFileVariable); name != "" {
		os.Exit(cmds.Run([]string{"entry", "-settings", name}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// recoveryTimeout limits the time in which services move away from a lost host.
// It is far above the suspicion timeout of 5 s, so that tests also pass on a
// slow machine.
const recoveryTimeout = 30 * time.Second

// hostProcess is an entry host that runs as a separate process.
type hostProcess struct {
	host    string
	domain  string
	address string
	peer    string
	command *exec.Cmd
	// settingsFile is set by start.
	settingsFile string
}

// startProcesses starts one entry host for each domain as a separate process.
func startProcesses(t *testing.T, site *devel.Site, domains []devel.Domain) []*hostProcess {
	t.Helper()
	var started []*hostProcess
	var hosts []store.HostEntry
	for i, d := range domains {
		p := &hostProcess{host: fmt.Sprintf("proc-%d", i), domain: d.Name, address: freeAddress(t, d.Address), peer: freeAddress(t, d.Address)}
		started = append(started, p)
		hosts = append(hosts, store.HostEntry{
			ID: p.host, Role: store.RoleEntry, Address: model.Address(p.address), Peer: model.Address(p.peer),
			FailureDomain: model.FailureDomain(p.domain), Region: devel.Region,
		})
	}
	site.Platform().SetHosts(hosts)
	for _, p := range started {
		p.start(t, site.PlatformURL())
	}
	return started
}

func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	address, err := ports.Address(ip)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// start starts the process and waits until the host is ready.
func (p *hostProcess) start(t *testing.T, platform string) {
	t.Helper()
	settings, err := json.Marshal(map[string]any{
		"host": p.host, "failureDomain": p.domain, "region": devel.Region, "logLevel": "error",
		"entryAddress": p.address, "peerAddress": p.peer, "platform": platform,
	})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "host.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	p.settingsFile = path
	p.command = exec.Command(os.Args[0])
	p.command.Env = append(os.Environ(), settingsFileVariable+"="+path)
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	p.awaitReady(t)
}

func (p *hostProcess) awaitReady(t *testing.T) {
	t.Helper()
	for range 400 {
		response, err := http.Get("http://" + p.address + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	t.Fatalf("host %s is not ready after 10 s", p.host)
}

func (p *hostProcess) kill() {
	if p.command.ProcessState == nil {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

func (p *hostProcess) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// searchCraft searches jury-desk through one host for all records with the given
// craft.
func searchCraft(address, craft string, timeout time.Duration) (*entry.SearchResponse, error) {
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

// Guards against code paths that work only if all hosts share a process, and
// against a host that stops answering when other hosts are killed or frozen or
// the platform is down.
func TestSeparateProcessesSurviveKillFreezeAndPlatformOutage(t *testing.T) {
	is := is.New(t)
	records, err := corpus.Sample()
	is.NoErr(err)
	site := devel.NewSite(records)
	site.ExternalHosts = true
	// Short times, so that the drain at the end takes only two seconds.
	site.Nodes = []wire.NodeDocument{{Path: "/", Values: map[string]json.RawMessage{
		"addressTtlMs": json.RawMessage("1000"), "maxTimeoutMs": json.RawMessage("1000"),
	}}}
	is.NoErr(site.Run(t.Context()))
	defer func() { _ = site.Close() }()
	hosts := startProcesses(t, site, devel.DefaultDomains)
	want := uint64(0)
	for _, r := range records {
		if r.Service == "jury-desk" && r.Matches("craft", "pottery") {
			want++
		}
	}
	// A host may refuse requests while services move to other hosts, but every
	// answer must be complete.
	checkAnswer := func(p *hostProcess) {
		t.Helper()
		for deadline := time.Now().Add(recoveryTimeout); ; time.Sleep(20 * time.Millisecond) {
			a, err := searchCraft(p.address, "pottery", time.Second)
			if err == nil {
				is.Equal(a.GetMatches(), want)
				is.Equal(a.GetOutcome(), entry.Outcome_OUTCOME_COMPLETE)
				return
			}
			if _, ok := wire.RefusalOf(err); !ok {
				t.Fatalf("host %s returned an error without a refusal reason: %v", p.host, err)
			}
			if time.Now().After(deadline) {
				t.Fatalf("host %s does not answer within %v: %v", p.host, recoveryTimeout, err)
			}
		}
	}
	for _, p := range hosts {
		checkAnswer(p)
	}
	hosts[2].kill()
	checkAnswer(hosts[0])
	hosts[1].signal(t, syscall.SIGSTOP)
	checkAnswer(hosts[0])
	site.Platform().SetFaults(plat.Faults{Down: true})
	checkAnswer(hosts[0])
	hosts[1].signal(t, syscall.SIGCONT)
	checkAnswer(hosts[1])
	site.Platform().SetFaults(plat.Faults{})
	hosts[2].start(t, site.PlatformURL())
	checkAnswer(hosts[2])
	hosts[0].signal(t, syscall.SIGTERM)
	checkAnswer(hosts[1])
	is.NoErr(hosts[0].command.Wait()) // a graceful shutdown exits with status 0
	checkAnswer(hosts[2])
}
