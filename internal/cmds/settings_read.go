package cmds

import (
	"context"
	"flag"
	"maps"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"toucanpulley.example/pkg/entry"
)

// settingsGet prints nodes with the values set on them.
type settingsGet struct{ settingsCommand }

func (*settingsGet) Name() string { return "get" }

func (*settingsGet) Synopsis() string { return "print the values set at and below a node" }

func (*settingsGet) Usage() string {
	return `get [flags] [PATH]:
  Prints the nodes at and below a path, with the values set on them, of the
  revision that is in force on the entry host.
  Example: toucanpulley settings get -address 127.0.0.1:7100 /dastkar/jury-desk
`
}

func (g *settingsGet) SetFlags(f *flag.FlagSet) { g.setFlags(f) }

func (g *settingsGet) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := pathArgument(f)
	if !ok {
		return g.failUsage("settings get: takes one path")
	}
	r, err := g.adminClient(g.address).GetSettings(ctx, connect.NewRequest(&entry.GetSettingsRequest{Path: path}))
	if err != nil {
		return g.failCall(err, "get settings")
	}
	if g.json {
		return g.printMessage(r.Msg)
	}
	g.printf("revision %d\n", r.Msg.GetRevision())
	for _, n := range r.Msg.GetNodes() {
		g.printf("%s (%s)\n", n.GetPath(), n.GetKind())
		for _, k := range slices.Sorted(maps.Keys(n.GetValues())) {
			g.printf("  %s = %s\n", k, n.GetValues()[k])
		}
	}
	return exitOK
}

// settingsExplain prints the effective values of a node with their sources.
type settingsExplain struct{ settingsCommand }

func (*settingsExplain) Name() string { return "explain" }

func (*settingsExplain) Synopsis() string {
	return "print every effective value of a node and its source"
}

func (*settingsExplain) Usage() string {
	return `explain [flags] [PATH]:
  Prints the value of every key at a node and the node that set it.
  Example: toucanpulley settings explain /dastkar/jury-desk
`
}

func (e *settingsExplain) SetFlags(f *flag.FlagSet) { e.setFlags(f) }

func (e *settingsExplain) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path, ok := pathArgument(f)
	if !ok {
		return e.failUsage("settings explain: takes one path")
	}
	r, err := e.adminClient(e.address).ExplainSettings(ctx, connect.NewRequest(&entry.ExplainSettingsRequest{Path: path}))
	if err != nil {
		return e.failCall(err, "explain settings")
	}
	if e.json {
		return e.printMessage(r.Msg)
	}
	e.printf("revision %d, %s\n", r.Msg.GetRevision(), path)
	for _, v := range r.Msg.GetValues() {
		source := v.GetSource()
		if source == "" {
			source = "default"
		}
		e.printf("  %-24s %-10s %s\n", v.GetKey(), v.GetValue(), source)
	}
	return exitOK
}

// maxHistoryEntries is the largest number of changes that a host returns at once.
const maxHistoryEntries = 1000

// settingsHistory prints the accepted changes.
type settingsHistory struct {
	settingsCommand
	limit  uint
	before uint64
}

func (*settingsHistory) Name() string { return "history" }

func (*settingsHistory) Synopsis() string { return "print accepted changes, newest first" }

func (*settingsHistory) Usage() string {
	return `history [flags]:
  Prints who changed what, when and why, newest first, as the platform holds it.
  Example: toucanpulley settings history -limit 100 -json
`
}

func (h *settingsHistory) SetFlags(f *flag.FlagSet) {
	h.setFlags(f)
	f.UintVar(&h.limit, "limit", 20, "largest number of changes, 1 to 1000")
	f.Uint64Var(&h.before, "before", 0, "print only revisions before this one; all if 0")
}

func (h *settingsHistory) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	r, err := h.adminClient(h.address).History(ctx, connect.NewRequest(&entry.HistoryRequest{
		Limit: uint32(min(h.limit, maxHistoryEntries)), BeforeRevision: h.before,
	}))
	if err != nil {
		return h.failCall(err, "read history")
	}
	if h.json {
		return h.printMessage(r.Msg)
	}
	for _, e := range r.Msg.GetEntries() {
		when := time.UnixMilli(e.GetTimeMs()).UTC().Format(time.RFC3339)
		h.printf("%d  %s  %s: %s (change %s, on revision %d)\n", e.GetRevision(), when, e.GetAuthor(), e.GetReason(),
			e.GetChangeId(), e.GetBaseRevision())
		for _, d := range e.GetEdits() {
			h.printf("    %s\n", editText(d.GetAction(), d.GetPath(), d.GetKey(), d.GetValue()))
		}
	}
	return exitOK
}

// editText returns an edit as one line of text.
func editText(a entry.EditAction, path, key, value string) string {
	text := actionName(a) + " " + path
	if key != "" {
		text += " " + key
	}
	if value != "" {
		text += " = " + value
	}
	return text
}

func actionName(a entry.EditAction) string {
	return strings.ToLower(strings.TrimPrefix(a.String(), "EDIT_ACTION_"))
}
