package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is an entry host: the project's own program as a separate process.
type host struct {
	name      string
	entry     string
	ready     string
	directory string
	settings  string
	program   string
	rec       *recorder

	mu      sync.Mutex
	command *exec.Cmd
	starts  []time.Time
	done    chan struct{}
}

// startedBefore returns the start of the process that ran at the given time.
func (h *host) startedBefore(at time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	var start time.Time
	for _, s := range h.starts {
		if !s.After(at) {
			start = s
		}
	}
	return start
}

// run starts the process with the command of the deploy file.
func (h *host) run() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := exec.Command(h.program, "platform")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + h.settings}
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	_ = log.Close()
	h.command, h.starts, h.done = c, append(h.starts, time.Now()), make(chan struct{})
	h.rec.add("host %s started, process %d", h.name, c.Process.Pid)
	go func(done chan struct{}) {
		err := c.Wait()
		h.rec.add("host %s process %d ended: %v", h.name, c.Process.Pid, err)
		close(done)
	}(h.done)
	return nil
}

// signal sends a signal to the process that run started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rec.add("signal %v to host %s", s, h.name)
	_ = h.command.Process.Signal(s)
}

// wait waits for the end of the process.
func (h *host) wait() {
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	<-done
}

// waitReady waits until the health check of the platform passes.
func (h *host) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := http.Get("http://" + h.ready + wire.ReadyPath)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready", h.name)
}

// freePorts returns distinct ports that are free on all given addresses.
func freePorts(n int, addresses ...string) ([]int, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	var list []int
	for tries := 0; len(list) < n && tries < 100*n; tries++ {
		first, err := net.Listen("tcp", addresses[0]+":0")
		if err != nil {
			return nil, err
		}
		held = append(held, first)
		port := first.Addr().(*net.TCPAddr).Port
		free := true
		for _, a := range addresses[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a, port))
			if err != nil {
				free = false
				break
			}
			held = append(held, l)
		}
		if free {
			list = append(list, port)
		}
	}
	if len(list) < n {
		return nil, fmt.Errorf("only %d of %d ports are free", len(list), n)
	}
	return list, nil
}

// newHosts writes the settings of one host for each zone, as the template of the deploy
// file renders them, with the bounds of the dastkar-jury installation. The seeds are the
// hosts themselves.
func newHosts(program, folder, storeAddress string, zones []string, rec *recorder) ([]*host, error) {
	// Addresses of its own for each run keep runs at the same time apart.
	pid := os.Getpid()
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, i+1))
	}
	ports, err := freePorts(5, ips...)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[0]))
	}
	var list []*host
	for i, zone := range zones {
		at := func(k int) string { return fmt.Sprintf("%s:%d", ips[i], ports[k]) }
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), entry: at(1), ready: at(2), directory: at(3), program: program, rec: rec}
		h.settings = filepath.Join(folder, h.name+".json")
		data, err := json.MarshalIndent(map[string]any{
			"host": h.name, "failureDomain": zone, "region": "sindh", "entryAddress": at(1), "readyAddress": at(2),
			"directoryAddress": at(3), "peerAddress": at(0), "metricsAddress": at(4), "platform": storeAddress,
			"cores": 1, "cpuShare": 0.4, "linkMbps": 1000, "memoryMb": 284, "graceSeconds": 6, "retryShare": 0.2,
			"retrySlack": 52, "retryWindowSeconds": 10, "seeds": seeds,
		}, "", "  ")
		if err == nil {
			err = os.WriteFile(h.settings, data, 0o600)
		}
		if err != nil {
			return nil, err
		}
		list = append(list, h)
	}
	return list, nil
}
