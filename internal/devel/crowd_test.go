package devel_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/crowd"
)

// The crowd and its bounds. Each body is just below the maximum size of a request.
const (
	crowdConnections = 1500
	crowdBodyBytes   = 250 << 10
	crowdDescriptors = 1024
	crowdMemoryMB    = 256
)

// TestCrowdOfUnfinishedBodies guards against a host whose memory or descriptors are used
// up by callers that send many bodies at once and never finish them.
func TestCrowdOfUnfinishedBodies(t *testing.T) {
	records, err := corpus.Sample()
	if err != nil {
		t.Fatal(err)
	}
	// The race detector multiplies the memory of a program.
	program := filepath.Join(t.TempDir(), "toucanpulley")
	if out, err := exec.Command("go", "build", "-o", program, "toucanpulley.example/cmd/toucanpulley").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for name, c := range crowd.Kinds(crowdConnections, crowdBodyBytes) {
		t.Run(name, func(t *testing.T) {
			site := devel.NewSite(records)
			site.ExternalHosts = true
			if err := site.Run(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = site.Close() }()
			h := startProcesses(t, site, devel.DefaultDomains[:1])[0]
			h.kill()
			p := crowd.NewProcess(t.Context(), crowdDescriptors, program, "entry", "-settings", h.settingsFile)
			p.Stderr = os.Stderr
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			h.command = p.Cmd // ended at the end of the test
			h.awaitReady(t)
			c.Address = h.address
			c.Head = "POST " + entry.EntryServiceSearchProcedure + " HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\n"
			defer func() { _ = c.Close() }()
			c.Run(t.Context())
			err := os.ErrDeadlineExceeded
			for end := time.Now().Add(recoveryTimeout); err != nil && time.Now().Before(end); {
				_, err = searchCraft(h.address, "weaving", time.Second)
			}
			if err != nil {
				t.Errorf("no request was answered: %v", err)
			}
			measured, err := p.Check(crowdMemoryMB<<20, crowdDescriptors)
			if err != nil {
				t.Error(err)
			}
			t.Log(measured)
		})
	}
}
