package planner

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

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

// Nothing gets a copy that may not, however late it is.
func TestCopiesAreBounded(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fleet, spec *work.Step)
		late    func(f *fleet)
		want    int
	}{
		{name: "allowed", want: 1},
		{name: "not declared", prepare: func(_ *fleet, spec *work.Step) { spec.Speculative = false }},
		{name: "writes checkpoints", prepare: func(_ *fleet, spec *work.Step) { spec.Checkpoints = true }},
		{name: "gang", prepare: func(_ *fleet, spec *work.Step) { spec.Gang = true }},
		{name: "no try left", late: func(f *fleet) {
			s, _ := f.planner.findTask(jobID(1) + ".0.0.0")
			s.tasks[0].Failures = 1
		}},
		{name: "other work waits", late: func(f *fleet) { f.submitJob(jobID(2), stepSpec(1, 5000)) }},
		{name: "other VMs shrank", late: func(f *fleet) {
			own := f.placements(jobID(1))[jobID(1)+".0.0.0"]
			for _, name := range f.vmNames() {
				if name != own {
					f.resize(name, work.Size{Millicores: 999, Memory: 10_000})
				}
			}
		}},
		{name: "VM is silent", late: func(f *fleet) {
			for task, name := range f.placements(jobID(1)) {
				if task == jobID(1)+".0.0.0" {
					f.vms[name].silent = true
				}
			}
			f.play(800*time.Millisecond, 0, work.Step{})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 4)
			spec := stepSpec(1, 1000)
			spec.Speculative = true
			if c.prepare != nil {
				c.prepare(f, &spec)
			}
			f.seconds = func(string) float64 { return 30 }
			f.submitJob(jobID(1), spec)
			f.play(300*time.Millisecond, 0, work.Step{})
			if c.late != nil {
				c.late(f)
			}
			for _, v := range f.planner.sortedVMs {
				for _, p := range v.runs {
					p.rate = 1
					for _, run := range []string{"a", "b"} {
						v.health.ObserveRun(run, 0.1, 0.5, f.now)
					}
				}
			}
			f.planner.copyBudget.Serve(100_000, f.now)
			f.now = f.now.Add(copyInterval)
			f.runPass()
			if diff := cmp.Diff(c.want, f.planner.counters.Copies); diff != "" {
				t.Errorf("copies (-want +got):\n%s", diff)
			}
		})
	}
}
