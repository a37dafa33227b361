// Package load runs open-loop load tests: it starts the site of a shape file on
// loopback, sends searches at scheduled times independent of the answers, checks
// every answer against the records, and reports latency percentiles, coverage and
// the extra load on searchers.
//
// # Usage
//
//	shape, err := load.ReadShape("examples/dastkar.json")
//	run := load.NewRun(shape)
//	run.Duration = 10 * time.Second
//	result, err := run.Do(ctx)
//	err = load.WriteTable(os.Stdout, []load.Result{result})
package load

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"slices"
	"time"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/wire"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
)

// Shape is the JSON form of the site and the load of a customer.
type Shape struct {
	Customer string `json:"customer"`
	// Hosts are the entry hosts.
	Hosts []HostShape `json:"hosts"`
	// ClientDelayMs and CrossDomainDelayMs are one-way network delays.
	ClientDelayMs      float64             `json:"clientDelayMs"`
	CrossDomainDelayMs float64             `json:"crossDomainDelayMs"`
	Services           []ServiceShape      `json:"services"`
	Settings           []wire.NodeDocument `json:"settings"`
}

// HostShape is an entry host with its loopback address.
type HostShape struct {
	FailureDomain string `json:"failureDomain"`
	Address       string `json:"address"`
}

// ServiceShape is the layout and load of one service.
type ServiceShape struct {
	Name          string `json:"name"`
	Shards        int    `json:"shards"`
	Replicas      int    `json:"replicas"`
	Slots         int    `json:"slots"`
	ConnectionCap int    `json:"connectionCap"`
	ConnectCostMs int    `json:"connectCostMs"`
	Records       int    `json:"records"`
	// SearchMs is the fixed part of the search time at a searcher, and JitterMs the
	// mean of an exponentially distributed part that is added to it.
	SearchMs float64 `json:"searchMs"`
	JitterMs float64 `json:"jitterMs"`
	// RatePerSecond is the number of searches per second over all entry hosts.
	RatePerSecond float64 `json:"ratePerSecond"`
	// LookupShare is the share of searches for one record by its id.
	LookupShare float64 `json:"lookupShare"`
}

// ReadShape reads and validates a shape file.
func ReadShape(name string) (Shape, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Shape{}, fault.Wrap(err, "read shape", name)
	}
	var s Shape
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Shape{}, fault.Wrap(err, "decode shape", name)
	}
	return s, fault.Wrap(s.validate(), "check shape", name)
}

func (s Shape) validate() error {
	if len(s.Hosts) == 0 || len(s.Services) == 0 {
		return fault.New("check shape", "", "hosts and services must not be empty")
	}
	for _, h := range s.Hosts {
		ip := net.ParseIP(h.Address)
		if ip == nil || !ip.IsLoopback() {
			return fault.New("check shape", "", "hosts: %q is not allowed; allowed: a loopback address", h.Address)
		}
	}
	for _, v := range s.Services {
		if v.Shards < 1 || v.Replicas < 1 || v.Slots < 1 || v.ConnectionCap < 1 || v.Records < v.Shards || v.RatePerSecond < 0 {
			return fault.New("check shape", "",
				"service %q needs shards, replicas, slots and connectionCap of at least 1, a record for each shard, and a rate of at least 0", v.Name)
		}
	}
	return nil
}

// WithServices returns the shape with only the named services, or with all services
// without names.
func (s Shape) WithServices(names ...string) Shape {
	if len(names) > 0 {
		s.Services = slices.DeleteFunc(slices.Clone(s.Services), func(v ServiceShape) bool {
			return !slices.Contains(names, v.Name)
		})
	}
	return s
}

// WithRate returns the shape with all rates multiplied by a factor.
func (s Shape) WithRate(factor float64) Shape {
	s.Services = slices.Clone(s.Services)
	for i := range s.Services {
		s.Services[i].RatePerSecond *= factor
	}
	return s
}

// newSite returns a site of the shape, not yet started, and its records by service.
func (s Shape) newSite(seed uint64) (*devel.Site, map[string][]corpus.Record, error) {
	byService := map[string][]corpus.Record{}
	var all []corpus.Record
	for _, v := range s.Services {
		records, err := corpus.GenerateFor(seed, v.Records, v.Name)
		if err != nil {
			return nil, nil, fault.Wrap(err, "generate records", "")
		}
		byService[v.Name] = records
		all = append(all, records...)
	}
	site := devel.NewSite(all)
	site.Domains = nil
	for _, h := range s.Hosts {
		site.Domains = append(site.Domains, devel.Domain{Name: h.FailureDomain, Address: h.Address})
	}
	for _, v := range s.Services {
		site.Plans = append(site.Plans, fleet.Plan{
			Service: v.Name, Shards: v.Shards, Replicas: v.Replicas, Slots: v.Slots,
			ConnectionCap: v.ConnectionCap, ConnectCost: milliseconds(float64(v.ConnectCostMs)), NetworkDelay: s.oneWayDelay(),
		})
	}
	site.Nodes = s.Settings
	return site, byService, nil
}

// oneWayDelay returns a function for the one-way network delay between a failure domain
// and the address of an entry host.
func (s Shape) oneWayDelay() func(domain, remote string) time.Duration {
	domains := map[string]string{}
	for _, h := range s.Hosts {
		domains[h.Address] = h.FailureDomain
	}
	cross := milliseconds(s.CrossDomainDelayMs)
	return func(domain, remote string) time.Duration {
		ip, _, err := net.SplitHostPort(remote)
		if err != nil || domains[ip] == domain {
			return 0
		}
		return cross
	}
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
