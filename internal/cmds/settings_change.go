package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net/http/httptrace"
	"os"
	"os/user"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// defaultChangeTimeout is the default time budget of a change.
const defaultChangeTimeout = 10 * time.Second

// changeCommand holds the flags of the subcommands that submit a change, and prints its
// outcome.
type changeCommand struct {
	settingsCommand
	author       string
	reason       string
	changeID     string
	baseRevision int64
	repeated     bool
	wait         bool
	timeout      time.Duration
}

func (c *changeCommand) setFlags(f *flag.FlagSet) {
	c.settingsCommand.setFlags(f)
	name := ""
	if u, err := user.Current(); err == nil {
		name = u.Username
	}
	f.StringVar(&c.author, "author", name, "who makes the change")
	f.StringVar(&c.reason, "reason", "", "why the change is made; required")
	f.StringVar(&c.changeID, "id", "", "id of the change; generated if empty")
	f.Int64Var(&c.baseRevision, "base", -1, "revision that the change is based on; the one in force on the entry host if negative")
	f.BoolVar(&c.repeated, "again", false, "the change with this -id was sent before")
	f.BoolVar(&c.wait, "wait", false, "wait until every entry host has the revision in force")
	f.DurationVar(&c.timeout, "timeout", defaultChangeTimeout, "time budget of the change, and of -wait")
}

// changeResult is the JSON form of the outcome of a change.
type changeResult struct {
	ChangeID     string         `json:"changeId"`
	BaseRevision uint64         `json:"baseRevision"`
	State        string         `json:"state"`
	Revision     uint64         `json:"revision,omitempty"`
	Message      string         `json:"message,omitempty"`
	Conflicts    []conflict     `json:"conflicts,omitempty"`
	Hosts        []hostRevision `json:"hosts,omitempty"`
}

