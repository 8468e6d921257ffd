package supervisor

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// restartableWorker can be replaced by another worker process under the same VM name.
// The new process carries out calls meant for the one before.
type restartableWorker struct {
	*fakeWorker
	mu          sync.Mutex
	incarnation int64
	// misdirects makes the worker reject calls meant for another process.
	misdirects bool
}

// restart replaces the worker process. Incarnation is the start of the new one by the
// wall clock, which may have stepped back. A new process that misdirects rejects calls
// meant for the one before.
func (w *restartableWorker) restart(incarnation int64, misdirects bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fakeWorker.mu.Lock()
	defer w.fakeWorker.mu.Unlock()
	w.incarnation, w.misdirects = incarnation, misdirects
	w.startedAt, w.leaseEnd, w.fence, w.active, w.ends = time.Now(), 0, 0, nil, nil
}

// now returns the clock of the worker process.
func (w *restartableWorker) now() time.Duration {
	w.fakeWorker.mu.Lock()
	defer w.fakeWorker.mu.Unlock()
	return w.clock()
}

// check returns the error of a call that was meant for another process.
func (w *restartableWorker) check(c workercontroller.Call) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case c.WorkerIncarnation == w.incarnation:
		return nil
	case w.misdirects:
		return workercontroller.ErrMisdirected
	}
	return workercontroller.ErrWorkerRestarted
}

func (w *restartableWorker) Start(ctx context.Context, c workercontroller.StartCall) (workercontroller.StartResult, error) {
	err := w.check(c.Call)
	if errors.Is(err, workercontroller.ErrMisdirected) {
		return "", err
	}
	c.LeaseEnd = min(c.LeaseEnd, w.now()+6*time.Second)
	result, startErr := w.fakeWorker.Start(ctx, c)
	if err == nil {
		err = startErr
	}
	return result, err
}

func (w *restartableWorker) Hold(ctx context.Context, c workercontroller.HoldCall) (workercontroller.State, error) {
	time.Sleep(c.Wait)
	c.Wait = 0
	err := w.check(c.Call)
	if errors.Is(err, workercontroller.ErrMisdirected) {
		return workercontroller.State{}, err
	}
	c.LeaseEnd = min(c.LeaseEnd, w.now()+6*time.Second)
	state, holdErr := w.fakeWorker.Hold(ctx, c)
	if err == nil {
		err = holdErr
	}
	return state, err
}

// runWithRestartableWorker runs a test in virtual time against a supervisor whose
// session a worker of incarnation 1 has accepted and an entry confirmed.
func runWithRestartableWorker(t *testing.T, test func(t *testing.T, s *Supervisor, w *restartableWorker)) {
	synctest.Test(t, func(t *testing.T) {
		w := &restartableWorker{fakeWorker: &fakeWorker{startedAt: time.Now().Add(-time.Hour), stopped: map[work.RunRef]bool{}}, incarnation: 1}
		s := newSupervisor(w.fakeWorker)
		s.Worker = w
		runUntilTestEnds(t, s)
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, 1, time.Now())
		s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 1, Fence: 3})
		time.Sleep(500 * time.Millisecond)
		confirmSession(s)
		// No poll falls due at the time of a restart.
		time.Sleep(530 * time.Millisecond)
		test(t, s, w)
	})
}

// A worker that has restarted under its VM name may carry out a start that was meant
// for the process before. Its answer does not prove that the run has not started.
func TestRunStartedByRestartedWorkerIsNotVoid(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		w.restart(2, false)
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			if diff := cmp.Diff([]work.VoidRun(nil), s.Report(1).Voids); diff != "" {
				t.Fatalf("voids (-want +got):\n%s", diff)
			}
		}
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 2, Pool: "pool"}, 1, time.Now())
		s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 2, Fence: 4})
		time.Sleep(500 * time.Millisecond)
		want := &work.Report{
			Fence: 4, WorkerStatus: work.WorkerStatus{VM: "vm", Incarnation: 2, Pool: "pool"},
			ActiveRuns: []work.RunStatus{{Task: "t", Run: 1, KindUnknown: true}},
		}
		if diff := cmp.Diff(want, s.Report(2)); diff != "" {
			t.Errorf("report of the new process (-want +got):\n%s", diff)
		}
	})
}

func TestMisdirectedStartIsVoid(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		w.restart(2, true)
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(100 * time.Millisecond)
		if diff := cmp.Diff([]work.VoidRun{{Task: "t", Run: 1, Reason: "reborn"}}, s.Report(1).Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
	})
}

