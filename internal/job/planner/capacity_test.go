package planner

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/frontend/admissiondecider"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// resize lets a worker have another capacity, and its agent report it.
func (s *simulation) resize(name string, capacity work.Size) {
	s.vms[name].workerStatus.Capacity = capacity
	s.sendReport(name)
}

// smallerIn returns a capacity that has less of one dimension than asked for.
func smallerIn(capacity, asked work.Size) map[string]work.Size {
	processors, memory, accelerators := capacity, capacity, capacity
	processors.Millicores = asked.Millicores - 1
	memory.Memory = asked.Memory - 1
	accelerators.Accelerators = asked.Accelerators - 1
	return map[string]work.Size{"processors": processors, "memory": memory, "accelerators": accelerators, "all": {}}
}

var vmSize = work.Size{Millicores: 8000, Memory: 10_000, Accelerators: 4}

// A report that tells of less room must count in the pass that follows it, and one that
// tells of more again too.
func TestShrunkAndGrownRoomCountsWithTheNextReport(t *testing.T) {
	spec := stepSpec(1, 1000)
	spec.Size.Accelerators = 1
	for name, capacity := range smallerIn(vmSize, spec.Size) {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			s.addVM("a", vmSize.Millicores, vmSize.Memory)
			s.resize("a", capacity)
			s.submitJob(jobID(1), spec)
			s.advance(10 * time.Second)
			s.wantStarts(0, "while no VM has the room")
			s.resize("a", vmSize)
			s.wantStarts(1, "with the report that tells of the room")
			s.endAllRuns(endDone)
			if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// A new leader gets the introduction of an agent from an entry that kept it while the
// worker shrank.
func TestOutdatedIntroductionPlacesNothing(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	s.resize("a", work.Size{Millicores: 500, Memory: 10_000})
	s.submitJob(jobID(1), stepSpec(1, 1000))
	v.workerStatus.Capacity = vmSize
	s.restart()
	v.workerStatus.Capacity = work.Size{Millicores: 500, Memory: 10_000}
	s.runPass()
	s.wantStarts(0, "after an introduction with a former capacity")
	s.advance(2 * time.Second)
	s.wantStarts(0, "on the shrunk worker")
	s.resize("a", vmSize)
	s.wantStarts(1, "on the grown worker")
}

// everyKind returns steps of every kind that places tasks in its own way.
func everyKind() []work.Step {
	steps := make([]work.Step, 6)
	for i := range steps {
		steps[i] = stepSpec(2, 1000)
	}
	steps[1].Filler, steps[1].Image = true, "fill"
	steps[2].LongRunning, steps[2].LatencyTarget, steps[2].Image = true, 20*time.Millisecond, "serve"
	steps[3].Gang = true
	steps[4].Speculative = true
	steps[5].LongRunning, steps[5].Filler, steps[5].Image = true, true, "fill"
	return steps
}

// A capacity below what runs, or of nothing at all, must not be divided by, nor give room
// to any kind of task.
func TestWorkerWithLessThanItRunsGetsNothing(t *testing.T) {
	full := work.Size{Millicores: 40_000, Memory: 10_000}
	for _, capacity := range []work.Size{{}, {Millicores: 40_000}, {Memory: 10_000}, {Millicores: 1, Memory: 1}, {Millicores: 7999, Memory: 10_000}, {Millicores: 40_000, Memory: 1199}, {Millicores: -1, Memory: -1}} {
		t.Run(fmt.Sprintf("%+v", capacity), func(t *testing.T) {
			s := newSimulation(t)
			s.addVM("a", full.Millicores, full.Memory)
			s.submitJob(jobID(1), everyKind()...)
			s.advance(500 * time.Millisecond)
			s.wantStarts(12, "with room for all")
			s.resize("a", capacity)
			for n := range 6 {
				s.submitJob(jobID(2+n), everyKind()[n])
			}
			for range 20 {
				s.advance(500 * time.Millisecond)
				s.planner.Outlook(1, s.now)
				s.planner.ExplainJob(s.planner.jobs[jobID(2)].record, s.now)
			}
			s.wantStarts(12, "while the worker has less than it runs")
			s.resize("a", full)
			s.advance(time.Second)
			s.wantStarts(24, "after the worker has grown")
		})
	}
}

// A gang that fits only together must not start in part on VMs of which one shrank.
func TestGangWaitsForTheVMThatShrank(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 2000, 1000)
	s.addVM("b", 2000, 1000)
	s.resize("b", work.Size{Millicores: 1999, Memory: 1000})
	gang := stepSpec(4, 1000)
	gang.Gang = true
	s.submitJob(jobID(1), gang)
	s.advance(3 * time.Second)
	s.wantStarts(0, "while one VM is too small")
	s.resize("b", work.Size{Millicores: 2000, Memory: 1000})
	s.advance(time.Second)
	s.wantStarts(4, "with all VMs grown again")
}

// Refusals of a worker that guards its capacity say nothing of the task: its job must
// neither fail for them nor wait on after the worker has grown.
func TestRefusalsForRoomDoNotFailTheJob(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	v.loseStarts = true
	s.submitJob(jobID(1), stepSpec(1, 1000))
	task := jobID(1) + ".0.0.0"
	for range 30 {
		if p := s.planner.vms["a"].runs; len(p) > 0 {
			for key := range maps.Keys(p) {
				v.voids = append(v.voids, work.VoidRun{Task: key.task, Run: key.run, Reason: "room"})
			}
		}
		s.advance(200 * time.Millisecond)
	}
	planned, index := s.planner.findTask(task)
	if diff := cmp.Diff(0, planned.tasks[index].Failures); diff != "" {
		t.Errorf("failures of the task (-want +got):\n%s", diff)
	}
	v.loseStarts = false
	s.advance(time.Second)
	s.wantStarts(1, "after the refusals")
	s.endAllRuns(endDone)
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// Room that was promised on a VM which shrank never comes: the promise must move to a VM
// that is large enough, or end, and be given again when one has grown.
func TestPromiseLeavesTheVMThatShrank(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b"} {
		s.addVM(name, 8000, 10_000)
	}
	small := stepSpec(16, 1000)
	small.EstimatedDuration = 3 * time.Second
	s.submitJob(jobID(1), small)
	s.advance(300 * time.Millisecond)
	large := stepSpec(1, 6000)
	s.submitJob(jobID(2), large)
	s.advance(300 * time.Millisecond)
	r := s.planner.promises.byPool["pool"]
	if r == nil || r.Len() != 1 {
		t.Fatal("no room is promised to the large task")
	}
	promised, other := "a", "b"
	if r.On("a") == nil {
		promised, other = "b", "a"
	}
	s.resize(promised, work.Size{Millicores: 5999, Memory: 10_000})
	s.advance(300 * time.Millisecond)
	if r := s.planner.promises.byPool["pool"]; r == nil || r.On(promised) != nil || r.On(other) == nil {
		t.Error("the promise did not move to the VM that is large enough")
	}
	s.resize(other, work.Size{Millicores: 5999, Memory: 10_000})
	s.advance(300 * time.Millisecond)
	if r := s.planner.promises.byPool["pool"]; r != nil && r.Len() > 0 {
		t.Error("room is promised on VMs that are too small")
	}
	s.resize(other, work.Size{Millicores: 8000, Memory: 10_000})
	s.advance(300 * time.Millisecond)
	if r := s.planner.promises.byPool["pool"]; r == nil || r.On(other) == nil {
		t.Error("no room is promised on the VM that has grown")
	}
}

// Runs must not give way to a task that would not fit on the shrunk VM without them.
func TestNothingGivesWayOnAVMThatIsTooSmall(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	spec := stepSpec(8, 1000)
	spec.Checkpoints, spec.EstimatedDuration = true, 20*time.Second
	job := &work.Job{ID: jobID(1), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{spec}, Queue: work.Queue{Name: "later", Pool: "pool", Priority: 2, MaxFailures: 2, Stretch: 2, Target: time.Second}}
	s.acceptJob(job)
	s.advance(500 * time.Millisecond)
	s.resize("a", work.Size{Millicores: 3000, Memory: 10_000})
	s.submitJob(jobID(2), stepSpec(1, 4000))
	s.advance(5 * time.Second)
	if diff := cmp.Diff(8, len(v.active)); diff != "" {
		t.Errorf("runs on the shrunk VM (-want +got):\n%s", diff)
	}
	s.resize("a", work.Size{Millicores: 8000, Memory: 10_000})
	s.advance(4 * time.Second)
	if _, placed := s.placements(jobID(2))[jobID(2)+".0.0.0"]; !placed {
		t.Error("the urgent task did not start on the grown VM")
	}
}

// Jobs are refused by the room there is, no longer than until it is back. A leader that
// knows only shrunk VMs must not have jobs refused for being larger than those.
func TestJobIsRefusedOnlyWhileRoomIsGone(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 8000, 10_000)
	busy := stepSpec(40, 1000)
	busy.EstimatedDuration = 2 * time.Second
	s.submitJob(jobID(1), busy)
	refused := func(millicores int) bool {
		s.advance(outlookInterval)
		queue := work.Queue{Name: "later", Pool: "pool", Priority: 1, MaxFailures: 2, Stretch: 2, Target: time.Second}
		job := &work.Job{ID: jobID(2), AcceptedAt: s.now, Queue: queue, Steps: []work.Step{stepSpec(1, millicores)}}
		return admissiondecider.Judge(job, admissiondecider.Situation{Forecast: s.planner.Outlook(1, s.now), Epoch: 1}) != nil
	}
	s.resize("a", work.Size{Millicores: 1000, Memory: 10_000})
	s.restart()
	if !refused(500) {
		t.Error("a job is accepted behind 72 s of work on one core")
	}
	if refused(8000) {
		t.Error("a job is refused since it is larger than all VMs are now")
	}
	s.resize("a", work.Size{Millicores: 8000, Memory: 10_000})
	if refused(500) || refused(8000) {
		t.Error("a job is refused although the room is back")
	}
}

