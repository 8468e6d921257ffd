package planner

import (
	"fmt"
	"testing"
	"time"

	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/reserver"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// These tests are about parts of the planner that hold tasks back or make room, together.

// The free room of an evacuated VM is none: a large task gets its promise elsewhere.
func TestPromiseIsNotOnEvacuatedVM(t *testing.T) {
	s := newSimulation(t)
	s.addVMIn("x", "a", 8000, 64_000)
	s.evacuate("x")
	s.addVMIn("y", "b", 8000, 64_000)
	s.submitJob(jobID(1), taskStep(1, 4000, 100, 3*time.Second), taskStep(1, 2000, 100, 3*time.Second))
	s.submitJob(jobID(2), taskStep(1, 8000, 100, time.Second))
	s.advance(300 * time.Millisecond)
	r := s.planner.promises.byPool["pool"]
	if r == nil || r.On("b") == nil || r.On("a") != nil {
		t.Errorf("promises %+v, want one on b, which is not evacuated", r)
	}
}

// yields returns how often the filler of a simulation made by blocked gave way.
func (s *simulation) yields() int {
	return s.state.Jobs[jobID(1)].Tasks[jobreducer.TaskKey{}].Yields
}

func TestFillerGivesWayBesideFreeEvacuatedVM(t *testing.T) {
	s := newSimulation(t)
	s.addVMIn("x", "e", 16_000, 6400)
	s.evacuate("x")
	s.addVMIn("y", "a", 16_000, 6400)
	s.submitFiller(6400)
	s.submitJob(jobID(2), taskStep(1, 1000, 6400, time.Second))
	s.advance(3 * time.Second)
	if got := s.yields(); got != 1 {
		t.Errorf("the filler gave way %d times, want once: the free VM is evacuated", got)
	}
}

func TestNothingGivesWayOnEvacuatedVM(t *testing.T) {
	s := newSimulation(t)
	s.addVMIn("x", "a", 16_000, 6400)
	s.submitFiller(6400)
	s.evacuate("x")
	s.submitJob(jobID(2), taskStep(1, 1000, 6400, time.Second))
	s.advance(3 * time.Second)
	if got := s.yields(); got != 0 {
		t.Errorf("the filler gave way %d times on a VM where nothing may start", got)
	}
}

// submitFiller submits a long filler of a less urgent queue.
func (s *simulation) submitFiller(memory int) {
	s.advance(time.Second)
	filler := taskStep(1, 1000, memory, time.Minute)
	filler.Filler, filler.Checkpoints = true, true
	s.acceptJob(&work.Job{ID: jobID(1), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{filler}, Queue: work.Queue{Name: "less", Pool: "pool", MaxFailures: 2, Priority: 2}})
}

// No room is made for tasks that wait for a doubtful one of their job.
func TestNothingGivesWayToTaskOfDoubtfulJob(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 16_000, 6400)
	s.submitFiller(5400)
	s.submitJob(jobID(2), taskStep(2, 1000, 1000, 8*time.Second))
	doubtful, _ := s.planner.findTask(jobID(2) + ".0.0.0")
	doubtful.tasks[0].Failures = doubtfulFailures
	s.planner.markDirty(doubtful, 0)
	s.advance(3 * time.Second)
	if got := s.yields(); got != 0 {
		t.Errorf("the filler gave way %d times to a task that is held back", got)
	}
}

// A VM on probation gets no task at once, so nothing gives way there.
func TestNothingGivesWayOnVMOnProbation(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 16_000, 6400)
	s.submitFiller(6400)
	s.planner.vms["a"].health.Restore(healthtracker.Flaky, 1, s.now.Add(time.Hour))
	s.submitJob(jobID(2), taskStep(1, 1000, 6400, time.Second))
	s.advance(3 * time.Second)
	if got := s.yields(); got != 0 {
		t.Errorf("the filler gave way %d times on a VM that may not be tried", got)
	}
}

// A task that has found room waits anew before others give way to its next run.
func TestPatienceBeginsAnewWithEachWait(t *testing.T) {
	s := blocked(t)
	s.advance(600 * time.Millisecond)
	waiting, _ := s.planner.findTask(jobID(2) + ".0.0.0")
	if waiting.noRoomSince.IsZero() {
		t.Fatal("the task is not known to wait for room")
	}
	s.endRun(s.vms["a"], jobID(1)+".0.0.0", endDone)
	s.advance(300 * time.Millisecond)
	if len(s.placements(jobID(2))) != 1 {
		t.Fatal("the task does not run")
	}
	if !waiting.noRoomSince.IsZero() {
		t.Error("the task runs and still counts as waiting for room")
	}
}

