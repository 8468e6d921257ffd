package supervisor

import (
	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// checkRoom returns why a run that is pending has no room beside the others, or "" if it
// has. The leader may have placed it by a capacity that the worker has no more. It logs a
// refusal.
func (s *Supervisor) checkRoom(run work.RunRef) string {
	reserved, capacity := s.index().reserved, s.workerStatus.Capacity
	if reserved.Millicores <= capacity.Millicores && reserved.Memory <= capacity.Memory && reserved.Accelerators <= capacity.Accelerators {
		return ""
	}
	refusal := string(workercontroller.Full)
	s.Logger.Info("start refused", "task", run.Task, "run", run.Run, "reason", refusal,
		"millis", reserved.Millicores, "of", capacity.Millicores, "memory", reserved.Memory, "of_memory", capacity.Memory,
		"accelerators", reserved.Accelerators, "of_accelerators", capacity.Accelerators)
	return refusal
}
