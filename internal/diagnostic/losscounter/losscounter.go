// Package losscounter finds from logs which jobs ended late or not at all, and what
// their time was lost to. It follows the critical path of each job: the task that ended
// last, the one that its step waited for, and so on back to the acceptance.
package losscounter

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/diagnostic/explainer"
	"knapweedspur/internal/job/jobmeasurer"
)

// Cause says what time was lost to.
type Cause string

// The causes.
const (
	// Room: a task waited for room, or for a VM that suits it.
	Room Cause = "waited for room"
	// Behind: a task waited while its job was put behind others.
	Behind Cause = "put behind others"
	// Leaderless: nobody led.
	Leaderless Cause = "no leader"
	// Slowed: a run got less than the processors that it asked for.
	Slowed Cause = "ran slowed"
	// Moved: a run was stopped for a better VM or for another task.
	Moved Cause = "moved"
	// Failed: a run failed.
	Failed Cause = "failed"
	// Lost: a run was lost with its worker or its lease.
	Lost Cause = "lost with its VM"
	// Unknown: the logs do not tell.
	Unknown Cause = "not known"
)

// Loss is the part of the worth of a job that was lost to a cause.
type Loss struct {
	Kind  jobmeasurer.Kind
	Cause Cause
	// At is when the job was accepted, since the first one.
	At time.Duration
	// Worth is the lost part of what all jobs of the kind are worth.
	Worth float64
}

// Ledger is what was lost.
type Ledger struct {
	Losses []Loss
	// Jobs, Late and Unfinished count the jobs of each kind.
	Jobs, Late, Unfinished map[jobmeasurer.Kind]int
	// ServingTime is the time that clients asked serving tasks for, added up over them.
	ServingTime time.Duration
}

// The worth of a job: a fixed part and one that grows with its work, up to a limit, and
// what is left of it for one that ends late.
const (
	fixedWorth, maxWorth = 0.3, 4.0
	lateWorth            = 0.15
)

// run is a run of a task.
type run struct {
	number           int
	placedAt, endsAt time.Time
	// how is how it ended, full the time that it would have taken at full speed.
	how  string
	full time.Duration
}

// task is a task with its runs in order.
type task struct {
	step string
	runs []run
}

// job is a job as the logs show it.
type job struct {
	id         string
	kind       jobmeasurer.Kind
	acceptedAt time.Time
	finishedAt time.Time
	state      string
	took       time.Duration
	objective  time.Duration
	work       float64
	tasks      map[string]*task
	// behind are the times from which the job was put behind others, or no longer.
	behind []change
}

type change struct {
	at     time.Time
	behind bool
}

// Count returns what was lost by the events of all processes, in order of time.
func Count(events []explainer.Event) *Ledger {
	jobs, pauses, end := collect(events)
	l := &Ledger{Jobs: map[jobmeasurer.Kind]int{}, Late: map[jobmeasurer.Kind]int{}, Unfinished: map[jobmeasurer.Kind]int{}}
	if len(jobs) == 0 {
		return l
	}
	means, totals := meanWorks(jobs), map[jobmeasurer.Kind]float64{}
	first := jobs[0].acceptedAt
	for _, j := range jobs {
		scale := 1.0
		if j.kind != jobmeasurer.Serving && j.kind != jobmeasurer.Lasting {
			scale = min(fixedWorth+(1-fixedWorth)*j.work/max(means[j.kind], 1), maxWorth)
		}
		totals[j.kind] += scale
		l.Jobs[j.kind]++
		for cause, share := range l.judge(j, pauses, end) {
			if share == 0 {
				continue
			}
			l.Losses = append(l.Losses, Loss{Kind: j.kind, Cause: cause, At: j.acceptedAt.Sub(first), Worth: scale * share})
		}
	}
	for i := range l.Losses {
		l.Losses[i].Worth /= totals[l.Losses[i].Kind]
	}
	slices.SortFunc(l.Losses, func(a, b Loss) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Cause, b.Cause)) })
	return l
}

