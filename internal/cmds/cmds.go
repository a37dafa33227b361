// Package cmds implements the commands of the program. Each command is a type that
// implements subcommands.Command.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
package cmds

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/conf"
)

// Exit statuses of all commands. exitUnknown means that the outcome of a request is
// unknown.
const (
	exitOK      = subcommands.ExitSuccess
	exitFailed  = subcommands.ExitFailure
	exitUsage   = subcommands.ExitUsageError
	exitUnknown = subcommands.ExitStatus(3)
)

// console holds the output streams of a command.
type console struct {
	out io.Writer
	err io.Writer
}

// Run runs the command that the arguments name and returns its exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("toucanpulley", flag.ContinueOnError)
	flags.SetOutput(stderr)
	commander := subcommands.NewCommander(flags, filepath.Base("toucanpulley"))
	commander.Output, commander.Error = stdout, stderr
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	c := console{out: stdout, err: stderr}
	for _, cm := range commands(c) {
		commander.Register(cm, "")
	}
	if err := flags.Parse(args); err != nil {
		return int(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}

// commands lists every command in the order of the help text.
func commands(c console) []subcommands.Command {
	return []subcommands.Command{
		newDev(c), newEntry(c), newPlatform(c), newCheck(c),
		newQuery(c), newSend(c), newAddresses(c),
		newSettings(c), newStatus(c), newMembers(c), newDrain(c), newLoad(c),
	}
}

// fail prints an error and returns its exit status: exitUsage for invalid settings,
// otherwise exitFailed.
func (c console) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(c.err, "toucanpulley:", err)
	var invalid *conf.ValidationError
	if errors.As(err, &invalid) {
		return exitUsage
	}
	return exitFailed
}

// failUsage prints an error in the arguments and returns exitUsage.
func (c console) failUsage(format string, args ...any) subcommands.ExitStatus {
	_, _ = fmt.Fprintf(c.err, "toucanpulley: "+format+"\n", args...)
	return exitUsage
}

// json prints a value as indented JSON.
func (c console) json(v any) subcommands.ExitStatus {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return c.fail(err)
	}
	return exitOK
}

func (c console) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.out, format, args...) }

// logger returns a logger that writes JSON lines to standard error.
func (c console) logger(level string) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "toucanpulley", Level: hclog.LevelFromString(level), Output: c.err, JSONFormat: true,
	})
}
