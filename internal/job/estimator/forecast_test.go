package estimator

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

func TestForecastFollowsOscillatingLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	load := func(at float64) float64 { return 0.42 + 0.25*math.Sin(2*math.Pi*at/11) }
	var f Forecast
	start := time.Unix(0, 0)
	at, worst, sum, count := 0.0, 0.0, 0.0, 0.0
	for ; at < 40; at += 0.25 {
		f.Observe(load(at)+0.03*random.NormFloat64(), start.Add(time.Duration(at*float64(time.Second))))
		ahead := f.Predict(4)
		if at < 15 {
			continue
		}
		for i, x := range ahead {
			// The last complete sample is up to a second old.
			deviation := math.Abs(x - load(at+float64(i)))
			worst = max(worst, deviation)
			sum += deviation
			count++
		}
	}
	if mean := sum / count; mean > 0.08 {
		t.Errorf("forecast error is %.3f on average and %.3f at worst; the amplitude of the load is 0.25", mean, worst)
	}
}

func TestForecastOfSteadyLoadIsConstant(t *testing.T) {
	var f Forecast
	for i := range 80 {
		f.Observe(0.5, time.Unix(0, int64(i)*250_000_000))
	}
	for _, x := range f.Predict(4) {
		if math.Abs(x-0.5) > 1e-6 {
			t.Errorf("forecast %.3f, want 0.5", x)
		}
	}
}

func TestNoForecastFromTooFewSamples(t *testing.T) {
	var f Forecast
	for i := range 10 {
		f.Observe(0.5, time.Unix(0, int64(i)*250_000_000))
	}
	if got := f.Predict(4); got != nil {
		t.Errorf("forecast %v after 2.5 s", got)
	}
}
