package ctrl_test

import (
	"fmt"
	"maps"
	"time"

	"toucanpulley.example/internal/ctrl"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/tree"
)

const (
	segmentCount  = 8
	serviceCount  = 4
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
)

// platform simulates the platform at the level of calls. Watches are retried as
// in package daemon.
type platform struct {
	sim         *sim
	bundle      spread.Bundle
	staleBundle spread.Bundle // what stale reads return
	version     uint64
	leaving     map[model.SearcherID]bool
	segments    map[string][]byte
	down        bool
	stale       bool
	lossRate    float64 // probability that a call or its answer is lost
	extraDelay  time.Duration
	waiting     map[*node]bool
	// watchStartedAt holds the start time of each host's watch.
	watchStartedAt map[*node]time.Time
	accepted       map[model.Revision]time.Time

	reads, watches int
}

func newPlatform(s *sim) *platform {
	return &platform{
		sim: s, leaving: map[model.SearcherID]bool{}, segments: map[string][]byte{},
		waiting: map[*node]bool{}, watchStartedAt: map[*node]time.Time{}, accepted: map[model.Revision]time.Time{},
	}
}

// accept puts the next settings revision in force; one segment changes.
func (p *platform) accept() {
	p.version++
	r := p.bundle.Revision + 1
	p.segments = maps.Clone(p.segments)
	slot := int(r) % segmentCount
	for name := range p.segments {
		if name[len("settings/segment/")] == byte('a'+slot) {
			delete(p.segments, name)
		}
	}
	p.segments[fmt.Sprintf("settings/segment/%c-%016x", 'a'+slot, uint64(r))] = make([]byte, 2000)
	p.bundle = p.bundle.WithSettings(r, spread.Object{Name: "settings/head", Version: p.version, Value: make([]byte, 400)}, p.segments)
	p.accepted[r] = p.sim.now
	p.notifyWatches()
}

// publishIndex writes a new version of an index object.
func (p *platform) publishIndex() {
	p.version++
	service := fmt.Sprintf("service-%d", p.version%serviceCount)
	name := "index/" + service
	x := model.Index{Service: model.ServiceName(service), Searchers: []model.Searcher{{ID: model.SearcherID(service + "-0")}}}
	p.bundle = p.bundle.WithIndexes(p.version, []spread.Object{{Name: name, Version: p.version, Value: make([]byte, 2000)}},
		map[string]model.Index{name: x})
	p.notifyWatches()
}

// notifyWatches answers the waiting watches.
func (p *platform) notifyWatches() {
	for _, n := range p.sim.live() {
		if p.waiting[n] {
			delete(p.waiting, n)
			p.answerWatch(n, n.watchID)
		}
	}
}

func (p *platform) reachable(n *node) bool { return !p.down && !p.sim.platformUnreachable[n.host.ID] }

// visibleBundle returns the bundle that a read returns.
func (p *platform) visibleBundle() spread.Bundle {
	b := p.bundle
	if p.stale {
		b = p.staleBundle
	}
	b.Leaving = spread.LeavingList{}
	return b
}

func (p *platform) setStale(stale bool) {
	if stale && !p.stale {
		p.staleBundle = p.bundle
	}
	p.stale = stale
}

func (p *platform) delay() time.Duration {
	return 2*time.Millisecond + p.sim.jitter(3*time.Millisecond) + p.extraDelay
}

// read answers a ReadPlatform.
func (p *platform) read(n *node, startedAt time.Time) {
	p.reads += 3 // host list, head, index objects
	lost := p.sim.random.Float64() < p.lossRate
	p.sim.after(p.delay(), func() {
		switch {
		case lost || !p.reachable(n):
			p.sim.after(p.sim.jitter(time.Second), func() {
				p.sim.send(n, ctrl.SpreadEvent{Event: spread.LoadFailed{Reason: "platform is down"}})
			})
		default:
			p.sendHosts(n)
			p.sim.send(n, ctrl.SpreadEvent{Event: spread.ObjectsLoaded{Bundle: p.visibleBundle(), Tree: tree.New(), StartedAt: startedAt}})
		}
	})
}

func (p *platform) sendHosts(n *node) {
	var e ctrl.HostListRead
	for _, h := range p.sim.hosts {
		e.Entries = append(e.Entries, ctrl.HostListEntry{Host: h})
	}
	for id, leaving := range p.leaving {
		e.Entries = append(e.Entries, ctrl.HostListEntry{Searcher: id, Leaving: leaving})
	}
	p.sim.send(n, e)
	p.sim.send(n, ctrl.SpreadEvent{Event: spread.PlatformAnswered{}})
}

