package planner

import (
	"slices"
	"sort"
	"time"

	"knapweedspur/internal/wire/work"
)

// maxPlacements bounds the placements of one pass, so that a pass stays short
// and its records fit one append.
const maxPlacements = 400

// Tick lets time pass: sessions and leases end, occurrences become due, and
// tasks that are free are placed. It returns when it wants to be called again.
func (b *Planner) Tick(now time.Time) {
	b.watch(now)
	b.learn(now)
	b.tell(now)
	for _, j := range b.jobs {
		if j.record != nil && j.record.Times > 0 {
			b.begin(j, now)
		}
	}
	b.relocate(now)
	b.forget(now)
	b.plan(now)
}

// plan places free tasks in the order in which that serves most.
func (b *Planner) plan(now time.Time) {
	var queue []candidate
	gathering := b.gathering(now)
	for _, j := range b.jobs {
		if j.outcome != nil || j.record == nil {
			continue
		}
		for _, s := range j.steps {
			if s.free > 0 && s.ready() && (!gathering || !s.fresh()) {
				queue = append(queue, b.rank(s, now))
			}
		}
	}
	b.summarize(queue, now)
	if len(queue) == 0 {
		return
	}
	b.judgeLoad(queue, now)
	sort.Slice(queue, func(i, j int) bool { return queue[i].before(&queue[j], b.Settings.Policy) })
	left := maxPlacements
	for i := range queue {
		if left <= 0 {
			return
		}
		left -= b.placeStep(queue[i].step, left, now)
	}
}

// placeStep places free tasks of a step and returns how many.
func (b *Planner) placeStep(s *step, limit int, now time.Time) int {
	if s.spec.Gang {
		return b.placeGang(s, now)
	}
	placed := 0
	for i := range s.tasks {
		if placed >= limit || s.free == 0 {
			break
		}
		t := &s.tasks[i]
		if t.Done || len(t.Runs) > 0 {
			continue
		}
		v := b.choose(s, t, now)
		if v == nil {
			break
		}
		b.start(s, i, v, t.Last+1, now)
		placed++
	}
	return placed
}

// placeGang places all tasks of a gang or none.
func (b *Planner) placeGang(s *step, now time.Time) int {
	if s.free < len(s.tasks) {
		return 0
	}
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].Last)
	}
	run++
	chosen := make([]*vm, len(s.tasks))
	for i := range s.tasks {
		chosen[i] = b.choose(s, &s.tasks[i], now)
		if chosen[i] == nil {
			for _, v := range chosen[:i] {
				v.reserve(s.spec, -1)
			}
			return 0
		}
		chosen[i].reserve(s.spec, 1)
	}
	saved := ""
	for i := range s.tasks {
		if s.tasks[i].Saved != "" {
			saved = s.tasks[i].Saved
		}
	}
	for i, v := range chosen {
		v.reserve(s.spec, -1)
		s.tasks[i].Saved = saved
		b.start(s, i, v, run, now)
	}
	return len(chosen)
}

// start places a run of a task on a VM.
func (b *Planner) start(s *step, index int, v *vm, run int, now time.Time) {
	t := &s.tasks[index]
	r := work.Run{Run: run, VM: v.name, Born: v.session.Born, Fence: v.session.Fence, Ticket: s.tickets[v.name].text}
	t.Last = run
	t.Runs = append(t.Runs, r)
	b.place(s, index, r, now)
	b.touch(s)
	b.log("place", "task", s.name(index), "run", run, "vm", v.name, "fence", r.Fence, "heard", now.Sub(v.heard),
		"used", v.used.Millis, "filled", v.filled, "memory", v.used.Memory, "serving", v.serving, "size", v.vitals.Size.Millis)
	b.sendStart(v.runs[runKey{s.name(index), run}])
}

// fits says whether a VM has room for a task.
func (v *vm) fits(spec *work.Step) bool {
	if v.used.Memory+spec.Size.Memory > v.vitals.Size.Memory || v.used.Accelerators+spec.Size.Accelerators > v.vitals.Size.Accelerators {
		return false
	}
	if spec.Fills {
		return float64(v.busy()+v.filling()+spec.Size.Millis) <= maxFill*float64(v.vitals.Size.Millis)
	}
	return v.used.Millis+spec.Size.Millis <= v.vitals.Size.Millis
}

// servingLoad is the share of its reservation that a serving task is taken to
// use until its load is known.
const servingLoad = 0.55

// maxFill is how many times its processors a VM is filled at most: beyond, all
// that fills there works slowly and holds memory.
const maxFill = 1.15

// busy is the processor share that the runs which reserve one are likely to use.
func (v *vm) busy() int {
	idle := 0.0
	for _, p := range v.runs {
		if p.step.spec.Target > 0 {
			load := p.step.load
			if load == 0 {
				load = servingLoad
			}
			idle += (1 - min(load+loadMargin, 1)) * float64(p.step.spec.Size.Millis)
		}
	}
	return v.used.Millis - int(idle)
}

// loadMargin is added to what a serving task uses now: it swings.
const loadMargin = 0.05

// filling is the processor share that fillers use at their present pace.
func (v *vm) filling() int {
	sum := 0
	for _, p := range v.runs {
		if p.step.spec.Fills {
			sum += p.step.spec.Size.Millis * p.pace / fullPace
		}
	}
	return sum
}

// usable says whether a VM may get work at all.
func (v *vm) usable(now time.Time) bool {
	return v.linked && v.synced && v.vouched && !v.session.Revoked && v.gone.IsZero() && !v.vitals.Draining && v.mute < muteLimit &&
		now.Sub(v.heard) < silence/2 && !v.record.suspect(len(v.runs), now)
}

// choose returns the VM for a task, nil if none has room.
func (b *Planner) choose(s *step, t *work.Task, now time.Time) *vm {
	var best *vm
	var bestCost float64
	for _, v := range b.sorted {
		if v.vitals.Pool != s.job.record.Queue.Pool || !v.usable(now) || !v.fits(s.spec) {
			continue
		}
		if s.spec.Label != "" && !slices.Contains(v.vitals.Labels, s.spec.Label) {
			continue
		}
		if s.spec.Spread > 0 && v.of(s) >= s.spec.Spread || !s.holds(v, now) {
			continue
		}
		cost := b.cost(v, s, t)
		if s.spec.Fills && cost > maxFillCost && !b.patient(s, now) {
			continue
		}
		if best == nil || cost < bestCost || cost == bestCost && v.name < best.name {
			best, bestCost = v, cost
		}
	}
	return best
}

// maxFillCost is the cost from which a filler rather waits than takes memory
// where it would hardly work.
const maxFillCost = 2.0

// patience is how many times its objective a filler may wait until it takes
// what it can get: far beyond the time in which it is of use.
const patience = 10.0

// patient says whether a step has waited for so long that any VM will do.
func (b *Planner) patient(s *step, now time.Time) bool {
	return now.Sub(s.started) > time.Duration(patience*float64(objective(s.job.record)))
}

// of counts the runs of a step on a VM.
func (v *vm) of(s *step) int {
	count := 0
	for _, p := range v.runs {
		if p.step == s {
			count++
		}
	}
	return count
}
