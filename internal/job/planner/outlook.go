package planner

import (
	"math"
	"time"

	"knapweedspur/internal/job/jobmeasurer"
	"knapweedspur/internal/job/roomforecaster"
	"knapweedspur/internal/wire/work"
)

// Entries refuse a job that would end too late to be useful. They know the load only
// from the forecast that the leader writes to the log, so it is made here from the
// jobs and VMs.

const (
	// outlookInterval is the least time between two forecasts.
	outlookInterval = time.Second
	// absentAfter is how long a silent VM counts as one that gets work again. Most
	// silences are shorter, and a job that waits outlasts them.
	absentAfter = 5 * time.Second
	// fillerRateWindow is the time constant over which the processors that fillers
	// get are averaged while some wait: the load of serving tasks swings within it.
	fillerRateWindow = 5 * time.Second
)

// outlook is what the forecasts of a term remember.
type outlook struct {
	takenAt time.Time
	// listsPools is set while the newest forecast lists pools without room.
	listsPools bool
	// largestVMs holds the largest VM ever seen in each pool.
	largestVMs map[string]work.Size
	// fillerMillicores holds the processors that the fillers of each pool get.
	fillerMillicores map[string]float64
}

func newOutlook() outlook {
	return outlook{largestVMs: map[string]work.Size{}, fillerMillicores: map[string]float64{}}
}

// poolOutlook collects the state of a pool.
type poolOutlook struct {
	roomforecaster.Pool
	// leftMillicores are the processors that other tasks leave to fillers, and
	// usedByFillers those that they use.
	leftMillicores int
	usedByFillers  float64
	fillersWait    bool
}

// Outlook returns the forecast to write to the log, or nil if the one there still
// holds: forecasts are at least outlookInterval apart, and one without a pool that
// lacks room is not repeated.
func (pl *Planner) Outlook(epoch int64, now time.Time) *work.RoomForecast {
	if now.Sub(pl.outlook.takenAt) < outlookInterval {
		return nil
	}
	elapsed := now.Sub(pl.outlook.takenAt)
	pl.outlook.takenAt = now
	pools := map[string]*poolOutlook{}
	pl.collectRoom(pools, now)
	pl.collectDemands(pools, now)
	var all []roomforecaster.Pool
	for _, v := range pl.sortedVMs {
		p := pools[v.workerStatus.Pool]
		if p == nil {
			continue
		}
		delete(pools, p.Name)
		p.FillerMillicores = pl.outlook.fillerRate(p, elapsed)
		all = append(all, p.Pool)
	}
	forecast := roomforecaster.Summarize(epoch, all, now)
	listsPools := len(forecast.Pools) > 0
	if !listsPools && !pl.outlook.listsPools {
		return nil
	}
	pl.outlook.listsPools = listsPools
	return forecast
}

// fillerRate returns the processors that the fillers of a pool get. What they use
// tells that only while some wait; it is assumed before that they get all that others
// leave.
func (o *outlook) fillerRate(p *poolOutlook, elapsed time.Duration) int {
	rate, known := o.fillerMillicores[p.Name]
	if known && p.fillersWait {
		rate = p.usedByFillers + (rate-p.usedByFillers)*math.Exp(-elapsed.Seconds()/fillerRateWindow.Seconds())
	} else {
		rate = float64(p.leftMillicores)
	}
	o.fillerMillicores[p.Name] = rate
	return int(max(rate, p.usedByFillers))
}

// collectRoom adds the VMs and the work that runs on them.
func (pl *Planner) collectRoom(pools map[string]*poolOutlook, now time.Time) {
	for _, v := range pl.sortedVMs {
		name, capacity := v.workerStatus.Pool, v.workerStatus.Capacity
		if name == "" || capacity.Millicores == 0 || !v.workerGoneAt.IsZero() || v.workerStatus.Draining || now.Sub(v.lastContact) > absentAfter {
			continue
		}
		p := pools[name]
		if p == nil {
			p = &poolOutlook{Pool: roomforecaster.Pool{Name: name, Closed: true}}
			pools[name] = p
		}
		if pl.evacuated(v) {
			continue
		}
		p.Closed = false
		pl.outlook.largestVMs[name] = larger(pl.outlook.largestVMs[name], capacity)
		p.LargestVM = pl.outlook.largestVMs[name]
		p.LargestGap = larger(p.LargestGap, work.Size{
			Millicores: capacity.Millicores - v.reserved.Millicores, Memory: capacity.Memory - v.reserved.Memory, Accelerators: capacity.Accelerators - v.reserved.Accelerators,
		})
		p.Millicores += max(capacity.Millicores-v.longRunningMillicores, 0)
		p.leftMillicores += max(capacity.Millicores-v.expectedUse(), 0)
		for _, r := range v.runs {
			p.addRun(r)
		}
	}
}

