package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// The progress of a job is kept in sums and lists that change with its tasks, so that a
// pass looks at the steps that can be placed, and not at all that the job has.

// maxOpenTasks bounds the tasks of the occurrences of a job that have begun and are not
// over. Occurrences that are due beyond it begin as others end.
const maxOpenTasks = 20_000

// progress is what has begun of a job, and how far it is.
type progress struct {
	// occurrences holds those that have begun, but for those that are over: their tasks
	// are done and have no runs. over lists these.
	occurrences        map[int]*occurrence
	over               []int
	startedOccurrences int
	// open holds, in order, the occurrences with tasks that are not done.
	open []*occurrence
	// ready holds, by occurrence and step, the steps with waiting tasks whose dependencies
	// are done. readyTasks is the number of these tasks.
	ready      []*step
	readyTasks int
	// stuckTasks is the number of ready tasks of steps that are stuck.
	stuckTasks int
	// readyTurn is the turn of the ready steps for which there was no place in a pass.
	readyTurn int
	// approvalTurn is their turn to be approved.
	approvalTurn int
	// waiting and running count tasks as those of a step, runs their runs, those of done
	// tasks included, openTasks all tasks of occurrences.
	waiting, running, runs, openTasks int
	// dependents lists, by step, the steps that depend on it.
	dependents [][]int
}

// occurrence is one occurrence of a job.
type occurrence struct {
	number int
	steps  []*step
	// undone counts the steps with tasks that are not done, runs the runs of all.
	undone, runs int
	// retried counts the tasks that are not done and have failed.
	retried int
	// begun is set once a task has run.
	begun bool
	estimates
}

// estimates holds what is computed from the steps of an occurrence once in a pass.
type estimates struct {
	pass          int64
	chains        []time.Duration
	objective     time.Duration
	remainingWork float64
	// doubtful says that a doubtful task is at work. It is known for doubtfulPass, unless a
	// run of the occurrence has started since.
	doubtful     bool
	doubtfulPass int64
}

// stepCounts are the numbers of tasks of a step.
type stepCounts struct {
	// Tasks by state: waiting ones have no run, running ones have at least one,
	// done ones completed successfully.
	waiting, running, done int
	// retried counts the tasks that are not done and have failed.
	retried int
	// counted says how each task was counted.
	counted []countedTask
	// blockedBy counts the dependencies that are not done.
	blockedBy int
	// over is set once all tasks are done, isReady while the step is in the list of its job. isStuck
	// is set while it is ready and there is room that its tasks cannot take.
	over, isReady, isStuck bool
}

// countedTask is how a task was counted.
type countedTask struct {
	waiting, running, done, retried bool
	runs                            int32
}

func countTask(t *work.Task) countedTask {
	return countedTask{
		waiting: !t.Done && len(t.Runs) == 0, running: !t.Done && len(t.Runs) > 0, done: t.Done, retried: !t.Done && t.Failures > 0, runs: int32(len(t.Runs)),
	}
}

// step returns a step that has begun, nil if there is none or its occurrence is over.
func (j *job) step(key jobreducer.StepKey) *step {
	o := j.occurrences[key.Occurrence]
	if o == nil || key.Step < 0 || key.Step >= len(o.steps) {
		return nil
	}
	return o.steps[key.Step]
}

// mayStartOccurrence reports whether the job may have another occurrence at work. More
// tasks than a pass can place need not be ready, besides those that could take none of the room that there is. If
// the newest occurrence could take none at all, nor could the next one, which needs the same.
func (j *job) mayStartOccurrence() bool {
	if len(j.open) == 0 {
		return true
	}
	ready := j.readyTasks
	if j.open[len(j.open)-1].begun {
		ready -= j.stuckTasks
	}
	return ready < maxPlacements && j.openTasks < maxOpenTasks
}

// setStuck notes whether the ready tasks of a step could take none of the room that there is.
func (s *step) setStuck(stuck bool) {
	if s.isStuck != stuck {
		s.isStuck = stuck
		s.job.stuckTasks += (btoi(stuck) - btoi(!stuck)) * s.waiting
	}
}

// ensureOccurrence returns an occurrence. It creates it with all tasks waiting if it does
// not exist.
func (j *job) ensureOccurrence(number int) *occurrence {
	if o := j.occurrences[number]; o != nil {
		return o
	}
	if j.occurrences == nil {
		j.occurrences = map[int]*occurrence{}
		j.dependents = dependentsOf(j.record.Steps)
	}
	o := &occurrence{number: number, undone: len(j.record.Steps)}
	j.occurrences[number] = o
	i, _ := j.findOpen(number)
	j.open = slices.Insert(j.open, i, o)
	for i := range j.record.Steps {
		spec := &j.record.Steps[i]
		s := &step{job: j, occurrence: o, key: jobreducer.StepKey{Occurrence: number, Step: i}, spec: spec, tasks: make([]work.Task, spec.Tasks)}
		s.counted, s.blockedBy = make([]countedTask, spec.Tasks), len(spec.DependsOn)
		o.steps = append(o.steps, s)
		j.openTasks += spec.Tasks
		for index := range s.tasks {
			s.countAgain(index)
		}
		s.updateReady()
	}
	return o
}

