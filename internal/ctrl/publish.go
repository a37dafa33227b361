package ctrl

import (
	"cmp"
	"slices"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/spread"
	"toucanpulley.example/internal/tree"
)

// adopt applies a new bundle to the view and queues it for package route.
func (w *World) adopt(c spread.Adopt) {
	if c.Settings {
		w.view = w.view.WithSettings(c.Bundle.Revision, c.Tree)
		w.rootSettings = c.Tree.Effective(tree.Root)
	}
	if c.Bundle.IndexVersion != w.bundle.IndexVersion || c.Bundle.Leaving.Stamp != w.bundle.Leaving.Stamp {
		leaving := map[model.SearcherID]bool{}
		for _, id := range c.Bundle.Leaving.Searchers {
			leaving[id] = true
		}
		indexes := c.Bundle.Indexes()
		for i, x := range indexes {
			indexes[i] = markLeaving(x, leaving)
		}
		w.view = w.view.WithIndexes(indexes...)
	}
	w.queueRouteBundle(c)
	leavingChanged := c.Bundle.Leaving.Stamp != w.bundle.Leaving.Stamp
	w.bundle, w.dirty = c.Bundle, true
	if leavingChanged {
		w.queueRouteMembers(w.memberList(), nil)
	}
	w.Emit(ServeBundle{Bundle: c.Bundle})
}

// markLeaving returns a copy of an index with its leaving searchers marked.
func markLeaving(x model.Index, leaving map[model.SearcherID]bool) model.Index {
	searchers := make([]model.Searcher, 0, len(x.Searchers))
	for _, s := range x.Searchers {
		searchers = append(searchers, s.WithLeaving(leaving[s.ID]))
	}
	x.Searchers = searchers
	return x
}

// publish is the system that builds and emits a new view if anything changed.
func (w *World) publish() {
	if !w.dirty && !w.addressesChanged {
		return
	}
	w.dirty = false
	w.view = w.view.WithDraining(w.draining).WithReady(w.ready.Ready, w.ready.Reason).
		WithQuarantine(w.quarantined())
	if w.addressesChanged {
		w.addressesChanged = false
		w.view = w.view.WithMembers(w.memberList())
	}
	w.Emit(Publish{w.view})
}

// memberList returns the members sorted by host ID.
func (w *World) memberList() []model.Member {
	list := make([]model.Member, 0, w.members.Len())
	for id := range w.members.All() {
		list = append(list, w.member.Get(id))
	}
	slices.SortFunc(list, func(a, b model.Member) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return list
}

// entryAddress returns the address of a live, ready member, or the zero address.
// Suspects count as live, as most suspicions come from lost messages.
func entryAddress(m model.Member) model.EntryAddress {
	live := m.State == model.MemberAlive || m.State == model.MemberSuspect
	if !live || !m.Ready {
		return model.EntryAddress{}
	}
	return model.EntryAddress{Host: m.Host.ID, Address: m.Host.Entry, FailureDomain: m.Host.FailureDomain, Weight: 1}
}
