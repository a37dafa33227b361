package feed

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// receive is the system that applies responses of the store.
func (w *World) receive() {
	tick.Each(w.Inbox(), func(e Result) {
		if _, cell := w.topicRow(e.Topic); cell.inFlight && cell.callID == e.CallID {
			w.apply(e)
		}
	})
	tick.Each(w.Inbox(), func(Resumed) {
		w.logWarning("process was paused; rereading configuration and searchers")
		w.rereadAll()
	})
}

// apply applies the result of a topic's call in flight.
func (w *World) apply(r Result) {
	switch e := r.Event.(type) {
	case ConfigurationRead:
		w.applyConfigurationRead(e)
	case FleetRead:
		w.applyFleetRead(e)
	case FleetChanged:
		w.applyFleetChanged(e)
	case HostsRead:
		w.applyHostsRead(e)
	case Failed:
		w.recordFailure(r.Topic, e)
	}
}

// rereadAll schedules full reads of configuration and searchers. It abandons
// watches in flight, as they may never report the changes they have missed.
func (w *World) rereadAll() {
	for _, t := range []Topic{Configuration, Searchers} {
		id, cell := w.topicRow(t)
		w.topic.Set(id, cell.withReset(w.Now()))
	}
}

func (w *World) topicRow(t Topic) (table.ID, topic) {
	id, _ := w.topics.Find(t)
	return id, w.topic.Get(id)
}

// recordSuccess records a successful call to the store for a topic.
func (w *World) recordSuccess(t Topic, asOf uint64, next time.Time) {
	id, cell := w.topicRow(t)
	w.topic.Set(id, cell.withResult(asOf, w.Now(), next))
	w.finishFollowerRead()
	w.endOutage(w.Now(), "call")
}

// endOutage records that the store has answered at the given time.
func (w *World) endOutage(at time.Time, source string) {
	if !w.storeDown {
		return
	}
	w.storeDown = false
	downFor := at.Sub(w.storeDownSince)
	if downFor >= minOutage {
		w.recoveredAt = at
	}
	w.logInfo("platform regained", "source", source, "awayMs", downFor.Milliseconds())
}

// finishFollowerRead marks the data as current once a host that does not watch
// the store has read both topics. Its next calls are full reads again.
func (w *World) finishFollowerRead() {
	if w.role.Watch {
		return
	}
	for _, t := range []Topic{Configuration, Searchers} {
		if _, cell := w.topicRow(t); !cell.known {
			return
		}
	}
	w.updateCurrentAt()
	w.rereadAll()
}

func (w *World) applyConfigurationRead(e ConfigurationRead) {
	_, cell := w.topicRow(Configuration)
	w.recordSuccess(Configuration, e.AsOf, w.Now())
	switch {
	case e.Known:
		w.adoptConfiguration(e.Configuration, "platform")
	case !cell.known: // a full read found none; a watch without changes is normal
		w.logWarning("the platform holds no configuration", "asOf", e.AsOf)
	}
}

// adoptConfiguration adopts a configuration if it is newer than the current one.
func (w *World) adoptConfiguration(c model.Configuration, source string) {
	current := w.configuration
	if !c.Loaded() || (current.Loaded() && c.Version <= current.Version) {
		if c.Loaded() && c.Version < current.Version {
			w.logInfo("ignored older configuration", "version", c.Version, "held", current.Version, "source", source)
		}
		return
	}
	w.logInfo("configuration adopted", "version", c.Version, "former", current.Version, "source", source, "routes", c.Len())
	w.configuration, w.dirty = c, true
}

func (w *World) applyHostsRead(e HostsRead) {
	id, cell := w.topicRow(Hosts)
	if !cell.known {
		w.announceAt = w.Now().Add(time.Duration(w.Random.Int64N(int64(announceSpread))))
	}
	delay := hostListRetryDelay
	if w.role.Joined {
		delay = hostListInterval
	}
	w.topic.Set(id, cell.withResult(0, w.Now(), w.Now().Add(delay)))
	w.Emit(AddContacts(e))
}

