package supervisor

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// The leader finds the task that crashes its workers by the time from its start to the
// crash. Runs that began long before, have ended or were never sent are not among the
// suspects.
func TestCrashIsReportedWithTheRunsThatBeganBefore(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		startRuns(s, t, 1, "old")
		time.Sleep(recentStartWindow)
		startRuns(s, t, 2, "ended")
		time.Sleep(time.Millisecond)
		w.fakeWorker.mu.Lock()
		w.active, w.ends = nil, []work.RunEnd{{Number: 1, Task: "ended", Run: 1, Outcome: "done"}}
		w.fakeWorker.mu.Unlock()
		time.Sleep(pollTimeout)
		sendCommands(s, t, &work.Commands{Number: 3, EndsAcked: 1})
		time.Sleep(pollTimeout)
		startRuns(s, t, 4, "earlier")
		time.Sleep(20 * time.Millisecond)
		startRuns(s, t, 5, "deadly")
		time.Sleep(10 * time.Millisecond)
		w.crash()
		time.Sleep(retryPause + time.Millisecond)
		startRuns(s, t, 6, "refused")
		time.Sleep(time.Second)
		want := &work.WorkerCrash{VM: "vm", WorkerIncarnation: 1, Ago: time.Second + retryPause + time.Millisecond, Runs: []work.LostRun{
			{Task: "deadly", Run: 1, RanFor: 10 * time.Millisecond}, {Task: "earlier", Run: 1, RanFor: 30 * time.Millisecond},
		}}
		if diff := cmp.Diff(want, s.Report(1).Crash); diff != "" {
			t.Errorf("crash (-want +got):\n%s", diff)
		}
	})
}

// The leader must hear of a crash before it has placed much else there, so the poll
// that confirms it follows the lost connection at once.
func TestCrashIsReportedAtOnce(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.crash()
		time.Sleep(time.Millisecond)
		if report := s.Report(1); !report.WorkerDown || report.Crash == nil {
			t.Errorf("down=%t, crash %v after 1 ms", report.WorkerDown, report.Crash)
		}
	})
}

// The worker crashes while no poll waits. The starts that are refused then were not
// carried out, though the first of them shows the crash while the others are in flight.
func TestRefusedStartsAreNoEvidence(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		startRuns(s, t, 1, "deadly")
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		w.failure, w.startDelay = workercontroller.ErrUnreachable, time.Millisecond
		w.mu.Unlock()
		startRuns(s, t, 2, "a", "b")
		time.Sleep(time.Millisecond / 2)
		startRuns(s, t, 3, "c", "d")
		for range 400 {
			time.Sleep(time.Millisecond / 4)
			if crash := s.Report(1).Crash; crash != nil {
				want := []work.LostRun{{Task: "deadly", Run: 1, RanFor: 11 * time.Millisecond}}
				if diff := cmp.Diff(want, crash.Runs); diff != "" {
					t.Fatalf("runs of the crash (-want +got):\n%s", diff)
				}
			}
		}
		if s.Report(1).Crash == nil {
			t.Error("the crash is not reported")
		}
	})
}

// A start that is sent after the calls began to fail was not what crashed the worker,
// also if its connection attempt takes long.
func TestStartAfterTheCrashIsNoEvidence(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.mu.Lock()
		w.failure, w.startDelay = workercontroller.ErrConnectionLost, 4*maxJudgmentDelay
		w.mu.Unlock()
		time.Sleep(pollTimeout)
		startRuns(s, t, 1, "late")
		w.fail(workercontroller.ErrUnreachable)
		time.Sleep(3 * maxJudgmentDelay)
		crash := s.Report(1).Crash
		if crash == nil {
			t.Fatal("the crash is not reported")
		}
		if diff := cmp.Diff([]work.LostRun{}, crash.Runs); diff != "" {
			t.Errorf("runs of the crash (-want +got):\n%s", diff)
		}
	})
}

// An answer from before the crash may be handled after it was noticed.
func TestAnswerFromBeforeTheCrashDoesNotDisproveIt(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		call, sent := workercontroller.HoldCall{Call: s.currentCall()}, s.Clock()
		time.Sleep(10 * time.Millisecond)
		w.crash()
		time.Sleep(10 * time.Millisecond)
		s.handleHoldState(call, workercontroller.State{}, false, sent, s.Clock())
		if s.Report(1).Crash == nil {
			t.Error("the crash is no longer reported")
		}
	})
}

