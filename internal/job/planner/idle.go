package planner

import (
	"time"
)

// A job is idle while a task's turn has come and none of its tasks has a run.

const (
	// maxIdleWait is how long an idle job may wait for better conditions. It is a third
	// of the time for which a job may be idle beside free room, because other waits may
	// come before and after.
	maxIdleWait = time.Second
	// maxIdleLines bounds the lines about idle jobs between two lines about the load.
	maxIdleLines = 5
)

// noteIdle keeps since when a job has been idle. waits says that a task's turn has come.
func (j *job) noteIdle(waits bool, now time.Time) {
	switch {
	case !waits || j.hasRunning():
		j.idleSince, j.idleLogged = time.Time{}, false
	case j.idleSince.IsZero():
		j.idleSince = now
	}
}

func (j *job) hasRunning() bool {
	for _, s := range j.steps {
		if s.running > 0 {
			return true
		}
	}
	return false
}

// idleTooLong reports whether a job has been idle for longer than it may wait for better
// conditions.
func (j *job) idleTooLong(now time.Time) bool {
	return !j.idleSince.IsZero() && now.Sub(j.idleSince) >= maxIdleWait && !j.hasRunning()
}

// logIdle logs, once for each time that a job is idle too long, why its task starts on
// none of the VMs.
func (pl *Planner) logIdle(candidates []candidate, now time.Time) {
	lines := 0
	for i := range candidates {
		s := candidates[i].step
		if lines >= maxIdleLines {
			return
		}
		if s.job.idleLogged || !s.job.idleTooLong(now) {
			continue
		}
		e, placed := pl.explainStep(s, 1, now)
		for _, p := range placed {
			pl.takeOff(p)
		}
		s.job.idleLogged = true
		lines++
		pl.logDecision("idle", "job", s.job.id, "step", s.policyName(), "waiting", s.waiting, "since", now.Sub(s.job.idleSince), "fillers", s.spec.Filler,
			"millis", s.spec.Size.Millicores, "memory", s.spec.Size.Memory, "against", e.Against, "starts", e.Starts, "class", s.job.sequenced[s.classKey()].Class.String())
	}
}
