package spread

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

var epoch = time.Unix(1_800_000_000, 0)

func hostIn(id, domain string) model.Host {
	return model.Host{ID: model.HostID(id), Peer: model.Address(id), FailureDomain: model.FailureDomain(domain)}
}

func bundleAt(r model.Revision) Bundle {
	return Bundle{}.WithSettings(r, Object{Name: "settings/head", Version: uint64(r)}, nil)
}

// loaded returns what a peer sent or, if from is empty, the platform's answer
// to a read that began at the epoch.
func loaded(from model.HostID, r model.Revision, d Digest) ObjectsLoaded {
	d.Revision = r
	e := ObjectsLoaded{From: from, Bundle: bundleAt(r), Tree: tree.New(), Digest: d}
	if from == "" {
		e.StartedAt = epoch
	}
	return e
}

func joined(hosts ...model.Host) MembersChanged {
	e := MembersChanged{Joined: true}
	for _, h := range hosts {
		e.Members = append(e.Members, model.Member{Host: h, Incarnation: 1})
	}
	return e
}

// offline is the digest of a ready host that has never reached the platform.
var offline = Digest{PlatformAge: -1, SettingsAge: -1, Ready: true}

func lastCommand[C Command](list []Command) (c C, ok bool) {
	for _, e := range list {
		if typed, is := e.(C); is {
			c, ok = typed, true
		}
	}
	return c, ok
}

// Guards against a host that reverts to a lower revision.
func TestLowerRevisionIsNeverAdopted(t *testing.T) {
	is := is.New(t)
	w := NewWorld(hostIn("a", "karachi-a"))
	out := w.Tick(epoch, []Event{loaded("", 7, offline)})
	adopted, ok := lastCommand[Adopt](out)
	is.True(ok)
	is.Equal(adopted.Bundle.Revision, model.Revision(7))
	out = w.Tick(epoch.Add(time.Second), []Event{loaded("b", 6, offline), loaded("", 5, offline)})
	_, ok = lastCommand[Adopt](out)
	is.True(!ok)
	is.Equal(w.Digest(epoch).Revision, model.Revision(7))
}

// Guards against a new host that serves before it has the highest revision
// known to the platform or, if the platform is unreachable, to peers in every
// failure domain.
func TestReadiness(t *testing.T) {
	lahore, peshawar := hostIn("b", "lahore-a"), hostIn("c", "peshawar-a")
	fresh := Digest{PlatformAge: 0, SettingsAge: 0, Ready: true}
	starting := Digest{PlatformAge: -1, SettingsAge: -1}
	readFailed := LoadFailed{Reason: "connection refused"}
	tests := []struct {
		name   string
		events []Event
		ready  bool
		reason string
	}{
		{"nothing is known", nil, false, "no settings are known"},
		{"the platform answered", []Event{loaded("", 3, offline)}, true, ""},
		{"the platform is unreachable and no peer has settings", []Event{readFailed}, false, "the platform is away: connection refused"},
		{"one domain has not answered", []Event{joined(lahore, peshawar), readFailed, loaded("b", 3, offline)}, false, "peshawar-a"},
		{"peers of every domain answered", []Event{joined(lahore, peshawar), readFailed, loaded("b", 3, offline), loaded("c", 3, offline)}, true, ""},
		{"a peer has a higher revision", []Event{joined(lahore, peshawar), readFailed, loaded("b", 3, offline), DigestReceived{"c", Digest{Revision: 4, SettingsAge: -1, Ready: true}}}, false, ""},
		{"the platform may still answer", []Event{joined(lahore, peshawar), loaded("b", 3, offline), loaded("c", 3, offline)}, false, "not been compared"},
		{"a peer has just read the settings", []Event{joined(lahore, peshawar), loaded("b", 3, fresh)}, true, ""},
		{"a listed host is in another domain", []Event{joined(lahore), ContactsKnown{Hosts: []model.Host{peshawar}}, readFailed, loaded("b", 3, offline)}, false, "peshawar-a"},
		{"a domain's only answer is from a host that starts", []Event{joined(lahore, hostIn("d", "lahore-a")), readFailed, loaded("b", 3, starting)}, false, "lahore-a"},
		{"every host of a domain starts", []Event{joined(lahore, hostIn("d", "lahore-a"), peshawar), readFailed, DigestReceived{"b", starting}, DigestReceived{"d", starting}, loaded("c", 3, offline)}, true, ""},
		{"all hosts start", []Event{joined(lahore, peshawar), readFailed, DigestReceived{"b", starting}, DigestReceived{"c", starting}}, false, "no settings are known"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := NewWorld(hostIn("a", "karachi-a"))
			w.Tick(epoch, nil)
			w.Tick(epoch.Add(2*time.Second), nil) // the first read is in flight
			w.Tick(epoch.Add(2*time.Second), tt.events)
			w.Tick(epoch.Add(2*time.Second+time.Millisecond), nil)
			is.Equal(w.lastReady.Ready, tt.ready)
			is.True(strings.Contains(w.lastReady.Reason, tt.reason))
		})
	}
}

