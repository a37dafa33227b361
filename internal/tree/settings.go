package tree

import "time"

// Settings holds the effective values at a node as Go types. The descriptions of
// the keys say what they mean.
type Settings struct {
	AddressTTL      time.Duration
	Subset          int
	Spare           int
	Watchers        int
	PushFanout      int
	SeatLease       time.Duration
	DrainBound      time.Duration
	KeyWindow       time.Duration
	Quarantine      time.Duration
	LogLevel        string
	Weight          int
	MaxQueue        int
	Timeout         time.Duration
	MaxTimeout      time.Duration
	CutOffEarly     bool
	EarlyShare      float64
	EarlyAfter      float64
	Hedge           bool
	HedgeQuantile   float64
	HedgeBudget     float64
	RetryBudget     float64
	RestartBudget   int
	Canary          Canary
	EjectAfter      int
	Probation       time.Duration
	SlowStart       time.Duration
	AdaptiveLimit   bool
	PreferOwnDomain bool
	// ReturnAllowance is subtracted from each deadline to leave time for sending
	// the answer.
	ReturnAllowance time.Duration
}

// Canary selects the requests that run on one searcher before the others.
type Canary uint8

// Canary modes.
const (
	// CanaryOff selects none.
	CanaryOff Canary = iota
	// CanarySuspects selects requests that are suspected of crashing searchers.
	CanarySuspects
	// CanaryUnseen also selects requests that no searcher has survived yet.
	CanaryUnseen
)

// Effective returns the effective settings at a node. For a path that is not in
// the tree, it returns those of the nearest ancestor.
func (t Tree) Effective(p Path) Settings {
	number := func(k Key) int64 { return t.effective(p, k).number }
	enum := func(k Key) string { return t.effective(p, k).enum }
	ms := func(k Key) time.Duration { return time.Duration(number(k)) * time.Millisecond }
	share := func(k Key) float64 { return float64(number(k)) / 1000 }
	return Settings{
		AddressTTL:      ms(KeyAddressTTL),
		Subset:          int(number(KeySubset)),
		Spare:           int(number(KeySpare)),
		Watchers:        int(number(KeyWatchers)),
		PushFanout:      int(number(KeyPushFanout)),
		SeatLease:       ms(KeySeatLease),
		DrainBound:      ms(KeyDrainBound),
		KeyWindow:       ms(KeyKeyWindow),
		Quarantine:      ms(KeyQuarantine),
		LogLevel:        enum(KeyLogLevel),
		Weight:          int(number(KeyWeight)),
		MaxQueue:        int(number(KeyMaxQueue)),
		Timeout:         ms(KeyTimeout),
		MaxTimeout:      ms(KeyMaxTimeout),
		CutOffEarly:     enum(KeyCutOff) == "early",
		EarlyShare:      share(KeyEarlyShare),
		EarlyAfter:      share(KeyEarlyAfter),
		Hedge:           enum(KeyHedge) == "on",
		HedgeQuantile:   share(KeyHedgeQuantile),
		HedgeBudget:     share(KeyHedgeBudget),
		RetryBudget:     share(KeyRetryBudget),
		RestartBudget:   int(number(KeyRestartBudget)),
		Canary:          map[string]Canary{"off": CanaryOff, "suspects": CanarySuspects, "unseen": CanaryUnseen}[enum(KeyCanary)],
		EjectAfter:      int(number(KeyEjectAfter)),
		Probation:       ms(KeyProbation),
		SlowStart:       ms(KeySlowStart),
		AdaptiveLimit:   enum(KeyAdaptiveLimit) == "on",
		PreferOwnDomain: enum(KeyPreferOwnDomain) == "on",
		ReturnAllowance: ms(KeyReturnAllowance),
	}
}

func (t Tree) effective(p Path, k Key) Value {
	spec, _ := FindSpec(k)
	return t.lookup(p, spec).Value
}
