// Package reserver promises room on VMs to waiting tasks that fit on none of them
// now, and tells which other tasks may start beside a promise.
//
// Smaller tasks keep the gaps of every VM full, so that room for a large one never
// comes together anywhere. A promise names the VM where, as tasks there end, the room
// comes together first. Until then another task may start there only if it is expected
// to end before, or if it leaves the promised room free.
package reserver

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// Horizon is how far away the start of a promise may be. Room is kept idle for
	// at most this long on account of one estimate.
	Horizon = 4 * time.Second
	// MaxKept is how long a promise is kept in all, when runs take longer than
	// expected. Afterwards the VM rests: it gets no promise for RestTime, so that
	// other tasks have their turn.
	MaxKept = 6 * time.Second
	// RestTime is long enough for a run of a small task.
	RestTime = 2 * time.Second
	// minGain is how much sooner another VM must have the room for a promise to move
	// there. It must also take at most half of the time, because estimates of ends
	// vary with each report.
	minGain = 500 * time.Millisecond
	// maxShare is the divisor for the share of the VMs on which room is promised at
	// the same time.
	maxShare = 4
)

// Release is room that is expected to become free.
type Release struct {
	At   time.Time
	Size work.Size
}

// VM is a VM that may get work.
type VM struct {
	Name     string
	Capacity work.Size
	Used     work.Size
	Releases []Release
	// Taken says that a task which ends and was promised room runs there. The VM then
	// counts as promised for tasks of class 1 and later, so that many large ones do not
	// drive the small ones out.
	Taken bool
}

// Rank is the place of a task among those that wait. A promise binds only tasks that
// come no earlier than its holder.
type Rank struct {
	// Class is 0 for serving tasks, 1 for others and 2 for fillers.
	Class int
	// Priority is that of the queue, 0 for the most urgent.
	Priority int
}

// Demand is a number of equal tasks that wait.
type Demand struct {
	// ID identifies the demand from one call of Renew to the next.
	ID    string
	Rank  Rank
	Size  work.Size
	Tasks int
	// Gang says that the tasks start only all together.
	Gang bool
	// MayRun returns how many of the tasks a VM may run, apart from its room.
	MayRun func(vm string) int
}

// Promise is room on a VM that is kept for tasks of a demand.
type Promise struct {
	Demand string
	Rank   Rank
	VM     string
	// Tasks is the number of tasks, more than one only for a gang, Size the size of
	// each.
	Tasks int
	Size  work.Size
	// GivenAt is when the demand got the promise, also if that has moved to another
	// VM since. FirstStart is the start that was expected then, Start the one that is
	// expected now.
	GivenAt, FirstStart, Start time.Time
	// spare is what is expected to be free on the VM at Start beside the promised room.
	spare work.Size
}

// Room returns the room of all tasks of the promise.
func (p *Promise) Room() work.Size { return times(p.Size, p.Tasks) }

// Binds reports whether the promise holds for tasks of the given rank.
func (p *Promise) Binds(rank Rank) bool {
	return p.Rank.Class < rank.Class || p.Rank.Class == rank.Class && p.Rank.Priority <= rank.Priority
}

// Allows reports whether a task of the given size and expected duration may start on
// the VM of the promise now. A duration of 0 is unknown: the task may not end.
func (p *Promise) Allows(size work.Size, duration time.Duration, now time.Time) bool {
	return p.endsBefore(duration, now) || fits(size, p.spare)
}

func (p *Promise) endsBefore(duration time.Duration, now time.Time) bool {
	return duration > 0 && !now.Add(duration).After(p.Start)
}

// Reserver holds the promises on the VMs of a pool.
type Reserver struct {
	promises map[string]*Promise
	restsTo  map[string]time.Time
}

// New returns a reserver without promises.
func New() *Reserver {
	return &Reserver{promises: map[string]*Promise{}, restsTo: map[string]time.Time{}}
}

// On returns the promise on a VM, or nil.
func (r *Reserver) On(vm string) *Promise { return r.promises[vm] }

