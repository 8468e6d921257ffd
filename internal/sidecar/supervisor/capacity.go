package supervisor

import (
	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// checkRoom returns why a run that is pending has no room beside the others, or "" if it
// has. The leader may have placed it by a capacity that the worker has no more. It logs a
// refusal.
func (s *Supervisor) checkRoom(run work.RunRef) string {
	reserved, capacity := s.reserved(), s.workerStatus.Capacity
	if reserved.Millicores <= capacity.Millicores && reserved.Memory <= capacity.Memory && reserved.Accelerators <= capacity.Accelerators {
		return ""
	}
	refusal := string(workercontroller.Full)
	s.Logger.Info("start refused", "task", run.Task, "run", run.Run, "reason", refusal,
		"millis", reserved.Millicores, "of", capacity.Millicores, "memory", reserved.Memory, "of_memory", capacity.Memory,
		"accelerators", reserved.Accelerators, "of_accelerators", capacity.Accelerators)
	return refusal
}

// reserved returns what the active and the pending runs reserve. It leaves out runs of an
// earlier agent process until the leader has described them, which it does before it
// sends further starts.
func (s *Supervisor) reserved() work.Size {
	runs := map[work.RunRef]bool{}
	for run := range s.pending {
		runs[run] = true
	}
	for i := range s.active {
		runs[work.RunRef{Task: s.active[i].Task, Run: s.active[i].Run}] = true
	}
	var sum work.Size
	for run := range runs {
		start := s.starts[run.Task]
		sum.Memory += start.Memory
		sum.Accelerators += start.Accelerators
		if !start.Filler {
			sum.Millicores += start.Millicores
		}
	}
	return sum
}
