package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"toucanpulley.example/internal/devel"
	"toucanpulley.example/internal/fault"
	"toucanpulley.example/pkg/client"
	"toucanpulley.example/pkg/entry"
	"toucanpulley.example/stand/corpus"
	"toucanpulley.example/stand/fleet"
)

const (
	// maxLatencyMicros is the highest latency of the histogram, in microseconds;
	// higher latencies count as this one.
	maxLatencyMicros = 60_000_000
	// latencyDigits is the number of significant decimal digits of the histogram.
	latencyDigits = 3
	// maxRequests bounds the requests of one run.
	maxRequests = 2_000_000
	// progressInterval is the time between progress lines.
	progressInterval = 2 * time.Second
	// stragglerStream is the stream of the random generator that selects the
	// stragglers. The generator is seeded with the seed of the run.
	stragglerStream = 7
	// hitLimit is the number of hits that each search asks for.
	hitLimit = 20
)

// Run is one load test. Exported fields must be set before Do.
type Run struct {
	Name     string
	Duration time.Duration
	// WarmUp is the time under load before measurement starts.
	WarmUp time.Duration
	Seed   uint64
	// StragglerShare is the share of searchers whose searches take StragglerFactor
	// times as long.
	StragglerShare  float64
	StragglerFactor float64
	// Timeout is the time budget of each search; the scope's default if zero.
	Timeout time.Duration
	// Progress receives a line every 2 s, and one for each wrong answer; may be nil.
	Progress io.Writer
	// InjectFaults is called in parallel with the load, until its context ends; may
	// be nil.
	InjectFaults func(context.Context, *devel.Site)

	shape   Shape
	site    *devel.Site
	records map[string][]corpus.Record
	client  *client.Client

	// mu guards histogram, result and counting while the load runs.
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	result    Result
	// counting is set once the warm-up has ended.
	counting bool
}

// NewRun returns a run of 10 s with the site and load of a shape.
func NewRun(s Shape) *Run {
	return &Run{
		Duration: 10 * time.Second, WarmUp: time.Second, Seed: 1, shape: s,
		histogram: hdrhistogram.New(1, maxLatencyMicros, latencyDigits),
		result:    Result{Refusals: map[string]int64{}},
	}
}

// Do starts the site, generates the load and returns the result.
func (r *Run) Do(ctx context.Context) (Result, error) {
	var err error
	if r.site, r.records, err = r.shape.newSite(r.Seed); err != nil {
		return Result{}, err
	}
	if err := r.site.Run(ctx); err != nil {
		return Result{}, fault.Wrap(err, "start site", "")
	}
	defer func() { _ = r.site.Close() }()
	r.setServiceTimes()
	r.client = client.New(r.site.EntryAddresses()...)
	defer func() { _ = r.client.Close() }()
	r.generateLoad(ctx)
	return r.result, nil
}

// setServiceTimes sets the search times of all searchers. The seed determines which
// searchers are stragglers.
func (r *Run) setServiceTimes() {
	random := rand.New(rand.NewPCG(r.Seed, stragglerStream))
	for _, v := range r.shape.Services {
		searchers := r.site.Fleet(v.Name).Searchers
		slow := int(float64(len(searchers))*r.StragglerShare + 0.5)
		order := random.Perm(len(searchers))
		for i, n := range order {
			f := fleet.Faults{Delay: milliseconds(v.SearchMs), Jitter: milliseconds(v.JitterMs)}
			if i < slow {
				f.Delay = time.Duration(float64(f.Delay) * r.StragglerFactor)
				f.Jitter = time.Duration(float64(f.Jitter) * r.StragglerFactor)
			}
			searchers[n].SetFaults(f)
		}
	}
}

// generateLoad sends the searches of every service and waits for all answers.
func (r *Run) generateLoad(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	var senders, background sync.WaitGroup
	for _, v := range r.shape.Services {
		if v.RatePerSecond > 0 {
			senders.Go(func() { r.sendSearches(ctx, v, start) })
		}
	}
	background.Go(func() { r.countAfterWarmUp(ctx, start) })
	if r.InjectFaults != nil {
		background.Go(func() { r.InjectFaults(ctx, r.site) })
	}
	senders.Wait()
	cancel()
	background.Wait()
	r.computeResult()
}

// countAfterWarmUp starts the measurement after the warm-up, and then prints progress
// until the context ends.
func (r *Run) countAfterWarmUp(ctx context.Context, start time.Time) {
	timer := time.NewTimer(time.Until(start.Add(r.WarmUp)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	r.mu.Lock()
	r.counting = true
	r.result.totalsAtStart = r.readTotals()
	r.mu.Unlock()
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.printProgress(start)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Run) printProgress(start time.Time) {
	if r.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.Progress, "%s %3.0fs: %d answered, %d partial, %d refused, %d wrong, p99 %.1f ms\n",
		r.Name, time.Since(start).Seconds(), r.result.Answered, r.result.Partial, r.result.refusalCount(), r.result.Wrong,
		float64(r.histogram.ValueAtQuantile(99))/1000)
}

// sendSearches sends searches at exponentially distributed intervals. Each latency is
// measured from the scheduled send time, so that a slow system does not reduce the
// load or hide queueing delay (coordinated omission).
func (r *Run) sendSearches(ctx context.Context, v ServiceShape, start time.Time) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(len(v.Name))))
	var searches sync.WaitGroup
	defer searches.Wait()
	due := start
	for range maxRequests {
		due = due.Add(time.Duration(random.ExpFloat64() / v.RatePerSecond * float64(time.Second)))
		if due.Sub(start) > r.WarmUp+r.Duration || ctx.Err() != nil {
			return
		}
		request := r.newRequest(v, random)
		time.Sleep(time.Until(due))
		searches.Go(func() { r.search(ctx, v, request, due) })
	}
}

// newRequest returns a search that matches at least one record.
func (r *Run) newRequest(v ServiceShape, random *rand.Rand) *entry.SearchRequest {
	records := r.records[v.Name]
	record := records[random.IntN(len(records))]
	m := &entry.SearchRequest{
		Account: devel.Account, Service: v.Name, Limit: hitLimit, TimeoutMs: uint32(r.Timeout.Milliseconds()),
	}
	if random.Float64() < v.LookupShare {
		m.Terms = []*entry.Term{{Field: "id", Value: record.ID}}
		return m
	}
	m.Terms = []*entry.Term{randomTerm(record, random)}
	return m
}

// search sends one search after the network delay and records its result. Its latency
// is measured from due, its scheduled send time.
func (r *Run) search(ctx context.Context, v ServiceShape, m *entry.SearchRequest, due time.Time) {
	networkDelay := milliseconds(r.shape.ClientDelayMs)
	time.Sleep(networkDelay)
	answer, err := r.client.Search(context.WithoutCancel(ctx), m)
	time.Sleep(networkDelay)
	latency := time.Since(due)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.counting {
		return
	}
	if err != nil {
		r.result.Refusals[refusalReason(err)]++
		return
	}
	_ = r.histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	r.result.add(answer, v.Shards)
	if problem := verify(answer, m, r.records[v.Name]); problem != "" {
		r.result.Wrong++
		if r.Progress != nil {
			_, _ = fmt.Fprintln(r.Progress, "wrong answer:", problem)
		}
	}
}

// refusalReason returns the reason in a client error.
func refusalReason(err error) string {
	var ce *client.Error
	if errors.As(err, &ce) {
		return ce.Reason
	}
	return "unknown"
}
