package clustersimulator

import (
	"time"

	"knapweedspur/internal/job/jobreducer"
)

// Result is what a day was worth.
type Result struct {
	Seed uint64
	// Worth is the share of what was owed that was earned, by kind and in all.
	Worth map[string]float64
	Total float64
	// Over is how long serving tasks missed their objective because of fillers.
	Over time.Duration
	// Used is the mean number of cores that fillers used.
	Used float64
	// Jobs are the latencies of jobs by kind, in the order in which they came.
	Jobs map[string][]JobLatency

	owed, earned map[string]float64
	steps        int
}

// Job is how long a job took.
type JobLatency struct {
	At, Took, Objective time.Duration
}

func newResult(seed uint64) *Result {
	return &Result{Seed: seed, Worth: map[string]float64{}, Jobs: map[string][]JobLatency{}, owed: map[string]float64{}, earned: map[string]float64{}}
}

// serveWindow is the time in which a serving job earns its worth once, and
// blame how many times over its objective counts where fillers are the cause.
const (
	serveWindow = 2 * time.Second
	blame       = 4
)

// observe takes what one step of time was worth.
func (r *Result) observe(w *Simulation) {
	r.steps++
	atWork, over := map[*client]float64{}, map[*client]float64{}
	for _, m := range w.machines {
		for _, t := range m.tasks {
			switch k := t.client.kind; {
			case k.Serves && w.now-t.began > startUp:
				atWork[t.client]++
				switch {
				case t.theirs:
					over[t.client] += blame
					r.Over += step
				case t.over:
					over[t.client]++
				}
			case k.Fills:
				r.Used += t.used / 1000
			}
		}
	}
	for _, c := range w.byID {
		if !c.kind.Serves || c.left || w.now > w.load.Length {
			continue
		}
		share := step.Seconds() / serveWindow.Seconds()
		tasks := float64(c.record.Steps[0].Tasks)
		r.owed[c.kind.Name] += c.kind.Worth * share
		r.earned[c.kind.Name] += c.kind.Worth * share * max(0, (atWork[c]-over[c])/tasks)
	}
	for id, kept := range w.state.Jobs {
		if c := w.byID[id]; c != nil && c.done == 0 && kept.Outcome != nil && kept.Outcome.State == jobreducer.Completed {
			c.done = w.now
		}
	}
}

// close sums up the day.
func (r *Result) close(w *Simulation) {
	mean, count := map[string]float64{}, map[string]float64{}
	for _, c := range w.clients {
		mean[c.kind.Name] += c.work
		count[c.kind.Name]++
	}
	for _, c := range w.clients {
		if c.kind.Serves {
			continue
		}
		k := c.kind
		worth := min(4, 0.3+0.7*c.work/(mean[k.Name]/count[k.Name]))
		job := JobLatency{At: c.at, Objective: c.objective()}
		if c.done > 0 {
			job.Took = c.done - c.at
		}
		r.Jobs[k.Name] = append(r.Jobs[k.Name], job)
		r.owed[k.Name] += k.Worth * worth
		switch {
		case c.done > 0 && job.Took <= job.Objective:
			r.earned[k.Name] += k.Worth * worth
		case c.done > 0 && job.Took <= lateFactor*job.Objective:
			r.earned[k.Name] += k.Late * worth
		}
	}
	owed, earned := 0.0, 0.0
	for name := range r.owed {
		r.Worth[name] = r.earned[name] / max(r.owed[name], 1e-9)
		owed += r.owed[name]
		earned += r.earned[name]
	}
	r.Total = earned / max(owed, 1e-9)
	r.Used /= float64(max(r.steps, 1))
}
