package spread

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/tree"
)

// applyPlatformAnswers is the system that records when the platform answered.
func (w *World) applyPlatformAnswers() {
	tick.Each(w.Inbox(), func(e PlatformAnswered) {
		w.platformAnsweredAt = w.Now()
		if e.Settings && e.StartedAt.After(w.settingsReadAt) {
			w.settingsReadAt = e.StartedAt
		}
	})
	tick.Each(w.Inbox(), func(e ObjectsLoaded) {
		if e.From != "" {
			return
		}
		w.platformAnsweredAt = w.Now()
		if e.StartedAt.After(w.settingsReadAt) {
			w.settingsReadAt = e.StartedAt
		}
		if e.StartedAt.After(w.lastReadStartedAt) {
			w.lastReadStartedAt = e.StartedAt
		}
		if !e.StartedAt.IsZero() && w.reading {
			w.reading, w.readDelay, w.readFailed = false, minReadDelay, false
			w.nextRead = w.Now().Add(isolationTimeout/2 + w.jitter(isolationTimeout))
		}
	})
	if w.platformAnsweredAt.After(w.fleetPlatformAnsweredAt) {
		w.fleetPlatformAnsweredAt = w.platformAnsweredAt
	}
	if w.firstPlatformAnswer.IsZero() {
		w.firstPlatformAnswer = w.platformAnsweredAt
	}
}

// adoptBundles is the system that puts newer objects in force. It ignores a
// lower revision, so a host never reverts to older settings.
func (w *World) adoptBundles() {
	tick.Each(w.Inbox(), func(e ObjectsLoaded) {
		if e.From == w.pullPeer && e.From != "" {
			w.pullPeer, w.pullTimeout, w.timedOutPulls = "", minPullTimeout, 0
		}
		next := w.bundle.merge(e.Bundle)
		w.mayBeBehind = true
		settings := next.Revision > w.bundle.Revision
		if !settings && next.IndexVersion == w.bundle.IndexVersion && next.Leaving.Stamp == w.bundle.Leaving.Stamp {
			return
		}
		if settings {
			w.tree, w.rootSettings, w.watchersOutdated = e.Tree, e.Tree.Effective(tree.Root), true
		}
		w.setBundle(next, settings)
	})
	tick.Each(w.Inbox(), func(e ObjectsLoaded) {
		if e.From != "" && e.Digest.Exceeds(w.digestAt(w.Now(), false)) {
			// The peer sent fewer objects than its digest states.
			w.pullRetryAt = w.Now().Add(pullRetryDelay + w.jitter(pullRetryDelay))
		}
	})
}

// setBundle replaces the bundle of this host and starts pushing it.
func (w *World) setBundle(b Bundle, settings bool) {
	w.bundle = b
	w.Emit(Adopt{Bundle: b, Tree: w.tree, Settings: settings})
	w.pushRoundsLeft, w.nextPush = pushRounds, w.Now()
}

// applyLoadFailures is the system that handles failed and overdue loads.
func (w *World) applyLoadFailures() {
	tick.Each(w.Inbox(), func(e LoadFailed) {
		if e.From == "" {
			w.scheduleReadRetry(e.Reason)
			return
		}
		if e.From == w.pullPeer {
			w.pullPeer, w.pullRetryAt = "", w.Now().Add(pullRetryDelay+w.jitter(pullRetryDelay))
		}
	})
	if w.pullPeer != "" && w.isDue(w.pullDeadline) {
		w.pullPeer, w.pullRetryAt = "", w.Now()
		if w.timedOutPulls++; w.timedOutPulls >= attemptsBeforeBackoff {
			w.pullTimeout = min(2*w.pullTimeout, maxPullTimeout)
		}
	}
	if w.reading && w.isDue(w.readDeadline) {
		w.scheduleReadRetry("no answer in time")
	}
}

