package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

// JobExplanation says where the tasks of a job would start now, and why not.
type JobExplanation struct {
	ID string `json:"id"`
	// Waits is set for a job that the planner has, and not for one that was only
	// described to it.
	Waits bool              `json:"waits"`
	Steps []StepExplanation `json:"steps"`
}

// StepExplanation is the part of an explanation about one step.
type StepExplanation struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	// Waiting, Running and Done count its tasks by state.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Done    int `json:"done"`
	// After lists the steps that it waits for.
	After []int `json:"after,omitempty"`
	// Starts counts the tasks that would start now, by VM.
	Starts map[string]int `json:"starts,omitempty"`
	// Against counts the VMs that the first task that finds no place cannot use, by
	// reason; if all find one, the VMs that the first cannot use.
	Against map[Reason]int `json:"against,omitempty"`
}

// maxExplainedSteps bounds the steps in an explanation.
const maxExplainedSteps = 100

// ExplainJob explains a job that waits, or a new one. It places the tasks that wait as
// a pass would, without those of other jobs that may go first, and takes them off again:
// the planner stays as it is.
func (pl *Planner) ExplainJob(record *work.Job, now time.Time) JobExplanation {
	j := pl.jobs[record.ID]
	e := JobExplanation{ID: record.ID, Waits: j != nil}
	if j == nil {
		j = &job{id: record.ID, record: record}
		j.startedOccurrences = 1
		j.ensureOccurrence(0)
	}
	if j.record == nil || j.outcome != nil {
		return e
	}
	var placed []*placement
	for _, s := range j.stepsToExplain() {
		explanation, placements := pl.explainStep(s, maxPlacements-len(placed), now)
		e.Steps, placed = append(e.Steps, explanation), append(placed, placements...)
	}
	for _, p := range placed {
		pl.takeOff(p)
	}
	return e
}

// stepsToExplain returns the steps of the job that are not over, at most maxExplainedSteps,
// those with waiting tasks first if there are more.
func (j *job) stepsToExplain() []*step {
	var steps []*step
	for _, o := range j.open {
		if steps = append(steps, o.steps...); len(steps) > maxExplainedSteps {
			first := j.ready[:min(len(j.ready), maxExplainedSteps)]
			steps = slices.DeleteFunc(steps, func(s *step) bool { return s.isReady })
			return slices.Concat(first, steps[:min(len(steps), maxExplainedSteps-len(first))])
		}
	}
	return steps
}

// explainStep explains a step, and returns the placements of its tasks that would start,
// at most limit unless the step is a gang.
func (pl *Planner) explainStep(s *step, limit int, now time.Time) (StepExplanation, []*placement) {
	e := StepExplanation{Occurrence: s.key.Occurrence, Step: s.key.Step, Waiting: s.waiting, Running: s.running, Done: s.done}
	if !s.dependenciesDone() {
		e.After = s.spec.DependsOn
		return e, nil
	}
	avoidsSince := s.avoidsSince
	held, isHeld := pl.promises.heldBack[s]
	takesAnyRoom := s.job.takesAnyRoom
	defer func() {
		s.avoidsSince, s.job.takesAnyRoom = avoidsSince, takesAnyRoom
		delete(pl.promises.heldBack, s)
		if isHeld {
			pl.promises.heldBack[s] = held
		}
	}()
	var placed []*placement
	e.Starts = map[string]int{}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.Done || len(t.Runs) > 0 || !s.spec.Gang && len(placed) >= limit {
			continue
		}
		against := map[Reason]int{}
		v := pl.examineVMs(s, t, now, func(r Reason) { against[r]++ })
		if v == nil || e.Against == nil {
			e.Against = against
		}
		if v == nil {
			break
		}
		key := runKey{s.taskName(i), t.LastRun + 1}
		pl.addPlacement(s, i, work.Run{Run: key.run, VM: v.name}, now)
		placed = append(placed, v.runs[key])
		e.Starts[v.name]++
	}
	if s.spec.Gang && len(placed) < len(s.tasks) {
		for _, p := range placed {
			pl.takeOff(p)
		}
		e.Starts, placed = nil, nil
	}
	return e, placed
}

// takeOff takes a run off its VM that was placed for an explanation.
func (pl *Planner) takeOff(p *placement) {
	p.vm.removeRun(p, p.step.taskName(p.index))
}
