package planner

import (
	"time"

	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/sequencer"
	"knapweedspur/internal/setting/gatekeeper"
)

// candidate is a step with waiting tasks that could be placed now.
type candidate struct {
	step *step
	// lateness is 0 for a job that can meet its objective, 1 for one that will
	// be late but still useful, and 2 for the rest.
	lateness int
	deadline time.Time
	// remainingWork is the remaining work of the occurrence, in core-seconds.
	remainingWork float64
	// shortOfTime is set if there is not enough time for all steps, so that
	// those with the least remaining work go first.
	shortOfTime bool
	// sequenced is set if not all jobs that need the same capacity can be in time;
	// class and position are then the decision about the job.
	sequenced bool
	class     sequencer.Class
	position  int
}

// lateFactor is how many times its objective a job may take and still be
// useful.
const lateFactor = jobmeasurer.LateFactor

// before reports whether the tasks of c are placed before those of o: first serving
// steps, last fillers. Where not all jobs can be in time the sequencer decides; otherwise
// lateness, the priority of the queue and, for fillers and while there is too little time,
// the remaining work come before the deadline.
func (c *candidate) before(o *candidate) bool {
	if serves := c.step.spec.LatencyTarget > 0; serves || o.step.spec.LatencyTarget > 0 {
		if serves != (o.step.spec.LatencyTarget > 0) {
			return serves
		}
		return c.beforeServing(o)
	}
	if fills := c.step.spec.Filler; fills != o.step.spec.Filler {
		// Fillers reserve only memory, so they are placed after the other
		// steps.
		return !fills
	}
	if a, b := c.step.job.record.Queue.Pool, o.step.job.record.Queue.Pool; a != b {
		return a < b
	}
	if c.sequenced && o.sequenced && c.position != o.position {
		return c.position < o.position
	}
	if c.lateness != o.lateness {
		return c.lateness < o.lateness
	}
	a, b := c.step.job, o.step.job
	if a.record.Queue.Priority != b.record.Queue.Priority {
		return a.record.Queue.Priority < b.record.Queue.Priority
	}
	if c.shortOfTime && c.lateness < 2 && c.remainingWork != o.remainingWork {
		return c.remainingWork < o.remainingWork
	}
	if !c.deadline.Equal(o.deadline) {
		return c.deadline.Before(o.deadline)
	}
	if a.number != b.number {
		return a.number < b.number
	}
	if c.step.key.Occurrence != o.step.key.Occurrence {
		return c.step.key.Occurrence < o.step.key.Occurrence
	}
	return c.step.key.Step < o.step.key.Step
}

// beforeServing orders serving steps so that those with the same image are
// placed together, beginning with those that need the most VMs: first those
// with a spread limit, then the largest.
func (c *candidate) beforeServing(o *candidate) bool {
	a, b := c.step.spec, o.step.spec
	if a.Image != b.Image {
		return a.Image < b.Image
	}
	if (a.MaxPerVM > 0) != (b.MaxPerVM > 0) {
		return a.MaxPerVM > 0
	}
	if a.Size.Millicores != b.Size.Millicores {
		return a.Size.Millicores > b.Size.Millicores
	}
	return c.step.job.number < o.step.job.number
}

// rank returns a step as a candidate with its urgency.
func (pl *Planner) rank(s *step, now time.Time) candidate {
	j := s.job
	start := j.dueAt(s.key.Occurrence)
	objective := pl.timeObjective(s)
	c := candidate{step: s, deadline: start.Add(objective), remainingWork: pl.remainingWork(j, s.occurrence)}
	if s.spec.LongRunning {
		return c
	}
	remaining := pl.chains(j, s.occurrence)[s.key.Step]
	switch expectedEnd := now.Add(remaining); {
	case !expectedEnd.After(c.deadline):
		c.lateness = 0
	case !expectedEnd.After(start.Add(lateFactor * objective)):
		c.lateness = 1
	default:
		c.lateness = 2
	}
	return c
}

// dueAt returns when an occurrence was due. Unlike the startedAt of its steps, it is
// known to every leader.
func (j *job) dueAt(occurrence int) time.Time {
	if j.record.Occurrences > 0 {
		return j.record.DueAt.Add(time.Duration(occurrence) * j.record.Interval)
	}
	return j.record.AcceptedAt
}

const (
	// New serving steps wait so that they can be placed together, because their
	// jobs often arrive in groups and run far longer than the delay. They are
	// placed when none has arrived for servingBatchPause, or when the first has
	// waited for servingBatchMaxWait.
	servingBatchPause   = 100 * time.Millisecond
	servingBatchMaxWait = 400 * time.Millisecond
)

// newServing reports whether the step is a serving step that was never placed.
func (s *step) newServing() bool {
	return s.spec.LatencyTarget > 0 && s.spec.LongRunning && s.tasks[0].LastRun == 0
}

// delayNewServing reports whether new serving steps should wait for more to
// arrive.
func (pl *Planner) delayNewServing(now time.Time) bool {
	if !pl.Settings.Gates.On(gatekeeper.Batching) {
		return false
	}
	var first, last time.Time
	for _, j := range pl.jobs {
		if j.outcome != nil || j.record == nil {
			continue
		}
		for _, s := range j.ready {
			if !s.newServing() {
				continue
			}
			if first.IsZero() || s.startedAt.Before(first) {
				first = s.startedAt
			}
			if s.startedAt.After(last) {
				last = s.startedAt
			}
		}
	}
	return now.Sub(last) < servingBatchPause && now.Sub(first) < servingBatchMaxWait
}

// overloadShare is the share of the mean time to the deadline that the
// remaining work of all steps may take. Above it the least work goes first
// instead of the nearest deadline, because the steps nearest to their deadline
// would miss it anyway.
const overloadShare = 0.4

// markOverload marks steps for which there is not enough time. Fillers are
// always marked, because the capacity that serving tasks will leave to them is
// not known in advance.
func (pl *Planner) markOverload(candidates []candidate, now time.Time) {
	capacity, totalWork, totalWait, count := 0.0, 0.0, 0.0, 0.0
	for _, v := range pl.sortedVMs {
		if v.usable(now) && !pl.evacuated(v) {
			capacity += float64(max(v.workerStatus.Capacity.Millicores-v.longRunningMillicores, 0)) / 1000
		}
	}
	for i := range candidates {
		if c := &candidates[i]; c.lateness == 0 && !c.step.spec.LongRunning && !c.step.spec.Filler {
			totalWork += c.remainingWork
			totalWait += c.deadline.Sub(now).Seconds()
			count++
		}
	}
	overloaded := totalWork/max(capacity, 1) > overloadShare*totalWait/max(count, 1)
	for i := range candidates {
		candidates[i].shortOfTime = overloaded || candidates[i].step.spec.Filler
	}
}
