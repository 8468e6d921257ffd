package planner

import (
	"time"

	"knapweedspur/internal/job/roomkeeper"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// observeShortWork adds the work of a new job to the demand in its pool, but for
// steps that are too large for any VM.
func (pl *Planner) observeShortWork(job *work.Job, now time.Time) {
	largest := 0
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool == job.Queue.Pool {
			largest = max(largest, v.workerStatus.Capacity.Millicores)
		}
	}
	for i := range job.Steps {
		if spec := &job.Steps[i]; !spec.LongRunning && !spec.Filler && spec.Size.Millicores <= largest {
			pl.poolShortWork(job.Queue.Pool).Observe(spec, now)
		}
	}
}

func (pl *Planner) poolShortWork(pool string) *roomkeeper.Demand {
	if pl.shortWork[pool] == nil {
		pl.shortWork[pool] = roomkeeper.NewDemand(pl.termStart)
	}
	return pl.shortWork[pool]
}

// reservesForLong reports whether the tasks of a step reserve processors for far
// longer than a short job takes.
func reservesForLong(spec *work.Step) bool { return spec.LongRunning && !spec.Filler }

// markCrowdedPools finds the pools in which all long-running tasks, those that wait
// included, would not leave enough to short jobs.
func (pl *Planner) markCrowdedPools(candidates []candidate, now time.Time) {
	pl.crowdedPools = map[string]bool{}
	if !pl.Settings.Gates.On(gatekeeper.Gaps) {
		return
	}
	waiting := map[string]int{}
	for i := range candidates {
		if s := candidates[i].step; reservesForLong(s.spec) {
			waiting[s.job.record.Queue.Pool] += s.waiting * s.spec.Size.Millicores
		}
	}
	for pool, millicores := range waiting {
		pl.crowdedPools[pool] = !pl.leavesRoom(pool, millicores, now)
	}
}

// leavesRoom reports whether further long-running tasks of the given size would
// leave enough of a pool to short jobs. The gaps may be on any VMs of the pool: the
// same share of each VM would cost the long-running tasks far more, since they are
// large.
func (pl *Planner) leavesRoom(pool string, millicores int, now time.Time) bool {
	capacity, reserved := 0, millicores
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool == pool && v.usable(now) && !pl.evacuated(v) {
			capacity += v.workerStatus.Capacity.Millicores
			reserved += min(v.longRunningMillicores, v.workerStatus.Capacity.Millicores)
		}
	}
	share := pl.poolShortWork(pool).KeptShare(capacity, now)
	return float64(reserved) <= (1-share)*float64(capacity)
}

// mayWait reports whether a task of a long-running step may wait for short jobs. One
// that was at work, and the first of its step, may not.
func mayWait(s *step, t *work.Task) bool { return t.LastRun == 0 && s.running > 0 }

// fitsTwice reports whether the VM has room for two tasks of a step. One of them
// is then placed in any case.
func (v *vm) fitsTwice(spec *work.Step) bool {
	twice := *spec
	twice.Size = work.Size{Millicores: 2 * spec.Size.Millicores, Memory: 2 * spec.Size.Memory, Accelerators: 2 * spec.Size.Accelerators}
	return v.fits(&twice)
}
