package member

import (
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
)

// detectPause is the system that detects a pause of the process from a late tick.
func (w *World) detectPause() {
	if w.Now().Sub(w.nextProbe) > pauseThreshold {
		w.Emit(Refuted{Incarnation: w.self.Incarnation, Paused: true})
		// Answers that were queued during the pause must not count as late.
		for id := range w.probes.All() {
			p := w.probe.Get(id)
			p.deadline = w.Now().Add(w.ProbeTimeout)
			w.probe.Set(id, p)
		}
		for id := range w.suspects.All() {
			w.deadline.Set(id, w.Now().Add(w.SuspicionTimeout))
		}
	}
}

// receive is the system that applies messages and answers probes.
func (w *World) receive() {
	tick.Each(w.Inbox(), func(e ChangesReceived) {
		w.mergeSender(e.From)
		for _, m := range e.Changes {
			w.merge(m, false)
		}
	})
	tick.Each(w.Inbox(), func(e Probed) {
		w.mergeSender(e.From)
		for _, m := range e.Changes {
			w.merge(m, false)
		}
		w.syncIfDifferent(e.From.Host, e.Hash)
		if e.Target == "" || e.Target == w.self.Host.ID {
			w.Emit(AnswerProbe{ID: e.ID, Reached: true, Changes: w.changesFor(e.From.Host.ID)})
			return
		}
		r, ok := w.find(e.Target)
		if !ok {
			w.Emit(AnswerProbe{ID: e.ID, Changes: w.changesFor(e.From.Host.ID)})
			return
		}
		w.startProbe(probe{target: r.member.Host, peerProbeID: e.ID, bestEffort: true}, r.member.Host, "")
	})
}

// answerFetches is the system that sends the full state to hosts that request
// it.
func (w *World) answerFetches() {
	tick.Each(w.Inbox(), func(e MembersRequested) {
		w.mergeSender(e.From)
		w.Emit(AnswerMembers{ID: e.ID, Members: w.Members()})
	})
}

// applyAcks is the system that applies answers to probes.
func (w *World) applyAcks() {
	tick.Each(w.Inbox(), func(e Acked) {
		w.mergeSender(e.From)
		for _, m := range e.Changes {
			w.merge(m, false)
		}
		w.syncIfDifferent(e.From.Host, e.Hash)
		id, ok := w.probes.Find(e.ID)
		if !ok {
			return
		}
		p := w.probe.Get(id)
		if p.directProbe != 0 {
			w.probes.Remove(id)
			if e.Reached {
				w.probes.Remove(p.directProbe)
			}
			return
		}
		if p.target.ID != "" && e.From.Host.ID != p.target.ID {
			w.handleMissedProbe(id) // another host has taken over the address
			return
		}
		w.answerIndirectProbe(p, true)
		w.probes.Remove(id)
	})
}

// applyProbeFailures is the system that handles failed probes.
func (w *World) applyProbeFailures() {
	tick.Each(w.Inbox(), func(e ProbeFailed) {
		if id, ok := w.probes.Find(e.ID); ok {
			w.handleMissedProbe(id)
		}
	})
}

// probeAfterFailedCalls is the system that probes members after a failed call.
func (w *World) probeAfterFailedCalls() {
	tick.Each(w.Inbox(), func(e CallFailed) {
		if r, ok := w.find(e.Host); ok && r.member.State == model.MemberAlive && !w.probing(e.Host) {
			w.startProbe(probe{target: r.member.Host}, r.member.Host, "")
		}
	})
}

// probing reports whether a direct probe of a member by this host is in flight.
func (w *World) probing(host model.HostID) bool {
	for id := range w.probes.All() {
		if p := w.probe.Get(id); p.target.ID == host && p.directProbe == 0 && !p.bestEffort {
			return true
		}
	}
	return false
}

