// Package conf reads the settings file of an entry host: its identity, its
// addresses and where the platform is. All other settings come from the
// settings tree.
//
// # Usage
//
//	settings, err := conf.Load("host.json")
//	var bad *conf.ValidationError
//	if errors.As(err, &bad) {
//		for _, p := range bad.Problems { ... }
//	}
package conf

import (
	"os"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// Settings are the settings of one entry host.
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
	// Seeds are peer addresses for first contact when the platform is away.
	Seeds    []model.Address
	LogLevel string
	// Lanes is the number of traffic goroutines.
	Lanes int
	// TLS is nil for plain connections.
	TLS *TLS
}

// TLS names the certificate files of a host, in PEM.
type TLS struct {
	Certificate string
	Key         string
	CA          string
	// Searchers is set if searchers are reached by mutual TLS.
	Searchers bool
	// Operators are the DNS names of the certificates that may use AdminService.
	Operators []string
}

// WithAddresses returns the settings with other addresses.
func (s Settings) WithAddresses(entry, peer model.Address) Settings {
	s.Entry, s.Peer = entry, peer
	return s
}

const (
	defaultLanes = 2
	maxLanes     = 64
	maxSeeds     = 64
	maxOperators = 64
)

// Load reads and checks a settings file.
func Load(name string) (Settings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, fault.Wrap(err, "read settings file", name)
	}
	return Parse(data)
}

// Parse checks settings in JSON. The error is an *ValidationError with every problem
// that was found.
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
