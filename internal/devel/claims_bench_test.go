package devel

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/plat"
)

// BenchmarkKeyedRequests reports the number of platform calls for each keyed
// request, for different numbers of concurrent callers that use three entry
// hosts. Each platform call takes 5 ms.
func BenchmarkKeyedRequests(b *testing.B) {
	records, err := corpus.Sample()
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []int{1, 30, 300} {
		b.Run(fmt.Sprintf("callers=%d", c), func(b *testing.B) {
			s := NewSite(records)
			if err := s.Run(context.Background()); err != nil {
				b.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			s.Platform().SetFaults(plat.Faults{Delay: 5 * time.Millisecond})
			before, start := s.Platform().Calls(), time.Now()
			var mu sync.Mutex
			var wg sync.WaitGroup
			nextKey, failed := 0, 0
			for i := range c {
				wg.Go(func() {
					for {
						mu.Lock()
						n := nextKey
						nextKey++
						mu.Unlock()
						if n >= b.N {
							return
						}
						outcome := sendKeyed(s.EntryAddresses()[i%len(s.EntryAddresses())], fmt.Sprintf("key-%d-%d", b.N, n), time.Now(), []byte("body"), ampleTimeout)
						if !outcome.ok {
							mu.Lock()
							failed++
							mu.Unlock()
						}
					}
				})
			}
			wg.Wait()
			elapsed, after := time.Since(start), s.Platform().Calls()
			b.ReportMetric(float64(b.N)/elapsed.Seconds(), "requests/s")
			b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "writes/request")
			b.ReportMetric(float64(after.Writes-before.Writes)/elapsed.Seconds(), "writes/s")
			b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/request")
			b.ReportMetric(float64(failed)/float64(b.N), "failed/request")
		})
	}
}
