package clustersimulator

import (
	"testing"
	"time"

	"knapweedspur/internal/job/planner"
)

// busyServingWorkload has serving tasks that are near their limit all the time, and
// fillers that hardly press on them and need half of the processors that are left.
func busyServingWorkload() *Workload {
	return &Workload{
		VMs: 6, Millis: 16_000, Memory: 64_000, Length: 20 * time.Second, Resources: 1,
		Kinds: []Kind{
			{
				Name: "feed", Initial: 6, Steps: Distribution{Mean: 1, Max: 1}, Width: Distribution{Mean: 3, Max: 3}, Millis: Distribution{Mean: 3000, Max: 3000},
				Memory: Distribution{Mean: 3000, Max: 3000}, Seconds: Distribution{Mean: 1, Max: 1}, Worth: 1.5, Stretch: 2, Target: time.Second, Images: 2,
				Serves: true, Stay: Distribution{Mean: 60, Max: 60}, Use: 0.69, Period: 10 * time.Second, Tail: 4 * time.Millisecond, Limit: 4.5,
			},
			{
				Name: "proof", Rate: 1, Steps: Distribution{Mean: 2, Max: 2}, Width: Distribution{Mean: 4, Max: 4}, Millis: Distribution{Mean: 2000, Max: 2000},
				Memory: Distribution{Mean: 2000, Max: 2000}, Seconds: Distribution{Mean: 1.5, Spread: 0.3, Max: 4}, Off: 0.2,
				Worth: 9, Late: 1.4, Stretch: 2, Target: time.Second, Images: 3, Fills: true, Saves: true,
			},
		},
	}
}

// Clients of fillers must not wait beside idle processors because serving tasks there are
// busy, if the fillers do not slow them: nine tenths of the jobs end in time, and serving
// tasks earn nine tenths.
func TestHarmlessFillersRunBesideBusyServingTasks(t *testing.T) {
	inTime, jobs, feed := 0, 0, 0.0
	const days = 4
	for seed := range uint64(days) {
		r := Simulate(busyServingWorkload(), planner.Settings{}, seed+1)
		feed += r.Worth["feed"] / days
		for _, j := range r.Jobs["proof"] {
			jobs++
			if j.Took > 0 && j.Took <= j.Objective {
				inTime++
			}
		}
	}
	t.Logf("%d of %d jobs in time, serving tasks earned %.3f", inTime, jobs, feed)
	if float64(inTime) < 0.9*float64(jobs) || feed < 0.9 {
		t.Errorf("%d of %d jobs of fillers are in time and serving tasks earned %.3f, want nine tenths of both", inTime, jobs, feed)
	}
}
