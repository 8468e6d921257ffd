package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

func newExplainedJob(steps ...work.Step) *work.Job {
	return &work.Job{ID: jobID(99), Steps: steps, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Second}}
}

// The explanation is that of a pass: what it says would start starts, once the job is
// accepted, and until then nothing has changed.
func TestExplanationMatchesPlacement(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 2900, 1000, "ssd")
	s.addVM("b", 8000, 1000)
	s.addVM("c", 4000, 100)
	s.addVM("d", 4000, 1000)
	s.vms["d"].workerStatus.Draining = true
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.advance(time.Second)
	wide := stepSpec(10, 1000)
	wide.Size.Memory = 200
	wide.MaxPerVM = 3
	labeled := stepSpec(1, 100)
	labeled.Label = "nvme"
	after := stepSpec(1, 100)
	after.DependsOn = []int{0}
	job := newExplainedJob(wide, labeled, after)
	starts, reserved := len(s.starts), s.planner.vms["b"].reserved
	got := s.planner.ExplainJob(job, s.now)
	batch := s.planner.Flush()
	if len(s.starts) != starts || s.planner.vms["b"].reserved != reserved || !batch.Empty() || s.planner.jobs[job.ID] != nil {
		t.Error("the planner has changed")
	}
	want := []StepExplanation{
		{Step: 0, Waiting: 10, Starts: got.Steps[0].Starts, Against: map[Reason]int{NoProcessors: 1, NoMemory: 1, Draining: 1, SpreadLimitReached: 1}},
		{Step: 1, Waiting: 1, Starts: map[string]int{}, Against: map[Reason]int{WithoutLabel: 3, Draining: 1}},
		{Step: 2, Waiting: 1, After: []int{0}},
	}
	if diff := cmp.Diff(want, got.Steps); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
	job.AcceptedAt = s.now
	s.acceptJob(job)
	started := map[string]int{}
	for _, vm := range s.placements(job.ID) {
		started[vm]++
	}
	if diff := cmp.Diff(got.Steps[0].Starts, started); diff != "" || len(started) == 0 {
		t.Errorf("starts (-explained +started):\n%s", diff)
	}
	waiting := s.planner.ExplainJob(job, s.now)
	if step := waiting.Steps[0]; !waiting.Waits || step.Running == 0 || step.Waiting+step.Running != 10 {
		t.Errorf("the waiting job: %+v", waiting)
	}
}

// A gang starts whole or not at all.
func TestExplanationOfGangWithoutRoom(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 2000, 1000)
	gang := stepSpec(3, 1000)
	gang.Gang = true
	got := s.planner.ExplainJob(newExplainedJob(gang), s.now)
	want := []StepExplanation{{Waiting: 3, Against: map[Reason]int{NoProcessors: 1}}}
	if diff := cmp.Diff(want, got.Steps); diff != "" {
		t.Errorf("explanation (-want +got):\n%s", diff)
	}
	if reserved := s.planner.vms["a"].reserved.Millicores; reserved != 0 {
		t.Errorf("%d millicores are reserved", reserved)
	}
}

// A question must not hold the leader up: the starts that it counts are bounded as those
// of a pass are.
func TestExplanationIsBounded(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 16_000, 1_000_000)
	got := s.planner.ExplainJob(newExplainedJob(stepSpec(300, 1), stepSpec(300, 1), stepSpec(300, 1)), s.now)
	count := 0
	for _, step := range got.Steps {
		count += step.Starts["a"]
	}
	if count != maxPlacements {
		t.Errorf("%d starts are explained, want %d", count, maxPlacements)
	}
	if s.planner.vms["a"].reserved != (work.Size{}) || len(s.planner.vms["a"].runs) != 0 {
		t.Error("the planner has changed")
	}
}