// heldByPromise returns a simulation in which a quarter of the VMs have 2 cores of free
// room, all of which is promised for 3.5 s, and the others none.
func heldByPromise(t *testing.T, vms int) *simulation {
	s := newSimulation(t)
	s.planner.Settings.Gates = gatekeeper.Without(gatekeeper.Gaps)
	for n := range vms {
		s.addVM(fmt.Sprintf("vm%02d", n), 8000, 64_000)
	}
	held := max(vms/4, 1)
	full := taskStep(vms-held, 8000, 100, time.Minute)
	full.LongRunning = true
	s.submitJob(jobID(4), full)
	s.submitJob(jobID(1), taskStep(held, 4000, 100, 3500*time.Millisecond), taskStep(held, 2000, 100, 3500*time.Millisecond))
	s.submitJob(jobID(2), taskStep(held, 8000, 100, time.Second))
	s.advance(300 * time.Millisecond)
	if got := s.planner.promises.byPool["pool"].Len(); got != held {
		t.Fatalf("%d VMs are promised, want %d", got, held)
	}
	return s
}

// Each task of a long-running step has a bound of its own for being away, so a promise
// holds them back together and not one after the other.
func TestPromiseHoldsLongRunningTasksBackOnce(t *testing.T) {
	s := heldByPromise(t, 8)
	step := taskStep(2, 2000, 100, time.Minute)
	step.LongRunning = true
	s.submitJob(jobID(3), step)
	s.advance(maxHeldBack / 2)
	if got := len(s.placements(jobID(3))); got != 0 {
		t.Fatalf("%d tasks took the promised room", got)
	}
	s.advance(maxHeldBack)
	if got := len(s.placements(jobID(3))); got != 2 {
		t.Errorf("%d of 2 tasks run after %s", got, 3*maxHeldBack/2)
	}
}

// A task may wait for a sound VM for 2 s and for promised room for 1 s, which must not
// add up to the 3 s that it may wait beside free room.
func TestHoldsDoNotAddUp(t *testing.T) {
	s := heldByPromise(t, 4)
	for _, v := range s.planner.vms {
		v.health.Restore(healthtracker.Flaky, 1, s.now.Add(time.Hour))
	}
	s.submitJob(jobID(3), taskStep(1, 1000, 100, 9*time.Second))
	held := time.Duration(0)
	for ; len(s.placements(jobID(3))) == 0 && held < 4*time.Second; held += 100 * time.Millisecond {
		s.advance(100 * time.Millisecond)
	}
	if held < maxHeldBack || held > maxSlowWait+300*time.Millisecond {
		t.Errorf("the task was held back for %s, want about %s", held, maxSlowWait)
	}
}

// Long-running tasks beside short ones that are done have no end that could be late: they
// must not make the sequence believe for good that not all jobs can be in time.
func TestLongRunningTasksDoNotAge(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 64_000)
	long := taskStep(1, 500, 100, time.Minute)
	long.LongRunning = true
	s.submitJob(jobID(1), taskStep(1, 500, 100, 100*time.Millisecond), long)
	s.advance(100 * time.Millisecond)
	s.endRun(v, jobID(1)+".0.0.0", endDone)
	s.planner.jobs[jobID(1)].record.AcceptedAt = s.now.Add(-time.Hour)
	s.submitJob(jobID(2), taskStep(1, 7800, 100, time.Second))
	s.advance(200 * time.Millisecond)
	q := s.planner.sequences[sequenceKind{"pool", false}]
	if q == nil || q.overloaded {
		t.Errorf("the sequence is %+v, want one in which all jobs can be in time", q)
	}
}

// A filler is not stopped for a VM whose room is promised: it would wait beside it.
func TestFillerIsNotMovedToPromisedVM(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 16_000, 6400)
	s.submitFiller(5400)
	s.addVM("b", 16_000, 6400)
	p := s.planner.vms["a"].runs[runKey{jobID(1) + ".0.0.0", 1}]
	p.pace = slowPace
	s.planner.reserverOf("pool").Keep("b", jobID(2)+".0.0", reserver.Rank{Class: 1}, work.Size{Memory: 6400}, s.now.Add(time.Second), s.now)
	if s.planner.moveIfBetter(p, s.now) {
		t.Error("the filler is stopped, although the other VM is promised")
	}
	delete(s.planner.promises.byPool, "pool")
	if !s.planner.moveIfBetter(p, s.now) {
		t.Error("the filler is not moved to a free VM")
	}
}
