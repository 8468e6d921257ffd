package clustersimulator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/planner"
	"knapweedspur/internal/wire/work"
)

// evening is a small load: serving tasks on ten VMs, and fillers beside them
// of which some press on them.
func evening() *Workload {
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

// Days of a seed have the same jobs, so that two policies can be compared.
func TestSameSeedDrawsSameJobs(t *testing.T) {
	draw := func() []*work.Job {
		var jobs []*work.Job
		for _, c := range evening().draw(rand.New(rand.NewPCG(3, 1)), time.Unix(0, 0)) {
			jobs = append(jobs, c.record)
		}
		return jobs
	}
	first, second := draw(), draw()
	if len(first) < 20 {
		t.Errorf("%d jobs were drawn", len(first))
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("jobs of two draws of a seed (-first +second):\n%s", diff)
	}
}

// The load: fillers that press on serving tasks at ten VMs. Users are to be
// served in time for nine tenths, while fillers get on.
func TestServingTasksMeetObjectiveBesideFillers(t *testing.T) {
	feed, proof, over := 0.0, 0.0, time.Duration(0)
	const days = 4
	for seed := range uint64(days) {
		r := Simulate(evening(), planner.ByWorth, seed)
		feed += r.Worth["feed"] / days
		proof += r.Worth["proof"] / days
		over += r.Over / days
	}
	t.Logf("feed %.3f proof %.3f over %s", feed, proof, over)
	if feed < 0.9 || proof < 0.5 {
		t.Errorf("serving tasks earn %.3f of what is owed and fillers %.3f, want 0.9 and 0.5", feed, proof)
	}
}

// Without fillers no serving task misses its objective by others' doing.
func TestNoObjectiveMissBlamedOnAbsentFillers(t *testing.T) {
	l := evening()
	l.Kinds = l.Kinds[:1]
	r := Simulate(l, planner.ByWorth, 1)
	if diff := cmp.Diff(time.Duration(0), r.Over); diff != "" {
		t.Errorf("over the objective (-want +got):\n%s", diff)
	}
}
