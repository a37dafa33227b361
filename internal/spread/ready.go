package spread

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// startRechecks is the system that makes a suspended host verify its bundle
// again.
func (w *World) startRechecks() {
	tick.Each(w.Inbox(), func(e Suspended) {
		if w.checking == checkNone {
			w.startRecheck(e.Reason)
		}
	})
}

// startRecheck starts a check of the bundle that this host has kept.
func (w *World) startRecheck(reason string) {
	w.checking, w.checkStartedAt, w.checkReason = checkRecheck, w.Now(), reason
	w.readFailed, w.reading, w.readDelay = false, false, minReadDelay
	w.nextRead = w.Now().Add(w.jitter(firstReadJitter))
}

// isolated reports whether this host has peers but received no message from any
// of them for isolationTimeout.
func (w *World) isolated() bool {
	if w.lastPeerContact().IsZero() {
		return false
	}
	return w.isDue(w.lastPeerContact().Add(isolationTimeout))
}

// lastPeerContact returns when the latest message of a peer arrived, or the start
// time if none did; zero if there are no peers.
func (w *World) lastPeerContact() time.Time {
	for id := range w.peers.All() {
		if s := w.peer.Get(id).member.State; s != model.MemberLeft && s != model.MemberLeaving {
			if w.lastDigestAt.IsZero() {
				return w.StartTime()
			}
			return w.lastDigestAt
		}
	}
	return time.Time{}
}

// checkReadiness is the system that decides whether this host may serve.
func (w *World) checkReadiness() {
	if w.checking == checkNone && w.isolated() && w.Now().Sub(w.platformAnsweredAt) >= isolationTimeout && w.readFailed {
		w.startRecheck("cut off from the platform and from all peers")
	}
	if w.checking == checkNone && !w.isolated() {
		w.readFailed, w.nextRead = false, w.Now().Add(w.jitter(firstReadJitter))
	}
	if w.checking == checkNone || w.bundle.Revision == 0 {
		return
	}
	if w.revisionConfirmed() {
		w.checking, w.checkReason = checkNone, ""
	}
}

// revisionConfirmed reports whether this host has the highest revision known to
// the platform or to the peers that it can reach.
func (w *World) revisionConfirmed() bool {
	own := w.digestAt(w.Now(), false)
	current := !w.lastReadStartedAt.IsZero() && !w.lastReadStartedAt.Before(w.checkStartedAt) ||
		w.checking == checkStartup && !w.settingsReadAt.IsZero()
	for id := range w.peers.All() {
		p := w.peer.Get(id)
		if !w.digestCurrent(p) {
			continue
		}
		if p.digest.Revision > own.Revision {
			return false // pullFromPeer pulls it
		}
		// A read of the settings by a peer after the check started counts as a
		// read by this host.
		settingsReadAt := p.seenAt.Add(-time.Duration(p.digest.SettingsAge) * time.Millisecond)
		if w.checking == checkRecheck || p.digest.SettingsAge >= 0 && settingsReadAt.After(w.checkStartedAt) {
			current = true
		}
	}
	return current || w.checking == checkStartup && w.readFailed && len(w.unansweredDomains()) == 0
}

// digestCurrent reports whether a peer has sent its digest since the check
// started. Queues of a host that was paused may still contain old messages, so a
// recheck accepts only answers to requests sent after it started.
func (w *World) digestCurrent(p peer) bool {
	at := p.answeredAt
	if w.checking == checkStartup {
		at = p.seenAt
	}
	return !at.IsZero() && !at.Before(w.checkStartedAt)
}

// unansweredDomains returns the failure domains without a current digest. A
// domain needs the digest of a host that serves, or of every member if none
// serves.
func (w *World) unansweredDomains() []model.FailureDomain {
	answered, missing := map[model.FailureDomain]bool{}, map[model.FailureDomain]bool{}
	for id := range w.peers.All() {
		p := w.peer.Get(id)
		domain := p.member.Host.FailureDomain
		current := w.digestCurrent(p)
		switch {
		case p.member.State == model.MemberLeft:
		case current && p.digest.Ready:
			answered[domain] = true
		case !current && (domain != w.Self.FailureDomain || contactable(p.member)):
			missing[domain] = true
		}
	}
	for id := range w.listed.All() {
		if domain := w.listedDomain.Get(id); domain != w.Self.FailureDomain {
			missing[domain] = true
		}
	}
	if w.peers.Len() == 0 && (w.seedCount > 0 || w.bundle.Revision == 0) {
		missing["(none of the seeds answered)"] = true
	}
	maps.DeleteFunc(missing, func(d model.FailureDomain, _ bool) bool { return answered[d] })
	return slices.Sorted(maps.Keys(missing))
}

// queryPeers is the system that requests the digests of peers in every failure
// domain during a check.
func (w *World) queryPeers() {
	if w.checking == checkNone || w.pullPeer != "" {
		return
	}
	var candidates []table.ID
	for _, domain := range w.unansweredDomains() {
		for id := range w.peers.All() {
			p := w.peer.Get(id)
			if p.member.Host.FailureDomain == domain && contactable(p.member) && !w.digestCurrent(p) && w.isDue(p.queriedAt.Add(queryInterval)) {
				candidates = append(candidates, id)
			}
		}
	}
	if len(candidates) > 0 && w.isDue(w.pullRetryAt) {
		w.startPull(candidates[w.Random.IntN(len(candidates))])
	}
}

// reportReadiness is the system that emits Ready when it changes.
func (w *World) reportReadiness() {
	r := Ready{Ready: w.checking == checkNone, Reason: w.notReadyReason()}
	if w.lastReady == nil || *w.lastReady != r {
		w.lastReady = &r
		w.Emit(r)
	}
}

func (w *World) notReadyReason() string {
	if w.checking == checkNone {
		return ""
	}
	var parts []string
	if w.checkReason != "" {
		parts = append(parts, w.checkReason)
	}
	if w.bundle.Revision == 0 {
		parts = append(parts, "no settings are known yet")
	}
	if w.readFailed {
		parts = append(parts, "the platform is away: "+w.readError)
		if missing := w.unansweredDomains(); len(missing) > 0 {
			parts = append(parts, fmt.Sprintf("no peer has answered in failure domain %s", joinDomains(missing)))
		}
	}
	if len(parts) == 0 {
		parts = append(parts, "the settings have not been compared with the platform yet")
	}
	return strings.Join(parts, "; ")
}

func joinDomains(list []model.FailureDomain) string {
	names := make([]string, 0, len(list))
	for _, d := range list {
		names = append(names, string(d))
	}
	return strings.Join(names, ", ")
}
