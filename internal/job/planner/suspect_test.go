package planner

import (
	"testing"
	"time"
)

// VMs on which several jobs have failed get one run at a time. Where that run takes long,
// another job must not wait for its end while all VMs have room.
func TestJobStartsBesideLongTriesOnSuspectVMs(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b"} {
		s.addVM(name, 16_000, 10_000)
		for n := range 2 {
			s.planner.vms[name].health.RecordFailure(jobID(50+n), s.now)
		}
	}
	s.advance(2 * time.Second)
	long := taskStep(2, 1000, 100, time.Minute)
	long.MaxPerVM = 1
	s.submitJob(jobID(1), long)
	s.advance(time.Second)
	if got := s.placements(jobID(1)); len(got) != 2 {
		t.Fatalf("placements %v, want one try on each VM", got)
	}
	s.submitJob(jobID(2), taskStep(4, 1000, 100, time.Second))
	s.wantBusy(jobID(2), 6*time.Second, nil)
	if got := s.placements(jobID(2)); len(got) > 1 {
		t.Errorf("placements %v on VMs that have not shown that they work, want one", got)
	}
}