// Guards against a host that stops serving during a platform outage, or because
// no peer answers while the platform does, and against a host that serves although
// it can reach neither.
func TestOnlyIsolatedHostStopsServing(t *testing.T) {
	for _, tt := range []struct{ peers, platform bool }{{true, false}, {false, true}, {false, false}} {
		is := is.New(t)
		w := NewWorld(hostIn("a", "karachi-a"))
		w.Tick(epoch, []Event{joined(hostIn("b", "lahore-a")), loaded("", 3, offline), DigestReceived{"b", offline}})
		is.True(w.lastReady.Ready)
		for i := 1; i < 120; i++ {
			var inbox []Event
			if tt.peers {
				inbox = append(inbox, DigestReceived{"b", Digest{Revision: 3, SettingsAge: -1}})
			}
			now := epoch.Add(time.Duration(i) * 250 * time.Millisecond)
			if _, reads := lastCommand[ReadPlatform](w.Tick(now, inbox)); !reads {
				continue
			}
			if tt.platform {
				answer := loaded("", 3, offline)
				answer.StartedAt = now
				w.Tick(now, []Event{answer})
			} else {
				w.Tick(now, []Event{LoadFailed{Reason: "connection refused"}})
			}
			is.True(w.lastReady.Ready || !tt.peers && !tt.platform)
		}
		is.Equal(w.lastReady.Ready, tt.peers || tt.platform)
		if w.lastReady.Ready {
			continue
		}
		is.True(strings.Contains(w.lastReady.Reason, "cut off from the platform and from all peers"))
		w.Tick(epoch.Add(40*time.Second), []Event{DigestReceived{"b", Digest{Revision: 3, SettingsAge: -1}}})
		w.Tick(epoch.Add(41*time.Second), nil) // pulls from the peer
		answer := loaded("b", 3, offline)
		answer.StartedAt = epoch.Add(41 * time.Second)
		w.Tick(epoch.Add(41*time.Second), []Event{answer})
		is.True(w.lastReady.Ready)
	}
}

// Guards against a host that serves after a pause on the basis of its old
// bundle or of a message that was queued during the pause.
func TestSuspendedHostQueriesPeersBeforeServing(t *testing.T) {
	is := is.New(t)
	w := NewWorld(hostIn("a", "karachi-a"))
	w.Tick(epoch, []Event{joined(hostIn("b", "lahore-a")), loaded("", 3, offline)})
	old := loaded("b", 3, offline) // answers a request from before the pause
	old.StartedAt = epoch.Add(30 * time.Second)
	out := w.Tick(epoch.Add(time.Minute), []Event{Suspended{"paused"}, old, DigestReceived{"b", Digest{Revision: 3, SettingsAge: 0, Ready: true}}})
	is.True(!w.lastReady.Ready)
	_, pulls := lastCommand[PullFrom](out)
	is.True(pulls)
	w.Tick(epoch.Add(time.Minute), []Event{DigestReceived{"b", Digest{Revision: 4, SettingsAge: -1, Ready: true}}, LoadFailed{From: "b"}})
	is.True(!w.lastReady.Ready)
	w.Tick(epoch.Add(61*time.Second), nil)
	answer := loaded("b", 4, offline)
	answer.StartedAt = epoch.Add(61 * time.Second)
	w.Tick(epoch.Add(61*time.Second), []Event{answer})
	is.True(w.lastReady.Ready)
}

