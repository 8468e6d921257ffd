package planner

import (
	"testing"
	"time"

	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/wire/work"
)

// failOnce lets a job start on a VM and fail there.
func (s *simulation) failOnce(v *simulatedVM, id string) {
	s.submitJob(id, stepSpec(1, 100))
	s.endRun(v, id+".0.0.0", endFailed)
	s.sendReport(v.workerStatus.VM)
	s.planner.CancelJob(id, s.now)
	s.runPass()
}

func longRunningSpec(count int) work.Step {
	spec := stepSpec(count, 100)
	spec.LongRunning, spec.LatencyTarget = true, 40*time.Millisecond
	return spec
}

// Long-running tasks do not end, so they must not keep a VM on which jobs have failed
// from being tried again.
func TestSuspectVMWithLongRunningTasksIsTriedAgain(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), longRunningSpec(1))
	s.advance(time.Second)
	s.failOnce(a, jobID(2))
	s.failOnce(a, jobID(3))
	if s.planner.vms["a"].usable(s.now) {
		t.Fatal("the VM gets work just after the jobs failed")
	}
	s.submitJob(jobID(4), longRunningSpec(4))
	s.advance(healthtracker.SuspectPause + 200*time.Millisecond)
	if n := len(s.placements(jobID(4))); n != 1 {
		t.Fatalf("%d tasks are tried on the suspect VM, want 1", n)
	}
	for i := range a.active {
		a.active[i].ProgressPercent = fullProgress
	}
	s.advance(longProbeTime + 200*time.Millisecond)
	if n := len(s.placements(jobID(4))); n != 4 {
		t.Errorf("%d tasks run on the VM after the first has worked, want 4", n)
	}
}

// A suspect VM that fails what is tried there gets one run at a time.
func TestSuspectVMThatFailsAgainGetsOneRunAtATime(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), longRunningSpec(1))
	s.advance(time.Second)
	s.failOnce(a, jobID(2))
	s.failOnce(a, jobID(3))
	s.submitJob(jobID(4), longRunningSpec(4))
	s.submitJob(jobID(5), longRunningSpec(4))
	for range 3 {
		s.advance(healthtracker.SuspectPause + 200*time.Millisecond)
		tried := 0
		for _, id := range []string{jobID(4), jobID(5)} {
			for task := range s.placements(id) {
				tried++
				s.endRun(a, task, endFailed)
			}
		}
		s.sendReport("a")
		if tried != 1 {
			t.Fatalf("%d runs were tried at once, want 1", tried)
		}
	}
}

// A job whose runs fail on a suspect VM is not tried there again at once.
func TestFailedProbeOfSameJobRenewsPause(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.failOnce(a, jobID(2))
	s.failOnce(a, jobID(3))
	s.submitJob(jobID(4), longRunningSpec(4))
	for attempt := range 3 {
		s.advance(healthtracker.SuspectPause + 200*time.Millisecond)
		tried := s.placements(jobID(4))
		if len(tried) != 1 {
			t.Fatalf("attempt %d: %d runs are tried, want 1", attempt, len(tried))
		}
		for task := range tried {
			s.endRun(a, task, endFailed)
		}
		s.sendReport("a")
		s.advance(healthtracker.SuspectPause / 2)
		if tried := s.placements(jobID(4)); len(tried) != 0 {
			t.Fatalf("attempt %d: %d runs are tried within the pause", attempt, len(tried))
		}
	}
}
