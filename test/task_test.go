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

// recoveryLimit bounds the time from the loss of a VM until its tasks run again:
// the suspect time, the hold time with a margin of 5 %, and 10 s for the rest.
const recoveryLimit = suspectTime + holdTime + holdTime/20 + 10*time.Second

func TestAgentRestartsWhileTasksRun(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		time.Sleep(5 * time.Second)
		for i := range 3 {
			c.killAgent(i)
			time.Sleep(time.Second)
			c.startAgent(i)
		}
		c.waitEnded(time.Minute, "proofs-1")
		c.checkAttempts("proofs-1", 12, "the restart of an agent must not cost an attempt")
	})
}

func TestVMDies(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		c.submit("season", "season-1")
		time.Sleep(5 * time.Second)
		c.killVM(0)
		c.killVM(3)
		c.waitEnded(recoveryLimit+time.Minute, "proofs-1")
		c.waitEnded(recoveryLimit+time.Minute, "season-1")
	})
}

func TestVMReboots(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		time.Sleep(5 * time.Second)
		c.killVM(0)
		c.vms[0].worker.Boot(time.Now())
		c.startAgent(0)
		// The tasks of the previous boot are gone, so they are placed again without
		// waiting for the lease to expire.
		c.eventually(suspectTime, "the tasks of the old boot run again", func() bool {
			run := c.run("proofs-1")
			return run.Attempts > 12 && run.Pending == 0
		})
		c.waitEnded(time.Minute, "proofs-1")
	})
}

func TestAgentFreezesLongerThanItsLease(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		c.submit("season", "season-1")
		time.Sleep(5 * time.Second)
		c.setFrozen("agent-1", true)
		time.Sleep(recoveryLimit)
		c.setFrozen("agent-1", false)
		c.waitEnded(2*time.Minute, "proofs-1")
		c.waitEnded(2*time.Minute, "season-1")
	})
}

func TestAgentPartitionedFromAllEntries(t *testing.T) {
	for _, duration := range []time.Duration{2 * time.Second, suspectTime + 2*time.Second, recoveryLimit + 5*time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			runScenario(t, 3, fiveServices, func(c *cluster) {
				c.publish(declarations)
				c.submit("proofs", "proofs-1")
				time.Sleep(4 * time.Second)
				for i := range 3 {
					c.partitionAgent0(i, true)
				}
				time.Sleep(duration)
				for i := range 3 {
					c.partitionAgent0(i, false)
				}
				c.waitEnded(2*time.Minute, "proofs-1")
			})
		})
	}
}

func TestAgentPartitionedInOneDirection(t *testing.T) {
	for _, outbound := range []bool{true, false} {
		t.Run(fmt.Sprint("out=", outbound), func(t *testing.T) {
			runScenario(t, 3, fiveServices, func(c *cluster) {
				c.publish(declarations)
				c.submit("proofs", "proofs-1")
				time.Sleep(4 * time.Second)
				for i := range 3 {
					from, to := "agent-0", fmt.Sprintf("entry-%d", i)
					if !outbound {
						from, to = to, from
					}
					c.net.setBlocked(from, to, true)
				}
				time.Sleep(recoveryLimit + 5*time.Second)
				for i := range 3 {
					c.partitionAgent0(i, false)
				}
				c.waitEnded(2*time.Minute, "proofs-1")
			})
		})
	}
}

func TestAgentPartitionedFromOneEntryIsNotFenced(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		time.Sleep(4 * time.Second)
		c.partitionAgent0(0, true)
		c.waitEnded(2*time.Minute, "proofs-1")
		c.checkAttempts("proofs-1", 12, "a VM whose agent two entries hear must not be fenced")
	})
}

func TestEntriesDieAndAreReplaced(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("season", "season-1")
		c.submit("proofs", "proofs-1")
		for i := range 3 {
			c.killEntry(i)
			time.Sleep(3 * time.Second)
			c.startEntry(i)
			time.Sleep(3 * time.Second)
		}
		c.waitEnded(2*time.Minute, "proofs-1")
		c.waitEnded(2*time.Minute, "season-1")
	})
}

func TestFrozenEntryResumesWithStaleView(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("season", "season-1")
		c.setFrozen("entry-0", true)
		c.killVM(1)
		c.submitTo(1, "proofs", "proofs-1")
		time.Sleep(recoveryLimit)
		c.setFrozen("entry-0", false)
		c.waitEnded(2*time.Minute, "proofs-1")
		c.waitEnded(2*time.Minute, "season-1")
	})
}

