package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// restartAgent gives the VM a new agent process, which finds the runs of the
// worker but does not know their kinds.
func (s *stage) restartAgent(name string) {
	v := s.vms[name]
	for i := range v.active {
		v.active[i].Unknown = true
	}
	s.book.RegisterAgent(&work.Hello{Vitals: v.vitals, Agent: "second-" + name, Host: v.host}, s.now)
	s.pass()
	s.report(name)
}

func TestNewAgentReceivesKindsOfRuns(t *testing.T) {
	s := newStage(t)
	v := s.add("a", 8000, 1000)
	step := tasks(1, 1000)
	step.Lasts, step.Target, step.Image = true, 20*time.Millisecond, "feed"
	s.submit(id(1), step)
	s.wait(time.Second)
	s.restartAgent("a")
	want := []work.Start{{Task: id(1) + ".0.0.0", Run: 1, Serves: true, Target: 20 * time.Millisecond, Image: "feed", Millis: 1000}}
	if diff := cmp.Diff(want, v.kinds); diff != "" {
		t.Errorf("kinds told (-want +got):\n%s", diff)
	}
	s.wait(time.Second)
	if diff := cmp.Diff(want, v.kinds); diff != "" {
		t.Errorf("kinds told though the agent has them (-want +got):\n%s", diff)
	}
}

func TestNewAgentReceivesInterferenceWeightsAgain(t *testing.T) {
	s := newStage(t)
	v := s.add("a", 8000, 1000)
	serves, fills := tasks(1, 1000), tasks(1, 1000)
	serves.Lasts, serves.Target, serves.Image = true, 20*time.Millisecond, "feed"
	fills.Fills, fills.Image = true, "fill"
	s.submit(id(1), serves)
	s.submit(id(2), fills)
	s.wait(time.Second)
	v.presses = nil
	s.restartAgent("a")
	s.wait(time.Second)
	want := []work.Press{{Fill: "fill", Serve: "feed", Weight: 1}}
	if diff := cmp.Diff(want, v.presses); diff != "" {
		t.Errorf("weights told to the new agent (-want +got):\n%s", diff)
	}
}
