package conf

import (
	"os"
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// RelaySettings are the settings of an entry host that relays requests by routes.
type RelaySettings struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	Region        model.Region
	// Entry is the address for callers, Ready the one for health checks, and
	// Directory the one where callers ask which address to use.
	Entry     model.Address
	Ready     model.Address
	Directory model.Address
	// Peer is the address for other daemons, Metrics the one for metrics.
	Peer    model.Address
	Metrics model.Address
	// Platform is the address of the platform's store.
	Platform model.Address
	// Seeds are peer addresses for first contact.
	Seeds    []model.Address
	LogLevel string
	// Cores is the number of processor cores that run at once, CPUShare the part
	// of them that the process gets.
	Cores    int
	CPUShare float64
	// LinkMbps is the bandwidth of the machine's link, MemoryMB its memory.
	LinkMbps float64
	MemoryMB float64
	// AddressTTL is how long callers may keep an address answer.
	AddressTTL time.Duration
	// Grace is the time from a request to stop until the process is killed.
	Grace time.Duration
	// RetryShare, RetrySlack and RetryWindow bound the calls beyond the first of
	// each request for a service, over all hosts.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Limits and defaults of relay settings, in the units of their keys.
const (
	maxMemoryMB               = 1 << 20
	defaultAddressTTLSeconds  = 1
	maxSeconds                = 600
	defaultGraceSeconds       = 6
	maxRetrySlackCalls        = 1_000_000
	defaultRetryWindowSeconds = 10
	defaultRetryShare         = 0.2
	defaultRetrySlackCalls    = 10
	defaultMemoryMB           = 256
	defaultLinkMbps           = 1000
	maxLinkMbps               = 1_000_000
)

// milliCoresPerMbps is the capacity in thousandths of a core that one Mbit/s of a
// link can use: a core relays about 250 Mbit/s of small replies.
const milliCoresPerMbps = 4

// Capacity returns the strength of the host in thousandths of a core, or what
// its link can use if that is less.
func (s RelaySettings) Capacity() int {
	return int(min(s.CPUShare*float64(s.Cores)*1000, s.LinkMbps*milliCoresPerMbps))
}

// LoadRelay reads and checks the settings file of a relaying host.
func LoadRelay(name string) (RelaySettings, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return RelaySettings{}, fault.Wrap(err, "read settings file", name)
	}
	return ParseRelay(data)
}

// ParseRelay checks settings in JSON. The error is an *ValidationError with every
// problem that was found.
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
		Cores:    r.integer("cores", 1, maxLanes),
		CPUShare: r.fraction("cpuShare", 1, 1), LinkMbps: r.fraction("linkMbps", defaultLinkMbps, maxLinkMbps),
		MemoryMB:   r.fraction("memoryMb", defaultMemoryMB, maxMemoryMB),
		AddressTTL: r.seconds("addressTtlSeconds", defaultAddressTTLSeconds), Grace: r.seconds("graceSeconds", defaultGraceSeconds),
		RetryShare:  r.fraction("retryShare", defaultRetryShare, 1),
		RetrySlack:  r.fraction("retrySlack", defaultRetrySlackCalls, maxRetrySlackCalls),
		RetryWindow: r.seconds("retryWindowSeconds", defaultRetryWindowSeconds),
	}
	r.checkDistinctAddresses()
	for _, a := range r.addresses("seeds", maxSeeds) {
		s.Seeds = append(s.Seeds, model.Address(a))
	}
	return s, r.err()
}

// fraction returns an optional number from 0 to a bound, which need not be whole.
func (r *reader) fraction(key string, defaultValue, maximum float64) float64 {
	n := defaultValue
	if r.decodeKey(key, false, &n, "a number") && (n < 0 || n > maximum) {
		r.addProblem(key, "%g is out of range; allowed: a number from 0 to %g", n, maximum)
	}
	return n
}

// seconds returns an optional time, at least a millisecond.
func (r *reader) seconds(key string, defaultValue float64) time.Duration {
	const minSeconds = 0.001
	n := defaultValue
	if r.decodeKey(key, false, &n, "a number of seconds") && (n < minSeconds || n > maxSeconds) {
		r.addProblem(key, "%g is out of range; allowed: %g to %d seconds", n, minSeconds, maxSeconds)
	}
	return time.Duration(n * float64(time.Second))
}
