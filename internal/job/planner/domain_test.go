package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// evacuate makes the leader know that just these failure domains are evacuated.
func (s *simulation) evacuate(domains ...string) {
	s.evacuation = &work.Evacuation{Domains: domains}
	s.runPass()
}

// wantRuns fails the test unless these tasks run, by VM.
func (s *simulation) wantRuns(want map[string]int, when string) {
	s.t.Helper()
	got := map[string]int{}
	for name, v := range s.vms {
		if len(v.active) > 0 {
			got[name] = len(v.active)
		}
	}
	if diff := cmp.Diff(want, got); diff != "" {
		s.t.Fatalf("runs %s (-want +got):\n%s", when, diff)
	}
}

func TestEvacuatedDomainGetsNoNewWork(t *testing.T) {
	s := newSimulation(t)
	s.addVMIn("x", "a", 1000, 1000)
	s.addVMIn("y", "b", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(2, 300))
	s.evacuate("x")
	s.submitJob(jobID(2), stepSpec(4, 300))
	s.wantRuns(map[string]int{"a": 1, "b": 3}, "with one domain of two evacuated")
	s.restart()
	s.addVMIn("x", "c", 1000, 1000)
	s.vms["a"].workerStatus.Incarnation++
	s.vms["a"].active = nil
	s.sendHello("a")
	s.advance(2 * time.Second)
	s.wantRuns(map[string]int{"b": 3}, "after a change of leader, with a new VM and a restarted worker there")
	s.evacuate("x", "y")
	s.endAllRuns(endDone)
	s.advance(time.Second)
	s.wantRuns(map[string]int{}, "with all domains evacuated")
	s.evacuate()
	s.wantRuns(map[string]int{"a": 1, "b": 1, "c": 1}, "as soon as the requests are taken back")
}

// A leader that does not know the present requests must not place anything, however
// long ago nothing was evacuated.
func TestNothingIsPlacedUnlessRequestsAreKnown(t *testing.T) {
	s := newSimulation(t)
	s.maxRequestAge = 2500 * time.Millisecond
	s.restart()
	s.addVMIn("x", "a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 300))
	s.advance(time.Second)
	s.wantStarts(0, "before the requests are known")
	s.evacuation = &work.Evacuation{Age: 3 * time.Second}
	s.advance(time.Second)
	s.wantStarts(0, "with requests that were known 3 s ago")
	s.evacuation = &work.Evacuation{Age: time.Second}
	s.runPass()
	s.wantStarts(1, "with requests that were known 1 s ago")
}

// Without the stop, the start is sent again until it arrives.
func TestRunPlacedBeforeEvacuationDoesNotStartLater(t *testing.T) {
	for _, gang := range []bool{false, true} {
		s := newSimulation(t)
		a := s.addVMIn("x", "a", 1000, 1000)
		a.loseStarts = true
		spec := stepSpec(2, 600)
		spec.Gang = gang
		s.addVMIn("y", "b", 1000, 1000)
		s.submitJob(jobID(1), spec)
		s.evacuate("x")
		s.restart()
		a.loseStarts = false
		s.addVMIn("y", "c", 1000, 1000)
		s.advance(2 * time.Second)
		s.wantRuns(map[string]int{"b": 1, "c": 1}, "after the start there was lost")
		s.evacuate()
		s.submitJob(jobID(2), stepSpec(1, 900))
		s.wantRuns(map[string]int{"a": 1, "b": 1, "c": 1}, "after the request was taken back")
	}
}

func TestRefusalForEvacuationDoesNotMakeVMSuspect(t *testing.T) {
	s := newSimulation(t)
	a := s.addVMIn("x", "a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 300))
	a.voids, a.active = []work.VoidRun{{Task: a.active[0].Task, Run: 1, Reason: voidReasonEvacuated}}, nil
	s.sendReport("a")
	s.wantRuns(map[string]int{"a": 1}, "after a refusal")
}

func TestFillerIsNotMovedToEvacuatedDomain(t *testing.T) {
	s := newSimulation(t)
	a := s.addVMIn("x", "a", 1000, 1000)
	spec := stepSpec(1, 300)
	spec.Filler, spec.Checkpoints = true, true
	s.submitJob(jobID(1), spec)
	s.addVMIn("y", "b", 1000, 1000)
	s.evacuate("y")
	a.active[0].Pace = slowPace / 2
	s.advance(5 * time.Second)
	s.wantStarts(1, "while the only other VM is in an evacuated domain")
	s.evacuate()
	s.advance(5 * time.Second)
	s.wantStarts(2, "after the request was taken back")
}
