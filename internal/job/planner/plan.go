package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/setting/gatekeeper"
	"knapweedspur/internal/wire/work"
)

// maxPlacements bounds the placements of one pass, so that a pass stays short
// and its records fit into one append.
const maxPlacements = 400

// A pass considers a bounded part of what waits, so that it stays short whatever clients
// submit.
const (
	// maxCandidates bounds the steps that a pass considers, which all jobs share;
	// minCandidates is the least number of steps of a job.
	maxCandidates = 4000
	minCandidates = 2
	// maxExaminedVMs bounds the VMs that a pass examines for tasks, minSearches is the
	// least number of tasks for which it looks for a VM.
	maxExaminedVMs = 120_000
	minSearches    = 200
)

// Tick runs one planning pass: it revokes sessions and discards runs whose
// lease is over, starts occurrences that are due, and places waiting tasks.
func (pl *Planner) Tick(now time.Time) {
	pl.pass++
	pl.searches = 0
	pl.checkSessions(now)
	pl.evacuateLeavingWorkers(now)
	pl.learnInterference(now)
	pl.judgeVMs(now)
	pl.judgeCrashes(now)
	pl.saveDurations(now)
	pl.sendWeights(now)
	for _, j := range pl.jobs {
		if j.record != nil && j.record.Occurrences > 0 {
			pl.startDueOccurrences(j, now)
		}
	}
	pl.moveSlowFillers(now)
	pl.expireOutcomes(now)
	pl.placeSuspects(now)
	pl.plan(now)
	pl.startCopies(now)
}

// collectCandidates returns the steps with waiting tasks that a pass considers.
func (pl *Planner) collectCandidates(now time.Time) []candidate {
	waiting := 0
	for _, j := range pl.jobs {
		if len(j.ready) > 0 {
			waiting++
		}
	}
	limit := max(maxCandidates/max(waiting, 1), minCandidates)
	var candidates []candidate
	delayServing := pl.delayNewServing(now)
	for _, j := range pl.jobs {
		if j.outcome != nil || j.record == nil {
			continue
		}
		before := len(candidates)
		for _, s := range window(j.ready, limit, &j.readyTurn) {
			if !delayServing || !s.newServing() {
				candidates = append(candidates, pl.rank(s, now))
			}
		}
		j.noteIdle(len(candidates) > before, now)
	}
	return candidates
}

// plan places waiting tasks in order of urgency.
func (pl *Planner) plan(now time.Time) {
	candidates := pl.collectCandidates(now)
	pl.logLoad(candidates, now)
	if len(candidates) == 0 {
		pl.sequences = nil
		pl.afterPlacing(nil, now)
		return
	}
	pl.markCrowdedPools(candidates, now)
	pl.markIdle(candidates, now)
	pl.order(candidates, now)
	if pl.placeCandidates(candidates, now) < maxPlacements {
		pl.afterPlacing(candidates, now)
	}
}

// placeCandidates places tasks of the candidates, the most urgent first, and returns how
// many it placed. Half of the searches of a pass are for those; the others take turns, so
// that no step waits behind those for which there is no place.
func (pl *Planner) placeCandidates(candidates []candidate, now time.Time) int {
	maxSearches := max(maxExaminedVMs/max(len(pl.sortedVMs), 1), minSearches)
	shares := sharesOfLargeJobs(candidates)
	placed, next := 0, 0
	place := func(s *step, limit int) {
		count := pl.placeStep(s, min(limit, maxPlacements-placed), now)
		placed += count
		if _, large := shares[s.job]; large {
			shares[s.job] -= count
		}
	}
	shareOf := func(s *step) int {
		if share, large := shares[s.job]; large {
			return share
		}
		return maxPlacements
	}
	for ; next < len(candidates) && placed < maxPlacements && pl.searches < maxSearches/2; next++ {
		place(candidates[next].step, shareOf(candidates[next].step))
	}
	others := candidates[next:]
	for range others {
		if placed >= maxPlacements || pl.searches >= maxSearches {
			return placed
		}
		pl.candidateTurn = (pl.candidateTurn + 1) % len(others)
		place(others[pl.candidateTurn].step, shareOf(others[pl.candidateTurn].step))
	}
	for i := range candidates {
		if share, large := shares[candidates[i].step.job]; large && share <= 0 && placed < maxPlacements && pl.searches < maxSearches {
			place(candidates[i].step, maxPlacements)
		}
	}
	return placed
}

