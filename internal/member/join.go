package member

import (
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tick"
)

const (
	// joinInterval is the interval between attempts to join; jitter of up to
	// the same length is added.
	joinInterval = 500 * time.Millisecond
	// The minimum interval between two fetches of the full state is
	// syncInterval plus syncIntervalPerMember for each member. A row takes
	// about 100 bytes, so a host receives at most 1.7 KB per second.
	syncInterval          = 2 * time.Second
	syncIntervalPerMember = 60 * time.Millisecond
)

// applySelf is the system that applies changes of this host's own state. Each
// change gets a new incarnation, which orders it after all earlier changes.
func (w *World) applySelf() {
	tick.Each(w.Inbox(), func(e SelfChanged) {
		if e.Ready == w.self.Ready && e.State == w.self.State {
			return
		}
		w.setAndQueue(w.self.WithReady(e.Ready).WithState(e.State).WithIncarnation(w.self.Incarnation + 1))
	})
}

// applyHostList is the system that applies the platform's host list. The list
// only adds contacts and confirms that failed members have left; probes decide
// which hosts are alive.
func (w *World) applyHostList() {
	tick.Each(w.Inbox(), func(e HostsListed) {
		for _, h := range e.Hosts {
			if h.ID == w.self.Host.ID {
				continue
			}
			r, known := w.find(h.ID)
			switch {
			case e.Leaving[h.ID] && known && r.member.State == model.MemberFailed:
				w.setAndQueue(r.member.WithState(model.MemberLeft))
			case !e.Leaving[h.ID]:
				w.addContact(h)
			}
		}
	})
}

// addContact adds an address for first contact.
func (w *World) addContact(h model.Host) {
	if h.Peer == "" || h.Peer == w.self.Host.Peer {
		return
	}
	id, added := w.contacts.Add(h.Peer)
	if added || h.ID != "" {
		w.contact.Set(id, h)
	}
}

// join is the system that fetches the full state at startup and merges it.
func (w *World) join() {
	tick.Each(w.Inbox(), func(e MembersReceived) {
		initial := !w.joined
		w.joined, w.nextJoin = true, time.Time{}
		for _, m := range e.Members {
			w.merge(m, initial)
		}
	})
	// Without contacts, a host can join only once a peer has contacted it.
	if w.joined || w.contacts.Len() == 0 && w.members.Len() == 1 {
		return
	}
	if w.nextJoin.IsZero() {
		w.nextJoin = w.Now()
	}
	if w.Now().Before(w.nextJoin) {
		return
	}
	w.nextJoin = w.Now().Add(joinInterval + time.Duration(w.Random.Int64N(int64(joinInterval))))
	if h, ok := w.randomContact(func(model.Host) bool { return true }); ok {
		w.Emit(FetchMembers{From: h})
	} else if m := w.randomMembers(1, ""); len(m) > 0 {
		w.Emit(FetchMembers{From: m[0].Host})
	}
}

// syncIfDifferent fetches the full state of a peer whose rows differ. Changes
// on probes are sent a limited number of times, so some hosts may miss one. A peer of
// another failure domain, to which bytes are billed, is asked only once no peer of
// this domain has had other rows for another interval.
func (w *World) syncIfDifferent(from model.Host, hash uint64) {
	if hash == w.hash {
		w.countEqualRows()
		return
	}
	if from.FailureDomain != w.self.Host.FailureDomain && w.Now().Before(w.nextSync.Add(w.syncInterval())) {
		return
	}
	if hash == 0 || !w.joined && w.contacts.Len() > 0 || w.Now().Before(w.nextSync) || from.ID == "" {
		return
	}
	w.nextSync = w.Now().Add(w.syncInterval())
	w.Emit(FetchMembers{From: from})
}

func (w *World) syncInterval() time.Duration {
	return syncInterval + time.Duration(w.members.Len())*syncIntervalPerMember
}

// countEqualRows counts the queued changes as sent several times after a peer has
// shown the same rows: most hosts then know them (rumor mongering with feedback,
// Demers et al. 1987). Without it, each change is sent on after all hosts have it.
func (w *World) countEqualRows() {
	limit := w.retransmitLimit()
	for id := range w.queue.All() {
		count := w.sendCount.Get(id) + equalRowsWeight
		w.sendCount.Set(id, count)
		if count >= limit {
			w.queue.Remove(id)
		}
	}
}

// probeContacts is the system that periodically probes a failed member or a
// contact that is not a member, so that the two sides of a healed partition
// find each other.
func (w *World) probeContacts() {
	if w.Now().Before(w.nextContactProbe) {
		return
	}
	w.nextContactProbe = w.Now().Add(contactInterval)
	if w.self.State != model.MemberLeft {
		w.probeRandomContact()
	}
}

// probeRandomContact probes a random failed member or a contact that is not a
// member.
func (w *World) probeRandomContact() {
	var targets []model.Host
	for id := range w.members.All() {
		if m := w.row.Get(id).member; m.State == model.MemberFailed {
			targets = append(targets, m.Host)
		}
	}
	if h, ok := w.randomContact(w.notMember); ok {
		targets = append(targets, h)
	}
	if len(targets) > 0 {
		h := targets[w.Random.IntN(len(targets))]
		w.startProbe(probe{target: h, bestEffort: true}, h, "")
	}
}

// notMember reports whether a contact is not a member.
func (w *World) notMember(h model.Host) bool {
	_, ok := w.find(h.ID)
	return !ok
}

// randomContact returns a random contact that satisfies allowed.
func (w *World) randomContact(match func(model.Host) bool) (model.Host, bool) {
	var list []model.Host
	for id := range w.contacts.All() {
		if h := w.contact.Get(id); match(h) {
			list = append(list, h)
		}
	}
	if len(list) == 0 {
		return model.Host{}, false
	}
	return list[w.Random.IntN(len(list))], true
}
