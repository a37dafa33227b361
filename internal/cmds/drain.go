package cmds

import (
	"context"
	"flag"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/pkg/entry"
)

// drain starts a graceful shutdown of an entry host.
type drain struct {
	console
	hostFlags
}

func newDrain(c console) *drain { return &drain{console: c} }

func (*drain) Name() string { return "drain" }

func (*drain) Synopsis() string { return "start a graceful shutdown of an entry host" }

func (*drain) Usage() string {
	return `drain -address ADDRESS:
  Starts a graceful shutdown of an entry host, as SIGTERM does, and returns at
  once. A second call ends the drain and cuts off the requests in flight.
  Example: toucanpulley drain -address 127.0.0.2:7100
`
}

func (d *drain) SetFlags(f *flag.FlagSet) {
	d.setOperatorFlags(f, "")
}

func (d *drain) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if d.address == "" {
		return d.failUsage("drain: -address is required")
	}
	client := d.adminClient(d.address)
	if _, err := client.Drain(ctx, connect.NewRequest(&entry.DrainRequest{})); err != nil {
		return d.fail(fault.Wrap(err, "start drain", d.address))
	}
	d.printf("%s is draining\n", d.address)
	return exitOK
}
