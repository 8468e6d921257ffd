package planner

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/job/quarantiner"
)

// Quarantine: tasks that may crash their worker run on VMs that are kept for them, those
// of one job at a time, so that a second crash names the culprit and costs little other
// work (docs/design/crashes.md).

// maxQuarantineWait is how long a VM is kept for suspects that it can't take yet, as it
// lacks the room or a run there is about to begin.
const maxQuarantineWait = 1500 * time.Millisecond

// servingLoss is how many other runs the loss of a serving run counts for, in the choice of
// a VM whose worker may crash.
const servingLoss = 4

// placeSuspects places the suspects that wait, and keeps VMs for them.
func (pl *Planner) placeSuspects(now time.Time) {
	pl.endQuarantines()
	waiting := pl.waitingSuspects()
	pl.releaseVMs(waiting, now)
	for len(waiting) > 0 {
		pool := waiting[0].step.job.record.Queue.Pool
		inPool := func(r taskRef) bool { return r.step.job.record.Queue.Pool == pool }
		ofPool := slices.DeleteFunc(slices.Clone(waiting), func(r taskRef) bool { return !inPool(r) })
		waiting = slices.DeleteFunc(waiting, inPool)
		pl.keepVMs(pool, ofPool, now)
		for _, ref := range ofPool {
			if v := pl.quarantineVM(ref, now); v != nil {
				pl.placeTogether(ref, ofPool, v, now)
			}
		}
	}
}

// endQuarantines clears the suspects whose runs have outlasted the quarantine or ended
// otherwise than by a crash.
func (pl *Planner) endQuarantines() {
	for ref := range pl.crashes.suspects {
		t := ref.task()
		switch {
		case ref.step.job.outcome != nil || t.Done || !isSuspect(t):
			delete(pl.crashes.suspects, ref)
		case pl.outlasted(ref):
			pl.clearSuspect(ref, quarantiner.Outlast, "outlasted the quarantine")
		}
	}
}

// outlasted reports whether a run of a suspect has outlasted the quarantine.
func (pl *Planner) outlasted(ref taskRef) bool {
	for _, r := range ref.task().Runs {
		if r.Run <= ref.task().Crashes.Run {
			continue // It is lost.
		}
		p := pl.ensureVM(r.VM).runs[runKey{ref.step.taskName(ref.index), r.Run}]
		// A crash that its agent has not reported yet is no end of the quarantine.
		if p != nil && p.active && !p.vm.workerDown && p.vm.lastContact.Sub(p.sentAt) >= pl.quarantineTime(ref) {
			return true
		}
	}
	return false
}

// quarantineTime returns how long a suspect stays in quarantine.
func (pl *Planner) quarantineTime(ref taskRef) time.Duration {
	known := pl.crashes.suspects[ref]
	if known.crash == nil && ref.task().Crashes.Early == 0 {
		return quarantiner.LateTime
	}
	return quarantiner.QuarantineTime(known.ranFor)
}

// waitingSuspects returns the suspects without a run, those first that long-running steps
// miss, then the likeliest. Members of gangs start with the others of their gang.
func (pl *Planner) waitingSuspects() []taskRef {
	var waiting []taskRef
	for ref := range pl.crashes.suspects {
		if t := ref.task(); len(t.Runs) == 0 && !ref.step.spec.Gang && ref.step.dependenciesDone() {
			waiting = append(waiting, ref)
		}
	}
	rank := func(r taskRef) int {
		if r.step.spec.LongRunning {
			return 0
		}
		return 1
	}
	slices.SortFunc(waiting, func(a, b taskRef) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(pl.crashes.suspects[a].ranFor, pl.crashes.suspects[b].ranFor),
			cmp.Compare(a.step.taskName(a.index), b.step.taskName(b.index)))
	})
	return waiting
}

// releaseVMs returns the VMs to other tasks that no suspect needs or can use.
func (pl *Planner) releaseVMs(waiting []taskRef, now time.Time) {
	for _, v := range pl.sortedVMs {
		if v.keptSince.IsZero() || v.inQuarantine() {
			continue
		}
		needed := slices.ContainsFunc(waiting, func(r taskRef) bool { return pl.mayKeep(v, r.step, now) })
		switch {
		case !needed:
			v.keptSince = time.Time{}
		case now.Sub(v.keptSince) > maxQuarantineWait:
			v.keptSince, v.keptInVainUntil = time.Time{}, now
		}
	}
}

