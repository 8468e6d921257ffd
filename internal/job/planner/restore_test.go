package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A filler that waits because every VM would slow it down must go on waiting
// under a new leader. A leader that took it for overdue would place all waiting
// fillers at once, where they hold memory and make no progress. The log has a
// record of a task of the step only if one was placed before.
func TestFillerGoesOnWaitingUnderNewLeader(t *testing.T) {
	for _, tasks := range []int{1, 2} {
		s := newSimulation(t)
		v := s.addVM("a", 8000, 1000)
		serving := stepSpec(1, 6000)
		serving.LongRunning, serving.LatencyTarget, serving.Image = true, 20*time.Millisecond, "serve"
		s.submitJob(jobID(1), serving)
		s.advance(time.Second)
		filler := stepSpec(tasks, 2000)
		filler.Filler, filler.Image, filler.MaxPerVM = true, "fill", 1
		if tasks > 1 {
			s.submitJob(jobID(2), filler)
			s.advance(time.Second)
			if len(s.placements(jobID(2))) != 1 {
				t.Fatal("no filler was placed beside a serving task without load")
			}
		}
		for i := range v.active {
			if v.active[i].Task == jobID(1)+".0.0.0" {
				v.active[i].ProgressPercent, v.active[i].Measurement = 100, 20
			}
		}
		s.advance(time.Second)
		if tasks > 1 {
			s.endRun(v, jobID(2)+".0.0.0", endDone)
		} else {
			s.submitJob(jobID(2), filler)
		}
		s.advance(time.Second)
		if diff := cmp.Diff(map[string]string{}, s.placements(jobID(2))); diff != "" {
			t.Fatalf("%d tasks: placements beside a serving task at its limit (-want +got):\n%s", tasks, diff)
		}
		s.restart()
		s.advance(time.Second)
		if diff := cmp.Diff(map[string]string{}, s.placements(jobID(2))); diff != "" {
			t.Errorf("%d tasks: placements under a new leader (-want +got):\n%s", tasks, diff)
		}
		s.advance(time.Duration(maxFillerWaitFactor * float64(3*time.Second)))
		if got := len(s.placements(jobID(2))); got != 1 {
			t.Errorf("%d tasks: %d run after the longest wait, want 1", tasks, got)
		}
	}
}
