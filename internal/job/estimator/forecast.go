package estimator

import (
	"slices"
	"time"
)

const (
	// samplePeriod is the time over which measurements are averaged into one
	// sample. Loads oscillate within seconds, so it cannot be much longer; the
	// mean removes the noise of single measurements.
	samplePeriod = time.Second
	// maxSamples limits the history: the pattern of a load changes within half
	// a minute.
	maxSamples = 24
	// minSamples is the number of samples needed for a forecast.
	minSamples = 7
	// ridge is the regularization term of the fit. It keeps the fit of a nearly
	// constant load from following its noise.
	ridge = 0.01
)

// Forecast predicts an oscillating load from its recent samples. The zero value
// has no samples. It is not safe for concurrent use.
type Forecast struct {
	samples     []float64
	sum         float64
	count       int
	sampleStart time.Time
}

// Observe adds one measurement of the load.
func (f *Forecast) Observe(load float64, now time.Time) {
	if f.count > 0 && now.Sub(f.sampleStart) >= samplePeriod {
		f.samples = append(f.samples, f.sum/float64(f.count))
		f.samples = f.samples[max(0, len(f.samples)-maxSamples):]
		f.sum, f.count = 0, 0
	}
	if f.count == 0 {
		f.sampleStart = now
	}
	f.sum += load
	f.count++
}

// Predict returns the load expected in each of the next seconds, or nil while
// there are too few samples. It extrapolates with the second-order linear
// recurrence that best fits the samples, limited to their range. The forecast
// lags by about half a second, since samples are means.
func (f *Forecast) Predict(seconds int) []float64 {
	n := len(f.samples)
	if n < minSamples {
		return nil
	}
	mean := 0.0
	for _, x := range f.samples {
		mean += x / float64(n)
	}
	var xx, xy, yy, xz, yz float64
	for i := 2; i < n; i++ {
		x, y, z := f.samples[i-1]-mean, f.samples[i-2]-mean, f.samples[i]-mean
		xx, xy, yy, xz, yz = xx+x*x, xy+x*y, yy+y*y, xz+x*z, yz+y*z
	}
	xx, yy = xx+ridge, yy+ridge
	determinant := xx*yy - xy*xy
	a, b := (xz*yy-yz*xy)/determinant, (yz*xx-xz*xy)/determinant
	low, high := slices.Min(f.samples), slices.Max(f.samples)
	x, y := f.samples[n-1]-mean, f.samples[n-2]-mean
	predicted := make([]float64, seconds)
	for i := range predicted {
		x, y = a*x+b*y, x
		predicted[i] = max(low, min(mean+x, high))
		x = predicted[i] - mean
	}
	return predicted
}
