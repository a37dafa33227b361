package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site, as in the settings of a small deployment.
const (
	drainTime        = 3000 * time.Millisecond
	stableWindow     = 4000 * time.Millisecond
	graceSeconds     = 6
	retryBudgetRatio = 0.2
	retryBudgetSlack = 52
	budgetWindow     = 10 * time.Second
	maxBodyBytes     = 262144
	// hostName is the Host header of the routes.
	hostName = "records.example"
)

var zones = []string{"karachi-a", "lahore-a", "peshawar-a"}

// entryHost is one entry host, a process of the program under test.
type entryHost struct {
	name, entry, ready, directory, settings string
	command                                 *exec.Cmd
	log                                     *os.File
}

// site is a deployment on loopback. Each host has an address of its own and the same ports.
type site struct {
	record *record
	store  *objectStore
	dir    string
	ports  []int
	hosts  []*entryHost
	// mu guards all, the searchers started so far.
	mu  sync.Mutex
	all []*searcher
}

func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := newObjectStore()
	if err != nil {
		return nil, err
	}
	s := &site{record: r, store: store, dir: dir}
	var listeners []net.Listener
	for range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		s.ports = append(s.ports, l.Addr().(*net.TCPAddr).Port)
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return s, nil
}

// hostIP returns the loopback address of a host. Cases that run at the same time use
// different networks.
func hostIP(i int) string { return fmt.Sprintf("127.23.%d.%d", os.Getpid()%250, i+1) }

func (s *site) address(host, port int) string {
	return fmt.Sprintf("%s:%d", hostIP(host), s.ports[port])
}

// startHost starts entry host number i with the command of the deploy file. The numbers
// of the seeds are those of hosts.
func (s *site) startHost(i int, seeds []int) (*entryHost, error) {
	h := &entryHost{
		name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i), entry: s.address(i, 1), ready: s.address(i, 2),
		directory: s.address(i, 3), settings: filepath.Join(s.dir, fmt.Sprintf("host-%d.json", i)),
	}
	seedAddresses := []string{}
	for _, n := range seeds {
		seedAddresses = append(seedAddresses, fmt.Sprintf("%s:%d", hostIP(n), 8106))
	}
	settings, err := json.Marshal(map[string]any{
		"host": h.name, "failureDomain": zones[i%len(zones)], "region": "sindh", "entryAddress": h.entry, "readyAddress": h.ready,
		"directoryAddress": h.directory, "peerAddress": s.address(i, 0), "metricsAddress": s.address(i, 4), "platform": s.store.address,
		"cores": 1, "cpuShare": 0.4, "linkMbps": 1000, "memoryMb": 284, "graceSeconds": graceSeconds, "retryShare": retryBudgetRatio,
		"retrySlack": retryBudgetSlack, "retryWindowSeconds": budgetWindow.Seconds(), "seeds": seedAddresses,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(s.dir, fmt.Sprintf("host-%d.log", i))); err != nil {
		return nil, err
	}
	h.command = exec.Command("target/toucanpulley", "platform")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", wire.SettingsFile + "=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	s.hosts = append(s.hosts, h)
	s.record.add("host %s started, entry %s, seeds %v", h.name, h.entry, seedAddresses)
	return h, nil
}

// waitReady waits until all hosts are ready.
func (s *site) waitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range s.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return errors.New("host " + h.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
		s.record.add("host %s is ready", h.name)
	}
	return nil
}

func (h *entryHost) isReady() bool {
	status, _, err := get(h.ready, wire.ReadyPath, time.Second)
	return err == nil && status == 200
}

// alive reports whether the process still runs.
func (h *entryHost) alive() bool { return h.command.Process.Signal(syscall.Signal(0)) == nil }

// addSearcher starts a searcher.
func (s *site) addSearcher(x *searcher) error {
	x.store = s.store
	if err := x.start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.all = append(s.all, x)
	s.mu.Unlock()
	s.record.add("searcher %s of %s started at %s", x.id, x.service, x.listener.Addr())
	return nil
}

// close ends all processes and stand-ins that the case started.
func (s *site) close() {
	for _, h := range s.hosts {
		_ = h.command.Process.Kill()
		_ = h.command.Wait()
		_ = h.log.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.all {
		x.stop()
	}
	s.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs:", s.dir)
	}
}

// manifest writes a version of the manifest with the given routes and services.
func (s *site) manifest(version int, services []map[string]any, routes ...route) {
	s.store.put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
	})
	s.record.add("manifest %d confirmed", version)
}