func (w *World) recordFailure(t Topic, e Failed) {
	id, cell := w.topicRow(t)
	if e.HistoryLost {
		// Watches of other topics may have missed changes too and would keep waiting.
		w.logInfo("platform no longer has the change history; rereading configuration and searchers",
			"topic", t.String(), "after", cell.asOf)
		w.rereadAll()
		return
	}
	next := w.backoff(cell.failures)
	if t == Hosts {
		next = w.Now().Add(hostListRetryDelay)
	}
	w.topic.Set(id, cell.withFailure(next))
	w.storeFailedAt = w.Now()
	if !w.storeDown {
		w.storeDown, w.storeDownSince = true, e.StartedAt
		w.logWarning("platform lost", "topic", t.String(), "cause", e.Cause, "callMs", w.Now().Sub(e.StartedAt).Milliseconds())
	}
}

// receiveDigests is the system that records which peers are ahead of this host.
func (w *World) receiveDigests() {
	tick.Each(w.Inbox(), func(e DigestReceived) {
		w.endOutageByPeer(e.Digest)
		if !w.behind(e.Digest) {
			w.updateCurrentAtFromPeer(e.Digest)
			if id, ok := w.peersAhead.Find(e.Peer.ID); ok {
				w.peersAhead.Remove(id)
			}
			return
		}
		id, _ := w.peersAhead.Add(e.Peer.ID)
		w.peerAhead.Set(id, e)
		if at := w.Now().Add(w.pullDelay(e.Peer)); w.pullAt.IsZero() || at.Before(w.pullAt) {
			w.pullAt = at
		}
	})
}

// pullDelay returns how long this host waits for its own watch, or for a peer in
// its failure domain, before it pulls from the given peer.
func (w *World) pullDelay(from model.Host) time.Duration {
	watching := w.role.Watch && !w.storeDown
	switch local := from.FailureDomain == w.FailureDomain; {
	case local && !watching:
		return localPullDelay
	case !local && !watching && !w.configuration.Loaded():
		return remotePullDelay
	default:
		return fallbackPullDelay
	}
}

// endOutageByPeer ends an outage once a peer has had an answer of the store after the
// last failure of this host. A host that does not watch may make no call of its own
// that could end it.
func (w *World) endOutageByPeer(d Digest) {
	if at := w.Now().Add(-d.Age); d.Age != AgeUnknown && !w.role.Watch && at.After(w.storeFailedAt) {
		w.endOutage(at, "peer")
	}
}

// updateCurrentAtFromPeer takes over the age of a peer's data if it equals the
// data of this host.
func (w *World) updateCurrentAtFromPeer(d Digest) {
	equal := d.Version == w.configuration.Version && d.FleetHash == w.fleetHash
	if at := w.Now().Add(-d.Age); d.Age != AgeUnknown && equal && at.After(w.currentAt) {
		w.currentAt = at
	}
}

// behind reports whether this host is behind a digest.
func (w *World) behind(d Digest) bool {
	return d.Version > w.configuration.Version || (d.FleetRevision > w.fleetRevision && d.FleetHash != w.fleetHash)
}

// pull is the system that pulls from a peer that is ahead of this host.
func (w *World) pull() {
	if w.pullAt.IsZero() || w.pulling {
		return
	}
	if w.Now().Before(w.pullAt) {
		w.WakeAt(w.pullAt)
		return
	}
	w.pullAt = time.Time{}
	var best DigestReceived
	for id := range w.peersAhead.All() {
		candidate := w.peerAhead.Get(id)
		w.peersAhead.Remove(id)
		if !w.behind(candidate.Digest) {
			continue
		}
		if best.Peer.ID == "" || candidate.Peer.FailureDomain == w.FailureDomain {
			best = candidate
		}
	}
	if best.Peer.ID == "" {
		return
	}
	w.pulling = true
	w.logInfo("pulling from a peer with newer data", "peer", best.Peer.ID, "version", best.Digest.Version,
		"held", w.configuration.Version, "fleet", best.Digest.FleetRevision, "heldFleet", w.fleetRevision)
	w.Emit(PullFrom{Peer: best.Peer, Version: w.configuration.Version, FleetRevision: w.fleetRevision})
}

// applyPulled is the system that applies catalogs pulled from peers.
func (w *World) applyPulled() {
	tick.Each(w.Inbox(), func(e Pulled) {
		w.pulling = false
		w.adoptConfiguration(e.Catalog.Configuration, string(e.Peer.ID))
		switch f := e.Catalog.Fleet; {
		case f.Revision <= w.fleetRevision:
		case e.Catalog.Since == 0:
			w.replaceFleet(f.Registrations, f.Revision, string(e.Peer.ID))
		default:
			w.applyPeerChanges(e)
		}
	})
	tick.Each(w.Inbox(), func(PullFailed) { w.pulling = false })
}
