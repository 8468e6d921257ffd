package planner

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"knapweedspur/internal/job/sequencer"
	"knapweedspur/internal/setting/gatekeeper"
)

// sequenceKind is the capacity that jobs compete for: the processors of a pool that
// tasks reserve, or those that fillers may use beside them.
type sequenceKind struct {
	pool    string
	fillers bool
}

// classKey is the part of a job that needs one kind of capacity.
type classKey struct {
	occurrence int
	fillers    bool
}

// sequence holds the jobs that compete for one kind of capacity, and the decision.
type sequence struct {
	keys    []sequencedJob
	jobs    []sequencer.Job
	results []sequencer.Result
	// overloaded says that not all jobs can be in time.
	overloaded bool
	// halfUsed says that at least half of the processors of the pool are used.
	halfUsed bool
	// cores is the capacity that the decision counts on.
	cores float64
}

type sequencedJob struct {
	job *job
	key classKey
}

const (
	// initialFillerShare is the share of the unused processors that fillers are
	// assumed to get beside serving tasks until it was measured.
	initialFillerShare = 0.45
	// fillerShareWindow is the time constant over which that share is averaged: the
	// load of serving tasks swings within ten seconds.
	fillerShareWindow = 4 * time.Second
	// maxShareGap is the longest time between two measurements while fillers wait
	// without a break, minFillerShare the least that is measured.
	maxShareGap    = time.Second
	minFillerShare = 0.1
	// maxLateFillerCost is the cost above which a filler waits whose job cannot be in
	// time, rather than slow the other fillers of a VM.
	maxLateFillerCost = 1.3
)

// fillerShare averages the share of the unused processors of a pool that fillers use
// while more of them wait.
type fillerShare struct {
	share      float64
	measuredAt time.Time
}

// order sorts the candidates. If not all jobs that need a kind of capacity can be in
// time, they are taken in the order that the sequencer decides.
func (pl *Planner) order(candidates []candidate, now time.Time) {
	pl.markOverload(candidates, now)
	if pl.Settings.Gates.On(gatekeeper.Sequence) {
		pl.decideSequences(candidates, now)
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(&candidates[j]) })
}

// decideSequences decides about all jobs by the capacity they need, and notes the
// decision at those that wait.
func (pl *Planner) decideSequences(candidates []candidate, now time.Time) {
	sequences := pl.collectSequences(now)
	waiting := map[sequenceKind]bool{}
	for i := range candidates {
		s := candidates[i].step
		waiting[sequenceKind{s.job.record.Queue.Pool, s.spec.Filler}] = true
	}
	for kind, q := range sequences {
		if !waiting[kind] {
			continue
		}
		if q.cores = pl.sequenceCapacity(kind, now); q.cores <= 0 {
			// No VM is heard yet, as after a change of leader.
			continue
		}
		var allInTime bool
		q.results, allInTime = sequencer.Decide(q.jobs, q.cores, now)
		q.overloaded, q.halfUsed = !allInTime, pl.halfUsed(kind.pool, now)
		for i, r := range q.results {
			pl.noteClass(q, i, r, now)
		}
	}
	pl.sequences = sequences
	for i := range candidates {
		c := &candidates[i]
		q := sequences[sequenceKind{c.step.job.record.Queue.Pool, c.step.spec.Filler}]
		if q == nil || !q.overloaded || c.step.spec.LatencyTarget > 0 {
			continue
		}
		if r, ok := c.step.job.sequenced[c.step.classKey()]; ok {
			c.sequenced, c.position, c.class = true, r.Position, r.Class
		}
	}
}

func (s *step) classKey() classKey { return classKey{s.key.Occurrence, s.spec.Filler} }

// noteClass keeps the decision about a job, and logs it if its class changed.
func (pl *Planner) noteClass(q *sequence, i int, r sequencer.Result, now time.Time) {
	j, key := q.keys[i].job, q.keys[i].key
	if previous := j.sequenced[key]; previous.Class != r.Class || previous.Aged != r.Aged {
		x := &q.jobs[i]
		pl.logDecision("sequence", "job", j.id, "occurrence", key.occurrence, "fillers", key.fillers, "class", r.Class.String(), "aged", r.Aged, "position", r.Position,
			"of", len(q.jobs), "work", int(x.Work), "shortest", x.Shortest, "left", x.Deadline.Sub(now), "cores", int(q.cores))
	}
	if j.sequenced == nil {
		j.sequenced = map[classKey]sequencer.Result{}
	}
	j.sequenced[key] = r
}

