package estimator

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestPeakLastsForLatencyWindow(t *testing.T) {
	var p Peaks
	steps := []struct {
		at     time.Duration
		shares map[string]float64
		want   map[string]float64
	}{
		{0, map[string]float64{"a": 0.4}, map[string]float64{"a": 0.4}},
		{200 * time.Millisecond, map[string]float64{"a": 0.1, "b": 0.2}, map[string]float64{"a": 0.4, "b": 0.2}},
		{450 * time.Millisecond, map[string]float64{"a": 0.3}, map[string]float64{"a": 0.4, "b": 0.2}},
		{600 * time.Millisecond, map[string]float64{"a": 0.2}, map[string]float64{"a": 0.3, "b": 0.2}},
		{800 * time.Millisecond, nil, map[string]float64{"a": 0.3}},
		{1200 * time.Millisecond, nil, map[string]float64{}},
	}
	for _, s := range steps {
		if diff := cmp.Diff(s.want, p.Observe(s.shares, s.at)); diff != "" {
			t.Errorf("peaks after %s (-want +got):\n%s", s.at, diff)
		}
	}
}
