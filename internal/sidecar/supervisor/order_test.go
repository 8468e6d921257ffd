package supervisor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// reportedRuns returns the runs that a report lists in any way.
func reportedRuns(r *work.Report) map[work.RunRef]bool {
	runs := map[work.RunRef]bool{}
	for _, a := range r.ActiveRuns {
		runs[work.RunRef{Task: a.Task, Run: a.Run}] = true
	}
	for _, run := range r.PendingStarts {
		runs[run] = true
	}
	for _, e := range r.Ends {
		runs[work.RunRef{Task: e.Task, Run: e.Run}] = true
	}
	return runs
}

// The answer to a start may overtake a list that was read before it. The leader
// sends the start of a run again that is missing from a report, and the agent
// rejects it if the worker drains by then, so a run must not go missing.
func TestAcceptedRunIsNotLostToAnOlderList(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		time.Sleep(time.Second)
		start := work.Start{Task: "t", Run: 1}
		w.delayNextList(func() {
			sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{start}})
			time.Sleep(20 * time.Millisecond)
		})
		want := map[work.RunRef]bool{{Task: "t", Run: 1}: true}
		if diff := cmp.Diff(want, reportedRuns(s.Report(1))); diff != "" {
			t.Errorf("runs in the report after an older list (-want +got):\n%s", diff)
		}
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Pool: "pool", Draining: true}, 2, time.Now())
		sendCommands(s, t, &work.Commands{Number: 2, Starts: []work.Start{start}})
		time.Sleep(time.Second)
		report := s.Report(1)
		if diff := cmp.Diff([]work.VoidRun(nil), report.Voids); diff != "" {
			t.Errorf("voids while the worker runs %v (-want +got):\n%s", w.active, diff)
		}
		if diff := cmp.Diff(0, len(report.PendingStarts)); diff != "" {
			t.Errorf("starts that are pending although the worker lists their run (-want +got):\n%s", diff)
		}
	})
}

// A run whose start got no answer may have run to its end. Only a list that was
// requested after the stop was confirmed can tell.
func TestRunIsNotVoidedByAListFromBeforeItsStart(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.loseStartAnswers = true
		w.mu.Unlock()
		w.delayNextList(func() {
			sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
			time.Sleep(listTimeout - 50*time.Millisecond)
		})
		time.Sleep(listTimeout)
		report := s.Report(1)
		if diff := cmp.Diff([]work.VoidRun(nil), report.Voids); diff != "" {
			t.Errorf("voids of a run that is done (-want +got):\n%s", diff)
		}
		want := map[work.RunRef]bool{{Task: "t", Run: 1}: true}
		if diff := cmp.Diff(want, reportedRuns(report)); diff != "" {
			t.Errorf("runs in the report (-want +got):\n%s", diff)
		}
	})
}

// The leader repeats a stop until the run has ended, and the agent retries it until the
// worker answers. The two must not multiply.
func TestRepeatedStopIsSentOnce(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		w.mu.Lock()
		w.unresponsive = true
		w.mu.Unlock()
		run := work.RunRef{Task: "t", Run: 1}
		for number := range int64(100) {
			sendCommands(s, t, &work.Commands{Number: number + 1, Stops: []work.RunRef{run}})
			time.Sleep(10 * time.Millisecond)
		}
		w.mu.Lock()
		w.unresponsive = false
		w.stopCalls = 0
		w.mu.Unlock()
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if diff := cmp.Diff(1, w.stopCalls); diff != "" {
			t.Errorf("stop calls after the worker answers again (-want +got):\n%s", diff)
		}
	})
}

