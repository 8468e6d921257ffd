package supervisor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// A leader that gets two reports in one pass may send the start of a run again and
// acknowledge in the same commands that it is void. It has placed the task elsewhere.
func TestRunWhoseVoidIsAcknowledgedDoesNotStart(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		start := work.Start{Task: "t", Run: 1}
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{start}})
		if diff := cmp.Diff([]work.VoidRun{{Task: "t", Run: 1, Reason: "unvouched"}}, s.Report(1).Voids); diff != "" {
			t.Fatalf("voids before the session is confirmed (-want +got):\n%s", diff)
		}
		confirmSession(s)
		sendCommands(s, t, &work.Commands{Number: 2, Starts: []work.Start{start}, VoidsAcked: []work.RunRef{{Task: "t", Run: 1}}})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if diff := cmp.Diff([]work.RunStatus(nil), w.active); diff != "" {
			t.Errorf("runs on the worker (-want +got):\n%s", diff)
		}
	})
}