// watch starts a host's watch of settings and index objects and its periodic
// reads of the host list.
func (p *platform) watch(n *node) {
	n.watchID++
	p.beginWatch(n, n.watchID, 0)
	p.readHosts(n, n.watchID, 0)
}

func (p *platform) unwatch(n *node) {
	n.watchID++
	delete(p.waiting, n)
}

func (p *platform) isCurrent(n *node, watchID int) bool { return n.live && n.watchID == watchID }

func (p *platform) retry(delay time.Duration, run func(time.Duration)) {
	delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
	p.sim.after(delay/2+p.sim.jitter(delay/2), func() { run(delay) })
}

func (p *platform) beginWatch(n *node, watchID int, delay time.Duration) {
	if !p.isCurrent(n, watchID) {
		return
	}
	if n.paused {
		p.sim.after(50*time.Millisecond, func() { p.beginWatch(n, watchID, delay) })
		return
	}
	p.watchStartedAt[n] = p.sim.now
	p.watches += 2 // settings and index objects
	b := p.visibleBundle()
	switch {
	case !p.reachable(n) || p.sim.random.Float64() < p.lossRate:
		p.retry(delay, func(d time.Duration) { p.beginWatch(n, watchID, d) })
	case b.Revision > n.bundle.Revision || b.IndexVersion > n.bundle.IndexVersion:
		p.answerWatch(n, watchID)
	default:
		p.waiting[n] = true
	}
}

// answerWatch sends the new bundle and starts the next watch.
func (p *platform) answerWatch(n *node, watchID int) {
	lost, startedAt := p.sim.random.Float64() < p.lossRate, p.watchStartedAt[n]
	p.sim.after(p.delay(), func() {
		if !p.isCurrent(n, watchID) {
			return
		}
		if lost || !p.reachable(n) {
			p.retry(0, func(d time.Duration) { p.beginWatch(n, watchID, d) })
			return
		}
		p.sim.send(n, ctrl.SpreadEvent{Event: spread.ObjectsLoaded{Bundle: p.visibleBundle(), Tree: tree.New()}})
		p.sim.send(n, ctrl.SpreadEvent{Event: spread.PlatformAnswered{Settings: true, StartedAt: startedAt}})
		p.sim.after(p.delay(), func() { p.beginWatch(n, watchID, 0) })
	})
}

// failWatches fails the waiting watches of hosts that cannot reach the platform.
func (p *platform) failWatches() {
	for _, n := range p.sim.live() {
		if p.waiting[n] && !p.reachable(n) {
			delete(p.waiting, n)
			watchID := n.watchID
			p.retry(0, func(d time.Duration) { p.beginWatch(n, watchID, d) })
		}
	}
}

func (p *platform) readHosts(n *node, watchID int, delay time.Duration) {
	if !p.isCurrent(n, watchID) {
		return
	}
	if n.paused {
		p.sim.after(50*time.Millisecond, func() { p.readHosts(n, watchID, delay) })
		return
	}
	p.reads++
	lost := p.sim.random.Float64() < p.lossRate
	p.sim.after(p.delay(), func() {
		if lost || !p.reachable(n) {
			p.retry(delay, func(d time.Duration) { p.readHosts(n, watchID, d) })
			return
		}
		p.sendHosts(n)
		p.sim.after(time.Second, func() { p.readHosts(n, watchID, 0) })
	})
}

// minRevision returns the highest revision that all live hosts of some failure
// domain have, not counting the excluded host.
func (s *sim) minRevision(excluded model.HostID) model.Revision {
	lowest := map[model.FailureDomain]model.Revision{}
	for _, n := range s.live() {
		if n.host.ID == excluded {
			continue
		}
		if r, ok := lowest[n.host.FailureDomain]; !ok || n.view.Revision < r {
			lowest[n.host.FailureDomain] = n.view.Revision
		}
	}
	var highest model.Revision
	for _, r := range lowest {
		highest = max(highest, r)
	}
	return highest
}

// live returns the running nodes in the order of their hosts.
func (s *sim) live() []*node {
	var list []*node
	for _, h := range s.hosts {
		if n := s.nodes[h.ID]; n != nil && n.live {
			list = append(list, n)
		}
	}
	return list
}
