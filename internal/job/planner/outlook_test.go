package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

func TestForecastIsWrittenOnlyWhileRoomIsShort(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 8000, 1000)
	s.submitJob(jobID(1), stepSpec(4, 1000))
	writes := func(d time.Duration) (count, size int) {
		for end := s.now.Add(d); s.now.Before(end); {
			s.advance(100 * time.Millisecond)
			if f := s.planner.Outlook(1, s.now); f != nil {
				r := jobreducer.ForecastRecord(f)
				count, size = count+1, max(size, len(r.Key)+len(r.Value))
			}
		}
		return count, size
	}
	if count, _ := writes(5 * time.Second); count != 0 {
		t.Errorf("%d forecasts while there is room", count)
	}
	spec := stepSpec(100, 1000)
	spec.EstimatedDuration = 20 * time.Second
	s.submitJob(jobID(2), spec)
	if count, size := writes(5 * time.Second); count != 5 || size > 300 {
		t.Errorf("%d forecasts of up to %d bytes while a pool is short", count, size)
	}
	s.planner.CancelJob(jobID(2), s.now)
	if count, size := writes(5 * time.Second); count != 1 || size > 80 {
		t.Errorf("%d forecasts of up to %d bytes after that", count, size)
	}
}

// Long-running tasks, jobs that have become useless and those whose turn has half gone
// are not ahead of a new job; what runs is, with the rest of its time.
func TestForecastCountsWhatGoesBeforeNewJob(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 8000, 1000)
	long := stepSpec(1, 2000)
	long.LongRunning = true
	s.submitJob(jobID(1), long)
	running := stepSpec(6, 1000)
	running.EstimatedDuration = 10 * time.Second
	s.submitJob(jobID(2), running)
	for i := range s.vms["a"].active {
		s.vms["a"].active[i].ProgressPercent = 50
	}
	waiting := stepSpec(10, 1000)
	waiting.EstimatedDuration = 10 * time.Second // objective 21 s, useful for 63 s
	s.submitJob(jobID(3), waiting)
	s.advance(100 * time.Millisecond)
	want := func(backlog ...work.Backlog) {
		t.Helper()
		f := s.planner.Outlook(1, s.now)
		if f == nil || len(f.Pools) != 1 {
			t.Fatalf("forecast %+v", f)
		}
		if diff := cmp.Diff(backlog, f.Pools[0].Backlog); diff != "" || f.Pools[0].Millicores != 6000 {
			t.Errorf("%d millicores, backlog (-want +got):\n%s", f.Pools[0].Millicores, diff)
		}
	}
	rest := work.Backlog{JobWork: []int64{0}, Work: []int64{30_000}}
	want(work.Backlog{JobWork: []int64{0, 100_000}, Work: []int64{30_000, 130_000}})
	s.advance(6 * time.Second)
	want(work.Backlog{Late: true, JobWork: []int64{100_000}, Work: []int64{100_000}}, rest)
	s.advance(22 * time.Second)
	want(rest)
}

// What fillers get is what others leave until some wait, and then what they are seen to
// use.
func TestFillerRateFollowsUse(t *testing.T) {
	o := newOutlook()
	p := &poolOutlook{leftMillicores: 10_000, usedByFillers: 2000}
	p.Name = "p"
	rate := func() int { return o.fillerRate(p, time.Second) }
	got := []int{rate()}
	p.fillersWait = true
	for range 30 {
		got = append(got, rate())
	}
	if got[0] != 10_000 || got[1] < 8000 || got[30] > 2100 || got[30] < 2000 {
		t.Errorf("rates %v", got)
	}
	p.fillersWait = false
	if got := rate(); got != 10_000 {
		t.Errorf("rate %d after the last has found room", got)
	}
}

// Evacuated VMs give no room to new jobs; a pool without others is closed.
func TestForecastWithoutEvacuatedVMs(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b"} {
		s.addVMIn("zone-"+name, name, 8000, 1000)
	}
	spec := stepSpec(100, 1000)
	spec.EstimatedDuration = 20 * time.Second
	s.submitJob(jobID(1), spec)
	forecast := func(domains ...string) work.PoolForecast {
		t.Helper()
		s.evacuate(domains...)
		s.advance(time.Second)
		f := s.planner.Outlook(1, s.now)
		if f == nil || len(f.Pools) != 1 {
			t.Fatalf("forecast %+v", f)
		}
		return f.Pools[0]
	}
	if p := forecast("zone-a"); p.Closed || p.Millicores != 8000 {
		t.Errorf("with one domain evacuated: closed %v, %d millicores", p.Closed, p.Millicores)
	}
	if p := forecast("zone-a", "zone-b"); !p.Closed || p.Millicores != 0 {
		t.Errorf("with both: closed %v, %d millicores", p.Closed, p.Millicores)
	}
}
