// Package claim makes non-idempotent requests run at most once for each key,
// across all entry hosts.
//
// Before a request is dispatched, a claim on its key is written to a partition
// object of the platform by a conditional update. Only the request named by the
// claim's nonce may be dispatched, once, within MaxDispatchDelay of the claim
// write. The outcome is recorded in the claim and returned to later requests with
// the key on any host. If the owner of a claim crashes, its request never runs
// again.
//
// A World holds tables of partitions, keys in progress, waiting requests and
// searchers. All pending changes of a partition share one write. The package
// performs no I/O, does not read the clock and does not depend on the encoding
// of claims.
//
// # Usage
//
//	world := claim.NewWorld("host-a", "karachi-a")
//	world.Size = wire.ClaimSize
//	world.Tick(now, []claim.Event{claim.ViewChanged{View: v}})
//	commands := world.Tick(now, []claim.Event{claim.Submitted{Request: r}})
//	// perform ReadPartition, WritePartition, Send, Resolve and Idle
//	commands = world.Tick(later, []claim.Event{claim.ReadDone{Partition: p}})
package claim

import (
	"math/rand/v2"
	"time"

	"toucanpulley.example/internal/model"
	"toucanpulley.example/internal/policy"
	"toucanpulley.example/internal/table"
	"toucanpulley.example/internal/tick"
	"toucanpulley.example/internal/view"
)

const (
	// MaxDispatchDelay is the longest time from the claim write to the
	// dispatch. It bounds how late a host can dispatch after a pause.
	MaxDispatchDelay = 2 * time.Second
	// MaxClockSkew is the tolerated difference between the clocks of callers
	// and hosts.
	MaxClockSkew = time.Minute
	// MaxResultBytes is the size of the largest result that is recorded.
	MaxResultBytes = 2 << 10
	// MaxPartitionBytes is the largest total size of a partition's claims. The
	// remaining 4 KiB of the platform's limit of 1 MiB are for the encoding
	// around the claims.
	MaxPartitionBytes = 1<<20 - 4<<10

	// outcomeReserveBytes is the space reserved for the outcome of a claim that
	// has none yet: the largest result in base64.
	outcomeReserveBytes = MaxResultBytes*4/3 + 64
	// recordGracePeriod is the time after a request's deadline within which the
	// owner of its claim records the outcome, unless it crashed.
	recordGracePeriod = 5 * time.Second
	// maxWaitingRequests bounds the number of requests that wait on this host,
	// and maxWaitingBytes the total size of their bodies.
	maxWaitingRequests = 4096
	maxWaitingBytes    = 32 << 20
	// pollInterval is the delay between reads for a claim that another host
	// holds.
	pollInterval = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed platform
	// call; maxConflictDelay bounds the delay after a version conflict.
	minRetryDelay    = 5 * time.Millisecond
	maxRetryDelay    = time.Second
	maxConflictDelay = 100 * time.Millisecond
	// writeInterval and writeBurst limit the writes of one host to 100 a second
	// after a burst. The platform accepts several hundred writes a second in
	// total, and a service runs on a few hosts.
	writeInterval = 10 * time.Millisecond
	writeBurst    = 16
	// contentionPeriod is how long after a version conflict a partition is read
	// before each write, unless its content is at most maxContentAge old. A read
	// costs the platform less than a write that fails.
	contentionPeriod = time.Second
	maxContentAge    = 2 * time.Millisecond
	// partitionIdleTimeout is how long an unused partition stays cached.
	partitionIdleTimeout = 10 * time.Second
)

// World holds the state of keyed requests on one host.
type World struct {
	tick.Frame[Event, Command]
	// Host and FailureDomain are the location of this world.
	Host          model.HostID
	FailureDomain model.FailureDomain
	// Size returns the encoded size of a claim in bytes; set before the first
	// tick.
	Size func(Claim) int
	// Random is the source of the jitter of retry delays; set before the first
	// tick.
	Random *rand.Rand

	view         view.View
	stopping     bool
	waitingBytes int
	writeLimiter *policy.TokenBucket

	partitions *table.Table[PartitionNumber]
	partition  *table.Column[partitionState]

	keys *table.Table[Key]
	key  *table.Column[keyState]

	waiters *table.Table[model.RequestID]
	waiter  *table.Column[waiterState]

	searchers *table.Table[model.SearcherID]
	searcher  *table.Column[searcherState]
}

// NewWorld returns a world without keys.
func NewWorld(host model.HostID, domain model.FailureDomain) *World {
	w := &World{
		Host: host, FailureDomain: domain, Size: func(Claim) int { return 0 }, Random: rand.New(rand.NewPCG(1, 2)),
		view:         view.New(),
		writeLimiter: policy.NewTokenBucket(writeInterval, writeBurst),
		partitions:   table.New[PartitionNumber](),
		keys:         table.New[Key](),
		waiters:      table.New[model.RequestID](),
		searchers:    table.New[model.SearcherID](),
	}
	w.partition = table.NewColumn[partitionState](w.partitions)
	w.key = table.NewColumn[keyState](w.keys)
	w.waiter = table.NewColumn[waiterState](w.waiters)
	w.searcher = table.NewColumn[searcherState](w.searchers)
	w.SetSystems(
		w.updateView, w.admit, w.receive, w.reconcile, w.finishDispatch, w.expire,
		w.dispatch, w.write, w.read, w.evict,
	)
	return w
}

// PendingKeys returns the number of keys in progress on this host.
func (w *World) PendingKeys() int { return w.keys.Len() }
