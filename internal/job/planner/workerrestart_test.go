package planner

import (
	"flag"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// A fixed seed makes every run draw the same cases; make drawn draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261206"); err != nil {
		panic(err)
	}
}

// introduceDeadWorker connects a new agent process on the host of a VM. A delayed
// heartbeat made it take a worker process that has ended for its worker.
func (s *simulation) introduceDeadWorker(host, name string, incarnation int64) {
	status := work.WorkerStatus{VM: name, Incarnation: incarnation, Pool: "pool", Capacity: work.Size{Millicores: 1000, Memory: 1000}}
	s.planner.RegisterAgent(&work.Hello{WorkerStatus: status, AgentIncarnation: "second", Host: host}, s.now)
	s.runPass()
}

// restartWorker replaces the worker process of a VM. The new process numbers its
// ends anew and has accepted no fence.
func (s *simulation) restartWorker(v *simulatedVM) {
	v.workerStatus.Incarnation++
	v.fence, v.handled, v.acknowledgedEnd, v.lastEnd = 0, 0, 0, 0
	v.active, v.ends, v.voids = nil, nil, nil
}

// An agent that has just started may introduce a worker process that has ended, from a
// delayed heartbeat. That says nothing about the runs of the living one.
func TestHelloOfDeadWorkerKeepsRunsOfLivingOne(t *testing.T) {
	cases := []struct {
		name, vm string
		// newer is by how much the dead worker seems to have been started later.
		newer int64
	}{
		{"same VM name", "a", -1000},
		{"same VM name, clock stepped back", "a", 1000},
		{"other VM name", "former", -1000},
		{"other VM name, clock stepped back", "former", 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t)
			a := s.addVM("a", 1000, 1000)
			s.submitJob(jobID(1), stepSpec(1, 500))
			s.advance(time.Second)
			s.addVM("b", 1000, 1000)
			s.introduceDeadWorker(a.host, c.vm, a.workerStatus.Incarnation+c.newer)
			s.runPass()
			s.planner.RegisterAgent(&work.Hello{WorkerStatus: a.workerStatus, AgentIncarnation: "second", Host: a.host}, s.now)
			s.runPass()
			s.advance(time.Second)
			if diff := cmp.Diff(map[string]string{jobID(1) + ".0.0.0": "a"}, s.placements(jobID(1))); diff != "" || len(s.starts) != 1 {
				t.Errorf("%d starts, want 1; placements (-want +got):\n%s", len(s.starts), diff)
			}
			s.endRun(a, jobID(1)+".0.0.0", endDone)
			s.advance(time.Second)
			if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// A worker that has restarted under its VM name may carry out a start that was meant
// for the process before it.
func TestRunStartedByRestartedWorkerIsTakenOver(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.submitJob(jobID(2), stepSpec(1, 500))
	s.addVM("b", 1000, 1000)
	late := keepIf(a.active, func(r work.RunStatus) bool { return r.Task == jobID(2)+".0.0.0" })
	s.restartWorker(a)
	a.active = late
	s.sendHello("a")
	s.runPass()
	s.advance(time.Second)
	starts := map[string]int{}
	for _, start := range s.starts {
		starts[start.Task]++
	}
	if diff := cmp.Diff(map[string]int{jobID(1) + ".0.0.0": 2, jobID(2) + ".0.0.0": 1}, starts); diff != "" {
		t.Errorf("starts by task (-want +got):\n%s", diff)
	}
}

// Each worker process numbers its ends anew. An end counts whichever numbers were
// acknowledged to another process.
func TestEndsOfEachWorkerProcessCount(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	finish := func(n int) {
		s.submitJob(jobID(n), stepSpec(1, 500))
		s.advance(time.Second)
		s.endRun(a, jobID(n)+".0.0.0", endDone)
		s.advance(time.Second)
		if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(n))); diff != "" {
			t.Errorf("job %d: outcome (-want +got):\n%s", n, diff)
		}
		if diff := cmp.Diff(a.lastEnd, a.acknowledgedEnd); diff != "" {
			t.Errorf("job %d: acknowledged end (-want +got):\n%s", n, diff)
		}
	}
	finish(1)
	finish(2)
	s.restartWorker(a)
	s.sendHello("a")
	s.runPass()
	finish(3)
	s.introduceDeadWorker(a.host, "a", a.workerStatus.Incarnation-1)
	s.sendHello("a")
	s.runPass()
	finish(4)
	if len(s.starts) != 4 {
		t.Errorf("%d starts, want 4", len(s.starts))
	}
}

// The agent of a worker that sends heartbeats but accepts no session never reports the
// lease as expired.
func TestRunsOfWorkerThatAcceptsNoSessionRestartAfterLeaseExpiry(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.advance(time.Second)
	s.restartWithoutAcceptedSession(a)
}

