package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedspur/internal/standin/logemulator"
	"knapweedspur/internal/wire/admin"
)

// recovery bounds the time from the loss of a VM until its tasks run again.
const recovery = suspect + hold + hold/20 + 10*time.Second

func TestAgentRestartsWhileTasksRun(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		time.Sleep(5 * time.Second)
		for i := range 3 {
			s.killAgent(i)
			time.Sleep(time.Second)
			s.startAgent(i)
		}
		s.ended(time.Minute, "proofs-1")
		s.tookAttempts("proofs-1", 12, "an agent's restart must not cost one")
	})
}

func TestVMDies(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		s.submit("season", "season-1")
		time.Sleep(5 * time.Second)
		s.killVM(0)
		s.killVM(3)
		s.ended(recovery+time.Minute, "proofs-1")
		s.ended(recovery+time.Minute, "season-1")
	})
}

func TestVMReboots(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		time.Sleep(5 * time.Second)
		s.killVM(0)
		s.vms[0].worker.Boot(time.Now())
		s.startAgent(0)
		// A new boot needs no wait for the lease.
		s.eventually(suspect, "the tasks of the old boot run again", func() bool {
			run := s.run("proofs-1")
			return run.Attempts > 12 && run.Pending == 0
		})
		s.ended(time.Minute, "proofs-1")
	})
}

func TestAgentFreezesLongerThanItsLease(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		s.submit("season", "season-1")
		time.Sleep(5 * time.Second)
		s.freeze("agent-1", true)
		time.Sleep(recovery)
		s.freeze("agent-1", false)
		s.ended(2*time.Minute, "proofs-1")
		s.ended(2*time.Minute, "season-1")
	})
}

func TestAgentPartitionedFromAllEntries(t *testing.T) {
	for _, span := range []time.Duration{2 * time.Second, suspect + 2*time.Second, recovery + 5*time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			play(t, 3, five, func(s *stage) {
				s.publish(declarations)
				s.submit("proofs", "proofs-1")
				time.Sleep(4 * time.Second)
				for i := range 3 {
					s.cut(i, true)
				}
				time.Sleep(span)
				for i := range 3 {
					s.cut(i, false)
				}
				s.ended(2*time.Minute, "proofs-1")
			})
		})
	}
}

func TestAgentPartitionedInOneDirection(t *testing.T) {
	for _, out := range []bool{true, false} {
		t.Run(fmt.Sprint("out=", out), func(t *testing.T) {
			play(t, 3, five, func(s *stage) {
				s.publish(declarations)
				s.submit("proofs", "proofs-1")
				time.Sleep(4 * time.Second)
				for i := range 3 {
					from, to := "agent-0", fmt.Sprintf("entry-%d", i)
					if !out {
						from, to = to, from
					}
					s.net.cutOff(from, to, true)
				}
				time.Sleep(recovery + 5*time.Second)
				for i := range 3 {
					s.cut(i, false)
				}
				s.ended(2*time.Minute, "proofs-1")
			})
		})
	}
}

func TestAgentPartitionedFromOneEntryIsNotFenced(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		time.Sleep(4 * time.Second)
		s.cut(0, true)
		s.ended(2*time.Minute, "proofs-1")
		s.tookAttempts("proofs-1", 12, "a VM that two entries hear must not be fenced")
	})
}

func TestEntriesDieAndAreReplaced(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("season", "season-1")
		s.submit("proofs", "proofs-1")
		for i := range 3 {
			s.killEntry(i)
			time.Sleep(3 * time.Second)
			s.startEntry(i)
			time.Sleep(3 * time.Second)
		}
		s.ended(2*time.Minute, "proofs-1")
		s.ended(2*time.Minute, "season-1")
	})
}

func TestFrozenEntryResumesWithStaleView(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("season", "season-1")
		s.freeze("entry-0", true)
		s.killVM(1)
		s.submitTo(1, "proofs", "proofs-1")
		time.Sleep(recovery)
		s.freeze("entry-0", false)
		s.ended(2*time.Minute, "proofs-1")
		s.ended(2*time.Minute, "season-1")
	})
}

