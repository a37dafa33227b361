// Package meter collects and exports the metrics of a daemon, with a counter for
// each refusal, retry and drop reason.
//
// # Usage
//
//	m := meter.New()
//	m.Count("refusal", "queueFull")
//	m.Observe("search", took)
//	m.WritePrometheus(w)
package meter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// reservoirSize is the number of samples in each histogram; 1028 gives a 99.9%
// confidence level with a 5% margin of error for a normal distribution.
const reservoirSize = 1028

// sampleDecay weights the reservoir towards the last five minutes.
const sampleDecay = 0.015

// Meter is a registry of counters, gauges and latency histograms. It is safe for
// concurrent use.
type Meter struct {
	registry metrics.Registry
}

// New returns an empty meter.
func New() *Meter { return &Meter{registry: metrics.NewRegistry()} }

// Count increments the counter of a reason in a group.
func (m *Meter) Count(group, reason string) { m.Add(group, reason, 1) }

// Add adds n to the counter of a reason in a group.
func (m *Meter) Add(group, reason string, n int64) {
	metrics.GetOrRegisterCounter(group+"."+reason, m.registry).Inc(n)
}

// Set sets a gauge.
func (m *Meter) Set(group, name string, value int64) {
	metrics.GetOrRegisterGauge(group+"."+name, m.registry).Update(value)
}

// Observe records a duration in microseconds in the named histogram.
func (m *Meter) Observe(name string, duration time.Duration) {
	h := m.registry.GetOrRegister(name+".micros", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, sampleDecay))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(duration.Microseconds())
	}
}

// Value returns the value of a counter, or zero if it does not exist.
func (m *Meter) Value(group, reason string) int64 {
	if c, ok := m.registry.Get(group + "." + reason).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// Values returns all counters and gauges by name.
func (m *Meter) Values() map[string]int64 {
	values := map[string]int64{}
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			values[name] = metric.Count()
		case metrics.Gauge:
			values[name] = metric.Value()
		}
	})
	return values
}

// WriteJSON writes all metrics as one JSON object.
func (m *Meter) WriteJSON(w io.Writer) { metrics.WriteJSONOnce(m.registry, w) }

// WritePrometheus writes all metrics in the Prometheus text format. Counters
// and gauges are named toucanpulley_<group> with the label reason; histograms
// are summaries in microseconds.
func (m *Meter) WritePrometheus(w io.Writer) error {
	lines := map[string]string{}
	m.registry.Each(func(name string, metric any) {
		group, reason, _ := strings.Cut(name, ".")
		switch metric := metric.(type) {
		case metrics.Counter:
			lines[name] = fmt.Sprintf("toucanpulley_%s_total{reason=%q} %d\n", group, reason, metric.Count())
		case metrics.Gauge:
			lines[name] = fmt.Sprintf("toucanpulley_%s{name=%q} %d\n", group, reason, metric.Value())
		case metrics.Histogram:
			lines[name] = formatSummary(group, metric.Snapshot())
		}
	})
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		if _, err := io.WriteString(w, lines[name]); err != nil {
			return err
		}
	}
	return nil
}

func formatSummary(group string, h metrics.Histogram) string {
	var b strings.Builder
	for _, q := range []float64{0.5, 0.9, 0.99, 0.999} {
		fmt.Fprintf(&b, "toucanpulley_%s_micros{quantile=\"%g\"} %.0f\n", group, q, h.Percentile(q))
	}
	fmt.Fprintf(&b, "toucanpulley_%s_micros_sum %d\ntoucanpulley_%s_micros_count %d\n", group, h.Sum(), group, h.Count())
	return b.String()
}
