package cmds

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/conf"
	"toucanpulley.example/internal/daemon"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/platform"
)

// entryHost runs one entry host.
type entryHost struct {
	console
	settings string
}

func newEntry(c console) *entryHost { return &entryHost{console: c} }

func (*entryHost) Name() string { return "entry" }

func (*entryHost) Synopsis() string { return "run one entry host" }

func (*entryHost) Usage() string {
	return `entry -settings FILE:
  Runs one entry host until SIGTERM or SIGINT, then drains it: the host is
  removed from the address answers, keeps serving until callers have moved to
  other hosts, and exits with status 0. A second signal ends the drain at once;
  status 1 if requests were cut off.
  Example: toucanpulley entry -settings host.json
`
}

func (e *entryHost) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.settings, "settings", "", "settings file of the host")
}

func (e *entryHost) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.settings == "" {
		return e.failUsage("entry: -settings is required")
	}
	s, err := conf.Load(e.settings)
	if err != nil {
		return e.fail(err)
	}
	d := daemon.New(s)
	d.Log = e.logger(s.LogLevel)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan struct{})
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		for {
			select {
			case <-signals:
				d.Drain()
			case <-ended:
				return
			}
		}
	}()
	// The first signal also cancels ctx. It must start the drain and not stop the
	// host.
	err = d.Run(context.WithoutCancel(ctx))
	signal.Stop(signals)
	close(ended)
	<-drained
	if err != nil {
		return e.fail(err)
	}
	return exitOK
}

// check validates settings files, a settings tree or a configuration without starting
// a host.
type check struct {
	console
	settings      string
	relaySettings string
	tree          string
	// configuration is the file that operators store on the users' platform.
	configuration string
}

func newCheck(c console) *check { return &check{console: c} }

func (*check) Name() string { return "check" }

func (*check) Synopsis() string { return "check a settings file, a settings tree or a configuration" }

func (*check) Usage() string {
	return `check [-settings FILE] [-relay FILE] [-tree FILE] [-configuration FILE]:
  Checks the settings file of an entry host, that of a host on the users'
  platform, a settings tree, a configuration as operators write it to the users'
  platform, or several of them. A tree file holds
  {"nodes":[{"path":"/","values":{"weight":2}}, ...]}. Exit status 2 if a file is
  invalid.
  Example: toucanpulley check -settings host.json
  Example: toucanpulley check -tree settings.json
`
}

func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of the host")
	f.StringVar(&c.relaySettings, "relay", "", "settings file of a host on the users' platform")
	f.StringVar(&c.tree, "tree", "", "file of a settings tree")
	f.StringVar(&c.configuration, "configuration", "", "file of a configuration for the users' platform")
}

func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" && c.relaySettings == "" && c.tree == "" && c.configuration == "" {
		return c.failUsage("check: -settings, -relay, -tree or -configuration is required")
	}
	if c.configuration != "" {
		config, err := platform.CheckConfiguration(c.configuration)
		if err != nil {
			return c.failUsage("%v", err)
		}
		c.printf("%s is valid: version %d, %d routes, %d services\n", c.configuration, config.Version, config.Len(), len(config.Services()))
	}
	if c.relaySettings != "" {
		if _, err := conf.LoadRelay(c.relaySettings); err != nil {
			return c.fail(err)
		}
		c.printf("%s is valid\n", c.relaySettings)
	}
	if c.settings != "" {
		if err := checkSettings(c.settings); err != nil {
			return c.fail(err)
		}
		c.printf("%s is valid\n", c.settings)
	}
	if c.tree != "" {
		return c.checkTree()
	}
	return exitOK
}

// checkSettings validates a settings file and the certificates that it names.
func checkSettings(name string) error {
	s, err := conf.Load(name)
	if err != nil || s.TLS == nil {
		return err
	}
	_, err = certs.NewConfig(certs.FileSource{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CA: s.TLS.CA})
	return err
}

// checkTree validates each node of a settings tree, and the rules that span several
// nodes.
func (c *check) checkTree() subcommands.ExitStatus {
	data, err := os.ReadFile(c.tree)
	if err != nil {
		return c.fail(fault.Wrap(err, "read settings tree", c.tree))
	}
	t, err := wire.DecodeTree([][]byte{data})
	if err == nil {
		err = t.Validate()
	}
	if err != nil {
		return c.failUsage("%s: %v", c.tree, err)
	}
	c.printf("%s is valid: %d nodes\n", c.tree, t.Len())
	return exitOK
}
