// Package devel runs a complete site in one process on loopback addresses: a
// simulated platform, simulated searchers that serve the records of a file, and
// entry hosts in three failure domains. The dev command and the end-to-end tests
// use it.
//
// # Usage
//
//	site := devel.NewSite(records)
//	err := site.Run(ctx)
//	c := client.New(site.EntryAddresses()...)
//	answer, err := c.Search(ctx, request)
//	c.Close()
//	site.Close()
package devel

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"toucanpulley.example/internal/certs"
	"toucanpulley.example/internal/daemon"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/store"
	"toucanpulley.example/internal/tree"
	"toucanpulley.example/internal/view"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
	"toucanpulley.example/stand/plat"
)

// Domain places one entry host: the name of its failure domain and its loopback
// address. A failure domain may have several hosts.
type Domain struct {
	Name    string
	Address string
}

// DefaultDomains are the failure domains of the example customer Dastkar.
var DefaultDomains = []Domain{
	{"karachi-a", "127.0.0.1"}, {"lahore-a", "127.0.0.2"}, {"peshawar-a", "127.0.0.3"},
}

// Region is the region of all hosts of a site.
const Region = "sindh"

// Account is the client account that every service of a site belongs to.
const Account = "dastkar"

// hostPrefix is the prefix of the ids of all entry hosts.
const hostPrefix = "host-"

const (
	// readyTimeout limits the time until all entry hosts are ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the interval at which readiness is checked.
	readyPollInterval = 5 * time.Millisecond
	// platformHeaderTimeout limits how long a client of the simulated platform may
	// take to send the headers of a request.
	platformHeaderTimeout = time.Minute
)

// firstVersion is the index version that searchers have at startup.
const firstVersion = 1

// Site runs a simulated platform, simulated searchers and entry hosts in one
// process. Exported fields must be set before Run.
type Site struct {
	Domains []Domain
	Log     hclog.Logger
	// Shards is the number of shards of each service.
	Shards int
	// Replicas is the number of searchers for each shard. Slots, ConnectionCap
	// and ConnectCost apply to each searcher.
	Replicas      int
	Slots         int
	ConnectionCap int
	ConnectCost   time.Duration
	// EntryPort is the port for callers; zero selects a free port.
	EntryPort int
	// ExternalHosts is true if the caller runs the entry hosts as separate
	// processes; Run then starts none.
	ExternalHosts bool
	// Plans are the layouts of individual services. Shards, Replicas, Slots,
	// ConnectionCap and ConnectCost apply to services without a plan.
	Plans []fleet.Plan
	// Authority, if not nil, issues certificates to entry hosts and searchers,
	// which then use TLS. Otherwise connections are unencrypted.
	Authority *certs.Authority
	// Nodes are additional settings nodes. A node replaces the default one with
	// the same path.
	Nodes []wire.NodeDocument

	records     []corpus.Record
	platform    *plat.Platform
	platformURL string
	// fleets holds the searchers of each service.
	fleets    map[string]*fleet.Fleet
	daemons   []*daemon.Daemon
	addresses []string
	// results holds the channel on which the result of each daemon's Run is sent.
	results map[*daemon.Daemon]chan error
	// failure joins the errors of hosts that have failed without being drained.
	failure error
	// replacements counts the calls of ReplaceOldestHost.
	replacements int
	// mu guards hosts, daemons, addresses, results and failure.
	mu     sync.Mutex
	hosts  []store.HostEntry
	server *http.Server
	tasks  sync.WaitGroup
}

// NewSite returns a site that serves records. Its services are laid out like
// jury-desk: 6 shards with 2 searchers each, and 2 slots and 25 connections for
// each searcher.
func NewSite(records []corpus.Record) *Site {
	return &Site{
		Domains: DefaultDomains, Log: hclog.NewNullLogger(),
		Shards: 6, Replicas: 2, Slots: 2, ConnectionCap: 25, ConnectCost: 0,
		records: records, platform: plat.New(), fleets: map[string]*fleet.Fleet{},
		results: map[*daemon.Daemon]chan error{},
	}
}