// Sums returns the losses added up by kind and cause, in a fixed order.
func (l *Ledger) Sums() []Loss {
	type key struct {
		kind  jobmeasurer.Kind
		cause Cause
	}
	sums := map[key]float64{}
	for i := range l.Losses {
		sums[key{l.Losses[i].Kind, l.Losses[i].Cause}] += l.Losses[i].Worth
	}
	list := make([]Loss, 0, len(sums))
	for k, worth := range sums {
		list = append(list, Loss{Kind: k.kind, Cause: k.cause, Worth: worth})
	}
	slices.SortFunc(list, func(a, b Loss) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause)) })
	return list
}

func meanWorks(jobs []*job) map[jobmeasurer.Kind]float64 {
	sums, counts := map[jobmeasurer.Kind]float64{}, map[jobmeasurer.Kind]float64{}
	for _, j := range jobs {
		sums[j.kind] += j.work
		counts[j.kind]++
	}
	for kind, count := range counts {
		sums[kind] /= count
	}
	return sums
}

// judge returns the lost share of the worth of a job by cause, and counts the job.
func (l *Ledger) judge(j *job, pauses []pause, end time.Time) map[Cause]float64 {
	if j.kind == jobmeasurer.Serving || j.kind == jobmeasurer.Lasting {
		if j.kind == jobmeasurer.Serving {
			l.ServingTime += j.askedTime(end)
		}
		return j.awayShares(pauses, end)
	}
	lost := 0.0
	switch {
	case j.finishedAt.IsZero():
		l.Unfinished[j.kind]++
		lost = 1
	case j.state != "completed" || j.took <= j.objective:
		return nil
	case j.took <= jobmeasurer.LateFactor*j.objective:
		l.Late[j.kind]++
		lost = 1 - lateWorth
	default:
		l.Late[j.kind]++
		lost = 1
	}
	delays := j.delays(pauses, end)
	total := time.Duration(0)
	for _, d := range delays {
		total += d
	}
	if total == 0 {
		return map[Cause]float64{Unknown: lost}
	}
	shares := map[Cause]float64{}
	for cause, d := range delays {
		shares[cause] = lost * d.Seconds() / total.Seconds()
	}
	return shares
}

// delays returns the time that the critical path of a job lost, by cause.
func (j *job) delays(pauses []pause, end time.Time) map[Cause]time.Duration {
	delays := map[Cause]time.Duration{}
	until := j.finishedAt
	if until.IsZero() {
		until = end
		if !slices.ContainsFunc(j.sortedTasks(), func(t *task) bool { return t.open() }) {
			// Its next task waits.
			last := j.lastEnded(until)
			from := j.acceptedAt
			if last != nil {
				from = last.endedAt(end)
			}
			j.addWait(delays, from, until, pauses)
			until = from
		}
	}
	for {
		t := j.lastEnded(until)
		if t == nil {
			return delays
		}
		ready := j.acceptedAt
		if before := j.lastEnded(t.runs[0].placedAt); before != nil && before.step != t.step {
			ready = before.endedAt(end)
		}
		j.addTask(delays, t, ready, pauses, end)
		if ready.Equal(j.acceptedAt) || !ready.Before(until) {
			return delays
		}
		until = ready
	}
}

// addTask adds what a task lost from the time when its step was ready.
func (j *job) addTask(delays map[Cause]time.Duration, t *task, ready time.Time, pauses []pause, end time.Time) {
	from := ready
	for i := range t.runs {
		r := &t.runs[i]
		if i == 0 {
			j.addWait(delays, from, r.placedAt, pauses)
		} else {
			delays[causeOfEnd(t.runs[i-1].how)] += max(r.placedAt.Sub(from), 0)
		}
		ended := r.endsAt
		if ended.IsZero() {
			ended = end
		}
		from = ended
		took := ended.Sub(r.placedAt)
		if r.how == "done" || r.endsAt.IsZero() {
			delays[Slowed] += max(took-r.full, 0)
			continue
		}
		if cause := causeOfEnd(r.how); cause != Moved {
			delays[cause] += took
		} else {
			delays[Slowed] += max(took-r.full, 0)
		}
	}
}

