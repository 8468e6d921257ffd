package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/job/quarantiner"
	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// Crashes of workers: agents report which runs were lost with a worker process, and the
// quarantiner judges them (docs/design/crashes.md).

// crashMemory is how long a crash is kept: agents report it for 10 s.
const crashMemory = 30 * time.Second

// crash is the end of a worker process that had not announced it.
type crash struct {
	vm                string
	workerIncarnation int64
	at                time.Time
	// ranFor holds how long the runs that began last had run.
	ranFor map[runKey]time.Duration
	judged bool
	// inQuarantine is set if the worker ran a suspect in quarantine, explained once the
	// culprit is known, unclear if it may be a task whose job has ended meanwhile.
	inQuarantine, explained, unclear bool
	// suspects are the tasks that became suspects by it, beside those for which it only
	// counts.
	suspects, beside []taskRef
}

// taskRef identifies a task of a step.
type taskRef struct {
	step  *step
	index int
}

func (r taskRef) task() *work.Task { return &r.step.tasks[r.index] }

// suspicion is what is known of a suspect beyond its history in the log.
type suspicion struct {
	// crash is the one that made the task a suspect, nil if an earlier leader judged it.
	crash *crash
	// ranFor is how long its run had run then. The less, the more likely is the task
	// the cause.
	ranFor time.Duration
}

// crashes holds the crashes of workers and the tasks that may have caused them.
type crashes struct {
	list     []*crash
	suspects map[taskRef]suspicion
}

// noteCrash records a crash that an agent reports. Agents repeat it.
func (pl *Planner) noteCrash(c *work.WorkerCrash, now time.Time) {
	known := c == nil || !pl.Settings.Gates.On(gatekeeper.Quarantine) || pl.vms[c.VM] == nil || slices.ContainsFunc(pl.crashes.list, func(o *crash) bool { return o.vm == c.VM && o.workerIncarnation == c.WorkerIncarnation })
	if known {
		return
	}
	noted := &crash{vm: c.VM, workerIncarnation: c.WorkerIncarnation, at: now.Add(-c.Ago), ranFor: map[runKey]time.Duration{}}
	for _, r := range c.Runs {
		noted.ranFor[runKey{r.Task, r.Run}] = r.RanFor
	}
	pl.crashes.list = append(pl.crashes.list, noted)
	for key, p := range pl.vms[c.VM].runs {
		_, began := noted.ranFor[key]
		noted.inQuarantine = noted.inQuarantine || began && p.quarantined
	}
	pl.counters.Crashes++
	pl.logDecision("worker crashed", "vm", c.VM, "born", c.WorkerIncarnation, "ago", c.Ago, "began_last", len(c.Runs), "runs", len(pl.vms[c.VM].runs), "in_quarantine", noted.inQuarantine)
}

// withdrawCrash forgets a crash whose worker process answers its agent again.
func (pl *Planner) withdrawCrash(v *vm, r *work.Report) {
	if r.Crash != nil || r.WorkerDown || r.WorkerSilence > 0 {
		return
	}
	pl.crashes.list = slices.DeleteFunc(pl.crashes.list, func(c *crash) bool {
		return !c.judged && c.vm == v.name && c.workerIncarnation == r.WorkerStatus.Incarnation
	})
}

// judgeCrashes judges the crashes that have settled. Agents reach a new leader one after the
// other.
func (pl *Planner) judgeCrashes(now time.Time) {
	for _, c := range pl.crashes.list {
		if now.Sub(c.at) >= quarantiner.SettleTime && now.Sub(pl.termStart) >= quarantiner.SettleTime {
			pl.judgeCrash(c, now)
		}
	}
	pl.crashes.list = slices.DeleteFunc(pl.crashes.list, func(c *crash) bool { return now.Sub(c.at) > crashMemory })
}

// judgeCrashOf judges the crashes of a VM before its runs are discarded.
func (pl *Planner) judgeCrashOf(v *vm, now time.Time) {
	for _, c := range pl.crashes.list {
		if c.vm == v.name {
			pl.judgeCrash(c, now)
		}
	}
}

