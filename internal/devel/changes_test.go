package devel

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/plat"
)

// change is the input of an operation on the settings: a change, or a read of
// the newest entry of the history if the id is empty.
type change struct {
	id   string
	path string
	base uint64
}

// outcome is its output.
type outcome struct {
	state    entry.ChangeState
	revision uint64
	conflict bool
	lastID   string
}

// log is the state of the sequential model: the accepted changes in their
// order, and those that must not be accepted any more.
type log struct {
	accepted []change
	refused  []string
}

func (l log) conflicts(c change) bool {
	return slices.ContainsFunc(l.accepted[min(int(c.base), len(l.accepted)):], func(o change) bool { return o.path == c.path })
}

// step is the sequential specification of the settings.
func step(state, input, output any) (bool, any) {
	l, c, o := state.(log), input.(change), output.(outcome)
	accepted := slices.ContainsFunc(l.accepted, func(a change) bool { return a.id == c.id })
	switch {
	case c.id == "":
		n := len(l.accepted)
		return o.revision == uint64(n) && o.lastID == l.accepted[n-1].id, l
	case o.state == entry.ChangeState_CHANGE_STATE_ACCEPTED:
		valid := !accepted && !l.conflicts(c) && !slices.Contains(l.refused, c.id) && o.revision == uint64(len(l.accepted)+1)
		return valid, log{append(slices.Clone(l.accepted), c), l.refused}
	default:
		valid := !accepted && (!o.conflict || l.conflicts(c))
		return valid, log{l.accepted, l.withRefused(c.id)}
	}
}

// withRefused returns the refused changes with another one, in the order of
// their ids: in whatever order changes are refused, the state is the same. The
// checker would otherwise try all orders of concurrent refusals.
func (l log) withRefused(id string) []string {
	at, _ := slices.BinarySearch(l.refused, id)
	return slices.Insert(slices.Clone(l.refused), at, id)
}

// settingsModel is the sequential behaviour of the settings.
func settingsModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return log{accepted: []change{{id: "initial"}}} },
		Step: step,
		Equal: func(a, b any) bool {
			return slices.Equal(a.(log).accepted, b.(log).accepted) && slices.Equal(a.(log).refused, b.(log).refused)
		},
	}
}

// Guards against a check of linearizability that does not end within its minute,
// as one did once in CI, because it tries all orders of concurrent refusals.
func TestCheckerDecidesConcurrentRefusals(t *testing.T) {
	is := is.New(t)
	var list []porcupine.Operation
	for i := range 12 {
		list = append(list, porcupine.Operation{
			ClientId: i, Input: change{id: fmt.Sprint("refused-", i), path: "/a", base: 1}, Call: 0, Return: 100,
			Output: outcome{state: entry.ChangeState_CHANGE_STATE_NOT_ACCEPTED},
		})
	}
	wrong := porcupine.Operation{
		ClientId: 30, Input: change{id: "late", path: "/a", base: 1}, Call: 200, Return: 300,
		Output: outcome{state: entry.ChangeState_CHANGE_STATE_ACCEPTED, revision: 7}, // would be the second revision
	}
	is.Equal(porcupine.CheckOperationsTimeout(settingsModel(), append(list, wrong), time.Minute), porcupine.Illegal)
}

// recorder collects the operations of several clients.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	list  []porcupine.Operation
	count map[string]int
	// open holds changes whose outcome their editor did not find out.
	open []porcupine.Operation
}

func newRecorder() *recorder { return &recorder{start: time.Now(), count: map[string]int{}} }

// do records an operation. All attempts at one change are one operation: it
// takes effect once, between the first call and the first sure answer.
func (r *recorder) do(client int, c change, call func() outcome) {
	op := porcupine.Operation{ClientId: client, Input: c, Call: time.Since(r.start).Nanoseconds()}
	o := call()
	op.Output, op.Return = o, time.Since(r.start).Nanoseconds()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.id != "" {
		r.count[o.state.String()]++
	}
	switch {
	case c.id == "" && o.revision == 0: // the read failed
	case o.state == entry.ChangeState_CHANGE_STATE_UNKNOWN:
		r.open = append(r.open, op)
	default:
		r.list = append(r.list, op)
	}
}

func (r *recorder) note(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[what]++
}

// operations returns all operations. An open one took effect if it is in the
// final history, and otherwise had no effect.
func (r *recorder) operations(final []tree.Record) []porcupine.Operation {
	list := r.list
	for _, op := range r.open {
		record, ok := tree.FindRecord(final, tree.ChangeID(op.Input.(change).id))
		if ok {
			op.Output = outcome{state: entry.ChangeState_CHANGE_STATE_ACCEPTED, revision: uint64(record.Revision)}
			op.Return = time.Since(r.start).Nanoseconds()
			list = append(list, op)
		}
	}
	return list
}

