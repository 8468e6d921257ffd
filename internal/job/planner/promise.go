package planner

import (
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/job/reserver"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

const (
	// promiseInterval is the interval at which promises are renewed: that of most
	// reports.
	promiseInterval = 100 * time.Millisecond
	// maxDemands bounds the steps of a pool to which room is promised.
	maxDemands = 16
	// maxDemandChecks bounds the steps that are considered for a promise in a pass, or for
	// which others give way.
	maxDemandChecks = 512
	// maxHeldBack is how long a promise may hold back a step that fits nowhere else.
	// It is a third of the time for which a job may have nothing running although
	// there is room.
	maxHeldBack = time.Second
	// stopTime is how long a run takes to end after its stop was sent.
	stopTime = 200 * time.Millisecond
	// durationMargin is the factor by which a task that starts beside a promise may
	// take longer than expected without delaying it.
	durationMargin = 1.25
	// overrunShare is the share of its time so far that a run which takes longer than
	// expected is expected to go on.
	overrunShare = 0.25
	// minLarge is how many times the mean size of the tasks that run and end a task
	// must have to be promised room. Smaller ones find room where one of those ends.
	minLarge = 1.5
	// minProgress is the least progress, in percent, from which the end of a run is
	// estimated.
	minProgress = 5
)

// promises holds the promises by pool, and the steps that they hold back.
type promises struct {
	byPool    map[string]*reserver.Reserver
	renewedAt time.Time
	heldBack  map[*step]heldBack
	// count counts the decisions since the last line about the load.
	count promiseCount
}

type promiseCount struct{ given, kept, heldBack int }

// heldBack is how a promise holds back a step.
type heldBack struct {
	since  time.Time
	logged bool
	// vm and holder are those of the last promise that did.
	vm, holder string
}

// keepsPromises reports whether the start of a task leaves the room promised on a VM.
// A step that was held back for maxHeldBack may start in any case.
func (pl *Planner) keepsPromises(v *vm, s *step, now time.Time) bool {
	p := pl.promiseAgainst(v, s, now)
	if p == nil {
		return true
	}
	h, ok := pl.promises.heldBack[s]
	if !ok {
		h.since = now
	}
	h.vm, h.holder = v.name, p.Demand
	pl.promises.heldBack[s] = h
	return now.Sub(h.since) >= maxHeldBack
}

// promiseAgainst returns the promise on a VM whose room the start of a task would take,
// or nil.
func (pl *Planner) promiseAgainst(v *vm, s *step, now time.Time) *reserver.Promise {
	r := pl.promises.byPool[v.workerStatus.Pool]
	if r == nil {
		return nil
	}
	p := r.On(v.name)
	if p == nil || !p.Binds(rankOf(s)) || p.Demand == s.policyName() || p.Allows(reservedSize(s.spec), pl.cautiousDuration(s), now) {
		return nil
	}
	return p
}

// rankOf returns the rank of the tasks of a step: the order in which steps are placed,
// without their deadlines. Those of small jobs are always nearer.
func rankOf(s *step) reserver.Rank {
	r := reserver.Rank{Class: 1, Priority: s.job.record.Queue.Priority}
	switch {
	case s.spec.LatencyTarget > 0:
		r.Class = 0
	case s.spec.Filler:
		r.Class = 2
	}
	return r
}

// reservedSize returns what a task of a step reserves.
func reservedSize(spec *work.Step) work.Size {
	size := spec.Size
	if spec.Filler {
		size.Millicores = 0
	}
	return size
}

// timeToEnd returns how long a task of a step is expected to take, 0 if it does not
// end by itself.
func (pl *Planner) timeToEnd(s *step) time.Duration {
	if s.spec.LongRunning {
		return 0
	}
	return pl.expectedDuration(s)
}

func (pl *Planner) cautiousDuration(s *step) time.Duration {
	return time.Duration(durationMargin * float64(pl.timeToEnd(s)))
}

// expectedEnd returns when a run is expected to end, and false if it does not end by
// itself.
func (pl *Planner) expectedEnd(p *placement, now time.Time) (time.Time, bool) {
	t := &p.step.tasks[p.index]
	if i := runIndex(t, p.run); i >= 0 && t.Runs[i].StopReason != "" {
		return now.Add(stopTime), true
	}
	duration := pl.timeToEnd(p.step)
	if duration == 0 {
		return time.Time{}, false
	}
	if done := p.progressPercent - p.firstPercent; p.active && done >= minProgress {
		rest := float64(max(fullProgress-p.progressPercent, 0)) / float64(done)
		return now.Add(time.Duration(rest * float64(now.Sub(p.firstSeen)))), true
	}
	if end := p.placedAt.Add(duration); end.After(now) {
		return end, true
	}
	return now.Add(time.Duration(overrunShare * float64(now.Sub(p.placedAt)))), true
}

// renewPromises adapts the promises to the steps that are left waiting by a pass.
func (pl *Planner) renewPromises(candidates []candidate, now time.Time) {
	if !pl.Settings.Gates.On(gatekeeper.Promises) || now.Sub(pl.promises.renewedAt) < promiseInterval {
		return
	}
	pl.promises.renewedAt = now
	pl.logHeldBack(now)
	demands := map[string][]reserver.Demand{}
	checks := 0
	for i := range candidates {
		s := candidates[i].step
		pool := s.job.record.Queue.Pool
		if checks >= maxDemandChecks {
			break
		}
		if s.waiting == 0 || s.spec.Filler || len(demands[pool]) >= maxDemands {
			continue
		}
		checks++
		if d := pl.demand(s, now); d.Tasks > 0 {
			demands[pool] = append(demands[pool], d)
		}
	}
	for pool := range demands {
		pl.reserverOf(pool)
	}
	for pool, r := range pl.promises.byPool {
		vms, mean := pl.reservableVMs(pool, now)
		large := slices.DeleteFunc(demands[pool], func(d reserver.Demand) bool { return !isLarge(&d, mean) && !r.Holds(d.ID) })
		if len(large) == 0 {
			delete(pl.promises.byPool, pool)
			continue
		}
		for _, p := range r.Renew(vms, large, now) {
			pl.promises.count.given++
			pl.logDecision("promise", "job", jobOf(p.Demand), "step", p.Demand, "vm", p.VM, "tasks", p.Tasks, "starts_in", p.Start.Sub(now), "held_for", now.Sub(p.GivenAt),
				"millis", p.Size.Millicores, "memory", p.Size.Memory)
		}
	}
}

// jobOf returns the job of a step with the given name.
func jobOf(step string) string {
	job, _, _ := strings.Cut(step, ".")
	return job
}

// demand returns the tasks of a step that wait because they fit on no VM. It has no
// tasks if they fit somewhere or wait for another reason.
func (pl *Planner) demand(s *step, now time.Time) reserver.Demand {
	d := reserver.Demand{ID: s.policyName(), Rank: rankOf(s), Size: reservedSize(s.spec), Tasks: pl.tasksForRoom(s, now), Gang: s.spec.Gang}
	if d.Tasks == 0 || !s.spec.Gang && pl.fitsSomewhere(s, now) {
		d.Tasks = 0
		return d
	}
	d.MayRun = func(name string) int {
		v := pl.vms[name]
		if !pl.mayHost(v, s, now) {
			return 0
		}
		if s.spec.MaxPerVM > 0 {
			return max(0, s.spec.MaxPerVM-v.countRuns(s))
		}
		return len(s.tasks)
	}
	return d
}

// tasksForRoom returns how many tasks of a step would start if there were room. The
// others wait for a doubtful task or, in a crowded pool, for short jobs. Fillers get no promises: they take what
// others leave, so no room is kept idle for them.
func (pl *Planner) tasksForRoom(s *step, now time.Time) int {
	pool := s.job.record.Queue.Pool
	if s.spec.Filler || s.spec.Gang && s.waiting < len(s.tasks) {
		return 0
	}
	if pl.heldBack(s, &work.Task{}, now) {
		return s.waitingAgain()
	}
	if !reservesForLong(s.spec) || !pl.crowdedPools[pool] || pl.leavesRoom(pool, s.waiting*s.spec.Size.Millicores, now) {
		return s.waiting
	}
	count := s.waitingAgain()
	if s.running == 0 || pl.leavesRoom(pool, s.spec.Size.Millicores, now) {
		count = max(count, 1)
	}
	return count
}

// waitingAgain counts the waiting tasks that have run before.
func (s *step) waitingAgain() int {
	count := 0
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.Done && len(t.Runs) == 0 && t.LastRun > 0 {
			count++
		}
	}
	return count
}

