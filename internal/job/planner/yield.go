package planner

import (
	"time"

	"knapweedspur/internal/job/reserver"
	"knapweedspur/internal/job/yielder"
	"knapweedspur/internal/setting/gatekeeper"
)

const (
	// yieldPatience is how long a task waits before others give way to it, and how soon
	// promised room must come for it to wait for that instead. A run that gives way
	// costs about as much.
	yieldPatience = time.Second
	// yieldInterval is the interval at which runs are chosen: by then the ends of those
	// chosen before are known.
	yieldInterval = 500 * time.Millisecond
	// maxYieldsPerPass bounds the tasks for which room is made in one pass, so that later
	// decisions see where those that gave way went.
	maxYieldsPerPass = 4
)

// yield stops runs of less urgent queues for tasks that fit on no VM, the most urgent
// first. Where all queues are equally urgent it does nothing.
func (pl *Planner) yield(candidates []candidate, now time.Time) {
	if now.Sub(pl.lastYield) < yieldInterval {
		return
	}
	pl.lastYield = now
	left, leastUrgent := maxYieldsPerPass, pl.leastUrgentRuns()
	for i := range candidates[:min(len(candidates), maxDemandChecks)] {
		if left <= 0 {
			return
		}
		if s := candidates[i].step; s.waiting > 0 && !s.spec.Filler && leastUrgent[s.job.record.Queue.Pool] > s.job.record.Queue.Priority {
			left -= pl.yieldToStep(s, min(left, pl.waitForOthers(s, now)), now)
		}
	}
}

// yieldToStep makes room for tasks of a step, at most limit, and returns for how many
// it did.
func (pl *Planner) yieldToStep(s *step, limit int, now time.Time) int {
	for n := range limit {
		if !pl.yieldTo(s, pl.yieldingVMs(s.job.record.Queue.Pool, now), now) {
			return n
		}
	}
	return limit
}

// leastUrgentRuns returns the priority of the least urgent queue with runs, by pool.
func (pl *Planner) leastUrgentRuns() map[string]int {
	priorities := map[string]int{}
	for _, j := range pl.jobs {
		if j.record == nil || j.outcome != nil || j.record.Queue.Priority <= priorities[j.record.Queue.Pool] {
			continue
		}
		if j.running > 0 {
			priorities[j.record.Queue.Pool] = j.record.Queue.Priority
		}
	}
	return priorities
}

// waitForOthers returns how many tasks of a step wait because they fit on no VM, have
// waited, and will not have promised room soon.
func (pl *Planner) waitForOthers(s *step, now time.Time) int {
	tasks := pl.tasksForRoom(s, now)
	if s.spec.Gang || tasks == 0 || pl.fitsSomewhere(s, now) {
		s.noRoomSince = time.Time{}
		return 0
	}
	if s.noRoomSince.IsZero() {
		s.noRoomSince = now
	}
	if now.Sub(s.noRoomSince) < yieldPatience {
		return 0
	}
	if r := pl.promises.byPool[s.job.record.Queue.Pool]; r != nil {
		tasks -= r.Due(s.policyName(), now.Add(yieldPatience))
	}
	return max(tasks, 0)
}

// yieldTo stops runs for a task of a step and keeps their room for it, and reports
// whether there were any.
func (pl *Planner) yieldTo(s *step, vms []yielder.VM, now time.Time) bool {
	r := pl.reserverOf(s.job.record.Queue.Pool)
	var hosts []yielder.VM
	for i := range vms {
		p := r.On(vms[i].Name)
		kept := p != nil && p.Binds(rankOf(s)) && (p.Demand != s.policyName() || !p.Start.After(now.Add(yieldPatience)))
		if v := pl.vms[vms[i].Name]; !kept && pl.mayHost(v, s, now) && v.mayTry(s, now) {
			hosts = append(hosts, vms[i])
		}
	}
	choice, ok := yielder.Choose(hosts, yielder.Demand{Priority: s.job.record.Queue.Priority, Size: reservedSize(s.spec)})
	if !ok {
		return false
	}
	if pl.Settings.Gates.On(gatekeeper.Promises) {
		r.Keep(choice.VM, s.policyName(), rankOf(s), reservedSize(s.spec), now.Add(stopTime), now)
	}
	pl.yields += len(choice.Runs)
	for i := range choice.Runs {
		r := &choice.Runs[i]
		victim, index := pl.findTask(r.Task)
		t := &victim.tasks[index]
		t.Yields++
		pl.logDecision("gave way", "task", r.Task, "run", r.Run, "vm", choice.VM, "to", s.policyName(), "lost", r.Lost, "percent", r.Percent, "yields", t.Yields)
		pl.stopRun(victim, index, runIndex(t, r.Run), "gave way", now)
	}
	return true
}

// yieldingVMs returns the VMs of a pool with the runs that may have to give way.
func (pl *Planner) yieldingVMs(pool string, now time.Time) []yielder.VM {
	var vms []yielder.VM
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool != pool || !v.usable(now) {
			continue
		}
		y := yielder.VM{Name: v.name, Capacity: v.workerStatus.Capacity, Used: v.reserved}
		for key, p := range v.runs {
			t := &p.step.tasks[p.index]
			i := runIndex(t, p.run)
			if i < 0 || t.Done {
				continue
			}
			y.Runs = append(y.Runs, yielder.Run{
				Task: key.task, Run: key.run, Size: reservedSize(p.step.spec), Priority: p.step.job.record.Queue.Priority,
				Filler: p.step.spec.Filler, LongRunning: p.step.spec.LongRunning, Gang: p.step.spec.Gang, Saves: p.step.spec.Checkpoints,
				Stopping: t.Runs[i].StopReason != "", Percent: p.progressPercent, Lost: p.unsaved(now), Yields: t.Yields,
			})
		}
		vms = append(vms, y)
	}
	return vms
}

// unsaved returns the time of work of a run that no checkpoint in the log holds.
func (p *placement) unsaved(now time.Time) time.Duration {
	if !p.step.spec.Checkpoints {
		return now.Sub(p.placedAt)
	}
	return now.Sub(p.checkpointWrittenAt)
}

// reserverOf returns the reserver of a pool.
func (pl *Planner) reserverOf(pool string) *reserver.Reserver {
	if pl.promises.byPool[pool] == nil {
		pl.promises.byPool[pool] = reserver.New()
	}
	return pl.promises.byPool[pool]
}
