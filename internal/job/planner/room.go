package planner

import (
	"math"
	"time"

	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// Long-running tasks reserve processors for far longer than short jobs have time
// to wait. Where clients ask for more long-running tasks than fit, those that
// arrive first would reserve every VM in full, and short jobs would miss their
// objectives. So a share of the processors is kept free of long-running tasks, as
// large as the short jobs that arrive need.

const (
	// shortWorkWindow is the time constant over which the demand of short jobs is
	// averaged.
	shortWorkWindow = 20 * time.Second
	// initialShortShare is the demand of short jobs, as a share of the processors,
	// that a leader assumes at first. The assumption fades with shortWorkWindow.
	initialShortShare = 0.08
	// roomFactor is how many times the mean demand of short jobs is kept free,
	// because they arrive in bursts and do not fill gaps exactly.
	roomFactor = 2.0
	// minKeptShare is the share below which no room is kept, maxKeptShare the most
	// that is kept.
	minKeptShare, maxKeptShare = 0.01, 0.25
)

// shortWork averages the demand of jobs whose steps reserve processors for a
// short time.
type shortWork struct {
	startedAt time.Time
	// millicores is the mean demand of the jobs seen so far at updatedAt.
	millicores float64
	updatedAt  time.Time
}

// observe adds the work of a step. It counts for no more than all its tasks at once.
func (w *shortWork) observe(spec *work.Step, now time.Time) {
	w.millicores = w.observed(now)
	w.updatedAt = now
	duration := min(spec.EstimatedDuration, shortWorkWindow)
	w.millicores += float64(spec.Tasks*spec.Size.Millicores) * duration.Seconds() / shortWorkWindow.Seconds()
}

func (w *shortWork) observed(now time.Time) float64 {
	return w.millicores * decay(now.Sub(w.updatedAt))
}

// keptShare returns the share of the processors to keep free of long-running
// tasks, given those of all VMs in millicores.
func (w *shortWork) keptShare(capacity int, now time.Time) float64 {
	demand := w.observed(now)/float64(max(capacity, 1)) + initialShortShare*decay(now.Sub(w.startedAt))
	share := roomFactor * demand
	if share < minKeptShare {
		return 0
	}
	return min(share, maxKeptShare)
}

func decay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / shortWorkWindow.Seconds())
}

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
			pl.poolShortWork(job.Queue.Pool).observe(spec, now)
		}
	}
}

func (pl *Planner) poolShortWork(pool string) *shortWork {
	w := pl.shortWork[pool]
	if w == nil {
		w = &shortWork{startedAt: pl.termStart, updatedAt: pl.termStart}
		pl.shortWork[pool] = w
	}
	return w
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
	share := pl.poolShortWork(pool).keptShare(capacity, now)
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
