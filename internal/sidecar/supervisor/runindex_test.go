package supervisor

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"knapweedspur/internal/wire/work"
)

// Guards against starts that take longer the more runs there are: agents of VMs with
// thousands of small tasks used more than a core, and their starts came seconds late.
func TestStartsBesideManyRunsAreChecked(t *testing.T) {
	const runs, limit = 5000, time.Second
	s := &Supervisor{}
	s.Init()
	s.workerStatus.Capacity = work.Size{Millicores: 2 * runs, Memory: 2 * runs}
	for i := range runs {
		task := fmt.Sprint("active", i)
		s.active = append(s.active, work.RunStatus{Task: task, Run: 2})
		s.starts[task] = work.Start{Task: task, Run: 2, Millicores: 1, Memory: 1}
		s.ends = append(s.ends, work.RunEnd{Number: int64(i + 1), Task: fmt.Sprint("ended", i), Run: 1})
	}
	if !s.isKnown(work.RunRef{Task: "active7", Run: 1}) || s.isListed(work.RunRef{Task: "active7", Run: 1}) || !s.isListed(work.RunRef{Task: "ended7", Run: 1}) {
		t.Error("runs that are active or have ended are not found")
	}
	began := time.Now()
	for i := range runs {
		run := work.RunRef{Task: fmt.Sprint("new", i), Run: 1}
		if s.isKnown(run) {
			t.Fatalf("%v is known", run)
		}
		start := work.Start{Task: run.Task, Run: 1, Millicores: 1, Memory: 1}
		s.index().reserve(start, 1)
		s.pending[run], s.starts[run.Task] = true, start
		if refusal := s.checkRoom(run); refusal != "" {
			t.Fatalf("start %d: %s", i, refusal)
		}
	}
	if took := time.Since(began); took > limit {
		t.Errorf("%d starts were checked in %s, the limit is %s", runs, took, limit)
	}
	reserved := s.index().reserved
	s.runs.built = false
	if diff := cmp.Diff(s.index().reserved, reserved); diff != "" {
		t.Errorf("reserved (-counted anew +followed):\n%s", diff)
	}
}
