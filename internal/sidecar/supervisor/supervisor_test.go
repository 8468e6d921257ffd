package supervisor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// fakeWorker simulates the worker of a VM. Its clock starts at zero with the
// test.
type fakeWorker struct {
	mu           sync.Mutex
	startedAt    time.Time
	unresponsive bool
	ignoreStarts bool
	// answerDelay is how long the worker takes to handle a hold call.
	answerDelay time.Duration
	// lateAnswers makes answers to hold calls arrive after the wait although the
	// runs are listed before it.
	lateAnswers bool
	leaseEnd    time.Duration
	fence       int64
	stopped     map[work.RunRef]bool
	stopCalls   int
	startCalls  int
	// startFence is the fence of the last start.
	startFence int64
	active     []work.RunStatus
	ends       []work.RunEnd
	endsAcked  int64
	// afterList is called once, between the reading of a list and its arrival.
	afterList func()
	// loseStartAnswers makes starts take effect without an answer, and their runs
	// complete at once.
	loseStartAnswers bool
	// hiddenEnds is set if the worker has ends that it does not list.
	hiddenEnds bool
}

var errNoAnswer = errors.New("no answer")

func (w *fakeWorker) clock() time.Duration { return time.Since(w.startedAt) }

func (w *fakeWorker) Start(ctx context.Context, c workercontroller.StartCall) (workercontroller.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startCalls++
	w.startFence = c.Fence
	run := work.RunRef{Task: c.Start.Task, Run: c.Start.Run}
	switch {
	case w.unresponsive || w.ignoreStarts:
		return "", errNoAnswer
	case c.Fence < w.fence:
		return workercontroller.Fenced, nil
	case w.stopped[run]:
		return workercontroller.Outdated, nil
	case c.LeaseEnd < w.clock():
		return workercontroller.Expired, nil
	}
	w.leaseEnd = max(w.leaseEnd, c.LeaseEnd)
	if w.loseStartAnswers {
		w.ends = append(w.ends, work.RunEnd{Number: int64(len(w.ends) + 1), Task: c.Start.Task, Run: c.Start.Run, Outcome: "done"})
		return "", errNoAnswer
	}
	w.active = append(w.active, work.RunStatus{Task: c.Start.Task, Run: c.Start.Run})
	return workercontroller.Accepted, nil
}

func (w *fakeWorker) Stop(_ context.Context, c workercontroller.Call, stop work.RunRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopCalls++
	if w.unresponsive {
		return errNoAnswer
	}
	w.stopped[stop] = true
	return nil
}

func (w *fakeWorker) Hold(ctx context.Context, c workercontroller.HoldCall) (workercontroller.State, error) {
	w.mu.Lock()
	late := w.lateAnswers
	w.mu.Unlock()
	if late {
		defer time.Sleep(c.Wait)
	} else {
		time.Sleep(c.Wait)
	}
	state, err := w.list(c)
	w.mu.Lock()
	afterList := w.afterList
	w.afterList = nil
	w.mu.Unlock()
	if afterList != nil {
		afterList()
	}
	return state, err
}

// list extends the lease and returns the state.
func (w *fakeWorker) list(c workercontroller.HoldCall) (workercontroller.State, error) {
	w.mu.Lock()
	answerDelay := w.answerDelay
	w.mu.Unlock()
	time.Sleep(answerDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unresponsive {
		return workercontroller.State{}, errNoAnswer
	}
	w.fence = max(w.fence, c.Fence)
	w.leaseEnd = max(w.leaseEnd, c.LeaseEnd)
	w.endsAcked = max(w.endsAcked, c.EndsAcked)
	w.ends = slices.DeleteFunc(slices.Clone(w.ends), func(e work.RunEnd) bool { return e.Number > 0 && e.Number <= c.EndsAcked })
	return workercontroller.State{Clock: w.clock(), Active: append([]work.RunStatus(nil), w.active...), Ends: append([]work.RunEnd(nil), w.ends...), MoreEnds: w.hiddenEnds}, nil
}

// delayNextList lets meanwhile happen between the reading of the worker's next
// list and its arrival, and waits until the list has arrived.
func (w *fakeWorker) delayNextList(meanwhile func()) {
	done := make(chan struct{})
	w.mu.Lock()
	w.afterList = func() {
		meanwhile()
		close(done)
	}
	w.mu.Unlock()
	<-done
	time.Sleep(time.Millisecond)
}

func (w *fakeWorker) Pace(context.Context, workercontroller.Call, work.RunRef, int) error { return nil }

func (w *fakeWorker) highestEndAcked() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endsAcked
}

func (w *fakeWorker) leaseLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaseEnd - w.clock()
}

func newSupervisor(w *fakeWorker) *Supervisor {
	s := &Supervisor{Worker: w, Logger: hclog.NewNullLogger(), MaxLease: 6 * time.Second, OnChange: func() {}, OnSessionStart: func() {}, Clock: virtualClock, Steady: virtualClock}
	s.Init()
	return s
}

// runUntilTestEnds runs a supervisor in the background until the test ends.
func runUntilTestEnds(t *testing.T, s *Supervisor) {
	go s.Run(t.Context())
	t.Cleanup(func() { <-s.Done })
}

// startSupervisor starts a supervisor whose session the worker has accepted.
func startSupervisor(t *testing.T) (*Supervisor, *fakeWorker, context.CancelFunc) {
	w := &fakeWorker{startedAt: time.Now(), stopped: map[work.RunRef]bool{}}
	s := newSupervisor(w)
	ctx, stop := context.WithCancel(t.Context())
	go s.Run(ctx)
	acceptSession(s)
	return s, w, stop
}

