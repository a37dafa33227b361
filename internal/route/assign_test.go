package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/tree"
)

var start = time.Unix(1_000_000, 0)

func newMember(n, domains int) model.Member {
	d := model.FailureDomain(fmt.Sprintf("domain-%d", n%domains))
	id := model.HostID(fmt.Sprintf("host-%d", n))
	return model.Member{Ready: true, Incarnation: 1, Host: model.Host{
		ID: id, Entry: model.Address(id + ":1"), Peer: model.Address(id + ":2"), FailureDomain: d,
	}}
}

func newIndex(name string, searcherCap int) model.Index {
	return model.Index{Service: model.ServiceName(name), Searchers: []model.Searcher{
		{ID: model.SearcherID(name + "-a"), Slots: 3, ConnectionCap: searcherCap},
		{ID: model.SearcherID(name + "-b"), Slots: 3, ConnectionCap: searcherCap + 5},
	}}
}

func newSettings(t testing.TB, values map[tree.Key]int64) tree.Tree {
	t.Helper()
	s := tree.New()
	var err error
	for k, v := range values {
		if s, err = s.WithValue(tree.Root, k, tree.Number(v)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func latestAssigned(commands []Command, old Assigned) Assigned {
	for _, c := range commands {
		if a, ok := c.(Assigned); ok {
			old = a
		}
	}
	return old
}

// Guards against an answer with a host that is not alive and ready, an answer
// that reuses a failure domain while another has a candidate, and an answer
// that depends on the order in which members were reported.
func TestAddressesDependOnMembersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		subset := rapid.IntRange(1, 5).Draw(t, "subset")
		tr, err := tree.New().WithValue(tree.Root, tree.KeySubset, tree.Number(int64(subset)))
		if err != nil {
			t.Fatal(err)
		}
		indexes := IndexesChanged{[]model.Index{newIndex("jury-desk", 25), newIndex("fair-ledger", 25)}}
		w := NewWorld("host-0", 1)
		got := latestAssigned(w.Tick(start, []Event{SettingsChanged{tr}, indexes}), Assigned{})
		final := map[int]model.Member{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			n := rapid.IntRange(0, hosts-1).Draw(t, "host")
			m := newMember(n, domains).WithState(rapid.SampledFrom([]model.MemberState{
				model.MemberAlive, model.MemberAlive, model.MemberSuspect, model.MemberFailed, model.MemberLeaving, model.MemberLeft,
			}).Draw(t, "state")).WithReady(rapid.Float64().Draw(t, "ready") < 0.8)
			final[n] = m
			got = latestAssigned(w.Tick(start, []Event{MembersChanged{[]model.Member{m}}}), got)
		}
		var all []model.Member
		for _, m := range final {
			all = append(all, m) // in random order
		}
		second := NewWorld("host-1", 2)
		want := latestAssigned(second.Tick(start, []Event{MembersChanged{all}, indexes, SettingsChanged{tr}}), Assigned{})
		for n, a := range want.Addresses {
			if fmt.Sprint(a) != fmt.Sprint(got.Addresses[n]) {
				t.Fatalf("equal members give %v and %v", got.Addresses[n], a)
			}
			checkAnswer(t, a, final, subset)
		}
	})
}

func checkAnswer(t *rapid.T, answer []model.EntryAddress, members map[int]model.Member, subset int) {
	usable := map[model.HostID]model.Member{}
	left := map[model.FailureDomain]int{}
	for _, m := range members {
		if m.State == model.MemberAlive && m.Ready {
			usable[m.Host.ID] = m
			left[m.Host.FailureDomain]++
		}
	}
	if want := min(len(usable), subset+extraAddresses); len(answer) != want {
		t.Fatalf("answer has %d hosts, want %d", len(answer), want)
	}
	used := map[model.FailureDomain]int{}
	for i, a := range answer {
		if _, ok := usable[a.Host]; !ok {
			t.Fatalf("answer contains host %s, which is not alive and ready", a.Host)
		}
		delete(usable, a.Host)
		for d, n := range left {
			if n > 0 && used[d] < used[a.FailureDomain] {
				t.Fatalf("domain %s is used again before %s", a.FailureDomain, d)
			}
		}
		used[a.FailureDomain]++
		left[a.FailureDomain]--
		if (a.Weight == assignedWeight) != (i < subset) {
			t.Fatalf("host %d of the answer has weight %d", i, a.Weight)
		}
	}
}

// Guards against a change of one member that reassigns services between other
// hosts.
func TestFailedHostReassignsOnlyItsServices(t *testing.T) {
	is := is.New(t)
	w := NewWorld("host-0", 1)
	var members []model.Member
	for n := range 60 {
		members = append(members, newMember(n, 6))
	}
	var indexes []model.Index
	for n := range 100 {
		indexes = append(indexes, newIndex(fmt.Sprintf("service-%d", n), 25))
	}
	before := latestAssigned(w.Tick(start, []Event{MembersChanged{members}, IndexesChanged{indexes}}), Assigned{})
	after := latestAssigned(w.Tick(start, []Event{MembersChanged{[]model.Member{members[7].WithState(model.MemberFailed)}}}), before)
	reassigned := 0
	for n, o := range before.Addresses {
		hadHost := false
		for _, a := range o {
			hadHost = hadHost || a.Host == members[7].Host.ID
		}
		if fmt.Sprint(o) != fmt.Sprint(after.Addresses[n]) {
			reassigned++
			is.True(hadHost) // only services of the failed host are reassigned
		}
	}
	is.True(reassigned > 0)
}

// BenchmarkAssignment measures a full computation, a single change and an idle
// tick with 680 services, 6,700 members and 23 failure domains, the size expected
// in two years.
func BenchmarkAssignment(b *testing.B) {
	var members []model.Member
	for n := range 6700 {
		members = append(members, newMember(n, 23))
	}
	var indexes []model.Index
	for n := range 680 {
		indexes = append(indexes, newIndex(fmt.Sprintf("service-%d", n), 25))
	}
	b.Run("full", func(b *testing.B) {
		for range b.N {
			w := NewWorld("host-0", 1)
			w.Tick(start, []Event{IndexesChanged{indexes}, MembersChanged{members}})
		}
	})
	w := NewWorld("host-0", 1)
	w.Tick(start, []Event{IndexesChanged{indexes}, MembersChanged{members}})
	r := rand.New(rand.NewPCG(1, 2))
	b.Run("change", func(b *testing.B) {
		for range b.N {
			m := members[r.IntN(len(members))]
			w.Tick(start, []Event{MembersChanged{[]model.Member{m.WithState(model.MemberFailed)}}})
			w.Tick(start, []Event{MembersChanged{[]model.Member{m}}})
		}
	})
	b.Run("idle", func(b *testing.B) {
		for range b.N {
			w.Tick(start, nil)
		}
	})
}
