package pacer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// fakeVM simulates a VM with one serving task. The task's load is the sum of its
// own load and the load that the fillers add.
type fakeVM struct {
	ownLoad     float64
	weights     map[string]float64
	starts      map[string]work.Start
	paces       map[string]int
	pacer       *Pacer
	now         time.Duration
	missedFor   time.Duration
	longestMiss time.Duration
}

const (
	target     = 40 * time.Millisecond
	capacity   = 64_000
	fillerSize = 8_000
)

func newFakeVM(ownLoad float64, weights map[string]float64) *fakeVM {
	v := &fakeVM{ownLoad: ownLoad, weights: weights, starts: map[string]work.Start{"feed": {Task: "feed", LatencyTarget: target, Serving: true, Image: "feed"}}, paces: map[string]int{}, pacer: New()}
	v.pacer.MaxTargetMiss = 4 * time.Second
	for image := range weights {
		v.starts[image] = work.Start{Task: image, Run: 1, Filler: true, Image: image, Millicores: fillerSize}
		v.paces[image] = fullPace
	}
	return v
}

// latencyRatio returns the ratio of tail latency to objective, from the load as
// in a queue.
func (v *fakeVM) latencyRatio() float64 {
	load := v.ownLoad
	for image, weight := range v.weights {
		load += weight * float64(v.paces[image]) / fullPace * fillerSize / capacity
	}
	return 0.2 / (1 - min(load, 0.99))
}

// poll simulates one poll interval.
func (v *fakeVM) poll() {
	v.now += 250 * time.Millisecond
	active := []work.RunStatus{{Task: "feed", Run: 1, ProgressPercent: 100, Measurement: v.latencyRatio() * float64(target.Milliseconds())}}
	for image := range v.weights {
		active = append(active, work.RunStatus{Task: image, Run: 1, Measurement: float64(v.paces[image]) / fullPace * fillerSize})
	}
	for run, pace := range v.pacer.Decide(active, v.starts, work.Size{Millicores: capacity}, v.now) {
		v.paces[run.Task] = pace
		v.pacer.Confirm(run, pace)
	}
	if v.latencyRatio() > 1 {
		v.missedFor += 250 * time.Millisecond
		v.longestMiss = max(v.longestMiss, v.missedFor)
	} else {
		v.missedFor = 0
	}
}

func TestOnlyInterferingFillerIsSlowed(t *testing.T) {
	v := newFakeVM(0.45, map[string]float64{"hot": 3.5, "mild": 0.1})
	v.pacer.Learn([]work.Interference{{FillerImage: "hot", ServingImage: "feed", LoadIncrease: 3.5}, {FillerImage: "mild", ServingImage: "feed", LoadIncrease: 0.1}})
	for range 20 {
		v.poll()
	}
	if v.paces["mild"] < 90 {
		t.Errorf("the filler without interference runs at %d %%", v.paces["mild"])
	}
	if v.paces["hot"] < 40 || v.paces["hot"] > 90 {
		t.Errorf("the interfering filler runs at %d %%", v.paces["hot"])
	}
	if v.latencyRatio() > 1 {
		t.Errorf("the latency of the serving task is at %.2f of its objective", v.latencyRatio())
	}
}

// The load of a serving task may rise while fillers run. Paces must fall in time
// for the latency objective, and rise again with the falling load.
func TestPacesFollowLoadUpAndDown(t *testing.T) {
	v := newFakeVM(0.2, map[string]float64{"hot": 3.5})
	v.pacer.Learn([]work.Interference{{FillerImage: "hot", ServingImage: "feed", LoadIncrease: 3.5}})
	for range 60 {
		v.ownLoad = min(v.ownLoad+0.01, 0.7)
		v.poll()
	}
	if v.longestMiss > time.Second {
		t.Errorf("over its objective for %s", v.longestMiss)
	}
	for range 40 {
		v.ownLoad = max(v.ownLoad-0.02, 0.2)
		v.poll()
	}
	if v.paces["hot"] < 80 {
		t.Errorf("the filler runs at %d %% after the load fell", v.paces["hot"])
	}
}

