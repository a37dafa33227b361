package cmds

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"

	"github.com/google/subcommands"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/stand/corpus"
)

// devPort is the port of the entry hosts of a dev site.
const devPort = 7100

// dev runs a simulated platform, simulated searchers and entry hosts in one process.
type dev struct {
	console
	records       string
	query         string
	port          int
	logLevel      string
	authorityFile string
	platform      bool
}

func newDev(c console) *dev { return &dev{console: c} }

func (*dev) Name() string { return "dev" }

func (*dev) Synopsis() string {
	return "run a simulated platform, searchers and three entry hosts in one process"
}

func (*dev) Usage() string {
	return `dev [flags]:
  Runs a complete site on loopback until it is interrupted. With -query it
  searches once, prints the answer and exits. With -platform it runs a site of
  the users' platform: a simulated store, simulated searchers that speak the
  platform's protocol, and three hosts as the platform command runs them.
  Example: toucanpulley dev -query craft=pottery
  Example: toucanpulley dev -platform
`
}

func (d *dev) SetFlags(f *flag.FlagSet) {
	f.StringVar(&d.records, "records", "", "JSON-lines file of records; the embedded sample if empty")
	f.StringVar(&d.query, "query", "", "terms field=value, separated by commas, to search for once")
	f.IntVar(&d.port, "port", devPort, "port of the entry hosts; a free port if 0")
	f.StringVar(&d.authorityFile, "tls", "", "serve TLS with certificates generated in memory, and write the certificate of their authority to this file")
	f.BoolVar(&d.platform, "platform", false, "run a site of the users' platform")
	f.StringVar(&d.logLevel, "log", "warn", "lowest level that is logged")
}

func (d *dev) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if d.platform {
		return d.runRelay(ctx)
	}
	records, err := d.readRecords()
	if err != nil {
		return d.fail(err)
	}
	site := devel.NewSite(records)
	site.Log, site.EntryPort = d.logger(d.logLevel), d.port
	if err := d.enableTLS(site); err != nil {
		return d.fail(err)
	}
	// A signal must not cancel the context of the site, because that would abort a
	// query in progress. Close stops the site.
	if err := site.Run(context.WithoutCancel(ctx)); err != nil {
		return d.fail(err)
	}
	defer func() { _ = site.Close() }()
	if d.query != "" {
		return d.queryOnce(ctx, site)
	}
	d.printf("%d records; platform %s; entry hosts:\n", len(records), site.PlatformURL())
	for _, a := range site.EntryAddresses() {
		d.printf("  %s\n", a)
	}
	flags := ""
	if d.authorityFile != "" {
		flags = " -ca " + d.authorityFile
	}
	d.printf("try: toucanpulley query%s -address %s craft=pottery\n", flags, site.EntryAddresses()[0])
	<-ctx.Done()
	return exitOK
}

// enableTLS creates a certificate authority for the site if -tls is set, and writes
// its root certificate to that file.
func (d *dev) enableTLS(site *devel.Site) error {
	if d.authorityFile == "" {
		return nil
	}
	authority, err := certs.NewAuthority("toucanpulley dev")
	if err != nil {
		return err
	}
	site.Authority = authority
	file, err := os.Create(d.authorityFile)
	if err != nil {
		return fault.Wrap(err, "create authority file", d.authorityFile)
	}
	err = authority.WriteRoot(file)
	return fault.Wrap(errors.Join(err, file.Close()), "write authority file", d.authorityFile)
}

func (d *dev) readRecords() ([]corpus.Record, error) {
	if d.records == "" {
		return corpus.Sample()
	}
	file, err := os.Open(d.records)
	if err != nil {
		return nil, fault.Wrap(err, "open records", d.records)
	}
	defer func() { _ = file.Close() }()
	records, err := corpus.Read(file)
	return records, fault.Wrap(err, "read records", d.records)
}

func (d *dev) queryOnce(ctx context.Context, site *devel.Site) subcommands.ExitStatus {
	terms, err := parseTerms(strings.Split(d.query, ","))
	if err != nil {
		return d.failUsage("%v", err)
	}
	q := newQuery(d.console)
	q.SetFlags(flag.NewFlagSet("query", flag.ContinueOnError))
	q.address, q.ca = site.EntryAddresses()[0], d.authorityFile
	answer, err := q.search(ctx, terms)
	if err != nil {
		return d.fail(err)
	}
	return q.print(answer)
}
