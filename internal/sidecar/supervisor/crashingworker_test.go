package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// crashingWorker is a worker whose calls can be made to fail as they do once its
// process has ended. A call that waits fails when that happens.
type crashingWorker struct {
	*fakeWorker
	mu sync.Mutex
	// failure is the error of all calls, nil while they are carried out.
	failure error
	// pendingFailure is the error of calls that wait when the failure changes, nil for
	// the same.
	pendingFailure error
	// failed is closed when the failure changes.
	failed chan struct{}
	// startDelay is how long start calls take.
	startDelay time.Duration
	// startCalls counts the starts that were sent.
	startCalls int
	changes    int
	// suspended is how long the VM has been suspended, frozen how long the agent process
	// has not been running.
	suspended, frozen atomic.Int64
}

// fail makes all calls fail, or none if err is nil. Calls that wait fail at once.
func (w *crashingWorker) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failure = err
	close(w.failed)
	w.failed = make(chan struct{})
}

// crash ends the worker process: calls that wait lose their connection, others are
// refused.
func (w *crashingWorker) crash() {
	w.mu.Lock()
	w.pendingFailure = workercontroller.ErrConnectionLost
	w.mu.Unlock()
	w.fail(workercontroller.ErrUnreachable)
}

// check returns the error of a call after it has waited, nil if it is carried out.
func (w *crashingWorker) check(wait time.Duration) error {
	w.mu.Lock()
	err, failed := w.failure, w.failed
	w.mu.Unlock()
	if err != nil || wait == 0 {
		return err
	}
	select {
	case <-time.After(wait):
		return nil
	case <-failed:
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.pendingFailure != nil {
			return w.pendingFailure
		}
		return w.failure
	}
}

func (w *crashingWorker) Start(ctx context.Context, c workercontroller.StartCall) (workercontroller.StartResult, error) {
	w.mu.Lock()
	w.startCalls++
	delay := w.startDelay
	w.mu.Unlock()
	time.Sleep(delay)
	if err := w.check(0); err != nil {
		return "", err
	}
	return w.fakeWorker.Start(ctx, c)
}

func (w *crashingWorker) Stop(ctx context.Context, c workercontroller.Call, run work.RunRef) error {
	if err := w.check(0); err != nil {
		return err
	}
	return w.fakeWorker.Stop(ctx, c, run)
}

func (w *crashingWorker) Hold(ctx context.Context, c workercontroller.HoldCall) (workercontroller.State, error) {
	if err := w.check(c.Wait); err != nil {
		return workercontroller.State{}, err
	}
	c.Wait = 0
	return w.fakeWorker.Hold(ctx, c)
}

// runWithCrashingWorker runs a test in virtual time against a supervisor whose session
// the worker has accepted and an entry confirmed.
func runWithCrashingWorker(t *testing.T, test func(t *testing.T, s *Supervisor, w *crashingWorker)) {
	synctest.Test(t, func(t *testing.T) {
		w := &crashingWorker{fakeWorker: &fakeWorker{startedAt: time.Now(), stopped: map[work.RunRef]bool{}}, failed: make(chan struct{})}
		s := newSupervisor(w.fakeWorker)
		s.Worker = w
		s.Steady = func() time.Duration { return virtualClock() + time.Duration(w.frozen.Load()) }
		s.Clock = func() time.Duration { return s.Steady() + time.Duration(w.suspended.Load()) }
		s.OnChange = func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.changes++
		}
		runUntilTestEnds(t, s)
		acceptSession(s)
		confirmSession(s)
		// The next poll is due neither now nor soon.
		time.Sleep(2*pollTimeout + pollTimeout/4)
		test(t, s, w)
	})
}

func (w *crashingWorker) hasStopped(run work.RunRef) bool {
	w.fakeWorker.mu.Lock()
	defer w.fakeWorker.mu.Unlock()
	return w.stopped[run]
}

func (w *crashingWorker) countChanges() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changes
}

// startRuns sends starts of one run each of the given tasks.
func startRuns(s *Supervisor, t *testing.T, number int64, tasks ...string) {
	commands := &work.Commands{Number: number}
	for _, task := range tasks {
		commands.Starts = append(commands.Starts, work.Start{Task: task, Run: 1})
	}
	sendCommands(s, t, commands)
}

// restart makes the worker accept connections again.
func (w *crashingWorker) restart() {
	w.fakeWorker.mu.Lock()
	w.fence, w.active, w.ends = 0, nil, nil
	w.fakeWorker.mu.Unlock()
	w.mu.Lock()
	w.pendingFailure = nil
	w.mu.Unlock()
	w.fail(nil)
}

func introduceNextWorker(s *Supervisor) {
	s.HandleHeartbeat(work.WorkerStatus{VM: "next", Incarnation: 2, Pool: "pool"}, 1, time.Now())
	s.AcceptGrant(&work.Grant{VM: "next", WorkerIncarnation: 2, Fence: 4})
}