// acceptSession lets the worker accept a session.
func acceptSession(s *Supervisor) {
	s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool", Capacity: work.Size{Millicores: 1000}}, 1, time.Now())
	s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 1, Fence: 3})
	time.Sleep(500 * time.Millisecond)
}

// runWithSession runs a test in virtual time against a supervisor whose session
// the worker has accepted.
func runWithSession(t *testing.T, test func(t *testing.T, s *Supervisor, w *fakeWorker)) {
	synctest.Test(t, func(t *testing.T) {
		s, w, stop := startSupervisor(t)
		test(t, s, w)
		stop()
		<-s.Done
	})
}

func virtualClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func confirmSession(s *Supervisor) { s.RecordConfirmation(s.NewHeartbeat(1), virtualClock()) }

func sendCommands(s *Supervisor, t *testing.T, commands *work.Commands) {
	commands.Fence, commands.Epoch = 3, 1
	s.HandleCommands(t.Context(), commands)
}

func TestLeaseIsExtendedOnlyWhileSessionIsConfirmed(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		for range 20 {
			confirmSession(s)
			time.Sleep(300 * time.Millisecond)
		}
		if leaseLeft := w.leaseLeft(); leaseLeft < 5*time.Second || leaseLeft > 6*time.Second {
			t.Errorf("the lease has %s left, want nearly 6 s", leaseLeft)
		}
		time.Sleep(6100 * time.Millisecond)
		if leaseLeft := w.leaseLeft(); leaseLeft > 0 {
			t.Errorf("without a confirmation the lease still has %s", leaseLeft)
		}
	})
}

// Guards against extending the lease of a worker that is gone for good: the
// session stayed valid, so the lease never expired and the worker's tasks were
// never restarted elsewhere. A fault-injection run failed its "lost" check
// because of this.
func TestUnresponsiveWorkerLosesLeaseDespiteConfirmations(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.unresponsive = true
		w.mu.Unlock()
		for range 30 {
			confirmSession(s)
			time.Sleep(300 * time.Millisecond)
		}
		if !s.Report(0).LeaseExpired {
			t.Error("the lease is not reported as expired after 9 s without an answer")
		}
	})
}

func TestUnansweredStartIsStoppedAndVoided(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		w.mu.Lock()
		w.ignoreStarts = true
		w.mu.Unlock()
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(2 * time.Second)
		want := []work.VoidRun{{Task: "t", Run: 1, Reason: "unanswered"}}
		if diff := cmp.Diff(want, s.Report(1).Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
		if !w.stopped[work.RunRef{Task: "t", Run: 1}] {
			t.Error("the run was not stopped and may still start")
		}
		sendCommands(s, t, &work.Commands{Number: 2, VoidsAcked: []work.RunRef{{Task: "t", Run: 1}}})
		if diff := cmp.Diff(0, len(s.Report(1).Voids)); diff != "" {
			t.Errorf("voids after they were logged (-want +got):\n%s", diff)
		}
	})
}

func TestDrainingWorkerGetsNoStarts(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool", Draining: true}, 2, time.Now())
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(time.Second)
		if len(w.active) != 0 {
			t.Errorf("started %+v", w.active)
		}
		want := []work.VoidRun{{Task: "t", Run: 1, Reason: "draining"}}
		if diff := cmp.Diff(want, s.Report(1).Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
	})
}

func TestEndsAreDroppedOnlyOnceLogged(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		end := work.RunEnd{Number: 1, Task: "t", Run: 1, Outcome: "done"}
		w.mu.Lock()
		w.ends = []work.RunEnd{end}
		w.mu.Unlock()
		time.Sleep(time.Second)
		if diff := cmp.Diff([]work.RunEnd{end}, s.Report(1).Ends); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if acked := w.highestEndAcked(); acked != 0 {
			t.Errorf("the worker may drop ends up to %d before they are logged", acked)
		}
		sendCommands(s, t, &work.Commands{Number: 1, EndsAcked: 1})
		time.Sleep(time.Second)
		if acked := w.highestEndAcked(); acked != 1 {
			t.Errorf("the worker may drop ends up to %d, want 1", acked)
		}
	})
}

func TestCommandsOfOlderLeaderOrSessionAreIgnored(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		s.HandleCommands(t.Context(), &work.Commands{Epoch: 5, Fence: 3, Number: 1})
		s.HandleCommands(t.Context(), &work.Commands{Epoch: 4, Fence: 3, Number: 2, Starts: []work.Start{{Task: "old", Run: 1}}})
		s.HandleCommands(t.Context(), &work.Commands{Epoch: 5, Fence: 2, Number: 3, Starts: []work.Start{{Task: "fenced", Run: 1}}})
		time.Sleep(time.Second)
		if len(w.active) != 0 {
			t.Errorf("started %+v", w.active)
		}
	})
}

func TestWorkerRestartDropsOldSession(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, _ *fakeWorker) {
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 2, Pool: "pool"}, 1, time.Now())
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool"}, 9, time.Now())
		status, _ := s.WorkerStatus()
		if diff := cmp.Diff(int64(2), status.Incarnation); diff != "" {
			t.Errorf("a late heartbeat of the former worker process was accepted (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(0), s.Report(1).Fence); diff != "" {
			t.Errorf("fence (-want +got):\n%s", diff)
		}
	})
}
