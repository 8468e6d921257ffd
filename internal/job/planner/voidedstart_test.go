package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// While records are being written, several reports may come before the next commands
// are sent. A run that one of them leaves out and the next reports as void must not be
// started by the commands that acknowledge the void: its task starts elsewhere.
func TestCommandsDoNotStartRunWhoseVoidTheyAcknowledge(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.advance(time.Second)
	// The agent counts the start as handled before it has got it, as one of an earlier
	// version does after a reconnect.
	a.handled = 57
	s.planner.AddJob(&work.Job{ID: jobID(1), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{stepSpec(1, 500)}, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Second}}, s.now)
	s.planner.Tick(s.now)
	if commands := s.planner.Flush().Commands["a"]; commands == nil || len(commands.Starts) != 1 {
		t.Fatalf("commands for the VM: %+v, want one start", commands)
	}
	report := work.Report{Fence: a.fence, WorkerStatus: a.workerStatus, CommandsHandled: a.handled, SessionConfirmed: true}
	s.planner.HandleReport("a", &report, s.now) // sent before the start arrived
	void := report
	void.Voids = []work.VoidRun{{Task: jobID(1) + ".0.0.0", Run: 1, Reason: "unhealthy"}}
	s.planner.HandleReport("a", &void, s.now)
	commands := s.planner.Flush().Commands["a"]
	if diff := cmp.Diff([]work.RunRef{{Task: jobID(1) + ".0.0.0", Run: 1}}, commands.VoidsAcked); diff != "" {
		t.Fatalf("acknowledged voids (-want +got):\n%s", diff)
	}
	for _, start := range commands.Starts {
		if start.Run == 1 {
			t.Errorf("the commands that acknowledge the void of run 1 start it: %+v", start)
		}
	}
}
