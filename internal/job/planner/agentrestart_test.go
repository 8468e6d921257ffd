package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// restartAgent connects a new agent process to the VM. It finds the worker's
// runs but does not know their kinds.
func (s *simulation) restartAgent(name string) {
	v := s.vms[name]
	for i := range v.active {
		v.active[i].KindUnknown = true
	}
	s.planner.RegisterAgent(&work.Hello{WorkerStatus: v.workerStatus, AgentIncarnation: "second-" + name, Host: v.host}, s.now)
	s.runPass()
	s.sendReport(name)
}

func TestNewAgentReceivesKindsOfRuns(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 1000)
	step := stepSpec(1, 1000)
	step.LongRunning, step.LatencyTarget, step.Image = true, 20*time.Millisecond, "feed"
	s.submitJob(jobID(1), step)
	s.advance(time.Second)
	s.restartAgent("a")
	want := []work.Start{{Task: jobID(1) + ".0.0.0", Run: 1, Serving: true, LatencyTarget: 20 * time.Millisecond, Image: "feed", Millicores: 1000, Memory: 100}}
	if diff := cmp.Diff(want, v.adoptedRuns); diff != "" {
		t.Errorf("kinds sent to the new agent (-want +got):\n%s", diff)
	}
	s.advance(time.Second)
	if diff := cmp.Diff(want, v.adoptedRuns); diff != "" {
		t.Errorf("kinds sent again to an agent that has them (-want +got):\n%s", diff)
	}
}

func TestNewAgentReceivesInterferenceWeightsAgain(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 1000)
	serving, filler := stepSpec(1, 1000), stepSpec(1, 1000)
	serving.LongRunning, serving.LatencyTarget, serving.Image = true, 20*time.Millisecond, "feed"
	filler.Filler, filler.Image = true, "fill"
	s.submitJob(jobID(1), serving)
	s.submitJob(jobID(2), filler)
	s.advance(time.Second)
	v.weights = nil
	s.restartAgent("a")
	s.advance(time.Second)
	want := []work.Interference{{FillerImage: "fill", ServingImage: "feed", LoadIncrease: 1}}
	if diff := cmp.Diff(want, v.weights); diff != "" {
		t.Errorf("weights sent to the new agent (-want +got):\n%s", diff)
	}
}

// A worker lists a limited number of ends. A run that is missing from the first
// list under a new fence may then have ended.
func TestRunIsKeptWhileEndsAreNotListed(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	task := jobID(1) + ".0.0.0"
	s.endRun(v, task, endDone)
	hidden := v.ends
	v.ends, v.moreEnds = nil, true
	s.restartAgent("a")
	s.advance(time.Second)
	if diff := cmp.Diff(1, len(s.starts)); diff != "" {
		t.Errorf("starts while an end is not listed (-want +got):\n%s", diff)
	}
	v.ends, v.moreEnds = hidden, false
	s.advance(time.Second)
	if diff := cmp.Diff(1, len(s.starts)); diff != "" {
		t.Errorf("starts once the end is listed (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// An agent that reconnects reports the number of the last commands that it has handled on
// its former connection. Starts that are still on their way must not count as handled.
func TestCommandsAfterReconnectAreNotNumberedAsHandledOnes(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 1000, 1000)
	for n := range 5 {
		s.submitJob(jobID(n+1), stepSpec(1, 100))
		s.advance(100 * time.Millisecond)
	}
	handled := v.handled
	s.planner.DisconnectAgent("a")
	s.sendHello("a")
	s.planner.HandleReport("a", &work.Report{Fence: v.fence, WorkerStatus: v.workerStatus, CommandsHandled: handled, SessionConfirmed: true, ActiveRuns: v.active}, s.now)
	s.planner.AddJob(&work.Job{ID: jobID(9), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{stepSpec(1, 100)}, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Second}}, s.now)
	s.planner.Tick(s.now)
	commands := s.planner.Flush().Commands["a"]
	if commands == nil || len(commands.Starts) == 0 || commands.Number <= handled {
		t.Errorf("commands %+v after those up to %d, want a start with a higher number", commands, handled)
	}
}
