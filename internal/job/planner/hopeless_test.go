package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// playHopeless plays a job of 40 tasks of 600 ms, of which 8 run at a time and the
// first can never be done, and returns when it ended and how many tasks were started.
func playHopeless(t *testing.T, seconds time.Duration) (f *fleet, after time.Duration) {
	f = newFleet(t, 2)
	f.fails = func(_, task string, _ time.Duration) bool { return task == jobID(1)+".0.0.0" }
	f.acceptJob(&work.Job{ID: jobID(1), AcceptedAt: f.now, Steps: []work.Step{stepSpec(40, 1000)}, Queue: work.Queue{Pool: "pool", MaxFailures: 3, Target: time.Minute}})
	for f.elapsed() < seconds && f.outcome(jobID(1)) == "" {
		f.play(50*time.Millisecond, 0, work.Step{})
	}
	return f, f.elapsed()
}

// A job that can never be done ends within the time of three tries, and starts nothing
// more while its last try runs.
func TestHopelessJobEndsSoon(t *testing.T) {
	f, after := playHopeless(t, 10*time.Second)
	if diff := cmp.Diff(jobreducer.Failed, f.outcome(jobID(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
	if most := 3*600*time.Millisecond + 300*time.Millisecond; after > most {
		t.Errorf("ended after %s, want at most %s", after, most)
	}
	// 8 at first, 8 with the second try, and the third try alone.
	if diff := cmp.Diff(17, len(f.starts)); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
	f.play(time.Second, 0, work.Step{})
	f.submitJob(jobID(2), stepSpec(8, 1000))
	if n := len(f.placements(jobID(2))); n != 8 {
		t.Errorf("%d tasks of the next job run, want 8: the room must be free", n)
	}
}

// What fails on a VM that fails for others too is not held against its job.
func TestFailuresOfVMDoNotHoldJobBack(t *testing.T) {
	f := newFleet(t, 2)
	for i := range 3 {
		f.planner.vms["vm00"].health.RecordFailure(jobID(90+i), f.now)
	}
	f.submitJob(jobID(1), stepSpec(1, 500))
	s, index := f.planner.findTask(jobID(1) + ".0.0.0")
	s.tasks[index].Failures = doubtfulFailures
	s.noteBlame(index, f.planner.vms["vm00"], f.now)
	if f.planner.hasDoubtfulRun(s, f.now) {
		t.Error("the job is doubtful although its VM is to blame")
	}
	s.tasks[index].Failures++
	s.noteBlame(index, f.planner.vms["vm01"], f.now)
	if !f.planner.hasDoubtfulRun(s, f.now) {
		t.Error("the job is not doubtful after two failures of its own")
	}
}
