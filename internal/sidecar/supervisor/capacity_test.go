package supervisor

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

var fullSize = work.Size{Millicores: 1000, Memory: 1000, Accelerators: 2}

// resizeWorker lets the worker report a capacity.
func resizeWorker(s *Supervisor, capacity work.Size, heartbeatNumber int64) {
	s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool", Capacity: capacity}, heartbeatNumber, time.Now())
}

func (w *fakeWorker) activeTasks() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	tasks := []string{}
	for _, a := range w.active {
		tasks = append(tasks, a.Task)
	}
	return tasks
}

func sizedStart(task string, size work.Size) work.Start {
	return work.Start{Task: task, Run: 1, Millicores: size.Millicores, Memory: size.Memory, Accelerators: size.Accelerators}
}

// A start may have been placed by a capacity that the worker has no more.
func TestStartBeyondTheNewestCapacityIsRefused(t *testing.T) {
	half := work.Size{Millicores: 500, Memory: 500, Accelerators: 1}
	filler := sizedStart("filler", work.Size{Millicores: 900, Memory: 600})
	filler.Filler = true
	tests := map[string]struct {
		capacity work.Size
		start    work.Start
		refused  bool
	}{
		"as before":                           {fullSize, sizedStart("t", half), false},
		"fewer processors":                    {work.Size{Millicores: 999, Memory: 1000, Accelerators: 2}, sizedStart("t", half), true},
		"less memory":                         {work.Size{Millicores: 1000, Memory: 999, Accelerators: 2}, sizedStart("t", half), true},
		"fewer accelerators":                  {work.Size{Millicores: 1000, Memory: 1000, Accelerators: 1}, sizedStart("t", half), true},
		"nothing left":                        {work.Size{}, sizedStart("t", work.Size{Millicores: 1}), true},
		"processors do not count of a filler": {work.Size{Millicores: 500, Memory: 1100, Accelerators: 1}, filler, false},
		"memory counts of a filler":           {work.Size{Millicores: 1000, Memory: 1099, Accelerators: 2}, filler, true},
		"a filler beside too much":            {work.Size{Millicores: 499, Memory: 2000, Accelerators: 2}, filler, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
				resizeWorker(s, fullSize, 2)
				confirmSession(s)
				sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{sizedStart("first", half)}})
				time.Sleep(500 * time.Millisecond)
				resizeWorker(s, test.capacity, 3)
				sendCommands(s, t, &work.Commands{Number: 2, Starts: []work.Start{test.start}})
				time.Sleep(500 * time.Millisecond)
				wantActive, wantVoids := []string{"first", test.start.Task}, []work.VoidRun(nil)
				if test.refused {
					wantActive, wantVoids = []string{"first"}, []work.VoidRun{{Task: test.start.Task, Run: 1, Reason: "room"}}
				}
				if diff := cmp.Diff(wantActive, w.activeTasks()); diff != "" {
					t.Errorf("runs on the worker (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(wantVoids, s.Report(1).Voids); diff != "" {
					t.Errorf("refused starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A run that was told to stop holds its room until the worker lists its end.
func TestStoppingRunHoldsItsRoom(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		resizeWorker(s, fullSize, 2)
		confirmSession(s)
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{sizedStart("first", fullSize)}})
		time.Sleep(500 * time.Millisecond)
		sendCommands(s, t, &work.Commands{Number: 2, Stops: []work.RunRef{{Task: "first", Run: 1}}, Starts: []work.Start{sizedStart("second", fullSize)}})
		time.Sleep(500 * time.Millisecond)
		if diff := cmp.Diff([]string{"first"}, w.activeTasks()); diff != "" {
			t.Errorf("runs on the worker while one stops (-want +got):\n%s", diff)
		}
		w.mu.Lock()
		w.active, w.ends = nil, []work.RunEnd{{Number: 1, Task: "first", Run: 1, Outcome: "stopped"}}
		w.mu.Unlock()
		confirmSession(s)
		time.Sleep(500 * time.Millisecond)
		sendCommands(s, t, &work.Commands{Number: 3, EndsAcked: 1, VoidsAcked: []work.RunRef{{Task: "second", Run: 1}}, Starts: []work.Start{sizedStart("third", fullSize)}})
		time.Sleep(500 * time.Millisecond)
		if diff := cmp.Diff([]string{"third"}, w.activeTasks()); diff != "" {
			t.Errorf("runs on the worker after the end (-want +got):\n%s", diff)
		}
	})
}

// slowStartWorker takes a second for each start.
type slowStartWorker struct{ *fakeWorker }

func (w slowStartWorker) Start(ctx context.Context, c workercontroller.StartCall) (workercontroller.StartResult, error) {
	time.Sleep(time.Second)
	return w.fakeWorker.Start(ctx, c)
}

// A start that waits for others to be sent is checked again when its turn comes.
func TestWaitingStartIsRefusedOnceTheWorkerShrank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{startedAt: time.Now(), stopped: map[work.RunRef]bool{}}
		s := newSupervisor(w)
		s.Worker = slowStartWorker{w}
		runUntilTestEnds(t, s)
		acceptSession(s)
		resizeWorker(s, work.Size{Millicores: 2 * maxParallelStarts}, 2)
		confirmSession(s)
		var starts []work.Start
		for i := range 2 * maxParallelStarts {
			starts = append(starts, sizedStart(fmt.Sprintf("t%d", i), work.Size{Millicores: 1}))
		}
		sendCommands(s, t, &work.Commands{Number: 1, Starts: starts})
		time.Sleep(500 * time.Millisecond)
		resizeWorker(s, work.Size{Millicores: maxParallelStarts}, 3)
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff(maxParallelStarts, len(w.activeTasks())); diff != "" {
			t.Errorf("number of runs on the shrunk worker (-want +got):\n%s", diff)
		}
	})
}

// A report that waits for a run to start or end would leave the leader with a capacity
// that the worker has no more.
func TestCapacityIsReportedWithoutAChangeOfRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports atomic.Int64
		s := newSupervisor(&fakeWorker{startedAt: time.Now(), stopped: map[work.RunRef]bool{}})
		s.OnChange = func() { reports.Add(1) }
		runUntilTestEnds(t, s)
		acceptSession(s)
		for number, capacity := range []work.Size{{Millicores: 300}, {}, fullSize} {
			before := reports.Load()
			resizeWorker(s, capacity, int64(number)+2)
			if reports.Load() == before {
				t.Errorf("no report is requested for the capacity %+v", capacity)
			}
			if diff := cmp.Diff(capacity, s.Report(1).WorkerStatus.Capacity); diff != "" {
				t.Errorf("reported capacity (-want +got):\n%s", diff)
			}
		}
		resizeWorker(s, work.Size{Millicores: 1}, 3)
		if diff := cmp.Diff(fullSize, s.Report(1).WorkerStatus.Capacity); diff != "" {
			t.Errorf("capacity after an outdated heartbeat (-want +got):\n%s", diff)
		}
	})
}
