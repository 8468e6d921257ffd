package planner

import (
	"time"

	"knapweedspur/internal/job/healthtracker"
)

// longProbeTime is how long a long-running task must be at work on a suspect VM to
// count as a success there. It does not end by itself.
const longProbeTime = 2 * time.Second

// fullProgress is the progress of a long-running task that is at work, in percent.
const fullProgress = 100

// suspect reports whether the VM should get no work now. Once runs of several jobs
// have failed there in a row, it gets one run at a time until one has worked.
func (v *vm) suspect(now time.Time) bool {
	if v.health.Paused(now) {
		return true
	}
	if !v.health.Suspect() {
		return false
	}
	for _, p := range v.runs {
		if v.probes(p) {
			return true
		}
	}
	return false
}

// probes reports whether a run was placed on a suspect VM since the last failure
// there.
func (v *vm) probes(p *placement) bool {
	return (v.health.Suspect() || v.health.OnProbation() == healthtracker.Flaky) && p.placedAt.After(v.health.LastFailure())
}

// probeWorks reports whether a run on a suspect VM shows that the VM works, although
// the run does not end. It counts once.
func (v *vm) probeWorks(p *placement, now time.Time) bool {
	return !p.probeCounted && v.probes(p) && p.step.spec.LongRunning && p.progressPercent >= fullProgress && now.Sub(p.firstSeen) > longProbeTime
}
