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
	s.addServing(9000, "a", "b")
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
