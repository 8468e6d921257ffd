package planner

import (
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// candidate is a step with free tasks whose turn has come.
type candidate struct {
	step *step
	// late is 0 for a job that can meet its objective, 1 for one that can
	// still be of use late, 2 for the rest.
	late     int
	deadline time.Time
	// left is the work that is left of the occurrence, in core-seconds.
	left float64
	// short says that there is not enough time for all steps of its sort.
	short bool
}

// lateFactor is how many times its objective a job may take and still be of use.
const lateFactor = 3

func (c *candidate) before(o *candidate, policy Policy) bool {
	if serves := c.step.spec.Target > 0; serves || o.step.spec.Target > 0 {
		if serves != (o.step.spec.Target > 0) {
			return serves
		}
		return c.beforeServing(o)
	}
	if fills := c.step.spec.Fills; fills != o.step.spec.Fills {
		// What fills takes nothing that the others reserve but memory.
		return !fills
	}
	if policy == ByArrival {
		return c.step.job.number < o.step.job.number
	}
	if c.late != o.late {
		return c.late < o.late
	}
	a, z := c.step.job, o.step.job
	if a.record.Queue.Priority != z.record.Queue.Priority {
		return a.record.Queue.Priority < z.record.Queue.Priority
	}
	if policy != ByDeadline && c.short && c.late < 2 && c.left != o.left {
		return c.left < o.left
	}
	if !c.deadline.Equal(o.deadline) {
		return c.deadline.Before(o.deadline)
	}
	if a.number != z.number {
		return a.number < z.number
	}
	if c.step.key.Occurrence != o.step.key.Occurrence {
		return c.step.key.Occurrence < o.step.key.Occurrence
	}
	return c.step.key.Step < o.step.key.Step
}

// beforeServing orders serving steps so that those of a kind come together,
// the ones that need the most VMs first.
func (c *candidate) beforeServing(o *candidate) bool {
	a, z := c.step.spec, o.step.spec
	if a.Image != z.Image {
		return a.Image < z.Image
	}
	if (a.Spread > 0) != (z.Spread > 0) {
		return a.Spread > 0
	}
	if a.Size.Millis != z.Size.Millis {
		return a.Size.Millis > z.Size.Millis
	}
	return c.step.job.number < o.step.job.number
}

// rank tells how urgent a step is.
func (b *Planner) rank(s *step, now time.Time) candidate {
	j := s.job
	start := j.record.Accepted
	if j.record.Times > 0 {
		start = j.record.Due.Add(time.Duration(s.key.Occurrence) * j.record.Interval)
	}
	objective := objective(j.record)
	c := candidate{step: s, deadline: start.Add(objective), left: j.left(s.key.Occurrence)}
	if s.spec.Lasts {
		return c
	}
	rest := chain(j.record.Steps, s.key.Step)
	switch end := now.Add(rest); {
	case !end.After(c.deadline):
		c.late = 0
	case !end.After(start.Add(lateFactor * objective)):
		c.late = 1
	default:
		c.late = 2
	}
	return c
}

const (
	// gatherPause is how long no serving step may have come until those that
	// wait are placed together, and gatherLimit how long the first waits at
	// most: their jobs often come in groups, and last far longer.
	gatherPause = 100 * time.Millisecond
	gatherLimit = 400 * time.Millisecond
)

// fresh says whether a step serves and was never placed.
func (s *step) fresh() bool { return s.spec.Target > 0 && s.spec.Lasts && s.tasks[0].Last == 0 }

// gathering says whether new serving steps should wait for others.
func (b *Planner) gathering(now time.Time) bool {
	var first, last time.Time
	for _, j := range b.jobs {
		if j.outcome != nil || j.record == nil {
			continue
		}
		for _, s := range j.steps {
			if s.free == 0 || !s.fresh() {
				continue
			}
			if first.IsZero() || s.started.Before(first) {
				first = s.started
			}
			if s.started.After(last) {
				last = s.started
			}
		}
	}
	return now.Sub(last) < gatherPause && now.Sub(first) < gatherLimit
}

// crowdedShare is the share of the time to its deadline that a step may have
// to wait, on average, until the least work goes first instead of the nearest
// deadline: with more, those that are nearest to theirs miss it all the same.
const crowdedShare = 0.4

// judgeLoad tells steps for which there is not enough time. Of those that fill
// that is always assumed: what serving tasks let them use is not known before.
func (b *Planner) judgeLoad(queue []candidate, now time.Time) {
	capacity, work, wait, count := 0.0, 0.0, 0.0, 0.0
	for _, v := range b.sorted {
		if v.usable(now) {
			capacity += float64(v.vitals.Size.Millis-v.served) / 1000
		}
	}
	for i := range queue {
		if c := &queue[i]; c.late == 0 && !c.step.spec.Lasts && !c.step.spec.Fills {
			work += c.left
			wait += c.deadline.Sub(now).Seconds()
			count++
		}
	}
	crowded := work/max(capacity, 1) > crowdedShare*wait/max(count, 1)
	for i := range queue {
		queue[i].short = crowded || queue[i].step.spec.Fills
	}
}

// left is the work that is left of an occurrence, in core-seconds.
func (j *job) left(occurrence int) float64 {
	sum := 0.0
	for i := range j.record.Steps {
		spec := &j.record.Steps[i]
		tasks := spec.Tasks
		if s := j.steps[jobreducer.StepKey{Occurrence: occurrence, Step: i}]; s != nil {
			tasks -= s.done
		}
		sum += float64(tasks) * spec.Estimate.Seconds() * float64(spec.Size.Millis) / 1000
	}
	return sum
}

// objective is how long a job may take.
func objective(j *work.Job) time.Duration {
	longest := time.Duration(0)
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			longest = max(longest, chain(j.Steps, i))
		}
	}
	return time.Duration(j.Queue.Stretch*float64(longest)) + j.Queue.Target
}

// chain is the longest declared time from the start of a step to the end of
// the job.
func chain(steps []work.Step, from int) time.Duration {
	longest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= from; i-- {
		longest[i] += steps[i].Estimate
		for _, before := range steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest[from]
}
