package planner

import "time"

const (
	// suspectFailures is how many failures of different jobs without a success
	// between them make a VM suspect.
	suspectFailures = 2
	// probation is how long a suspect VM gets no work before one run tries it.
	probation = 1500 * time.Millisecond
	// refusalPause is how long a VM gets no work after its worker refused a start.
	refusalPause = 300 * time.Millisecond
)

// record is what a VM has done so far in its worker's life.
type record struct {
	// failures counts failed runs since the last success, by distinct jobs.
	failures int
	lastJob  string
	failed   time.Time
	refused  time.Time
}

// succeed takes a run that ended well.
func (r *record) succeed() {
	r.failures = 0
	r.lastJob = ""
}

// fail takes a run that failed.
func (r *record) fail(task string, now time.Time) {
	job := task[:min(len(task), 16)]
	if job == r.lastJob {
		return
	}
	r.failures++
	r.lastJob, r.failed = job, now
}

// reject takes a start that the worker refused.
func (r *record) reject(now time.Time) { r.refused = now }

// suspect says whether the VM should get no work now.
func (r *record) suspect(running int, now time.Time) bool {
	if now.Sub(r.refused) < refusalPause {
		return true
	}
	if r.failures < suspectFailures {
		return false
	}
	return running > 0 || now.Sub(r.failed) < probation
}
