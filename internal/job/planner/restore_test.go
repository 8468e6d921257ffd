package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A filler that waits because every VM would slow it down must go on waiting
// under a new leader. A leader that took it for overdue would place all waiting
// fillers at once, where they hold memory and make no progress.
func TestFillerGoesOnWaitingUnderNewLeader(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 1000)
	serving := stepSpec(1, 6000)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 20*time.Millisecond, "serve"
	s.submitJob(jobID(1), serving)
	s.advance(time.Second)
	v.active[0].ProgressPercent, v.active[0].Measurement = 100, 20
	s.advance(time.Second)
	filler := stepSpec(1, 2000)
	filler.Filler, filler.Image = true, "fill"
	s.submitJob(jobID(2), filler)
	s.advance(time.Second)
	if diff := cmp.Diff(map[string]string{}, s.placements(jobID(2))); diff != "" {
		t.Fatalf("placements beside a serving task at its limit (-want +got):\n%s", diff)
	}
	s.restart()
	s.advance(time.Second)
	if diff := cmp.Diff(map[string]string{}, s.placements(jobID(2))); diff != "" {
		t.Errorf("placements under a new leader (-want +got):\n%s", diff)
	}
	s.advance(time.Duration(maxFillerWaitFactor * float64(3*time.Second)))
	if diff := cmp.Diff(map[string]string{jobID(2) + ".0.0.0": "a"}, s.placements(jobID(2))); diff != "" {
		t.Errorf("placements after the longest wait (-want +got):\n%s", diff)
	}
}
