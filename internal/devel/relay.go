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
	// relayShards is the number of shards of a relay site, and relayTopK the
	// number of records in a merged answer.
	relayShards = 6
	relayTopK   = 5
	// relayMinCoverage is the minimum share of shards in an answer.
	relayMinCoverage = 0.5
	// relaySingleService is the service whose requests go to a single searcher.
	relaySingleService = "desk"
	// relayHeaderTimeout limits how long a host may take to send the headers of a
	// request to a simulated server. On loopback this takes milliseconds.
	relayHeaderTimeout = 5 * time.Second
	// relayMemoryMB is the memory setting of each host. Go's memory limit, which
	// is derived from it, applies to the whole process.
	relayMemoryMB = 1024
)

// Each entry host listens on these ports, given as indexes into a list of free
// ports.
const (
	peerPort = iota
	entryPort
	readyPort
	directoryPort
	metricsPort
	portsPerHost
)

// RelaySite runs a site of the users' platform in one process: a simulated
// object store, simulated searchers, and an entry host in each of the default
// failure domains. Log must be set before Run.
type RelaySite struct {
	Log hclog.Logger

	store            *plat.ObjectStore
	servers          []*http.Server
	hosts            []*platform.Host
	addresses        []string
	metricsAddresses []string
	settingsDir      string
	// serverTasks are the goroutines of the simulated servers, and hostTasks those
	// of the entry hosts.
	serverTasks sync.WaitGroup
	hostTasks   sync.WaitGroup
	// mu guards hostErrors.
	mu         sync.Mutex
	hostErrors error
}

// NewRelaySite returns a site that is not started.
func NewRelaySite() *RelaySite {
	return &RelaySite{Log: hclog.NewNullLogger(), store: plat.NewObjectStore()}
}

// EntryAddresses returns the addresses for callers, one for each entry host.
func (s *RelaySite) EntryAddresses() []string { return s.addresses }

// MetricsAddresses returns the metrics addresses in the order of EntryAddresses.
func (s *RelaySite) MetricsAddresses() []string { return s.metricsAddresses }

// Run starts the site. Close must be called even if Run returns an error.
func (s *RelaySite) Run() error {
	var err error
	if s.settingsDir, err = os.MkdirTemp("", "toucanpulley-"); err != nil {
		return fault.Wrap(err, "create a directory for settings files", "")
	}
	storeAddress, err := s.serve(s.store)
	if err != nil {
		return err
	}
	if err := s.startSearchers(); err != nil {
		return err
	}
	return s.startHosts(storeAddress)
}

// serve starts an HTTP server on loopback and returns its address.
func (s *RelaySite) serve(handler http.Handler) (string, error) {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.Wrap(err, "listen", "127.0.0.1")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: relayHeaderTimeout}
	s.servers = append(s.servers, server)
	s.serverTasks.Go(func() { _ = server.Serve(listener) }) // stopped by Close
	return listener.Addr().String(), nil
}

// startSearchers starts two searchers for each service, in two failure domains,
// and writes their entries and the configuration to the store.
func (s *RelaySite) startSearchers() error {
	var shardNames []string
	for i := range relayShards {
		shardNames = append(shardNames, fmt.Sprint("shard-", i))
	}
	for i, sv := range append(shardNames, relaySingleService) {
		for k := range 2 {
			domain := DefaultDomains[(i+k)%len(DefaultDomains)].Name
			searcher := shard.NewSearcher(fmt.Sprintf("%s-%d", sv, k), sv, domain)
			address, err := s.serve(searcher)
			if err != nil {
				return err
			}
			s.store.Put("servers", searcher.ID, searcher.Registration(address, "ready"))
		}
	}
	s.store.Put("config", "main", shard.Configuration(1,
		shard.Route{Name: "all", Prefix: "/all/", Shards: shardNames, TopK: relayTopK, MinCoverage: relayMinCoverage},
		shard.Route{Name: "once", Prefix: "/once/", Service: relaySingleService, NonIdempotent: true}))
	return nil
}

func (s *RelaySite) startHosts(storeAddress string) error {
	freePorts, err := ports.Free(DefaultDomains[0].Address, portsPerHost)
	if err != nil {
		return err
	}
	address := func(d Domain, port int) string { return fmt.Sprintf("%s:%d", d.Address, freePorts[port]) }
	var seeds []string
	for _, d := range DefaultDomains {
		seeds = append(seeds, address(d, peerPort))
	}
	for i, d := range DefaultDomains {
		settings := map[string]any{
			"host": fmt.Sprint(hostPrefix, i), "failureDomain": d.Name, "region": Region, "platform": storeAddress, "seeds": seeds,
			"peerAddress": address(d, peerPort), "entryAddress": address(d, entryPort), "readyAddress": address(d, readyPort), "directoryAddress": address(d, directoryPort),
			"metricsAddress": address(d, metricsPort), "logLevel": s.Log.GetLevel().String(), "cores": runtime.NumCPU(), "memoryMb": relayMemoryMB,
		}
		if err := s.startHost(filepath.Join(s.settingsDir, fmt.Sprint(hostPrefix, i, ".json")), settings); err != nil {
			return err
		}
		s.addresses, s.metricsAddresses = append(s.addresses, address(d, entryPort)), append(s.metricsAddresses, address(d, metricsPort))
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
	s.hostTasks.Go(func() {
		err := host.Run()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.hostErrors = errors.Join(s.hostErrors, err)
	})
	return nil
}

// Close drains all hosts, stops the simulated servers and waits for them. It
// returns the errors of hosts that failed.
func (s *RelaySite) Close() error {
	for _, h := range s.hosts {
		h.Drain()
	}
	s.hostTasks.Wait()
	s.hosts = nil
	for _, sv := range s.servers {
		_ = sv.Close()
	}
	s.serverTasks.Wait()
	if s.settingsDir != "" {
		_ = os.RemoveAll(s.settingsDir)
	}
	return s.hostErrors
}