// scheduleReadRetry schedules the next read of the platform with exponential
// backoff and jitter, so that hosts whose reads fail together do not retry
// together.
func (w *World) scheduleReadRetry(reason string) {
	if !w.reading {
		return
	}
	w.reading, w.readFailed, w.readError = false, true, reason
	w.readDelay = min(2*w.readDelay, maxReadDelay)
	w.nextRead = w.Now().Add(w.readDelay/2 + w.jitter(w.readDelay))
}

// applyLeavingLists is the system that applies the host list as read by this
// host if it is a watcher. Other hosts read the list only at startup and adopt
// that of the watchers. A list equal to the last one read is no change, even if
// another host has read a newer list since: the platform's list lags
// differently for each reader.
func (w *World) applyLeavingLists() {
	tick.Each(w.Inbox(), func(e LeavingRead) {
		l := e.Leaving
		slices.Sort(l.Hosts)
		slices.Sort(l.Searchers)
		if !w.watching {
			w.adoptFirstLeavingList(l)
			return
		}
		changed := !equalLeaving(l, w.lastLeavingRead)
		w.lastLeavingRead = l
		current := w.bundle.Leaving
		if equalLeaving(l, current) {
			w.leavingDiffersSince = time.Time{}
			return
		}
		if w.leavingDiffersSince.IsZero() {
			w.leavingDiffersSince = w.Now()
		}
		differsFor, union := w.Now().Sub(w.leavingDiffersSince), l.union(current)
		switch {
		case changed || differsFor >= leavingDropDelay:
		case differsFor >= leavingAddDelay && !equalLeaving(union, current):
			l = union
		default:
			return
		}
		l.Stamp = max(uint64(w.Now().UnixMilli()), current.Stamp+1)
		w.leavingDiffersSince = time.Time{}
		w.setBundle(w.bundle.WithLeaving(l), false)
	})
}

// adoptFirstLeavingList adopts the host list read at startup until the list of
// a watcher arrives, which has a higher stamp.
func (w *World) adoptFirstLeavingList(l LeavingList) {
	if w.bundle.Leaving.Stamp == 0 && len(l.Hosts)+len(l.Searchers) > 0 {
		l.Stamp = 1
		w.setBundle(w.bundle.WithLeaving(l), false)
	}
}

func equalLeaving(a, b LeavingList) bool {
	return slices.Equal(a.Hosts, b.Hosts) && slices.Equal(a.Searchers, b.Searchers)
}

// chooseWatchers is the system that decides whether this host watches the
// platform.
func (w *World) chooseWatchers() {
	if w.awaitingPeers() {
		return
	}
	w.watchersOutdated = w.updateWatcherDoublings() || w.watchersOutdated
	if !w.watchersOutdated {
		return
	}
	w.watchersOutdated = false
	remaining := w.rootSettings.Watchers << w.watcherDoublings
	ownRank := watcherRank(w.Self)
	for id := range w.peers.All() {
		m := w.peer.Get(id).member
		live := m.State == model.MemberAlive || m.State == model.MemberSuspect
		if live && m.Host.FailureDomain == w.Self.FailureDomain && watcherRank(m.Host) > ownRank {
			remaining--
		}
	}
	if watch := remaining > 0; watch != w.watching {
		w.watching = watch
		if watch {
			w.Emit(Watch{})
		} else {
			w.Emit(Unwatch{})
		}
	}
}

// updateWatcherDoublings updates how often the number of watchers is doubled,
// from the time since any host reached the platform, and reports whether it
// changed.
func (w *World) updateWatcherDoublings() bool {
	lastAnswer, doublings := w.fleetPlatformAnsweredAt, 0
	if lastAnswer.IsZero() {
		lastAnswer = w.StartTime()
	}
	for _, after := range []time.Duration{doubleWatchersAfter, doubleWatchersAfter + doubleWatchersStep} {
		if w.isDue(lastAnswer.Add(after)) {
			doublings++
		}
	}
	changed := doublings != w.watcherDoublings
	w.watcherDoublings = doublings
	return changed
}

