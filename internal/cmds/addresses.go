package cmds

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// addresses prints the entry hosts of a service.
type addresses struct {
	console
	hostFlags
	service string
	json    bool
}

func newAddresses(c console) *addresses { return &addresses{console: c} }

func (*addresses) Name() string { return "addresses" }

func (*addresses) Synopsis() string { return "print the entry hosts of a service" }

func (*addresses) Usage() string {
	return `addresses [flags]:
  Prints the entry hosts that callers should use for a service, best first.
  Example: toucanpulley addresses -address 127.0.0.1:7100 -service jury-desk
`
}

func (a *addresses) SetFlags(f *flag.FlagSet) {
	a.setFlags(f, defaultAddress)
	f.StringVar(&a.service, "service", "jury-desk", "service")
	f.BoolVar(&a.json, "json", false, "print the answer as JSON")
}

func (a *addresses) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c, err := a.newClient()
	if err != nil {
		return a.fail(err)
	}
	defer func() { _ = c.Close() }()
	answer, err := c.Addresses(ctx, a.service)
	if err != nil {
		return a.fail(err)
	}
	if a.json {
		return a.console.json(answer)
	}
	for _, e := range answer.GetAddresses() {
		a.printf("%-21s weight %d  %s (%s)\n", e.GetAddress(), e.GetWeight(), e.GetHost(), e.GetFailureDomain())
	}
	a.printf("valid for %d ms; settings revision %d\n", answer.GetTtlMs(), answer.GetSettingsRevision())
	return exitOK
}
