// Command stand-2 holds the stand-ins of the second review and plays its cases against
// the project's own program. The scripts review/N/run.sh start it.
//
//	stand-2 CASE PROGRAM FOLDER
//
// CASE names the case, PROGRAM is the built toucanpulley, and record.txt is written to
// FOLDER. TROUBLE=0 in the environment leaves out the disruption. The exit status is 0 if
// the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// hostName is the name that clients ask for and that the routes carry.
const hostName = "tika66.example"

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// stableWindow is the bound stable-window-ms of the installation.
const stableWindow = 4 * time.Second

// cases holds the scenarios. Each reports whether its rule was broken.
var cases = map[string]func(*site, bool) (bool, error){
	"poison-after-kill": poisonAfterKill,
	"poison-dark":       poisonDark,
	"poison-shared":     poisonShared,
	"poison-impatient":  poisonImpatient,
	"late-write":        lateWrite,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE PROGRAM FOLDER")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, folder string) int {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", name, trouble)
	s := &site{program: program, rec: rec, store: newStore(), ordinaryPath: "/pull/file", ordinaryInterval: 100 * time.Millisecond, until: poisonEnd, patience: clientTimeout}
	go func() { // a case that is stopped or overdue leaves no process behind
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(maxDuration):
		}
		rec.add("the case was stopped before its end")
		s.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[name](s, trouble)
	s.close()
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}

// site is an installation on loopback: a store, searchers and one host in each zone.
type site struct {
	program string
	rec     *recorder
	store   *store

	// Requests that harm no searcher have ordinaryPath and come at ordinaryInterval from
	// each zone.
	ordinaryPath     string
	ordinaryInterval time.Duration
	// The caller whose request crashes searchers repeats it for the time until. It waits
	// for each answer for as long as its patience.
	until, patience time.Duration

	hosts   []*host
	servers []*http.Server
	folder  string

	mu       sync.Mutex
	arrivals []arrival
	crashes  []arrival
}

// addArrival is the onRun function of the searchers.
func (s *site) addArrival(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, a)
}

// addCrash is the onCrash function of the searchers.
func (s *site) addCrash(a arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, a)
}

// allArrivals returns the requests that searchers began to run and the crashes, each in
// the order of time.
func (s *site) allArrivals() (arrivals, crashes []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals), slices.Clone(s.crashes)
}

// startHosts starts the store and one host in each zone, and waits until they are ready.
func (s *site) startHosts(zones ...string) error {
	var err error
	if s.folder, err = os.MkdirTemp("", "stand-2-"); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	if s.hosts, err = newHosts(s.program, s.folder, l.Addr().String(), zones, s.rec); err != nil {
		return err
	}
	for _, h := range s.hosts {
		if err := h.run(); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// directories returns the directory addresses of all hosts.
func (s *site) directories() []string {
	var list []string
	for _, h := range s.hosts {
		list = append(list, h.directory)
	}
	return list
}

// hostAt returns the host with an entry address.
func (s *site) hostAt(entry string) *host {
	for _, h := range s.hosts {
		if h.entry == entry {
			return h
		}
	}
	return nil
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, h := range s.hosts {
		if h.command != nil {
			h.signal(syscall.SIGKILL)
			h.wait()
		}
	}
	for _, sv := range s.servers {
		_ = sv.Close()
	}
	if s.folder != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
