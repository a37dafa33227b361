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

// Name returns the name of the command.
func (*entryHost) Name() string { return "entry" }

// Synopsis returns a line for the list of commands.
func (*entryHost) Synopsis() string { return "run one entry host" }

// Usage returns the help text.
func (*entryHost) Usage() string {
	return `entry -settings FILE:
  Runs one entry host until SIGTERM or SIGINT, then drains it: it leaves the
  address answers, serves on until callers have moved, and ends with status 0.
  A second signal ends the drain at once; status 1 if requests were cut off.
  Example: toucanpulley entry -settings host.json
`
}

// SetFlags defines the flags.
func (e *entryHost) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.settings, "settings", "", "settings file of the host")
}

// Execute runs the command.
func (e *entryHost) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.settings == "" {
		return e.usage("entry: -settings is required")
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
	// The context ends with the first signal, which must only start the drain.
	err = d.Run(context.WithoutCancel(ctx))
	signal.Stop(signals)
	close(ended)
	<-drained
	if err != nil {
		return e.fail(err)
	}
	return exitOK
}

// check checks a settings file or a settings tree without starting anything.
type check struct {
	console
	settings      string
	relaySettings string
	tree          string
	// configuration is what operators write to the platform.
	configuration string
}

func newCheck(c console) *check { return &check{console: c} }

// Name returns the name of the command.
func (*check) Name() string { return "check" }

// Synopsis returns a line for the list of commands.
func (*check) Synopsis() string { return "check a settings file, a settings tree or a configuration" }

// Usage returns the help text.
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

// SetFlags defines the flags.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "settings file of the host")
	f.StringVar(&c.relaySettings, "relay", "", "settings file of a host on the users' platform")
	f.StringVar(&c.tree, "tree", "", "file of a settings tree")
	f.StringVar(&c.configuration, "configuration", "", "file of a configuration for the users' platform")
}

// Execute runs the command.
func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.settings == "" && c.relaySettings == "" && c.tree == "" && c.configuration == "" {
		return c.usage("check: -settings, -relay, -tree or -configuration is required")
	}
	if c.configuration != "" {
		found, err := platform.CheckConfiguration(c.configuration)
		if err != nil {
			return c.usage("%v", err)
		}
		c.printf("%s is valid: version %d, %d routes, %d services\n", c.configuration, found.Version, found.Len(), len(found.Services()))
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

// checkSettings checks a settings file and the certificates that it names.
func checkSettings(name string) error {
	s, err := conf.Load(name)
	if err != nil || s.TLS == nil {
		return err
	}
	_, err = certs.NewConfig(certs.Files{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CA: s.TLS.CA})
	return err
}

// checkTree checks the nodes and the rules that span several of them.
func (c *check) checkTree() subcommands.ExitStatus {
	value, err := os.ReadFile(c.tree)
	if err != nil {
		return c.fail(fault.Wrap(err, "read settings tree", c.tree))
	}
	t, err := wire.DecodeTree([][]byte{value})
	if err == nil {
		err = t.Validate()
	}
	if err != nil {
		return c.usage("%s: %v", c.tree, err)
	}
	c.printf("%s is valid: %d nodes\n", c.tree, t.Len())
	return exitOK
}