func TestLogDownLongerThanHoldTime(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		time.Sleep(5 * time.Second)
		s.log.SetFaults(logemulator.Faults{Down: true})
		requests := s.load("check", "/routes/check", 50, 2*hold, 0.2)
		time.Sleep(2 * time.Second)
		code, text := s.call(0, http.MethodPost, "/v1/runs", admin.Submission{Job: "quick", Run: "quick-1", Who: "test"}, nil)
		if code != http.StatusServiceUnavailable || strings.HasPrefix(text, "ran") {
			t.Errorf("a submission during an outage got %d %q", code, text)
		}
		refused := strings.HasPrefix(text, "unrun")
		s.loads.Wait()
		s.log.SetFaults(logemulator.Faults{})
		if requests.Answered != requests.Sent {
			t.Errorf("%d of %d requests were answered during the outage", requests.Answered, requests.Sent)
		}
		s.ended(time.Minute, "proofs-1")
		if run := s.run("quick-1"); refused && run.Run != "" {
			t.Errorf("a submission refused as not run did run: %+v", run)
		}
		s.tookAttempts("proofs-1", 12, "an outage pauses tasks and loses none")
	})
}

func TestLogLosesResponses(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.log.SetFaults(logemulator.Faults{LoseEvery: 2})
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		s.submit("quick", "quick-1")
		s.killVM(2)
		s.ended(2*time.Minute, "proofs-1")
		s.ended(2*time.Minute, "quick-1")
	})
}

func TestLogIsSlow(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.log.SetFaults(logemulator.Faults{Delay: 3 * time.Second})
		s.submit("proofs", "proofs-1")
		s.ended(2*time.Minute, "proofs-1")
		s.log.SetFaults(logemulator.Faults{Delay: 20 * time.Second})
		time.Sleep(time.Minute)
		s.log.SetFaults(logemulator.Faults{})
		s.submit("quick", "quick-1")
		s.ended(2*time.Minute, "quick-1")
	})
}

func TestBurstOfCancels(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		for i := range 8 {
			s.submit("proofs", fmt.Sprint("proofs-", i))
		}
		time.Sleep(3 * time.Second)
		for i := range 8 {
			code, text := s.call(i%3, http.MethodDelete, fmt.Sprintf("/v1/runs/proofs-%d?who=test", i), nil, nil)
			if code != http.StatusOK {
				t.Errorf("cancel: %d %s", code, text)
			}
		}
		s.eventually(10*time.Second, "all runs have ended", func() bool {
			for i := range 8 {
				if run := s.run(fmt.Sprint("proofs-", i)); run.Pending+run.Open > 0 {
					return false
				}
			}
			return true
		})
	})
}

func TestVMThatFailsAllTasksIsExcluded(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.vms[0].worker.FailTasks = true
		s.publish(declarations)
		s.submit("quick", "quick-1")
		s.submit("proofs", "proofs-1")
		s.ended(3*time.Minute, "proofs-1")
		s.ended(3*time.Minute, "quick-1")
		if run := s.run("quick-1"); run.Failed > 0 {
			t.Errorf("%d tasks were given up though four VMs are sound", run.Failed)
		}
	})
}

func TestRunThatFitsNoVMReportsReason(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("giant", "giant-1")
		s.eventually(5*time.Second, "the run says why it waits", func() bool {
			return strings.Contains(s.run("giant-1").Reason, "fits on no VM")
		})
		s.submit("quick", "quick-1")
		s.ended(time.Minute, "quick-1")
	})
}

func TestUrgentTasksStartWhenVMsAreFull(t *testing.T) {
	const urgent = 3100 * time.Millisecond
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		for i := range 3 {
			s.submit("proofs", fmt.Sprint("proofs-", i))
		}
		s.eventually(10*time.Second, "all VMs are full", func() bool {
			open := 0
			for i := range 3 {
				open += s.run(fmt.Sprint("proofs-", i)).Open
			}
			return open == 20
		})
		s.submit("rescue", "rescue-1")
		took := s.eventually(urgent, "urgent tasks start", func() bool { return s.run("rescue-1").Open == 4 })
		t.Logf("urgent tasks open after %v", took)
		s.ended(3*time.Minute, "rescue-1")
		for i := range 3 {
			s.ended(5*time.Minute, fmt.Sprint("proofs-", i))
		}
	})
}

