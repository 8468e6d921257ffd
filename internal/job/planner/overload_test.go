package planner

import (
	"math/rand/v2"
	"testing"
	"time"

	"knapweedspur/internal/job/jobreducer"
)

// runLoad submits jobs at a fixed interval to one VM, on which each task takes
// its declared time. It returns the share of jobs that completed within their
// objective, among all jobs and among the largest ones.
func runLoad(t *testing.T, interval time.Duration, taskCounts []int, duration time.Duration) (all, large float64) {
	s := newSimulation(t)
	s.addVM("a", 8000, 1000)
	random := rand.New(rand.NewPCG(1, 2))
	startedAt := map[string]time.Time{}
	accepted, finished := map[string]time.Time{}, map[string]time.Time{}
	largest := 0
	for _, count := range taskCounts {
		largest = max(largest, count)
	}
	taskCount := map[string]int{}
	next, number := s.now, 0
	const step = 50 * time.Millisecond
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(step) {
		for !s.now.Before(next) {
			number++
			taskCount[jobID(number)] = taskCounts[random.IntN(len(taskCounts))]
			accepted[jobID(number)] = s.now
			s.submitJob(jobID(number), stepSpec(taskCount[jobID(number)], 1000))
			next = next.Add(interval)
		}
		v := s.vms["a"]
		for i := len(v.active) - 1; i >= 0; i-- {
			task := v.active[i].Task
			if startedAt[task].IsZero() {
				startedAt[task] = s.now
			}
			if s.now.Sub(startedAt[task]) >= time.Second {
				s.endRun(v, task, "done")
			}
		}
		s.sendReport("a")
		for job, at := range accepted {
			if finished[job].IsZero() && s.outcome(job) == jobreducer.Completed {
				finished[job] = s.now
				_ = at
			}
		}
	}
	onTime, counted, largeOnTime, largeCounted := 0, 0, 0, 0
	for job, at := range accepted {
		if s.now.Sub(at) < 3*time.Second {
			continue
		}
		ok := !finished[job].IsZero() && finished[job].Sub(at) <= 3*time.Second
		counted++
		if ok {
			onTime++
		}
		if taskCount[job] == largest {
			largeCounted++
			if ok {
				largeOnTime++
			}
		}
	}
	return float64(onTime) / float64(counted), float64(largeOnTime) / float64(max(largeCounted, 1))
}

// The load is 1.5 times the capacity of the VM, in jobs of 1 to 6 tasks.
// Ordering by deadline alone, 0.50 of the jobs met their objective.
func TestMostJobsMeetObjectiveUnderOverload(t *testing.T) {
	all, _ := runLoad(t, 250*time.Millisecond, []int{1, 2, 3, 6}, 40*time.Second)
	if all < 0.75 {
		t.Errorf("%.2f of the jobs met their objective, want at least 0.75", all)
	}
}

// The load is 0.8 times the capacity of the VM.
func TestAllJobSizesMeetObjectiveWithSpareCapacity(t *testing.T) {
	all, large := runLoad(t, 470*time.Millisecond, []int{1, 2, 3, 6}, 40*time.Second)
	if all < 0.95 || large < 0.9 {
		t.Errorf("%.2f of all and %.2f of the largest jobs met their objective, want at least 0.95 and 0.90", all, large)
	}
}
