package jobreducer

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"knapweedspur/internal/wire/work"
)

// The largest state of a task has names of maximum length and MaxExcludedVMs
// excluded VMs.
func TestLargestTaskStateFitsMaxTaskBytes(t *testing.T) {
	task := work.Task{LastRun: math.MaxInt32, Failures: math.MaxInt32, Checkpoint: strings.Repeat("f", 16), Runs: []work.Run{{
		Run: math.MaxInt32, VM: "i-0123456789ab", WorkerIncarnation: math.MaxInt64, Fence: math.MaxInt64, Ticket: strings.Repeat("t", 24), StopReason: "completed",
	}}}
	for i := range MaxExcludedVMs {
		task.ExcludedVMs = append(task.ExcludedVMs, fmt.Sprintf("i-0123456789%02d", i))
	}
	key := TaskKey{StepKey{Occurrence: 9999, Step: 99}, 9999}
	if size := len(TaskRecord(strings.Repeat("f", 16), key, &task).Value); size > MaxSoundTaskBytes {
		t.Errorf("%d bytes for a task, the limit is %d", size, MaxSoundTaskBytes)
	}
	task.Crashes = &work.CrashHistory{Workers: math.MaxInt8, Early: math.MaxInt8, Suspect: true, Run: math.MaxInt32}
	if size := len(TaskRecord(strings.Repeat("f", 16), key, &task).Value); size > MaxTaskBytes {
		t.Errorf("%d bytes for a task under which workers have crashed, the limit is %d", size, MaxTaskBytes)
	}
}
