package member

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/table"
)

// supersedes reports whether a replaces b: it has a higher incarnation, or the
// same incarnation and a later state.
func supersedes(a, b model.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// failedOrLeft reports whether a member has failed or left.
func failedOrLeft(m model.Member) bool {
	return m.State == model.MemberFailed || m.State == model.MemberLeft
}

// merge applies what a peer reports about a member. If first is set, it is part
// of the state fetched on joining.
func (w *World) merge(m model.Member, initial bool) {
	if m.Host.ID == "" {
		return
	}
	if m.Host.ID == w.self.Host.ID {
		w.mergeSelf(m)
		return
	}
	r, known := w.find(m.Host.ID)
	switch {
	case !known && failedOrLeft(m) && !initial:
		// Hosts remove failed members at different times. Only a joining host
		// accepts them, otherwise they would circulate forever.
	case !known && initial:
		w.setMember(m) // other hosts already have it
	case !known:
		w.setAndQueue(m)
	case !supersedes(m, r.member):
	case m.State == model.MemberFailed && !failedOrLeft(r.member) && r.member.State != model.MemberSuspect:
		// A member that was never a suspect here may be unreachable only for
		// the sender, so it gets the time to refute.
		w.setAndQueue(m.WithState(model.MemberSuspect))
	default:
		w.setAndQueue(m)
	}
}

// mergeSelf refutes a wrong report about this host.
func (w *World) mergeSelf(m model.Member) {
	suspected := m.State == model.MemberSuspect || m.State == model.MemberFailed
	if suspected && m.Incarnation >= w.startIncarnation && m.Incarnation > w.lastRefuted {
		w.lastRefuted = m.Incarnation
		w.Emit(Refuted{Incarnation: m.Incarnation, State: m.State})
	}
	if m.Incarnation > w.self.Incarnation || m.Incarnation == w.self.Incarnation && m.State > w.self.State {
		w.setAndQueue(w.self.WithIncarnation(m.Incarnation + 1))
	}
}

// mergeSender applies the row of the sender of a message, which is therefore
// alive.
func (w *World) mergeSender(m model.Member) {
	if m.Host.ID != "" && m.Host.ID != w.self.Host.ID {
		w.merge(m, false)
		if id, ok := w.contacts.Find(m.Host.Peer); ok {
			w.contact.Set(id, m.Host)
		}
	}
}

// changesFor selects the changes for a message to a host: first the row of that
// host if it is not alive, then the changes sent least often, newest first.
func (w *World) changesFor(to model.HostID) []model.Member {
	var list []model.Member
	if r, ok := w.find(to); ok && r.member.State != model.MemberAlive && to != w.self.Host.ID {
		list = append(list, r.member)
	}
	limit := w.retransmitLimit()
	for _, id := range w.leastSent(maxChanges - len(list)) {
		host, count := w.queue.Key(id), w.sendCount.Get(id)+1
		w.sendCount.Set(id, count)
		if count >= limit {
			w.queue.Remove(id)
		}
		if r, ok := w.find(host); ok && host != to {
			list = append(list, r.member)
		}
	}
	return list
}

// retransmitLimit returns the number of messages that carry a change.
func (w *World) retransmitLimit() int { return retransmitFactor * bits.Len(uint(w.members.Len())) }

// leastSent returns up to limit queued changes and drops those queued for longer
// than maxChangeAge, which peers have received from others.
func (w *World) leastSent(limit int) []table.ID {
	best := make([]table.ID, 0, limit+1)
	before := func(a, b table.ID) int {
		return cmp.Or(cmp.Compare(w.sendCount.Get(a), w.sendCount.Get(b)), cmp.Compare(b, a))
	}
	for id := range w.queue.All() {
		if r, ok := w.find(w.queue.Key(id)); !ok || w.Now().Sub(r.updatedAt) > maxChangeAge {
			w.queue.Remove(id)
			continue
		}
		if len(best) == limit && before(id, best[limit-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, id, before)
		best = slices.Insert(best, i, id)
		best = best[:min(limit, len(best))]
	}
	return best
}

func sortMembers(list []model.Member) {
	slices.SortFunc(list, func(a, b model.Member) int { return strings.Compare(string(a.Host.ID), string(b.Host.ID)) })
}
