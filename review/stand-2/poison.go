package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// poisonInterval is the time between two attempts of the caller whose request crashes
	// searchers.
	poisonInterval = 5 * time.Second
	poisonStart    = 3 * time.Second
	killAt         = 22600 * time.Millisecond
	downFor        = 600 * time.Millisecond
	poisonEnd      = 52 * time.Second
	// impatientEnd leaves time for the end of a quarantine of a minute.
	impatientEnd = 105 * time.Second
	// searchObjective is the target latency of a search, as in wire.json, and searchWork the time that a
	// search runs before it crashes its searcher.
	searchObjective = 150 * time.Millisecond
	searchWork      = 100 * time.Millisecond
	// shardCount is the number of shards of the installation.
	shardCount = 20
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
	// clientTimeout is the time budget of each request.
	clientTimeout = 2 * time.Second
)

// limits are those of the installation.
var limits = map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 5000, "idle-timeout-ms": 15000}

// zones are the failure domains of the installation, with one host in each.
var zones = []string{"karachi-a", "lahore-a", "peshawar-a"}

// poisonAfterKill sends a request that crashes the searchers that run it, again and
// again, and kills the processes of all hosts once after it has been recognized.
func poisonAfterKill(s *site, trouble bool) (bool, error) {
	s.configure("unsafe", 4000)
	if err := s.startSearchers(4, false); err != nil {
		return false, err
	}
	if err := s.startHosts(zones...); err != nil {
		return false, err
	}
	killed := make(chan error, 1)
	if trouble {
		time.AfterFunc(killAt, func() { killed <- s.killAll() })
	}
	attempts := s.sendPoison("POST", "file 17")
	if trouble {
		if err := <-killed; err != nil {
			return false, err
		}
	}
	return s.tooManyRetries(attempts), nil
}

// poisonDark sends a request that crashes the searchers that run it, again and again.
// The disruption is that their machines go dark with them.
func poisonDark(s *site, trouble bool) (bool, error) {
	s.configure("safe", 2000)
	if err := s.startSearchers(6, trouble); err != nil {
		return false, err
	}
	if err := s.startHosts(zones...); err != nil {
		return false, err
	}
	return s.tooManyRetries(s.sendPoison("GET", "")), nil
}

// poisonShared sends a request that crashes the searchers that run it, again and again.
// The disruption is that other callers, whose requests harm no searcher, ask for the
// same path.
func poisonShared(s *site, trouble bool) (bool, error) {
	s.configure("unsafe", 4000)
	if err := s.startSearchers(4, false); err != nil {
		return false, err
	}
	if err := s.startHosts(zones...); err != nil {
		return false, err
	}
	s.ordinaryInterval = 300 * time.Millisecond // few are in flight when a searcher crashes
	if trouble {
		s.ordinaryPath = poisonPath
	}
	return s.tooManyRetries(s.sendPoison("POST", "file 17")), nil
}

// poisonImpatient sends a search over all shards that crashes the searchers that run it,
// again and again. The disruption is that its caller leaves within half of the objective.
func poisonImpatient(s *site, trouble bool) (bool, error) {
	s.configureSearch()
	for i := range 2 * shardCount {
		sr := &searcher{
			service: shardName(i / 2), name: fmt.Sprintf("i-%d", i+1), zone: zones[i%2], slots: 2, work: searchWork / 10,
			crashAfter: searchWork, store: s.store, rec: s.rec, onRun: s.addArrival, onCrash: s.addCrash,
		}
		if err := sr.start(); err != nil {
			return false, err
		}
	}
	if err := s.startHosts(zones...); err != nil {
		return false, err
	}
	s.until = impatientEnd
	if trouble {
		s.patience = searchObjective / 2
	}
	return s.tooManyRetries(s.sendPoison("GET", "")), nil
}

// shardName returns the service of a shard.
func shardName(i int) string { return fmt.Sprintf("jury-desk-%d", i) }

