package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

func TestJobRunsItsStepsInOrder(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	second := tasks(2, 500)
	second.After = []int{0}
	s.submit(id(1), tasks(3, 500), second)
	want := map[string]string{id(1) + ".0.0.0": "a", id(1) + ".0.0.1": "a", id(1) + ".0.0.2": "a"}
	if diff := cmp.Diff(want, s.running(id(1))); diff != "" {
		t.Fatalf("the second step must wait for the first (-want +got):\n%s", diff)
	}
	s.finishAll("done")
	want = map[string]string{id(1) + ".0.1.0": "a", id(1) + ".0.1.1": "a"}
	if diff := cmp.Diff(want, s.running(id(1))); diff != "" {
		t.Fatalf("second step (-want +got):\n%s", diff)
	}
	s.finishAll("done")
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
}

func TestBatchRecordsEveryRunItOrders(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	job := &work.Job{ID: id(1), Accepted: s.now, Steps: []work.Step{tasks(2, 500)}, Queue: work.Queue{Pool: "pool", Attempts: 1}}
	s.book.AddJob(job, s.now)
	s.book.Tick(s.now)
	batch := s.book.Flush()
	if len(batch.Orders["a"].Starts) != 2 {
		t.Fatalf("want two starts, got %+v", batch.Orders)
	}
	folded := jobreducer.New()
	for _, r := range batch.Records {
		if err := folded.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	progress := folded.Jobs[id(1)].Progress[jobreducer.StepKey{}]
	for i := range progress.Tasks {
		if len(progress.Tasks[i].Runs) != 1 {
			t.Errorf("task %d was ordered without its run in the records of the batch", i)
		}
	}
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	s.add("b", 4000, 1000)
	s.submit(id(1), tasks(1, 500))
	s.finishAll("failed")
	s.wait(3 * time.Second)
	s.finishAll("failed")
	s.wait(3 * time.Second)
	if diff := cmp.Diff(jobreducer.Failed, s.outcome(id(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
	if len(s.starts) != 2 {
		t.Errorf("want two starts, got %d", len(s.starts))
	}
}

func TestRetryAvoidsTheVMThatFailed(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	s.add("b", 4000, 1000)
	s.submit(id(1), tasks(1, 500))
	first := s.running(id(1))[id(1)+".0.0.0"]
	// Only the run on the first VM: the next one may be placed at once.
	s.end(s.vms[first], id(1)+".0.0.0", "failed")
	s.wait(time.Second)
	if second := s.running(id(1))[id(1)+".0.0.0"]; second == first || second == "" {
		t.Errorf("first on %q, then on %q", first, second)
	}
}

func TestCancelStopsRunsAndStartsNone(t *testing.T) {
	s := newStage(t)
	s.add("a", 1000, 1000)
	s.submit(id(1), tasks(4, 500))
	s.book.CancelJob(id(1), s.now)
	s.pass()
	s.wait(time.Second)
	if diff := cmp.Diff(map[string]string{}, s.running(id(1))); diff != "" {
		t.Errorf("running after cancel (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(jobreducer.Canceled, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if len(s.starts) != 2 {
		t.Errorf("want two starts, got %d", len(s.starts))
	}
	if j := s.state.Jobs[id(1)]; j.Record != nil || len(j.Progress) != 0 {
		t.Errorf("the log still describes the job: %+v", j)
	}
}

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	s := newStage(t)
	s.add("a", 1000, 1000)
	gang := tasks(3, 500)
	gang.Gang = true
	s.submit(id(1), gang)
	if len(s.starts) != 0 {
		t.Fatalf("want no start while the gang has no room, got %d", len(s.starts))
	}
	s.add("b", 1000, 1000)
	s.wait(200 * time.Millisecond)
	if len(s.starts) != 3 {
		t.Fatalf("want three starts, got %d", len(s.starts))
	}
	s.end(s.vms["a"], s.vms["a"].active[0].Task, "done")
	s.wait(time.Second)
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("one end stands for all (-want +got):\n%s", diff)
	}
}

func TestPlacementKeepsLabelsAndSpread(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000, "ssd")
	s.add("b", 4000, 1000)
	labeled := tasks(2, 100)
	labeled.Label = "ssd"
	s.submit(id(1), labeled)
	for task, name := range s.running(id(1)) {
		if name != "a" {
			t.Errorf("%s runs on %s, which lacks the label", task, name)
		}
	}
	spread := tasks(3, 100)
	spread.Spread = 1
	s.submit(id(2), spread)
	if diff := cmp.Diff(2, len(s.running(id(2)))); diff != "" {
		t.Errorf("tasks on two VMs with one each (-want +got):\n%s", diff)
	}
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	job := &work.Job{
		ID: id(1), Accepted: s.now, Due: s.now.Add(time.Second), Interval: time.Second, Times: 2,
		Steps: []work.Step{tasks(1, 100)}, Queue: work.Queue{Pool: "pool", Attempts: 1},
	}
	s.accept(job)
	s.wait(900 * time.Millisecond)
	if len(s.starts) != 0 {
		t.Fatalf("started before it was due")
	}
	s.wait(1200 * time.Millisecond)
	if len(s.starts) != 2 {
		t.Fatalf("want both occurrences, got %d starts", len(s.starts))
	}
	s.finishAll("done")
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

func TestLastingTaskRestartsAfterEveryFailure(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	lasting := tasks(1, 100)
	lasting.Lasts, lasting.Target = true, 40*time.Millisecond
	s.submit(id(1), lasting)
	s.wait(500 * time.Millisecond)
	for range 4 {
		s.finishAll("failed")
		s.wait(3 * time.Second)
	}
	if len(s.starts) != 5 {
		t.Errorf("want five starts, got %d", len(s.starts))
	}
}

func TestUrgentQueueIsPlacedFirst(t *testing.T) {
	s := newStage(t)
	for i, priority := range []int{2, 0} {
		s.accept(&work.Job{ID: id(i + 1), Accepted: s.now, Steps: []work.Step{tasks(1, 1000)}, Queue: work.Queue{
			Pool: "pool", Attempts: 1, Priority: priority, Target: time.Minute,
		}})
	}
	s.add("a", 1000, 1000)
	if len(s.running(id(2))) != 1 {
		t.Errorf("the job of the urgent queue waits: %v", s.running(id(1)))
	}
}

func TestListOfVMsToAvoidIsBounded(t *testing.T) {
	s := newStage(t)
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		s.add(name, 1000, 1000)
	}
	lasting := tasks(1, 100)
	lasting.Lasts = true
	s.submit(id(1), lasting)
	for range 7 {
		s.finishAll("failed")
		s.wait(3 * time.Second)
	}
	if shunned := s.book.jobs[id(1)].steps[jobreducer.StepKey{}].tasks[0].Shunned; len(shunned) > jobreducer.MaxShunned {
		t.Errorf("%d VMs are remembered, the limit is %d", len(shunned), jobreducer.MaxShunned)
	}
}

func TestStepsWaitForRequiredTickets(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	s.add("b", 4000, 1000)
	s.accept(&work.Job{ID: id(1), Accepted: s.now, Steps: []work.Step{tasks(2, 500)}, Queue: work.Queue{
		Pool: "pool", Attempts: 1, Target: time.Minute, Advice: &work.Advice{Valid: 3 * time.Second},
	}})
	if len(s.starts) != 0 {
		t.Fatal("started without a ticket")
	}
	q, ok := s.book.NextPolicyQuery(s.now)
	if !ok || q.Step != id(1)+".0.0" || len(q.VMs) != 2 {
		t.Fatalf("question %+v, %v", q, ok)
	}
	s.book.HandlePolicyAnswer(q, map[string]string{"b": "tick"}, 3*time.Second, s.now)
	s.pass()
	want := map[string]string{id(1) + ".0.0.0": "b", id(1) + ".0.0.1": "b"}
	if diff := cmp.Diff(want, s.running(id(1))); diff != "" {
		t.Errorf("only b may run the step (-want +got):\n%s", diff)
	}
	if s.starts[0].Ticket != "tick" {
		t.Errorf("ticket %q", s.starts[0].Ticket)
	}
	if q, ok := s.book.NextPolicyQuery(s.now); ok {
		t.Errorf("asked again: %+v", q)
	}
}

func TestExpiredOrRefusedTicketIsRequestedAgain(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	s.accept(&work.Job{ID: id(1), Accepted: s.now, Steps: []work.Step{tasks(2, 800)}, Queue: work.Queue{
		Pool: "pool", Attempts: 1, Target: time.Minute, Advice: &work.Advice{},
	}})
	q, _ := s.book.NextPolicyQuery(s.now)
	s.book.HandlePolicyAnswer(q, map[string]string{"a": "one"}, time.Second, s.now)
	s.pass()
	a.voids = []work.Void{{Task: a.active[0].Task, Run: 1, Reason: voidTicket}}
	a.active = nil
	s.report("a")
	s.wait(200 * time.Millisecond)
	if q, ok := s.book.NextPolicyQuery(s.now); !ok {
		t.Errorf("a ticket that the worker refused is not asked for again: %+v", q)
	}
}

func TestOutcomesAreKeptForTheRetentionTime(t *testing.T) {
	s := newStage(t)
	s.add("a", 1000, 1000)
	s.submit(id(1), tasks(1, 500))
	s.finishAll("done")
	s.now = s.now.Add(2 * time.Minute)
	s.pass()
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("after two minutes (-want +got):\n%s", diff)
	}
	s.now = s.now.Add(remember)
	s.pass()
	if j := s.state.Jobs[id(1)]; j != nil {
		t.Errorf("the log still has %+v", j)
	}
}
