package planner

import "time"

const (
	// suspectFailures is the number of failures, each of a different job than
	// the one before and without a success in between, from which a VM is
	// suspect.
	suspectFailures = 2
	// suspectPause is how long a suspect VM gets no work before one run is tried
	// on it.
	suspectPause = 1500 * time.Millisecond
	// refusalPause is how long a VM gets no work after its agent or worker
	// refused a start.
	refusalPause = 300 * time.Millisecond
)

// vmHealth tracks the results of runs on a VM since its worker started.
type vmHealth struct {
	// failures counts failed runs since the last success. Consecutive failures
	// of the same job count once.
	failures      int
	lastFailedJob string
	lastFailure   time.Time
	lastRefusal   time.Time
}

// recordSuccess resets the failures after a run completed.
func (h *vmHealth) recordSuccess() {
	h.failures = 0
	h.lastFailedJob = ""
}

// recordFailure counts a failed run.
func (h *vmHealth) recordFailure(task string, now time.Time) {
	// The name of a task begins with the ID of its job, 16 hexadecimal digits.
	job := task[:min(len(task), 16)]
	if job == h.lastFailedJob {
		return
	}
	h.failures++
	h.lastFailedJob, h.lastFailure = job, now
}

// recordRefusal notes that the agent or the worker refused a start.
func (h *vmHealth) recordRefusal(now time.Time) { h.lastRefusal = now }

// suspect reports whether the VM should get no work now.
func (h *vmHealth) suspect(running int, now time.Time) bool {
	if now.Sub(h.lastRefusal) < refusalPause {
		return true
	}
	if h.failures < suspectFailures {
		return false
	}
	return running > 0 || now.Sub(h.lastFailure) < suspectPause
}
