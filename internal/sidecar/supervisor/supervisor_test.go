package supervisor

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// worker plays the worker of a VM. Its clock starts at zero with the test.
type worker struct {
	mu      sync.Mutex
	born    time.Time
	mute    bool
	noStart bool
	until   time.Duration
	fence   int64
	stopped map[work.Stop]bool
	active  []work.Active
	ends    []work.End
	seen    int64
}

var errSilent = errors.New("no answer")

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) Start(ctx context.Context, c workercontroller.StartCall) (workercontroller.Rejection, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := work.Stop{Task: c.Start.Task, Run: c.Start.Run}
	switch {
	case w.mute || w.noStart:
		return "", errSilent
	case c.Fence < w.fence:
		return workercontroller.Fenced, nil
	case w.stopped[run]:
		return workercontroller.Outdated, nil
	case c.Until < w.clock():
		return workercontroller.Expired, nil
	}
	w.until = max(w.until, c.Until)
	w.active = append(w.active, work.Active{Task: c.Start.Task, Run: c.Start.Run})
	return workercontroller.Accepted, nil
}

func (w *worker) Stop(_ context.Context, c workercontroller.Call, stop work.Stop) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mute {
		return errSilent
	}
	w.stopped[stop] = true
	return nil
}

func (w *worker) Hold(ctx context.Context, c workercontroller.HoldCall) (workercontroller.State, error) {
	if c.Wait > 0 {
		time.Sleep(c.Wait)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mute {
		return workercontroller.State{}, errSilent
	}
	w.fence = max(w.fence, c.Fence)
	w.until = max(w.until, c.Until)
	w.seen = max(w.seen, c.Seen)
	return workercontroller.State{Clock: w.clock(), Active: append([]work.Active(nil), w.active...), Ends: append([]work.End(nil), w.ends...)}, nil
}

func (w *worker) Pace(context.Context, workercontroller.Call, work.Stop, int) error { return nil }

func (w *worker) left() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.until - w.clock()
}

// begin starts a warden whose session has been confirmed by its worker.
func begin(t *testing.T) (*Supervisor, *worker, context.CancelFunc) {
	k := &worker{born: time.Now(), stopped: map[work.Stop]bool{}}
	w := &Supervisor{Worker: k, Logger: hclog.NewNullLogger(), MaxLease: 6 * time.Second, OnChange: func() {}, OnSessionStart: func() {}, Clock: virtual, Steady: virtual}
	w.Init()
	ctx, stop := context.WithCancel(t.Context())
	go w.Run(ctx)
	w.Announce(work.Vitals{VM: "vm", Born: 1, Pool: "pool", Size: work.Size{Millis: 1000}}, 1, time.Now())
	w.Grant(&work.Grant{VM: "vm", Born: 1, Fence: 3})
	time.Sleep(500 * time.Millisecond)
	return w, k, stop
}

// play runs a test in virtual time against a warden with a session.
func play(t *testing.T, test func(t *testing.T, w *Supervisor, k *worker)) {
	synctest.Test(t, func(t *testing.T) {
		w, k, stop := begin(t)
		test(t, w, k)
		stop()
		<-w.Done
	})
}

func virtual() time.Duration { return time.Duration(time.Now().UnixNano()) }

func vouch(w *Supervisor) { w.Vouched(w.Beat(1), virtual()) }

func order(w *Supervisor, t *testing.T, o *work.Orders) {
	o.Fence, o.Epoch = 3, 1
	w.Orders(t.Context(), o)
}

func TestLeaseIsExtendedOnlyWithEvidence(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		for range 20 {
			vouch(w)
			time.Sleep(300 * time.Millisecond)
		}
		if left := k.left(); left < 5*time.Second || left > 6*time.Second {
			t.Errorf("the lease has %s left, want nearly 6 s", left)
		}
		time.Sleep(6100 * time.Millisecond)
		if left := k.left(); left > 0 {
			t.Errorf("without evidence the lease still has %s", left)
		}
	})
}

