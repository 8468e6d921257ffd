package planner

import (
	"strconv"
	"strings"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

type job struct {
	id     string
	number int
	record *work.Job
	// steps of all occurrences that began.
	steps    map[jobreducer.StepKey]*step
	began    int
	canceled bool
	outcome  *work.Outcome
	// dropped says that the description was removed from the log.
	dropped bool
}

type step struct {
	job  *job
	key  jobreducer.StepKey
	spec *work.Step
	// tasks is the state that the log gets.
	tasks []work.Task
	// free tasks wait for a run, open ones have one, done ones ended well.
	free, open, done int
	// written says that the log has a record of the step.
	written bool
	started time.Time
	// load is the load of a serving step without fillers beside it, 0 to 1.
	load     float64
	forecast estimator.Forecast
	// ahead are the loads to expect in the next seconds, nil while
	// they are not known.
	ahead []float64
	// tickets are what the policy service said, by VM.
	tickets map[string]ticket
}

func (b *Planner) newJob(id string, record *work.Job) *job {
	b.numbered++
	j := &job{id: id, number: b.numbered, record: record, steps: map[jobreducer.StepKey]*step{}}
	b.jobs[id] = j
	return j
}

// newStep returns the step of a key and creates it with all its tasks free.
func (j *job) newStep(key jobreducer.StepKey) *step {
	if s := j.steps[key]; s != nil {
		return s
	}
	spec := &j.record.Steps[key.Step]
	s := &step{job: j, key: key, spec: spec, tasks: make([]work.Task, spec.Tasks), free: spec.Tasks}
	j.steps[key] = s
	return s
}

// count counts the tasks of a step by state.
func (s *step) count() {
	s.free, s.open, s.done = 0, 0, 0
	for i := range s.tasks {
		switch t := &s.tasks[i]; {
		case t.Done:
			s.done++
		case len(t.Runs) > 0:
			s.open++
		default:
			s.free++
		}
	}
}

// name returns the name of a task.
func (s *step) name(index int) string {
	return s.job.id + "." + strconv.Itoa(s.key.Occurrence) + "." + strconv.Itoa(s.key.Step) + "." + strconv.Itoa(index)
}

// task finds a task by its name.
func (b *Planner) task(name string) (*step, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	j := b.jobs[parts[0]]
	occurrence, err1 := strconv.Atoi(parts[1])
	number, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	if j == nil || err1 != nil || err2 != nil || err3 != nil {
		return nil, 0
	}
	s := j.steps[jobreducer.StepKey{Occurrence: occurrence, Step: number}]
	if s == nil || index < 0 || index >= len(s.tasks) {
		return nil, 0
	}
	return s, index
}

// AddJob takes a job that the log accepted. A repeat changes nothing.
func (b *Planner) AddJob(record *work.Job, now time.Time) {
	if b.jobs[record.ID] != nil {
		return
	}
	j := b.newJob(record.ID, record)
	b.begin(j, now)
}

// CancelJob takes a cancellation that is in the log.
func (b *Planner) CancelJob(id string, now time.Time) {
	j := b.jobs[id]
	if j == nil || j.canceled || j.outcome != nil {
		return
	}
	j.canceled = true
	b.log("cancel", "job", id)
	b.finish(j, jobreducer.Canceled, now)
}

// finish ends a job. Its runs are stopped, and its description is dropped
// when the last of them has ended.
func (b *Planner) finish(j *job, state string, now time.Time) {
	j.outcome = &work.Outcome{State: state, Ended: now, Queue: j.record.Queue.Name}
	b.records = append(b.records, jobreducer.OutcomeRecord(j.id, j.outcome))
	b.log("finish", "job", j.id, "state", state, "after", now.Sub(j.record.Accepted))
	for _, s := range j.steps {
		for i := range s.tasks {
			b.haltAll(s, i, state, now)
		}
	}
	b.drop(j)
}

// drop removes the description of an ended job once nothing of it runs.
func (b *Planner) drop(j *job) {
	if j.outcome == nil || j.dropped {
		return
	}
	var keys []jobreducer.StepKey
	for key, s := range j.steps {
		if s.open > 0 || s.running() {
			return
		}
		if s.written || b.dirty[s] {
			keys = append(keys, key)
		}
		delete(b.dirty, s)
	}
	j.dropped = true
	b.records = append(b.records, jobreducer.JobTombstones(j.id, keys)...)
	j.steps = map[jobreducer.StepKey]*step{}
}

// running says whether a task of the step has a run that is not known to be over.
func (s *step) running() bool {
	for i := range s.tasks {
		if len(s.tasks[i].Runs) > 0 {
			return true
		}
	}
	return false
}

const (
	// remember is how long the log keeps the outcome of a job: five times as
	// long as clients may ask for it, and far longer than a repeat may come.
	remember = 10 * time.Minute
	// forgetEvery is the interval at which outcomes are looked through.
	forgetEvery = 5 * time.Second
)

// forget removes outcomes that nobody asks for any more, and with each the
// description that a late repeat may have brought back.
func (b *Planner) forget(now time.Time) {
	if now.Sub(b.forgot) < forgetEvery {
		return
	}
	b.forgot = now
	for id, j := range b.jobs {
		if j.dropped && now.Sub(j.outcome.Ended) > remember {
			b.records = append(b.records, jobreducer.JobTombstones(id, nil)...)
			b.records = append(b.records, jobreducer.OutcomeTombstone(id))
			delete(b.jobs, id)
		}
	}
}

// begin creates the occurrences that are due.
func (b *Planner) begin(j *job, now time.Time) {
	if j.outcome != nil || j.dropped {
		return
	}
	occurrences := max(j.record.Times, 1)
	for j.began < occurrences {
		due := j.record.Due.Add(time.Duration(j.began) * j.record.Interval)
		if !j.record.Due.IsZero() && now.Before(due) {
			return
		}
		for i := range j.record.Steps {
			s := j.newStep(jobreducer.StepKey{Occurrence: j.began, Step: i})
			s.started = now
		}
		j.began++
	}
}

// ready says whether the steps that a step depends on are done.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		earlier := s.job.steps[jobreducer.StepKey{Occurrence: s.key.Occurrence, Step: before}]
		if earlier == nil || earlier.done < len(earlier.tasks) {
			return false
		}
	}
	return true
}

// complete says whether all occurrences of a job are done.
func (j *job) complete() bool {
	if j.began < max(j.record.Times, 1) {
		return false
	}
	for _, s := range j.steps {
		if s.done < len(s.tasks) {
			return false
		}
	}
	return true
}

// review ends a job that its tasks have decided.
func (b *Planner) review(j *job, now time.Time) {
	for _, s := range j.steps {
		for i := range s.tasks {
			if t := &s.tasks[i]; !s.spec.Lasts && !t.Done && t.Failed >= j.record.Queue.Attempts {
				b.finish(j, jobreducer.Failed, now)
				return
			}
		}
	}
	if len(j.steps) > 0 && j.complete() {
		b.finish(j, jobreducer.Completed, now)
	}
}
