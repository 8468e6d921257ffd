package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// fillerStep returns a step of fillers that checkpoint, with an image of their own.
func fillerStep(tasks, millicores int) work.Step {
	step := taskStep(tasks, millicores, 100, 2*time.Second)
	step.Filler, step.Checkpoints, step.Image = true, true, "fill"
	return step
}

// servingJob is the job of the serving tasks of addServing.
const servingJob = 100

// addServing adds VMs of 16 cores with a serving task of the given size on each. What it
// leaves fits many fillers.
func (s *simulation) addServing(millicores int, names ...string) {
	for _, name := range names {
		s.addVM(name, 16_000, 10_000)
	}
	serving := taskStep(len(names), millicores, 100, time.Minute)
	serving.LongRunning, serving.LatencyTarget, serving.Image, serving.MaxPerVM = true, 20*time.Millisecond, "serve", 1
	s.submitJob(jobID(servingJob), serving)
	s.advance(time.Second)
	s.setServingLoad(0.5)
	s.advance(time.Second)
}

// setServingLoad sets the latency of the serving tasks to that at the given load. From
// 0.68 on, a filler beside them is slowed to almost nothing.
func (s *simulation) setServingLoad(load float64) {
	for task, name := range s.placements(jobID(servingJob)) {
		v := s.vms[name]
		for i := range v.active {
			if v.active[i].Task == task {
				v.active[i].Measurement, v.active[i].ProgressPercent = 4/(1-load), 100
			}
		}
	}
}

// An operator must see why a filler waits although VMs have memory for it.
func TestIdleJobIsExplainedOnce(t *testing.T) {
	s := newSimulation(t)
	s.addServing(10_000, "a", "b")
	s.setServingLoad(0.75)
	s.advance(time.Second)
	var against []map[Reason]int
	s.planner.logDecision = func(decision string, fields ...any) {
		for i := 0; decision == "idle" && i < len(fields); i += 2 {
			if fields[i] == "against" {
				against = append(against, fields[i+1].(map[Reason]int))
			}
		}
	}
	s.submitJob(jobID(1), fillerStep(2, 4000))
	s.advance(5 * time.Second)
	if diff := cmp.Diff([]map[Reason]int{{TooSlowForFillers: 2}}, against); diff != "" {
		t.Errorf("reasons in the lines about the idle job (-want +got):\n%s", diff)
	}
}

// maxIdle is how long an accepted job may have nothing running while a task's turn has
// come, there is room for it, and under half of the room is in use.
const maxIdle = 3 * time.Second

// wantBusy lets time pass and fails the test if the job has nothing running for maxIdle.
// before is called ahead of each step.
func (s *simulation) wantBusy(id string, d time.Duration, before func()) {
	s.t.Helper()
	idle := time.Duration(0)
	for pass := 100 * time.Millisecond; d > 0; d -= pass {
		if before != nil {
			before()
		}
		s.advance(pass)
		if idle += pass; len(s.placements(id)) > 0 {
			idle = 0
		}
		if idle >= maxIdle {
			s.t.Fatalf("the job has had nothing running for %s beside free room", idle)
		}
	}
}

func TestFillerStartsBesideServingTasksThatSlowIt(t *testing.T) {
	s := newSimulation(t)
	s.addServing(7000, "a", "b")
	s.setServingLoad(0.75)
	s.advance(time.Second)
	s.submitJob(jobID(1), fillerStep(9, 4000))
	s.wantBusy(jobID(1), 6*time.Second, nil)
}

// crowdWithFillers adds VMs of 16 cores with perVM fillers of 5 cores on each, and submits
// a job of larger fillers that will be late.
func (s *simulation) crowdWithFillers(perVM int) {
	s.addVM("a", 16_000, 10_000)
	s.addVM("b", 16_000, 10_000)
	others := fillerStep(40, 5000)
	others.MaxPerVM, others.EstimatedDuration = perVM, time.Minute
	s.submitJob(jobID(1), others)
	s.advance(time.Second)
	late := fillerStep(9, 7000)
	late.EstimatedDuration = 20 * time.Second
	s.acceptJob(&work.Job{ID: jobID(2), AcceptedAt: s.now, Steps: []work.Step{late}, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 0.2, Target: time.Second,
	}})
}

func TestFillerOfLateJobStartsBesideOtherFillers(t *testing.T) {
	s := newSimulation(t)
	s.crowdWithFillers(2)
	s.wantBusy(jobID(2), 6*time.Second, nil)
}

// trafficEnds is how long after the last job was accepted no job may be idle any more
// because others use the processors as fillers.
const trafficEnds = 14 * time.Second

