package tree

import (
	"slices"
	"strconv"
	"strings"

	"toucanpulley.example/internal/fault"
)

// Key names a setting.
type Key string

// Keys of the settings tree. The suffix of a name is the unit: Ms for
// milliseconds, Permille for thousandths.
const (
	KeyAddressTTL      Key = "addressTtlMs"
	KeySubset          Key = "subset"
	KeySpare           Key = "spare"
	KeyWatchers        Key = "watchersPerDomain"
	KeyPushFanout      Key = "pushFanout"
	KeySeatLease       Key = "seatLeaseMs"
	KeyDrainBound      Key = "drainBoundMs"
	KeyKeyWindow       Key = "keyWindowMs"
	KeyQuarantine      Key = "quarantineMs"
	KeyLogLevel        Key = "logLevel"
	KeyWeight          Key = "weight"
	KeyMaxQueue        Key = "maxQueue"
	KeyTimeout         Key = "timeoutMs"
	KeyMaxTimeout      Key = "maxTimeoutMs"
	KeyCutOff          Key = "cutOff"
	KeyEarlyShare      Key = "earlySharePermille"
	KeyEarlyAfter      Key = "earlyAfterPermille"
	KeyHedge           Key = "hedge"
	KeyHedgeQuantile   Key = "hedgeQuantilePermille"
	KeyHedgeBudget     Key = "hedgeBudgetPermille"
	KeyRetryBudget     Key = "retryBudgetPermille"
	KeyRestartBudget   Key = "restartBudget"
	KeyCanary          Key = "canary"
	KeyEjectAfter      Key = "ejectAfter"
	KeyProbation       Key = "probationMs"
	KeySlowStart       Key = "slowStartMs"
	KeyAdaptiveLimit   Key = "adaptiveLimit"
	KeyPreferOwnDomain Key = "preferOwnDomain"
	KeyReturnAllowance Key = "returnAllowanceMs"
)

// Spec describes a key: where it may be set, its default and its allowed values.
type Spec struct {
	Key Key
	// DeepestKind is the lowest level at which the key may be set.
	DeepestKind Kind
	Default     Value
	// Min and Max bound a number, inclusive.
	Min, Max int64
	// Allowed lists the values of an enumeration; nil for a number.
	Allowed []string
	// Description is a one-sentence help text for operators.
	Description string
}

const (
	minuteMs = 60 * 1000
	hourMs   = 60 * 60 * 1000
)