// Until a new worker process accepts a session, nothing shows that the process before
// it has ended. The lease bounds how long that one can still run tasks.
func TestRunsBeforeWorkerThatAcceptsNoSessionRestartAfterLeaseExpiry(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.advance(time.Second)
	s.restartWorker(a)
	s.restartWithoutAcceptedSession(a)
}

// A session that no run depends on stays in force until the worker accepts it.
func TestSessionWithoutRunsIsNotRevoked(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	a.silent = true // only the reports below are sent
	s.restartWorker(a)
	s.planner.RegisterAgent(&work.Hello{WorkerStatus: a.workerStatus, AgentIncarnation: "second", Host: a.host}, s.now)
	s.runPass()
	for silence := time.Duration(0); silence < 2*agentTimeout; silence += 100 * time.Millisecond {
		s.planner.HandleReport("a", &work.Report{WorkerStatus: a.workerStatus, WorkerSilence: silence}, s.now)
		s.advance(100 * time.Millisecond)
	}
	want := work.Session{VM: "a", WorkerIncarnation: a.workerStatus.Incarnation, Fence: 2, AgentIncarnation: "second", Host: a.host}
	if diff := cmp.Diff(want, *s.state.Sessions["a"]); diff != "" {
		t.Errorf("session in the log (-want +got):\n%s", diff)
	}
}

// restartWithoutAcceptedSession connects a new agent to VM a, whose worker accepts no
// session, and checks that the task of job 1 starts on another VM once the former
// lease is over.
func (s *simulation) restartWithoutAcceptedSession(a *simulatedVM) {
	s.t.Helper()
	s.addVM("b", 1000, 1000)
	a.silent = true // only the reports below are sent
	s.planner.RegisterAgent(&work.Hello{WorkerStatus: a.workerStatus, AgentIncarnation: "second", Host: a.host}, s.now)
	s.runPass()
	for silence := time.Duration(0); silence < agentTimeout+s.planner.leaseExpiryDelay()+time.Second; silence += 100 * time.Millisecond {
		s.planner.HandleReport("a", &work.Report{WorkerStatus: a.workerStatus, WorkerSilence: silence}, s.now)
		s.advance(100 * time.Millisecond)
		if silence < s.planner.leaseExpiryDelay() && len(s.starts) != 1 {
			s.t.Fatalf("the task was restarted %s after the new agent's hello, while the lease could still be in force", silence)
		}
	}
	if diff := cmp.Diff([]work.RunStatus{{Task: jobID(1) + ".0.0.0", Run: 2, Pace: 100}}, s.vms["b"].active); diff != "" {
		s.t.Errorf("runs on the other VM (-want +got):\n%s", diff)
	}
}

// No sequence of worker restarts, agent restarts and delayed heartbeats may overcommit
// a VM, run a task twice at the same time or start it again after it was done.
func TestRandomWorkerRestartsKeepCapacityAndSingleRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t)
		names := []string{"a", "b", "c"}
		for _, name := range names {
			s.addVM(name, 2000, 400)
		}
		submitted, done := 0, map[string]bool{}
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			name := rapid.SampledFrom(names).Draw(rt, "vm")
			v := s.vms[name]
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0, 1:
				submitted++
				s.submitJob(jobID(submitted), stepSpec(rapid.IntRange(1, 5).Draw(rt, "tasks"), rapid.IntRange(1, 20).Draw(rt, "size")*100))
			case 2:
				if len(v.active) > 0 {
					done[v.active[0].Task] = true
					s.endRun(v, v.active[0].Task, endDone)
					s.sendReport(name)
				}
			case 3:
				// Some of the starts reach only the new process.
				kept := v.active[:min(len(v.active), rapid.IntRange(0, 2).Draw(rt, "late starts"))]
				s.restartWorker(v)
				v.active = kept
				s.sendHello(name)
			case 4:
				vm := rapid.SampledFrom([]string{name, "former-" + name}).Draw(rt, "dead worker")
				s.introduceDeadWorker(v.host, vm, v.workerStatus.Incarnation+int64(rapid.SampledFrom([]int{-5000, 5000}).Draw(rt, "clock step")))
				s.advance(time.Duration(rapid.IntRange(0, 10).Draw(rt, "until next heartbeat")) * 100 * time.Millisecond)
				s.sendHello(name)
			case 5:
				s.sendHello(name)
			case 6:
				s.restart()
			}
			s.advance(time.Duration(rapid.IntRange(1, 30).Draw(rt, "wait")) * 100 * time.Millisecond)
			s.checkInvariants(rt)
			for _, v := range s.vms {
				for _, a := range v.active {
					if done[a.Task] {
						rt.Fatalf("%s runs again after it was done", a.Task)
					}
				}
			}
		}
	})
}
