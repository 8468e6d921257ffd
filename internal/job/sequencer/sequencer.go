// Package sequencer decides which jobs get capacity first when not all can end in
// time. A late job is worth far less than one in time, so it is better to finish some
// in time than to run all side by side and finish most of them late.
package sequencer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Class says what a job can still achieve.
type Class int

// The classes, in the order in which they get capacity.
const (
	// InTime jobs can meet their objective.
	InTime Class = iota
	// Late jobs cannot, but can end while their result is still useful.
	Late
	// Rest is for all others.
	Rest
)

func (c Class) String() string { return [...]string{"in time", "late", "rest"}[c] }

// Job is what the decision about a job depends on.
type Job struct {
	// Number is the position in the order of arrival.
	Number int
	// Priority of the queue; lower goes first.
	Priority int
	// ArrivedAt, Deadline and LateDeadline are when the job arrived, when it should be
	// done, and until when it is useful.
	ArrivedAt, Deadline, LateDeadline time.Time
	// Work is the remaining work in core-seconds, TotalWork that of the whole job.
	Work, TotalWork float64
	// Waiting is the part of Work whose tasks have not started.
	Waiting float64
	// Shortest is the least time that the rest of the job takes.
	Shortest time.Duration
	// Running is how many cores its tasks hold.
	Running float64
	// Cost is the capacity that a core-second of its tasks takes, 1 if they press on no
	// others.
	Cost float64
	// Begun says that tasks of the job have run.
	Begun bool
	// Previous is the class of the decision before.
	Previous Class
}

// Result is the decision about a job.
type Result struct {
	Class Class
	// Position is the place in the order, from 0.
	Position int
	// ExpectedEnd is when the job is expected to end, if it is in time or late.
	ExpectedEnd time.Time
	// Aged says that the job goes first because it has waited for too long.
	Aged bool
}

const (
	// fixedWorth is the part of a mean job's worth that does not grow with its work:
	// clients wait for small jobs too.
	fixedWorth = 0.3
	// keepFactor is how many times its worth per work a job counts that was in time in
	// the decision before, so that small changes do not swap jobs.
	keepFactor = 1.25
	// chainFactor allows for tasks that wait or are slowed within a job.
	chainFactor = 1.1
	// agingFactor is how many times its objective a job may take before it goes first.
	// Only one such job does at a time, while it holds less than agedShare of the cores,
	// so that jobs which are too late cannot take the place of those in time.
	agingFactor = 10
	agedShare   = 0.2
)

// item is a job within a decision.
type item struct {
	*Job
	index int
	// density is the worth per remaining work.
	density float64
	// turn is its place in the order of deadlines.
	turn   int
	result *Result
}

// Decide returns the decision about each job, given the cores that they can use. It
// reports whether all can be in time; the order then needs no care.
//
// It is the rule of Moore and Hodgson with weights: jobs are taken by deadline, and
// when one would be late, those with the least worth for their work are left out.
// What is left out goes through the same against the late deadlines, behind.
func Decide(jobs []Job, cores float64, now time.Time) (results []Result, allInTime bool) {
	results = make([]Result, len(jobs))
	items := make([]*item, len(jobs))
	mean := meanWork(jobs)
	for i := range jobs {
		items[i] = &item{Job: &jobs[i], index: i, result: &results[i], density: density(&jobs[i], mean)}
	}
	cores = max(cores, 1)
	aged := oldestAged(items, now)
	if aged != nil {
		items = slices.DeleteFunc(items, func(x *item) bool { return x == aged })
		others := cores * (1 - agedShare)
		aged.result.Aged = aged.Running < cores-others
		cores = others
	}
	inTime, left := choose(items, deadline, cores, 0, now)
	busy := 0.0
	for _, x := range inTime {
		busy += x.Waiting / cores
	}
	late, rest := choose(left, lateDeadline, cores, busy, now)
	order := make([]*item, 0, len(jobs))
	for class, list := range [][]*item{inTime, late, rest} {
		arrange(list, Class(class))
		for _, x := range list {
			x.result.Class = Class(class)
			order = append(order, x)
		}
	}
	switch {
	case aged == nil:
	case aged.result.Aged:
		order = slices.Insert(order, 0, aged)
	default:
		aged.result.Class = Rest
		order = append(order, aged)
	}
	for position, x := range order {
		x.result.Position = position
	}
	return results, aged == nil && len(left) == 0
}

