package cmds

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/spool"
	"toucanpulley.example/platform"
)

// platformHost runs one entry host on the users' platform.
type platformHost struct {
	console
	settings string
}

func newPlatform(c console) *platformHost { return &platformHost{console: c} }

func (*platformHost) Name() string { return "platform" }

func (*platformHost) Synopsis() string { return "run one entry host on the users' platform" }

func (*platformHost) Usage() string {
	return `platform [-settings FILE]:
  Runs one entry host on the users' platform until SIGTERM, then drains it.
  SIGHUP reads the settings file again. Without -settings the file is the one
  that the platform names in the environment.
  Example: toucanpulley platform -settings host.json
`
}

func (p *platformHost) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.settings, "settings", platform.SettingsFile(), "settings file of the host")
}

func (p *platformHost) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if p.settings == "" {
		return p.failUsage("platform: -settings is required")
	}
	output := spool.NewWriter(p.out)
	go output.Run()
	defer func() { _ = output.Close() }()
	log := hclog.New(&hclog.LoggerOptions{Name: "toucanpulley", Output: output, JSONFormat: true})
	host, err := platform.NewHost(p.settings, log)
	if err != nil {
		return p.fail(err)
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				host.Reload()
			} else {
				host.Drain()
			}
		}
	}()
	err = host.Run()
	signal.Stop(signals)
	close(signals)
	if err != nil {
		return p.fail(err)
	}
	return exitOK
}
