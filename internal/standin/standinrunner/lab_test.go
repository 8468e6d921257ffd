package standinrunner

import (
	"math"
	"testing"

	"knapweedspur/internal/standin/clustersimulator"
)

func TestConfidenceIntervalOfFourResults(t *testing.T) {
	var results []*clustersimulator.Result
	for _, total := range []float64{0.5, 0.6, 0.7, 0.6} {
		results = append(results, &clustersimulator.Result{Total: total})
	}
	mean, halfWidth := confidenceInterval(results, func(r *clustersimulator.Result) float64 { return r.Total })
	// The standard deviation of the four is 0.0816; 1.96 times that divided by the
	// square root of four is 0.08.
	if math.Abs(mean-0.6) > 1e-9 || math.Abs(halfWidth-0.08) > 0.001 {
		t.Errorf("mean %.3f ± %.3f, want 0.600 ± 0.080", mean, halfWidth)
	}
}