// Platform returns the simulated platform.
func (s *Site) Platform() *plat.Platform { return s.platform }

// PlatformURL returns the base URL of the simulated platform.
func (s *Site) PlatformURL() string { return s.platformURL }

// Fleet returns the searchers of a service.
func (s *Site) Fleet(service string) *fleet.Fleet { return s.fleets[service] }

// EntryAddresses returns the addresses for callers, one for each entry host.
func (s *Site) EntryAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.addresses)
}

// Daemons returns the daemons of the entry hosts.
func (s *Site) Daemons() []*daemon.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.daemons)
}

// Run starts all parts of the site and returns when every entry host is ready.
// If a part fails to start, Run closes the site.
func (s *Site) Run(ctx context.Context) error {
	steps := []func(context.Context) error{s.startPlatform, s.startFleets, s.writeObjects}
	if !s.ExternalHosts {
		steps = append(steps, s.startDaemons, s.awaitReady)
	}
	for _, f := range steps {
		if err := f(ctx); err != nil {
			_ = s.Close()
			return err
		}
	}
	return nil
}

func (s *Site) startPlatform(ctx context.Context) error {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fault.Wrap(err, "listen for platform calls", "")
	}
	s.platformURL = "http://" + listener.Addr().String()
	s.server = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: platformHeaderTimeout}
	s.tasks.Go(func() { _ = s.server.Serve(listener) })
	return nil
}

func (s *Site) startFleets(ctx context.Context) error {
	domains := make([]string, 0, len(s.Domains))
	for _, d := range s.Domains {
		if !slices.Contains(domains, d.Name) {
			domains = append(domains, d.Name)
		}
	}
	for sv, rs := range corpus.ByService(s.records) {
		plan := s.plan(sv)
		plan.FailureDomains, plan.TLS = domains, s.searcherTLS()
		f, err := fleet.Start(ctx, plan, firstVersion, rs)
		if err != nil {
			return err
		}
		s.fleets[sv] = f
	}
	return nil
}

// plan returns the layout of a service, from Plans or from the defaults.
func (s *Site) plan(service string) fleet.Plan {
	i := slices.IndexFunc(s.Plans, func(p fleet.Plan) bool { return p.Service == service })
	if i >= 0 {
		return s.Plans[i]
	}
	return fleet.Plan{
		Service: service, Shards: s.Shards, Replicas: s.Replicas, Slots: s.Slots,
		ConnectionCap: s.ConnectionCap, ConnectCost: s.ConnectCost,
	}
}

// writeObjects writes the settings tree and the index objects to the platform.
func (s *Site) writeObjects(ctx context.Context) error {
	nodes := []wire.NodeDocument{{Path: "/"}, {Path: "/" + Account}}
	for sv, f := range s.fleets {
		nodes = append(nodes, wire.NodeDocument{Path: "/" + Account + "/" + sv})
		if err := s.putObject(ctx, "index/"+sv, Index(f, firstVersion)); err != nil {
			return err
		}
	}
	t, err := wire.DecodeTree([][]byte{wire.EncodeJSON(wire.SegmentDocument{Nodes: mergeNodes(nodes, s.Nodes)})})
	if err != nil {
		return err
	}
	return daemon.WriteSettings(ctx, s.platform, tree.Change{
		ID: "initial", Author: "devel", Reason: "first settings of the site",
	}.WithTime(time.Now()), t)
}