// Guards against reliance on a wrong model: the learned weight of an interfering
// pair was 0, so the filler was never throttled. A fault-injection run failed its
// "harm" check because of this.
func TestWrongModelStaysWithinMaxTargetMiss(t *testing.T) {
	v := newFakeVM(0.5, map[string]float64{"hot": 4})
	v.pacer.Learn([]work.Interference{{FillerImage: "hot", ServingImage: "feed", LoadIncrease: 0}})
	for range 80 {
		v.poll()
	}
	if v.longestMiss > 3*time.Second {
		t.Errorf("over its objective for %s, the limit is 4 s", v.longestMiss)
	}
}

func TestFillersRunAtFullPaceWithoutServingTasks(t *testing.T) {
	p := New()
	starts := map[string]work.Start{"x": {Task: "x", Run: 1, Filler: true, Image: "x", Millicores: fillerSize}}
	changes := p.Decide([]work.RunStatus{{Task: "x", Run: 1, Measurement: fillerSize}}, starts, work.Size{Millicores: capacity}, time.Second)
	if diff := cmp.Diff(map[work.RunRef]int{}, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestServingTaskWithoutLatencyHasLoadReserved(t *testing.T) {
	p := New()
	p.Learn([]work.Interference{{FillerImage: "hot", ServingImage: "feed", LoadIncrease: 5}})
	starts := map[string]work.Start{
		"feed": {Task: "feed", Run: 1, LatencyTarget: target, Serving: true, Image: "feed"},
		"hot":  {Task: "hot", Run: 1, Filler: true, Image: "hot", Millicores: 2 * fillerSize},
	}
	active := []work.RunStatus{{Task: "feed", Run: 1}, {Task: "hot", Run: 1, Measurement: 2 * fillerSize}}
	changes := p.Decide(active, starts, work.Size{Millicores: capacity}, time.Second)
	// A weight of 5 on a quarter of the VM would add 1.25 to the load; half of
	// 0.77 is available.
	if diff := cmp.Diff(map[work.RunRef]int{{Task: "hot", Run: 1}: 30}, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func sum(level, rise float64) float64 { return level + rise }

// A load that rises as in a cycle of ten seconds must be predicted as it will be
// when a decision takes effect. A falling load must not be predicted to be lower
// than it is.
func TestRisingLoadIsPredicted(t *testing.T) {
	const poll = 125 * time.Millisecond
	slope := 0.16
	x := trend{level: 0.2}
	now, load, predicted := time.Duration(0), 0.2, 0.0
	for range 16 {
		now += poll
		load += slope * poll.Seconds()
		predicted = sum(x.predict(load, now))
	}
	if predicted < load {
		t.Errorf("after 2 s of rising load: predicted %.3f, want at least the load of %.3f", predicted, load)
	}
	for range 16 {
		now += poll
		load -= slope * poll.Seconds()
		if predicted = sum(x.predict(load, now)); predicted < load-0.01 {
			t.Fatalf("falling load: predicted %.3f for a load of %.3f", predicted, load)
		}
	}
}

// An agent that was suspended, or had no fillers for a while, must not
// extrapolate an old slope.
func TestExpiredTrendIsDiscarded(t *testing.T) {
	v := newFakeVM(0.5, map[string]float64{"hot": 3})
	falling := &trend{level: 0.6, slope: -0.1, at: v.now}
	v.pacer.ownLoads["feed"] = falling
	v.now += time.Minute
	if got := v.pacer.ownLoad(servingTask{task: "feed", image: "feed", latencyRatio: 0.4}, nil, v.now); got < 0.49 {
		t.Errorf("own load %.2f after a minute without samples, want 0.50", got)
	}
}

// An agent runs for months, so the trends of ended tasks must not accumulate.
func TestTrendsOfEndedTasksAreDropped(t *testing.T) {
	v := newFakeVM(0.5, map[string]float64{"hot": 3})
	v.poll()
	v.pacer.ownLoads["gone"] = &trend{}
	v.poll()
	if diff := cmp.Diff(1, len(v.pacer.ownLoads)); diff != "" {
		t.Errorf("trends kept (-want +got):\n%s", diff)
	}
}
