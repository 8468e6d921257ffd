package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedspur/internal/wire/work"
)

// unplaceable changes a step so that some or all of its tasks find no place on a simulation of stuckVMs VMs.
var unplaceable = map[string]func(s *work.Step){
	"label":       func(s *work.Step) { s.Label = "missing" },
	"size":        func(s *work.Step) { s.Size.Memory = 10_000_000 },
	"gang":        func(s *work.Step) { s.Gang, s.Size.Millicores = true, 16_000; s.Tasks += stuckVMs },
	"spread":      func(s *work.Step) { s.MaxPerVM, s.LongRunning, s.Size.Memory = 1, true, 1; s.Tasks += stuckVMs },
	"accelerator": func(s *work.Step) { s.Size.Accelerators = 1 },
}

const stuckVMs = 4

// scheduleOf returns a job of which all occurrences are due.
func scheduleOf(number, occurrences int, now time.Time, steps []work.Step) *work.Job {
	j := schedule(occurrences, now, steps...)
	j.ID = jobID(number)
	return j
}

// playSchedules plays jobs until all tasks of the wanted steps have started, or for a number of rounds. It returns
// how many rounds it took, and how many of the tasks have not started.
func playSchedules(t *testing.T, jobs []*work.Job, wanted func(task string) bool, tasks, rounds int) (took, missing int) {
	s := newSimulation(t)
	for n := range stuckVMs {
		s.addVM(fmt.Sprintf("vm-%d", n), 16_000, 200_000)
	}
	for _, j := range jobs {
		j.DueAt = s.now.Add(-time.Duration(j.Occurrences) * j.Interval)
		s.acceptJob(j)
	}
	started := map[string]bool{}
	for took = 1; took <= rounds; took++ {
		for _, start := range s.starts {
			if wanted(start.Task) {
				started[start.Task] = true
			}
		}
		if len(started) == tasks {
			break
		}
		for name, v := range s.vms {
			for i := len(v.active) - 1; i >= 0; i-- {
				if wanted(v.active[i].Task) {
					s.endRun(v, v.active[i].Task, endDone)
				}
			}
			s.sendReport(name)
		}
		s.now = s.now.Add(100 * time.Millisecond)
		s.runPass()
	}
	return took, tasks - len(started)
}

// drawnSchedule draws a schedule of which some steps have no place, and returns it with the numbers of the steps that
// have, all of whose dependencies have, too.
func drawnSchedule(t *rapid.T) (occurrences int, steps []work.Step, placeable map[int]bool) {
	occurrences, placeable = rapid.IntRange(1, 8).Draw(t, "occurrences"), map[int]bool{}
	for i := range rapid.IntRange(1, 6).Draw(t, "steps") {
		s := smallStep(rapid.IntRange(1, 150).Draw(t, "tasks"))
		placeable[i] = true
		if i > 0 && rapid.Bool().Draw(t, "depends") {
			s.DependsOn = []int{rapid.IntRange(0, i-1).Draw(t, "on")}
			placeable[i] = placeable[s.DependsOn[0]]
		}
		kind := rapid.SampledFrom([]string{"", "", "label", "size", "gang", "spread", "accelerator"}).Draw(t, "kind")
		if change := unplaceable[kind]; change != nil {
			change(&s)
			placeable[i] = false
		}
		steps = append(steps, s)
	}
	return occurrences, steps, placeable
}

// Tasks that no VM can take must not hold back those that any VM can: later occurrences, other steps and other
// jobs begin about as soon as without them.
func TestTasksWithoutPlaceHoldBackNoOthers(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var mixed, alone []*work.Job
		wantedSteps, tasks := map[string]bool{}, 0
		now := time.Unix(1000, 0)
		for number := range rapid.IntRange(1, 3).Draw(r, "jobs") {
			occurrences, steps, placeable := drawnSchedule(r)
			mixed = append(mixed, scheduleOf(number, occurrences, now, steps))
			var kept []work.Step
			numbers := map[int]int{}
			for i, s := range steps {
				if !placeable[i] {
					continue
				}
				numbers[i] = len(kept)
				if len(s.DependsOn) > 0 {
					s.DependsOn = []int{numbers[s.DependsOn[0]]}
				}
				kept = append(kept, s)
				for o := range occurrences {
					wantedSteps[fmt.Sprintf("%s.%d.%d", jobID(number), o, i)] = true
					tasks += s.Tasks
				}
			}
			if len(kept) > 0 {
				alone = append(alone, scheduleOf(number, occurrences, now, kept))
			}
		}
		if tasks == 0 {
			return
		}
		const maxRounds = 2000
		rounds, missing := playSchedules(t, alone, func(string) bool { return true }, tasks, maxRounds)
		if missing > 0 {
			r.Fatalf("%d of %d tasks did not start on their own", missing, tasks)
		}
		inWanted := func(task string) bool { return wantedSteps[task[:strings.LastIndex(task, ".")]] }
		took, missing := playSchedules(t, mixed, inWanted, tasks, 2*rounds+20)
		if missing > 0 {
			r.Fatalf("%d of %d tasks did not start within %d rounds; on their own all did within %d", missing, tasks, took, rounds)
		}
	})
}

// The later occurrences of a schedule must begin although earlier ones wait for a label that no VM has any more.
func TestOccurrencesBeginBesideTasksThatWaitForLostLabel(t *testing.T) {
	labeled := smallStep(32)
	labeled.Label = "lost"
	steps := []work.Step{labeled, labeled, labeled, labeled, smallStep(4)}
	wanted := func(task string) bool { return strings.Split(task, ".")[2] == "4" }
	_, missing := playSchedules(t, []*work.Job{scheduleOf(1, 6, time.Unix(1000, 0), steps)}, wanted, 6*4, 60)
	if missing > 0 {
		t.Errorf("%d of 24 tasks that any VM can take did not start", missing)
	}
}
