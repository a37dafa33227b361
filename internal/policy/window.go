package policy

import (
	"cmp"
	"slices"
)

// minResortSamples is the minimum number of samples between sorts. A window
// sorts again after this many samples or an eighth of its size, whichever is
// more, to amortize the cost of sorting.
const minResortSamples = 32

// SampleWindow keeps the latest samples and computes their quantiles.
type SampleWindow[T cmp.Ordered] struct {
	size    int
	samples []T
	// next is the index of the next sample, which is that of the oldest one
	// once the window is full.
	next int
	// sorted holds the samples at the latest sort, and unsortedSamples is the
	// number of samples added since.
	sorted          []T
	unsortedSamples int
}

// NewSampleWindow returns a window over the latest size samples.
func NewSampleWindow[T cmp.Ordered](size int) *SampleWindow[T] { return &SampleWindow[T]{size: size} }

// Add records a sample, replacing the oldest one if the window is full.
func (w *SampleWindow[T]) Add(sample T) {
	if len(w.samples) < w.size {
		w.samples = append(w.samples, sample)
	} else {
		w.samples[w.next] = sample
	}
	w.next = (w.next + 1) % w.size
	w.unsortedSamples++
}

// Len returns the number of samples.
func (w *SampleWindow[T]) Len() int { return len(w.samples) }

// Quantile returns the sample at quantile q, from 0 to 1, and whether there are
// any samples. The result may leave out the latest 31 samples or an eighth of
// the size, whichever is more.
func (w *SampleWindow[T]) Quantile(q float64) (T, bool) {
	if len(w.samples) == 0 {
		var zero T
		return zero, false
	}
	if w.unsortedSamples >= max(minResortSamples, len(w.sorted)/8) || len(w.sorted) == 0 {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.unsortedSamples = 0
	}
	i := int(q * float64(len(w.sorted)))
	return w.sorted[min(max(i, 0), len(w.sorted)-1)], true
}