// findOpen returns the place of an occurrence among the open ones.
func (j *job) findOpen(number int) (int, bool) {
	return slices.BinarySearchFunc(j.open, number, func(o *occurrence, number int) int { return cmp.Compare(o.number, number) })
}

func dependentsOf(steps []work.Step) [][]int {
	dependents := make([][]int, len(steps))
	for i := range steps {
		for _, dependency := range steps[i].DependsOn {
			dependents[dependency] = append(dependents[dependency], i)
		}
	}
	return dependents
}

// recount updates the numbers of tasks after a task has changed.
func (s *step) recount(index int) {
	s.countAgain(index)
	s.updateProgress()
}

// countAgain counts a task again.
func (s *step) countAgain(index int) {
	before, now := s.counted[index], countTask(&s.tasks[index])
	s.counted[index] = now
	change := func(before, now bool) int { return btoi(now) - btoi(before) }
	waiting, running, retried, runs := change(before.waiting, now.waiting), change(before.running, now.running), change(before.retried, now.retried), int(now.runs-before.runs)
	s.waiting += waiting
	s.running += running
	s.done += change(before.done, now.done)
	s.retried += retried
	s.occurrence.retried += retried
	s.occurrence.runs += runs
	s.occurrence.begun = s.occurrence.begun || now.running || now.done
	j := s.job
	j.waiting += waiting
	j.running += running
	j.runs += runs
	if s.isReady {
		j.readyTasks += waiting
	}
	if s.isStuck {
		j.stuckTasks += waiting
	}
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// updateProgress updates what follows from the numbers of tasks.
func (s *step) updateProgress() {
	if s.waiting == 0 {
		s.avoidsSince, s.noRoomSince, s.awaySince = time.Time{}, time.Time{}, time.Time{}
	}
	s.updateReady()
	if !s.over && s.done == len(s.tasks) {
		s.over = true
		s.occurrence.undone--
		for _, i := range s.job.dependents[s.key.Step] {
			dependent := s.occurrence.steps[i]
			dependent.blockedBy--
			dependent.updateReady()
		}
	}
	if s.occurrence.undone == 0 {
		s.job.closeOccurrence(s.occurrence)
	}
}

// updateReady keeps the step in the list of its job while it is ready.
func (s *step) updateReady() {
	ready := s.waiting > 0 && s.dependenciesDone()
	if ready == s.isReady {
		return
	}
	s.isReady = ready
	if !ready {
		s.setStuck(false)
	}
	j := s.job
	i, _ := slices.BinarySearchFunc(j.ready, s.key, func(o *step, key jobreducer.StepKey) int {
		return cmp.Or(cmp.Compare(o.key.Occurrence, key.Occurrence), cmp.Compare(o.key.Step, key.Step))
	})
	if ready {
		j.ready = slices.Insert(j.ready, i, s)
		j.readyTasks += s.waiting
		return
	}
	j.ready = slices.Delete(j.ready, i, i+1)
}

// closeOccurrence takes an occurrence whose tasks are done from the open ones, and
// forgets its steps once they have no runs.
func (j *job) closeOccurrence(o *occurrence) {
	if i, isOpen := j.findOpen(o.number); isOpen {
		j.open = slices.Delete(j.open, i, i+1)
	}
	if o.runs > 0 || j.occurrences[o.number] != o || j.record.Occurrences == 0 {
		return
	}
	delete(j.occurrences, o.number)
	j.over = append(j.over, o.number)
	for _, s := range o.steps {
		j.openTasks -= len(s.tasks)
	}
}

// endedTasks returns the tasks of the occurrences that are over.
func (j *job) endedTasks() []jobreducer.TaskKey {
	var keys []jobreducer.TaskKey
	for _, number := range j.over {
		for i := range j.record.Steps {
			for index := range j.record.Steps[i].Tasks {
				keys = append(keys, jobreducer.TaskKey{StepKey: jobreducer.StepKey{Occurrence: number, Step: i}, Index: index})
			}
		}
	}
	return keys
}

// dependenciesDone reports whether all steps that the step depends on are done.
func (s *step) dependenciesDone() bool { return s.blockedBy == 0 }

// window returns at most limit elements of a list, in its order: the first ones, and as
// many of the others, which take turns from call to call.
func window[T any](list []T, limit int, turn *int) []T {
	if len(list) <= limit {
		return list
	}
	first := limit / 2
	others := list[first:]
	begin := *turn % len(others)
	end := begin + limit - first
	*turn = end
	part := slices.Clone(list[:first])
	if end > len(others) {
		part = append(part, others[:end-len(others)]...)
		end = len(others)
	}
	return append(part, others[begin:end]...)
}
