package supervisor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

func TestStartToUnreachableWorkerIsVoidAtOnce(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.fail(workercontroller.ErrUnreachable)
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(10 * time.Millisecond)
		report := s.Report(1)
		if diff := cmp.Diff([]work.VoidRun{{Task: "t", Run: 1, Reason: "unreachable"}}, report.Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]work.RunRef(nil), report.PendingStarts); diff != "" {
			t.Errorf("pending starts (-want +got):\n%s", diff)
		}
	})
}

// A partition may refuse connections to a worker that runs on, so a refused call says
// nothing about runs whose start was sent before.
func TestRunsBeforeTheRefusedStartAreNotVoid(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "active", Run: 1}}})
		time.Sleep(500 * time.Millisecond)
		w.fail(errNoAnswer)
		sendCommands(s, t, &work.Commands{Number: 2, Starts: []work.Start{{Task: "unanswered", Run: 1}}})
		time.Sleep(10 * time.Millisecond)
		w.fail(workercontroller.ErrUnreachable)
		sendCommands(s, t, &work.Commands{Number: 3, Starts: []work.Start{{Task: "refused", Run: 1}}, Stops: []work.RunRef{{Task: "active", Run: 1}}})
		time.Sleep(time.Second)
		report := s.Report(1)
		if diff := cmp.Diff([]work.VoidRun{{Task: "refused", Run: 1, Reason: "unreachable"}}, report.Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
		want := map[work.RunRef]bool{{Task: "active", Run: 1}: true, {Task: "unanswered", Run: 1}: true}
		if diff := cmp.Diff(want, reportedRuns(report)); diff != "" {
			t.Errorf("runs in the report (-want +got):\n%s", diff)
		}
		w.fail(nil)
		time.Sleep(time.Second)
		for run := range want {
			if !w.hasStopped(run) {
				t.Errorf("%v was not stopped after the worker was reachable again", run)
			}
		}
	})
}

// The leader learns within milliseconds that a worker takes no starts, from the call
// that was refused.
func TestRefusedCallIsReportedAtOnceAndUntilTheNextAnswer(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.mu.Lock()
		w.failure = workercontroller.ErrUnreachable
		w.mu.Unlock()
		sendCommands(s, t, &work.Commands{Number: 1, Stops: []work.RunRef{{Task: "t", Run: 1}}})
		changes := w.countChanges()
		time.Sleep(time.Millisecond)
		if !s.Report(1).WorkerDown || w.countChanges() == changes {
			t.Errorf("down=%t after a refused stop, %d reports requested", s.Report(1).WorkerDown, w.countChanges()-changes)
		}
		time.Sleep(time.Second)
		if !s.Report(1).WorkerDown {
			t.Error("the worker is not reported as down while polls are refused")
		}
		w.fail(errNoAnswer)
		time.Sleep(2 * retryPause)
		if !s.Report(1).WorkerDown {
			t.Error("an unanswered call counts as an answer")
		}
		w.fail(nil)
		time.Sleep(2 * retryPause)
		if s.Report(1).WorkerDown {
			t.Error("the worker is reported as down after it has answered")
		}
	})
}

// Starts reach a worker that is down in numbers; none of them may wait.
func TestStartsToWorkerThatIsDownAreTriedOnce(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.fail(workercontroller.ErrUnreachable)
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "a", Run: 1}}})
		time.Sleep(time.Millisecond)
		if !s.Report(1).WorkerDown {
			t.Error("the worker is not reported as down after a refused start")
		}
		sendCommands(s, t, &work.Commands{Number: 2, Starts: []work.Start{{Task: "b", Run: 1}, {Task: "c", Run: 1}}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if diff := cmp.Diff(3, w.startCalls); diff != "" {
			t.Errorf("start calls for three runs (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(3, len(s.Report(1).Voids)); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
	})
}

// A worker that answers with errors is unwell, not down.
func TestWorkerThatAnswersWithErrorsIsNotDown(t *testing.T) {
	for _, answer := range []error{workercontroller.ErrUnexpectedAnswer, workercontroller.ErrWorkerRestarted, workercontroller.ErrMisdirected} {
		runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
			w.fail(workercontroller.ErrUnreachable)
			time.Sleep(time.Second)
			w.fail(answer)
			time.Sleep(2 * retryPause)
			if s.Report(1).WorkerDown {
				t.Errorf("the worker is reported as down after it has answered: %v", answer)
			}
		})
	}
}

func TestNextWorkerProcessIsNotDown(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.fail(workercontroller.ErrUnreachable)
		time.Sleep(time.Second)
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, 2, time.Now())
		if !s.Report(1).WorkerDown {
			t.Error("a heartbeat of the process that refuses connections counts as an answer")
		}
		s.HandleHeartbeat(work.WorkerStatus{VM: "next", Incarnation: 2, Pool: "pool"}, 1, time.Now())
		if s.Report(1).WorkerDown {
			t.Error("the next worker process is reported as down")
		}
		s.AcceptGrant(&work.Grant{VM: "next", WorkerIncarnation: 2, Fence: 4})
		time.Sleep(2 * retryPause)
		if report := s.Report(1); !report.WorkerDown || report.Fence != 0 {
			t.Errorf("down=%t, fence %d after a refused call of a session that was not accepted yet", report.WorkerDown, report.Fence)
		}
	})
}

// An answer may be handled after the refusal of a call that was sent later.
func TestAnswerToAnEarlierCallDoesNotHideARefusal(t *testing.T) {
	runWithCrashingWorker(t, func(t *testing.T, s *Supervisor, w *crashingWorker) {
		w.fail(errNoAnswer)
		time.Sleep(time.Second)
		call, now := s.currentCall(), s.Steady()
		s.recordOutcome(call, now, workercontroller.ErrUnreachable)
		s.recordOutcome(call, now-time.Millisecond, nil)
		if !s.Report(1).WorkerDown {
			t.Error("an answer to an earlier call counts as a later one")
		}
		s.recordOutcome(call, now+2*time.Millisecond, nil)
		s.recordOutcome(call, now+time.Millisecond, workercontroller.ErrUnreachable)
		if s.Report(1).WorkerDown {
			t.Error("the refusal of an earlier call counts as a later one")
		}
	})
}