// mergeNodes appends overrides to nodes; an override replaces a node with the
// same path.
func mergeNodes(nodes, overrides []wire.NodeDocument) []wire.NodeDocument {
	for _, n := range overrides {
		i := slices.IndexFunc(nodes, func(o wire.NodeDocument) bool { return o.Path == n.Path })
		if i >= 0 {
			nodes[i] = n
			continue
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func (s *Site) putObject(ctx context.Context, name string, doc any) error {
	_, err := s.platform.Put(ctx, name, wire.EncodeJSON(doc), 0)
	return fault.Wrap(err, "write "+name, "")
}

// Index returns the index object that describes a fleet at one index version.
func Index(f *fleet.Fleet, version uint64) wire.IndexDocument {
	doc := wire.IndexDocument{Service: f.Plan.Service}
	for _, n := range f.Searchers {
		doc.Searchers = append(doc.Searchers, wire.SearcherDocument{
			ID: n.ID, Address: f.Addresses[n.ID], FailureDomain: f.Domains[n.ID], Slots: f.Plan.Slots,
			ConnectionCap: f.Plan.ConnectionCap, ConnectCostMs: int(f.Plan.ConnectCost / time.Millisecond),
		})
	}
	v := wire.VersionDocument{Version: version}
	for _, sh := range f.Shards {
		d := wire.ShardDocument{
			ID: sh.ID, FirstRecord: sh.Records[0].ID,
			LastRecord: sh.Records[len(sh.Records)-1].ID, Records: uint64(len(sh.Records)),
		}
		for _, r := range sh.Replicas {
			d.Replicas = append(d.Replicas, r.ID)
		}
		v.Shards = append(v.Shards, d)
	}
	doc.Versions = []wire.VersionDocument{v}
	return doc
}

func (s *Site) startDaemons(ctx context.Context) error {
	for i, d := range s.Domains {
		if err := s.startDaemon(ctx, d, s.hostID(i), s.EntryPort); err != nil {
			return err
		}
	}
	return nil
}

// hostID returns the id of the i-th host. The second and further hosts of a
// failure domain get a number as suffix.
func (s *Site) hostID(i int) model.HostID {
	number := 1
	for _, d := range s.Domains[:i] {
		if d.Name == s.Domains[i].Name {
			number++
		}
	}
	if number == 1 {
		return model.HostID(hostPrefix + s.Domains[i].Name)
	}
	return model.HostID(fmt.Sprintf("%s%s-%d", hostPrefix, s.Domains[i].Name, number))
}

// freeAddress returns the address of an unused port. It fails if the given port
// is in use; zero selects a free port.
func freeAddress(ctx context.Context, ip string, port int) (model.Address, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return "", fault.Wrap(err, "find a free port", ip)
	}
	defer func() { _ = listener.Close() }()
	return model.Address(listener.Addr().String()), nil
}

// awaitReady waits until ready returns true. It fails after readyTimeout, or once a host
// has failed, as when its port was taken between the search for a free one and its use.
func (s *Site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		failure := s.failure
		s.mu.Unlock()
		if failure != nil {
			return failure
		}
		if s.ready() {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.New("wait for entry hosts", "", "not ready in time")
		}
	}
}

// ready reports whether every entry host is ready, has the indexes and addresses
// of all services and sees all other hosts as ready, and every service is owned
// by as many hosts as the subset setting requires.
func (s *Site) ready() bool {
	daemons := s.Daemons()
	owners := map[model.ServiceName]int{}
	for _, d := range daemons {
		v := d.View()
		if !v.Ready || len(v.Indexes) < len(s.fleets) || len(v.Addresses) < len(s.fleets) || !s.allHostsReady(v) {
			return false
		}
		for sv := range v.Owned {
			owners[sv]++
		}
	}
	subset := min(daemons[0].View().Tree.Effective(tree.Root).Subset, len(daemons))
	for sv := range s.fleets {
		if owners[model.ServiceName(sv)] < subset {
			return false
		}
	}
	return true
}

// allHostsReady reports whether a view has all entry hosts of the site as ready
// members.
func (s *Site) allHostsReady(v view.View) bool {
	ready := 0
	for _, m := range v.Members {
		if m.Ready && (m.State == model.MemberAlive || m.State == model.MemberSuspect) {
			ready++
		}
	}
	return ready >= len(s.Daemons())
}

// Close stops all parts of the site and waits for them.
func (s *Site) Close() error {
	for _, d := range s.Daemons() {
		_ = d.Close()
	}
	if s.server != nil {
		_ = s.server.Close()
	}
	for _, f := range s.fleets {
		_ = f.Close()
	}
	s.tasks.Wait()
	return nil
}