// judgeCrash judges the runs that were lost in a crash.
func (pl *Planner) judgeCrash(c *crash, now time.Time) {
	if c.judged {
		return
	}
	c.judged = true
	pl.restoreSuspicions(c)
	mass, alone, unexplained := quarantiner.IsMass(pl.crashesAround(c)), c.countEarlyJobs() == 1, pl.crashedUnexplained(c)
	var culprits []taskRef
	counts := map[quarantiner.Verdict]int{}
	for _, p := range pl.lostRuns(c) {
		t := &p.step.tasks[p.index]
		loss := quarantiner.Loss{Run: p.run, RanFor: c.ranForOf(p), Mass: mass}
		ref := taskRef{p.step, p.index}
		loss.Quarantined = p.quarantined && alone && !unexplained && !pl.hostCrashed(p.vm, ref) && pl.crashes.suspects[ref].resembles(loss.RanFor)
		h, verdict := quarantiner.Judge(historyOf(t), &loss)
		counts[verdict]++
		if verdict == quarantiner.Unaffected {
			continue
		}
		t.Crashes = &h
		pl.markDirty(p.step, p.index)
		switch verdict {
		case quarantiner.Counted:
			c.beside = append(c.beside, ref)
		case quarantiner.Suspect:
			c.suspects = append(c.suspects, ref)
			pl.crashes.suspects[ref] = suspicion{c, loss.RanFor}
			pl.counters.Suspects++
			fallthrough
		case quarantiner.Culprit:
			pl.logDecision("crash suspect", "task", p.step.taskName(p.index), "run", p.run, "vm", c.vm, "verdict", string(verdict), "ran", loss.RanFor,
				"quarantined", p.quarantined, "mass", mass, "workers", h.Workers, "early", h.Early)
		}
		if verdict == quarantiner.Culprit {
			culprits = append(culprits, ref)
		}
	}
	pl.logDecision("crash judged", "vm", c.vm, "ago", now.Sub(c.at), "mass", mass, "alone", alone, "unexplained", unexplained,
		"unaffected", counts[quarantiner.Unaffected], "counted", counts[quarantiner.Counted], "suspects", counts[quarantiner.Suspect], "culprits", counts[quarantiner.Culprit])
	for _, ref := range culprits {
		pl.giveUpCulprit(ref, c, now)
	}
}

// hostCrashed reports whether a worker process on the host of a VM has crashed lately and
// the culprit is not known: the host may be the cause. The crashes that would be explained
// if a suspect were the culprit are left out.
func (pl *Planner) hostCrashed(v *vm, suspect taskRef) bool {
	return slices.ContainsFunc(pl.crashes.list, func(c *crash) bool {
		return !c.explained && !c.beganLast(suspect) && (c.vm == v.name || v.session.Host != "" && pl.vms[c.vm].session.Host == v.session.Host)
	})
}

// crashedUnexplained reports whether a worker has crashed lately, other than in crash c,
// and none of its tasks is a suspect any more: workers crash by themselves, and may do so
// while a suspect runs.
func (pl *Planner) crashedUnexplained(c *crash) bool {
	return slices.ContainsFunc(pl.crashes.list, func(o *crash) bool {
		return o != c && o.judged && !o.explained && !o.unclear && !slices.ContainsFunc(o.suspects, func(ref taskRef) bool {
			_, suspect := pl.crashes.suspects[ref]
			return suspect
		})
	})
}

// resembles reports whether a crash came about as soon after the start of the task as the
// one that made it a suspect. It did not if that is not known.
func (s suspicion) resembles(ranFor time.Duration) bool {
	return s.crash != nil && isSimilar(ranFor, s.ranFor)
}

// restoreSuspicions takes over what an earlier leader found about a crash that an agent
// still reports: which tasks became suspects by it, and whether the culprit is known.
func (pl *Planner) restoreSuspicions(c *crash) {
	for key, ranFor := range c.ranFor {
		s, index := pl.findTask(key.task)
		if j := pl.jobs[jobOf(key.task)]; j != nil && j.outcome != nil && ranFor <= quarantiner.EarlyTime {
			c.explained = c.explained || j.outcome.State == jobreducer.Failed // An earlier leader has named the culprit.
			c.unclear = true
		}
		if s == nil || historyOf(&s.tasks[index]).Run < key.run {
			continue // It is not judged yet.
		}
		ref := taskRef{s, index}
		if historyOf(&s.tasks[index]).Run > key.run {
			c.suspects = append(c.suspects, ref)
			continue
		}
		if !isSuspect(&s.tasks[index]) {
			c.beside = append(c.beside, ref)
			continue
		}
		c.suspects = append(c.suspects, ref)
		pl.crashes.suspects[ref] = suspicion{c, ranFor}
	}
}

// crashesAround counts the workers that crashed at the same time, without those that ran
// a suspect in quarantine.
func (pl *Planner) crashesAround(c *crash) int {
	count := 1
	for _, o := range pl.crashes.list {
		if o != c && !o.inQuarantine && o.at.Sub(c.at).Abs() <= quarantiner.MassWindow {
			count++
		}
	}
	return count
}

// lostRuns returns the runs of a VM that its worker process had begun when it crashed, in
// a fixed order.
func (pl *Planner) lostRuns(c *crash) []*placement {
	var lost []*placement
	for key, p := range pl.vms[c.vm].runs {
		t := &p.step.tasks[p.index]
		i := runIndex(t, p.run)
		if _, began := c.ranFor[key]; i >= 0 && t.Runs[i].WorkerIncarnation == c.workerIncarnation && (began || p.active) && p.step.job.outcome == nil && !t.Done {
			lost = append(lost, p)
		}
	}
	slices.SortFunc(lost, func(p, o *placement) int {
		return cmp.Or(cmp.Compare(p.step.job.number, o.step.job.number), cmp.Compare(p.step.key.Occurrence, o.step.key.Occurrence), cmp.Compare(p.step.key.Step, o.step.key.Step),
			cmp.Compare(p.index, o.index), cmp.Compare(p.run, o.run))
	})
	return lost
}

