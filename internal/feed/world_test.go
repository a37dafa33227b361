package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
)

// host drives a world with a manual clock.
type host struct {
	*World
	t        *testing.T
	now      time.Time
	commands []Command
}

// newHost returns a host that watches the store.
func newHost(t *testing.T) *host {
	h := &host{World: NewWorld(), t: t, now: time.Unix(1000, 0)}
	h.tick(RoleAssigned{Watch: true})
	return h
}

// tick runs the world. It fails if the next deadline is not after the tick,
// which would make the event loop spin.
func (h *host) tick(events ...Event) {
	h.commands = append(h.commands, h.Tick(h.now, events)...)
	if next := h.Next(); !next.IsZero() && !next.After(h.now) {
		h.t.Fatalf("the next deadline is %v before the current tick", h.now.Sub(next))
	}
}

// advance moves the clock by d and ticks at each deadline on the way.
func (h *host) advance(d time.Duration) {
	end := h.now.Add(d)
	for next := h.Next(); !next.IsZero() && !next.After(end); next = h.Next() {
		h.now = next
		h.tick()
	}
	h.now = end
	h.tick()
}

// latestCall returns the ID of the latest call for a topic and whether it is a
// read.
func (h *host) latestCall(t Topic) (callID uint64, read bool) {
	for _, c := range h.commands {
		switch c := c.(type) {
		case Read:
			if c.Topic == t && c.CallID > callID {
				callID, read = c.CallID, true
			}
		case Watch:
			if c.Topic == t && c.CallID > callID {
				callID, read = c.CallID, false
			}
		}
	}
	return callID, read
}

// result ends the latest call for a topic.
func (h *host) result(t Topic, e Event) {
	callID, _ := h.latestCall(t)
	h.tick(Result{Topic: t, CallID: callID, Event: e})
}

// loadBoth completes the initial reads of both topics.
func (h *host) loadBoth(version model.Revision, searchers ...model.SearcherID) {
	h.result(Configuration, ConfigurationRead{Known: true, Configuration: configuration(version), AsOf: 10})
	h.result(Searchers, FleetRead{Registrations: registrations(searchers...), AsOf: 10})
}

// adopted returns the last adopted catalog.
func (h *host) adopted() Catalog {
	var c Catalog
	for _, command := range h.commands {
		if a, ok := command.(Adopt); ok {
			c = a.Catalog
		}
	}
	return c
}

func (h *host) searchers() map[model.SearcherID]bool {
	ids := map[model.SearcherID]bool{}
	for _, r := range h.adopted().Fleet.Registrations {
		ids[r.Searcher.ID] = true
	}
	return ids
}

func configuration(version model.Revision) model.Configuration {
	return model.NewConfiguration(version, nil, nil, model.Limits{})
}

func registrations(ids ...model.SearcherID) []model.Registration {
	var list []model.Registration
	for _, id := range ids {
		list = append(list, model.Registration{Searcher: model.Searcher{ID: id}, Service: "s", StartMillis: 1})
	}
	return list
}

// TestLostHistoryRereadsAllTopics guards against rereading only the topic whose
// watch reports lost history. The watch of the other topic may have missed
// changes too; the configuration stayed five seconds behind that way.
func TestLostHistoryRereadsAllTopics(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(3, "a")
	abandoned, read := h.latestCall(Configuration)
	is.True(!read)
	h.result(Searchers, Failed{HistoryLost: true, StartedAt: h.now})
	callID, read := h.latestCall(Configuration)
	is.True(read && callID > abandoned) // the configuration is reread as well
	h.result(Configuration, ConfigurationRead{Known: true, Configuration: configuration(6), AsOf: 20})
	is.Equal(h.adopted().Configuration.Version, model.Revision(6))
	// The late result of the abandoned watch must not count as the new call's.
	h.tick(Result{Topic: Configuration, CallID: abandoned, Event: Failed{StartedAt: h.now, Cause: "timeout"}})
	is.True(!h.StoreUnavailable())
}

// TestConfigurationVersionNeverDecreases guards against a peer's older copy or a
// stale read replacing a newer configuration.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(6, "a")
	h.tick(Pulled{Peer: model.Host{ID: "p"}, Catalog: Catalog{Configuration: configuration(5), Fleet: model.Fleet{Revision: 1}}})
	h.result(Configuration, ConfigurationRead{Known: true, Configuration: configuration(4), AsOf: 30})
	is.Equal(h.adopted().Configuration.Version, model.Revision(6))
	is.True(h.searchers()["a"]) // the older fleet of the peer is ignored as well
}

