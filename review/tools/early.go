package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of early answers.
const (
	// earlyShare of the searchers of hearing-room answer early, in at most earlyAnswers of
	// all their answers.
	earlyShare   = 0.5
	earlyAnswers = 0.05
	earlySpan    = 6 * time.Second
	// earlyReadAfter is the time from the early answer until the searcher reads on.
	earlyReadAfter   = 2 * time.Second
	longRequestBytes = 200_000
	peekTimeout      = 600 * time.Millisecond
	peekTarget       = 100 * time.Millisecond
	// answerSlack is how long after its route's timeout a request may be unanswered, and
	// lateMin and lateShare say how many may be late.
	answerSlack = 500 * time.Millisecond
	lateMin     = 8
	lateShare   = 0.25
)

// earlyAnswer: searchers answer a part of the long requests before they have read them,
// keep the connection and read on later. Requests of other clients that last longer than
// their route's timeout must have their final answer 0.5 s after it.
func earlyAnswer(s *site, trouble bool) (bool, error) {
	var troubled atomic.Bool
	var early atomic.Int64
	var mu sync.Mutex
	answers := 0 // of the troubled searchers during the disruption
	for i := range 8 {
		service := []string{"hearing-room", "artisan-notify"}[i/4]
		x := &searcher{id: fmt.Sprintf("i-desk-%d", i), service: service, zone: zones[i%len(zones)], slots: 6, queue: 24}
		x.serve = func(r *http.Request, _ []byte) reply {
			time.Sleep(5 * time.Millisecond)
			s.record.add("searcher %s ran %s %s", x.id, r.Method, r.Header.Get("X-Request-Id"))
			return reply{status: 200, header: []string{x.stamp(r)}, body: []byte("done")}
		}
		if float64(i) < 4*earlyShare {
			x.early = func(r *http.Request) (reply, time.Duration, bool) {
				mu.Lock()
				defer mu.Unlock()
				if !troubled.Load() {
					return reply{}, 0, false
				}
				answers++
				if r.Method != http.MethodPost || float64(early.Load()+1) > earlyAnswers*float64(answers) {
					return reply{}, 0, false
				}
				early.Add(1)
				s.record.add("searcher %s answers %s before it is in, and reads on in %v", x.id, r.Header.Get("X-Request-Id"), earlyReadAfter)
				return reply{status: 200, header: []string{x.stamp(r)}, body: []byte("done")}, earlyReadAfter, true
			}
		}
		if err := s.addSearcher(x); err != nil {
			return false, err
		}
	}
	s.manifest(1, newServices("hearing-room", "artisan-notify"),
		newRoute("peek", kindSafe, "hearing-room", peekTimeout, peekTarget),
		newRoute("notice", kindSafe, "artisan-notify", peekTimeout, peekTarget),
		newRoute("file", kindSafe, "hearing-room", 4*time.Second, 500*time.Millisecond))
	for i := range 3 {
		if _, err := s.startHost(i, []int{0, 1, 2}); err != nil {
			return false, err
		}
	}
	if err := s.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	var peeks, over, late, served, answered atomic.Int64
	start := time.Now()
	end := start.Add(12 * time.Second)
	time.AfterFunc(3*time.Second, func() {
		troubled.Store(trouble)
		s.record.add("disruption begins: %v", trouble)
	})
	time.AfterFunc(3*time.Second+earlySpan, func() {
		troubled.Store(false)
		s.record.add("disruption ends")
	})
	body := make([]byte, longRequestBytes)
	var clients sync.WaitGroup
	clients.Go(func() {
		pace(10, end, func(n int) {
			a := &attempt{id: newRequestID(), method: http.MethodPost, path: fmt.Sprintf("/file/%d", n), host: s.hosts[n%3].entry, body: body, budget: 8 * time.Second}
			s.record.add("client sends %s POST with %d bytes to %s", a.id, len(body), a.host)
			a.send()
			s.record.add("client: %v", a)
		})
	})
	clients.Go(func() {
		pace(150, end, func(n int) {
			a := &attempt{id: newRequestID(), method: http.MethodGet, path: fmt.Sprintf("%s%d", []string{"/peek/", "/notice/"}[n/3%4/3], n), host: s.hosts[n%3].entry, budget: 8 * time.Second}
			a.send()
			s.record.add("client: %v", a)
			peeks.Add(1)
			if a.status == 200 {
				served.Add(1)
			}
			if a.err == nil {
				answered.Add(1)
			}
			if a.took > peekTimeout {
				over.Add(1)
			}
			if a.took > peekTimeout+answerSlack {
				late.Add(1)
			}
		})
	})
	clients.Wait()
	s.record.say("%d long requests were answered early", early.Load())
	s.record.say("of %d short requests %d were answered, %d served; %d lasted longer than their route's timeout of %v, %d of them had no answer %v after it",
		peeks.Load(), answered.Load(), served.Load(), over.Load(), peekTimeout, late.Load(), answerSlack)
	if trouble && early.Load() == 0 {
		return false, fmt.Errorf("no request was answered early")
	}
	return late.Load() >= lateMin && float64(late.Load()) > lateShare*float64(over.Load()), nil
}
