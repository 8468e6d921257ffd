package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/yielder"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// Load: long fillers of a less urgent queue that hold all memory, and urgent tasks that
// need the memory of two of them.
func urgentBesideLongFillers() []arrivals {
	filler := taskStep(4, 100, 3200, 20*time.Second)
	filler.Filler, filler.Checkpoints = true, true
	return []arrivals{
		{interval: 400 * time.Millisecond, step: filler, priority: 2},
		{first: 8 * time.Second, interval: 2 * time.Second, step: taskStep(2, 1000, 6400, time.Second)},
	}
}

func TestFillersGiveWayToMoreUrgentTasks(t *testing.T) {
	wait, done := map[bool]time.Duration{}, map[bool]int{}
	for noYields, gates := range map[bool]gatekeeper.Gates{true: gatekeeper.Without(gatekeeper.Yields), false: {}} {
		p := newPlay(t, gates, 4, urgentBesideLongFillers()...)
		p.run(24 * time.Second)
		wait[noYields] = p.result(1).longestWait
		for id := range p.finished {
			if p.kindOf[id] == 0 {
				done[noYields]++
			}
		}
		for id, j := range p.state.Jobs {
			for key, task := range j.Tasks {
				if task.Yields > yielder.MaxYields || task.LastRun > 1+task.Yields {
					t.Errorf("task %v of %s gave way %d times and had %d runs", key, id, task.Yields, task.LastRun)
				}
			}
		}
	}
	t.Logf("longest wait of an urgent task %s (baseline %s), jobs of fillers done %d (%d)", wait[false], wait[true], done[false], done[true])
	if wait[false] > 2*time.Second || wait[false] > wait[true]/2 {
		t.Errorf("the longest wait of an urgent task is %s, the baseline's %s; want at most 2 s and half", wait[false], wait[true])
	}
}

// blocked returns a simulation in which a filler holds the memory of the only VM and a
// more urgent task waits.
func blocked(t *testing.T) *simulation {
	s := newSimulation(t)
	s.runs = &runChecker{done: map[string][]*doneEnd{}}
	s.addVM("a", 16_000, 6400)
	s.advance(time.Second)
	filler := taskStep(1, 1000, 6400, time.Minute)
	filler.Filler, filler.Checkpoints = true, true
	s.acceptJob(&work.Job{ID: jobID(1), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{filler}, Queue: work.Queue{Name: "less", Pool: "pool", MaxFailures: 2, Priority: 2}})
	s.submitJob(jobID(2), taskStep(1, 1000, 6400, time.Second))
	return s
}

// wantOneYield fails the test unless the filler gave way once, the urgent task ran, and the
// filler was resumed once.
func (s *simulation) wantOneYield() {
	s.t.Helper()
	for range 40 {
		s.advance(200 * time.Millisecond)
		if len(s.placements(jobID(2))) > 0 {
			break
		}
	}
	if got := len(s.placements(jobID(2))); got != 1 {
		s.t.Fatal("the urgent task got no room")
	}
	s.endRun(s.vms["a"], jobID(2)+".0.0.0", endDone)
	s.advance(2 * time.Second)
	task := s.state.Jobs[jobID(1)].Tasks[jobreducer.TaskKey{}]
	type runs struct{ Yields, Starts, Active int }
	got := runs{Yields: task.Yields, Active: len(s.placements(jobID(1)))}
	for _, start := range s.starts {
		if start.Task == jobID(1)+".0.0.0" {
			got.Starts++
		}
	}
	if diff := cmp.Diff(runs{Yields: 1, Starts: 2, Active: 1}, got); diff != "" {
		s.t.Errorf("the filler (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string(nil), s.runs.found()); diff != "" {
		s.t.Errorf("broken rules (-want +got):\n%s", diff)
	}
}

func TestFillerGivesWayOnceDespiteFaults(t *testing.T) {
	cases := map[string]func(s *simulation){
		"none":                   func(*simulation) {},
		"new leader":             func(s *simulation) { s.restart() },
		"new agent":              func(s *simulation) { s.restartAgentProcess(s.vms["a"]) },
		"new agent, then leader": func(s *simulation) { s.restartAgentProcess(s.vms["a"]); s.restart() },
		"the stop is late": func(s *simulation) {
			s.vms["a"].ignoreStops = true
			s.advance(time.Second)
			s.vms["a"].ignoreStops = false
		},
		"the stop is late, leader": func(s *simulation) {
			s.vms["a"].ignoreStops = true
			s.restart()
			s.advance(time.Second)
			s.vms["a"].ignoreStops = false
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			s := blocked(t)
			s.vms["a"].ignoreStops = true
			for range 20 {
				s.advance(100 * time.Millisecond)
				if task := s.state.Jobs[jobID(1)].Tasks[jobreducer.TaskKey{}]; len(task.Runs) == 1 && task.Runs[0].StopReason != "" {
					break
				}
			}
			if r := s.planner.promises.byPool["pool"]; r == nil || r.On("a") == nil || r.On("a").Demand != jobID(2)+".0.0" {
				t.Error("the room is not kept for the urgent task")
			}
			s.vms["a"].ignoreStops = false
			fault(s)
			s.wantOneYield()
		})
	}
}

// A task that gave way as often as allowed runs to its end, also under a new leader.
func TestTaskGivesWayLimitedTimes(t *testing.T) {
	s := blocked(t)
	for n := range yielder.MaxYields + 2 {
		s.advance(3 * time.Second)
		if len(s.placements(jobID(2+n))) > 0 {
			s.endRun(s.vms["a"], jobID(2+n)+".0.0.0", endDone)
			s.advance(time.Second)
		}
		s.submitJob(jobID(3+n), taskStep(1, 1000, 6400, time.Second))
		s.restart()
	}
	if diff := cmp.Diff(yielder.MaxYields, s.state.Jobs[jobID(1)].Tasks[jobreducer.TaskKey{}].Yields); diff != "" {
		t.Errorf("times that the task gave way (-want +got):\n%s", diff)
	}
	if len(s.placements(jobID(1))) != 1 {
		t.Error("the filler does not run")
	}
}

func TestNothingGivesWayToEquallyUrgentTask(t *testing.T) {
	s := blocked(t)
	s.acceptJob(&work.Job{ID: jobID(3), Spec: "spec", AcceptedAt: s.now, Steps: []work.Step{taskStep(1, 1000, 6400, time.Second)}, Queue: work.Queue{Name: "less", Pool: "pool", MaxFailures: 2, Priority: 2}})
	s.planner.CancelJob(jobID(2), s.now)
	s.advance(5 * time.Second)
	if got := len(s.placements(jobID(1))); got != 1 {
		t.Errorf("%d runs of the filler, want it to go on", got)
	}
}
