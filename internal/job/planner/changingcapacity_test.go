package planner

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// capacityBound is how long after a worker has shrunk a start may still rest on its former
// capacity, and heartbeatInterval the time between two of its heartbeats.
const (
	capacityBound     = 3 * time.Second
	heartbeatInterval = 1100 * time.Millisecond
)

// changingWorker is a worker whose capacity changes between its heartbeats.
type changingWorker struct {
	*simulatedVM
	capacity      work.Size
	changes       []capacityChange
	nextHeartbeat time.Time
	starts        int
}

type capacityChange struct {
	at       time.Time
	capacity work.Size
}

// used returns what the runs of a worker reserve, those that stop included.
func (s *simulation) used(v *simulatedVM) work.Size {
	var sum work.Size
	for _, a := range v.active {
		planned, _ := s.planner.findTask(a.Task)
		if planned == nil {
			continue // its job has ended
		}
		size := reservedSize(planned.spec)
		sum = work.Size{Millicores: sum.Millicores + size.Millicores, Memory: sum.Memory + size.Memory, Accelerators: sum.Accelerators + size.Accelerators}
	}
	return sum
}

func within(size, capacity work.Size) bool {
	return size.Millicores <= capacity.Millicores && size.Memory <= capacity.Memory && size.Accelerators <= capacity.Accelerators
}

// checkStarts fails if a worker that got a start since the last call holds more than each
// capacity that it had within the bound, or more than the one that was reported last.
func (w *changingWorker) checkStarts(t *rapid.T, s *simulation, name string) {
	if w.starts == len(w.mute.starts) {
		return
	}
	w.starts = len(w.mute.starts)
	used := s.used(w.simulatedVM)
	if !within(used, w.workerStatus.Capacity) {
		t.Fatalf("a start lets %s hold %+v, and it last reported %+v", name, used, w.workerStatus.Capacity)
	}
	for i := len(w.changes) - 1; i >= 0; i-- {
		if within(used, w.changes[i].capacity) {
			return
		}
		if s.now.Sub(w.changes[i].at) > capacityBound+heartbeatInterval {
			break
		}
	}
	t.Fatalf("a start lets %s hold %+v, and its capacity has been %+v", name, used, w.changes)
}

// passChanging lets time pass with heartbeats of the workers.
func (s *simulation) passChanging(t *rapid.T, workers map[string]*changingWorker, d time.Duration) {
	check := func() {
		for name, w := range workers {
			w.checkStarts(t, s, name)
		}
	}
	check()
	for ; d > 0; d -= 100 * time.Millisecond {
		for name, w := range workers {
			if !s.now.Before(w.nextHeartbeat) {
				w.workerStatus.Capacity, w.nextHeartbeat = w.capacity, s.now.Add(heartbeatInterval)
				// The pass after this report may place on the others by their last ones.
				s.sendReport(name)
				check()
			}
		}
		s.advance(100 * time.Millisecond)
		check()
	}
}