// fitsSomewhere reports whether a task of the step could start on a VM but for
// promises. Without a ticket it can not; the promise keeps the room until that comes.
func (pl *Planner) fitsSomewhere(s *step, now time.Time) bool {
	return slices.ContainsFunc(pl.sortedVMs, func(v *vm) bool {
		return v.workerStatus.Pool == s.job.record.Queue.Pool && v.usable(now) && v.fits(s.spec) && pl.mayHost(v, s, now) && s.mayRunOn(v, now)
	})
}

// mayHost reports whether a VM may run a task of a step once it has the room that the
// task reserves.
func (pl *Planner) mayHost(v *vm, s *step, now time.Time) bool {
	if pl.evacuated(v) || s.spec.Label != "" && !slices.Contains(v.workerStatus.Labels, s.spec.Label) || s.spec.MaxPerVM > 0 && v.countRuns(s) >= s.spec.MaxPerVM {
		return false
	}
	return !s.denied(v) || !s.answered(v, now)
}

// isLarge reports whether a demand is large beside tasks of the given mean size.
func isLarge(d *reserver.Demand, mean work.Size) bool {
	return d.Gang || float64(d.Size.Millicores) > minLarge*float64(mean.Millicores) || float64(d.Size.Memory) > minLarge*float64(mean.Memory) ||
		float64(d.Size.Accelerators) > minLarge*float64(mean.Accelerators)
}