// Fences are numbered for each worker name from 1, so those of two workers of the
// same VM are often equal. Commands for the former worker may arrive late, from a
// leader that was deposed.
func TestCommandsForAnotherWorkerAreIgnored(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		s.HandleHeartbeat(work.WorkerStatus{VM: "next", Incarnation: 2, Pool: "pool"}, 1, time.Now())
		s.AcceptGrant(&work.Grant{VM: "next", WorkerIncarnation: 2, Fence: 3})
		time.Sleep(time.Second)
		confirmSession(s)
		s.HandleCommands(t.Context(), &work.Commands{Epoch: 1, VM: "vm", Fence: 3, Number: 1, EndsAcked: 7, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if diff := cmp.Diff(0, len(w.active)); diff != "" {
			t.Errorf("runs started on the next worker (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(int64(0), w.endsAcked); diff != "" {
			t.Errorf("ends that the next worker may drop (-want +got):\n%s", diff)
		}
	})
}

// A worker lists a limited number of ends. A run that is in no list may then have
// ended.
func TestRunIsNotVoidedWhileEndsAreNotListed(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		w.mu.Lock()
		w.hiddenEnds = true
		w.stopped[work.RunRef{Task: "t", Run: 1}] = true
		w.mu.Unlock()
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		time.Sleep(2 * time.Second)
		report := s.Report(1)
		if diff := cmp.Diff([]work.VoidRun(nil), report.Voids); diff != "" {
			t.Errorf("voids while ends are not listed (-want +got):\n%s", diff)
		}
		if !report.MoreEnds {
			t.Error("the report does not tell that ends are missing")
		}
		w.mu.Lock()
		w.hiddenEnds = false
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		want := []work.VoidRun{{Task: "t", Run: 1, Reason: "old"}}
		if diff := cmp.Diff(want, s.Report(1).Voids); diff != "" {
			t.Errorf("voids once all ends are listed (-want +got):\n%s", diff)
		}
	})
}

// A start that waited for a free slot was sent to the worker after its run had been
// stopped, or under a session that was over; another worker process carries it out.
func TestHeldStartIsNotSentOnceItIsObsolete(t *testing.T) {
	run := work.RunRef{Task: "t", Run: 1}
	for name, overtake := range map[string]func(*testing.T, *Supervisor){
		"stopped": func(t *testing.T, s *Supervisor) {
			sendCommands(s, t, &work.Commands{Number: 2, Stops: []work.RunRef{run}})
		},
		"next worker process": func(_ *testing.T, s *Supervisor) {
			s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 2, Pool: "pool", Capacity: work.Size{Millicores: 1000}}, 1, time.Now())
			s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 2, Fence: 4})
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
				confirmSession(s)
				for range maxParallelStarts {
					s.startSlots <- struct{}{}
				}
				sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: run.Task, Run: run.Run}}})
				time.Sleep(100 * time.Millisecond)
				overtake(t, s)
				time.Sleep(time.Second)
				for range maxParallelStarts {
					<-s.startSlots
				}
				time.Sleep(time.Second)
				w.mu.Lock()
				calls := w.startCalls
				w.mu.Unlock()
				if calls != 0 {
					t.Errorf("%d starts sent", calls)
				}
				for _, pending := range s.Report(1).PendingStarts {
					t.Errorf("%v is reported as pending", pending)
				}
			})
		})
	}
}

// A start that waited under a former session was sent in place of the one under the new session.
func TestHeldStartOfFormerSessionIsSentOnceUnderNewOne(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		for range maxParallelStarts {
			s.startSlots <- struct{}{}
		}
		start := work.Start{Task: "t", Run: 1}
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{start}})
		time.Sleep(100 * time.Millisecond)
		s.AcceptGrant(&work.Grant{VM: "vm", WorkerIncarnation: 1, Fence: 4})
		time.Sleep(time.Second)
		confirmSession(s)
		s.HandleCommands(t.Context(), &work.Commands{Number: 1, Epoch: 2, Fence: 4, Starts: []work.Start{start}})
		for range maxParallelStarts {
			<-s.startSlots
		}
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.startCalls != 1 || w.startFence != 4 {
			t.Errorf("%d starts sent, the last under fence %d; want one under 4", w.startCalls, w.startFence)
		}
	})
}