func deadline(x *item) time.Time     { return x.Deadline }
func lateDeadline(x *item) time.Time { return x.LateDeadline }

func meanWork(jobs []Job) float64 {
	sum := 0.0
	for i := range jobs {
		sum += jobs[i].TotalWork
	}
	return sum / float64(max(len(jobs), 1))
}

func density(j *Job, meanWork float64) float64 {
	worth := fixedWorth + (1-fixedWorth)*j.TotalWork/max(meanWork, 1e-6)
	d := worth / max(j.Work*max(j.Cost, 1), 1e-3)
	if j.Begun && j.Previous == InTime {
		d *= keepFactor
	}
	return d
}

// choose returns the jobs that can end by their limits within the given cores, of
// which the first are busy for the given seconds, and those that cannot.
func choose(items []*item, limit func(*item) time.Time, cores, busy float64, now time.Time) (chosen, left []*item) {
	byLimit := slices.Clone(items)
	slices.SortFunc(byLimit, func(a, b *item) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), limit(a).Compare(limit(b)), cmp.Compare(a.Number, b.Number))
	})
	seconds := busy
	// Those that wait, the first to leave out on top.
	waiting := &worstFirst{}
	isLeft := map[*item]bool{}
	for turn, x := range byLimit {
		x.turn = turn
		shortest := time.Duration(chainFactor * float64(x.Shortest))
		if now.Add(shortest).After(limit(x)) {
			left = append(left, x)
			continue
		}
		chosen = append(chosen, x)
		if x.Waiting <= 0 {
			continue // all that is left of it runs, so it waits for no other
		}
		heap.Push(waiting, x)
		// Running tasks end all the time, so what waits begins at the rate of the cores;
		// the last tasks of the job then take their whole time.
		seconds += x.Waiting / cores
		for in := true; in && seconds+x.Shortest.Seconds() > limit(x).Sub(now).Seconds(); {
			worst := heap.Pop(waiting).(*item)
			seconds -= worst.Waiting / cores
			left = append(left, worst)
			isLeft[worst] = true
			in = worst != x // without it, the others have time enough
		}
	}
	chosen = slices.DeleteFunc(chosen, func(x *item) bool { return isLeft[x] })
	seconds = busy
	for _, x := range chosen {
		seconds += x.Waiting / cores
		x.result.ExpectedEnd = now.Add(time.Duration(seconds*float64(time.Second)) + x.Shortest)
	}
	return chosen, left
}

// worstFirst is a heap of the chosen jobs that wait, in the order in which they are left
// out: of the least urgent priority, those with the least worth for their work, the last
// first. Without those that don't wait the others would begin no sooner.
type worstFirst []*item

func (w worstFirst) Len() int      { return len(w) }
func (w worstFirst) Swap(i, j int) { w[i], w[j] = w[j], w[i] }
func (w worstFirst) Less(i, j int) bool {
	a, b := w[i], w[j]
	return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.density, b.density), cmp.Compare(b.turn, a.turn)) < 0
}

// Push and Pop implement heap.Interface.
func (w *worstFirst) Push(x any) { *w = append(*w, x.(*item)) }

// Pop removes the last element.
func (w *worstFirst) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	*w = (*w)[:last]
	return x
}

// arrange orders the jobs of a class: those that can end in time, or be of use, by
// their worth for the work that is left, so that begun ones end before new ones begin.
func arrange(list []*item, class Class) {
	slices.SortFunc(list, func(a, b *item) int {
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		if class == Rest {
			return cmp.Compare(a.Number, b.Number)
		}
		return cmp.Or(cmp.Compare(b.density, a.density), cmp.Compare(a.Number, b.Number))
	})
}

// oldestAged returns the job that has waited longest beyond the bound, or nil.
func oldestAged(items []*item, now time.Time) *item {
	var oldest *item
	for _, x := range items {
		objective := x.Deadline.Sub(x.ArrivedAt)
		if now.Sub(x.ArrivedAt) <= agingFactor*objective {
			continue
		}
		if oldest == nil || x.ArrivedAt.Before(oldest.ArrivedAt) || x.ArrivedAt.Equal(oldest.ArrivedAt) && x.Number < oldest.Number {
			oldest = x
		}
	}
	return oldest
}
