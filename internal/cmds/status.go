package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"maps"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/pkg/entry"
)

// status prints the state of entry hosts, or as command "members" the membership table
// of one.
type status struct {
	console
	// members selects the command "members".
	members bool
	hostFlags
	all  bool
	json bool
	// metricsAddress is the address of the metrics endpoint of a host on the users'
	// platform.
	metricsAddress string
}

func newStatus(c console) *status  { return &status{console: c} }
func newMembers(c console) *status { return &status{console: c, members: true} }

func (s *status) Name() string {
	if s.members {
		return "members"
	}
	return "status"
}

func (s *status) Synopsis() string {
	if s.members {
		return "print the membership table of an entry host"
	}
	return "print the state of one entry host or of all"
}

func (s *status) Usage() string {
	if s.members {
		return `members [flags]:
  Prints the membership table of an entry host.
  Example: toucanpulley members -address 127.0.0.1:7100
`
	}
	return `status [flags]:
  Prints revision, members, index versions, searchers with health, limits and
  connections, counters of refusals and retries, suspects and quarantine.
  With -metrics, the state of a host on the users' platform.
  Example: toucanpulley status -address 127.0.0.1:7100 -all
  Example: toucanpulley status -metrics 10.0.0.7:9464
`
}

func (s *status) SetFlags(f *flag.FlagSet) {
	s.setOperatorFlags(f, defaultAddress)
	f.BoolVar(&s.json, "json", false, "print as JSON")
	if !s.members {
		f.StringVar(&s.metricsAddress, "metrics", "", "metrics address of a host on the users' platform, whose state is printed instead")
		f.BoolVar(&s.all, "all", false, "print the state of every member that the host knows")
	}
}

func (s *status) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if s.metricsAddress != "" {
		return s.runRelay(ctx)
	}
	first, err := s.fetch(ctx, s.address)
	if err != nil {
		return s.fail(err)
	}
	docs, result := []wire.StatusDocument{first}, exitOK
	for _, m := range first.Members {
		if !s.all || m.EntryAddress == s.address || m.State == "left" {
			continue
		}
		doc, err := s.fetch(ctx, m.EntryAddress)
		if err != nil {
			result = s.fail(err)
			continue
		}
		docs = append(docs, doc)
	}
	switch {
	case s.members && s.json:
		return s.console.json(first.Members)
	case s.members:
		s.printMembers(first.Members)
	case s.json:
		s.console.json(docs)
	default:
		for _, d := range docs {
			s.print(d)
		}
	}
	return result
}

func (s *status) fetch(ctx context.Context, address string) (wire.StatusDocument, error) {
	r, err := s.adminClient(address).Status(ctx, connect.NewRequest(&entry.StatusRequest{}))
	if err != nil {
		return wire.StatusDocument{}, fault.Wrap(err, "get status", address)
	}
	var doc wire.StatusDocument
	return doc, fault.Wrap(json.Unmarshal(r.Msg.GetJson(), &doc), "decode status", address)
}

func (s *status) print(d wire.StatusDocument) {
	state := "ready"
	switch {
	case d.Draining:
		state = "draining"
	case !d.Ready:
		state = "not ready: " + d.NotReadyReason
	}
	s.printf("%s (%s, %s): %s; settings revision %d\n", d.Host, d.FailureDomain, d.Region, state, d.Revision)
	s.printMembers(d.Members)
	for _, v := range d.Services {
		s.printf("  service %-16s owned %-5t versions %v shards %d queued %d running %d p50 %.1f ms p99 %.1f ms; entries %s\n",
			v.Service, v.Owned, v.Versions, v.Shards, v.Queued, v.Running, v.MedianMs, v.P99Ms, strings.Join(v.EntryAddresses, " "))
	}
	for _, n := range d.Searchers {
		s.printf("  searcher %-22s %-8s in flight %d/%d of %d slots, connections %d of cap %d, %.1f ms, %s\n",
			n.Searcher, n.State, n.InFlight, n.Limit, n.Slots, n.Connections, n.ConnectionCap, n.LatencyMs, n.FailureDomain)
	}
	for _, x := range d.Suspects {
		s.printf("  request %s: %d searchers lost, quarantined %t\n", x.Fingerprint, x.Losses, x.Quarantined)
	}
	for _, k := range slices.Sorted(maps.Keys(d.Counters)) {
		s.printf("  %-34s %d\n", k, d.Counters[k])
	}
}

func (s *status) printMembers(members []wire.MemberStatus) {
	for _, m := range members {
		s.printf("  member %-20s %-8s ready %-5t incarnation %d %s %s\n",
			m.Host, m.State, m.Ready, m.Incarnation, m.FailureDomain, m.EntryAddress)
	}
}
