package supervisor

import (
	"errors"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
)

// reachability is what the outcomes of calls tell about connections to a worker
// process. Calls are ordered by the time at which they were sent, since the outcome of
// an earlier one may be noted after that of a later one. All times but suspended are on
// the steady clock, 0 for never.
type reachability struct {
	// answeredCall and refusedCall are when the last answered call and the last one
	// whose connection was refused were sent.
	answeredCall, refusedCall time.Duration
	// answeredAt is when the process last answered, suspended how long the VM had been
	// suspended since boot at that time.
	answeredAt, suspended time.Duration
	// failedAt is when the first call since then failed with a connection error.
	failedAt time.Duration
	// judged is set once it has been decided whether that is a crash.
	judged bool
}

// down reports whether the worker process refuses connections.
func (r *reachability) down() bool { return r.refusedCall > r.answeredCall }

// recordOutcome records what the outcome of a call, which was sent at the given time
// on the steady clock, tells about the worker process that it was meant for.
func (s *Supervisor) recordOutcome(call workercontroller.Call, sent time.Duration, err error) {
	now := s.Steady()
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.VM != s.session.vm || call.WorkerIncarnation != s.session.workerIncarnation {
		return
	}
	s.stalls.look(s.Clock(), s.Steady())
	r := &s.reachability
	wasDown := r.down()
	switch {
	case errors.Is(err, workercontroller.ErrUnreachable):
		r.refusedCall = max(r.refusedCall, sent)
		r.recordFailure(now)
	case errors.Is(err, workercontroller.ErrConnectionLost):
		if r.recordFailure(now) {
			// The next poll tells whether the process still accepts connections.
			s.wake()
		}
	case errors.Is(err, workercontroller.ErrWorkerRestarted):
		r.answeredCall = max(r.answeredCall, sent)
	case err == nil || errors.Is(err, workercontroller.ErrUnexpectedAnswer):
		r.answeredCall = max(r.answeredCall, sent)
		if now > r.failedAt {
			r.answeredAt, r.suspended = now, s.Clock()-s.Steady()
			r.failedAt, r.judged = 0, false
		}
	}
	down := r.down()
	switch {
	case down && !wasDown:
		s.Logger.Warn("worker refuses connections", "vm", call.VM, "born", call.WorkerIncarnation)
		s.OnChange()
	case wasDown && !down:
		s.Logger.Info("worker accepts connections again", "vm", call.VM, "born", call.WorkerIncarnation)
		s.OnChange()
	}
	if down && r.failedAt != 0 {
		s.judgeFailure(call, now)
	}
}

// recordFailure records a connection error of a call. It returns true for the first one
// since the last answer.
func (r *reachability) recordFailure(now time.Duration) bool {
	if r.failedAt != 0 {
		return false
	}
	r.failedAt = now
	return true
}
