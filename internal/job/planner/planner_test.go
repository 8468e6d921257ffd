package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

func TestJobRunsItsStepsInOrder(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	second := stepSpec(2, 500)
	second.DependsOn = []int{0}
	s.submitJob(jobID(1), stepSpec(3, 500), second)
	want := map[string]string{jobID(1) + ".0.0.0": "a", jobID(1) + ".0.0.1": "a", jobID(1) + ".0.0.2": "a"}
	if diff := cmp.Diff(want, s.placements(jobID(1))); diff != "" {
		t.Fatalf("the second step must wait for the first (-want +got):\n%s", diff)
	}
	s.endAllRuns("done")
	want = map[string]string{jobID(1) + ".0.1.0": "a", jobID(1) + ".0.1.1": "a"}
	if diff := cmp.Diff(want, s.placements(jobID(1))); diff != "" {
		t.Fatalf("second step (-want +got):\n%s", diff)
	}
	s.endAllRuns("done")
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
}

func TestBatchRecordsEveryRunItStarts(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	job := &work.Job{ID: jobID(1), AcceptedAt: s.now, Steps: []work.Step{stepSpec(2, 500)}, Queue: work.Queue{Pool: "pool", MaxFailures: 1}}
	s.planner.AddJob(job, s.now)
	s.planner.Tick(s.now)
	batch := s.planner.Flush()
	if len(batch.Commands["a"].Starts) != 2 {
		t.Fatalf("want two starts, got %+v", batch.Commands)
	}
	state := jobreducer.New()
	for _, r := range batch.Records {
		if err := state.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	for _, start := range batch.Commands["a"].Starts {
		_, i := s.planner.findTask(start.Task)
		if task := state.Jobs[jobID(1)].Tasks[jobreducer.TaskKey{Index: i}]; task == nil || len(task.Runs) != 1 {
			t.Errorf("the start of task %d was sent, but its run is not in the records of the batch", i)
		}
	}
}

func TestJobFailsAtItsFailureLimit(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	s.addVM("b", 4000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.endAllRuns("failed")
	s.advance(3 * time.Second)
	s.endAllRuns("failed")
	s.advance(3 * time.Second)
	if diff := cmp.Diff(jobreducer.Failed, s.outcome(jobID(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
	if len(s.starts) != 2 {
		t.Errorf("want two starts, got %d", len(s.starts))
	}
}

func TestRetryAvoidsTheVMThatFailed(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	s.addVM("b", 4000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	first := s.placements(jobID(1))[jobID(1)+".0.0.0"]
	// End only this run, because a retry may already have been placed
	// elsewhere.
	s.endRun(s.vms[first], jobID(1)+".0.0.0", "failed")
	s.advance(time.Second)
	if second := s.placements(jobID(1))[jobID(1)+".0.0.0"]; second == first || second == "" {
		t.Errorf("first run on %q, retry on %q; want different VMs", first, second)
	}
}

func TestCancelStopsRunsAndStartsNone(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(4, 500))
	s.planner.CancelJob(jobID(1), s.now)
	s.runPass()
	s.advance(time.Second)
	if diff := cmp.Diff(map[string]string{}, s.placements(jobID(1))); diff != "" {
		t.Errorf("running after cancel (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(jobreducer.Canceled, s.outcome(jobID(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if len(s.starts) != 2 {
		t.Errorf("want two starts, got %d", len(s.starts))
	}
	if j := s.state.Jobs[jobID(1)]; j.Description != nil || len(j.Tasks) != 0 {
		t.Errorf("the log still describes the job: %+v", j)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 1000, 1000)
	gang := stepSpec(3, 500)
	gang.Gang = true
	s.submitJob(jobID(1), gang)
	if len(s.starts) != 0 {
		t.Fatalf("want no start while the gang has no room, got %d", len(s.starts))
	}
	s.addVM("b", 1000, 1000)
	s.advance(200 * time.Millisecond)
	if len(s.starts) != 3 {
		t.Fatalf("want three starts, got %d", len(s.starts))
	}
	s.endRun(s.vms["a"], s.vms["a"].active[0].Task, "done")
	s.advance(time.Second)
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Errorf("outcome after one task of the gang was done (-want +got):\n%s", diff)
	}
}

func TestPlacementKeepsLabelsAndSpread(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000, "ssd")
	s.addVM("b", 4000, 1000)
	labeled := stepSpec(2, 100)
	labeled.Label = "ssd"
	s.submitJob(jobID(1), labeled)
	for task, name := range s.placements(jobID(1)) {
		if name != "a" {
			t.Errorf("%s runs on %s, which lacks the label", task, name)
		}
	}
	spread := stepSpec(3, 100)
	spread.MaxPerVM = 1
	s.submitJob(jobID(2), spread)
	if diff := cmp.Diff(2, len(s.placements(jobID(2)))); diff != "" {
		t.Errorf("running tasks with at most one on each of two VMs (-want +got):\n%s", diff)
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	job := &work.Job{
		ID: jobID(1), AcceptedAt: s.now, DueAt: s.now.Add(time.Second), Interval: time.Second, Occurrences: 2,
		Steps: []work.Step{stepSpec(1, 100)}, Queue: work.Queue{Pool: "pool", MaxFailures: 1},
	}
	s.acceptJob(job)
	s.advance(900 * time.Millisecond)
	if len(s.starts) != 0 {
		t.Fatalf("started before the occurrence was due")
	}
	s.advance(1200 * time.Millisecond)
	if len(s.starts) != 2 {
		t.Fatalf("want both occurrences, got %d starts", len(s.starts))
	}
	s.endAllRuns("done")
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

func TestLongRunningTaskRestartsAfterEveryFailure(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	longRunning := stepSpec(1, 100)
	longRunning.LongRunning, longRunning.LatencyTarget = true, 40*time.Millisecond
	s.submitJob(jobID(1), longRunning)
	s.advance(500 * time.Millisecond)
	for range 4 {
		s.endAllRuns("failed")
		s.advance(3 * time.Second)
	}
	if len(s.starts) != 5 {
		t.Errorf("want five starts, got %d", len(s.starts))
	}
}

func TestUrgentQueueIsPlacedFirst(t *testing.T) {
	s := newSimulation(t)
	for i, priority := range []int{2, 0} {
		s.acceptJob(&work.Job{ID: jobID(i + 1), AcceptedAt: s.now, Steps: []work.Step{stepSpec(1, 1000)}, Queue: work.Queue{
			Pool: "pool", MaxFailures: 1, Priority: priority, Target: time.Minute,
		}})
	}
	s.addVM("a", 1000, 1000)
	if len(s.placements(jobID(2))) != 1 {
		t.Errorf("the job of the urgent queue is waiting, the other one runs: %v", s.placements(jobID(1)))
	}
}

func TestExcludedVMsAreBounded(t *testing.T) {
	s := newSimulation(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		s.addVM(name, 1000, 1000)
	}
	longRunning := stepSpec(1, 100)
	longRunning.LongRunning = true
	s.submitJob(jobID(1), longRunning)
	for range 7 {
		s.endAllRuns("failed")
		s.advance(3 * time.Second)
	}
	if excluded := s.planner.jobs[jobID(1)].step(jobreducer.StepKey{}).tasks[0].ExcludedVMs; len(excluded) > jobreducer.MaxExcludedVMs {
		t.Errorf("%d excluded VMs are kept, the limit is %d", len(excluded), jobreducer.MaxExcludedVMs)
	}
}

func TestStepsWaitForRequiredTickets(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 4000, 1000)
	s.addVM("b", 4000, 1000)
	s.acceptJob(&work.Job{ID: jobID(1), AcceptedAt: s.now, Steps: []work.Step{stepSpec(2, 500)}, Queue: work.Queue{
		Pool: "pool", MaxFailures: 1, Target: time.Minute, Approval: &work.ApprovalPolicy{TicketLifetime: 3 * time.Second},
	}})
	if len(s.starts) != 0 {
		t.Fatal("the step started without a ticket")
	}
	q, ok := s.planner.NextPolicyQuery(s.now)
	if !ok || q.Step != jobID(1)+".0.0" || len(q.VMs) != 2 {
		t.Fatalf("query %+v, %v", q, ok)
	}
	s.planner.HandlePolicyAnswer(q, map[string]string{"b": "tick"}, 3*time.Second, s.now)
	s.runPass()
	want := map[string]string{jobID(1) + ".0.0.0": "b", jobID(1) + ".0.0.1": "b"}
	if diff := cmp.Diff(want, s.placements(jobID(1))); diff != "" {
		t.Errorf("only b has a ticket for the step (-want +got):\n%s", diff)
	}
	if s.starts[0].Ticket != "tick" {
		t.Errorf("start carries ticket %q, want \"tick\"", s.starts[0].Ticket)
	}
	if q, ok := s.planner.NextPolicyQuery(s.now); ok {
		t.Errorf("query although all VMs were answered: %+v", q)
	}
}

func TestExpiredOrRefusedTicketIsRequestedAgain(t *testing.T) {
	s := newSimulation(t)
	a := s.addVM("a", 1000, 1000)
	s.acceptJob(&work.Job{ID: jobID(1), AcceptedAt: s.now, Steps: []work.Step{stepSpec(2, 800)}, Queue: work.Queue{
		Pool: "pool", MaxFailures: 1, Target: time.Minute, Approval: &work.ApprovalPolicy{},
	}})
	q, _ := s.planner.NextPolicyQuery(s.now)
	s.planner.HandlePolicyAnswer(q, map[string]string{"a": "one"}, time.Second, s.now)
	s.runPass()
	a.voids = []work.VoidRun{{Task: a.active[0].Task, Run: 1, Reason: voidReasonTicket}}
	a.active = nil
	s.sendReport("a")
	s.advance(200 * time.Millisecond)
	if q, ok := s.planner.NextPolicyQuery(s.now); !ok {
		t.Errorf("no new query after the worker refused the ticket: %+v", q)
	}
}

// An outcome must be kept for as long as the settings let clients ask for it, also where that is longer than
// outcomes are usually kept.
func TestOutcomesAreKeptForAsLongAsClientsMayAsk(t *testing.T) {
	s := newSimulation(t)
	s.planner.Settings.StateLifetime = 20 * time.Minute
	s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.endAllRuns("done")
	s.now = s.now.Add(20 * time.Minute)
	s.runPass()
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Errorf("after 20 minutes (-want +got):\n%s", diff)
	}
	s.now = s.now.Add(2 * 20 * time.Minute)
	s.runPass()
	if j := s.state.Jobs[jobID(1)]; j != nil {
		t.Errorf("the log still has %+v", j)
	}
}

func TestOutcomesAreKeptForTheRetentionTime(t *testing.T) {
	s := newSimulation(t)
	s.addVM("a", 1000, 1000)
	s.submitJob(jobID(1), stepSpec(1, 500))
	s.endAllRuns("done")
	s.now = s.now.Add(2 * time.Minute)
	s.runPass()
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(jobID(1))); diff != "" {
		t.Errorf("after two minutes (-want +got):\n%s", diff)
	}
	s.now = s.now.Add(outcomeRetention)
	s.runPass()
	if j := s.state.Jobs[jobID(1)]; j != nil {
		t.Errorf("the log still has %+v", j)
	}
}