// A hunt broke "lost" with this: the lease of a worker that was gone for good
// was extended on and on, so that its tasks were never taken to be over.
func TestUnresponsiveWorkerLapsesDespiteEvidence(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		vouch(w)
		time.Sleep(time.Second)
		k.mu.Lock()
		k.mute = true
		k.mu.Unlock()
		for range 30 {
			vouch(w)
			time.Sleep(300 * time.Millisecond)
		}
		if !w.Report(0).Lapsed {
			t.Error("9 s without an answer, and the lease is not reported as over")
		}
	})
}

func TestUnansweredStartIsStoppedAndVoided(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		vouch(w)
		k.mu.Lock()
		k.noStart = true
		k.mu.Unlock()
		order(w, t, &work.Orders{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(2 * time.Second)
		want := []work.Void{{Task: "t", Run: 1, Reason: "unanswered"}}
		if diff := cmp.Diff(want, w.Report(1).Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
		if !k.stopped[work.Stop{Task: "t", Run: 1}] {
			t.Error("the run may still start: it was not stopped")
		}
		order(w, t, &work.Orders{Number: 2, Settled: []work.Stop{{Task: "t", Run: 1}}})
		if diff := cmp.Diff(0, len(w.Report(1).Voids)); diff != "" {
			t.Errorf("voids after the log has them (-want +got):\n%s", diff)
		}
	})
}

func TestDrainingWorkerGetsNoStarts(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		vouch(w)
		w.Announce(work.Vitals{VM: "vm", Born: 1, Pool: "pool", Draining: true}, 2, time.Now())
		order(w, t, &work.Orders{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(time.Second)
		if len(k.active) != 0 {
			t.Errorf("started %+v", k.active)
		}
		want := []work.Void{{Task: "t", Run: 1, Reason: "draining"}}
		if diff := cmp.Diff(want, w.Report(1).Voids); diff != "" {
			t.Errorf("voids (-want +got):\n%s", diff)
		}
	})
}

func TestEndsAreDroppedOnlyOnceLogged(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		vouch(w)
		end := work.End{Number: 1, Task: "t", Run: 1, How: "done"}
		k.mu.Lock()
		k.ends = []work.End{end}
		k.mu.Unlock()
		time.Sleep(time.Second)
		if diff := cmp.Diff([]work.End{end}, w.Report(1).Ends); diff != "" {
			t.Errorf("ends (-want +got):\n%s", diff)
		}
		if k.seen != 0 {
			t.Errorf("the worker may forget up to %d before the log has it", k.seen)
		}
		order(w, t, &work.Orders{Number: 1, Seen: 1})
		time.Sleep(time.Second)
		if k.seen != 1 {
			t.Errorf("the worker may forget up to %d, want 1", k.seen)
		}
	})
}

func TestOrdersOfOlderLeaderOrSessionAreIgnored(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		vouch(w)
		w.Orders(t.Context(), &work.Orders{Epoch: 5, Fence: 3, Number: 1})
		w.Orders(t.Context(), &work.Orders{Epoch: 4, Fence: 3, Number: 2, Starts: []work.Start{{Task: "old", Run: 1}}})
		w.Orders(t.Context(), &work.Orders{Epoch: 5, Fence: 2, Number: 3, Starts: []work.Start{{Task: "fenced", Run: 1}}})
		time.Sleep(time.Second)
		if len(k.active) != 0 {
			t.Errorf("started %+v", k.active)
		}
	})
}

func TestWorkerRestartDropsOldSession(t *testing.T) {
	play(t, func(t *testing.T, w *Supervisor, _ *worker) {
		w.Announce(work.Vitals{VM: "vm", Born: 2, Pool: "pool"}, 1, time.Now())
		w.Announce(work.Vitals{VM: "vm", Born: 1, Pool: "pool"}, 9, time.Now())
		vitals, _ := w.Vitals()
		if diff := cmp.Diff(int64(2), vitals.Born); diff != "" {
			t.Errorf("a late heartbeat of the former life counted (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(0), w.Report(1).Fence); diff != "" {
			t.Errorf("fence (-want +got):\n%s", diff)
		}
	})
}