// awaitingPeers reports whether this host has just started and may still get
// answers from peers. Without this delay every starting host would consider
// itself a watcher. A host that reaches neither peers nor the platform does not
// watch; it reads at increasing intervals.
func (w *World) awaitingPeers() bool {
	if w.joined {
		return false
	}
	return w.firstPlatformAnswer.IsZero() || !w.isDue(w.firstPlatformAnswer.Add(2*joinWait))
}

// watcherRank orders the hosts of a failure domain for the selection of
// watchers.
func watcherRank(h model.Host) uint64 {
	return xxhash.Sum64String(string(h.FailureDomain) + "/" + string(h.ID))
}

// readPlatform is the system that reads the platform for a host that must
// verify its bundle or hears from no peer.
func (w *World) readPlatform() {
	if w.checking == checkNone && !w.isolated() || w.reading {
		return
	}
	if w.nextRead.IsZero() {
		w.nextRead = w.StartTime().Add(w.jitter(firstReadJitter))
		if w.seedCount > 0 {
			w.nextRead = w.StartTime().Add(joinWait + w.jitter(2*joinWait))
		}
	}
	if !w.isDue(w.nextRead) {
		return
	}
	w.reading, w.readDeadline = true, w.Now().Add(readTimeout)
	w.Emit(ReadPlatform{StartedAt: w.Now()})
	w.WakeAt(w.readDeadline)
}

// pullFromPeer is the system that pulls from the peer with the newest objects if
// this host lacks any of them.
func (w *World) pullFromPeer() {
	if !w.mayBeBehind || w.pullPeer != "" || !w.isDue(w.pullRetryAt) {
		return
	}
	var best table.ID
	var bestDigest Digest
	own, candidates := w.digestAt(w.Now(), false), 0
	for id := range w.peers.All() {
		p := w.peer.Get(id)
		if p.seenAt.IsZero() || !contactable(p.member) || !p.digest.Exceeds(own) {
			continue
		}
		// Ties are broken at random to distribute pulls across the peers.
		better := compareDigests(p.digest, bestDigest)
		candidates++
		if best == 0 || better > 0 || better == 0 && w.Random.IntN(candidates) == 0 {
			best, bestDigest = id, p.digest
		}
	}
	if w.mayBeBehind = best != 0; w.mayBeBehind {
		w.startPull(best)
	}
}

func compareDigests(a, b Digest) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.IndexVersion, b.IndexVersion), cmp.Compare(a.LeavingStamp, b.LeavingStamp))
}

func (w *World) startPull(id table.ID) {
	p := w.peer.Get(id)
	p.queriedAt = w.Now()
	w.peer.Set(id, p)
	w.pullPeer, w.pullDeadline = p.member.Host.ID, w.Now().Add(w.pullTimeout)
	w.WakeAt(w.pullDeadline)
	w.Emit(PullFrom{Peer: p.member.Host, StartedAt: w.Now()})
}

// pushToPeers is the system that pushes the digest to peers that lack
// something.
func (w *World) pushToPeers() {
	if w.pushRoundsLeft == 0 || !w.isDue(w.nextPush) {
		return
	}
	own := w.digestAt(w.Now(), false)
	var list []model.Member
	for id := range w.peers.All() {
		p := w.peer.Get(id)
		if contactable(p.member) && own.Exceeds(p.digest) {
			list = append(list, p.member)
		}
	}
	slices.SortFunc(list, func(a, b model.Member) int { return strings.Compare(string(a.Host.ID), string(b.Host.ID)) })
	w.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list[:min(len(list), w.rootSettings.PushFanout)] {
		w.Emit(PushTo{Peer: m.Host})
	}
	w.pushRoundsLeft--
	w.nextPush = w.Now().Add(pushInterval + w.jitter(pushInterval))
	if w.pushRoundsLeft > 0 {
		w.WakeAt(w.nextPush)
	}
}