func larger(a, b work.Size) work.Size {
	return work.Size{Millicores: max(a.Millicores, b.Millicores), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// addRun adds the rest of a task that runs.
func (p *poolOutlook) addRun(r *placement) {
	spec := r.step.spec
	if spec.LongRunning || r.step.job.outcome != nil {
		return
	}
	if spec.Filler {
		p.usedByFillers += r.measurement
	}
	rest := jobmeasurer.CoreTime(spec, 1) * time.Duration(fullProgress-min(r.progressPercent, fullProgress)) / fullProgress
	p.Demands = append(p.Demands, roomforecaster.Demand{Priority: r.step.job.record.Queue.Priority, Filler: spec.Filler, Work: rest})
}

// collectDemands adds the work of the tasks that wait.
func (pl *Planner) collectDemands(pools map[string]*poolOutlook, now time.Time) {
	for _, j := range pl.jobs {
		if j.outcome != nil || j.record == nil {
			continue
		}
		if p := pools[j.record.Queue.Pool]; p != nil {
			for _, o := range j.open {
				pl.addOccurrence(p, j, o, now)
			}
			pl.addDueOccurrences(p, j, now)
		}
	}
}

// addOccurrence adds the waiting tasks of an occurrence of a job. A job with less than
// half of its time left is not counted, since a newer one soon goes before it: first
// when it becomes late, then when its result becomes useless.
func (pl *Planner) addOccurrence(p *poolOutlook, j *job, o *occurrence, now time.Time) {
	var waiting []*step
	rest, chains := time.Duration(0), pl.chains(j, o)
	for i, s := range o.steps {
		if s.waiting == 0 || s.spec.LongRunning || pl.heldBack(s, &work.Task{}, now) {
			continue
		}
		waiting = append(waiting, s)
		rest = max(rest, chains[i])
	}
	if len(waiting) == 0 {
		return
	}
	objective, spent := pl.estimate(j, o).objective, now.Sub(j.dueAt(o.number))
	if spent > (lateFactor*objective-rest)/2 {
		return
	}
	jobWork := o.declaredWork()
	for _, s := range waiting {
		p.fillersWait = p.fillersWait || s.spec.Filler && s.dependenciesDone()
		p.Demands = append(p.Demands, roomforecaster.Demand{
			Priority: j.record.Queue.Priority, Filler: s.spec.Filler, Late: spent > (objective-rest)/2,
			JobWork: jobWork, Work: jobmeasurer.CoreTime(s.spec, s.waiting),
		})
	}
}

// addDueOccurrences adds the occurrences of a job that are due and have not begun, as
// addOccurrence does with others.
func (pl *Planner) addDueOccurrences(p *poolOutlook, j *job, now time.Time) {
	due := j.dueOccurrences(now) - j.startedOccurrences
	if due <= 0 {
		return
	}
	chains := chainsBy(j, j.startedOccurrences, pl.expectedStepDuration)
	objective, rest, jobWork := objectiveOf(j, chains), time.Duration(0), time.Duration(0)
	for i := range j.record.Steps {
		if spec := &j.record.Steps[i]; !spec.LongRunning {
			rest, jobWork = max(rest, chains[i]), jobWork+jobmeasurer.CoreTime(spec, spec.Tasks)
		}
	}
	useful := j.countDueSince(now, (lateFactor*objective-rest)/2, due)
	inTime := j.countDueSince(now, (objective-rest)/2, useful)
	for i := range j.record.Steps {
		spec := &j.record.Steps[i]
		if spec.LongRunning {
			continue
		}
		p.fillersWait = p.fillersWait || spec.Filler && useful > 0
		d := roomforecaster.Demand{Priority: j.record.Queue.Priority, Filler: spec.Filler, JobWork: jobWork, Work: jobmeasurer.CoreTime(spec, spec.Tasks*inTime)}
		late := d
		late.Late, late.Work = true, jobmeasurer.CoreTime(spec, spec.Tasks*(useful-inTime))
		p.Demands = append(p.Demands, d, late)
	}
}

// dueOccurrences returns how many occurrences of the job are due.
func (j *job) dueOccurrences(now time.Time) int {
	occurrences := max(j.record.Occurrences, 1)
	since := now.Sub(j.record.DueAt)
	switch {
	case j.record.DueAt.IsZero() || j.record.Interval == 0 && since >= 0:
		return occurrences
	case since < 0:
		return 0
	}
	return int(min(since/j.record.Interval+1, time.Duration(occurrences)))
}

// countDueSince returns how many of the due occurrences, at most limit, have been due for
// no longer than a time.
func (j *job) countDueSince(now time.Time, age time.Duration, limit int) int {
	latest := j.dueAt(j.dueOccurrences(now) - 1)
	spare := age - now.Sub(latest)
	switch {
	case spare < 0:
		return 0
	case j.record.Interval == 0:
		return limit
	}
	return int(min(spare/j.record.Interval+1, time.Duration(limit)))
}

// declaredWork returns the remaining work of the occurrence as it was declared, in core
// time. An entry compares it with that of a new job, of which it knows nothing else.
func (o *occurrence) declaredWork() time.Duration {
	sum := time.Duration(0)
	for _, s := range o.steps {
		sum += jobmeasurer.CoreTime(s.spec, len(s.tasks)-s.done)
	}
	return sum
}