// addWait adds a wait for room, split by what happened meanwhile.
func (j *job) addWait(delays map[Cause]time.Duration, from, to time.Time, pauses []pause) {
	if !to.After(from) {
		return
	}
	wait := to.Sub(from)
	leaderless := min(overlap(pauses, from, to), wait)
	delays[Leaderless] += leaderless
	behind := min(j.behindFor(from, to), wait-leaderless)
	delays[Behind] += behind
	delays[Room] += wait - leaderless - behind
}

// behindFor returns for how long the job was put behind others in a time.
func (j *job) behindFor(from, to time.Time) time.Duration {
	sum := time.Duration(0)
	for i, c := range j.behind {
		until := to
		if i+1 < len(j.behind) {
			until = earlier(to, j.behind[i+1].at)
		}
		if since := later(from, c.at); c.behind && until.After(since) {
			sum += until.Sub(since)
		}
	}
	return sum
}

// end returns when a job ended, or the end of the logs.
func (j *job) end(logs time.Time) time.Time {
	if j.finishedAt.IsZero() {
		return logs
	}
	return j.finishedAt
}

// askedTime returns the time from the acceptance to the end of a job for all its tasks.
func (j *job) askedTime(logs time.Time) time.Duration {
	return max(j.end(logs).Sub(j.acceptedAt), 0) * time.Duration(len(j.tasks))
}

// startupTime is how long a serving task takes until it is at work.
const startupTime = 500 * time.Millisecond

// awayShares returns the share of the time of a long-running job's tasks in which they
// were not at work, by cause.
func (j *job) awayShares(pauses []pause, end time.Time) map[Cause]float64 {
	whole := j.askedTime(end).Seconds()
	if whole <= 0 {
		return nil
	}
	until := j.end(end)
	away := map[Cause]time.Duration{}
	for _, t := range j.tasks {
		from, cause := j.acceptedAt, Cause("")
		for i := range t.runs {
			r := &t.runs[i]
			if !r.placedAt.Before(until) {
				break
			}
			if cause == "" {
				j.addWait(away, from, r.placedAt, pauses)
				cause = Room
			} else {
				leaderless := overlap(pauses, from, r.placedAt)
				away[Leaderless] += leaderless
				away[cause] += max(r.placedAt.Sub(from)-leaderless, 0)
			}
			away[cause] += startupTime
			from, cause = r.endsAt, causeOfEnd(r.how)
			if r.endsAt.IsZero() {
				from = until
			}
		}
		if until.After(from) {
			away[cmp.Or(cause, Room)] += until.Sub(from)
		}
	}
	shares := map[Cause]float64{}
	for cause, d := range away {
		shares[cause] = min(d.Seconds()/whole, 1)
	}
	return shares
}

// causeOfEnd returns the cause for which a run that did not complete is to blame.
func causeOfEnd(how string) Cause {
	switch how {
	case "done":
		return Unknown
	case "failed":
		return Failed
	case "stopped":
		return Moved
	default:
		return Lost
	}
}

func (t *task) open() bool { return t.runs[len(t.runs)-1].endsAt.IsZero() }

// endedAt returns when the last run of a task ended, end if it did not.
func (t *task) endedAt(end time.Time) time.Time {
	if t.open() {
		return end
	}
	return t.runs[len(t.runs)-1].endsAt
}

// lastEnded returns the task that ended last up to a time, nil if there is none.
func (j *job) lastEnded(until time.Time) *task {
	var last *task
	for _, t := range j.sortedTasks() {
		if t.open() || t.endedAt(until).After(until) {
			continue
		}
		if last == nil || t.endedAt(until).After(last.endedAt(until)) {
			last = t
		}
	}
	return last
}

func (j *job) sortedTasks() []*task {
	names := make([]string, 0, len(j.tasks))
	for name := range j.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]*task, len(names))
	for i, name := range names {
		list[i] = j.tasks[name]
	}
	return list
}

// stepOf returns the name of the step of a task.
func stepOf(name string) string { return name[:max(strings.LastIndexByte(name, '.'), 0)] }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