// reservableVMs returns the VMs of a pool that may get work, with what is expected to
// be released there, and the mean size of the tasks that run there and end.
func (pl *Planner) reservableVMs(pool string, now time.Time) (vms []reserver.VM, mean work.Size) {
	count := 0
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool != pool || !v.usable(now) || pl.evacuated(v) {
			continue
		}
		r := reserver.VM{Name: v.name, Capacity: v.workerStatus.Capacity, Used: v.reserved}
		for _, p := range v.runs {
			end, ends := pl.expectedEnd(p, now)
			if !ends {
				continue
			}
			size := reservedSize(p.step.spec)
			r.Taken = r.Taken || p.promised
			count++
			mean.Millicores += size.Millicores
			mean.Memory += size.Memory
			mean.Accelerators += size.Accelerators
			if !end.After(now.Add(reserver.Horizon)) {
				r.Releases = append(r.Releases, reserver.Release{At: end, Size: size})
			}
		}
		vms = append(vms, r)
	}
	count = max(count, 1)
	return vms, work.Size{Millicores: mean.Millicores / count, Memory: mean.Memory / count, Accelerators: mean.Accelerators / count}
}

// notePromiseKept ends the promise on a VM if the step that started there holds it, and
// the time for which the step was held back.
func (pl *Planner) notePromiseKept(started *placement, now time.Time) {
	s, v := started.step, started.vm
	if !s.spec.LongRunning {
		// The next task waits anew for promised room. Those of a long-running step may
		// not: none of them may be away for long.
		delete(pl.promises.heldBack, s)
	}
	r := pl.promises.byPool[v.workerStatus.Pool]
	if r == nil || r.On(v.name) == nil {
		return
	}
	if p := r.Started(v.name, s.policyName(), reservedSize(s.spec), pl.cautiousDuration(s), now); p != nil {
		pl.promises.count.kept++
		started.promised = true
		pl.logDecision("promise kept", "job", s.job.id, "step", p.Demand, "vm", v.name, "after", now.Sub(p.GivenAt), "late", now.Sub(p.FirstStart))
	}
}

// logHeldBack logs, once for each, the steps that a promise holds back.
func (pl *Planner) logHeldBack(now time.Time) {
	for s, h := range pl.promises.heldBack {
		switch {
		case s.waiting == 0 || s.job.outcome != nil:
			delete(pl.promises.heldBack, s)
		case !h.logged:
			h.logged = true
			pl.promises.heldBack[s] = h
			pl.promises.count.heldBack++
			pl.logDecision("kept for", "job", s.job.id, "step", s.policyName(), "vm", h.vm, "holder", h.holder, "held_for", now.Sub(h.since))
		}
	}
}