// No sequence of changes may let a start exceed the capacity of its worker, or keep a job
// from its end once all workers have their full capacity again.
func TestRandomCapacitiesAreNotExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(t)
		workers := map[string]*changingWorker{}
		names := []string{"a", "b", "c"}
		for _, name := range names {
			v := s.addVM(name, vmSize.Millicores, vmSize.Memory)
			s.resize(name, vmSize)
			workers[name] = &changingWorker{simulatedVM: v, capacity: vmSize, changes: []capacityChange{{s.now, vmSize}}, nextHeartbeat: s.now}
		}
		resize := func(name string, capacity work.Size) {
			w := workers[name]
			w.capacity = capacity
			w.changes = append(w.changes, capacityChange{s.now, capacity})
		}
		submitted := 0
		for range rapid.IntRange(10, 50).Draw(rt, "events") {
			w := workers[rapid.SampledFrom(names).Draw(rt, "worker")]
			switch event := rapid.IntRange(0, 9).Draw(rt, "event"); event {
			case 0, 1, 2:
				submitted++
				s.acceptJob(drawJob(rt, submitted, s.now))
			case 3, 4, 5:
				if len(w.active) > 0 {
					s.endRun(w.simulatedVM, w.active[rapid.IntRange(0, len(w.active)-1).Draw(rt, "run")].Task, endDone)
				}
			case 6, 7:
				resize(w.workerStatus.VM, work.Size{
					Millicores: rapid.IntRange(0, 8).Draw(rt, "cores") * vmSize.Millicores / 8, Memory: rapid.IntRange(0, 4).Draw(rt, "memory") * vmSize.Memory / 4,
					Accelerators: rapid.IntRange(0, vmSize.Accelerators).Draw(rt, "accelerators"),
				})
			case 8:
				w.ignoreStops = !w.ignoreStops
			case 9:
				// Entries introduce the agents as they were when they connected.
				newest := map[string]work.Size{}
				for name, w := range workers {
					newest[name], w.workerStatus.Capacity = w.workerStatus.Capacity, vmSize
				}
				before := len(s.starts)
				s.restart()
				if len(s.starts) > before {
					rt.Fatal("a new leader places tasks before any report")
				}
				for name, w := range workers {
					w.workerStatus.Capacity = newest[name]
				}
			}
			s.passChanging(rt, workers, time.Duration(rapid.IntRange(1, 20).Draw(rt, "wait"))*100*time.Millisecond)
		}
		for name, w := range workers {
			resize(name, vmSize)
			w.ignoreStops = false
		}
		for range 30 + 3*submitted {
			s.passChanging(rt, workers, 300*time.Millisecond)
			for _, w := range workers {
				for i := len(w.active) - 1; i >= 0; i-- {
					if planned, _ := s.planner.findTask(w.active[i].Task); planned != nil && !planned.spec.LongRunning {
						s.endRun(w.simulatedVM, w.active[i].Task, endDone)
					}
				}
			}
		}
		for n := range submitted {
			if outcome := s.outcome(jobID(n + 1)); outcome != jobreducer.Completed && !s.state.Jobs[jobID(n+1)].Description.Steps[0].LongRunning {
				rt.Fatalf("job %d has the outcome %q with all workers at their full capacity", n+1, outcome)
			}
		}
	})
}

// drawJob draws a job of any kind that fits on workers with their full capacity.
func drawJob(t *rapid.T, number int, now time.Time) *work.Job {
	spec := work.Step{
		Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), EstimatedDuration: time.Duration(rapid.IntRange(1, 8).Draw(t, "seconds")) * time.Second,
		Size: work.Size{
			Millicores: rapid.IntRange(1, 12).Draw(t, "size") * vmSize.Millicores / 16, Memory: rapid.IntRange(1, 6).Draw(t, "memory") * vmSize.Memory / 8,
			Accelerators: max(0, rapid.IntRange(-6, vmSize.Accelerators).Draw(t, "accelerators")),
		},
	}
	spec.Checkpoints = rapid.Bool().Draw(t, "checkpoints")
	switch rapid.IntRange(0, 7).Draw(t, "kind") {
	case 0, 1:
		spec.Filler, spec.Image = true, "fill"
	case 2:
		// Gangs are small, so that all of it fits at once.
		spec.Gang, spec.Size = true, work.Size{Millicores: 1000, Memory: 1000}
	case 3:
		spec.Speculative = true
	case 4:
		spec.LongRunning, spec.Size = true, work.Size{Millicores: 100, Memory: 10}
	}
	return &work.Job{ID: jobID(number), Spec: "spec", AcceptedAt: now, Steps: []work.Step{spec}, Queue: work.Queue{
		Name: "queue", Pool: "pool", Priority: rapid.IntRange(0, 2).Draw(t, "priority"), MaxFailures: 2, Stretch: 2, Target: time.Second,
	}}
}
