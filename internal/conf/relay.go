package conf

import (
	"os"
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// RelaySettings holds the settings of an entry host that relays requests according
// to routes.
type RelaySettings struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	Region        model.Region
	// Entry is the address for callers, Ready the address for health checks, and
	// Directory the address at which callers look up entry addresses.
	Entry     model.Address
	Ready     model.Address
	Directory model.Address
	// Peer is the address for other daemons, Metrics the address of the metrics
	// endpoint.
	Peer    model.Address
	Metrics model.Address
	// Platform is the address of the platform's store.
	Platform model.Address
	// Seeds are peer addresses used to join.
	Seeds    []model.Address
	LogLevel string
	// Cores is the number of processor cores that the process uses at the same time,
	// and CPUShare the share of their time that it gets.
	Cores    int
	CPUShare float64
	// LinkMbps is the bandwidth of the network link of the machine, and MemoryMB
	// the size of its memory.
	LinkMbps float64
	MemoryMB float64
	// AddressTTL is the time for which callers may cache an address answer.
	AddressTTL time.Duration
	// Grace is the time between the stop signal and the kill of the process.
	Grace time.Duration
	// RetryShare, RetrySlack and RetryWindow limit the calls beyond the first call
	// of each request of a service, for all hosts together.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// RequestMemoryMB bounds the memory that the requests of all callers hold together,
	// Descriptors is the number of descriptors that the process may open, zero for the
	// limit of the operating system, and BodyTimeout bounds the time for a body.
	RequestMemoryMB float64
	Descriptors     int
	BodyTimeout     time.Duration
	// ChangeBound is the time within which a change in the platform's store must be in
	// force on all hosts that reach it.
	ChangeBound time.Duration
}

// Limits and defaults of relay settings, in the units of their keys.
const (
	maxCores                  = 64
	maxMemoryMB               = 1 << 20
	defaultAddressTTLSeconds  = 1
	maxDurationSeconds        = 600
	defaultGraceSeconds       = 6
	maxRetrySlackCalls        = 1_000_000
	defaultRetryWindowSeconds = 10
	defaultBodyTimeoutSeconds = 60
	maxDescriptors            = 1 << 20
	// requestMemoryShare is the default of the request memory as a share of the memory.
	requestMemoryShare     = 0.25
	defaultChangeBoundMs   = 5000
	minChangeBoundMs       = 100
	maxChangeBoundMs       = 600_000
	defaultRetryShare      = 0.2
	defaultRetrySlackCalls = 10
	defaultMemoryMB        = 256
	defaultLinkMbps        = 1000
	maxLinkMbps            = 1_000_000
)

// milliCoresPerMbps is the processing capacity that one Mbit/s of a link can use,
// in thousandths of a core. A core relays about 250 Mbit/s of small replies.
const milliCoresPerMbps = 4

// Capacity returns the processing capacity of the host in thousandths of a core,
// or what its network link can use if that is less.
func (s RelaySettings) Capacity() int {
	return int(min(s.CPUShare*float64(s.Cores)*1000, s.LinkMbps*milliCoresPerMbps))
}

// LoadRelay reads and validates the settings file of a relaying host.
func LoadRelay(name string) (RelaySettings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return RelaySettings{}, fault.Wrap(err, "read settings file", name)
	}
	return ParseRelay(data)
}

// ParseRelay decodes and validates settings in JSON. Invalid settings return a
// *ValidationError with all problems.
func ParseRelay(data []byte) (RelaySettings, error) {
	r, err := newReader(data)
	if err != nil {
		return RelaySettings{}, err
	}
	s := RelaySettings{
		Host: model.HostID(r.name("host")), FailureDomain: model.FailureDomain(r.name("failureDomain")),
		Region: model.Region(r.name("region")), Entry: model.Address(r.address("entryAddress")),
		Ready: model.Address(r.address("readyAddress")), Directory: model.Address(r.address("directoryAddress")),
		Peer: model.Address(r.address("peerAddress")), Metrics: model.Address(r.address("metricsAddress")),
		Platform: model.Address(r.address("platform")),
		LogLevel: r.enum("logLevel", "info", "trace", "debug", "info", "warn", "error"),
		Cores:    r.integer("cores", 1, maxCores),
		CPUShare: r.number("cpuShare", 1, 1), LinkMbps: r.number("linkMbps", defaultLinkMbps, maxLinkMbps),
		MemoryMB:   r.number("memoryMb", defaultMemoryMB, maxMemoryMB),
		AddressTTL: r.seconds("addressTtlSeconds", defaultAddressTTLSeconds), Grace: r.seconds("graceSeconds", defaultGraceSeconds),
		RetryShare:  r.number("retryShare", defaultRetryShare, 1),
		RetrySlack:  r.number("retrySlack", defaultRetrySlackCalls, maxRetrySlackCalls),
		RetryWindow: r.seconds("retryWindowSeconds", defaultRetryWindowSeconds),
		Descriptors: r.integer("descriptors", 0, maxDescriptors),
		BodyTimeout: r.seconds("bodyTimeoutSeconds", defaultBodyTimeoutSeconds),
	}
	s.RequestMemoryMB = r.number("requestMemoryMb", s.MemoryMB*requestMemoryShare, maxMemoryMB)
	s.ChangeBound = min(r.changeBound("leavingBoundMs"), r.changeBound("configurationBoundMs"))
	r.checkDistinctAddresses()
	for _, a := range r.addresses("seeds", maxSeeds) {
		s.Seeds = append(s.Seeds, model.Address(a))
	}
	return s, r.err()
}

// number returns the value of an optional key that holds a number from 0 to
// maximum.
func (r *reader) number(key string, defaultValue, maximum float64) float64 {
	n := defaultValue
	if r.decodeKey(key, false, &n, "a number") && (n < 0 || n > maximum) {
		r.addProblem(key, "%g is out of range; allowed: a number from 0 to %g", n, maximum)
	}
	return n
}

// seconds returns the value of an optional key that holds a duration in seconds,
// from 1 ms to maxDurationSeconds.
func (r *reader) seconds(key string, defaultValue float64) time.Duration {
	const minDurationSeconds = 0.001
	n := defaultValue
	if r.decodeKey(key, false, &n, "a number of seconds") && (n < minDurationSeconds || n > maxDurationSeconds) {
		r.addProblem(key, "%g is out of range; allowed: %g to %d seconds", n, minDurationSeconds, maxDurationSeconds)
	}
	return time.Duration(n * float64(time.Second))
}

// changeBound returns the value of an optional key that holds the time within which a
// change must be in force, in milliseconds.
func (r *reader) changeBound(key string) time.Duration {
	n := float64(defaultChangeBoundMs)
	if r.decodeKey(key, false, &n, "a number of milliseconds") && (n < minChangeBoundMs || n > maxChangeBoundMs) {
		r.addProblem(key, "%g is out of range; allowed: %d to %d milliseconds", n, minChangeBoundMs, maxChangeBoundMs)
	}
	return time.Duration(n * float64(time.Millisecond))
}
