package planner

import (
	"math/rand/v2"
	"testing"
	"time"

	"knapweedspur/internal/job/jobreducer"
)

// play runs jobs that arrive at a rate against one VM, on which a task takes
// the time that its job declares, and returns the share of jobs that were done
// within their objective, of all and of the largest.
func play(t *testing.T, arrivals time.Duration, widths []int, length time.Duration) (all, large float64) {
	s := newStage(t)
	s.add("a", 8000, 1000)
	random := rand.New(rand.NewPCG(1, 2))
	began := map[string]time.Time{}
	accepted, finished := map[string]time.Time{}, map[string]time.Time{}
	widest := 0
	for _, w := range widths {
		widest = max(widest, w)
	}
	width := map[string]int{}
	next, number := s.now, 0
	const step = 50 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		for !s.now.Before(next) {
			number++
			width[id(number)] = widths[random.IntN(len(widths))]
			accepted[id(number)] = s.now
			s.submit(id(number), tasks(width[id(number)], 1000))
			next = next.Add(arrivals)
		}
		v := s.vms["a"]
		for i := len(v.active) - 1; i >= 0; i-- {
			task := v.active[i].Task
			if began[task].IsZero() {
				began[task] = s.now
			}
			if s.now.Sub(began[task]) >= time.Second {
				s.end(v, task, "done")
			}
		}
		s.report("a")
		for job, at := range accepted {
			if finished[job].IsZero() && s.outcome(job) == jobreducer.Completed {
				finished[job] = s.now
				_ = at
			}
		}
	}
	onTime, owed, largeOnTime, largeOwed := 0, 0, 0, 0
	for job, at := range accepted {
		if s.now.Sub(at) < 3*time.Second {
			continue
		}
		ok := !finished[job].IsZero() && finished[job].Sub(at) <= 3*time.Second
		owed++
		if ok {
			onTime++
		}
		if width[job] == widest {
			largeOwed++
			if ok {
				largeOnTime++
			}
		}
	}
	return float64(onTime) / float64(owed), float64(largeOnTime) / float64(max(largeOwed, 1))
}

// The load: half as much again as the VM can do, jobs of 1 to 6 tasks. By
// deadline alone 0.50 of the jobs were in time.
func TestMostJobsMeetObjectiveUnderOverload(t *testing.T) {
	all, _ := play(t, 250*time.Millisecond, []int{1, 2, 3, 6}, 40*time.Second)
	if all < 0.75 {
		t.Errorf("%.2f of the jobs were in time, want 0.75", all)
	}
}

// The load: four fifths of what the VM can do.
func TestAllJobSizesMeetObjectiveWithSpareCapacity(t *testing.T) {
	all, large := play(t, 470*time.Millisecond, []int{1, 2, 3, 6}, 40*time.Second)
	if all < 0.95 || large < 0.9 {
		t.Errorf("%.2f of all and %.2f of the largest jobs were in time", all, large)
	}
}
