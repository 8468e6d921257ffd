package planner

import (
	"testing"
	"time"
)

// Every entry reads every record over a link that may be slow, so the log must not
// grow with the square of the number of tasks of a step: a task is written when it
// starts, when it ends, and when its job is removed.
func TestRecordsGrowWithTasksNotWithTheirSquare(t *testing.T) {
	const tasks = 160
	s := newSimulation(t)
	v := s.addVM("a", tasks*1000, tasks*100)
	s.submitJob(jobID(1), stepSpec(tasks, 1000))
	if len(v.active) != tasks {
		t.Fatalf("%d tasks run, want %d", len(v.active), tasks)
	}
	before, bytesBefore := s.nextOffset, s.writtenBytes
	for len(v.active) > 0 {
		s.endRun(v, v.active[0].Task, endDone)
		s.sendReport("a")
	}
	s.advance(time.Second)
	if s.outcome(jobID(1)) == "" {
		t.Fatal("the job has not ended")
	}
	const maxBytesPerTask = 300
	if perTask := (s.writtenBytes - bytesBefore) / tasks; perTask > maxBytesPerTask {
		t.Errorf("%d bytes and %.1f records for each task that ended one by one, want at most %d bytes", perTask, float64(s.nextOffset-before)/tasks, maxBytesPerTask)
	}
}
