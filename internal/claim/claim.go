// Package claim decides how non-idempotent requests run at most once for each
// key, over all entry hosts.
//
// Before a request is dispatched, a claim on its key is written to a partition
// object of the platform by a conditional update. Only the request named by the
// claim's nonce may be dispatched, once, within MaxDispatchDelay of the claim
// write. The outcome is recorded in the claim, and requests that repeat the key
// through any host get it. A claim whose owner died is never run again.
//
// A World holds tables of partitions, local claims, requests that wait for an
// answer, and searchers. All changes that wait for a partition share one write.
// The package does no I/O, reads no clock and knows no encoding.
//
// # Usage
//
//	world := claim.NewWorld("host-a", "karachi-a")
//	world.Size = wire.ClaimSize
//	world.Tick(now, []claim.Event{claim.ViewChanged{View: v}})
//	commands := world.Tick(now, []claim.Event{claim.Submitted{Request: r}})
//	// carry out ReadPartition, WritePartition, Send, Resolve and Idle
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
	// MaxDispatchDelay is the longest time from the claim write to the dispatch.
	// It bounds what a host that was paused may still do when it resumes.
	MaxDispatchDelay = 2 * time.Second
	// MaxClockSkew is how far the clocks of callers and hosts may differ.
	MaxClockSkew = time.Minute
	// MaxResultBytes is the largest result that is recorded, in bytes.
	MaxResultBytes = 2 << 10
	// MaxPartitionBytes is the largest size of a partition's claims, in bytes. The rest
	// of the platform's megabyte is for the frame around the claims.
	MaxPartitionBytes = 1<<20 - 4<<10

	// outcomeReserveBytes is the room that a claim without outcome takes besides its
	// own size: the result in base64.
	outcomeReserveBytes = MaxResultBytes*4/3 + 64
	// recordGracePeriod is the time after a request's deadline within which its owner
	// records the outcome, unless it died.
	recordGracePeriod = 5 * time.Second
	// maxWaitingRequests bounds the requests of this host that wait for an answer, and
	// maxWaitingBytes the size of their bodies in bytes.
	maxWaitingRequests = 4096
	maxWaitingBytes    = 32 << 20
	// pollInterval is the delay between reads for a claim that another host holds.
	pollInterval = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed platform call,
	// maxConflictDelay the delay after a conflict.
	minRetryDelay    = 5 * time.Millisecond
	maxRetryDelay    = time.Second
	maxConflictDelay = 100 * time.Millisecond
	// writeInterval and writeBurst pace the writes of one host: 100 a second after
	// a burst. The platform takes several hundred writes a second in all, and a
	// service runs on a few hosts.
	writeInterval = 10 * time.Millisecond
	writeBurst    = 16
	// contentionPeriod is how long after a conflict a partition is read before it is
	// written, unless it was seen within maxContentAge. Reads are cheaper for the
	// platform than writes that fail.
	contentionPeriod = time.Second
	maxContentAge    = 2 * time.Millisecond
	// partitionIdleTimeout is how long an unused partition is kept.
	partitionIdleTimeout = 10 * time.Second
)

// World is the state of keyed requests on one host.
type World struct {
	tick.Frame[Event, Command]
	// Host and FailureDomain tell where the world runs.
	Host          model.HostID
	FailureDomain model.FailureDomain
	// Size returns the encoded size of a claim in bytes; set before the first
	// tick.
	Size func(Claim) int
	// Random spreads retries; set before the first tick.
	Random *rand.Rand

	view         view.View
	stopping     bool
	waitingBytes int
	writeLimiter *policy.Pace

	partitions *table.Table[PartitionNumber]
	partition  *table.Column[partitionState]

	claims *table.Table[Key]
	claim  *table.Column[keyState]

	callers *table.Table[model.RequestID]
	caller  *table.Column[callerState]

	searchers *table.Table[model.SearcherID]
	searcher  *table.Column[searcherState]
}

// NewWorld returns a world without claims.
func NewWorld(host model.HostID, domain model.FailureDomain) *World {
	w := &World{
		Host: host, FailureDomain: domain, Size: func(Claim) int { return 0 }, Random: rand.New(rand.NewPCG(1, 2)),
		view:         view.New(),
		writeLimiter: policy.NewPace(writeInterval, writeBurst),
		partitions:   table.New[PartitionNumber](),
		claims:       table.New[Key](),
		callers:      table.New[model.RequestID](),
		searchers:    table.New[model.SearcherID](),
	}
	w.partition = table.NewColumn[partitionState](w.partitions)
	w.claim = table.NewColumn[keyState](w.claims)
	w.caller = table.NewColumn[callerState](w.callers)
	w.searcher = table.NewColumn[searcherState](w.searchers)
	w.Order(
		w.updateView, w.admit, w.receive, w.reconcile, w.finishDispatch, w.expire,
		w.dispatch, w.write, w.read, w.evict,
	)
	return w
}

// PendingKeys returns the number of keys that this host has work to do for.
func (w *World) PendingKeys() int { return w.claims.Len() }
