package exporter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest time that a histogram tells apart.
	histogramMax = time.Minute
	// histogramDigits is the precision, in significant digits.
	histogramDigits = 2
)

// Histogram counts durations. Its metric gives count, mean and quantiles in
// microseconds.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns a histogram that is published under a name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{counts: hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)}
	Publish(name, h.read)
	return h
}

// Observe counts one duration. Longer ones than the histogram can tell apart
// count as the longest.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(d.Microseconds(), 1), histogramMax.Microseconds())
	// The value is within the bounds, so that the library takes it.
	_ = h.counts.RecordValue(value)
}

func (h *Histogram) read() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	return map[string]any{
		"count": h.counts.TotalCount(), "mean": h.counts.Mean(), "p50": h.counts.ValueAtQuantile(50),
		"p95": h.counts.ValueAtQuantile(95), "p99": h.counts.ValueAtQuantile(99), "max": h.counts.Max(),
	}
}
