package clustersimulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/wire/work"
)

// smallWorkload has serving tasks on ten VMs and fillers, some of which slow the
// serving tasks.
func smallWorkload() *Workload {
	return &Workload{
		VMs: 10, Millis: 16_000, Memory: 64_000, Length: 20 * time.Second, Resources: 3, Drift: 0.2,
		Kinds: []Kind{
			{
				Name: "feed", Initial: 8, Steps: Distribution{Mean: 1, Max: 1}, Width: Distribution{Mean: 5, Max: 5}, Millis: Distribution{Mean: 2500, Max: 2500},
				Memory: Distribution{Mean: 3000, Max: 3000}, Seconds: Distribution{Mean: 1, Max: 1}, Worth: 1.5, Stretch: 2, Target: time.Second, Images: 4,
				Serves: true, Stay: Distribution{Mean: 60, Max: 60}, Use: 0.42, Swing: 0.6, Period: 10 * time.Second, Tail: 4 * time.Millisecond, Limit: 4.5,
			},
			{
				Name: "proof", Rate: 1.5, Steps: Distribution{Mean: 2, Spread: 0.3, Max: 3}, Width: Distribution{Mean: 6, Spread: 0.5, Max: 20},
				Millis: Distribution{Mean: 1800, Spread: 0.3, Max: 3500}, Memory: Distribution{Mean: 2000, Max: 2000}, Seconds: Distribution{Mean: 1.5, Spread: 0.5, Max: 4}, Off: 0.2,
				Worth: 9, Late: 1.4, Stretch: 2, Target: time.Second, Images: 8, Fills: true, Presses: 5, Heavy: 0.65, Saves: true,
			},
		},
	}
}

// A seed must always draw the same jobs, or two policies could not be compared.
func TestSameSeedDrawsSameJobs(t *testing.T) {
	draw := func() []*work.Job {
		var jobs []*work.Job
		for _, j := range smallWorkload().drawJobs(rand.New(rand.NewPCG(3, 1)), time.Unix(0, 0)) {
			jobs = append(jobs, j.record)
		}
		return jobs
	}
	first, second := draw(), draw()
	if len(first) < 20 {
		t.Errorf("only %d jobs were drawn, want at least 20", len(first))
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("jobs of two draws of a seed (-first +second):\n%s", diff)
	}
}

// Guards against a planner or pacer that lets fillers slow serving tasks too much,
// or that starves the fillers: serving tasks must earn nine tenths of their worth
// while fillers earn at least half of theirs.
func TestServingTasksMeetObjectiveBesideFillers(t *testing.T) {
	feed, proof, over := 0.0, 0.0, time.Duration(0)
	const runs = 4
	for seed := range uint64(runs) {
		result := Simulate(smallWorkload(), planner.Settings{}, seed)
		feed += result.Worth["feed"] / runs
		proof += result.Worth["proof"] / runs
		over += result.Over / runs
	}
	t.Logf("feed %.3f proof %.3f over %s", feed, proof, over)
	if feed < 0.9 || proof < 0.5 {
		t.Errorf("serving tasks earned a share of %.3f of their worth and fillers %.3f, want at least 0.9 and 0.5", feed, proof)
	}
}

// Without fillers, no missed objective of a serving task may be attributed to
// fillers.
func TestNoObjectiveMissBlamedOnAbsentFillers(t *testing.T) {
	workload := smallWorkload()
	workload.Kinds = workload.Kinds[:1]
	result := Simulate(workload, planner.Settings{}, 1)
	if diff := cmp.Diff(time.Duration(0), result.Over); diff != "" {
		t.Errorf("time over the objective because of fillers (-want +got):\n%s", diff)
	}
}
