package planner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

func TestRunsOfSilentVMRestartOnlyAfterLeaseExpiry(t *testing.T) {
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

func TestAgentReconnectingBeforeLeaseExpiryKeepsItsRuns(t *testing.T) {
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
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// A hunt broke "twice" with this: the VM was given up, its task done there all
// the same, and the end acknowledged while the task ran elsewhere.
func TestSupersededEndIsNotAcknowledgedUntilTaskIsDone(t *testing.T) {
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
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// After a power loss workers come back under other names. Their former runs
// were held until a lease of theirs would have lapsed.
func TestNewWorkerDiscardsRunsOfItsPredecessorOnTheHost(t *testing.T) {
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

func TestDrainingVMGetsNoWork(t *testing.T) {
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

// A new leader knows the log alone and must go on as the one before.
func TestNewLeaderNeitherLosesNorRepeatsRuns(t *testing.T) {
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
	if diff := cmp.Diff(jobreducer.Completed, s.outcome(id(1))); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
}

// Whatever happens, no VM holds more than it can and no task runs twice.
func TestRandomEventsKeepCapacityAndSingleRuns(t *testing.T) {
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
