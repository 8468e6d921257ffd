// Package jobmeasurer derives from the declaration of a job how long it takes, how
// much work it is, and within which time its result is wanted.
package jobmeasurer

import (
	"time"

	"knapweedspur/internal/wire/work"
)

// LateFactor is how many times its objective a job may take and still be useful.
const LateFactor = 3

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
