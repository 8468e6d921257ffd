package supervisor

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/sidecar/pacer"
	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// pacedWorker is a worker that carries out paces, or loses the first of them.
type pacedWorker struct {
	*worker
	lost  int
	paces map[string]int
	when  map[string]time.Duration
}

func (w *pacedWorker) Pace(_ context.Context, _ workercontroller.Call, run work.Stop, percent int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lost > 0 {
		w.lost--
		return errSilent
	}
	w.paces[run.Task] = percent
	w.when[run.Task] = w.clock()
	return nil
}

// beside plays a VM on which a serving task has a tail latency near its objective.
func beside(t *testing.T, test func(w *Supervisor, k *pacedWorker)) {
	play(t, func(t *testing.T, w *Supervisor, k *worker) {
		p := &pacedWorker{worker: k, paces: map[string]int{}, when: map[string]time.Duration{}}
		w.Worker, w.Pacer = p, pacer.New()
		vouch(w)
		order(w, t, &work.Orders{Number: 1, Starts: []work.Start{{Task: "feed", Run: 1, Serves: true, Target: 40 * time.Millisecond, Image: "feed", Millis: 300}}})
		time.Sleep(100 * time.Millisecond)
		k.mu.Lock()
		k.active[0].Gauge = 20
		k.mu.Unlock()
		time.Sleep(time.Second)
		test(w, p)
	})
}

var filler = work.Start{Task: "fill", Run: 1, Fills: true, Image: "fill", Millis: 500}

// A filler works in full until it is paced. Paced with the next poll only, the
// serving task beside it misses its objective for up to a second.
func TestNewFillerIsPacedImmediately(t *testing.T) {
	beside(t, func(w *Supervisor, k *pacedWorker) {
		began := k.clock()
		order(w, t, &work.Orders{Number: 2, Starts: []work.Start{filler}})
		time.Sleep(time.Second)
		if pace := k.paces["fill"]; pace == 0 || pace > 50 {
			t.Errorf("the filler works at %d %%", pace)
		}
		if took := k.when["fill"] - began; took > 20*time.Millisecond {
			t.Errorf("paced after %s", took)
		}
	})
}

func TestFailedPaceCallIsRetried(t *testing.T) {
	beside(t, func(w *Supervisor, k *pacedWorker) {
		k.lost = 1
		order(w, t, &work.Orders{Number: 2, Starts: []work.Start{filler}})
		time.Sleep(time.Second)
		if pace, ok := k.paces["fill"]; !ok || pace > 50 {
			t.Errorf("the filler works at %d %% after a lost pace", pace)
		}
	})
}

// A new process of the agent finds runs that it did not start.
func TestAdoptedRunIsPacedOnceItsKindIsKnown(t *testing.T) {
	beside(t, func(w *Supervisor, k *pacedWorker) {
		k.mu.Lock()
		k.active = append(k.active, work.Active{Task: "fill", Run: 1})
		k.active[0].Gauge = 9 // idle
		k.paces["fill"] = 0   // by the earlier process
		k.mu.Unlock()
		time.Sleep(time.Second)
		unknown := map[string]bool{}
		for _, a := range w.Report(1).Active {
			unknown[a.Task] = a.Unknown
		}
		if diff := cmp.Diff(map[string]bool{"feed": false, "fill": true}, unknown); diff != "" {
			t.Errorf("runs of unknown kind (-want +got):\n%s", diff)
		}
		order(w, t, &work.Orders{Number: 2, Kinds: []work.Start{filler}})
		time.Sleep(time.Second)
		if pace := k.paces["fill"]; pace != 100 {
			t.Errorf("the adopted filler works at %d %%", pace)
		}
	})
}

// An agent runs for months: nothing may be kept of runs that are gone.
func TestPacesOfEndedRunsAreDropped(t *testing.T) {
	beside(t, func(w *Supervisor, k *pacedWorker) {
		order(w, t, &work.Orders{Number: 2, Starts: []work.Start{filler}})
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, len(w.paces)); diff != "" {
			t.Errorf("paces of a filler at work (-want +got):\n%s", diff)
		}
		k.mu.Lock()
		k.active = k.active[:1]
		k.ends = []work.End{{Number: 1, Task: "fill", Run: 1, How: "done"}}
		k.mu.Unlock()
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, len(w.paces)); diff != "" {
			t.Errorf("paces after its end (-want +got):\n%s", diff)
		}
	})
}
