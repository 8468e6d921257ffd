package clustersimulator

import (
	"time"

	"knapweedspur/internal/job/jobreducer"
)

// Result is the outcome of a simulation.
type Result struct {
	Seed uint64
	// Worth is the share of the attainable worth that was earned, by kind; Total is
	// the same over all kinds.
	Worth map[string]float64
	Total float64
	// Over is the total time for which serving tasks missed their objective because
	// of fillers.
	Over time.Duration
	// Used is the mean number of cores that fillers used.
	Used float64
	// Jobs are the latencies of the jobs without serving tasks by kind, in order
	// of arrival.
	Jobs map[string][]JobLatency

	attainable, earned map[string]float64
	steps              int
}

// JobLatency is when a job arrived and how long it took, 0 if it did not complete.
// Work is its work in core-seconds, Used what its tasks used.
type JobLatency struct {
	At, Took, Objective time.Duration
	Work, Used          float64
}

func newResult(seed uint64) *Result {
	return &Result{Seed: seed, Worth: map[string]float64{}, Jobs: map[string][]JobLatency{}, attainable: map[string]float64{}, earned: map[string]float64{}}
}

// earningWindow is the time in which a serving job earns its worth once.
// fillerMissPenalty is how many times a missed objective counts if fillers are the
// cause.
const (
	earningWindow     = 2 * time.Second
	fillerMissPenalty = 4
)

// observe adds the worth that was attainable and earned in one time step.
func (r *Result) observe(s *Simulation) {
	r.steps++
	readyTasks, missedTasks := map[*simulatedJob]float64{}, map[*simulatedJob]float64{}
	for _, v := range s.vms {
		for _, t := range v.tasks {
			switch k := t.job.kind; {
			case k.Serves && s.elapsed-t.startedAt > startupTime:
				readyTasks[t.job]++
				switch {
				case t.causedByFillers:
					missedTasks[t.job] += fillerMissPenalty
					r.Over += timeStep
				case t.overObjective:
					missedTasks[t.job]++
				}
			case k.Fills:
				r.Used += t.usedMillicores / 1000
			}
		}
	}
	for _, j := range s.jobsByID {
		if !j.kind.Serves || j.canceled || s.elapsed > s.workload.Length {
			continue
		}
		share := timeStep.Seconds() / earningWindow.Seconds()
		tasks := float64(j.record.Steps[0].Tasks)
		r.attainable[j.kind.Name] += j.kind.Worth * share
		r.earned[j.kind.Name] += j.kind.Worth * share * max(0, (readyTasks[j]-missedTasks[j])/tasks)
	}
	for id, state := range s.state.Jobs {
		if j := s.jobsByID[id]; j != nil && j.completedAt == 0 && state.Outcome != nil && state.Outcome.State == jobreducer.Completed {
			j.completedAt = s.elapsed
		}
	}
}

// summarize adds the worth of the jobs without serving tasks and computes the
// shares.
func (r *Result) summarize(s *Simulation) {
	totalWork, jobCount := map[string]float64{}, map[string]float64{}
	for _, j := range s.jobs {
		totalWork[j.kind.Name] += j.coreSeconds
		jobCount[j.kind.Name]++
	}
	for _, j := range s.jobs {
		if j.kind.Serves {
			continue
		}
		k := j.kind
		scale := min(4, 0.3+0.7*j.coreSeconds/(totalWork[k.Name]/jobCount[k.Name]))
		latency := JobLatency{At: j.arrival, Objective: j.objective(), Work: j.coreSeconds, Used: j.usedCoreSeconds}
		if j.completedAt > 0 {
			latency.Took = j.completedAt - j.arrival
		}
		r.Jobs[k.Name] = append(r.Jobs[k.Name], latency)
		r.attainable[k.Name] += k.Worth * scale
		switch {
		case j.completedAt > 0 && latency.Took <= latency.Objective:
			r.earned[k.Name] += k.Worth * scale
		case j.completedAt > 0 && latency.Took <= lateFactor*latency.Objective:
			r.earned[k.Name] += k.Late * scale
		}
	}
	attainable, earned := 0.0, 0.0
	for name := range r.attainable {
		r.Worth[name] = r.earned[name] / max(r.attainable[name], 1e-9)
		attainable += r.attainable[name]
		earned += r.earned[name]
	}
	r.Total = earned / max(attainable, 1e-9)
	r.Used /= float64(max(r.steps, 1))
}
