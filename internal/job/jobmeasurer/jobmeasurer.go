// Package jobmeasurer derives from the declaration of a job how long it takes, how
// much work it is, and within which time its result is wanted.
package jobmeasurer

import (
	"time"

	"knapweedspur/internal/wire/work"
)

// LateFactor is how many times its objective a job may take and still be useful.
const LateFactor = 3

// Kind is a kind of job, by what its tasks need.
type Kind string

// The kinds of jobs.
const (
	// Serving jobs have tasks with a latency objective.
	Serving Kind = "serving"
	// Lasting jobs run until they are canceled and serve nobody.
	Lasting Kind = "lasting"
	// Filling jobs run on processors that others leave.
	Filling Kind = "filling"
	// Plain jobs reserve what they use.
	Plain Kind = "plain"
)

// KindOf returns the kind of a job, by its first step.
func KindOf(j *work.Job) Kind {
	if len(j.Steps) == 0 {
		return Plain
	}
	switch s := &j.Steps[0]; {
	case s.LatencyTarget > 0:
		return Serving
	case s.Filler:
		return Filling
	case s.LongRunning:
		return Lasting
	default:
		return Plain
	}
}

// Objective returns the time within which a job should complete.
func Objective(j *work.Job) time.Duration {
	return time.Duration(j.Queue.Stretch*float64(Chain(j.Steps))) + j.Queue.Target
}

// Chain returns the longest declared time from the start of a job to its end.
func Chain(steps []work.Step) time.Duration {
	longest := time.Duration(0)
	for i := range steps {
		if len(steps[i].DependsOn) == 0 {
			longest = max(longest, ChainFrom(steps, i))
		}
	}
	return longest
}

// ChainFrom returns the longest declared time from the start of a step to the end of
// the job.
func ChainFrom(steps []work.Step, from int) time.Duration {
	longest := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= from; i-- {
		longest[i] += steps[i].EstimatedDuration
		for _, dependency := range steps[i].DependsOn {
			longest[dependency] = max(longest[dependency], longest[i])
		}
	}
	return longest[from]
}

// CoreTime returns the declared work of a number of tasks of a step, as the time that
// one core would take.
func CoreTime(spec *work.Step, tasks int) time.Duration {
	return time.Duration(float64(tasks) * float64(spec.EstimatedDuration) * float64(spec.Size.Millicores) / 1000)
}