// sharesOfLargeJobs returns how many tasks each job that could take all placements of a
// pass gets at first. Together they get half, so that others do not wait for passes.
func sharesOfLargeJobs(candidates []candidate) map[*job]int {
	shares := map[*job]int{}
	for i := range candidates {
		if j := candidates[i].step.job; j.readyTasks >= maxPlacements {
			shares[j] = 0
		}
	}
	for j := range shares {
		shares[j] = max(maxPlacements/2/len(shares), 1)
	}
	return shares
}

// afterPlacing looks after the tasks that a pass has left waiting.
func (pl *Planner) afterPlacing(candidates []candidate, now time.Time) {
	pl.renewPromises(candidates, now)
	if pl.Settings.Gates.On(gatekeeper.Yields) {
		pl.yield(candidates, now)
	}
}

// placeStep places waiting tasks of a step, at most limit unless the step is a
// gang, and returns how many it placed.
func (pl *Planner) placeStep(s *step, limit int, now time.Time) int {
	if limit <= 0 {
		return 0
	}
	if s.spec.Gang {
		placed := pl.placeGang(s, now)
		s.setStuck(placed == 0 && s.waiting > 0 && pl.roomy(s.job.record.Queue.Pool, now))
		return placed
	}
	placed, tried, stuck := 0, false, false
	for i := range s.startOrder(pl.Settings.Gates.On(gatekeeper.Retries)) {
		if placed >= limit || s.waiting == 0 {
			break
		}
		t := &s.tasks[i]
		if t.Done || len(t.Runs) > 0 || isSuspect(t) || pl.heldBack(s, t, now) {
			continue
		}
		tried = true
		v := pl.examineVMs(s, t, now, func(r Reason) { stuck = stuck || r.leavesRoomToOthers() })
		if v == nil {
			break
		}
		pl.startRun(s, i, v, t.LastRun+1, now)
		placed++
	}
	s.setStuck(s.waiting > 0 && placed == 0 && (!tried || stuck || !pl.fitsEmptyVM(s, now)))
	return placed
}

// capacities holds the different capacities of the VMs that are in use, by pool, as of a pass.
type capacities struct {
	pass   int64
	byPool map[string][]work.Size
}

// fitsEmptyVM reports whether a VM of the pool that is in use could take a task of a step if it ran nothing else.
func (pl *Planner) fitsEmptyVM(s *step, now time.Time) bool {
	c := &pl.capacities
	if c.pass != pl.pass || c.byPool == nil {
		c.pass, c.byPool = pl.pass, map[string][]work.Size{}
		for _, v := range pl.sortedVMs {
			pool, capacity := v.workerStatus.Pool, v.workerStatus.Capacity
			if v.whyOutOfUse(now) == "" && !slices.Contains(c.byPool[pool], capacity) {
				c.byPool[pool] = append(c.byPool[pool], capacity)
			}
		}
	}
	size := s.spec.Size
	return slices.ContainsFunc(c.byPool[s.job.record.Queue.Pool], func(capacity work.Size) bool {
		return size.Memory <= capacity.Memory && size.Accelerators <= capacity.Accelerators && (s.spec.Filler || size.Millicores <= capacity.Millicores)
	})
}

// placeGang places all tasks of a gang or none, and returns how many it placed.
func (pl *Planner) placeGang(s *step, now time.Time) int {
	if s.waiting < len(s.tasks) {
		return 0
	}
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].LastRun)
	}
	run++
	chosen := make([]*vm, len(s.tasks))
	for i := range s.tasks {
		chosen[i] = pl.chooseVM(s, &s.tasks[i], now)
		if chosen[i] == nil {
			for _, v := range chosen[:i] {
				v.adjustReserved(s.spec, -1)
			}
			return 0
		}
		chosen[i].adjustReserved(s.spec, 1)
	}
	checkpoint := ""
	for i := range s.tasks {
		if s.tasks[i].Checkpoint != "" {
			checkpoint = s.tasks[i].Checkpoint
		}
	}
	for i, v := range chosen {
		v.adjustReserved(s.spec, -1)
		s.tasks[i].Checkpoint = checkpoint
		pl.startRun(s, i, v, run, now)
	}
	return len(chosen)
}