// conflict is the JSON form of an edit by another change with which the change
// conflicts.
type conflict struct {
	Action   string          `json:"action"`
	Path     string          `json:"path"`
	Key      string          `json:"key,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Author   string          `json:"author"`
	Revision uint64          `json:"revision"`
	ChangeID string          `json:"changeId"`
}

// submit submits a change with the edits, prints its outcome and returns the exit
// status.
func (c *changeCommand) submit(ctx context.Context, edits []*entry.Edit) subcommands.ExitStatus {
	if c.reason == "" || c.author == "" {
		return c.failUsage("settings: -reason and -author are required; the history keeps them")
	}
	if c.repeated && (c.changeID == "" || c.baseRevision < 0) {
		return c.failUsage("settings: -again needs the -id and the -base of the change that was sent before")
	}
	if c.changeID == "" {
		c.changeID = rand.Text()
	}
	if c.baseRevision < 0 {
		base, err := revisionAt(ctx, &c.hostFlags, c.address)
		if err != nil {
			return c.failCall(err, "read revision in force")
		}
		c.baseRevision = int64(base)
	}
	r, err := c.apply(ctx, edits)
	if err != nil {
		return c.failCall(err, "apply change")
	}
	status := c.exitStatus(r.State)
	if r.State == stateAccepted && c.wait {
		r.Hosts, status = c.waitInForce(ctx, r.Revision)
	}
	if c.json {
		if code := c.console.json(r); code != exitOK {
			return code
		}
		return status
	}
	c.print(r)
	return status
}

// apply sends the change. The outcome is unknown if the call fails after it may have
// reached the host. It returns an error if the host rejected the request as invalid,
// or if the change is known not to have run: nothing was sent, or the host refused the
// call before it read the change.
func (c *changeCommand) apply(ctx context.Context, edits []*entry.Edit) (changeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }})
	r := changeResult{ChangeID: c.changeID, BaseRevision: uint64(c.baseRevision)}
	m, err := c.adminClient(c.address).ApplyChange(ctx, connect.NewRequest(&entry.ApplyChangeRequest{
		ChangeId: c.changeID, Author: c.author, Reason: c.reason, BaseRevision: uint64(c.baseRevision), Edits: edits,
		RepeatedSubmission: c.repeated,
	}))
	refusal, _ := wire.RefusalOf(err)
	notRun := !sent.Load() || refusal.Execution == model.NotRun && refusal.Reason != ""
	if err != nil && (connect.CodeOf(err) == connect.CodeInvalidArgument || notRun && !c.repeated) {
		return r, err
	}
	if err != nil {
		r.State, r.Message = stateUnknown, fault.Wrap(err, "apply change", c.address).Error()
		return r, nil
	}
	r.State, r.Revision, r.Message = stateName(m.Msg.GetState()), m.Msg.GetRevision(), m.Msg.GetMessage()
	for _, o := range m.Msg.GetConflicts() {
		r.Conflicts = append(r.Conflicts, conflict{
			Action: actionName(o.GetAction()), Path: o.GetPath(), Key: o.GetKey(), Value: rawValue(o.GetValue()),
			Author: o.GetAuthor(), Revision: o.GetRevision(), ChangeID: o.GetChangeId(),
		})
	}
	return r, nil
}

// rawValue returns a JSON text as a raw message; nil if it is empty, so that the field
// is omitted.
func rawValue(s string) json.RawMessage {
	if s == "" {
		return nil
	}
	return json.RawMessage(s)
}

// States of a change in the output.
const (
	stateAccepted    = "accepted"
	stateNotAccepted = "notAccepted"
	stateUnknown     = "unknown"
)

func stateName(s entry.ChangeState) string {
	switch s {
	case entry.ChangeState_CHANGE_STATE_ACCEPTED:
		return stateAccepted
	case entry.ChangeState_CHANGE_STATE_NOT_ACCEPTED:
		return stateNotAccepted
	default:
		return stateUnknown
	}
}

// exitStatus returns the exit status for the state of a change.
func (c *settingsCommand) exitStatus(state string) subcommands.ExitStatus {
	switch state {
	case stateAccepted:
		return exitOK
	case stateNotAccepted:
		return exitFailed
	default:
		return exitUnknown
	}
}

func (c *changeCommand) print(r changeResult) {
	switch r.State {
	case stateAccepted:
		c.printf("accepted as revision %d (change %s)\n", r.Revision, r.ChangeID)
	case stateNotAccepted:
		c.printf("not accepted (change %s): %s\n", r.ChangeID, r.Message)
		for _, o := range r.Conflicts {
			c.printf("  revision %d, %s: %s\n", o.Revision, o.Author,
				strings.TrimSpace(strings.Join([]string{o.Action, o.Path, o.Key, string(o.Value)}, " ")))
		}
	default:
		c.printf("outcome unknown (change %s): %s\nask later: toucanpulley settings status -address %s -id %s -base %d\n",
			r.ChangeID, r.Message, c.address, r.ChangeID, r.BaseRevision)
	}
	for _, h := range r.Hosts {
		c.printf("  %s\n", h)
	}
}

// settingsSet sets or unsets keys of one node.
type settingsSet struct {
	changeCommand
	create bool
}

func (*settingsSet) Name() string { return "set" }

func (*settingsSet) Synopsis() string { return "set keys of a node" }

func (*settingsSet) Usage() string {
	return `set [flags] PATH KEY=VALUE ...:
  Sets keys of a node; KEY= unsets a key, so that the node inherits it. The
  change is atomic. Exit status 1 if it is not accepted, 3 if the outcome is
  unknown; "settings status" resolves it later. With -wait, exit status 1 if an
  entry host does not have the revision in force in time; these hosts are
  listed.
  Example: toucanpulley settings set -wait -reason "slow fair" /dastkar/jury-desk timeoutMs=900 cutOff=early
`
}

func (s *settingsSet) SetFlags(f *flag.FlagSet) {
	s.setFlags(f)
	f.BoolVar(&s.create, "create", false, "create the node first")
}

func (s *settingsSet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 1 || f.NArg() < 2 && !s.create {
		return s.failUsage("settings set: takes a path and at least one KEY=VALUE")
	}
	path := f.Arg(0)
	var edits []*entry.Edit
	if s.create {
		edits = append(edits, &entry.Edit{Action: entry.EditAction_EDIT_ACTION_CREATE, Path: path})
	}
	for _, a := range f.Args()[1:] {
		key, value, ok := strings.Cut(a, "=")
		if !ok || key == "" {
			return s.failUsage("%q is not a setting; allowed: KEY=VALUE, or KEY= to unset", a)
		}
		e := &entry.Edit{Action: entry.EditAction_EDIT_ACTION_SET, Path: path, Key: key, Value: jsonValue(value)}
		if value == "" {
			e.Action, e.Value = entry.EditAction_EDIT_ACTION_UNSET, ""
		}
		edits = append(edits, e)
	}
	return s.submit(ctx, edits)
}

// jsonValue returns a command-line value as JSON: a whole number or a quoted JSON
// string as that value, anything else as a string.
func jsonValue(s string) string {
	if v, err := wire.DecodeValue([]byte(s)); err == nil {
		return string(wire.EncodeValue(v))
	}
	return string(wire.EncodeJSON(s))
}

// settingsApply applies the edits of a file.
type settingsApply struct{ changeCommand }

func (*settingsApply) Name() string { return "apply" }

func (*settingsApply) Synopsis() string { return "apply several edits atomically" }

func (*settingsApply) Usage() string {
	return `apply [flags] FILE:
  Applies the edits of a JSON file, or of standard input for "-", as one change.
  Actions are create, set, unset and remove. Exit status as for "settings set".
  Example file:
    {"edits": [
      {"action": "create", "path": "/dastkar/jury-desk/portfolios"},
      {"action": "set", "path": "/dastkar/jury-desk/portfolios", "key": "timeoutMs", "value": 900}
    ]}
  Example: toucanpulley settings apply -reason "new scope" edits.json
`
}

func (a *settingsApply) SetFlags(f *flag.FlagSet) { a.setFlags(f) }

func (a *settingsApply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return a.failUsage("settings apply: takes one file")
	}
	data, err := readFile(f.Arg(0))
	if err != nil {
		return a.fail(fault.Wrap(err, "read edits", f.Arg(0)))
	}
	edits, err := wire.DecodeEditFile(data)
	if err != nil {
		return a.failUsage("%s: %v", f.Arg(0), err)
	}
	return a.submit(ctx, wire.EditMessages(edits))
}

// readFile reads a file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// settingsStatus prints the outcome of a change.
type settingsStatus struct {
	settingsCommand
	id   string
	base uint64
}

func (*settingsStatus) Name() string { return "status" }

func (*settingsStatus) Synopsis() string { return "print the outcome of a change" }

func (*settingsStatus) Usage() string {
	return `status [flags] -id ID:
  Prints whether a change was accepted. A change that is not in the history is
  withdrawn, so that it cannot be accepted later. Exit status 0 if it was
  accepted, 1 if not, 3 if that is unknown.
  Example: toucanpulley settings status -id 6ZQ3M5W2 -base 17
`
}

func (s *settingsStatus) SetFlags(f *flag.FlagSet) {
	s.setFlags(f)
	f.StringVar(&s.id, "id", "", "id of the change; required")
	f.Uint64Var(&s.base, "base", 0, "revision that the change is based on; the whole history is searched if 0")
}

func (s *settingsStatus) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.id == "" {
		return s.failUsage("settings status: -id is required")
	}
	r := changeResult{ChangeID: s.id, BaseRevision: s.base, State: stateUnknown}
	m, err := s.adminClient(s.address).ResolveChange(ctx, connect.NewRequest(&entry.ResolveChangeRequest{
		ChangeId: s.id, BaseRevision: s.base,
	}))
	var refused *connect.Error
	switch {
	case errors.As(err, &refused) && refused.Code() == connect.CodeInvalidArgument:
		return s.failCall(err, "resolve change")
	case err != nil:
		r.Message = fault.Wrap(err, "resolve change", s.address).Error()
	default:
		r.State, r.Revision, r.Message = stateName(m.Msg.GetState()), m.Msg.GetRevision(), m.Msg.GetMessage()
	}
	if s.json {
		if code := s.console.json(r); code != exitOK {
			return code
		}
		return s.exitStatus(r.State)
	}
	c := changeCommand{settingsCommand: s.settingsCommand}
	c.print(r)
	return s.exitStatus(r.State)
}