// Fillers run beside serving tasks that use less than they reserve. A worker that has less
// than they reserve has nothing to fill.
func TestFillerDoesNotStartOnProcessorsThatAreGone(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	serving := stepSpec(1, 8000)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 20*time.Millisecond, "serve"
	s.submitJob(jobID(1), serving)
	s.advance(time.Second)
	v.active[0].Measurement = 1
	s.advance(3 * time.Second)
	s.resize("a", work.Size{Millicores: 7900, Memory: 10_000})
	filler := stepSpec(1, 100)
	filler.Filler, filler.Image = true, "fill"
	s.submitJob(jobID(2), filler)
	s.advance(2 * time.Second)
	s.wantStarts(1, "while the serving task reserves more than there is")
	s.resize("a", work.Size{Millicores: 8000, Memory: 10_000})
	s.advance(time.Second)
	s.wantStarts(2, "with all processors back")
}

// A VM that has less than its long-running tasks reserve takes nothing from the others.
func TestShrunkVMTakesNoCapacityFromOthers(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 8000, 10_000)
	long := stepSpec(1, 8000)
	long.LongRunning = true
	s.submitJob(jobID(1), long)
	s.advance(300 * time.Millisecond)
	s.addVM("b", 4000, 10_000)
	s.resize("a", work.Size{Millicores: 1000, Memory: 10_000})
	if diff := cmp.Diff(4.0, s.planner.sequenceCapacity(sequenceKind{"pool", false}, s.now)); diff != "" {
		t.Errorf("cores on which jobs can count (-want +got):\n%s", diff)
	}
	if !s.planner.leavesRoom("pool", 1000, s.now) {
		t.Error("a long-running task must wait for short jobs although most of the other VM is free")
	}
	// Three seconds of work on four cores, and ten seconds of time.
	candidates := []candidate{{step: &step{spec: &work.Step{}}, remainingWork: 12, deadline: s.now.Add(10 * time.Second)}}
	s.planner.markOverload(candidates, s.now)
	if candidates[0].shortOfTime {
		t.Error("a job with three times the time that it needs counts as short of time")
	}
}

// A filler that is slow must not lose its VM for one that shrank and will not take it.
func TestFillerIsNotMovedToAVMThatShrank(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	spec := stepSpec(1, 300)
	spec.Filler, spec.Checkpoints = true, true
	s.submitJob(jobID(1), spec)
	s.addVM("b", 1000, 1000)
	a.active[0].Pace = slowPace / 2
	for _, capacity := range []work.Size{{Millicores: 1000, Memory: 99}, {Millicores: 100, Memory: 1000}, {}} {
		s.resize("b", capacity)
		s.advance(3 * time.Second)
		s.wantStarts(1, fmt.Sprintf("while the other VM has %+v", capacity))
	}
	s.resize("b", work.Size{Millicores: 1000, Memory: 1000})
	s.advance(5 * time.Second)
	s.wantStarts(2, "after the other VM has grown")
}
