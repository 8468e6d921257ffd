package supervisor

import "knapweedspur/internal/wire/work"

// runIndex answers questions about the runs that the next report lists, of which there
// may be thousands, without a look at each. It is built when it is first asked after the
// lists of the worker have changed.
type runIndex struct {
	built bool
	// latest holds the highest run of each task, listed the runs, among the active and the
	// ended ones.
	latest map[string]int
	listed map[work.RunRef]bool
	// reserved is what the active and the pending runs reserve. Runs of an earlier agent
	// process are left out until the leader has described them, which it does before it
	// sends further starts.
	reserved work.Size
}

// index returns the index of the runs. The caller holds the lock.
func (s *Supervisor) index() *runIndex {
	x := &s.runs
	if x.built {
		return x
	}
	*x = runIndex{built: true, latest: map[string]int{}, listed: map[work.RunRef]bool{}}
	for i := range s.active {
		x.add(work.RunRef{Task: s.active[i].Task, Run: s.active[i].Run})
		x.reserve(s.starts[s.active[i].Task], 1)
	}
	for run := range s.pending {
		if !x.listed[run] {
			x.reserve(s.starts[run.Task], 1)
		}
	}
	for i := range s.ends {
		x.add(work.RunRef{Task: s.ends[i].Task, Run: s.ends[i].Run})
	}
	return x
}

func (x *runIndex) add(run work.RunRef) {
	x.latest[run.Task] = max(x.latest[run.Task], run.Run)
	x.listed[run] = true
}

// reserve adds what a run reserves, or takes it off.
func (x *runIndex) reserve(start work.Start, sign int) {
	x.reserved.Memory += sign * start.Memory
	x.reserved.Accelerators += sign * start.Accelerators
	if !start.Filler {
		x.reserved.Millicores += sign * start.Millicores
	}
}