// The agent may learn late that its worker has restarted. A lease that it extends
// meanwhile is the new process's, and longer than the clock of the process before
// tells.
func TestLeaseOfRestartedWorkerIsNotExtendedAndExpiresInTime(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		time.Sleep(500 * time.Millisecond)
		w.restart(2, false)
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			confirmSession(s)
			if left := w.leaseLeft(); s.Report(1).LeaseExpired && left > 0 {
				t.Fatalf("the lease is reported as expired with %s left", left)
			}
		}
		if !s.Report(1).LeaseExpired {
			t.Errorf("the lease is not reported as expired; the worker has %s left", w.leaseLeft())
		}
	})
}

// If the wall clock steps back before a worker restarts, the new process seems to be the
// older one.
func TestRestartedWorkerIsServedAfterClockStep(t *testing.T) {
	for _, misdirects := range []bool{false, true} {
		runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
			w.restart(-5000, misdirects)
			for i := range 4 {
				time.Sleep(500 * time.Millisecond)
				s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: -5000, Pool: "pool"}, int64(i+1), time.Now())
			}
			if status, _ := s.WorkerStatus(); status.Incarnation != -5000 {
				t.Errorf("misdirects=%t: the agent still takes process %d for its worker", misdirects, status.Incarnation)
			}
			// A delayed heartbeat of the former process changes nothing for long.
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, 9, time.Now())
			s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 1, Fence: 4})
			time.Sleep(500 * time.Millisecond)
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: -5000, Pool: "pool"}, 5, time.Now())
			s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: -5000, Fence: 5})
			time.Sleep(500 * time.Millisecond)
			if diff := cmp.Diff(int64(5), s.Report(1).Fence); diff != "" {
				t.Errorf("misdirects=%t: fence that the worker accepted (-want +got):\n%s", misdirects, diff)
			}
		})
	}
}

// A heartbeat with an earlier start time is ignored as long as the known process
// answers.
func TestHeartbeatOfFormerWorkerIsIgnoredWhileKnownOneAnswers(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 0, Pool: "pool"}, 9, time.Now())
		time.Sleep(500 * time.Millisecond)
		s.HandleHeartbeat(work.WorkerStatus{VM: "former", Incarnation: 0, Pool: "pool"}, 9, time.Now())
		status, _ := s.WorkerStatus()
		if diff := cmp.Diff(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, status); diff != "" {
			t.Errorf("known worker (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(3), s.Report(1).Fence); diff != "" {
			t.Errorf("fence (-want +got):\n%s", diff)
		}
	})
}

// Each worker process numbers its ends anew. A process that has restarted under its
// VM name would forget the ends of its own up to the number that the process before
// was told of, and their tasks would be started again.
func TestRestartedWorkerIsNotToldOfEndsOfFormerOne(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		sendCommands(s, t, &work.Commands{Number: 1, EndsAcked: 7})
		w.restart(2, false)
		time.Sleep(500 * time.Millisecond)
		w.fakeWorker.mu.Lock()
		w.endsAcked = 0
		w.fakeWorker.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		w.fakeWorker.mu.Lock()
		defer w.fakeWorker.mu.Unlock()
		if diff := cmp.Diff(int64(0), w.endsAcked); diff != "" {
			t.Errorf("acknowledged end (-want +got):\n%s", diff)
		}
	})
}

// The leader numbers the commands of each VM by itself. Commands that came before must not
// count as handled ones of a new session.
func TestHandledCommandsCountAnewWithSession(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		sendCommands(s, t, &work.Commands{Number: 57})
		w.restart(2, false)
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 2, Pool: "pool"}, 1, time.Now())
		s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 2, Fence: 4})
		time.Sleep(500 * time.Millisecond)
		if diff := cmp.Diff(int64(0), s.Report(1).CommandsHandled); diff != "" {
			t.Errorf("handled commands before any came in the session (-want +got):\n%s", diff)
		}
	})
}

// A call that is held back may reach a later process of the name. So calls acknowledge
// nothing while there is nothing to forget.
func TestPollsAcknowledgeOnlyEndsThatAreStillListed(t *testing.T) {
	runWithRestartableWorker(t, func(t *testing.T, s *Supervisor, w *restartableWorker) {
		w.fakeWorker.mu.Lock()
		w.ends = []work.RunEnd{{Number: 7, Task: "t", Run: 1, Outcome: "done"}}
		w.fakeWorker.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		sendCommands(s, t, &work.Commands{Number: 1, EndsAcked: 7})
		time.Sleep(500 * time.Millisecond)
		if diff := cmp.Diff(int64(7), w.highestEndAcked()); diff != "" {
			t.Fatalf("acknowledged end (-want +got):\n%s", diff)
		}
		w.fakeWorker.mu.Lock()
		w.endsAcked = 0
		w.fakeWorker.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if diff := cmp.Diff(int64(0), w.highestEndAcked()); diff != "" {
			t.Errorf("acknowledged end once the worker lists none (-want +got):\n%s", diff)
		}
	})
}
