package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// advanceSilent moves time forward while the agent of VM "a" is heard, but its worker has
// not answered it since the given time.
func (s *simulation) advanceSilent(since time.Time, d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		s.advance(step)
		s.planner.RecordHeartbeat("a", s.now)
		s.planner.HandleReport("a", &work.Report{WorkerStatus: s.vms["a"].workerStatus, WorkerSilence: s.now.Sub(since)}, s.now)
		s.runPass()
	}
}

// replaceAgent connects a new agent process to the VM, whose session the worker has
// not accepted yet.
func (s *simulation) replaceAgent(name string) {
	v := s.vms[name]
	s.planner.RegisterAgent(&work.Hello{WorkerStatus: v.workerStatus, AgentIncarnation: "second-" + name, Host: v.host}, s.now)
	s.runPass()
}

// startBesideSilentWorker starts a task on a VM "a" whose worker then falls silent and
// whose agent restarts, beside an empty VM "b".
func startBesideSilentWorker(t *testing.T) (*simulation, *simulatedVM) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.addVM("b", 1000, 1000)
	s.advance(time.Second)
	a.silent = true
	s.replaceAgent("a")
	return s, a
}

// After its agent has restarted, a worker that sends heartbeats and answers no call
// never accepts the new session, and nobody extends its lease. Its runs must not be
// kept for as long as the agent is heard.
func TestRunsOfWorkerThatNeverAcceptsItsSessionRestart(t *testing.T) {
	s, a := startBesideSilentWorker(t)
	since := s.now
	s.advanceSilent(since, 6*time.Second)
	s.wantStarts(1, "while the lease may be in force")
	s.advanceSilent(since, 4*time.Second)
	s.wantStarts(2, "10 s after the last answer")
	a.active, a.silent = nil, false
	s.advance(2 * time.Second)
	s.submitJob(jobID(2), stepSpec(2, 600))
	s.advance(time.Second)
	if s.placements(jobID(2))[jobID(2)+".0.0.0"] != "a" {
		t.Errorf("the VM gets no work after its worker has answered again: %v", s.placements(jobID(2)))
	}
}

// A worker that answers again before its lease is over keeps its runs.
func TestWorkerThatAcceptsItsSessionLateKeepsItsRuns(t *testing.T) {
	s, a := startBesideSilentWorker(t)
	s.advanceSilent(s.now, 4*time.Second)
	a.silent = false
	s.advance(10 * time.Second)
	s.wantStarts(1, "of a worker that answered before its lease was over")
	if diff := cmp.Diff(map[string]string{jobID(1) + ".0.0.0": "a"}, s.placements(jobID(1))); diff != "" {
		t.Errorf("placements (-want +got):\n%s", diff)
	}
}

// Each agent process may get the worker to accept its session and extend the lease, so
// the wait for the lease begins anew with it. An agent that ends again and again must
// not keep the task waiting for ever.
func TestRunsOfSilentWorkerRestartAlthoughItsAgentRestartsOften(t *testing.T) {
	s, a := startBesideSilentWorker(t)
	since := s.now
	for n := range 10 {
		s.planner.RegisterAgent(&work.Hello{WorkerStatus: a.workerStatus, AgentIncarnation: fmt.Sprint("agent ", n), Host: a.host}, s.now)
		s.advanceSilent(since, 3*time.Second)
	}
	s.wantStarts(2, "after 30 s with an agent that restarts every 3 s")
	a.active, a.silent = nil, false
	s.advance(2 * time.Second)
	s.submitJob(jobID(2), stepSpec(2, 600))
	s.advance(time.Second)
	if s.placements(jobID(2))[jobID(2)+".0.0.0"] != "a" {
		t.Errorf("the VM gets no work after its worker has answered again: %v", s.placements(jobID(2)))
	}
}