// editor is an operator that changes the settings through any host.
type editor struct {
	site   *Site
	record *recorder
	id     int
	random *rand.Rand
	known  uint64
}

func (e *editor) host() entry.AdminServiceClient {
	hosts := e.site.Entries()
	return entry.NewAdminServiceClient(http.DefaultClient, "http://"+hosts[e.random.IntN(len(hosts))])
}

// patience is how long an editor waits for an answer; it is often too short.
func (e *editor) patience() time.Duration {
	return time.Duration(5+e.random.IntN(60)) * time.Millisecond
}

func call[Q, A any](f func(context.Context, *connect.Request[Q]) (*connect.Response[A], error), timeout time.Duration, q *Q) (*A, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := f(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func (e *editor) apply(c change, repeated bool, patience time.Duration) outcome {
	r, err := call(e.host().ApplyChange, patience, &entry.ApplyChangeRequest{
		ChangeId: c.id, Author: fmt.Sprint("editor-", e.id), Reason: "test", BaseRevision: c.base, RepeatedSubmission: repeated,
		Edits: []*entry.Edit{{
			Action: entry.EditAction_EDIT_ACTION_SET, Path: c.path, Key: "timeoutMs", Value: fmt.Sprint(1000 + len(c.id)),
		}},
	})
	if err != nil {
		return outcome{state: entry.ChangeState_CHANGE_STATE_UNKNOWN}
	}
	return outcome{state: r.GetState(), revision: r.GetRevision(), conflict: len(r.GetConflicts()) > 0}
}

func (e *editor) resolve(c change) outcome {
	r, err := call(e.host().ResolveChange, e.patience(), &entry.ResolveChangeRequest{ChangeId: c.id, BaseRevision: c.base})
	if err != nil {
		return outcome{state: entry.ChangeState_CHANGE_STATE_UNKNOWN}
	}
	return outcome{state: r.GetState(), revision: r.GetRevision()}
}

func (e *editor) history() {
	e.record.do(e.id, change{}, func() outcome {
		r, err := call(e.host().History, 2*time.Second, &entry.HistoryRequest{Limit: 1})
		if err != nil || len(r.GetEntries()) == 0 {
			return outcome{}
		}
		e.known = r.GetEntries()[0].GetRevision()
		return outcome{revision: e.known, lastID: r.GetEntries()[0].GetChangeId()}
	})
}

func (e *editor) run(changes int) {
	services := []string{"jury-desk", "fair-ledger", "dispatch", "hearing-room", "inspect-desk"}
	for i := range changes {
		if e.random.IntN(3) > 0 {
			e.history()
		}
		c := change{
			id:   fmt.Sprintf("editor-%d-%d", e.id, i),
			path: "/dastkar/" + services[e.random.IntN(len(services))], base: max(e.known, 1),
		}
		e.record.do(e.id, c, func() outcome { return e.insist(c) })
	}
}

// insist sends a change until its outcome is sure, or five more times.
func (e *editor) insist(c change) outcome {
	o := e.apply(c, false, e.patience())
	for try := 0; o.state == entry.ChangeState_CHANGE_STATE_UNKNOWN && try < 5; try++ {
		e.record.note("unknown, asked again")
		if e.random.IntN(2) == 0 {
			o = e.resolve(c)
		} else {
			o = e.apply(c, true, e.patience())
		}
	}
	return o
}

// disturb gives the platform faults until the context ends, then heals it.
// Stale reads are left out: a history read from an old state is not
// linearizable, and the rapid test of internal/edit covers them.
func disturb(ctx context.Context, p *plat.Platform, random *rand.Rand) {
	defer p.SetFaults(plat.Faults{})
	for ctx.Err() == nil {
		p.SetFaults(plat.Faults{
			LostReplies: random.IntN(3), Delay: time.Duration(random.IntN(4)) * time.Millisecond, Down: random.IntN(8) == 0,
		})
		time.Sleep(time.Duration(5+random.IntN(20)) * time.Millisecond)
	}
}

// Guards against changes through several entry hosts that are lost, doubled or
// answered wrongly: the history that the callers saw must be linearizable, and
// the tree on the platform must equal the history replayed.
func TestChangesAreLinearizable(t *testing.T) {
	is := is.New(t)
	s, _ := startSite(t)
	record := newRecorder()
	ctx, stop := context.WithCancel(context.Background())
	var faults, editors sync.WaitGroup
	faults.Go(func() { disturb(ctx, s.Platform(), rand.New(rand.NewPCG(1, 2))) })
	for i := range 6 {
		e := &editor{site: s, record: record, id: i, random: rand.New(rand.NewPCG(3, uint64(i)))}
		editors.Go(func() { e.run(15) })
	}
	editors.Wait()
	stop()
	faults.Wait()
	t.Log(record.count)
	is.True(record.count[entry.ChangeState_CHANGE_STATE_ACCEPTED.String()] > 0)
	operations := record.operations(checkReplay(t, s))
	is.Equal(porcupine.CheckOperationsTimeout(settingsModel(), operations, time.Minute), porcupine.Ok)
}

// checkReplay compares the tree on the platform with its history, and returns
// the history.
func checkReplay(t *testing.T, s *Site) []tree.Record {
	t.Helper()
	is := is.New(t)
	ctx := context.Background()
	o, err := s.Platform().Get(ctx, wire.HeadName)
	is.NoErr(err)
	doc, err := wire.DecodeHead(o.Value)
	is.NoErr(err)
	head, err := doc.Head()
	is.NoErr(err)
	records := head.Recent
	for sealed := head.Sealed; sealed > 0; {
		o, err := s.Platform().Get(ctx, wire.HistoryName(sealed))
		is.NoErr(err)
		b, err := wire.DecodeHistory(o.Value)
		is.NoErr(err)
		records, sealed = append(b.Records, records...), b.First-1
	}
	want, err := tree.Replay(records)
	is.NoErr(err)
	var values [][]byte
	for _, name := range head.Segments {
		o, err := s.Platform().Get(ctx, name)
		is.NoErr(err)
		is.Equal(wire.SegmentName(o.Value), name)
		values = append(values, o.Value)
	}
	got, err := wire.DecodeTree(values)
	is.NoErr(err)
	is.Equal(got.Nodes(), want.Nodes())
	is.Equal(int(head.Revision), len(records))
	return records
}

// Guards against an entry host that does not put an accepted change in force,
// or that calls a change not accepted because the caller's connection broke.
func TestAcceptedChangeIsInForceOnEveryHost(t *testing.T) {
	is := is.New(t)
	s, _ := startSite(t)
	s.Platform().SetFaults(plat.Faults{LostReplies: 3})
	e := &editor{site: s, record: newRecorder(), random: rand.New(rand.NewPCG(1, 1))}
	o := e.apply(change{id: "x", path: "/dastkar/jury-desk", base: 1}, false, time.Minute)
	is.Equal(o.state, entry.ChangeState_CHANGE_STATE_ACCEPTED) // every reply was lost, and read back
	for _, a := range s.Entries() {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			r, err := call(entry.NewAdminServiceClient(http.DefaultClient, "http://"+a).ExplainSettings, time.Minute,
				&entry.ExplainSettingsRequest{Path: "/dastkar/jury-desk"})
			is.NoErr(err)
			if r.GetRevision() == o.revision {
				i := slices.IndexFunc(r.GetValues(), func(v *entry.EffectiveValue) bool { return v.GetKey() == "timeoutMs" })
				is.Equal(r.GetValues()[i].GetValue(), "1001")
				is.Equal(r.GetValues()[i].GetSource(), "/dastkar/jury-desk")
				break
			}
			is.True(time.Now().Before(deadline)) // the revision comes into force
		}
	}
}

// Guards against requests that are accepted without author or reason, and
// against messages that do not name the field.
func TestBadChangesAreInvalid(t *testing.T) {
	s, _ := startSite(t)
	good := entry.ApplyChangeRequest{ChangeId: "i", Author: "a", Reason: "r", BaseRevision: 1, Edits: []*entry.Edit{{
		Action: entry.EditAction_EDIT_ACTION_SET, Path: "/dastkar", Key: "weight", Value: "2",
	}}}
	tests := []struct {
		field string
		spoil func(*entry.ApplyChangeRequest)
	}{
		{"author", func(m *entry.ApplyChangeRequest) { m.Author = "" }},
		{"reason", func(m *entry.ApplyChangeRequest) { m.Reason = "" }},
		{"changeId", func(m *entry.ApplyChangeRequest) { m.ChangeId = "" }},
		{"edits", func(m *entry.ApplyChangeRequest) { m.Edits = nil }},
		{"action", func(m *entry.ApplyChangeRequest) { m.Edits = []*entry.Edit{{Action: 99, Path: "/a"}} }},
		{"value", func(m *entry.ApplyChangeRequest) { m.Edits = []*entry.Edit{{Action: 2, Path: "/a", Key: "weight"}} }},
		{"path", func(m *entry.ApplyChangeRequest) { m.Edits = []*entry.Edit{{Action: 1, Path: "a"}} }},
	}
	client := entry.NewAdminServiceClient(http.DefaultClient, "http://"+s.Entries()[0])
	for _, tc := range tests {
		m := &entry.ApplyChangeRequest{
			ChangeId: good.ChangeId, Author: good.Author, Reason: good.Reason, BaseRevision: 1, Edits: good.Edits,
		}
		tc.spoil(m)
		_, err := call(client.ApplyChange, time.Minute, m)
		var refused *connect.Error
		is := is.New(t)
		is.True(errors.As(err, &refused))
		is.Equal(refused.Code(), connect.CodeInvalidArgument)
		is.True(strings.Contains(refused.Message(), tc.field)) // the message names the field
	}
}
