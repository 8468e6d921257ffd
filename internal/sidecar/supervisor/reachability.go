package supervisor

import (
	"errors"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
)

// reachability is what the outcomes of calls tell about connections to a worker
// process. Calls are ordered by the time at which they were sent, since the outcome of
// an earlier one may be noted after that of a later one.
type reachability struct {
	// answeredCall and refusedCall are when the last answered call and the last one
	// whose connection was refused were sent, on the steady clock; 0 for none.
	answeredCall, refusedCall time.Duration
}

// down reports whether the worker process refuses connections.
func (r *reachability) down() bool { return r.refusedCall > r.answeredCall }

// recordOutcome records what the outcome of a call, which was sent at the given time
// on the steady clock, tells about the worker process that it was meant for.
func (s *Supervisor) recordOutcome(call workercontroller.Call, sent time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.VM != s.session.vm || call.WorkerIncarnation != s.session.workerIncarnation {
		return
	}
	wasDown := s.reachability.down()
	switch {
	case errors.Is(err, workercontroller.ErrUnreachable):
		s.reachability.refusedCall = max(s.reachability.refusedCall, sent)
	case isAnswer(err):
		s.reachability.answeredCall = max(s.reachability.answeredCall, sent)
	}
	down := s.reachability.down()
	if down == wasDown {
		return
	}
	if down {
		s.Logger.Warn("worker refuses connections", "vm", call.VM, "born", call.WorkerIncarnation, "silent", (s.Clock() - s.answeredAt).String())
	} else {
		s.Logger.Info("worker accepts connections again", "vm", call.VM, "born", call.WorkerIncarnation)
	}
	s.OnChange()
}

// isAnswer reports whether a call with this outcome was answered by a worker process.
func isAnswer(err error) bool {
	return err == nil || errors.Is(err, workercontroller.ErrUnexpectedAnswer) || errors.Is(err, workercontroller.ErrWorkerRestarted)
}
