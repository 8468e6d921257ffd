package planner

import (
	"testing"
	"time"
)

// A filler that is slowed on every VM must not be moved again and again.
func TestFillerSlowedEverywhereIsMovedLessAndLess(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 8000, 1000)
	s.addVM("b", 8000, 1000)
	filler := stepSpec(1, 1000)
	filler.Filler, filler.Checkpoints, filler.EstimatedDuration = true, true, 10*time.Second
	s.submitJob(jobID(1), filler)
	for range 200 {
		for _, v := range s.vms {
			for i := range v.active {
				v.active[i].Pace = stopPace
			}
		}
		s.advance(100 * time.Millisecond)
	}
	if got := len(s.starts); got < 3 || got > 6 {
		t.Errorf("%d runs in 20 s, want a few at first and then one each 8 s", got)
	}
}