// A start whose connection broke may have been carried out, and may be the one that
// crashed the worker.
func TestUnansweredStartIsEvidence(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.mu.Lock()
		w.failure = workercontroller.ErrConnectionLost
		w.mu.Unlock()
		startRuns(s, t, 1, "deadly")
		time.Sleep(time.Millisecond)
		w.crash()
		time.Sleep(time.Second)
		crash := s.Report(1).Crash
		if crash == nil {
			t.Fatal("the crash is not reported")
		}
		if diff := cmp.Diff([]work.LostRun{{Task: "deadly", Run: 1}}, crash.Runs); diff != "" {
			t.Errorf("runs of the crash (-want +got):\n%s", diff)
		}
	})
}

// Reports must stay small also if a worker starts many tasks.
func TestCrashNamesTheNewestRunsOnly(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		for i := range maxLostRuns + 10 {
			startRuns(s, t, int64(i+1), fmt.Sprint(i))
			time.Sleep(time.Millisecond)
		}
		w.crash()
		time.Sleep(time.Second)
		crash := s.Report(1).Crash
		if crash == nil {
			t.Fatal("the crash is not reported")
		}
		if diff := cmp.Diff(maxLostRuns, len(crash.Runs)); diff != "" {
			t.Errorf("runs of the crash (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(work.LostRun{Task: "73", Run: 1, RanFor: time.Millisecond}, crash.Runs[0]); diff != "" {
			t.Errorf("newest run (-want +got):\n%s", diff)
		}
	})
}

// The leader may change, or lose the connection, right after the crash; the next worker
// process is there within seconds.
func TestCrashOutlastsTheNextProcessAndIsDroppedInTime(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		startRuns(s, t, 1, "deadly")
		time.Sleep(10 * time.Millisecond)
		w.crash()
		time.Sleep(3 * time.Second)
		w.restart()
		introduceNextWorker(s)
		want := &work.WorkerCrash{VM: "vm", WorkerIncarnation: 1, Ago: 3 * time.Second, Runs: []work.LostRun{{Task: "deadly", Run: 1, RanFor: 10 * time.Millisecond}}}
		if diff := cmp.Diff(want, s.Report(1).Crash); diff != "" {
			t.Errorf("crash after the next process introduced itself (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		report := s.Report(2)
		want.Ago += time.Second
		if diff := cmp.Diff(want, report.Crash); diff != "" {
			t.Errorf("crash in a report to a new leader (-want +got):\n%s", diff)
		}
		if report.WorkerDown || report.Fence != 4 {
			t.Errorf("down=%t, fence %d of the next process, want 4", report.WorkerDown, report.Fence)
		}
		time.Sleep(crashReportTime)
		if diff := cmp.Diff((*work.WorkerCrash)(nil), s.Report(2).Crash); diff != "" {
			t.Errorf("crash after its time (-want +got):\n%s", diff)
		}
	})
}

func TestLaterCrashReplacesTheFormer(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.crash()
		time.Sleep(time.Second)
		w.restart()
		introduceNextWorker(s)
		time.Sleep(pollTimeout + pollTimeout/4)
		w.crash()
		time.Sleep(time.Second)
		want := &work.WorkerCrash{VM: "next", WorkerIncarnation: 2, Ago: time.Second, Runs: []work.LostRun{}}
		if diff := cmp.Diff(want, s.Report(1).Crash); diff != "" {
			t.Errorf("crash (-want +got):\n%s", diff)
		}
	})
}

// A partition may refuse connections to a worker that runs on.
func TestAnswerOfTheSameProcessDisprovesItsCrash(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.crash()
		time.Sleep(time.Second)
		if s.Report(1).Crash == nil {
			t.Fatal("the crash is not reported")
		}
		w.restart()
		time.Sleep(2 * pollTimeout)
		if diff := cmp.Diff((*work.WorkerCrash)(nil), s.Report(1).Crash); diff != "" {
			t.Errorf("crash after the same process answered (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		w.crash()
		time.Sleep(time.Second)
		want := &work.WorkerCrash{VM: "vm", WorkerIncarnation: 1, Ago: time.Second, Runs: []work.LostRun{}}
		if diff := cmp.Diff(want, s.Report(1).Crash); diff != "" {
			t.Errorf("crash of that process (-want +got):\n%s", diff)
		}
	})
}