// Guards against simultaneous reads by all hosts after an outage: the delay
// between reads grows up to 30 s and has jitter.
func TestPlatformReadsHaveJitterAndBackoff(t *testing.T) {
	is := is.New(t)
	firstDelays := map[time.Duration]bool{}
	for range 20 {
		w := NewWorld(hostIn("a", "karachi-a"))
		reads, firstDelay := 0, time.Duration(-1)
		for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = w.Next() {
			if _, ok := lastCommand[ReadPlatform](w.Tick(now, nil)); ok {
				reads++
				if firstDelay < 0 {
					firstDelay = now.Sub(epoch)
				}
				w.Tick(now, []Event{LoadFailed{Reason: "down"}})
			}
		}
		firstDelays[firstDelay] = true
		is.True(firstDelay <= firstReadJitter)
		is.True(reads >= 10 && reads <= 45) // about 9 while the delay grows, then 2 per minute
	}
	is.True(len(firstDelays) > 10)
}

// Guards against too many or too few watchers in a failure domain.
func TestWatchersOfADomain(t *testing.T) {
	is := is.New(t)
	var hosts []model.Host
	for _, id := range strings.Fields("a b c d e f g") {
		hosts = append(hosts, hostIn(id, "karachi-a"), hostIn(id+"2", "lahore-a"))
	}
	watchers := map[model.FailureDomain]int{}
	for _, h := range hosts {
		w := NewWorld(h)
		if _, ok := lastCommand[Watch](w.Tick(epoch, []Event{joined(hosts...)})); ok {
			watchers[h.FailureDomain]++
		}
	}
	is.Equal(watchers, map[model.FailureDomain]int{"karachi-a": 2, "lahore-a": 2})
}

// Guards against omitting a segment or index object that a peer lacks.
func TestBundleListsChangedObjects(t *testing.T) {
	is := is.New(t)
	first := Bundle{}.WithSettings(5, Object{}, map[string][]byte{"s1": {1}, "s2": {2}})
	second := first.WithSettings(8, Object{}, map[string][]byte{"s1": {1}, "s3": {3}})
	is.Equal(second.SegmentsSince(5), []Object{{Name: "s3", Value: []byte{3}}})
	is.Equal(len(second.SegmentsSince(4)), 2)
	is.Equal(len(second.SegmentsSince(8)), 0)
	x := second.WithIndexes(9, []Object{{Name: "index/a", Version: 7}, {Name: "index/b", Version: 9}}, nil)
	is.Equal(x.IndexesSince(7), []Object{{Name: "index/b", Version: 9}})
	old := x.WithIndexes(8, []Object{{Name: "index/b", Version: 8}}, nil)
	is.Equal(old.IndexVersion, uint64(9))
	is.Equal(old.IndexesSince(7), []Object{{Name: "index/b", Version: 9}})
}

// Guards against a host that waits forever for a peer which does not answer,
// and against retries without a delay.
func TestPullsAreRetriedWithDelay(t *testing.T) {
	newer := Digest{Revision: 9, PlatformAge: -1, SettingsAge: -1, Ready: true}
	tests := []struct {
		name     string
		answer   Event
		minDelay time.Duration
		maxDelay time.Duration
	}{
		{"no answer", nil, minPullTimeout, minPullTimeout},
		{"failure", LoadFailed{From: "b"}, pullRetryDelay, 2 * pullRetryDelay},
		{"fewer objects than in the digest", ObjectsLoaded{From: "b", Bundle: bundleAt(3), Digest: newer}, pullRetryDelay, 2 * pullRetryDelay},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := NewWorld(hostIn("a", "karachi-a"))
			w.Tick(epoch, []Event{joined(hostIn("b", "karachi-a")), loaded("", 3, offline)})
			_, pulls := lastCommand[PullFrom](w.Tick(epoch, []Event{DigestReceived{"b", newer}}))
			is.True(pulls)
			var inbox []Event
			if tt.answer != nil {
				inbox = append(inbox, tt.answer)
			}
			retried, now := false, epoch
			for !retried && now.Before(epoch.Add(time.Minute)) {
				_, retried = lastCommand[PullFrom](w.Tick(now, inbox))
				inbox = nil
				if !retried {
					now = w.Next()
				}
			}
			is.True(now.Sub(epoch) >= tt.minDelay)
			is.True(now.Sub(epoch) <= tt.maxDelay)
		})
	}
}