// Other fillers have all processors, and the tasks of the job end one by one.
func TestFillerStartsWhereOthersAskForAllProcessors(t *testing.T) {
	s := newSimulation(t)
	s.crowdWithFillers(3)
	s.advance(trafficEnds)
	passes := 0
	s.wantBusy(jobID(2), 12*time.Second, func() {
		if passes++; passes%15 == 0 {
			for task, name := range s.placements(jobID(2)) {
				s.endRun(s.vms[name], task, endDone)
			}
		}
	})
	if got := len(s.starts) - 6; got < 4 {
		t.Errorf("%d starts of the job in 12 s, want one after the other", got)
	}
}

func TestFillerStoppedAtLowPaceStartsAgain(t *testing.T) {
	s := newSimulation(t)
	s.addServing(7000, "a", "b")
	s.submitJob(jobID(1), fillerStep(1, 4000))
	s.advance(time.Second)
	s.setServingLoad(0.75)
	s.wantBusy(jobID(1), 20*time.Second, func() {
		for _, v := range s.vms {
			for i := range v.active {
				v.active[i].Pace = stopPace
			}
		}
	})
	if len(s.starts) < 4 {
		t.Errorf("%d starts, want the filler to be stopped and started again", len(s.starts))
	}
}

func TestFillerThatWaitsStartsUnderNewLeader(t *testing.T) {
	s := newSimulation(t)
	s.addServing(7000, "a", "b")
	s.setServingLoad(0.75)
	s.advance(time.Second)
	s.submitJob(jobID(1), fillerStep(9, 4000))
	restarts := 0
	s.wantBusy(jobID(1), 6*time.Second, func() {
		if restarts++; restarts == 9 {
			s.restart()
		}
	})
}

// Beside busy serving tasks fillers make little progress: one keeps the job going, more
// would only hold memory.
func TestIdleJobStartsOneFillerAtAnyCost(t *testing.T) {
	s := newSimulation(t)
	s.addServing(7000, "a", "b")
	s.setServingLoad(0.75)
	s.advance(time.Second)
	s.submitJob(jobID(1), fillerStep(9, 4000))
	for range 60 {
		s.advance(100 * time.Millisecond)
		if got := len(s.placements(jobID(1))); got > 1 {
			t.Fatalf("%d fillers run beside busy serving tasks, want one", got)
		}
	}
}

// In a pool with little room, a filler that would make no progress must not take memory
// that others need.
func TestFillerWaitsForBetterVMInFullPool(t *testing.T) {
	s := newSimulation(t)
	s.addServing(10_000, "a", "b")
	s.setServingLoad(0.75)
	s.advance(time.Second)
	s.submitJob(jobID(1), fillerStep(9, 4000))
	s.advance(5 * time.Second)
	if got := s.placements(jobID(1)); len(got) > 0 {
		t.Errorf("placements %v beside busy serving tasks that reserve most processors", got)
	}
}

// The policy service is not asked about VMs without room, but an idle job may take one.
func TestIdleJobGetsTicketForBusyVM(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 16_000, 10_000)
	others := fillerStep(40, 5000)
	others.MaxPerVM, others.EstimatedDuration = 3, time.Minute
	s.submitJob(jobID(1), others)
	s.advance(time.Second)
	s.acceptJob(&work.Job{ID: jobID(2), AcceptedAt: s.now, Steps: []work.Step{fillerStep(9, 7000)}, Queue: work.Queue{
		Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Minute, Approval: &work.ApprovalPolicy{TicketLifetime: 3 * time.Second},
	}})
	s.advance(trafficEnds)
	s.wantBusy(jobID(2), 6*time.Second, func() {
		if q, ok := s.planner.NextPolicyQuery(s.now); ok {
			s.planner.HandlePolicyAnswer(q, map[string]string{"a": "ticket"}, 3*time.Second, s.now)
		}
	})
}

// While jobs come, fillers that cannot be in time must not slow those that can on VMs whose
// processors fillers use in full.
func TestIdleJobLeavesProcessorsToOthersWhileJobsCome(t *testing.T) {
	s := newSimulation(t)
	s.crowdWithFillers(3)
	for n := range 40 {
		s.submitJob(jobID(10+n), stepSpec(1, 100))
		s.advance(500 * time.Millisecond)
		if got := s.placements(jobID(2)); len(got) > 0 {
			t.Fatalf("placements %v after %s, though all processors are in use", got, s.now.Sub(s.planner.jobs[jobID(2)].record.AcceptedAt))
		}
	}
}

// A new leader knows from the log when the last job came.
func TestNewLeaderKnowsThatNoJobsCome(t *testing.T) {
	s := newSimulation(t)
	s.crowdWithFillers(3)
	s.advance(trafficEnds)
	for task, name := range s.placements(jobID(2)) {
		s.endRun(s.vms[name], task, endDone)
	}
	s.sendReport("a")
	s.restart()
	s.wantBusy(jobID(2), 4*time.Second, nil)
}