// Failed calls have other causes as well, and a crash without a known time would accuse
// the wrong tasks.
func TestFailedCallsWithOtherCausesAreNoCrash(t *testing.T) {
	cases := map[string]func(s *Supervisor, w *crashingWorker){
		"silent partition, then another process": func(s *Supervisor, w *crashingWorker) {
			w.fail(errNoAnswer)
			time.Sleep(3 * time.Second)
			w.restart()
			introduceNextWorker(s)
		},
		"silent partition, then no process": func(_ *Supervisor, w *crashingWorker) {
			w.fail(errNoAnswer)
			time.Sleep(3 * time.Second)
			w.fail(workercontroller.ErrUnreachable)
		},
		"connections that end while the worker runs on": func(_ *Supervisor, w *crashingWorker) {
			w.fail(workercontroller.ErrConnectionLost)
			time.Sleep(retryPause)
			w.fail(nil)
		},
		"draining": func(s *Supervisor, w *crashingWorker) {
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool", Draining: true}, 2, time.Now())
			w.crash()
		},
		"deregistered": func(s *Supervisor, w *crashingWorker) {
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool", Draining: true}, 2, time.Now())
			s.HandleDeregistration("vm", time.Now())
			w.crash()
		},
		"replaced": func(_ *Supervisor, w *crashingWorker) {
			w.fail(workercontroller.ErrMisdirected)
			time.Sleep(retryPause)
			w.crash()
		},
		"agent frozen": func(_ *Supervisor, w *crashingWorker) {
			w.frozen.Store(int64(200 * time.Millisecond))
			w.crash()
		},
		"agent frozen, then an answer and a heartbeat from before": func(s *Supervisor, w *crashingWorker) {
			w.frozen.Store(int64(2 * time.Second))
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, 2, time.Now())
			s.recordOutcome(s.currentCall(), s.Steady()-2*time.Second, nil)
			w.crash()
		},
		"agent suspended": func(_ *Supervisor, w *crashingWorker) {
			w.suspended.Store(int64(20 * time.Millisecond))
			w.crash()
		},
	}
	for name, apply := range cases {
		runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
			apply(s, w)
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				if crash := s.Report(1).Crash; crash != nil {
					t.Fatalf("%s: reported as the crash of %s", name, crash.VM)
				}
			}
		})
	}
}

// The time of a crash is known again once a call was answered that was sent after the
// agent was frozen.
func TestCrashAfterAFreezeIsReported(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.frozen.Store(int64(2 * time.Second))
		time.Sleep(2*pollTimeout + pollTimeout/4)
		startRuns(s, t, 1, "deadly")
		time.Sleep(10 * time.Millisecond)
		w.crash()
		time.Sleep(time.Second)
		want := &work.WorkerCrash{VM: "vm", WorkerIncarnation: 1, Ago: time.Second, Runs: []work.LostRun{{Task: "deadly", Run: 1, RanFor: 10 * time.Millisecond}}}
		if diff := cmp.Diff(want, s.Report(1).Crash); diff != "" {
			t.Errorf("crash (-want +got):\n%s", diff)
		}
	})
}

// An agent that has just started does not know since when its worker has been gone.
func TestNewAgentHasNoEvidence(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.fail(workercontroller.ErrUnreachable)
		introduceNextWorker(s)
		time.Sleep(time.Second)
		if report := s.Report(1); !report.WorkerDown || report.Crash != nil {
			t.Errorf("down=%t, crash %v of a worker that has not answered yet", report.WorkerDown, report.Crash)
		}
	})
}

// A worker that carries out calls without answering may crash meanwhile. Its heartbeats
// tell that it was there until then.
func TestCrashOfMuteWorkerIsReported(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.fail(errNoAnswer)
		for i := range 4 {
			time.Sleep(500 * time.Millisecond)
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, int64(i+2), time.Now())
		}
		w.crash()
		time.Sleep(2 * retryPause)
		if s.Report(1).Crash == nil {
			t.Error("the crash is not reported")
		}
	})
}
