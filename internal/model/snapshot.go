package model

import "slices"

// IndexVersion is the version number of the index of a service. Higher versions
// are newer.
type IndexVersion uint64

// ShardID identifies a shard of an index version.
type ShardID string

// Shard is a contiguous range of records with the searchers that hold it.
type Shard struct {
	ID ShardID
	// FirstRecord and LastRecord are the inclusive bounds of the record IDs.
	FirstRecord string
	LastRecord  string
	// Records is the number of records in the shard.
	Records  uint64
	Replicas []SearcherID
}

// Contains reports whether a record ID is in the range of the shard.
func (s Shard) Contains(record string) bool {
	return s.FirstRecord <= record && record <= s.LastRecord
}

// Snapshot is an index version with its shard map.
type Snapshot struct {
	Service ServiceName
	Version IndexVersion
	Shards  []Shard
}

// NewSnapshot returns a snapshot with a copy of the shards.
func NewSnapshot(service ServiceName, version IndexVersion, shards []Shard) Snapshot {
	return Snapshot{Service: service, Version: version, Shards: slices.Clone(shards)}
}

// Records returns the total number of records in all shards.
func (s Snapshot) Records() uint64 {
	var n uint64
	for _, shard := range s.Shards {
		n += shard.Records
	}
	return n
}

// Index holds the known searchers and index versions of a service.
type Index struct {
	Service   ServiceName
	Searchers []Searcher
	// Snapshots are sorted from newest to oldest.
	Snapshots []Snapshot
}

// WithSnapshots returns a copy of the index with the given snapshots, sorted from
// newest to oldest.
func (x Index) WithSnapshots(snapshots []Snapshot) Index {
	sorted := slices.Clone(snapshots)
	slices.SortFunc(sorted, func(a, b Snapshot) int { return int(b.Version) - int(a.Version) })
	x.Snapshots = sorted
	return x
}

// Searcher returns the searcher with the given ID.
func (x Index) Searcher(id SearcherID) (Searcher, bool) {
	i := slices.IndexFunc(x.Searchers, func(s Searcher) bool { return s.ID == id })
	if i < 0 {
		return Searcher{}, false
	}
	return x.Searchers[i], true
}
