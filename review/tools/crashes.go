package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the cases of a request that crashes searchers.
const (
	crashHosts = 6
	// backAfter is how long a searcher that crashed is away: "some seconds".
	backAfter = 3 * time.Second
	// repeatEvery is the time between two attempts of the request that crashes searchers,
	// at one machine after the other.
	repeatEvery = 1500 * time.Millisecond
	repeats     = 24
	// crashesToKnow is the number of crashes after which, and stableWindow later, at most
	// retriesAllowed retries may reach searchers.
	crashesToKnow  = 3
	retriesAllowed = 3
	crashPath      = "/file/crash"
)

// crashes runs searchers that crash while they run requests for crashPath, and counts
// them.
type crashes struct {
	site       *site
	crashAfter time.Duration

	mu      sync.Mutex
	started int
	count   int
	// third is the time of the third crash.
	third time.Time
	// late holds the ids of the retries that reached searchers too late.
	late map[string]bool
}

func newCrashes(s *site, crashAfter time.Duration) *crashes {
	return &crashes{site: s, crashAfter: crashAfter, late: map[string]bool{}}
}

// startSearcher starts a searcher. After a crash, another one takes its place.
func (c *crashes) startSearcher(slot int) error {
	c.mu.Lock()
	c.started++
	x := &searcher{id: fmt.Sprintf("i-desk-%d", c.started), service: "hearing-room", zone: zones[slot%len(zones)], slots: 6, queue: 24}
	c.mu.Unlock()
	x.serve = func(r *http.Request, _ []byte) reply {
		if r.URL.Path != crashPath {
			time.Sleep(10 * time.Millisecond)
			return reply{status: 200, header: []string{x.stamp(r)}, body: []byte("done")}
		}
		c.begin(x, r.Header.Get("X-Request-Id"))
		time.Sleep(c.crashAfter)
		c.end(x, r.Header.Get("X-Request-Id"))
		time.AfterFunc(backAfter, func() {
			if err := c.startSearcher(slot); err != nil {
				c.site.record.say("cannot start a searcher again: %v", err)
			}
		})
		return reply{silent: true}
	}
	return c.site.addSearcher(x)
}

func (c *crashes) begin(x *searcher, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := !c.third.IsZero() && time.Since(c.third) > stableWindow
	if late {
		c.late[id] = true
	}
	c.site.record.add("searcher %s begins to run %s, late: %v", x.id, id, late)
}

func (c *crashes) end(x *searcher, id string) {
	x.crash()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if c.count == crashesToKnow {
		c.third = time.Now()
	}
	c.site.record.add("searcher %s crashes while it runs %s, crash %d", x.id, id, c.count)
}

// startHosts writes the manifest, starts the hosts with the given seeds and waits until
// they are in touch and know each other.
func (c *crashes) startHosts(seeds []int) error {
	c.site.manifest(1, newServices("hearing-room"), newRoute("file", kindSafe, "hearing-room", 2*time.Second, 500*time.Millisecond))
	for i := range crashHosts {
		if _, err := c.site.startHost(i, seeds); err != nil {
			return err
		}
	}
	if err := c.site.waitReady(); err != nil {
		return err
	}
	time.Sleep(2 * stableWindow)
	return nil
}

// sendOthers sends requests that do not crash searchers.
func (c *crashes) sendOthers(end time.Time) {
	pace(30, end, func(n int) {
		a := &attempt{id: newRequestID(), method: http.MethodGet, path: fmt.Sprintf("/file/%d", n), host: c.site.hosts[n%crashHosts].entry, budget: 8 * time.Second}
		a.send()
		c.site.record.add("client: %v", a)
	})
}

// result reports whether too many retries reached searchers.
func (c *crashes) result() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.site.record.say("the request crashed %d searchers; %d retries of it reached searchers later than %v after the third crash, %d are allowed",
		c.count, len(c.late), stableWindow, retriesAllowed)
	return len(c.late) > retriesAllowed
}
