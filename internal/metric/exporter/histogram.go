package exporter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxDuration is the largest value recorded; longer durations are counted as
	// this one.
	maxDuration = time.Minute
	// significantDigits is the precision of recorded values.
	significantDigits = 2
)

// Histogram records durations. The published metric has the count, and the
// mean, quantiles and maximum in microseconds.
type Histogram struct {
	mu     sync.Mutex
	counts *hdrhistogram.Histogram
}

// NewHistogram returns a histogram that is published under the given name.
func NewHistogram(name string) *Histogram {
	h := &Histogram{counts: hdrhistogram.New(1, maxDuration.Microseconds(), significantDigits)}
	Publish(name, h.read)
	return h
}

// Observe records one duration, capped at the maximum of the histogram.
func (h *Histogram) Observe(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	value := min(max(d.Microseconds(), 1), maxDuration.Microseconds())
	// RecordValue fails only for values out of range, and this one is within it.
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
