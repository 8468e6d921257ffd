package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/copier"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// Copies: a task of a step that allows them gets a second run on another VM while the
// first is far slower than expected (docs/design/copies.md).

const (
	// copyInterval is the interval at which runs are considered for a copy. Their
	// progress is reported every 250 ms.
	copyInterval = 100 * time.Millisecond
	// maxCopyChecks bounds the runs for which a VM is looked for at a time.
	maxCopyChecks = 64
	// maxEndedTimes bounds the ended runs of a step whose times are kept.
	maxEndedTimes = 64
)

// mayCopy reports whether tasks of the step may have copies. Of a task that writes
// checkpoints only one run may write them.
func (s *step) mayCopy() bool {
	return s.spec.Speculative && s.showsSpeed() && !s.spec.Checkpoints
}

// lateRun is a run with the copy that it may get.
type lateRun struct {
	placement *placement
	copy      copier.Copy
}

// startCopies starts copies of the runs that gain the most, while none of the work
// that the pool could run waits.
func (pl *Planner) startCopies(now time.Time) {
	if !pl.Settings.Gates.On(gatekeeper.Copies) || now.Sub(pl.lastCopyCheck) < copyInterval {
		return
	}
	pl.lastCopyCheck = now
	late, pending := pl.lateRuns(now)
	if len(late) == 0 {
		return
	}
	slices.SortFunc(late, func(a, b lateRun) int {
		return cmp.Or(cmp.Compare(b.copy.Gain(), a.copy.Gain()), cmp.Compare(a.placement.step.taskName(a.placement.index), b.placement.step.taskName(b.placement.index)))
	})
	busy := pl.poolsWithWaitingWork()
	for i := range late[:min(len(late), maxCopyChecks)] {
		p, c := late[i].placement, &late[i].copy
		s := p.step
		if busy[s.job.record.Queue.Pool] {
			continue
		}
		v := pl.chooseCopyVM(p, now)
		if v == nil || !pl.copyBudget.Allows(c, pending, now) {
			continue
		}
		pending += c.Waste
		run := s.tasks[p.index].LastRun + 1
		pl.startRun(s, p.index, v, run, now)
		second := v.runs[runKey{s.taskName(p.index), run}]
		second.copies, second.copyCause, second.copyWaste = p.run, c.Cause, c.Waste
		pl.counters.Copies++
		pl.logDecision("copy", "task", s.taskName(p.index), "run", run, "vm", v.name, "first", p.run, "on", p.vm.name, "cause", string(c.Cause),
			"percent", p.progressPercent, "rest", c.Rest, "again", c.Again)
	}
}

// lateRuns returns the runs for which a copy would be worth it, and the work that the
// copies that run may still waste.
func (pl *Planner) lateRuns(now time.Time) (late []lateRun, pending float64) {
	for _, v := range pl.sortedVMs {
		for _, p := range v.runs {
			if !p.step.mayCopy() {
				continue
			}
			pending += p.copyWaste
			if !pl.copyable(p, now) {
				continue
			}
			s := p.step
			median, ended := s.medianTime()
			run := copier.Run{
				Elapsed: now.Sub(p.placedAt), Percent: p.progressPercent, Rate: p.rate, Speed: v.health.Speed(now),
				Median: median, Ended: ended, Cores: cores(s.spec),
			}
			if c, worth := copier.Consider(&run); worth {
				late = append(late, lateRun{p, c})
			}
		}
	}
	return late, pending
}

func cores(spec *work.Step) float64 { return float64(spec.Size.Millicores) / 1000 }

// copyable reports whether a run may get a copy: it is the only one of its task, its
// VM is heard, and both may fail without the task having failed too often.
func (pl *Planner) copyable(p *placement, now time.Time) bool {
	t, j := &p.step.tasks[p.index], p.step.job
	return j.outcome == nil && !t.Done && !isSuspect(t) && len(t.Runs) == 1 && t.Runs[0].Run == p.run && t.Runs[0].StopReason == "" &&
		t.Failures+2 <= j.record.Queue.MaxFailures && p.active && p.vm.heard(now)
}

// poolsWithWaitingWork returns the pools in which tasks wait for room that a copy
// would take. Fillers reserve no processors, and in a crowded pool long-running tasks
// wait for the sake of short jobs.
func (pl *Planner) poolsWithWaitingWork() map[string]bool {
	busy := map[string]bool{}
	for _, j := range pl.jobs {
		if j.outcome != nil || j.record == nil {
			continue
		}
		pool := j.record.Queue.Pool
		busy[pool] = busy[pool] || slices.ContainsFunc(j.ready, func(s *step) bool { return !s.spec.Filler && (!s.spec.LongRunning || !pl.crowdedPools[pool]) })
	}
	return busy
}

// chooseCopyVM returns the VM for a copy, nil if no sound one has room for it and for
// another task like it.
func (pl *Planner) chooseCopyVM(p *placement, now time.Time) *vm {
	s := p.step
	t := &s.tasks[p.index]
	var best *vm
	var bestCost float64
	for _, v := range pl.sortedVMs {
		if v == p.vm || v.health.OnProbation() != "" || v.health.Suspect() || slices.Contains(t.ExcludedVMs, v.name) || !pl.suitable(v, s, now) || !v.fitsTwice(s.spec) {
			continue
		}
		if cost := pl.cost(v, s, t, now); best == nil || cost < bestCost {
			best, bestCost = v, cost
		}
	}
	return best
}

// settleEnd accounts for the end of a run: the work that is done, and that which is
// thrown away because the task had a copy.
func (pl *Planner) settleEnd(s *step, index int, p *placement, e *work.RunEnd, now time.Time) {
	if p == nil || s.spec.LongRunning {
		return
	}
	spent := func(p *placement) float64 { return cores(s.spec) * now.Sub(p.placedAt).Seconds() }
	switch {
	case e.Outcome != endDone:
		if p.copies > 0 {
			pl.copyBudget.Waste(spent(p), now)
		}
		return
	case s.tasks[index].Done:
		return
	}
	pl.copyBudget.Serve(spent(p), now)
	s.noteTime(now.Sub(p.placedAt))
	if p.copies > 0 {
		pl.copyBudget.Settle(p.copyCause, true)
		pl.counters.CopiesWon++
	}
	for _, r := range s.tasks[index].Runs {
		if other := pl.ensureVM(r.VM).runs[runKey{s.taskName(index), r.Run}]; other != nil && r.StopReason == "" {
			pl.copyBudget.Waste(spent(other), now)
			if other.copies > 0 {
				pl.copyBudget.Settle(other.copyCause, false)
			}
			// What it wastes is known now.
			other.copies, other.copyWaste = 0, 0
		}
	}
}

// noteTime keeps the time of an ended run of the step.
func (s *step) noteTime(d time.Duration) {
	s.endedTimes = append(s.endedTimes, d)
	s.endedTimes = s.endedTimes[max(len(s.endedTimes)-maxEndedTimes, 0):]
}

// medianTime returns the median time of the ended runs of the step that are kept, and
// their number.
func (s *step) medianTime() (time.Duration, int) {
	if len(s.endedTimes) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(s.endedTimes))
	return sorted[len(sorted)/2], len(sorted)
}
