package supervisor

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// A leader that gets two reports in one pass may send the start of a run again and
// acknowledge its end in the same commands.
func TestRunWhoseEndIsAcknowledgedDoesNotStart(t *testing.T) {
	runWithSession(t, func(t *testing.T, s *Supervisor, w *fakeWorker) {
		confirmSession(s)
		w.mu.Lock()
		w.ends = []work.RunEnd{{Number: 1, Task: "t", Run: 1, Outcome: "done"}}
		w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		if len(s.Report(1).Ends) != 1 {
			t.Fatalf("ends %v, want one", s.Report(1).Ends)
		}
		sendCommands(s, t, &work.Commands{Number: 1, Starts: []work.Start{{Task: "t", Run: 1}}, EndsAcked: 1})
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if diff := cmp.Diff([]work.RunStatus(nil), w.active); diff != "" {
			t.Errorf("runs on the worker (-want +got):\n%s", diff)
		}
	})
}
