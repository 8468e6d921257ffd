package estimator

import (
	"slices"
	"time"
)

const (
	// sampleTime is the time of one sample of a forecast. Loads swing within
	// seconds; noise of a single figure averages out.
	sampleTime = time.Second
	// kept bounds the samples: loads change their course within half a minute.
	kept = 24
	// leastSamples are needed until a course is told.
	leastSamples = 7
	// ridge keeps the fit of a load that hardly changes from chasing its noise.
	ridge = 0.01
)

// Forecast follows a load that swings and tells how it goes on. The zero value
// knows nothing. It is not safe for concurrent use.
type Forecast struct {
	samples []float64
	sum     float64
	count   int
	since   time.Time
}

// Observe takes the load of a moment.
func (f *Forecast) Observe(load float64, now time.Time) {
	if f.count > 0 && now.Sub(f.since) >= sampleTime {
		f.samples = append(f.samples, f.sum/float64(f.count))
		f.samples = f.samples[max(0, len(f.samples)-kept):]
		f.sum, f.count = 0, 0
	}
	if f.count == 0 {
		f.since = now
	}
	f.sum += load
	f.count++
}

// Ahead returns the loads to expect in the next seconds, nil while too little is
// known. It lags by about half a second, since samples are means. It goes on with the second-order linear recurrence that
// fits the past best, within the range of the past.
func (f *Forecast) Predict(seconds int) []float64 {
	n := len(f.samples)
	if n < leastSamples {
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
	ahead := make([]float64, seconds)
	for i := range ahead {
		x, y = a*x+b*y, x
		ahead[i] = max(low, min(mean+x, high))
		x = ahead[i] - mean
	}
	return ahead
}