// keepVMs keeps as many VMs of a pool for its suspects as they need: those where a crash
// costs the least.
func (pl *Planner) keepVMs(pool string, waiting []taskRef, now time.Time) {
	var free []*vm
	usable, kept := 0, 0
	for _, v := range pl.sortedVMs {
		switch {
		case v.workerStatus.Pool != pool || v.whyOutOfUse(now) != "":
		case !v.keptSince.IsZero():
			usable++
			kept++
		default:
			usable++
			if slices.ContainsFunc(waiting, func(r taskRef) bool { return pl.mayKeep(v, r.step, now) }) {
				free = append(free, v)
			}
		}
	}
	wanted := min(len(free), quarantiner.VMs(countJobs(waiting), usable)-kept)
	if wanted <= 0 {
		return
	}
	keptInVain := func(v *vm) bool { return now.Sub(v.keptInVainUntil) < maxQuarantineWait }
	anyInVain := slices.ContainsFunc(free, keptInVain)
	// The higher, the less suitable is a VM. One whose host has crashed comes last until
	// another was kept in vain.
	resorts := map[*vm]int{}
	for _, v := range free {
		full := !slices.ContainsFunc(waiting, func(r taskRef) bool { return v.fits(r.step.spec) && pl.mayKeep(v, r.step, now) })
		switch crashed := pl.hostCrashed(v, taskRef{}); {
		case crashed && !anyInVain:
			resorts[v] = 4
		case full:
			// The room may not come.
			resorts[v] = 3
		case crashed:
			resorts[v] = 2
		case keptInVain(v):
			resorts[v] = 1
		}
	}
	loss := func(v *vm) int { return len(v.runs) + servingLoss*v.servingRuns }
	slices.SortStableFunc(free, func(a, b *vm) int {
		return cmp.Or(cmp.Compare(resorts[a], resorts[b]), cmp.Compare(loss(a), loss(b)))
	})
	for _, v := range free[:wanted] {
		v.keptSince = now
	}
}

func countJobs(refs []taskRef) int {
	jobs := map[*job]bool{}
	for _, r := range refs {
		jobs[r.step.job] = true
	}
	return len(jobs)
}

func (pl *Planner) countKeptVMs() int {
	count := 0
	for _, v := range pl.sortedVMs {
		if !v.keptSince.IsZero() {
			count++
		}
	}
	return count
}

// mayKeep reports whether a VM may be kept for a task of a step: it may run the task once
// the room is there.
func (pl *Planner) mayKeep(v *vm, s *step, now time.Time) bool {
	capacity, size := v.workerStatus.Capacity, s.spec.Size
	return v.workerStatus.Pool == s.job.record.Queue.Pool && v.whyOutOfUse(now) == "" && pl.domainOpen(v, now) && pl.mayHost(v, s, now) && s.mayRunOn(v, now) &&
		size.Millicores <= capacity.Millicores && size.Memory <= capacity.Memory && size.Accelerators <= capacity.Accelerators
}

// quarantineVM returns a VM that is kept for suspects and where nothing else has begun for
// a while, or nil if there is none for a suspect or it runs already.
func (pl *Planner) quarantineVM(ref taskRef, now time.Time) *vm {
	if len(ref.task().Runs) > 0 {
		return nil
	}
	for _, v := range pl.sortedVMs {
		if !v.keptSince.IsZero() && v.settled(now) && pl.mayKeep(v, ref.step, now) && v.fits(ref.step.spec) {
			return v
		}
	}
	return nil
}

// placeTogether places a suspect on a VM, with the others of its job that have room there:
// a crash of the VM fails the job whichever of them is the culprit.
func (pl *Planner) placeTogether(first taskRef, waiting []taskRef, v *vm, now time.Time) {
	v.keptSince = now
	for _, ref := range waiting {
		s, t := ref.step, ref.task()
		if s.job != first.step.job || len(t.Runs) > 0 || !pl.mayKeep(v, s, now) || !v.fits(s.spec) {
			continue
		}
		run := t.LastRun + 1
		pl.startRun(s, ref.index, v, run, now)
		v.runs[runKey{s.taskName(ref.index), run}].quarantined = true
		pl.logDecision("quarantine", "task", s.taskName(ref.index), "run", run, "vm", v.name, "runs", len(v.runs), "workers", t.Crashes.Workers, "early", t.Crashes.Early)
	}
}

// inQuarantine reports whether a suspect runs on the VM.
func (v *vm) inQuarantine() bool {
	for _, p := range v.runs {
		if p.quarantined && isSuspect(&p.step.tasks[p.index]) {
			return true
		}
	}
	return false
}

// settled reports whether all runs on the VM have outlasted the time in which a crash
// would count against them.
func (v *vm) settled(now time.Time) bool {
	for _, p := range v.runs {
		if !p.active || now.Sub(p.sentAt) < quarantiner.EarlyTime || p.quarantined && isSuspect(&p.step.tasks[p.index]) {
			return false
		}
	}
	return true
}
