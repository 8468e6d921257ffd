// Package yielder chooses which runs give way to a task of a more urgent queue that
// fits on no VM.
package yielder

import (
	"cmp"
	"slices"
	"time"

	"knapweedspur/internal/wire/work"
)

const (
	// MaxYields is how often a task gives way. It loses up to a second each time, for
	// its end, its start elsewhere and the return to its checkpoint.
	MaxYields = 2
	// maxPercent is the progress up to which a task that does not checkpoint may be
	// stopped.
	maxPercent = 15
	// maxRuns bounds the runs that are stopped for one task.
	maxRuns = 8
)

// Run is a run on a VM.
type Run struct {
	Task string
	Run  int
	// Size is what the run reserves.
	Size work.Size
	// Priority is that of the queue, 0 for the most urgent.
	Priority                         int
	Filler, LongRunning, Gang, Saves bool
	// Stopping says that the run has been told to stop.
	Stopping bool
	Percent  int
	// Lost is the time of work that a stop would throw away.
	Lost time.Duration
	// Yields is how often the task has given way.
	Yields int
}

// VM is a VM that may get work.
type VM struct {
	Name           string
	Capacity, Used work.Size
	Runs           []Run
}

// Demand is a task that waits.
type Demand struct {
	Priority int
	Size     work.Size
}

// Choice is a VM and the runs there that give way.
type Choice struct {
	VM   string
	Runs []Run
	// Lost is the time of work that the stops throw away.
	Lost time.Duration
}

// mayYield reports whether a run may be stopped for a task of the given priority.
func (r *Run) mayYield(priority int) bool {
	return r.Priority > priority && !r.LongRunning && !r.Gang && !r.Stopping && r.Yields < MaxYields && (r.Saves || r.Percent <= maxPercent)
}

// Choose returns the runs of less urgent queues on one VM whose stop makes room for a
// task and throws the least work away, and false if there are none.
func Choose(vms []VM, d Demand) (Choice, bool) {
	var best Choice
	for i := range vms {
		c, ok := vms[i].choose(d)
		if ok && (best.VM == "" || cmp.Or(cmp.Compare(c.Lost, best.Lost), cmp.Compare(len(c.Runs), len(best.Runs))) < 0) {
			best = c
		}
	}
	return best, best.VM != ""
}

// choose returns the runs of a VM that give way: fillers first, then by the work that
// is lost.
func (v *VM) choose(d Demand) (Choice, bool) {
	var runs []Run
	for i := range v.Runs {
		if v.Runs[i].mayYield(d.Priority) {
			runs = append(runs, v.Runs[i])
		}
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(compareBool(b.Filler, a.Filler), cmp.Compare(a.Lost, b.Lost), cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Task, b.Task))
	})
	free := minus(v.Capacity, v.Used)
	chosen := 0
	for chosen < len(runs) && !fits(d.Size, free) {
		free = plus(free, runs[chosen].Size)
		chosen++
	}
	if chosen == 0 || !fits(d.Size, free) {
		return Choice{}, false
	}
	c := Choice{VM: v.Name}
	// A larger one that was added later may make earlier ones needless.
	for i := range chosen {
		if rest := minus(free, runs[i].Size); fits(d.Size, rest) {
			free = rest
			continue
		}
		c.Runs = append(c.Runs, runs[i])
		c.Lost += runs[i].Lost
	}
	return c, len(c.Runs) <= maxRuns
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func fits(size, room work.Size) bool {
	return size.Millicores <= room.Millicores && size.Memory <= room.Memory && size.Accelerators <= room.Accelerators
}

func plus(a, b work.Size) work.Size {
	return work.Size{Millicores: a.Millicores + b.Millicores, Memory: a.Memory + b.Memory, Accelerators: a.Accelerators + b.Accelerators}
}

func minus(a, b work.Size) work.Size {
	return work.Size{Millicores: a.Millicores - b.Millicores, Memory: a.Memory - b.Memory, Accelerators: a.Accelerators - b.Accelerators}
}