// collectSequences returns the unfinished jobs by the capacity they need, in order of
// arrival.
func (pl *Planner) collectSequences(now time.Time) map[sequenceKind]*sequence {
	progress := pl.runningProgress()
	jobs := make([]*job, 0, len(pl.jobs))
	for _, j := range pl.jobs {
		if j.outcome == nil && j.record != nil {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
	sequences := map[sequenceKind]*sequence{}
	for _, j := range jobs {
		for _, o := range j.open {
			for _, fillers := range []bool{false, true} {
				key := classKey{o.number, fillers}
				x, ok := pl.sequenceJob(j, o, key, progress, now)
				if !ok {
					continue
				}
				kind := sequenceKind{j.record.Queue.Pool, fillers}
				q := sequences[kind]
				if q == nil {
					q = &sequence{}
					sequences[kind] = q
				}
				x.Number = len(q.jobs)
				q.keys, q.jobs = append(q.keys, sequencedJob{j, key}), append(q.jobs, x)
			}
		}
	}
	return sequences
}

// runningProgress returns, by step, the finished parts of its running tasks as a
// number of tasks.
func (pl *Planner) runningProgress() map[*step]float64 {
	progress := map[*step]float64{}
	for _, v := range pl.sortedVMs {
		for _, p := range v.runs {
			if !p.step.spec.LongRunning {
				if _, seen := progress[p.step]; !seen {
					p.step.leastProgress = fullProgress
				}
				progress[p.step] += float64(p.progressPercent) / fullProgress
				p.step.leastProgress = min(p.step.leastProgress, p.progressPercent)
			}
		}
	}
	return progress
}

// sequenceJob describes the part of an occurrence that needs one kind of capacity. It
// reports false if nothing of it is left, or all of it runs and has no end.
func (pl *Planner) sequenceJob(j *job, o *occurrence, key classKey, progress map[*step]float64, now time.Time) (sequencer.Job, bool) {
	x := sequencer.Job{Priority: j.record.Queue.Priority, Previous: j.sequenced[key].Class}
	chains := pl.chains(j, o)
	objective := time.Duration(0)
	unfinished, ends, waits := false, false, false
	for i := range j.record.Steps {
		spec := &j.record.Steps[i]
		if len(spec.DependsOn) == 0 {
			objective = max(objective, chains[i])
		}
		s := o.steps[i]
		if spec.Filler != key.fillers || spec.LatencyTarget > 0 {
			continue
		}
		x.Running += float64(s.running*spec.Size.Millicores) / 1000
		x.Begun = x.Begun || s.running > 0 || s.done > 0
		unfinished = unfinished || s.done < len(s.tasks)
		waits = waits || s.waiting > 0
		if spec.LongRunning {
			continue
		}
		work := coreSeconds(spec, pl.expectedDuration(s))
		x.TotalWork += work * float64(len(s.tasks))
		x.Waiting += work * float64(s.waiting)
		x.Work += work * max(float64(len(s.tasks)-s.done)-progress[s], 0)
		if s.done < len(s.tasks) {
			ends = true
			x.Shortest = max(x.Shortest, chains[i]-pl.finishedTime(s))
		}
	}
	if !unfinished || !ends && !waits {
		return x, false
	}
	if key.fillers {
		speed := pl.speeds.Expected(j.fillerImage())
		// Slow fillers are moved, so that a job is slowed less than its mean task.
		x.Shortest = time.Duration(float64(x.Shortest) / math.Sqrt(speed))
		x.Cost = 1 / speed
	}
	objective = time.Duration(j.record.Queue.Stretch*float64(objective)) + j.record.Queue.Target
	x.ArrivedAt = j.dueAt(key.occurrence)
	x.Deadline, x.LateDeadline = x.ArrivedAt.Add(objective), x.ArrivedAt.Add(lateFactor*objective)
	if !ends || x.TotalWork == 0 {
		// Long-running tasks have no end that could be late.
		x.ArrivedAt = now
		x.Deadline, x.LateDeadline = now.Add(objective), now.Add(lateFactor*objective)
	}
	return x, true
}

// fillerImage returns the image of the first fillers of a job; its steps are alike.
func (j *job) fillerImage() string {
	for i := range j.record.Steps {
		if j.record.Steps[i].Filler {
			return j.record.Steps[i].Image
		}
	}
	return ""
}

// finishedTime returns how much of a step's duration is over: that of its tasks if all
// run, none if some wait.
func (pl *Planner) finishedTime(s *step) time.Duration {
	if s.waiting > 0 || s.running == 0 {
		return 0
	}
	return time.Duration(float64(pl.expectedDuration(s)) * float64(s.leastProgress) / fullProgress)
}

// sequenceCapacity returns the cores on which the jobs of a kind can count.
func (pl *Planner) sequenceCapacity(kind sequenceKind, now time.Time) float64 {
	free, unused, filled := 0, 0, 0.0
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool != kind.pool || !v.usable(now) || pl.evacuated(v) {
			continue
		}
		free += max(v.workerStatus.Capacity.Millicores-v.longRunningMillicores, 0)
		unused += max(v.workerStatus.Capacity.Millicores-v.expectedUse(), 0)
		for _, p := range v.runs {
			if p.step.spec.Filler {
				filled += p.measurement
			}
		}
	}
	if !kind.fillers {
		return float64(free) / 1000
	}
	return pl.poolFillerShare(kind.pool).observe(filled/float64(max(unused, 1)), now) * float64(unused) / 1000
}

func (pl *Planner) poolFillerShare(pool string) *fillerShare {
	f := pl.fillerShares[pool]
	if f == nil {
		f = &fillerShare{share: initialFillerShare, measuredAt: pl.termStart}
		pl.fillerShares[pool] = f
	}
	return f
}

// observe adds the share that is used now and returns the average.
func (f *fillerShare) observe(share float64, now time.Time) float64 {
	elapsed := now.Sub(f.measuredAt)
	f.measuredAt = now
	if elapsed < maxShareGap {
		weight := 1 - math.Exp(-elapsed.Seconds()/fillerShareWindow.Seconds())
		f.share += weight * (max(minFillerShare, min(share, 1)) - f.share)
	}
	return f.share
}

// acceptsCost reports whether a filler takes memory on a VM at the given cost, rather
// than wait. It always does after the longest wait, and while its job takes any room.
// While there is too little for all, one of a job that cannot be in time does not slow the
// other fillers of a VM, unless it is the first of its step and less than half of the pool
// is used.
func (pl *Planner) acceptsCost(s *step, v *vm, cost float64, now time.Time) bool {
	switch q := pl.sequences[sequenceKind{s.job.record.Queue.Pool, true}]; {
	case cost <= maxLateFillerCost, s.job.takesAnyRoom:
		return true
	case q != nil && q.overloaded && v.fillerMillicores > 0 && (s.running > 0 || q.halfUsed) && s.job.sequenced[s.classKey()].Class != sequencer.InTime:
		return pl.waitedTooLong(s, now)
	default:
		return cost <= maxFillerCost || pl.waitedTooLong(s, now)
	}
}

// halfUsed reports whether at least half of the processors of a pool are used.
func (pl *Planner) halfUsed(pool string, now time.Time) bool {
	used, capacity := 0, 0
	for _, v := range pl.sortedVMs {
		if v.workerStatus.Pool == pool && v.usable(now) {
			used += v.expectedUse() + v.fillerUse()
			capacity += v.workerStatus.Capacity.Millicores
		}
	}
	return 2*used >= capacity
}

// countClasses counts the jobs by the class of the last decision, where not all could be
// in time.
func (pl *Planner) countClasses() (counts [sequencer.Rest + 1]int) {
	for _, q := range pl.sequences {
		for i := range q.results {
			if q.overloaded {
				counts[q.results[i].Class]++
			}
		}
	}
	return counts
}