// Len returns the number of VMs with a promise.
func (r *Reserver) Len() int { return len(r.promises) }

// Holds reports whether a demand has a promise.
func (r *Reserver) Holds(demand string) bool { return len(r.held(demand)) > 0 }

// Due returns how many tasks of a demand are promised a start by a time.
func (r *Reserver) Due(demand string, by time.Time) int {
	tasks := 0
	for _, p := range r.promises {
		if p.Demand == demand && !p.Start.After(by) {
			tasks += p.Tasks
		}
	}
	return tasks
}

// Keep promises room that is made for a task of a demand, beyond the limit and the rest
// of a VM. It replaces the promise of the demand that starts last, if it starts later.
func (r *Reserver) Keep(vm, demand string, rank Rank, size work.Size, start, now time.Time) {
	if held := r.held(demand); len(held) > 0 && held[len(held)-1].Start.After(start) {
		delete(r.promises, held[len(held)-1].VM)
	}
	r.promises[vm] = &Promise{Demand: demand, Rank: rank, VM: vm, Tasks: 1, Size: size, GivenAt: now, FirstStart: start, Start: start}
}

// Started notes that a task started on a VM, and returns the promise there if it was
// given to the demand of that task.
func (r *Reserver) Started(vm, demand string, size work.Size, duration time.Duration, now time.Time) *Promise {
	p := r.promises[vm]
	switch {
	case p == nil:
		return nil
	case p.Demand != demand:
		if !p.endsBefore(duration, now) {
			p.spare = minus(p.spare, size)
		}
		return nil
	}
	if p.Tasks--; p.Tasks == 0 {
		delete(r.promises, vm)
	}
	return p
}

// Renew adapts the promises to the VMs and to the demands, the most urgent first, and
// returns the new ones and those that moved to another VM.
func (r *Reserver) Renew(vms []VM, demands []Demand, now time.Time) []*Promise {
	s := &search{reserver: r, vms: vms, now: now}
	r.drop(vms, demands, now)
	var changed []*Promise
	for i := range demands {
		d := &demands[i]
		if d.Gang {
			changed = append(changed, s.renewGang(d)...)
			continue
		}
		changed = append(changed, s.renewTasks(d)...)
	}
	return changed
}

// drop ends the promises of demands that wait no more, of VMs that get no work or may
// not run the tasks, and those that were kept for too long.
func (r *Reserver) drop(vms []VM, demands []Demand, now time.Time) {
	for vm, until := range r.restsTo {
		if !now.Before(until) {
			delete(r.restsTo, vm)
		}
	}
	waiting := map[string]*Demand{}
	for i := range demands {
		waiting[demands[i].ID] = &demands[i]
	}
	for vm, p := range r.promises {
		d := waiting[p.Demand]
		known := slices.ContainsFunc(vms, func(v VM) bool { return v.Name == vm })
		switch {
		case d == nil, !known, d.MayRun(vm) < p.Tasks:
			delete(r.promises, vm)
		case now.Sub(p.GivenAt) > MaxKept:
			delete(r.promises, vm)
			r.restsTo[vm] = now.Add(RestTime)
		}
	}
}

// held returns the promises of a demand, the earliest start first.
func (r *Reserver) held(demand string) []*Promise {
	var list []*Promise
	for _, p := range r.promises {
		if p.Demand == demand {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(p, o *Promise) int { return cmp.Or(p.Start.Compare(o.Start), cmp.Compare(p.VM, o.VM)) })
	return list
}

func fits(size, room work.Size) bool {
	return size.Millicores <= room.Millicores && size.Memory <= room.Memory && size.Accelerators <= room.Accelerators
}

func plus(a, b work.Size) work.Size {
	return work.Size{Millicores: a.Millicores + b.Millicores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

func minus(a, b work.Size) work.Size { return plus(a, times(b, -1)) }

func times(a work.Size, n int) work.Size {
	return work.Size{Millicores: a.Millicores * n, Memory: a.Memory * n, Accelerators: a.Accelerators * n}
}
