package main

import (
	"time"
)

const (
	// drainTime is the bound drain-ms of the installation.
	drainTime = 3 * time.Second
	// lateBy is how much later a write without a response is carried out: in order of time
	// after the report of draining and just later than drainTime after it.
	lateBy = heartbeat + drainTime + 50*time.Millisecond
	// exitAfter is how long a leaving searcher serves after its report.
	exitAfter = 6 * time.Second
	// leaveInterval is the time between two searchers that leave.
	leaveInterval = 8 * time.Second
	leaveCount    = 6
)

// leaveStep is the next step of a searcher that shall leave.
type leaveStep int

const (
	stay leaveStep = iota
	leaveAfterNext
	leaveNow
)

func (s *searcher) setLeaveNext(step leaveStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaveNext = step
}

// writeLate makes a write that gets no response and is carried out lateBy later, or at
// once if nothing is late.
func (s *searcher) writeLate() {
	id, e, ok := s.nextEntry()
	if !ok {
		return
	}
	if !s.lateWrite {
		s.store.putEntry(id, e)
		return
	}
	s.rec.add("write of %s without a response: %s, sequence %d", id, e.State, e.Sequence)
	time.AfterFunc(lateBy, func() {
		s.store.putEntry(id, e)
		s.rec.add("late write of %s carried out: %s, sequence %d", id, e.State, e.Sequence)
	})
}

// leave reports that the searcher is draining, and ends it later.
func (s *searcher) leave() {
	s.mu.Lock()
	s.leaving = true
	id, stopped := s.id, s.stopped
	s.mu.Unlock()
	s.register()
	s.onLeaving(arrival{searcher: id, at: time.Now()})
	s.rec.add("searcher %s is draining, confirmed", id)
	time.AfterFunc(exitAfter, func() {
		close(stopped)
		s.reset()
		s.store.delete(kindSearchers, id)
		s.rec.add("searcher %s has left", id)
	})
}

// lateWrite lets searchers leave in turn, each after a new one has started. The disruption
// is that the write before the report of draining is carried out late.
func lateWrite(s *site, trouble bool) (bool, error) {
	s.configure("unsafe", 4000)
	confirmed := make(chan arrival, leaveCount)
	var list []*searcher
	add := func(i int) error {
		sr := s.newSearcher(i)
		sr.lateWrite, sr.onLeaving = trouble, func(a arrival) { confirmed <- a }
		list = append(list, sr)
		return sr.start()
	}
	for i := range 4 {
		if err := add(i); err != nil {
			return false, err
		}
	}
	if err := s.startHosts(zones...); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, zone := range zones {
		c := &client{zone: zone, caller: "Bearer juror-of-" + zone, directories: s.directories(), rec: s.rec}
		go sendOrdinary(c, "POST", s.ordinaryPath, "file 17", s.ordinaryInterval, stop)
	}
	time.Sleep(stableWindow + time.Second)
	for i := range leaveCount {
		if err := add(len(list)); err != nil {
			return false, err
		}
		list[i].setLeaveNext(leaveAfterNext)
		time.Sleep(leaveInterval)
	}
	time.Sleep(exitAfter)
	return s.lateArrivals(confirmed), nil
}

// lateArrivals checks the rule: no request reaches a searcher later than drainTime after
// the store has confirmed that it is draining.
func (s *site) lateArrivals(confirmed chan arrival) bool {
	close(confirmed)
	arrivals, _ := s.allArrivals()
	late := 0
	for c := range confirmed {
		for _, a := range arrivals {
			if after := a.at.Sub(c.at); a.searcher == c.searcher && after > drainTime {
				late++
				s.rec.add("request %s reached %s %.3f s after the confirmation", a.request, a.searcher, after.Seconds())
			}
		}
	}
	s.rec.add("%d requests reached a searcher too late", late)
	return late > 0
}
