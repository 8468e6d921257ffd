package planner

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"knapweedspur/internal/job/durationestimator"
	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/sequencer"
	"knapweedspur/internal/wire/work"
)

// job is an accepted job with its progress.
type job struct {
	id string
	// number is the position of the job in the order in which jobs were added.
	number int
	// record is the job as accepted, nil if the log holds only its outcome.
	record *work.Job
	progress
	canceled bool
	// sequenced is the last decision about the order of the job.
	sequenced map[classKey]sequencer.Result
	outcome   *work.Outcome
	// idleSince is since when the job has been idle, zero if it is not; idleLogged is set
	// once that was logged.
	idleSince  time.Time
	idleLogged bool
	// takesAnyRoom is set while the next task of the job starts as a last resort, overcommits
	// while a filler may do so on a VM whose processors fillers use in full.
	takesAnyRoom, overcommits bool
	// dropped is set once the description was removed from the log.
	dropped bool
}

// step is a step of one occurrence of a job.
type step struct {
	job        *job
	occurrence *occurrence
	key        jobreducer.StepKey
	spec       *work.Step
	// tasks is the state that is written to the log.
	tasks []work.Task
	stepCounts
	// blamedFailures counts, by task, the failures that were the fault of a VM. A new
	// leader does not know them.
	blamedFailures map[int]int
	// startedAt is when the occurrence started, zero for a step that was
	// restored from the log.
	startedAt time.Time
	// load is the load of a serving step without the effect of fillers, from 0
	// to 1. It is 0 while unknown.
	load  float64
	rates healthtracker.Rates
	// endedTimes are the times of the latest runs that completed.
	endedTimes []time.Duration
	// avoidsSince is since when tasks wait although a VM that is on probation has room,
	// zero if none does.
	avoidsSince time.Time
	// observed is what tasks of the step showed about their duration; learned is set
	// once the estimator has it.
	observed durationestimator.Observation
	learned  bool
	// expected is the duration to expect of its tasks, computed from expectedFrom.
	expected     time.Duration
	expectedFrom knowledge
	// leastProgress is the least progress of its running tasks, in percent, as of the
	// last decision about the order.
	leastProgress int
	// awaySince is since when a task that lasts and has run waits, zero if none does.
	awaySince time.Time
	// noRoomSince is since when the tasks of the step fit on no VM, zero if they do.
	noRoomSince time.Time
	approval
}

func (pl *Planner) newJob(id string, record *work.Job) *job {
	pl.lastJobNumber++
	j := &job{id: id, number: pl.lastJobNumber, record: record}
	pl.jobs[id] = j
	return j
}

func (s *step) taskName(index int) string {
	return s.job.id + "." + strconv.Itoa(s.key.Occurrence) + "." + strconv.Itoa(s.key.Step) + "." + strconv.Itoa(index)
}

func (s *step) taskKey(index int) jobreducer.TaskKey {
	return jobreducer.TaskKey{StepKey: s.key, Index: index}
}

// findTask returns the step and the index of the task with the given name, or a
// nil step if there is none.
func (pl *Planner) findTask(name string) (*step, int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	j := pl.jobs[parts[0]]
	occurrence, err1 := strconv.Atoi(parts[1])
	stepIndex, err2 := strconv.Atoi(parts[2])
	index, err3 := strconv.Atoi(parts[3])
	if j == nil || err1 != nil || err2 != nil || err3 != nil {
		return nil, 0
	}
	s := j.step(jobreducer.StepKey{Occurrence: occurrence, Step: stepIndex})
	if s == nil || index < 0 || index >= len(s.tasks) {
		return nil, 0
	}
	return s, index
}

// AddJob adds a job that is in the log. A duplicate has no effect.
func (pl *Planner) AddJob(record *work.Job, now time.Time) {
	if pl.jobs[record.ID] != nil {
		return
	}
	j := pl.newJob(record.ID, record)
	pl.observeShortWork(record, now)
	pl.noteArrival(record.Queue.Pool, now)
	pl.startDueOccurrences(j, now)
}

// FindJob reports whether a job is known, and whether it has not ended.
func (pl *Planner) FindJob(id string) (known, open bool) {
	j := pl.jobs[id]
	return j != nil, j != nil && j.outcome == nil
}

// CancelJob cancels a job whose cancellation is in the log.
func (pl *Planner) CancelJob(id string, now time.Time) {
	j := pl.jobs[id]
	if j == nil || j.canceled || j.outcome != nil {
		return
	}
	j.canceled = true
	pl.logDecision("cancel", "job", id)
	pl.finishJob(j, jobreducer.Canceled, now)
}

