package clustersimulator

import (
	"testing"
	"time"

	"knapweedspur/internal/job/planner"
)

// burstWorkload has fillers that request 2.5 times their mean work for six seconds,
// more than the serving tasks leave, and declare durations that are far off.
func burstWorkload() *Workload {
	w := smallWorkload()
	w.Length = 30 * time.Second
	proof := &w.Kinds[1]
	proof.Rate, proof.Off = 1.6, 0.5
	proof.Burst = Burst{At: 8 * time.Second, For: 6 * time.Second, Times: 2.5}
	return w
}

// outcomes counts the jobs of a kind over several days, and sums the work.
type outcomes struct {
	jobs, inTime, late int
	work, workInTime   float64
	longest            time.Duration
}

func play(settings planner.Settings, seeds uint64) (o outcomes) {
	for seed := range seeds {
		for _, j := range Simulate(burstWorkload(), settings, seed+1).Jobs["proof"] {
			o.jobs++
			o.work += j.Work
			switch {
			case j.Took > 0 && j.Took <= j.Objective:
				o.inTime++
				o.workInTime += j.Work
			case j.Took > 0 && j.Took <= lateFactor*j.Objective:
				o.late++
			}
			o.longest = max(o.longest, j.Took)
		}
	}
	return o
}

// A late job is worth a seventh of one in time. In the order by worth alone, with
// declared durations, 0.63 of the jobs with half of the work are in time.
func TestBurstOverCapacityKeepsMostJobsInTime(t *testing.T) {
	o := play(planner.Settings{}, 6)
	inTime, workInTime := float64(o.inTime)/float64(o.jobs), o.workInTime/o.work
	t.Logf("in time %.3f of the jobs, %.3f of the work; late %d of %d; longest %s", inTime, workInTime, o.late, o.jobs, o.longest)
	if inTime < 0.67 || workInTime < 0.56 {
		t.Errorf("%.3f of the jobs with %.3f of the work are in time, want at least 0.67 and 0.56", inTime, workInTime)
	}
	if limit := 40 * time.Second; o.longest > limit {
		t.Errorf("a job took %s, want at most %s", o.longest, limit)
	}
}
