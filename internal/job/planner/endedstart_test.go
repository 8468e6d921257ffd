package planner

import (
	"testing"
	"time"

	"knapweedspur/internal/wire/work"
)

// Of two reports that come before the next commands are sent, the first may lack a run and
// the second list its end. The commands that acknowledge the end must not start the run: a
// worker process that begins meanwhile under the same name does not know that it has ended.
func TestCommandsDoNotStartRunWhoseEndTheyAcknowledge(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.advance(time.Second)
	s.planner.AddJob(&work.Job{ID: jobID(1), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{stepSpec(1, 500)}, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 2, Target: time.Second}}, s.now)
	s.planner.Tick(s.now)
	if commands := s.planner.Flush().Commands["a"]; commands == nil || len(commands.Starts) != 1 {
		t.Fatalf("commands for the VM: %+v, want one start", commands)
	}
	// The agent reconnects, and reports before it has handled the commands that were sent
	// on its former connection.
	s.planner.DisconnectAgent("a")
	s.sendHello("a")
	report := work.Report{Fence: a.fence, WorkerStatus: a.workerStatus, CommandsHandled: a.handled, SessionConfirmed: true}
	s.planner.HandleReport("a", &report, s.now)
	ended := report
	ended.CommandsHandled++
	ended.Ends = []work.RunEnd{{Number: 1, Task: jobID(1) + ".0.0.0", Run: 1, Outcome: "done"}}
	s.planner.HandleReport("a", &ended, s.now)
	commands := s.planner.Flush().Commands["a"]
	if commands == nil || commands.EndsAcked != 1 {
		t.Fatalf("commands %+v, want end 1 acknowledged", commands)
	}
	if len(commands.Starts) > 0 {
		t.Errorf("the commands that acknowledge the end of run 1 start it: %+v", commands.Starts)
	}
}
