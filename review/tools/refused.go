package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case of failing searchers.
const (
	greyShare  = 0.5 // of the searchers fail
	greyPart   = 0.4 // of their requests: the default of srv_grey
	greySpan   = 5 * time.Second
	greyStatus = http.StatusServiceUnavailable
)

// failedRuns: searchers run requests and fail a part of them, with a status and their
// stamp, and do not say that the request has not run. A request that is not idempotent and
// has run must not be answered 429 or 503, which promise that it has not run.
func failedRuns(s *site, trouble bool) (bool, error) {
	var mu sync.Mutex
	ran := map[string]int{}
	failing := false
	random := rand.New(rand.NewPCG(5, 6))
	for i := range 4 {
		x := &searcher{id: fmt.Sprintf("i-desk-%d", i), service: "hearing-room", zone: zones[i%len(zones)], slots: 6, queue: 24}
		x.serve = func(r *http.Request, _ []byte) reply {
			id := r.Header.Get("X-Request-Id")
			mu.Lock()
			ran[id]++
			fail := failing && float64(i) < 4*greyShare && random.Float64() < greyPart
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			if fail {
				s.record.add("searcher %s ran %s and failed it with %d, its stamp, and nothing that says that it has not run", x.id, id, greyStatus)
				return reply{status: greyStatus, header: []string{x.stamp(r)}, body: []byte("failed")}
			}
			s.record.add("searcher %s ran %s", x.id, id)
			return reply{status: 200, header: []string{x.stamp(r)}, body: []byte("done")}
		}
		if err := s.addSearcher(x); err != nil {
			return false, err
		}
	}
	s.manifest(1, newServices("hearing-room"), newRoute("file", kindUnsafe, "hearing-room", 4*time.Second, 500*time.Millisecond))
	for i := range 3 {
		if _, err := s.startHost(i, []int{0, 1, 2}); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	setFailing := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		failing = on
		s.record.add("searchers fail: %v", on)
	}
	if trouble {
		time.AfterFunc(2*time.Second, func() { setFailing(true) })
		time.AfterFunc(2*time.Second+greySpan, func() { setFailing(false) })
	}
	refused := 0
	pace(20, time.Now().Add(9*time.Second), func(n int) {
		a := &attempt{id: newRequestID(), method: http.MethodPost, path: fmt.Sprintf("/file/%d", n), host: s.hosts[n%3].entry, body: []byte("file"), budget: 8 * time.Second}
		a.send()
		mu.Lock()
		defer mu.Unlock()
		s.record.add("client: %v, ran %d times", a, ran[a.id])
		if (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421) && ran[a.id] > 0 {
			refused++
			s.record.add("REFUSED AFTER IT RAN: %s", a.id)
		}
	})
	s.record.say("%d requests that are not idempotent were answered 429, 503, 408 or 421 and had run", refused)
	return refused > 0, nil
}