// TestMissingEntriesAreKeptAfterOutage guards against removing searchers whose
// entries expired only because the store was unavailable.
func TestMissingEntriesAreKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(1, "a", "b", "c")
	startedAt := h.now
	h.advance(4 * time.Second)
	h.result(Searchers, Failed{StartedAt: startedAt, Cause: "reset"})
	is.True(h.StoreUnavailable())
	h.advance(time.Second)
	h.result(Searchers, Failed{HistoryLost: true, StartedAt: h.now})
	h.result(Searchers, FleetRead{Registrations: registrations("a"), AsOf: 50})
	is.Equal(len(h.searchers()), 3) // b and c are within the grace period
	h.advance(time.Second)
	h.result(Searchers, FleetChanged{Changes: []Change{{Registration: registrations("b")[0]}}, AsOf: 60})
	h.advance(2 * time.Second)
	is.Equal(h.searchers(), map[model.SearcherID]bool{"a": true, "b": true})
}

// TestRemovedEntryIsDroppedImmediately guards against requests to a searcher that
// left while the store was available throughout.
func TestRemovedEntryIsDroppedImmediately(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(1, "a", "b")
	h.result(Searchers, FleetChanged{Changes: []Change{{Registration: registrations("b")[0], Removed: true}}, AsOf: 11})
	is.Equal(h.searchers(), map[model.SearcherID]bool{"a": true})
}

// TestPullFromPeerDuringOutage guards against a new process that serves nothing
// during a store outage although its peers have the data.
func TestPullFromPeerDuringOutage(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	for _, topic := range []Topic{Configuration, Searchers} {
		h.result(topic, Failed{StartedAt: h.now, Cause: "refused"})
	}
	h.tick(DigestReceived{Peer: model.Host{ID: "p"}, Digest: Digest{Version: 4, FleetRevision: 9, FleetHash: 1}})
	h.advance(100 * time.Millisecond)
	pulled := false
	for _, c := range h.commands {
		if p, ok := c.(PullFrom); ok {
			pulled = p.Peer.ID == "p"
		}
	}
	is.True(pulled)
	h.tick(Pulled{Peer: model.Host{ID: "p"}, Catalog: Catalog{
		Configuration: configuration(4), Fleet: model.Fleet{Revision: 9, Registrations: registrations("a")},
	}})
	is.Equal(h.adopted().Configuration.Version, model.Revision(4))
	is.True(h.searchers()["a"])
}

// TestFollowerReadsStoreWithoutWatchers guards against a host that relies on its
// peers to watch the store and never notices that all of them are gone.
func TestFollowerReadsStoreWithoutWatchers(t *testing.T) {
	is := is.New(t)
	h := newHost(t)
	h.loadBoth(1, "a")
	h.tick(RoleAssigned{Joined: true})
	digest := h.Digest(h.now)
	calls := func() int {
		n := 0
		for _, c := range h.commands {
			switch c.(type) {
			case Read, Watch:
				n++
			}
		}
		return n
	}
	h.result(Configuration, Failed{StartedAt: h.now, Cause: "cut"})
	h.result(Searchers, Failed{StartedAt: h.now, Cause: "cut"})
	before := calls()
	for range 10 { // a watching peer sends its digest each second
		h.tick(DigestReceived{Peer: model.Host{ID: "p"}, Digest: digest})
		h.advance(time.Second)
	}
	is.Equal(calls(), before)
	h.advance(h.maxAge())
	is.Equal(calls(), before+2) // the configuration and the searchers
}

// TestLapsedEntriesAreNotShared guards against a host that was cut off from the
// store and passes on searchers whose entries are gone. A peer that had removed
// such a searcher added it again and sent it requests for three seconds.
func TestLapsedEntriesAreNotShared(t *testing.T) {
	is := is.New(t)
	partitioned, peer := newHost(t), newHost(t)
	partitioned.loadBoth(1, "a", "b")
	peer.loadBoth(1, "a")
	startedAt := partitioned.now
	partitioned.advance(time.Second)
	partitioned.result(Searchers, Failed{StartedAt: startedAt, Cause: "silent"})
	partitioned.advance(time.Second)
	partitioned.result(Searchers, Failed{HistoryLost: true, StartedAt: partitioned.now})
	partitioned.result(Searchers, FleetRead{Registrations: registrations("a"), AsOf: 50})
	is.Equal(len(partitioned.searchers()), 2) // b may register again
	is.Equal(partitioned.Digest(partitioned.now).FleetHash, peer.Digest(peer.now).FleetHash)
	lapsed := 0
	for _, r := range partitioned.adopted().Fleet.Registrations {
		if r.Lapsed {
			lapsed++
		}
	}
	is.Equal(lapsed, 1)
}