// startRun places a run of a task on a VM and sends its start.
func (pl *Planner) startRun(s *step, index int, v *vm, run int, now time.Time) {
	t := &s.tasks[index]
	r := work.Run{Run: run, VM: v.name, WorkerIncarnation: v.session.WorkerIncarnation, Fence: v.session.Fence, Ticket: s.tickets[v.name].value}
	t.LastRun = run
	t.Runs = append(t.Runs, r)
	s.occurrence.doubtfulPass = 0
	pl.addPlacement(s, index, r, now)
	pl.markDirty(s, index)
	started := v.runs[runKey{s.taskName(index), run}]
	pl.notePromiseKept(started, now)
	pl.logDecision("place", "task", s.taskName(index), "run", run, "vm", v.name, "fence", r.Fence, "heard", now.Sub(v.lastContact),
		"used", v.reserved.Millicores, "filled", v.fillerMillicores, "memory", v.reserved.Memory, "serving", v.servingRuns, "size", v.workerStatus.Capacity.Millicores)
	pl.sendStart(started)
}

// fits reports whether the VM has room for a task.
func (v *vm) fits(spec *work.Step) bool { return v.whyTooSmall(spec) == "" }

// assumedServingLoad is the share of its reservation that a serving task is
// assumed to use until its load is known.
const assumedServingLoad = 0.55

// maxOvercommit is the most processor use that is planned on a VM with fillers,
// as a multiple of its capacity. Above it all fillers there run slowly and
// still hold memory.
const maxOvercommit = 1.15

// usable reports whether the VM may get work at all.
func (v *vm) usable(now time.Time) bool { return v.whyUnusable(now) == "" }

// chooseVM returns the VM with the lowest cost for a task, or nil if none is
// suitable. In a crowded pool, long-running tasks take the last room of a VM only
// if there is no other, and enough is left to short jobs.
func (pl *Planner) chooseVM(s *step, t *work.Task, now time.Time) *vm {
	return pl.examineVMs(s, t, now, func(Reason) {})
}

// examineVMs is chooseVM, and passes to against why each VM that is left out is.
func (pl *Planner) examineVMs(s *step, t *work.Task, now time.Time, against func(Reason)) *vm {
	pl.searches++
	spreadsGaps := reservesForLong(s.spec) && pl.crowdedPools[s.job.record.Queue.Pool]
	crowded := spreadsGaps && mayWait(s, t) && !pl.leavesRoom(s.job.record.Queue.Pool, s.spec.Size.Millicores, now)
	var best *vm
	var bestCost float64
	bestLeavesGap := false
	for _, v := range pl.sortedVMs {
		if reason := pl.whyUnsuitable(v, s, now); reason != "" {
			against(reason)
			continue
		}
		leavesGap := spreadsGaps && v.fitsTwice(s.spec)
		if crowded && !leavesGap {
			against(KeptForShortJobs)
			continue
		}
		if bestLeavesGap && !leavesGap {
			continue
		}
		cost := pl.cost(v, s, t, now)
		if s.spec.Filler && !pl.acceptsCost(s, v, cost, now) {
			against(TooSlowForFillers)
			continue
		}
		if best == nil || leavesGap && !bestLeavesGap || cost < bestCost {
			best, bestCost, bestLeavesGap = v, cost, leavesGap
		}
	}
	return best
}

// suitable reports whether a task of a step may run on the VM and fits there.
func (pl *Planner) suitable(v *vm, s *step, now time.Time) bool {
	return pl.whyUnsuitable(v, s, now) == ""
}

// mayStart reports whether a task of a step may start on a VM that has room for it.
func (pl *Planner) mayStart(v *vm, s *step, now time.Time) bool {
	if !pl.domainOpen(v, now) {
		return false
	}
	// Both are asked, so that a step waits for them at the same time.
	tries, keeps := pl.worthTrying(v, s, now), pl.keepsPromises(v, s, now)
	return tries && keeps
}

// maxFillerCost is the cost above which a filler waits instead of taking memory
// on a VM where it would make little progress.
const maxFillerCost = 1.5

// maxFillerWaitFactor is how many times its objective a filler may wait before
// it accepts any cost. By then it is far too late for its result to be useful.
const maxFillerWaitFactor = 10.0

// waitedTooLong reports whether a step has waited so long that it accepts any
// cost.
func (pl *Planner) waitedTooLong(s *step, now time.Time) bool {
	return now.Sub(s.job.dueAt(s.key.Occurrence)) > time.Duration(maxFillerWaitFactor*float64(pl.timeObjective(s)))
}

// countRuns counts the runs of a step on the VM.
func (v *vm) countRuns(s *step) int { return v.stepRuns[s] }
