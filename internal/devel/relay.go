package devel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/platform"
	"toucanpulley.example/stand/plat"
	"toucanpulley.example/stand/ports"
	"toucanpulley.example/stand/shard"
)

const (
	// relayShards is the number of shards of a relay site, relayKeep the number of
	// records of its merged answers.
	relayShards = 6
	relayKeep   = 5
	// relayCoverage is the least share of shards in an answer.
	relayCoverage = 0.5
	// relayService serves the requests that go to one searcher.
	relayService = "desk"
	// relayHeaderTimeout bounds how long a host takes to send the headers of a
	// request to a stand-in; on loopback that takes milliseconds.
	relayHeaderTimeout = 5 * time.Second
	// relayMemoryMB is the memory that the collector may use, for all hosts.
	relayMemoryMB = 1024
)

// RelaySite is a site of the users' platform in one process: stand-ins of its
// store and of searchers, and an entry host in each of the default failure
// domains. Log is set before Run.
type RelaySite struct {
	Log hclog.Logger

	store   *plat.ObjectStore
	servers []*http.Server
	hosts   []*platform.Host
	entries []string
	metrics []string
	folder  string
	// serving holds the stand-ins, running the hosts.
	serving sync.WaitGroup
	running sync.WaitGroup
	mu      sync.Mutex
	ended   error
}

// NewRelaySite returns a site that has not started.
func NewRelaySite() *RelaySite {
	return &RelaySite{Log: hclog.NewNullLogger(), store: plat.NewObjectStore()}
}

// Entries returns the addresses for callers, Metrics those for operators.
func (s *RelaySite) Entries() []string { return s.entries }

// Metrics returns the metrics addresses, in the order of Entries.
func (s *RelaySite) Metrics() []string { return s.metrics }

// Run starts the site. After an error, Close must be called as well.
func (s *RelaySite) Run() error {
	var err error
	if s.folder, err = os.MkdirTemp("", "toucanpulley-"); err != nil {
		return fault.Wrap(err, "make a folder for settings", "")
	}
	store, err := s.serve(s.store)
	if err != nil {
		return err
	}
	if err := s.startSearchers(); err != nil {
		return err
	}
	return s.startHosts(store)
}

// serve serves a handler on loopback and returns its address.
func (s *RelaySite) serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, "listen", "127.0.0.1")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: relayHeaderTimeout}
	s.servers = append(s.servers, server)
	s.serving.Go(func() { _ = server.Serve(listener) }) // ends by Close
	return listener.Addr().String(), nil
}

// startSearchers starts two searchers for each service, in two failure domains,
// and writes their entries and the configuration.
func (s *RelaySite) startSearchers() error {
	var set []string
	for i := range relayShards {
		set = append(set, fmt.Sprint("shard-", i))
	}
	for i, service := range append(set, relayService) {
		for k := range 2 {
			domain := DefaultDomains[(i+k)%len(DefaultDomains)].Name
			searcher := shard.NewSearcher(fmt.Sprintf("%s-%d", service, k), service, domain)
			address, err := s.serve(searcher)
			if err != nil {
				return err
			}
			s.store.Put("servers", searcher.ID, searcher.Registration(address, "ready"))
		}
	}
	s.store.Put("config", "main", shard.Configuration(1,
		shard.Route{Name: "all", Prefix: "/all/", Shards: set, TopK: relayKeep, MinCoverage: relayCoverage},
		shard.Route{Name: "once", Prefix: "/once/", Service: relayService, NonIdempotent: true}))
	return nil
}

func (s *RelaySite) startHosts(store string) error {
	free, err := ports.Free(DefaultDomains[0].Address, 5)
	if err != nil {
		return err
	}
	at := func(d Domain, k int) string { return fmt.Sprintf("%s:%d", d.Address, free[k]) }
	var seeds []string
	for _, d := range DefaultDomains {
		seeds = append(seeds, at(d, 0))
	}
	for i, d := range DefaultDomains {
		settings := map[string]any{
			"host": fmt.Sprint(hostPrefix, i), "failureDomain": d.Name, "region": Region, "platform": store, "seeds": seeds,
			"peerAddress": at(d, 0), "entryAddress": at(d, 1), "readyAddress": at(d, 2), "directoryAddress": at(d, 3),
			"metricsAddress": at(d, 4), "logLevel": s.Log.GetLevel().String(), "cores": runtime.NumCPU(), "memoryMb": relayMemoryMB,
		}
		if err := s.startHost(filepath.Join(s.folder, fmt.Sprint(hostPrefix, i, ".json")), settings); err != nil {
			return err
		}
		s.entries, s.metrics = append(s.entries, at(d, 1)), append(s.metrics, at(d, 4))
	}
	return nil
}

func (s *RelaySite) startHost(file string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err == nil {
		err = os.WriteFile(file, data, 0o600)
	}
	if err != nil {
		return fault.Wrap(err, "write settings", file)
	}
	host, err := platform.NewHost(file, s.Log)
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, host)
	s.running.Go(func() {
		err := host.Run()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = errors.Join(s.ended, err)
	})
	return nil
}

// Close drains all hosts, stops the stand-ins and waits for them. It returns why
// a host failed, if one did.
func (s *RelaySite) Close() error {
	for _, h := range s.hosts {
		h.Drain()
	}
	s.running.Wait()
	s.hosts = nil
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.serving.Wait()
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
	return s.ended
}
