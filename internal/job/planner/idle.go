package planner

import (
	"time"

	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// A job is idle while a task's turn has come and none of its tasks has a run. While the
// pool is roomy, it does not wait for good conditions for long.

const (
	// maxIdleWait is how long an idle job may wait for better conditions. It is a third
	// of the time for which a job may be idle beside free room, because other waits may
	// come before and after.
	maxIdleWait = time.Second
	// roomyShare is the share of a pool's processors and memory below which it is roomy. It
	// is more than the half from which a job may be idle, because runs end and VMs leave
	// before the planner learns of it.
	roomyShare = 0.6
	// maxIdleOvercommit is maxOvercommit for the first filler of an idle job, once no job
	// has come for maxArrivalGap. While jobs come, the processors that fillers use count
	// as taken: those that can be in time would be slowed by all that cannot.
	maxIdleOvercommit = 2.0
	maxArrivalGap     = 10 * time.Second
	// maxIdleLines bounds the lines about idle jobs between two lines about the load.
	maxIdleLines = 5
)

// noteIdle keeps since when a job has been idle. waits says that a task's turn has come.
func (j *job) noteIdle(waits bool, now time.Time) {
	j.takesAnyRoom, j.overcommits = false, false
	switch {
	case !waits || j.running > 0:
		j.idleSince, j.idleLogged = time.Time{}, false
	case j.idleSince.IsZero():
		j.idleSince = now
	}
}

// idleTooLong reports whether a job has been idle for longer than it may wait for better
// conditions.
func (j *job) idleTooLong(now time.Time) bool {
	return !j.idleSince.IsZero() && now.Sub(j.idleSince) >= maxIdleWait && j.running == 0
}

// markIdle finds the jobs whose next task starts as a last resort, a filler at any cost:
// those that are idle for too long in a roomy pool.
func (pl *Planner) markIdle(candidates []candidate, now time.Time) {
	if !pl.Settings.Gates.On(gatekeeper.Lastresort) {
		return
	}
	roomy := map[string]bool{}
	for i := range candidates {
		s := candidates[i].step
		s.noteAway(now)
		if !s.job.idleTooLong(now) {
			continue
		}
		pool := s.job.record.Queue.Pool
		if _, known := roomy[pool]; !known {
			roomy[pool] = pl.roomy(pool, now)
		}
		s.job.takesAnyRoom = roomy[pool]
		s.job.overcommits = roomy[pool] && now.Sub(pl.lastArrivals[pool]) >= maxArrivalGap
	}
}

// noteAway keeps since when a task that lasts has been away. Each of them must come back
// soon, whether others of its step run or not.
func (s *step) noteAway(now time.Time) {
	switch {
	case !s.spec.LongRunning || s.waitingAgain() == 0:
		s.awaySince = time.Time{}
	case s.awaySince.IsZero():
		s.awaySince = now
	}
}

// noteArrival notes when the last job of a pool was added. A new leader knows that of the
// jobs that are left.
func (pl *Planner) noteArrival(pool string, at time.Time) {
	if at.After(pl.lastArrivals[pool]) {
		pl.lastArrivals[pool] = at
	}
}

// roomy reports whether little of a pool is reserved. The processors of fillers are not.
func (pl *Planner) roomy(pool string, now time.Time) bool {
	var reserved, capacity work.Size
	for _, v := range pl.sortedVMs {
		if reason := v.whyUnusable(now); v.workerStatus.Pool == pool && (reason == "" || reason == Suspect) {
			reserved.Millicores += v.reserved.Millicores
			reserved.Memory += v.reserved.Memory
			capacity.Millicores += v.workerStatus.Capacity.Millicores
			capacity.Memory += v.workerStatus.Capacity.Memory
		}
	}
	return float64(reserved.Millicores) < roomyShare*float64(capacity.Millicores) && float64(reserved.Memory) < roomyShare*float64(capacity.Memory)
}

// whyNoRoom returns what the VM lacks for a task of a step now.
func (v *vm) whyNoRoom(s *step) Reason {
	reason := v.whyTooSmall(s.spec)
	reservedFits := v.reserved.Millicores <= v.workerStatus.Capacity.Millicores
	if reason == NoProcessors && reservedFits && s.spec.Filler && s.job.overcommits && v.useWith(s.spec) <= maxIdleOvercommit {
		return ""
	}
	return reason
}

// useWith returns the processor use expected with one more filler, as a multiple of the
// VM's capacity.
func (v *vm) useWith(spec *work.Step) float64 {
	return float64(v.expectedUse()+v.fillerUse()+spec.Size.Millicores) / float64(max(v.workerStatus.Capacity.Millicores, 1))
}

// mayTryAnyway reports whether a suspect VM gets a further task as a last resort, although
// the run that is to show whether it works has not ended: that may take long.
func (v *vm) mayTryAnyway(s *step, now time.Time) bool {
	away := !s.awaySince.IsZero() && now.Sub(s.awaySince) >= maxIdleWait
	if !s.job.takesAnyRoom && !away || v.health.Paused(now) {
		return false
	}
	for _, p := range v.runs {
		if v.probes(p) && now.Sub(p.placedAt) < maxIdleWait {
			return false
		}
	}
	return true
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