var specs = []Spec{
	numberSpec(KeyAddressTTL, KindRoot, 10_000, 1000, 10*minuteMs, "Time for which callers may keep an address answer."),
	numberSpec(KeySubset, KindRoot, 2, 1, 64, "Number of entry hosts that run the requests of one service."),
	numberSpec(KeySpare, KindRoot, 2, 0, 64, "Seats of a service beyond the subset, for hosts that are being replaced."),
	numberSpec(KeyWatchers, KindRoot, 2, 1, 16, "Hosts of each failure domain that watch the platform."),
	numberSpec(KeyPushFanout, KindRoot, 3, 1, 16, "Peers to which a host pushes a new settings revision."),
	numberSpec(KeySeatLease, KindRoot, minuteMs, 5000, hourMs, "Time after which an unrenewed seat may be taken over."),
	numberSpec(KeyDrainBound, KindRoot, 2*minuteMs, 1000, hourMs, "Longest time of a graceful shutdown."),
	numberSpec(KeyKeyWindow, KindRoot, hourMs, 10_000, 24*hourMs, "Time for which an idempotency key is remembered."),
	numberSpec(KeyQuarantine, KindRoot, 10*minuteMs, 1000, 24*hourMs, "Time for which a request that crashed searchers is refused."),
	enumSpec(KeyLogLevel, KindRoot, "info", []string{"trace", "debug", "info", "warn", "error"}, "Lowest level that is logged."),
	numberSpec(KeyWeight, KindAccount, 1, 1, 1000, "Share of capacity of a client account under contention."),
	numberSpec(KeyMaxQueue, KindAccount, 200, 0, 100_000, "Requests of a client account that may wait on one host."),
	numberSpec(KeyTimeout, KindScope, 400, 1, minuteMs, "Time budget of a search that names none."),
	numberSpec(KeyMaxTimeout, KindScope, 10_000, 1, 10*minuteMs, "Longest time budget that a caller may ask for."),
	enumSpec(KeyCutOff, KindScope, "full", []string{"full", "early"}, "Whether to wait for full coverage up to the deadline."),
	numberSpec(KeyEarlyShare, KindScope, 20, 0, 1000, "With cutOff early: share of records that may be left out."),
	numberSpec(KeyEarlyAfter, KindScope, 500, 0, 1000, "With cutOff early: part of the time budget to wait first."),
	enumSpec(KeyHedge, KindScope, "on", []string{"on", "off"}, "Whether slow calls are sent to a second replica."),
	numberSpec(KeyHedgeQuantile, KindScope, 950, 500, 999, "Quantile of recent latency after which a call is hedged."),
	numberSpec(KeyHedgeBudget, KindRoot, 50, 0, 1000, "Hedged calls as a share of all calls."),
	numberSpec(KeyRetryBudget, KindRoot, 100, 0, 1000, "Retried calls as a share of all calls."),
	numberSpec(KeyRestartBudget, KindScope, 1, 0, 10, "Times that a search may start anew on another index version."),
	enumSpec(KeyCanary, KindScope, "unseen", []string{"off", "suspects", "unseen"}, "Which requests run on one searcher before the others."),
	numberSpec(KeyEjectAfter, KindRoot, 3, 1, 100, "Consecutive failures after which a searcher is ejected."),
	numberSpec(KeyProbation, KindRoot, 2000, 10, 10*minuteMs, "Time for which an ejected searcher gets no new work."),
	numberSpec(KeySlowStart, KindRoot, 1000, 0, 10*minuteMs, "Time over which a cold searcher's limit grows to its full value."),
	enumSpec(KeyAdaptiveLimit, KindRoot, "on", []string{"on", "off"}, "Whether shed replies lower the concurrency limit of a searcher."),
	enumSpec(KeyPreferOwnDomain, KindRoot, "on", []string{"on", "off"}, "Whether replicas of the host's own failure domain go first."),
	numberSpec(KeyReturnAllowance, KindRoot, 5, 0, 1000, "Time kept back from each deadline for the way back to the caller."),
}

// specByKey is a map because every request looks up keys.
var specByKey = func() map[Key]Spec {
	m := map[Key]Spec{}
	for _, s := range specs {
		m[s.Key] = s
	}
	return m
}()

func numberSpec(k Key, deepest Kind, defaultValue, minValue, maxValue int64, description string) Spec {
	return Spec{Key: k, DeepestKind: deepest, Default: Number(defaultValue), Min: minValue, Max: maxValue, Description: description}
}

func enumSpec(k Key, deepest Kind, defaultValue string, allowed []string, description string) Spec {
	return Spec{Key: k, DeepestKind: deepest, Default: Enum(defaultValue), Allowed: allowed, Description: description}
}

// Specs returns the description of every key.
func Specs() []Spec { return slices.Clone(specs) }

// FindSpec returns the description of a key.
func FindSpec(k Key) (Spec, bool) {
	s, ok := specByKey[k]
	return s, ok
}

// Constraint describes the allowed values for error messages.
func (s Spec) Constraint() string {
	if s.Allowed != nil {
		return "one of " + strings.Join(s.Allowed, ", ")
	}
	return "a whole number from " + strconv.FormatInt(s.Min, 10) + " to " + strconv.FormatInt(s.Max, 10)
}

// Check returns an error that names path and key if the value is not allowed at
// a node of the given path.
func (s Spec) Check(at Path, v Value) error {
	location := string(at) + " " + string(s.Key)
	if at.Kind() > s.DeepestKind {
		return fault.New("check settings", "", "%s: this key may be set on a %s or above it, not on a %s", location, s.DeepestKind, at.Kind())
	}
	valid := !v.isEnum && v.number >= s.Min && v.number <= s.Max
	if s.Allowed != nil {
		valid = v.isEnum && slices.Contains(s.Allowed, v.enum)
	}
	if !valid {
		return fault.New("check settings", "", "%s: %s is not allowed; allowed: %s", location, v, s.Constraint())
	}
	return nil
}
