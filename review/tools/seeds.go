package main

import (
	"net/http"
	"sync"
	"time"
)

// staleSeeds: the seeds in the settings are stale at the first start of the system: nobody
// listens there. Later a request comes that crashes each searcher that begins to run it,
// and is repeated at any machine.
func staleSeeds(s *site, trouble bool) (bool, error) {
	c := newCrashes(s, 0)
	for slot := range 8 {
		if err := c.startSearcher(slot); err != nil {
			return false, err
		}
	}
	seeds := []int{0, 1, 2}
	if trouble {
		seeds = []int{100, 101, 102}
	}
	if err := c.startHosts(seeds); err != nil {
		return false, err
	}
	end := time.Now().Add(repeats * repeatEvery)
	var clients sync.WaitGroup
	clients.Go(func() { c.sendOthers(end) })
	clients.Go(func() {
		pace(1/repeatEvery.Seconds(), end, func(n int) {
			a := &attempt{id: newRequestID(), method: http.MethodGet, path: crashPath, host: s.hosts[n%crashHosts].entry, budget: 8 * time.Second}
			a.send()
			s.record.add("client of the request that crashes searchers: %v", a)
		})
	})
	clients.Wait()
	return c.result(), nil
}