// beganLast reports whether a run of a task had just begun at the crash.
func (c *crash) beganLast(ref taskRef) bool {
	age, known := c.age(ref)
	return known && age <= quarantiner.EarlyTime
}

// age returns how long a run of a task had run at the crash, and whether its agent named
// one.
func (c *crash) age(ref taskRef) (age time.Duration, known bool) {
	if ref.step == nil {
		return 0, false
	}
	name := ref.step.taskName(ref.index)
	for key, ranFor := range c.ranFor {
		if key.task == name {
			return ranFor, true
		}
	}
	return 0, false
}

// isSimilar reports whether two times from start to crash may have the same cause.
func isSimilar(a, b time.Duration) bool { return (a - b).Abs() <= quarantiner.SimilarTime }

// countEarlyJobs counts the jobs with runs that had just begun at the crash.
func (c *crash) countEarlyJobs() int {
	jobs := map[string]bool{}
	for key, ranFor := range c.ranFor {
		if ranFor <= quarantiner.EarlyTime {
			jobs[jobOf(key.task)] = true
		}
	}
	return len(jobs)
}

// ranForOf returns how long a run had run at the crash. Runs that the agent does not name
// began earlier; this leader may not know when.
func (c *crash) ranForOf(p *placement) time.Duration {
	if ranFor, ok := c.ranFor[runKey{p.step.taskName(p.index), p.run}]; ok {
		return ranFor
	}
	return max(c.at.Sub(p.placedAt), 2*quarantiner.EarlyTime)
}

func historyOf(t *work.Task) work.CrashHistory {
	if t.Crashes == nil {
		return work.CrashHistory{}
	}
	return *t.Crashes
}

func isSuspect(t *work.Task) bool { return t.Crashes != nil && t.Crashes.Suspect }

// giveUpCulprit ends the job of a task that crashes its workers, and clears the tasks that
// ran beside it.
func (pl *Planner) giveUpCulprit(ref taskRef, last *crash, now time.Time) {
	s := ref.step
	if s.job.outcome != nil {
		return
	}
	pl.counters.Culprits++
	pl.logDecision("crashes its workers", "job", s.job.id, "task", s.taskName(ref.index), "workers", ref.task().Crashes.Workers, "early", ref.task().Crashes.Early, "runs", ref.task().LastRun)
	age, known := last.age(ref)
	for _, c := range pl.crashes.list {
		if other, began := c.age(ref); began && known && age <= quarantiner.EarlyTime && isSimilar(other, age) {
			pl.explain(c, ref)
		}
	}
	pl.finishJob(s.job, jobreducer.Failed, now)
}

// explain clears the tasks that ran beside the culprit of a crash. For those that had
// run for a while the crash no longer counts. It does for those that had just begun, of
// which another may crash its workers too.
func (pl *Planner) explain(c *crash, culprit taskRef) {
	if c.explained {
		return
	}
	c.explained = true
	for _, other := range c.suspects {
		if other != culprit && pl.crashes.suspects[other].crash == c {
			pl.clearSuspect(other, quarantiner.Clear, "the culprit is known")
		}
		if other != culprit && !c.beganLast(other) {
			pl.takeBack(other)
		}
	}
	for _, other := range c.beside {
		pl.takeBack(other)
	}
}

// takeBack takes a crash from the history of a task.
func (pl *Planner) takeBack(ref taskRef) {
	if t := ref.task(); t.Crashes != nil && t.Crashes.Workers > 0 {
		t.Crashes.Workers--
		pl.markDirty(ref.step, ref.index)
	}
}

// clearSuspect ends the suspicion against a task. clear changes its history.
func (pl *Planner) clearSuspect(ref taskRef, clear func(work.CrashHistory) work.CrashHistory, reason string) {
	delete(pl.crashes.suspects, ref)
	t := ref.task()
	if !isSuspect(t) {
		return
	}
	h := clear(*t.Crashes)
	t.Crashes = &h
	pl.markDirty(ref.step, ref.index)
	pl.logDecision("suspect cleared", "task", ref.step.taskName(ref.index), "reason", reason, "workers", h.Workers)
}

// forgetCrashes forgets the crashes under a task once a run of it has outlasted them.
func (pl *Planner) forgetCrashes(p *placement, now time.Time) {
	t := &p.step.tasks[p.index]
	if t.Crashes != nil && !t.Crashes.Suspect && !p.vm.workerDown && p.vm.workerSilence == 0 && now.Sub(p.firstSeen) > quarantiner.LateTime {
		t.Crashes = nil
		pl.markDirty(p.step, p.index)
	}
}