func TestDrainMovesTasksWithTheirCheckpoints(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("proofs", "proofs-1")
		time.Sleep(10 * time.Second)
		before := len(s.vms[0].worker.History(time.Now()))
		if code, text := s.call(1, http.MethodPost, "/v1/vms/vm-0/drain?who=test", nil, nil); code != http.StatusNoContent {
			t.Fatalf("drain: %d %s", code, text)
		}
		time.Sleep(newWork)
		settled := len(s.vms[0].worker.History(time.Now()))
		s.ended(time.Minute, "proofs-1")
		if after := len(s.vms[0].worker.History(time.Now())); after != settled {
			t.Errorf("a drained VM began %d tasks", after-settled)
		}
		if before > 0 && s.run("proofs-1").Attempts <= 12 {
			t.Errorf("no task was moved off the drained VM")
		}
	})
}

// TestStaleViewExtendsNoLease has the log answer no reads for one entry, which
// goes on answering an agent that hears no other, while the VM is fenced.
func TestStaleViewExtendsNoLease(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("season", "season-1")
		time.Sleep(5 * time.Second)
		if len(s.vms[0].worker.History(time.Now())) == 0 {
			t.Fatal("the VM that is to be cut off runs nothing")
		}
		// Entry 0 hears agent 0 and sees no more of the log; the others see the
		// log, do not hear the agent, and cannot ask entry 0.
		s.entries[0].gate.freeze(true)
		for i := 1; i < 3; i++ {
			s.cut(i, true)
			other := fmt.Sprintf("entry-%d", i)
			s.net.cutOff("entry-0", other, true)
			s.net.cutOff(other, "entry-0", true)
		}
		time.Sleep(recovery + 5*time.Second)
		s.entries[0].gate.freeze(false)
		for i := 1; i < 3; i++ {
			s.cut(i, false)
			other := fmt.Sprintf("entry-%d", i)
			s.net.cutOff("entry-0", other, false)
			s.net.cutOff(other, "entry-0", false)
		}
		s.ended(3*time.Minute, "season-1")
	})
}

// TestTasksEndWhileTheirAgentIsDown has tasks end between the death of their
// agent and the join of the next one.
func TestTasksEndWhileTheirAgentIsDown(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.submit("quick", "quick-1")
		s.eventually(5*time.Second, "all tasks run", func() bool { return s.run("quick-1").Open == 20 })
		// A start that its agent has not acted on when it dies costs an attempt.
		time.Sleep(400 * time.Millisecond)
		for i := range five {
			s.killAgent(i)
		}
		time.Sleep(2 * time.Second)
		for i := range five {
			s.startAgent(i)
		}
		s.ended(time.Minute, "quick-1")
		s.tookAttempts("quick-1", 20, "what has ended must not run again")
	})
}

// TestSubmissionWhoseAppendIsOnItsWayIsUnknown has the log take a record
// without ever answering: the caller must not be told that nothing was run.
func TestSubmissionWhoseAppendIsUnansweredIsUnknown(t *testing.T) {
	play(t, 3, five, func(s *stage) {
		s.publish(declarations)
		s.log.SetFaults(logemulator.Faults{Delay: time.Minute})
		code, text := s.call(0, http.MethodPost, "/v1/runs", admin.Submission{Job: "quick", Run: "quick-1", Who: "test"}, nil)
		if code != http.StatusServiceUnavailable || !strings.HasPrefix(text, "unknown") {
			t.Errorf("got %d %q", code, text)
		}
		s.log.SetFaults(logemulator.Faults{})
		s.submit("quick", "quick-1")
		s.ended(time.Minute, "quick-1")
	})
}
