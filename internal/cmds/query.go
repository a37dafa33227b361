package cmds

import (
	"context"
	"flag"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/pkg/entry"
)

// query sends a search through an entry host.
type query struct {
	console
	hostFlags
	account string
	service string
	scope   string
	limit   uint
	timeout time.Duration
	json    bool
}

func newQuery(c console) *query { return &query{console: c} }

func (*query) Name() string { return "query" }

func (*query) Synopsis() string { return "search through an entry host and print the answer" }

func (*query) Usage() string {
	return `query [flags] field=value ...:
  Searches for records in which every field contains its value as a word. The
  hosts at -address return the entry hosts that are then used for the search.
  Example: toucanpulley query -address 127.0.0.1:7100 -service jury-desk craft=pottery
`
}

func (q *query) SetFlags(f *flag.FlagSet) {
	q.setFlags(f, defaultAddress)
	f.StringVar(&q.account, "account", devel.Account, "client account")
	f.StringVar(&q.service, "service", "jury-desk", "service")
	f.StringVar(&q.scope, "scope", "", "search scope")
	f.UintVar(&q.limit, "limit", 10, "largest number of hits, 1 to 1000")
	f.DurationVar(&q.timeout, "timeout", 0, "time budget; the scope's default if 0")
	f.BoolVar(&q.json, "json", false, "print the answer as JSON")
}

func (q *query) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	terms, err := parseTerms(f.Args())
	if err != nil {
		return q.failUsage("%v", err)
	}
	answer, err := q.search(ctx, terms)
	if err != nil {
		return q.fail(err)
	}
	return q.print(answer)
}

func (q *query) search(ctx context.Context, terms []*entry.Term) (*entry.SearchResponse, error) {
	c, err := q.newClient()
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	// Fail at once if no host is reachable; Search would retry until its deadline.
	if _, err := c.Addresses(ctx, q.service); err != nil {
		return nil, err
	}
	return c.Search(ctx, &entry.SearchRequest{
		Account: q.account, Service: q.service, Scope: q.scope, Terms: terms,
		Limit: uint32(q.limit), TimeoutMs: uint32(q.timeout.Milliseconds()),
	})
}

func (q *query) print(a *entry.SearchResponse) subcommands.ExitStatus {
	if q.json {
		b, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(a)
		if err != nil {
			return q.fail(err)
		}
		q.printf("%s\n", b)
		return exitOK
	}
	for _, h := range a.GetHits() {
		q.printf("%-20s %5.2f  %s\n", h.GetRecordId(), h.GetScore(), h.GetSource())
	}
	c := a.GetCoverage()
	q.printf("\n%d of %d matches; %s: %d of %d records searched in %d shards; index version %d, settings revision %d, host %s\n",
		len(a.GetHits()), a.GetMatches(), outcomeName(a.GetOutcome()), c.GetSearchedRecords(), c.GetTotalRecords(),
		len(c.GetSearched()), a.GetIndexVersion(), a.GetSettingsRevision(), a.GetHost())
	for _, p := range c.GetMissing() {
		q.printf("not searched: shard %s, records %s to %s (%d records): %s\n",
			p.GetShard(), p.GetFirstRecord(), p.GetLastRecord(), p.GetRecords(), p.GetReason())
	}
	return exitOK
}

func outcomeName(o entry.Outcome) string {
	if o == entry.Outcome_OUTCOME_COMPLETE {
		return "complete"
	}
	return "partial"
}
