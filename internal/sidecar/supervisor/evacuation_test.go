package supervisor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// runInDomain runs a test with a worker in failure domain "x", which may start tasks
// up to two seconds after the operators' requests were known.
func runInDomain(t *testing.T, test func(t *testing.T, s *Supervisor, w *fakeWorker)) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		s.mu.Lock()
		s.MaxRequestAge = 2 * time.Second
		s.mu.Unlock()
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 1, Zone: "x"}, 2, time.Now())
		confirmSession(s)
		test(t, s, w)
	})
}

func wantVoid(t *testing.T, s *Supervisor, when, reason string) {
	t.Helper()
	reasons := map[work.RunRef]string{}
	for _, v := range s.Report(1).Voids {
		reasons[work.RunRef{Task: v.Task, Run: v.Run}] = v.Reason
	}
	if diff := cmp.Diff(reason, reasons[work.RunRef{Task: when, Run: 1}]); diff != "" {
		t.Errorf("reason not to start %s (-want +got):\n%s", when, diff)
	}
}

func TestEvacuatedDomainGetsNoStarts(t *testing.T) {
	runInDomain(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		steps := []struct {
			when       string
			evacuation *work.Evacuation
			age        time.Duration
			refusal    string
		}{
			{"before the requests are known", nil, 0, refusalRequestsUnknown},
			{"with requests of long ago", &work.Evacuation{Offset: 4}, 3 * time.Second, refusalRequestsUnknown},
			{"with present requests", &work.Evacuation{Offset: 4}, time.Second, ""},
			{"after an evacuation", &work.Evacuation{Offset: 6, Domains: []string{"w", "x"}}, 0, refusalEvacuated},
			{"after a reply of an entry that knows less", &work.Evacuation{Offset: 5}, 0, refusalEvacuated},
			{"after the same reply again", &work.Evacuation{Offset: 6}, 0, refusalEvacuated},
			{"after it was taken back", &work.Evacuation{Offset: 7, Domains: []string{"w"}}, 0, ""},
			{"two seconds later", nil, 0, refusalRequestsUnknown},
		}
		for i, step := range steps {
			if step.evacuation != nil {
				s.RecordEvacuation(step.evacuation, s.Clock()-step.age)
			}
			sendCommands(s, t, &work.Commands{Number: int64(i + 1), Starts: []work.Start{{Task: step.when, Run: 1}}})
			if got := s.Report(1).SessionConfirmed; got != (step.refusal != refusalRequestsUnknown) {
				t.Errorf("session confirmed is %v %s", got, step.when)
			}
			time.Sleep(350 * time.Millisecond)
			wantVoid(t, s, step.when, step.refusal)
			if i == len(steps)-2 {
				time.Sleep(2 * time.Second)
			}
		}
		if diff := cmp.Diff(6, s.EvacuationRefusals()); diff != "" || len(w.active) != 2 {
			t.Errorf("active runs %v, refusals (-want +got):\n%s", w.active, diff)
		}
		s.HandleHeartbeat(work.WorkerStatus{VM: "vm", Incarnation: 2, Zone: "w"}, 1, time.Now())
		if diff := cmp.Diff(refusalEvacuated, s.evacuationRefusal()); diff != "" {
			t.Errorf("refusal for another worker process (-want +got):\n%s", diff)
		}
	})
}

// Starts wait for a free slot while others are unanswered.
func TestWaitingStartsAreRefusedAfterEvacuation(t *testing.T) {
	runInDomain(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		s.RecordEvacuation(&work.Evacuation{}, s.Clock())
		for range maxParallelStarts {
			s.startSlots <- struct{}{}
		}
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}})
		s.RecordEvacuation(&work.Evacuation{Offset: 1, Domains: []string{"x"}}, s.Clock())
		for range maxParallelStarts {
			<-s.startSlots
		}
		time.Sleep(time.Second)
		wantVoid(t, s, "t", refusalEvacuated)
	})
}

// A leader that stops a run whose start was lost needs to know that it never starts.
func TestStoppedRunWhoseStartWasLostIsVoid(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		sendCommands(s, t, &work.Commands{Number: 1, Stops: []work.RunRef{{Task: "t", Run: 1}}})
		wantVoid(t, s, "t", "")
		time.Sleep(2 * time.Second)
		wantVoid(t, s, "t", "stopped")
		if !w.stopped[work.RunRef{Task: "t", Run: 1}] {
			t.Error("the run may still start")
		}
	})
}
