// Package losscounter finds from logs which jobs ended late or not at all, and what
// their time was lost to. It follows the critical path of each job: the task that ended
// last, the one that its step waited for, and so on back to the acceptance.
package losscounter

import (
	"cmp"
	"slices"
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
