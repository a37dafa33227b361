package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// changeBound is the time within which a change that the store has confirmed must be in
// force on hosts that can reach the store (drain-ms of the deployments with followers).
const changeBound = 5 * time.Second

// newFollower returns a host that holds the data of a watching host and relies on its
// digests.
func newFollower(t *testing.T, watching *host) *host {
	h := newHost(t)
	h.FailureDomain = "d"
	h.loadBoth(1, "a", "b")
	h.tick(RoleAssigned{Joined: true})
	h.result(Configuration, ConfigurationRead{AsOf: 10})
	h.result(Searchers, FleetChanged{AsOf: 10})
	h.tick(DigestReceived{Peer: model.Host{ID: "w", FailureDomain: "d"}, Digest: watching.Digest(watching.now)})
	return h
}

// storeCalls returns the number of calls to the store.
func (h *host) storeCalls() int {
	n := 0
	for _, c := range h.commands {
		switch c.(type) {
		case Read, Watch:
			n++
		}
	}
	return n
}

// newFollowerInOutage returns a watching host and a follower whose last call has failed.
func newFollowerInOutage(t *testing.T) (watching, follower *host) {
	w := newHost(t)
	w.FailureDomain = "d"
	w.loadBoth(1, "a", "b")
	f := newFollower(t, w)
	f.advance(f.maxAge())
	f.result(Searchers, Failed{StartedAt: f.now, Cause: "status 503"})
	return w, f
}

// TestSilentWatchIsNotCurrent guards against hosts that trust a watch whose path to the
// store has fallen silent: the watching host told its peers that its data was current
// until the watch timed out, and they sent requests to searchers that had left.
func TestSilentWatchIsNotCurrent(t *testing.T) {
	is := is.New(t)
	w := newHost(t)
	w.FailureDomain = "d"
	w.loadBoth(1, "a", "b")
	f := newFollower(t, w)
	silentSince, before := f.now, f.storeCalls()
	for f.now.Sub(silentSince) < changeBound && f.storeCalls() == before {
		w.advance(100 * time.Millisecond)
		f.advance(100 * time.Millisecond)
		f.tick(DigestReceived{Peer: model.Host{ID: "w", FailureDomain: "d"}, Digest: w.Digest(w.now)})
	}
	is.True(f.storeCalls() > before)                       // the follower asks the store itself
	is.True(w.Digest(w.now).Age >= f.now.Sub(silentSince)) // the watching host claims no newer data
}

// TestPeerRemovalIsNotHeldBack guards against a host that keeps a searcher whose removal
// its peer has read from the store, because an earlier call of its own to the store
// failed. A host that relies on its peers makes no further call that could succeed.
func TestPeerRemovalIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	_, f := newFollowerInOutage(t)
	is.True(f.StoreUnavailable())
	f.advance(time.Second)
	f.tick(Pulled{Peer: model.Host{ID: "w"}, Catalog: Catalog{Since: 10, Fleet: model.Fleet{
		Revision: 12, Hash: 0, Removed: []model.Removal{{Searcher: "b", Revision: 12}},
	}}})
	is.Equal(f.searchers(), map[model.SearcherID]bool{"a": true})
}

// TestPeersEndAnOutage guards against a host that counts the store as unavailable for as
// long as its peers keep it current, and holds back removals all that time.
func TestPeersEndAnOutage(t *testing.T) {
	is := is.New(t)
	w, f := newFollowerInOutage(t)
	w.advance(f.now.Sub(w.now) + time.Second)
	w.result(Configuration, ConfigurationRead{AsOf: 11})
	w.result(Searchers, FleetChanged{AsOf: 11})
	f.advance(time.Second)
	f.tick(DigestReceived{Peer: model.Host{ID: "w", FailureDomain: "d"}, Digest: w.Digest(w.now)})
	is.True(!f.StoreUnavailable())
}

// leaving returns a registration of a searcher at a revision of the store.
func leaving(id model.SearcherID, left bool, revision uint64) model.Registration {
	r := registrations(id)[0].WithLeaving(left)
	r.Revision = revision
	return r
}

// leaves reports whether a host holds a searcher as leaving.
func (h *host) leaves(id model.SearcherID) bool {
	for _, r := range h.adopted().Fleet.Registrations {
		if r.Searcher.ID == id {
			return r.Searcher.Leaving
		}
	}
	return false
}

// TestOlderListKeepsLeavingSearcher guards against a read of the store that was under way
// while a peer's newer list arrived, and that made a leaving searcher ready again.
func TestOlderListKeepsLeavingSearcher(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(1, "a", "b")
	h.tick(Resumed{}) // starts a read of the searchers
	h.advance(10 * time.Millisecond)
	fleet := model.Fleet{Revision: 20, Registrations: []model.Registration{leaving("a", true, 15), leaving("b", false, 5)}}
	h.tick(Pulled{Peer: model.Host{ID: "p"}, Catalog: Catalog{Fleet: fleet}})
	is.True(h.leaves("a"))
	h.result(Searchers, FleetRead{Registrations: []model.Registration{leaving("a", false, 5), leaving("b", false, 5)}, AsOf: 12})
	is.True(h.leaves("a"))
	h.result(Searchers, FleetChanged{Changes: []Change{{Registration: leaving("a", false, 13)}}, AsOf: 14})
	is.True(h.leaves("a")) // nor does a watch that is behind the peer
	h.advance(watchDelay)
	h.result(Searchers, FleetChanged{Changes: []Change{{Registration: leaving("a", false, 30)}}, AsOf: 31})
	is.True(!h.leaves("a")) // a later change counts
}

// TestLaterReadReplacesList guards against a host that ignores the store's list because
// of a revision that it holds from elsewhere.
func TestLaterReadReplacesList(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(1, "a", "b")
	h.tick(Pulled{Peer: model.Host{ID: "p"}, Catalog: Catalog{Fleet: model.Fleet{Revision: 20, Registrations: []model.Registration{leaving("a", false, 15)}}}})
	h.advance(10 * time.Millisecond)
	h.tick(Resumed{})
	h.result(Searchers, FleetRead{Registrations: registrations("c"), AsOf: 12})
	is.Equal(h.searchers(), map[model.SearcherID]bool{"c": true})
}

// TestLateWriteKeepsLeavingSearcher guards against an earlier write of a searcher's entry
// that the store carries out after its report of leaving, or after its removal: the
// searcher was ready again and got requests.
func TestLateWriteKeepsLeavingSearcher(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(1, "a", "b")
	change := func(removed bool, r model.Registration) {
		h.advance(watchDelay)
		h.result(Searchers, FleetChanged{Changes: []Change{{Registration: r, Removed: removed}}, AsOf: r.Revision})
	}
	change(false, leaving("b", true, 20).WithSequence(8))
	change(false, leaving("b", true, 20)) // from a host of an earlier build
	change(false, leaving("b", false, 21).WithSequence(7))
	is.True(h.leaves("b"))
	change(true, leaving("b", true, 22))
	change(false, leaving("b", false, 23).WithSequence(7))
	is.True(!h.searchers()["b"])
	restarted := leaving("b", false, 24).WithSequence(1)
	restarted.StartMillis = 2
	change(false, restarted)
	is.True(h.searchers()["b"] && !h.leaves("b")) // another start counts anew
	unknown := leaving("b", true, 25)
	unknown.StartMillis = 2
	change(false, unknown)
	is.True(h.leaves("b")) // hosts of earlier builds pass on no sequence
}