// configureSearch writes a manifest with one route to all shards, as shortlist-search.
func (s *site) configureSearch() {
	var names []string
	var services []any
	for i := range shardCount {
		names = append(names, shardName(i))
		services = append(services, map[string]any{"name": shardName(i), "health-path": "/health", "max-connections": 25})
	}
	s.store.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{route(wire.SearchRoute, map[string]any{"host": hostName, "gather": names})},
		"services": services, "limits": limits,
	})
}

// configure writes a manifest with one route to one service.
func (s *site) configure(kind string, timeoutMs int) {
	s.store.put("config", "main", map[string]any{
		"version":  7,
		"routes":   []any{route(wire.SingleRoute, map[string]any{"host": hostName, "kind": kind, "timeout-ms": timeoutMs})},
		"services": []any{map[string]any{"name": "hearing-room", "health-path": "/health", "max-connections": 96}},
		"limits":   limits,
	})
}

// newSearcher returns a searcher of the service; searchers are in all zones in turn.
func (s *site) newSearcher(i int) *searcher {
	return &searcher{
		service: "hearing-room", name: fmt.Sprintf("i-%d", i+1), zone: zones[i%len(zones)], slots: 6, work: 40 * time.Millisecond,
		store: s.store, rec: s.rec, onRun: s.addArrival, onCrash: s.addCrash,
	}
}

// startSearchers starts n searchers of the service.
func (s *site) startSearchers(n int, dark bool) error {
	for i := range n {
		sr := s.newSearcher(i)
		sr.dark = dark
		if err := sr.start(); err != nil {
			return err
		}
	}
	return nil
}

// sendPoison sends the request that crashes searchers once in each poisonInterval, as
// the clients of all zones send ordinary requests, and returns its client attempts.
func (s *site) sendPoison(method, body string) []outcome {
	begin := time.Now()
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range zones {
		c := &client{zone: zone, caller: "Bearer juror-of-" + zone, directories: s.directories(), rec: s.rec}
		go sendOrdinary(c, method, s.ordinaryPath, body, s.ordinaryInterval, stop)
	}
	caller := &client{zone: "caller", caller: poisonCaller, directories: s.directories(), rec: s.rec}
	var attempts []outcome
	for next := begin.Add(poisonStart); next.Before(begin.Add(s.until)); next = next.Add(poisonInterval) {
		time.Sleep(time.Until(next))
		at := s.hosts[len(attempts)%len(s.hosts)].entry // the request comes again at any machine
		attempts = append(attempts, caller.sendTo(at, method, poisonPath, body, s.patience))
	}
	return attempts
}

// sendOrdinary sends requests that harm no searcher, at the given interval.
func sendOrdinary(c *client, method, path, body string, interval time.Duration, stop chan struct{}) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			go c.send(method, path, body, clientTimeout)
		case <-stop:
			return
		}
	}
}

// killAll kills the processes of all hosts at the same moment and starts them again.
func (s *site) killAll() error {
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		h.wait()
	}
	time.Sleep(downFor)
	for _, h := range s.hosts {
		if err := h.run(); err != nil {
			return err
		}
	}
	return nil
}

// tooManyRetries checks the rule: of the client attempts that were sent later than the
// stable window after the request crashed its third searcher, at most maxRetries reach
// searchers through hosts that have run for the stable window.
func (s *site) tooManyRetries(attempts []outcome) bool {
	ran := map[string][]arrival{}
	arrivals, crashes := s.allArrivals()
	for _, a := range arrivals {
		ran[a.request] = append(ran[a.request], a)
	}
	s.rec.add("the request crashed %d searchers", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	from, retries := crashes[2].at.Add(stableWindow), 0
	for _, o := range attempts {
		h := s.hostAt(o.address)
		if len(ran[o.id]) == 0 || !o.sent.After(from) || h == nil {
			continue
		}
		calm := o.sent.Sub(h.startedBefore(o.sent)) > stableWindow
		s.rec.add("retry %s reached %d searchers through %s, %.1f s after the third crash, host in touch: %v",
			o.id, len(ran[o.id]), h.name, o.sent.Sub(crashes[2].at).Seconds(), calm)
		if calm {
			retries++
		}
	}
	s.rec.add("%d retries reached searchers, %d are allowed", retries, maxRetries)
	return retries > maxRetries
}
