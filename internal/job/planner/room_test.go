package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/roomkeeper"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

func longRunningStep(count, millicores int) work.Step {
	spec := stepSpec(count, millicores)
	spec.LongRunning, spec.LatencyTarget, spec.Image = true, 20*time.Millisecond, "serve"
	return spec
}

// playShortJobs lets long-running jobs ask for all processors of ten VMs before
// short jobs arrive. It returns the share of short jobs that completed within
// their objective and the share of long-running tasks at work at the end.
func playShortJobs(t *testing.T, fillVMs bool) (inTime, atWork float64) {
	s := newSimulation(t)
	if fillVMs {
		s.planner.Settings.Gates = gatekeeper.Without(gatekeeper.Gaps)
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		s.addVM(name, 16_000, 100_000)
	}
	const longRunningTasks = 50
	for n := range longRunningTasks / 5 {
		s.submitJob(jobID(1000+n), longRunningStep(5, 3200))
	}
	s.advance(6 * time.Second)
	const (
		step     = 100 * time.Millisecond
		interval = 400 * time.Millisecond
		taskTime = 600 * time.Millisecond
		jobs     = 60
	)
	accepted, completed, startedAt := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
	for begin := s.now; s.now.Sub(begin) < jobs*interval+5*time.Second; s.now = s.now.Add(step) {
		if n := len(accepted); n < jobs && s.now.Sub(begin) >= time.Duration(n)*interval {
			accepted[jobID(n)] = s.now
			short := stepSpec(6, 900)
			short.EstimatedDuration = taskTime
			s.submitJob(jobID(n), short)
		}
		for name, v := range s.vms {
			for i := len(v.active) - 1; i >= 0; i-- {
				task := v.active[i].Task
				if startedAt[task].IsZero() {
					startedAt[task] = s.now
				}
				if accepted[task[:len(jobID(0))]].IsZero() || s.now.Sub(startedAt[task]) < taskTime {
					continue
				}
				s.endRun(v, task, endDone)
			}
			s.sendReport(name)
		}
		for id := range accepted {
			if completed[id].IsZero() && s.outcome(id) == jobreducer.Completed {
				completed[id] = s.now
			}
		}
	}
	for id, at := range accepted {
		if !completed[id].IsZero() && completed[id].Sub(at) <= 2*taskTime+time.Second {
			inTime += 1.0 / jobs
		}
	}
	for n := range longRunningTasks / 5 {
		atWork += float64(len(s.placements(jobID(1000+n)))) / longRunningTasks
	}
	return inTime, atWork
}

// Load: long-running tasks that ask for all processors, then short jobs that need
// a twentieth of them. Keeping no room is the baseline.
func TestShortJobsMeetObjectiveBesideLongRunningTasks(t *testing.T) {
	inTime, atWork := playShortJobs(t, false)
	baselineInTime, baselineAtWork := playShortJobs(t, true)
	t.Logf("short jobs in time %.2f (baseline %.2f), long-running tasks at work %.2f (baseline %.2f)", inTime, baselineInTime, atWork, baselineAtWork)
	if inTime < 0.95 || atWork < 0.75 {
		t.Errorf("short jobs in time %.2f, long-running tasks at work %.2f; want at least 0.95 and 0.75", inTime, atWork)
	}
	if inTime <= baselineInTime {
		t.Errorf("short jobs in time %.2f, not more than the baseline's %.2f", inTime, baselineInTime)
	}
}

// A long-running task must not wait where it fits twice, however much room short
// jobs need.
func TestLongRunningTaskRunsWhereItFitsTwice(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 10_000, 1000)
	s.submitJob(jobID(1), longRunningStep(1, 8000))
	s.advance(time.Second)
	s.planner.observeShortWork(&work.Job{Steps: []work.Step{stepSpec(100, 1000)}, Queue: work.Queue{Pool: "pool"}}, s.now)
	s.submitJob(jobID(2), longRunningStep(3, 600))
	s.advance(time.Second)
	want := map[string]int{jobID(1): 1, jobID(2): 2}
	got := map[string]int{}
	for id := range want {
		got[id] = len(s.placements(id))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("runs by job (-want +got):\n%s", diff)
	}
}

// A long-running task that ended by itself must come back, and a job must get its
// first task, wherever there is room, however much room short jobs need.
func TestLongRunningTaskComesBackDespiteKeptRoom(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 10_000, 1000)
	s.submitJob(jobID(1), longRunningStep(2, 4000))
	s.advance(time.Second)
	s.planner.observeShortWork(&work.Job{Steps: []work.Step{stepSpec(100, 1000)}, Queue: work.Queue{Pool: "pool"}}, s.now)
	s.endRun(v, jobID(1)+".0.0.0", endFailed)
	s.submitJob(jobID(2), longRunningStep(2, 1500))
	s.advance(time.Second)
	want := map[string]int{jobID(1): 2, jobID(2): 1}
	got := map[string]int{jobID(1): len(s.placements(jobID(1))), jobID(2): len(s.placements(jobID(2)))}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("runs by job (-want +got):\n%s", diff)
	}
}

// A job that can run nowhere must not take room from long-running tasks.
func TestJobTooLargeForAnyVMTakesNoRoom(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 10_000, 1000)
	s.advance(6 * roomkeeper.Window)
	s.submitJob(jobID(1), stepSpec(100, 20_000))
	s.submitJob(jobID(2), longRunningStep(5, 2000))
	s.advance(time.Second)
	if got := len(s.placements(jobID(2))); got != 5 {
		t.Errorf("%d long-running tasks run, want all 5", got)
	}
}

// Without short jobs the room that is kept for them is given up.
func TestRoomIsReleasedWithoutShortJobs(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 10_000, 1000)
	s.submitJob(jobID(1), longRunningStep(5, 2000))
	s.advance(time.Second)
	if got := len(s.placements(jobID(1))); got != 4 {
		t.Fatalf("%d tasks run at first, want 4", got)
	}
	s.advance(6 * roomkeeper.Window)
	if got := len(s.placements(jobID(1))); got != 5 {
		t.Errorf("%d tasks run when no short job came, want all 5", got)
	}
}