// finishJob records the outcome of a job and stops its runs. Its description is
// removed from the log when the last run has ended.
func (pl *Planner) finishJob(j *job, state string, now time.Time) {
	j.outcome = &work.Outcome{State: state, EndedAt: now, Queue: j.record.Queue.Name}
	pl.records = append(pl.records, jobreducer.OutcomeRecord(j.id, j.outcome))
	pl.logDecision("finish", "job", j.id, "state", state, "after", now.Sub(j.record.AcceptedAt), "objective", pl.exactObjective(j, 0), "work", int(pl.totalWork(j)))
	pl.stopAllRuns(j, state, now)
	pl.dropEndedJob(j)
}

// stopAllRuns stops all runs of a job.
func (pl *Planner) stopAllRuns(j *job, reason string, now time.Time) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				pl.stopTaskRuns(s, i, reason, now)
			}
		}
	}
}

// dropEndedJob removes the description of a job from the log if the job has
// ended and has no runs left.
func (pl *Planner) dropEndedJob(j *job) {
	if j.outcome == nil || j.dropped || j.runs > 0 {
		return
	}
	keys := j.endedTasks()
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				if s.tasks[i].LastRun > 0 {
					keys = append(keys, s.taskKey(i))
				}
			}
			delete(pl.dirtyTasks, s)
		}
	}
	j.dropped = true
	pl.tombstones = append(pl.tombstones, jobreducer.JobTombstones(j.id, keys)...)
	j.progress = progress{}
}

const (
	// outcomeRetention is how long the log keeps the outcome of a job at least: far longer
	// than a duplicate submission can be delayed.
	outcomeRetention = 10 * time.Minute
	// retentionFactor is how many times as long as clients may ask for it an outcome is kept. Their
	// time begins when they learn of it.
	retentionFactor = 2
	// outcomeSweepInterval is the interval at which outcomes are checked for
	// expiry.
	outcomeSweepInterval = 5 * time.Second
)

// expireOutcomes removes outcomes that are older than the retention time. It
// also removes the job description, which a late duplicate may have written
// again.
func (pl *Planner) expireOutcomes(now time.Time) {
	if now.Sub(pl.lastOutcomeSweep) < outcomeSweepInterval {
		return
	}
	pl.lastOutcomeSweep = now
	for id, j := range pl.jobs {
		if j.dropped && now.Sub(j.outcome.EndedAt) > max(outcomeRetention, retentionFactor*pl.Settings.StateLifetime) {
			pl.records = append(pl.records, jobreducer.JobTombstones(id, nil)...)
			pl.records = append(pl.records, jobreducer.OutcomeTombstone(id))
			delete(pl.jobs, id)
		}
	}
}

// startDueOccurrences creates the steps of the occurrences that are due, as many as the
// job may have at a time.
func (pl *Planner) startDueOccurrences(j *job, now time.Time) {
	if j.outcome != nil || j.dropped {
		return
	}
	occurrences := max(j.record.Occurrences, 1)
	for j.startedOccurrences < occurrences && j.mayStartOccurrence() {
		due := j.record.DueAt.Add(time.Duration(j.startedOccurrences) * j.record.Interval)
		if !j.record.DueAt.IsZero() && now.Before(due) {
			return
		}
		for _, s := range j.ensureOccurrence(j.startedOccurrences).steps {
			s.startedAt = now
		}
		j.startedOccurrences++
	}
}

// complete reports whether all occurrences of the job are done.
func (j *job) complete() bool {
	return j.startedOccurrences >= max(j.record.Occurrences, 1) && len(j.open) == 0
}

// finishIfDecided ends a job as failed if a task has reached its failure limit,
// or as completed if all tasks are done.
func (pl *Planner) finishIfDecided(j *job, now time.Time) {
	for _, o := range j.open {
		for _, s := range o.steps {
			if s.hasHopelessTask() {
				pl.finishJob(j, jobreducer.Failed, now)
				return
			}
		}
	}
	if j.startedOccurrences > 0 && j.complete() {
		pl.finishJob(j, jobreducer.Completed, now)
	}
}

// hasHopelessTask reports whether a task of the step has reached its failure limit.
func (s *step) hasHopelessTask() bool {
	return !s.spec.LongRunning && slices.ContainsFunc(s.tasks, func(t work.Task) bool { return !t.Done && t.Failures >= s.job.record.Queue.MaxFailures })
}
