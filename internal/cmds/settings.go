package cmds

import (
	"context"
	"flag"

	"connectrpc.com/connect"
	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"toucanpulley.example/internal/fault"
)

// settings groups the subcommands that read and change the settings tree.
type settings struct{ console }

func newSettings(c console) *settings { return &settings{c} }

func (*settings) Name() string { return "settings" }

func (*settings) Synopsis() string { return "read and change the settings tree" }

func (*settings) Usage() string {
	return `settings <get|set|apply|explain|history|status> [flags] [arguments]:
  Reads and changes the settings tree through an entry host.
  Help for a subcommand: toucanpulley settings help set
  Example: toucanpulley settings get -address 127.0.0.1:7100 /dastkar
`
}

// SetFlags defines no flags: each subcommand has its own.
func (*settings) SetFlags(*flag.FlagSet) {}

// Execute runs the subcommand named by the first argument.
func (s *settings) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet("settings", flag.ContinueOnError)
	flags.SetOutput(s.err)
	commander := subcommands.NewCommander(flags, "toucanpulley settings")
	commander.Output, commander.Error = s.out, s.err
	commander.Register(commander.HelpCommand(), "")
	base := settingsCommand{console: s.console}
	for _, c := range []subcommands.Command{
		&settingsGet{settingsCommand: base}, &settingsSet{changeCommand: changeCommand{settingsCommand: base}}, &settingsApply{changeCommand: changeCommand{settingsCommand: base}},
		&settingsExplain{settingsCommand: base}, &settingsHistory{settingsCommand: base}, &settingsStatus{settingsCommand: base},
	} {
		commander.Register(c, "")
	}
	if err := flags.Parse(f.Args()); err != nil {
		return exitUsage
	}
	return commander.Execute(ctx, args...)
}

// settingsCommand holds the flags and helpers that all settings subcommands share.
type settingsCommand struct {
	console
	hostFlags
	json bool
}

func (c *settingsCommand) setFlags(f *flag.FlagSet) {
	c.setOperatorFlags(f, defaultAddress)
	f.BoolVar(&c.json, "json", false, "print the answer as JSON")
}

// printMessage prints a response message as JSON.
func (c *settingsCommand) printMessage(m proto.Message) subcommands.ExitStatus {
	b, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return c.fail(err)
	}
	c.printf("%s\n", b)
	return exitOK
}

// failCall prints the error of a call and returns the exit status: exitUsage if the
// host rejected the request as invalid or found no such node.
func (c *settingsCommand) failCall(err error, step string) subcommands.ExitStatus {
	status := c.fail(fault.Wrap(err, step, c.address))
	if code := connect.CodeOf(err); code == connect.CodeInvalidArgument || code == connect.CodeNotFound {
		return exitUsage
	}
	return status
}

// pathArgument returns the path argument, or the root path without arguments. It
// reports false if there are several arguments.
func pathArgument(f *flag.FlagSet) (string, bool) {
	if f.NArg() == 0 {
		return "/", true
	}
	return f.Arg(0), f.NArg() == 1
}
