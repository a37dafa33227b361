package feed

import (
	"slices"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// maxRemoved bounds the removals kept for peers that request changes; each takes
// about 40 bytes. Peers that are further behind get the full list.
const maxRemoved = 512

func (w *World) applyFleetRead(e FleetRead) {
	_, t := w.topicRow(Searchers)
	w.recordSuccess(Searchers, e.AsOf, w.Now())
	if e.AsOf < w.fleetRevision && t.startedAt.Before(w.revisedAt) {
		w.logInfo("ignored a searcher list that is older than a peer's", "asOf", e.AsOf, "held", w.fleetRevision)
		return
	}
	w.replaceFleet(e.Registrations, e.AsOf, "platform")
}

// replaceFleet replaces the searcher list with a full list.
func (w *World) replaceFleet(list []model.Registration, asOf uint64, source string) {
	listed := make(map[model.SearcherID]bool, len(list))
	for _, r := range list {
		listed[r.Searcher.ID] = true
		w.register(r)
	}
	for id := range w.entries.All() {
		if !listed[w.entries.Key(id)] {
			w.unregister(id, asOf)
		}
	}
	if w.removedSince == 0 {
		w.removedSince = asOf
	}
	w.revise(asOf)
	w.logInfo("searcher list replaced", "count", len(list), "asOf", asOf, "source", source, "ageMs", w.ageMillis())
}

func (w *World) applyFleetChanged(e FleetChanged) {
	next := w.Now()
	if len(e.Changes) > 0 {
		next = w.Now().Add(watchDelay)
		w.revise(e.AsOf)
	}
	w.recordSuccess(Searchers, e.AsOf, next)
	for _, c := range e.Changes {
		id, held := w.entries.Find(c.Registration.Searcher.ID)
		revision := w.entry.Get(id).registration.Revision
		switch {
		case !c.Removed && held && c.Registration.Revision < revision, c.Removed && held && e.AsOf < revision:
			// A peer's list was ahead of this watch.
		case !c.Removed:
			w.register(c.Registration)
		case held:
			w.unregister(id, e.AsOf)
		}
	}
}

// revise raises the revision of the searcher list.
func (w *World) revise(revision uint64) {
	if revision > w.fleetRevision {
		w.fleetRevision, w.revisedAt = revision, w.Now()
	}
}

// applyPeerChanges applies the changes after the revision that this host
// requested. If the resulting hash differs from the peer's, it pulls the full
// list. A removal needs no grace period: the peer has granted one if the store had
// an outage.
func (w *World) applyPeerChanges(e Pulled) {
	f := e.Catalog.Fleet
	for _, r := range f.Registrations {
		w.register(r)
	}
	for _, r := range f.Removed {
		if id, ok := w.entries.Find(r.Searcher); ok && w.entry.Get(id).registration.Revision <= r.Revision {
			w.removeEntry(id, r.Revision)
			w.dirty = true
		}
	}
	w.logInfo("searcher changes received from peer", "peer", e.Peer.ID, "since", e.Catalog.Since, "asOf", f.Revision,
		"changed", len(f.Registrations), "removed", len(f.Removed), "equal", w.fleetHash == f.Hash, "ageMs", w.ageMillis())
	if w.fleetHash == f.Hash {
		w.revise(f.Revision)
		return
	}
	w.pulling = true
	w.Emit(PullFrom{Peer: e.Peer, Version: w.configuration.Version})
}

// register adds or updates a searcher's entry, unless the searcher wrote it before the
// one that this host holds or held last.
func (w *World) register(r model.Registration) {
	id, held := w.entries.Find(r.Searcher.ID)
	old := w.entry.Get(id)
	last := model.Removal{StartMillis: old.registration.StartMillis, Sequence: old.registration.Sequence}
	if !held {
		last = w.lastRemoval(r.Searcher.ID)
	}
	if r.WrittenBefore(last.StartMillis, last.Sequence) {
		w.logInfo("ignored an earlier write of a searcher's entry", "searcher", r.Searcher.ID, "born", r.StartMillis,
			"sequence", r.Sequence, "held", last.Sequence, "leaving", r.Searcher.Leaving, "revision", r.Revision)
		return
	}
	if held && old.expiresAt.IsZero() && old.registration.WithSequence(r.Sequence) == r {
		// A heartbeat, of which peers need not learn. Hosts of earlier builds send no sequence.
		w.entry.Set(id, entry{registration: r.WithSequence(max(r.Sequence, old.registration.Sequence))})
		return
	}
	id, _ = w.entries.Add(r.Searcher.ID)
	w.setEntry(id, entry{registration: r})
	w.dirty = true
}

// lastRemoval returns the latest removal of a searcher.
func (w *World) lastRemoval(id model.SearcherID) model.Removal {
	for _, r := range slices.Backward(w.removed) {
		if r.Searcher == id {
			return r
		}
	}
	return model.Removal{}
}

// setEntry replaces an entry and updates the fleet hash.
func (w *World) setEntry(id table.ID, e entry) {
	w.fleetHash += e.hash() - w.entry.Get(id).hash()
	w.entry.Set(id, e)
}

// removeEntry deletes an entry and appends it to the removal log.
func (w *World) removeEntry(id table.ID, revision uint64) {
	w.fleetHash -= w.entry.Get(id).hash()
	last := w.entry.Get(id).registration
	w.removed = append(w.removed, model.Removal{
		Searcher: w.entries.Key(id), Revision: revision, StartMillis: last.StartMillis, Sequence: last.Sequence,
	})
	if extra := len(w.removed) - maxRemoved; extra > 0 {
		w.removedSince = max(w.removedSince, w.removed[extra-1].Revision)
		w.removed = slices.Clone(w.removed[extra:])
	}
	w.entries.Remove(id)
}

// unregister removes a searcher whose entry is missing from the store:
// immediately, or after the grace period if the store had an outage.
func (w *World) unregister(id table.ID, revision uint64) {
	e := w.entry.Get(id)
	if !e.expiresAt.IsZero() {
		return
	}
	w.dirty = true
	if until := w.recoveredAt.Add(registrationGrace); w.storeDown || w.Now().Before(until) {
		if w.storeDown {
			until = w.Now().Add(registrationGrace)
		}
		w.logInfo("entry missing after an outage", "searcher", w.entries.Key(id), "keptMs", until.Sub(w.Now()).Milliseconds(),
			"storeDown", w.storeDown, "revision", revision)
		e.expiresAt = until
		w.setEntry(id, e)
		return
	}
	w.removeEntry(id, revision)
}

// expireEntries is the system that removes searchers that did not register again
// within the grace period.
func (w *World) expireEntries() {
	for id := range w.entries.All() {
		e := w.entry.Get(id)
		switch {
		case e.expiresAt.IsZero():
		case w.Now().Before(e.expiresAt):
			w.WakeAt(e.expiresAt)
		default:
			w.logInfo("entry lapsed", "searcher", w.entries.Key(id))
			w.removeEntry(id, w.fleetRevision)
			w.dirty = true
		}
	}
}

// adopt is the system that emits a changed catalog.
func (w *World) adopt() {
	if !w.dirty {
		return
	}
	fleet := model.Fleet{
		Revision: w.fleetRevision, Registrations: make([]model.Registration, 0, w.entries.Len()),
		Hash: w.fleetHash, Removed: slices.Clip(w.removed), RemovedSince: w.removedSince,
	}
	for id := range w.entries.All() {
		e := w.entry.Get(id)
		fleet.Registrations = append(fleet.Registrations, e.registration.WithLapsed(!e.expiresAt.IsZero()))
	}
	w.Emit(Adopt{Catalog: Catalog{Configuration: w.configuration, Fleet: fleet}})
	w.dirty = false
}
