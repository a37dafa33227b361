package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/internal/model"
)

// IndexDocument is the JSON form of the object index/<service>.
type IndexDocument struct {
	Service   string             `json:"service"`
	Searchers []SearcherDocument `json:"searchers"`
	Versions  []VersionDocument  `json:"versions"`
}

// SearcherDocument is the JSON form of a searcher.
type SearcherDocument struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Slots         int    `json:"slots"`
	ConnectionCap int    `json:"connectionCap"`
	ConnectCostMs int    `json:"connectCostMs"`
}

// VersionDocument is the JSON form of an index version with its shard map.
type VersionDocument struct {
	Version uint64          `json:"version"`
	Shards  []ShardDocument `json:"shards"`
}

// ShardDocument is the JSON form of a shard.
type ShardDocument struct {
	ID          string   `json:"id"`
	FirstRecord string   `json:"firstRecord"`
	LastRecord  string   `json:"lastRecord"`
	Records     uint64   `json:"records"`
	Replicas    []string `json:"replicas"`
}

// DecodeIndex decodes an index object. The name is used in errors.
func DecodeIndex(name string, value []byte) (model.Index, error) {
	var doc IndexDocument
	if err := decodeStrict(value, &doc); err != nil {
		return model.Index{}, fault.Wrap(err, "decode index", name)
	}
	x := model.Index{Service: model.ServiceName(doc.Service)}
	for _, s := range doc.Searchers {
		if s.ID == "" || s.Address == "" || s.Slots < 1 || s.ConnectionCap < 1 {
			return model.Index{}, fault.New("decode index", name,
				"searcher %q needs an id, an address, slots and connectionCap of at least 1", s.ID)
		}
		x.Searchers = append(x.Searchers, model.Searcher{
			ID: model.SearcherID(s.ID), Address: model.Address(s.Address),
			FailureDomain: model.FailureDomain(s.FailureDomain), Slots: s.Slots,
			ConnectionCap: s.ConnectionCap, ConnectCost: time.Duration(s.ConnectCostMs) * time.Millisecond,
		})
	}
	snapshots := make([]model.Snapshot, 0, len(doc.Versions))
	for _, v := range doc.Versions {
		shards, err := decodeShards(name, v)
		if err != nil {
			return model.Index{}, err
		}
		snapshots = append(snapshots, model.NewSnapshot(x.Service, model.IndexVersion(v.Version), shards))
	}
	return x.WithSnapshots(snapshots), nil
}

func decodeShards(name string, v VersionDocument) ([]model.Shard, error) {
	shards := make([]model.Shard, 0, len(v.Shards))
	for i, s := range v.Shards {
		if s.ID == "" || s.FirstRecord > s.LastRecord {
			return nil, fault.New("decode index", name,
				"version %d shard %q needs an id and firstRecord not after lastRecord", v.Version, s.ID)
		}
		if i > 0 && s.FirstRecord <= v.Shards[i-1].LastRecord {
			return nil, fault.New("decode index", name,
				"version %d shard %q overlaps the shard before it or is out of order", v.Version, s.ID)
		}
		shard := model.Shard{
			ID: model.ShardID(s.ID), FirstRecord: s.FirstRecord, LastRecord: s.LastRecord, Records: s.Records,
		}
		for _, id := range s.Replicas {
			shard.Replicas = append(shard.Replicas, model.SearcherID(id))
		}
		shards = append(shards, shard)
	}
	return shards, nil
}

// EncodeJSON encodes a document as JSON. It panics on an error, because the
// documents of this package can always be encoded.
func EncodeJSON(doc any) []byte {
	value, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return value
}

// decodeStrict decodes JSON and rejects unknown fields and trailing data.
func decodeStrict(value []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the JSON value")
	}
	return nil
}
