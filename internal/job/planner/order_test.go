package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/sequencer"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// classes returns the class of each unfinished job that reserves processors.
func (s *simulation) classes() map[string]sequencer.Class {
	classes := map[string]sequencer.Class{}
	for id, j := range s.planner.jobs {
		if j.outcome == nil {
			classes[id] = j.sequenced[classKey{}].Class
		}
	}
	return classes
}

// submitTooMuch submits six jobs of a second on all processors of a VM, with an
// objective of three seconds, and lets the first tasks end.
func submitTooMuch(t *testing.T) *simulation {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	for n := range 6 {
		s.submitJob(jobID(n+1), stepSpec(8, 1000))
	}
	s.advance(500 * time.Millisecond)
	for range 3 {
		s.endRun(v, v.active[0].Task, endDone)
	}
	s.advance(200 * time.Millisecond)
	return s
}

func TestNewLeaderDecidesAlike(t *testing.T) {
	s := submitTooMuch(t)
	before := s.classes()
	counts := map[sequencer.Class]int{}
	for _, class := range before {
		counts[class]++
	}
	if counts[sequencer.InTime] == 0 || counts[sequencer.Late] == 0 {
		t.Fatalf("jobs by class %v, want some in time and some late", counts)
	}
	s.restart()
	s.sendReport("a")
	if diff := cmp.Diff(before, s.classes()); diff != "" {
		t.Errorf("classes under a new leader (-before +after):\n%s", diff)
	}
}

// A job whose tasks have run must get the next free processors before jobs of its
// kind that have not begun.
func TestBegunJobIsContinuedFirst(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	for n, tasks := range []int{20, 10, 20, 20} {
		job := &work.Job{ID: jobID(n + 1), AcceptedAt: s.now, Steps: []work.Step{stepSpec(tasks, 1000)}, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 4, Target: time.Second}}
		s.acceptJob(job)
		if n > 0 {
			continue
		}
		s.advance(time.Second)
		for range 8 {
			s.endRun(v, v.active[0].Task, endDone)
		}
		s.sendReport("a")
	}
	s.advance(100 * time.Millisecond)
	for range 4 {
		s.endRun(v, v.active[0].Task, endDone)
	}
	s.sendReport("a")
	if diff := cmp.Diff(8, len(s.placements(jobID(1)))); diff != "" {
		t.Errorf("runs of the begun job, whose rest is larger than the second job (-want +got):\n%s", diff)
	}
}

// Tasks that take three times their declared duration change what the planner expects
// of later jobs, also under a new leader, but not if it trusts declarations.
func TestLearnedDurationsReachNextLeader(t *testing.T) {
	s := newSimulation(t)
	v := s.addVM("a", 8000, 10_000)
	for n := range 24 {
		s.submitJob(jobID(n+1), stepSpec(2, 1000))
		s.advance(3 * time.Second)
		for len(v.active) > 0 {
			s.endRun(v, v.active[0].Task, endDone)
		}
		s.sendReport("a")
	}
	s.advance(saveInterval + time.Second)
	written := s.writtenBytes
	s.advance(10 * time.Second)
	if s.writtenBytes != written {
		t.Errorf("%d bytes were written while nothing changed", s.writtenBytes-written)
	}
	for _, leader := range []string{"the leader", "a new leader"} {
		s.submitJob(jobID(100), stepSpec(1, 1000))
		j := s.planner.jobs[jobID(100)]
		for _, step := range j.occurrences[0].steps {
			if got := s.planner.expectedDuration(step); got < 2600*time.Millisecond || got > 3300*time.Millisecond {
				t.Errorf("%s expects %s, want about 3s", leader, got)
			}
			s.planner.Settings.Gates = gatekeeper.Without(gatekeeper.Durations)
			if diff := cmp.Diff(time.Second, s.planner.expectedDuration(step)); diff != "" {
				t.Errorf("trusted declaration (-want +got):\n%s", diff)
			}
		}
		s.restart()
	}
}

// Two fillers run at half of their pace, and another VM is free. The one that makes its
// job late must move although its pace alone is no reason to; the one whose job cannot be
// in time must not.
func TestFillerThatMakesItsJobLateMoves(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 5000, 10_000)
	filler := stepSpec(1, 2000)
	filler.Filler, filler.Image, filler.Checkpoints, filler.EstimatedDuration = true, "fill", true, 4*time.Second
	many := filler
	many.Tasks, many.MaxPerVM = 50, 1
	for n, step := range []work.Step{filler, many} {
		s.acceptJob(&work.Job{ID: jobID(n + 1), AcceptedAt: s.now, Steps: []work.Step{step}, Queue: work.Queue{Name: "queue", Pool: "pool", MaxFailures: 2, Stretch: 3, Target: time.Second}})
	}
	s.addVM("b", 8000, 10_000)
	s.advance(200 * time.Millisecond)
	for i := range a.active {
		a.active[i].Pace, a.active[i].Measurement = 50, 1000
	}
	b := s.vms["b"]
	b.active[0].Measurement = 2000
	want := map[string]string{jobID(1) + ".0.0.0": "b", jobID(2) + ".0.0.0": "a", jobID(2) + ".0.0.1": "b"}
	s.advance(7 * time.Second)
	got := s.placements(jobID(1))
	for task, vm := range s.placements(jobID(2)) {
		got[task] = vm
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("placements (-want +got):\n%s", diff)
	}
}
