package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"toucanpulley.example/internal/fault"
	"toucanpulley.example/pkg/entry"
)

// totals are the counters of a site, summed over its entry hosts.
type totals struct {
	calls, crossDomainCalls, hedges, connectionsOpened, crossDomainBytes int64
}

// Result is the result of a run. Latencies are in milliseconds.
type Result struct {
	Name     string  `json:"name"`
	Answered int64   `json:"answered"`
	Partial  int64   `json:"partial"`
	Wrong    int64   `json:"wrong"`
	P50      float64 `json:"p50Ms"`
	P99      float64 `json:"p99Ms"`
	P999     float64 `json:"p999Ms"`
	// Coverage is the share of records that were searched.
	Coverage float64 `json:"coverage"`
	// CallRatio is the ratio of calls to searchers to the minimum, which is one call
	// per shard for each answer.
	CallRatio float64 `json:"callRatio"`
	Hedges    int64   `json:"hedges"`
	// CrossDomainCalls is the share of calls to another failure domain.
	CrossDomainCalls float64 `json:"crossDomainCalls"`
	// ConnectionsOpened is the number of connections to searchers that were opened
	// since the start of the site.
	ConnectionsOpened int64 `json:"connectionsOpened"`
	// CrossDomainBytesPerAnswer is the number of bytes exchanged with other failure
	// domains per answer.
	CrossDomainBytesPerAnswer float64          `json:"crossDomainBytesPerAnswer"`
	Refusals                  map[string]int64 `json:"refusals"`
	// Distribution holds the latencies at fixed percentiles.
	Distribution []Percentile `json:"distribution"`

	searchedRecords, totalRecords uint64
	minCalls                      int64
	totalsAtStart                 totals
}

// Percentile is a point of the latency distribution.
type Percentile struct {
	Percent float64 `json:"percent"`
	Ms      float64 `json:"ms"`
}

func (x *Result) refusalCount() int64 {
	var n int64
	for _, c := range x.Refusals {
		n += c
	}
	return n
}

// add adds an answer to the counts.
func (x *Result) add(a *entry.SearchResponse, shards int) {
	x.Answered++
	if a.GetOutcome() == entry.Outcome_OUTCOME_PARTIAL {
		x.Partial++
	}
	x.searchedRecords += a.GetCoverage().GetSearchedRecords()
	x.totalRecords += a.GetCoverage().GetTotalRecords()
	x.minCalls += int64(shards)
}

// readTotals sums the counters of the site.
func (r *Run) readTotals() totals {
	var t totals
	for _, d := range r.site.Daemons() {
		t.calls += d.Meter.Value("call", "all")
		t.crossDomainCalls += d.Meter.Value("call", "crossDomain")
		t.hedges += d.Meter.Value("call", "hedge")
		t.connectionsOpened += d.Meter.Value("connection", "opened")
		t.crossDomainBytes += d.Meter.Value("bytes", "crossDomain")
	}
	return t
}

// computeResult computes the percentiles and ratios of the result.
func (r *Run) computeResult() {
	r.mu.Lock()
	defer r.mu.Unlock()
	x, current := &r.result, r.readTotals()
	x.Name = r.Name
	ms := func(q float64) float64 { return float64(r.histogram.ValueAtQuantile(q)) / 1000 }
	x.P50, x.P99, x.P999 = ms(50), ms(99), ms(99.9)
	for _, p := range []float64{1, 5, 10, 25, 50, 75, 90, 95, 97.5, 99, 99.5, 99.9, 100} {
		x.Distribution = append(x.Distribution, Percentile{p, ms(p)})
	}
	x.Hedges, x.ConnectionsOpened = current.hedges-x.totalsAtStart.hedges, current.connectionsOpened
	if x.totalRecords > 0 {
		x.Coverage = float64(x.searchedRecords) / float64(x.totalRecords)
	}
	if calls := current.calls - x.totalsAtStart.calls; calls > 0 {
		x.CrossDomainCalls = float64(current.crossDomainCalls-x.totalsAtStart.crossDomainCalls) / float64(calls)
	}
	if x.minCalls > 0 {
		x.CallRatio = float64(current.calls-x.totalsAtStart.calls) / float64(x.minCalls)
		x.CrossDomainBytesPerAnswer = float64(current.crossDomainBytes-x.totalsAtStart.crossDomainBytes) / float64(x.Answered)
	}
}

// Median combines the results of several runs: it takes the medians of percentiles and
// ratios, and the sums of counts. The distribution is that of the run whose p99 is
// closest to the median.
func Median(runs []Result) Result {
	median := func(f func(Result) float64) float64 {
		values := make([]float64, 0, len(runs))
		for _, x := range runs {
			values = append(values, f(x))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	combined := Result{
		P50:                       median(func(x Result) float64 { return x.P50 }),
		P99:                       median(func(x Result) float64 { return x.P99 }),
		P999:                      median(func(x Result) float64 { return x.P999 }),
		Coverage:                  median(func(x Result) float64 { return x.Coverage }),
		CallRatio:                 median(func(x Result) float64 { return x.CallRatio }),
		CrossDomainCalls:          median(func(x Result) float64 { return x.CrossDomainCalls }),
		CrossDomainBytesPerAnswer: median(func(x Result) float64 { return x.CrossDomainBytesPerAnswer }),
		ConnectionsOpened:         int64(median(func(x Result) float64 { return float64(x.ConnectionsOpened) })),
		Refusals:                  map[string]int64{},
	}
	for _, x := range runs {
		combined.Name = x.Name
		combined.Answered += x.Answered
		combined.Partial += x.Partial
		combined.Wrong += x.Wrong
		combined.Hedges += x.Hedges
		for k, n := range x.Refusals {
			combined.Refusals[k] += n
		}
	}
	closest := slices.MinFunc(runs, func(a, b Result) int { return cmp.Compare(abs(a.P99-combined.P99), abs(b.P99-combined.P99)) })
	combined.Distribution = closest.Distribution
	return combined
}

func abs(x float64) float64 { return max(x, -x) }

// WriteTable writes a table with one row per result, with the ratio of each p99 to that
// of the first result, and then the refusals by reason.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "variant\tanswered\trefused\tpartial\twrong\tcoverage\tp50 ms\tp99 ms\tp99.9 ms\tp99 ratio\tcalls/least\topened\tcross calls\tcross B/answer\t")
	for _, x := range results {
		ratio := 0.0
		if results[0].P99 > 0 {
			ratio = x.P99 / results[0].P99
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.5f\t%.1f\t%.1f\t%.1f\t%.2f\t%.3f\t%d\t%.2f\t%.0f\t\n",
			x.Name, x.Answered, x.refusalCount(), x.Partial, x.Wrong, x.Coverage, x.P50, x.P99, x.P999,
			ratio, x.CallRatio, x.ConnectionsOpened, x.CrossDomainCalls, x.CrossDomainBytesPerAnswer)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, x := range results {
		for _, k := range slices.Sorted(maps.Keys(x.Refusals)) {
			_, _ = fmt.Fprintf(w, "%s: refused %s %d\n", x.Name, k, x.Refusals[k])
		}
	}
	return nil
}

// ReadResults reads a JSON file of results.
func ReadResults(name string) ([]Result, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(err, "read results", name)
	}
	var results []Result
	return results, fault.Wrap(json.Unmarshal(data, &results), "decode results", name)
}
