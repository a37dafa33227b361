package claim

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanpulley.example/internal/model"
)

// PartitionCount is the number of partitions that keys are hashed to. It is
// part of the stored format: with another count, a key would be looked up in
// another object, and its request could run again. With fewer partitions, more
// claims share a write. With more partitions, a key window holds more keys, at
// about 3,000 per partition.
const PartitionCount = 16

// PartitionNumber identifies a partition; it is less than PartitionCount.
type PartitionNumber uint32

// Key identifies a keyed request.
type Key struct {
	Account model.ClientAccount
	Service model.ServiceName
	Name    string
}

// KeyOf returns the key of a request.
func KeyOf(r model.KeyedRequest) Key { return Key{Account: r.Account, Service: r.Service, Name: r.Key} }

// Partition returns the partition of the key: xxhash64 over its length-prefixed
// parts, modulo PartitionCount.
func (k Key) Partition() PartitionNumber {
	d := xxhash.New()
	for _, s := range []string{string(k.Account), string(k.Service), k.Name} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	return PartitionNumber(d.Sum64() % PartitionCount)
}

func (k Key) compare(o Key) int {
	return cmp.Or(strings.Compare(string(k.Account), string(o.Account)),
		strings.Compare(string(k.Service), string(o.Service)), strings.Compare(k.Name, o.Name))
}

// State is the recorded outcome of a claim. Only Held is ever replaced.
type State uint8

// States of a claim.
const (
	// Held means that there is no outcome yet; the request may run or may have
	// run.
	Held State = iota
	// Done means that the request ran and its result is recorded.
	Done
	// Oversize means that the request ran but its result was larger than
	// MaxResultBytes.
	Oversize
	// Unknown means that the request was dispatched and it is not known whether
	// it ran.
	Unknown
)

// Claim is a durable record that allows one request to be dispatched for a key.
type Claim struct {
	Key Key
	// Nonce is the ID of the only request that may be dispatched.
	Nonce model.RequestID
	Owner model.HostID
	// Issued is when the caller issued the key.
	Issued time.Time
	// Until is the time by which the owner records the outcome, unless it
	// crashed or lost its connection to the platform.
	Until time.Time
	// BodyHash is the xxhash64 of the request's body.
	BodyHash uint64
	State    State
	Result   []byte
	// Size is the encoded size in bytes.
	Size int
}

// WithOutcome returns the claim with an outcome.
func (c Claim) WithOutcome(s State, result []byte) Claim {
	c.State, c.Result = s, slices.Clone(result)
	return c
}

// WithSize returns the claim with another encoded size.
func (c Claim) WithSize(n int) Claim {
	c.Size = n
	return c
}

// reservedSize returns the size including the space reserved for the outcome.
func (c Claim) reservedSize() int {
	if c.State == Held {
		return c.Size + outcomeReserveBytes
	}
	return c.Size
}

// Partition is the content of one claims object at one version.
type Partition struct {
	Number  PartitionNumber
	Version uint64
	// Floor is the newest time of issue of any claim that may have been
	// removed. Keys issued at that time or earlier cannot be claimed again,
	// regardless of the clock of the claiming host.
	Floor time.Time

	claims map[Key]Claim
	size   int
}

// NewPartition returns a partition with the given claims.
func NewPartition(n PartitionNumber, version uint64, floor time.Time, claims ...Claim) Partition {
	p := Partition{Number: n, Version: version, Floor: floor}
	return p.WithChanges(claims, nil)
}

// Claim returns the claim of a key.
func (p Partition) Claim(k Key) (Claim, bool) {
	c, ok := p.claims[k]
	return c, ok
}

// Claims returns all claims, sorted by key.
func (p Partition) Claims() []Claim {
	return slices.SortedFunc(maps.Values(p.claims), func(a, b Claim) int { return a.Key.compare(b.Key) })
}

// Size returns the size of all claims in bytes, including the space reserved
// for their outcomes.
func (p Partition) Size() int { return p.size }

// WithVersion returns the partition with another version.
func (p Partition) WithVersion(v uint64) Partition {
	p.Version = v
	return p
}

// WithChanges returns the partition with some claims added or replaced and
// others removed.
func (p Partition) WithChanges(put []Claim, remove []Key) Partition {
	claims := maps.Clone(p.claims)
	if claims == nil {
		claims = map[Key]Claim{}
	}
	for _, k := range remove {
		if old, ok := claims[k]; ok {
			p.size -= old.reservedSize()
			delete(claims, k)
		}
	}
	for _, c := range put {
		if old, ok := claims[c.Key]; ok {
			p.size -= old.reservedSize()
		}
		p.size += c.reservedSize()
		claims[c.Key] = c
	}
	p.claims = claims
	return p
}

// WithoutExpired returns the partition without the claims issued at the horizon
// or earlier. The floor rises only to the newest of them, so that a host whose
// clock is far ahead does not block keys that are issued from now on.
func (p Partition) WithoutExpired(horizon time.Time) Partition {
	var expired []Key
	for k, c := range p.claims {
		if !c.Issued.After(horizon) {
			expired = append(expired, k)
			if c.Issued.After(p.Floor) {
				p.Floor = c.Issued
			}
		}
	}
	if len(expired) == 0 {
		return p
	}
	return p.WithChanges(nil, expired)
}
