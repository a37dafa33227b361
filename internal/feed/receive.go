package feed

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// receive is the system that applies what the store answered.
func (w *World) receive() {
	tick.Each(w.Inbox(), func(e Result) {
		if _, cell := w.row(e.Topic); cell.inFlight && cell.callID == e.CallID {
			w.apply(e)
		}
	})
	tick.Each(w.Inbox(), func(Resumed) {
		w.logWarning("process was paused; reading anew")
		w.rereadAll()
	})
}

// apply takes the result of the call that is out for a topic.
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

// rereadAll has configuration and searchers read in full. Watches that are out
// are given up: they may never hear of what they have missed.
func (w *World) rereadAll() {
	for _, t := range []Topic{Configuration, Searchers} {
		id, cell := w.row(t)
		w.topic.Set(id, cell.withReset(w.Now()))
	}
}

func (w *World) row(t Topic) (table.ID, topic) {
	id, _ := w.topics.Find(t)
	return id, w.topic.Get(id)
}

// recordSuccess notes an answer of the store for a topic.
func (w *World) recordSuccess(t Topic, asOf uint64, next time.Time) {
	id, cell := w.row(t)
	w.topic.Set(id, cell.withResult(asOf, next))
	w.finishFollowerRead()
	if !w.storeDown {
		return
	}
	w.storeDown = false
	downFor := w.Now().Sub(w.storeDownSince)
	if downFor >= minOutage {
		w.recoveredAt = w.Now()
	}
	w.logInfo("platform regained", "topic", t.String(), "awayMs", downFor.Milliseconds(), "asOf", asOf)
}

// finishFollowerRead notes that a host that does not follow the store has just read both
// topics. It will read them in full the next time.
func (w *World) finishFollowerRead() {
	if w.role.Watch {
		return
	}
	for _, t := range []Topic{Configuration, Searchers} {
		if _, cell := w.row(t); !cell.known {
			return
		}
	}
	w.currentAt = w.Now()
	w.rereadAll()
}

func (w *World) applyConfigurationRead(e ConfigurationRead) {
	_, cell := w.row(Configuration)
	w.recordSuccess(Configuration, e.AsOf, w.Now())
	switch {
	case e.Known:
		w.adoptConfiguration(e.Configuration, "platform")
	case !cell.known: // a watch without changes is no news, a list without one is
		w.logWarning("the platform holds no configuration", "asOf", e.AsOf)
	}
}

// adoptConfiguration takes a configuration unless it is older than the one in
// force.
func (w *World) adoptConfiguration(c model.Configuration, source string) {
	held := w.configuration
	if !c.Known() || (held.Known() && c.Version <= held.Version) {
		if c.Known() && c.Version < held.Version {
			w.logInfo("older configuration ignored", "version", c.Version, "held", held.Version, "source", source)
		}
		return
	}
	w.logInfo("configuration adopted", "version", c.Version, "former", held.Version, "source", source, "routes", c.Len())
	w.configuration, w.dirty = c, true
}

func (w *World) applyHostsRead(e HostsRead) {
	id, cell := w.row(Hosts)
	w.topic.Set(id, cell.withResult(0, w.Now()))
	w.Emit(AddContacts(e))
}

func (w *World) recordFailure(t Topic, e Failed) {
	id, cell := w.row(t)
	if e.HistoryLost {
		// Watches of other topics may have missed changes as well and wait on.
		w.logInfo("history of the platform is gone; reading anew", "topic", t.String(), "after", cell.asOf)
		w.rereadAll()
		return
	}
	next := w.backoff(cell.failures)
	if t == Hosts {
		next = w.Now().Add(hostListRetryDelay)
	}
	w.topic.Set(id, cell.withFailure(next))
	if !w.storeDown {
		w.storeDown, w.storeDownSince = true, e.Begun
		w.logWarning("platform lost", "topic", t.String(), "cause", e.Cause, "callMs", w.Now().Sub(e.Begun).Milliseconds())
	}
}

// receiveDigests is the system that notes which peers know more.
func (w *World) receiveDigests() {
	tick.Each(w.Inbox(), func(e PeerSeen) {
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

// pullDelay returns how long this host waits for its own watch, or for a peer
// nearby, before it pulls what a peer has.
func (w *World) pullDelay(from model.Host) time.Duration {
	watching := w.role.Watch && !w.storeDown
	switch near := from.FailureDomain == w.FailureDomain; {
	case near && !watching:
		return localPullDelay
	case !near && !watching && !w.configuration.Known():
		return remotePullDelay
	default:
		return fallbackPullDelay
	}
}

// updateCurrentAtFromPeer notes that a peer that knows no more than this host has compared
// it with the store.
func (w *World) updateCurrentAtFromPeer(d Digest) {
	same := d.Version == w.configuration.Version && d.Hash == w.fleetHash
	if at := w.Now().Add(-d.Age); d.Age != AgeUnknown && same && at.After(w.currentAt) {
		w.currentAt = at
	}
}

// behind reports whether a digest has more than this host.
func (w *World) behind(d Digest) bool {
	return d.Version > w.configuration.Version || (d.Fleet > w.fleetRevision && d.Hash != w.fleetHash)
}

// pull is the system that asks a peer that knows more.
func (w *World) pull() {
	if w.pullAt.IsZero() || w.pulling {
		return
	}
	if w.Now().Before(w.pullAt) {
		w.WakeAt(w.pullAt)
		return
	}
	w.pullAt = time.Time{}
	var best PeerSeen
	for id := range w.peersAhead.All() {
		seen := w.peerAhead.Get(id)
		w.peersAhead.Remove(id)
		if !w.behind(seen.Digest) {
			continue
		}
		if best.Peer.ID == "" || seen.Peer.FailureDomain == w.FailureDomain {
			best = seen
		}
	}
	if best.Peer.ID == "" {
		return
	}
	w.pulling = true
	w.logInfo("pulling from a peer that knows more", "peer", best.Peer.ID, "version", best.Digest.Version,
		"held", w.configuration.Version, "fleet", best.Digest.Fleet, "heldFleet", w.fleetRevision)
	w.Emit(PullFrom{Peer: best.Peer, Version: w.configuration.Version, Fleet: w.fleetRevision})
}

// applyPulled is the system that applies what peers gave.
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
