package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"knapweedspur/internal/wire/work"
)

// playSweeps plays short jobs of ten tasks on 20 VMs, of which one is 5 to 9 times
// slower for 5 s in each 10 s, and returns the times of the jobs, sorted.
func playSweeps(t *testing.T, copies bool) (*fleet, []time.Duration) {
	f := newFleet(t, 20)
	f.seconds = func(task string) float64 {
		sum := 0
		for _, c := range task {
			sum = 31*sum + int(c)
		}
		return 0.4 + 0.8*float64(uint32(sum)%1000)/1000
	}
	f.speed = func(vm string, elapsed time.Duration) float64 {
		period := int(elapsed / (5 * time.Second))
		if period%2 == 1 && vm == fmt.Sprintf("vm%02d", 7*period%20) {
			return 1 / (5 + float64(period%5))
		}
		return 1
	}
	spec := stepSpec(10, 780)
	spec.Speculative = copies
	f.play(60*time.Second, 350*time.Millisecond, spec)
	f.play(10*time.Second, 0, work.Step{})
	var times []time.Duration
	for n := 1; n <= f.jobs; n++ {
		o := f.state.Jobs[jobID(n)].Outcome
		if o == nil {
			t.Fatalf("job %d has not ended", n)
		}
		times = append(times, o.EndedAt.Sub(f.planner.jobs[jobID(n)].record.AcceptedAt))
	}
	slices.Sort(times)
	return f, times
}

// Where some VMs are slow for seconds, copies make the slowest twentieth of the jobs
// at least a third faster, and throw away at most a fiftieth of the work.
func TestCopiesShortenSlowestJobs(t *testing.T) {
	slowest := func(times []time.Duration) time.Duration {
		sum, tail := time.Duration(0), times[len(times)-len(times)/20:]
		for _, d := range tail {
			sum += d
		}
		return sum / time.Duration(len(tail))
	}
	_, without := playSweeps(t, false)
	f, with := playSweeps(t, true)
	t.Logf("slowest twentieth %s without copies, %s with; %d copies, %d won; %.4f of the work thrown away",
		slowest(without), slowest(with), f.planner.counters.Copies, f.planner.counters.CopiesWon, f.lostShare())
	if 3*slowest(with) > 2*slowest(without) {
		t.Errorf("the slowest twentieth takes %s with copies and %s without, want two thirds at most", slowest(with), slowest(without))
	}
	if share := f.lostShare(); share > 0.02 {
		t.Errorf("%.4f of the work is thrown away, want at most 0.02", share)
	}
}