// expireProbes is the system that handles probes not answered in time.
func (w *World) expireProbes() {
	var expired []table.ID
	for id := range w.probes.All() {
		if !w.Now().Before(w.probe.Get(id).deadline) {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		if w.probes.Has(id) {
			w.handleMissedProbe(id)
		}
	}
}

// handleMissedProbe handles a probe without an answer. For a failed direct probe,
// it requests indirect probes from other members; if these fail too, it marks the
// member as suspect.
func (w *World) handleMissedProbe(id table.ID) {
	p := w.probe.Get(id)
	switch {
	case p.directProbe != 0:
		w.probes.Remove(id)
	case p.bestEffort:
		w.answerIndirectProbe(p, false)
		w.probes.Remove(id)
	case !p.indirectProbesSent:
		p.indirectProbesSent, p.deadline = true, w.Now().Add(2*w.ProbeTimeout)
		w.probe.Set(id, p)
		for _, r := range w.randomMembers(indirectProbeCount, p.target.ID) {
			w.startProbe(probe{target: p.target, directProbe: id}, r.Host, p.target.ID)
		}
	case w.Now().Before(p.deadline):
		// The indirect probes may still be answered.
	default:
		w.probes.Remove(id)
		w.markSuspect(p.target.ID)
	}
}

// markSuspect marks an alive member as suspect and a leaving member as left.
func (w *World) markSuspect(host model.HostID) {
	r, ok := w.find(host)
	switch {
	case !ok:
	case r.member.State == model.MemberAlive:
		w.setAndQueue(r.member.WithState(model.MemberSuspect))
	case r.member.State == model.MemberLeaving:
		w.setAndQueue(r.member.WithState(model.MemberLeft))
	}
}

// answerIndirectProbe answers the peer that requested a probe, if any.
func (w *World) answerIndirectProbe(p probe, reached bool) {
	if p.peerProbeID != 0 {
		w.Emit(AnswerProbe{ID: p.peerProbeID, Reached: reached})
	}
}

// startProbe adds a probe in flight and sends it to a host. If target is set, the
// host probes the target on behalf of this one and has twice the timeout.
func (w *World) startProbe(p probe, to model.Host, target model.HostID) {
	w.lastProbeID++
	if p.deadline.IsZero() {
		p.deadline = w.Now().Add(w.ProbeTimeout)
		if target != "" {
			p.deadline = w.Now().Add(2 * w.ProbeTimeout)
		}
	}
	id, _ := w.probes.Add(w.lastProbeID)
	w.probe.Set(id, p)
	w.Emit(SendProbe{ID: w.lastProbeID, To: to, Target: target, Changes: w.changesFor(to.ID)})
}

// expireSuspects is the system that marks suspects as failed at their deadline.
func (w *World) expireSuspects() {
	for id := range w.suspects.All() {
		if w.Now().Before(w.deadline.Get(id)) {
			continue
		}
		host := w.suspects.Key(id)
		if r, ok := w.find(host); ok {
			w.setAndQueue(r.member.WithState(model.MemberFailed)) // removes the suspect row
		}
	}
}

// removeExpiredMembers is the system that removes members that failed, left or
// were leaving longer than Retention ago.
func (w *World) removeExpiredMembers() {
	if w.Now().Before(w.nextSweep) {
		return
	}
	w.nextSweep = w.Now().Add(sweepInterval)
	for id := range w.members.All() {
		r := w.row.Get(id)
		inactive := failedOrLeft(r.member) || r.member.State == model.MemberLeaving
		if inactive && r.member.Host.ID != w.self.Host.ID && w.Now().Sub(r.updatedAt) >= w.Retention {
			w.removeMember(r.member.Host.ID)
		}
	}
}

// probeNext is the system that probes the next member of the round.
func (w *World) probeNext() {
	if w.Now().Before(w.nextProbe) {
		return
	}
	w.nextProbe = w.Now().Add(w.ProbeInterval)
	if w.self.State == model.MemberLeft {
		return
	}
	if m, ok := w.nextTarget(); ok {
		w.startProbe(probe{target: m.Host}, m.Host, "")
		return
	}
	// All other members have failed or left.
	w.probeRandomContact()
}

// nextTarget returns the next member to probe: by turns one of all members and one of
// this host's failure domain, whose bytes are not billed, if the domain is large enough
// for its members to confirm a failure.
func (w *World) nextTarget() (model.Member, bool) {
	w.probeNearby = !w.probeNearby
	if w.probeNearby {
		nearby := func(m model.Member) bool { return m.Host.FailureDomain == w.self.Host.FailureDomain }
		if len(w.nearbyRound) > 0 || w.countMembers(nearby) > indirectProbeCount {
			if m, ok := w.nextInRound(&w.nearbyRound, nearby); ok {
				return m, true
			}
		}
	}
	return w.nextInRound(&w.probeRound, func(model.Member) bool { return true })
}

// countMembers returns the number of other members that match and have not failed or
// left.
func (w *World) countMembers(match func(model.Member) bool) (n int) {
	for id := range w.members.All() {
		if m := w.row.Get(id).member; w.probeable(m) && match(m) {
			n++
		}
	}
	return n
}

func (w *World) probeable(m model.Member) bool {
	return m.Host.ID != w.self.Host.ID && !failedOrLeft(m)
}

// nextInRound returns the next member of a round that has not failed or left. Each
// member that matches comes once per round, which bounds the time until a failed
// member is probed; each round has a new random order.
func (w *World) nextInRound(round *[]model.HostID, match func(model.Member) bool) (model.Member, bool) {
	for range 2 {
		for len(*round) > 0 {
			last := len(*round) - 1
			host := (*round)[last]
			*round = (*round)[:last]
			if r, ok := w.find(host); ok && !failedOrLeft(r.member) {
				return r.member, true
			}
		}
		for id := range w.members.All() {
			if m := w.row.Get(id).member; w.probeable(m) && match(m) {
				*round = append(*round, m.Host.ID)
			}
		}
		w.Random.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
	}
	return model.Member{}, false
}

// insertInRound inserts a new member at a random position of the current round.
func (w *World) insertInRound(host model.HostID) {
	w.probeRound = append(w.probeRound, host)
	last := len(w.probeRound) - 1
	i := w.Random.IntN(last + 1)
	w.probeRound[i], w.probeRound[last] = w.probeRound[last], w.probeRound[i]
}

// randomMembers returns up to limit random members that are alive, except this host
// and the given one.
func (w *World) randomMembers(limit int, excluded model.HostID) []model.Member {
	var list []model.Member
	for id := range w.members.All() {
		m := w.row.Get(id).member
		if m.State == model.MemberAlive && m.Host.ID != excluded && m.Host.ID != w.self.Host.ID {
			list = append(list, m)
		}
	}
	w.Random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}
