package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/job/keeper"
	"knapweedspur/internal/wire/work"
)

func TestJobRunsToItsEnd(t *testing.T) {
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
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
}

func TestOrdersLeaveWithTheRecordsBeforeThem(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	job := &work.Job{ID: id(1), Accepted: s.now, Steps: []work.Step{tasks(2, 500)}, Queue: work.Queue{Pool: "pool", Attempts: 1}}
	s.book.AddJob(job, s.now)
	s.book.Tick(s.now)
	batch := s.book.Flush()
	if len(batch.Orders["a"].Starts) != 2 {
		t.Fatalf("want two starts, got %+v", batch.Orders)
	}
	folded := keeper.New()
	for _, r := range batch.Records {
		if err := folded.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	progress := folded.Jobs[id(1)].Progress[keeper.StepKey{}]
	for i := range progress.Tasks {
		if len(progress.Tasks[i].Runs) != 1 {
			t.Errorf("task %d was ordered without its run in the records of the batch", i)
		}
	}
}

func TestFailuresEndAJobAfterItsAttempts(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	s.add("b", 4000, 1000)
	s.submit(id(1), tasks(1, 500))
	s.finishAll("failed")
	s.wait(3 * time.Second)
	s.finishAll("failed")
	s.wait(3 * time.Second)
	if diff := cmp.Diff(keeper.Failed, s.outcome(id(1))); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
	if len(s.starts) != 2 {
		t.Errorf("want two starts, got %d", len(s.starts))
	}
}

func TestARetryAvoidsTheVMThatFailed(t *testing.T) {
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

func TestCancelStopsAndStartsNothing(t *testing.T) {
	s := newStage(t)
	s.add("a", 1000, 1000)
	s.submit(id(1), tasks(4, 500))
	s.book.CancelJob(id(1), s.now)
	s.pass()
	s.wait(time.Second)
	if diff := cmp.Diff(map[string]string{}, s.running(id(1))); diff != "" {
		t.Errorf("running after cancel (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(keeper.Canceled, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if len(s.starts) != 2 {
		t.Errorf("want two starts, got %d", len(s.starts))
	}
	if j := s.state.Jobs[id(1)]; j.Record != nil || len(j.Progress) != 0 {
		t.Errorf("the log still describes the job: %+v", j)
	}
}

func TestRunsOfASilentVMWaitForItsLease(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	s.submit(id(1), tasks(1, 500))
	a.silent = true
	s.add("b", 1000, 1000)
	s.wait(silence + 5500*time.Millisecond)
	if len(s.starts) != 1 {
		t.Fatalf("the task was started anew while its lease could still run: %d starts", len(s.starts))
	}
	s.wait(2 * time.Second)
	if len(s.starts) != 2 {
		t.Fatalf("want a second start after the lease, got %d starts", len(s.starts))
	}
}

func TestAnAgentThatComesBackInTimeKeepsItsRuns(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	s.submit(id(1), tasks(1, 500))
	a.silent = true
	s.wait(silence + 2*time.Second)
	a.silent = false
	s.hello("a")
	s.pass()
	s.wait(10 * time.Second)
	if len(s.starts) != 1 {
		t.Errorf("want one start, got %d", len(s.starts))
	}
	s.finishAll("done")
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// A hunt broke "twice" with this: the VM was given up, its task done there all
// the same, and the end acknowledged while the task ran elsewhere.
func TestAnEndThatWasOvertakenIsNotNotedUntilTheTaskIsDone(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	s.submit(id(1), tasks(1, 500))
	task := id(1) + ".0.0.0"
	s.end(a, task, "done")
	a.silent = true
	s.add("b", 1000, 1000)
	s.wait(silence + s.book.lapse() + time.Second)
	if s.running(id(1))[task] != "b" {
		t.Fatalf("the task should run on b: %v", s.running(id(1)))
	}
	a.silent = false
	s.hello("a")
	s.pass()
	s.wait(time.Second)
	if a.seen != 0 {
		t.Errorf("the end on a was noted while a newer run is at work")
	}
	s.end(s.vms["b"], task, "done")
	s.wait(time.Second)
	if a.seen != 1 {
		t.Errorf("the end on a was not noted after the task was done")
	}
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// After a power loss workers come back under other names. Their former runs
// were held until a lease of theirs would have lapsed.
func TestAWorkerEndsTheRunsOfTheOneBeforeOnItsHost(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	s.submit(id(1), tasks(1, 500))
	a.silent = true
	delete(s.vms, "a")
	s.now = s.now.Add(time.Second)
	b := s.add("b", 1000, 1000)
	b.host = a.host
	s.hello("b")
	s.pass()
	s.wait(500 * time.Millisecond)
	if len(s.starts) != 1 {
		t.Fatalf("started anew before the host was known: %d starts", len(s.starts))
	}
	b.vitals.Born = s.now.UnixMilli()
	s.hello("b")
	s.pass()
	s.wait(500 * time.Millisecond)
	if len(s.starts) != 2 {
		t.Errorf("want a second start at once, got %d starts", len(s.starts))
	}
}

func TestADrainingVMGetsNoWork(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	a.vitals.Draining = true
	s.report("a")
	s.submit(id(1), tasks(1, 500))
	s.wait(time.Second)
	if len(s.starts) != 0 {
		t.Errorf("want no start, got %d", len(s.starts))
	}
}

func TestAGangStartsWholeOrNotAtAll(t *testing.T) {
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
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("one end stands for all (-want +got):\n%s", diff)
	}
}

func TestPlacesKeepLabelsAndSpread(t *testing.T) {
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

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
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
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

func TestALastingTaskIsStartedAgainHoweverItEnds(t *testing.T) {
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

// A new leader knows the log alone and must go on as the one before.
func TestANewLeaderLosesAndDoublesNothing(t *testing.T) {
	s := newStage(t)
	s.add("a", 2000, 1000)
	s.submit(id(1), tasks(6, 500))
	s.restart()
	s.wait(time.Second)
	s.finishAll("done")
	s.restart()
	s.wait(time.Second)
	s.finishAll("done")
	s.wait(time.Second)
	if len(s.starts) != 6 {
		t.Errorf("want six starts, got %d", len(s.starts))
	}
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

func TestStepsThatNeedTicketsWaitForThem(t *testing.T) {
	s := newStage(t)
	s.add("a", 4000, 1000)
	s.add("b", 4000, 1000)
	s.accept(&work.Job{ID: id(1), Accepted: s.now, Steps: []work.Step{tasks(2, 500)}, Queue: work.Queue{
		Pool: "pool", Attempts: 1, Target: time.Minute, Advice: &work.Advice{Valid: 3 * time.Second},
	}})
	if len(s.starts) != 0 {
		t.Fatal("started without a ticket")
	}
	q, ok := s.book.Question(s.now)
	if !ok || q.Step != id(1)+".0.0" || len(q.VMs) != 2 {
		t.Fatalf("question %+v, %v", q, ok)
	}
	s.book.Answer(q, map[string]string{"b": "tick"}, 3*time.Second, s.now)
	s.pass()
	want := map[string]string{id(1) + ".0.0.0": "b", id(1) + ".0.0.1": "b"}
	if diff := cmp.Diff(want, s.running(id(1))); diff != "" {
		t.Errorf("only b may run the step (-want +got):\n%s", diff)
	}
	if s.starts[0].Ticket != "tick" {
		t.Errorf("ticket %q", s.starts[0].Ticket)
	}
	if q, ok := s.book.Question(s.now); ok {
		t.Errorf("asked again: %+v", q)
	}
}

func TestATicketThatIsOverOrRefusedIsAskedForAgain(t *testing.T) {
	s := newStage(t)
	a := s.add("a", 1000, 1000)
	s.accept(&work.Job{ID: id(1), Accepted: s.now, Steps: []work.Step{tasks(2, 800)}, Queue: work.Queue{
		Pool: "pool", Attempts: 1, Target: time.Minute, Advice: &work.Advice{},
	}})
	q, _ := s.book.Question(s.now)
	s.book.Answer(q, map[string]string{"a": "one"}, time.Second, s.now)
	s.pass()
	a.voids = []work.Void{{Task: a.active[0].Task, Run: 1, Reason: voidTicket}}
	a.active = nil
	s.report("a")
	s.wait(200 * time.Millisecond)
	if q, ok := s.book.Question(s.now); !ok {
		t.Errorf("a ticket that the worker refused is not asked for again: %+v", q)
	}
}

func TestOutcomesAreKeptForAWhile(t *testing.T) {
	s := newStage(t)
	s.add("a", 1000, 1000)
	s.submit(id(1), tasks(1, 500))
	s.finishAll("done")
	s.now = s.now.Add(2 * time.Minute)
	s.pass()
	if diff := cmp.Diff(keeper.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("after two minutes (-want +got):\n%s", diff)
	}
	s.now = s.now.Add(remember)
	s.pass()
	if j := s.state.Jobs[id(1)]; j != nil {
		t.Errorf("the log still has %+v", j)
	}
}

// Whatever happens, no VM holds more than it can and no task runs twice.
func TestDrawnEventsKeepCapacityAndSingleRuns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newStage(t)
		for _, name := range []string{"a", "b", "c"} {
			s.add(name, 2000, 400)
		}
		submitted := 0
		for range rapid.IntRange(5, 40).Draw(rt, "events") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "vm")
			v := s.vms[name]
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0, 1:
				submitted++
				s.submit(id(submitted), tasks(rapid.IntRange(1, 5).Draw(rt, "tasks"), rapid.IntRange(1, 20).Draw(rt, "size")*100))
			case 2, 3:
				if len(v.active) > 0 {
					how := rapid.SampledFrom([]string{"done", "failed", "lapsed"}).Draw(rt, "how")
					s.end(v, v.active[0].Task, how)
				}
			case 4:
				v.silent = true
			case 5:
				if v.silent {
					v.silent = false
					s.hello(name)
				}
			case 6:
				s.restart()
			case 7:
				if submitted > 0 {
					s.book.CancelJob(id(rapid.IntRange(1, submitted).Draw(rt, "job")), s.now)
				}
			}
			s.wait(time.Duration(rapid.IntRange(1, 30).Draw(rt, "wait")) * 100 * time.Millisecond)
			for _, v := range s.vms {
				if v.silent && len(v.active) > 0 && s.now.Sub(s.book.vm(v.vitals.VM).heard) > 6*time.Second {
					// The worker ends everything when its lease is over.
					for len(v.active) > 0 {
						s.end(v, v.active[0].Task, "lapsed")
					}
				}
			}
			s.check(rt)
		}
	})
}

// check fails if a VM holds too much or a task runs twice.
func (s *stage) check(t *rapid.T) {
	seen := map[string]string{}
	for name, v := range s.vms {
		used := work.Size{}
		for _, a := range v.active {
			if other, twice := seen[a.Task]; twice {
				t.Fatalf("%s runs on %s and on %s", a.Task, other, name)
			}
			seen[a.Task] = name
			if st, _ := s.book.task(a.Task); st != nil {
				used.Millis += st.spec.Size.Millis
				used.Memory += st.spec.Size.Memory
			}
		}
		if used.Millis > v.vitals.Size.Millis || used.Memory > v.vitals.Size.Memory {
			t.Fatalf("%s holds %+v of %+v", name, used, v.vitals.Size)
		}
	}
}
