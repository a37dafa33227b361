// Package conf reads and validates the settings file of an entry host, which holds
// its identity, its addresses and the address of the platform. All other settings
// come from the settings tree.
//
// # Usage
//
//	settings, err := conf.Load("host.json")
//	var invalid *conf.ValidationError
//	if errors.As(err, &invalid) {
//		for _, p := range invalid.Problems { ... }
//	}
package conf

import (
	"os"
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// Settings holds the settings of an entry host.
type Settings struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	Region        model.Region
	// Entry is the address for callers and operators.
	Entry model.Address
	// Peer is the address for other daemons.
	Peer model.Address
	// Platform is the base URL of the platform.
	Platform string
	// Seeds are peer addresses used to join when the platform is unavailable.
	Seeds    []model.Address
	LogLevel string
	// Lanes is the number of traffic goroutines.
	Lanes int
	// RequestMemoryMB bounds the memory that the requests of all callers hold together,
	// and BodyTimeout the time for a body.
	RequestMemoryMB int
	BodyTimeout     time.Duration
	// TLS is nil for connections without TLS.
	TLS *TLS
}

// TLS holds the names of the PEM files with the certificates of a host.
type TLS struct {
	Certificate string
	Key         string
	CA          string
	// Searchers reports whether connections to searchers use mutual TLS.
	Searchers bool
	// Operators lists the DNS names of certificates that may use AdminService.
	Operators []string
}

// WithAddresses returns a copy of the settings with the given addresses.
func (s Settings) WithAddresses(entry, peer model.Address) Settings {
	s.Entry, s.Peer = entry, peer
	return s
}

const (
	defaultLanes = 2
	maxLanes     = 64
	maxSeeds     = 64
	maxOperators = 64
	// defaultRequestMemoryMB allows for 100 bodies of the largest size.
	defaultRequestMemoryMB = 64
)

// Load reads and validates a settings file.
func Load(name string) (Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, fault.Wrap(err, "read settings file", name)
	}
	return Parse(data)
}

// Parse decodes and validates settings in JSON. Invalid settings return a
// *ValidationError with all problems.
func Parse(data []byte) (Settings, error) {
	r, err := newReader(data)
	if err != nil {
		return Settings{}, err
	}
	s := Settings{
		Host:          model.HostID(r.name("host")),
		FailureDomain: model.FailureDomain(r.name("failureDomain")),
		Region:        model.Region(r.name("region")),
		Entry:         model.Address(r.address("entryAddress")),
		Peer:          model.Address(r.address("peerAddress")),
		Platform:      r.url("platform"),
		LogLevel:      r.enum("logLevel", "info", "trace", "debug", "info", "warn", "error"),
		Lanes:         r.integer("lanes", defaultLanes, maxLanes),

		RequestMemoryMB: r.integer("requestMemoryMb", defaultRequestMemoryMB, maxMemoryMB),
		BodyTimeout:     r.seconds("bodyTimeoutSeconds", defaultBodyTimeoutSeconds),
	}
	for _, a := range r.addresses("seeds", maxSeeds) {
		s.Seeds = append(s.Seeds, model.Address(a))
	}
	if o := r.object("tls"); o != nil {
		s.TLS = &TLS{
			Certificate: o.file("certificate"), Key: o.file("key"), CA: o.file("ca"),
			Searchers: o.enum("searchers", "off", "on", "off") == "on",
			Operators: o.names("operators", maxOperators),
		}
		r.addProblems(o)
	}
	r.checkDistinctAddresses()
	return s, r.err()
}
