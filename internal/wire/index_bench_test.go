package wire

import (
	"fmt"
	"testing"
)

// BenchmarkDecodeIndex measures time and memory for index objects with various
// numbers of searchers, two for each shard.
func BenchmarkDecodeIndex(b *testing.B) {
	for _, searchers := range []int{84, 840, 8400} {
		doc := IndexDocument{Service: "jury-desk", Versions: []VersionDocument{{Version: 1}}}
		for i := range searchers {
			id := fmt.Sprintf("jury-desk-%05d-%d", i/2, i%2)
			doc.Searchers = append(doc.Searchers, SearcherDocument{
				ID: id, Address: "10.20.30.40:9000", FailureDomain: "karachi-a", Slots: 2, ConnectionCap: 25, ConnectCostMs: 6,
			})
			if i%2 == 1 {
				doc.Versions[0].Shards = append(doc.Versions[0].Shards, ShardDocument{
					ID: fmt.Sprintf("jury-desk-%05d", i/2), FirstRecord: fmt.Sprintf("portfolio-%09d", i*100),
					LastRecord: fmt.Sprintf("portfolio-%09d", i*100+199), Records: 200, Replicas: []string{doc.Searchers[i-1].ID, id},
				})
			}
		}
		value := EncodeJSON(doc)
		b.Run(fmt.Sprintf("searchers=%d", searchers), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(value))/float64(searchers), "bytes/searcher")
			for b.Loop() {
				if _, err := DecodeIndex("index/jury-desk", value); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
