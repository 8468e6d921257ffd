package planner

import (
	"iter"
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

// One to three jobs in a hundred can never be done, because every run of some task
// fails. Such a job ends when the task has failed as often as its queue allows, so a
// task that has failed is tried again before new ones of its step begin. Most tasks
// that fail once succeed later; a job is doubtful from the second failure on, and
// then begins no further task while the doubtful one runs.

// doubtfulFailures is the number of failures of a task, on VMs that are not to blame
// for them, from which its job is doubtful. With one run in twenty that fails at
// random, one failure in a job of ten tasks is usual.
const doubtfulFailures = 2

// A job waits for its doubtful task for holdFactor times the declared duration, at
// least minHold. One task in thirty takes far longer.
const (
	holdFactor = 2
	minHold    = time.Second
)

// startOrder iterates over the indexes of the step's tasks in the order in which they
// start.
func (s *step) startOrder(retriesFirst bool) iter.Seq[int] {
	retriesFirst = retriesFirst && s.retried > 0
	return func(yield func(int) bool) {
		for i := range s.tasks {
			if retriesFirst && s.tasks[i].Failures > 0 && !yield(i) {
				return
			}
		}
		for i := range s.tasks {
			if (!retriesFirst || s.tasks[i].Failures == 0) && !yield(i) {
				return
			}
		}
	}
}

// heldBack reports whether a task that has never run waits for the result of a
// doubtful one of its job. The doubtful one runs meanwhile, so the job is not idle.
func (pl *Planner) heldBack(s *step, t *work.Task, now time.Time) bool {
	if t.LastRun > 0 || s.spec.LongRunning {
		return false
	}
	o := s.occurrence
	if o.doubtfulPass != pl.pass {
		o.doubtfulPass = pl.pass
		o.doubtful = o.retried > 0 && slices.ContainsFunc(o.steps, func(s *step) bool { return s.retried > 0 && pl.hasDoubtfulRun(s, now) })
	}
	return o.doubtful
}

// hasDoubtfulRun reports whether a doubtful task of the step is at work on a VM that
// is heard, and has not been for long.
func (pl *Planner) hasDoubtfulRun(s *step, now time.Time) bool {
	if s.spec.LongRunning {
		return false
	}
	hold := max(holdFactor*s.spec.EstimatedDuration, minHold)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.Done || t.Failures-s.blamedFailures[i] < doubtfulFailures {
			continue
		}
		for j := range t.Runs {
			v := pl.ensureVM(t.Runs[j].VM)
			if p := v.runs[runKey{s.taskName(i), t.Runs[j].Run}]; p != nil && v.heard(now) && now.Sub(p.placedAt) < hold {
				return true
			}
		}
	}
	return false
}

// noteBlame notes whether the failure of a task is more likely the fault of its VM. It
// counts towards the limit of the task all the same.
func (s *step) noteBlame(index int, v *vm, now time.Time) {
	if !v.health.Blamed(now) {
		return
	}
	if s.blamedFailures == nil {
		s.blamedFailures = map[int]int{}
	}
	s.blamedFailures[index]++
}

// noteHopeless logs why a job fails.
func (pl *Planner) noteHopeless(s *step, index int, now time.Time) {
	pl.counters.Hopeless++
	t, started := &s.tasks[index], 0
	for i := range s.tasks {
		if s.tasks[i].LastRun > 0 {
			started++
		}
	}
	pl.logDecision("can't be done", "job", s.job.id, "task", s.taskName(index), "failures", t.Failures, "blamed", s.blamedFailures[index], "vms", t.ExcludedVMs,
		"started", started, "tasks", len(s.tasks), "after", now.Sub(s.job.dueAt(s.key.Occurrence)))
}