func TestLogDownLongerThanHoldTime(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		time.Sleep(5 * time.Second)
		c.log.SetFaults(logemulator.Faults{Down: true})
		requests := c.startLoad("check", "/routes/check", 50, 2*holdTime, 0.2)
		time.Sleep(2 * time.Second)
		code, text := c.call(0, http.MethodPost, "/v1/runs", admin.Submission{Job: "quick", Run: "quick-1", Who: "test"}, nil)
		if code != http.StatusServiceUnavailable || strings.HasPrefix(text, "ran") {
			t.Errorf("submission during a log outage returned %d %q", code, text)
		}
		refused := strings.HasPrefix(text, "unrun")
		c.loads.Wait()
		c.log.SetFaults(logemulator.Faults{})
		if requests.Answered != requests.Sent {
			t.Errorf("%d of %d requests were answered during the outage", requests.Answered, requests.Sent)
		}
		c.waitEnded(time.Minute, "proofs-1")
		if run := c.run("quick-1"); refused && run.Run != "" {
			t.Errorf("a submission refused as unrun was run: %+v", run)
		}
		c.checkAttempts("proofs-1", 12, "a log outage pauses tasks but loses none")
	})
}

func TestLogLosesResponses(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.log.SetFaults(logemulator.Faults{LoseEvery: 2})
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		c.submit("quick", "quick-1")
		c.killVM(2)
		c.waitEnded(2*time.Minute, "proofs-1")
		c.waitEnded(2*time.Minute, "quick-1")
	})
}

func TestLogIsSlow(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.log.SetFaults(logemulator.Faults{Delay: 3 * time.Second})
		c.submit("proofs", "proofs-1")
		c.waitEnded(2*time.Minute, "proofs-1")
		c.log.SetFaults(logemulator.Faults{Delay: 20 * time.Second})
		time.Sleep(time.Minute)
		c.log.SetFaults(logemulator.Faults{})
		c.submit("quick", "quick-1")
		c.waitEnded(2*time.Minute, "quick-1")
	})
}

func TestBurstOfCancels(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		for i := range 8 {
			c.submit("proofs", fmt.Sprint("proofs-", i))
		}
		time.Sleep(3 * time.Second)
		for i := range 8 {
			code, text := c.call(i%3, http.MethodDelete, fmt.Sprintf("/v1/runs/proofs-%d?who=test", i), nil, nil)
			if code != http.StatusOK {
				t.Errorf("cancel: %d %s", code, text)
			}
		}
		c.eventually(10*time.Second, "all runs have ended", func() bool {
			for i := range 8 {
				if run := c.run(fmt.Sprint("proofs-", i)); run.Pending+run.Open > 0 {
					return false
				}
			}
			return true
		})
	})
}

func TestVMThatFailsAllTasksIsQuarantined(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.vms[0].worker.FailTasks = true
		c.publish(declarations)
		c.submit("quick", "quick-1")
		c.submit("proofs", "proofs-1")
		c.waitEnded(3*time.Minute, "proofs-1")
		c.waitEnded(3*time.Minute, "quick-1")
		if run := c.run("quick-1"); run.Failed > 0 {
			t.Errorf("%d tasks failed for good although four VMs are healthy", run.Failed)
		}
	})
}

func TestRunThatFitsNoVMReportsReason(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("giant", "giant-1")
		c.eventually(5*time.Second, "the run reports why it waits", func() bool {
			return strings.Contains(c.run("giant-1").Reason, "fits on no VM")
		})
		c.submit("quick", "quick-1")
		c.waitEnded(time.Minute, "quick-1")
	})
}

func TestUrgentTasksStartWhenVMsAreFull(t *testing.T) {
	const urgentStartLimit = 3100 * time.Millisecond
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		for i := range 3 {
			c.submit("proofs", fmt.Sprint("proofs-", i))
		}
		c.eventually(10*time.Second, "all VMs are full", func() bool {
			open := 0
			for i := range 3 {
				open += c.run(fmt.Sprint("proofs-", i)).Open
			}
			return open == 20
		})
		c.submit("rescue", "rescue-1")
		elapsed := c.eventually(urgentStartLimit, "urgent tasks start", func() bool { return c.run("rescue-1").Open == 4 })
		t.Logf("urgent tasks open after %v", elapsed)
		c.waitEnded(3*time.Minute, "rescue-1")
		for i := range 3 {
			c.waitEnded(5*time.Minute, fmt.Sprint("proofs-", i))
		}
	})
}