// Guards against starting hosts that all become watchers. A host that reaches
// neither peers nor the platform does not watch, and a host that reaches the
// platform first waits one second for peers.
func TestStartingHostDoesNotWatch(t *testing.T) {
	is := is.New(t)
	w := NewWorld(hostIn("a", "karachi-a"))
	for now := epoch; now.Before(epoch.Add(10 * time.Minute)); now = w.Next() {
		out := w.Tick(now, nil)
		_, watches := lastCommand[Watch](out)
		is.True(!watches)
		if _, ok := lastCommand[ReadPlatform](out); ok {
			w.Tick(now, []Event{LoadFailed{Reason: "down"}})
		}
	}
	w = NewWorld(hostIn("a", "karachi-a"))
	w.Tick(epoch, nil)
	_, watches := lastCommand[Watch](w.Tick(epoch.Add(time.Second), []Event{loaded("", 3, offline)}))
	is.True(!watches)
	_, watches = lastCommand[Watch](w.Tick(epoch.Add(time.Second+2*joinWait), nil))
	is.True(watches)
}

// Guards against a leaving searcher that gets new requests because another
// watcher reads an older host list, and against a searcher that stays on the
// leaving list after it has returned.
func TestStaleReaderDoesNotShortenLeavingList(t *testing.T) {
	is := is.New(t)
	listed, empty := LeavingRead{LeavingList{Searchers: []model.SearcherID{"s1"}}}, LeavingRead{}
	w := NewWorld(hostIn("a", "karachi-a"))
	w.Tick(epoch, []Event{listed})              // not a watcher yet
	is.Equal(w.bundle.Leaving.Stamp, uint64(1)) // below that of any watcher
	w.Tick(epoch, []Event{joined(hostIn("b", "lahore-a")), loaded("", 3, offline)})
	w.Tick(epoch, []Event{empty})
	remote := LeavingList{Stamp: uint64(epoch.UnixMilli()) + 5000, Searchers: []model.SearcherID{"s1"}} // the clock of b is ahead
	w.Tick(epoch, []Event{ObjectsLoaded{From: "b", Bundle: bundleAt(3).WithLeaving(remote), Digest: offline}})
	for i := range 20 {
		w.Tick(epoch.Add(time.Duration(i)*time.Second), []Event{empty}) // the reader lags
		is.Equal(w.bundle.Leaving, remote)
	}
	w.Tick(epoch.Add(21*time.Second), []Event{listed})
	is.Equal(w.bundle.Leaving, remote)
	out := w.Tick(epoch.Add(22*time.Second), []Event{empty}) // the searcher has returned
	_, adopted := lastCommand[Adopt](out)
	is.True(adopted)
	is.Equal(len(w.bundle.Leaving.Searchers), 0)
	is.True(w.bundle.Leaving.Stamp > remote.Stamp)
	w.Tick(epoch.Add(23*time.Second), []Event{listed})
	is.Equal(w.bundle.Leaving.Searchers, []model.SearcherID{"s1"}) // a change takes effect at once
	stale := LeavingList{Stamp: w.bundle.Leaving.Stamp + 1}
	w.Tick(epoch.Add(23*time.Second), []Event{ObjectsLoaded{From: "b", Bundle: bundleAt(3).WithLeaving(stale), Digest: offline}})
	w.Tick(epoch.Add(24*time.Second), []Event{listed})
	w.Tick(epoch.Add(24*time.Second+leavingAddDelay), []Event{listed})
	is.Equal(w.bundle.Leaving.Searchers, []model.SearcherID{"s1"}) // the missing searcher is added again
}