func TestDrainMovesTasksWithTheirCheckpoints(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("proofs", "proofs-1")
		time.Sleep(10 * time.Second)
		before := len(c.vms[0].worker.History(time.Now()))
		if code, text := c.call(1, http.MethodPost, "/v1/vms/vm-0/drain?who=test", nil, nil); code != http.StatusNoContent {
			t.Fatalf("drain: %d %s", code, text)
		}
		time.Sleep(newWorkLimit)
		settled := len(c.vms[0].worker.History(time.Now()))
		c.waitEnded(time.Minute, "proofs-1")
		if after := len(c.vms[0].worker.History(time.Now())); after != settled {
			t.Errorf("the drained VM started %d tasks", after-settled)
		}
		if before > 0 && c.run("proofs-1").Attempts <= 12 {
			t.Errorf("no task was moved off the drained VM")
		}
	})
}

// TestStaleViewExtendsNoLease guards against a lease that is extended after the
// VM was fenced. Entry 0 no longer gets reads of the log answered, does not see
// the fence, and keeps answering an agent that reaches no other entry.
func TestStaleViewExtendsNoLease(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("season", "season-1")
		time.Sleep(5 * time.Second)
		if len(c.vms[0].worker.History(time.Now())) == 0 {
			t.Fatal("the VM to be partitioned runs no task")
		}
		// Entry 0 hears agent 0 but cannot read the log. The other entries read
		// the log, but cannot hear the agent or query entry 0.
		c.entries[0].gate.setFrozen(true)
		for i := 1; i < 3; i++ {
			c.partitionAgent0(i, true)
			other := fmt.Sprintf("entry-%d", i)
			c.net.setBlocked("entry-0", other, true)
			c.net.setBlocked(other, "entry-0", true)
		}
		time.Sleep(recoveryLimit + 5*time.Second)
		c.entries[0].gate.setFrozen(false)
		for i := 1; i < 3; i++ {
			c.partitionAgent0(i, false)
			other := fmt.Sprintf("entry-%d", i)
			c.net.setBlocked("entry-0", other, false)
			c.net.setBlocked(other, "entry-0", false)
		}
		c.waitEnded(3*time.Minute, "season-1")
	})
}

// TestTasksEndWhileTheirAgentIsDown guards against running finished tasks again:
// they end after their agent is killed and before the next agent joins.
func TestTasksEndWhileTheirAgentIsDown(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.submit("quick", "quick-1")
		c.eventually(5*time.Second, "all tasks run", func() bool { return c.run("quick-1").Open == 20 })
		// Wait until the agents have carried out the starts: a start that is still
		// unhandled when its agent is killed costs an attempt.
		time.Sleep(400 * time.Millisecond)
		for i := range fiveServices {
			c.killAgent(i)
		}
		time.Sleep(2 * time.Second)
		for i := range fiveServices {
			c.startAgent(i)
		}
		c.waitEnded(time.Minute, "quick-1")
		c.checkAttempts("quick-1", 20, "finished tasks must not run again")
	})
}

// TestSubmissionWhoseAppendIsUnansweredIsUnknown guards against the verdict unrun
// for a submission whose record may be in the log: the log accepts the record but
// does not answer within the caller's time-out, so nobody knows yet.
func TestSubmissionWhoseAppendIsUnansweredIsUnknown(t *testing.T) {
	runScenario(t, 3, fiveServices, func(c *cluster) {
		c.publish(declarations)
		c.log.SetFaults(logemulator.Faults{Delay: time.Minute})
		code, text := c.call(0, http.MethodPost, "/v1/runs", admin.Submission{Job: "quick", Run: "quick-1", Who: "test"}, nil)
		if code != http.StatusServiceUnavailable || !strings.HasPrefix(text, "unknown") {
			t.Errorf("submission without an answer of the log returned %d %q", code, text)
		}
		c.log.SetFaults(logemulator.Faults{})
		c.submit("quick", "quick-1")
		c.waitEnded(time.Minute, "quick-1")
	})
}
