package supervisor

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// Run polls the worker with hold calls until the context ends.
func (s *Supervisor) Run(ctx context.Context) {
	defer close(s.Done)
	s.group.Go(func() { s.watchForStalls(ctx) })
	for ctx.Err() == nil {
		call, firstHold, ok := s.nextHold()
		if !ok {
			s.waitForWakeup(ctx, pollTimeout)
			continue
		}
		sent, sentSteady := s.Clock(), s.Steady()
		state, err := s.Worker.Hold(ctx, call)
		s.recordOutcome(call.Call, sentSteady, err)
		if err != nil {
			s.handleHoldError(call, err)
			s.waitForWakeup(ctx, retryPause)
			continue
		}
		if state.UnreadableRows > 0 {
			s.Logger.Error("worker lists rows that cannot be decoded", "vm", call.VM, "rows", state.UnreadableRows)
		}
		if s.handleHoldState(call, state, firstHold, sent, s.Clock()) {
			s.waitForWakeup(ctx, unackedEndsPause)
		}
		s.applyPaces(ctx)
	}
	s.group.Wait()
}

// waitForWakeup waits for a wakeup, at most for d.
func (s *Supervisor) waitForWakeup(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wakeup:
	case <-ctx.Done():
	}
}

// clockReading relates the worker's clock to the boot clock.
type clockReading struct {
	workerClock time.Duration
	// received is when the answer arrived, on the boot clock. The worker read its
	// clock before.
	received time.Duration
	// steady is the steady clock when the answer was received.
	steady time.Duration
	// suspended is how long the VM had been suspended since boot at that time.
	suspended time.Duration
}

// workerTimeAt returns the earliest time that the worker's clock can have shown at a
// time on the boot clock. The worker's clock may run slow but not fast.
func (r clockReading) workerTimeAt(at time.Duration) time.Duration {
	elapsed := at - r.received
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * (1 - maxClockDrift))
	}
	return r.workerClock + elapsed
}

// nextHold returns the next hold call, whether it is the first of a session,
// and whether there is one to send. The first call of a session does not extend
// the lease; it makes the worker accept the new fence and lists its runs.
func (s *Supervisor) nextHold() (workercontroller.HoldCall, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workerStatus.VM == "" || s.session.granted == 0 {
		return workercontroller.HoldCall{}, false, false
	}
	call := workercontroller.HoldCall{Call: s.call()}
	if !s.replaced {
		// Each worker process numbers its ends anew.
		call.EndsAcked = min(s.ackedEnds, s.listedEnd)
	}
	if s.session.accepted == 0 {
		return call, true, true
	}
	call.Wait = s.holdTimeout()
	if len(s.ends) > 0 {
		call.Wait = 0
	}
	if s.readingOutdated() {
		// Compare the clocks before the lease is extended.
		call.Wait = 0
		return call, false, true
	}
	if !s.deregistered {
		call.LeaseEnd = s.leaseEnd()
	}
	return call, false, true
}

// readingOutdated reports whether there is no clock reading yet, or the VM was
// suspended since the last one. The worker's clock stands still meanwhile.
func (s *Supervisor) readingOutdated() bool {
	return s.lastReading.received == 0 || (s.Clock()-s.Steady())-s.lastReading.suspended > time.Millisecond
}

// holdTimeout returns how long a hold call may wait for a run to end.
func (s *Supervisor) holdTimeout() time.Duration {
	hasFiller, hasServingTask := false, false
	for i := range s.active {
		start := s.starts[s.active[i].Task]
		hasFiller = hasFiller || start.Filler
		hasServingTask = hasServingTask || start.LatencyTarget > 0
	}
	if s.Pacer != nil && hasFiller && hasServingTask {
		return pacingPollTimeout
	}
	return pollTimeout
}

func (s *Supervisor) call() workercontroller.Call {
	return workercontroller.Call{VM: s.session.vm, WorkerIncarnation: s.session.workerIncarnation, Fence: s.session.granted}
}

// leaseEnd returns the lease end, on the worker's clock, that the latest
// confirmation of the session allows; 0 for no extension. The last clock reading
// converts the time of the confirmation to the worker's clock.
func (s *Supervisor) leaseEnd() time.Duration {
	if s.confirmedAt == 0 || s.leaseExpired || s.replaced {
		return 0
	}
	if s.Clock()-s.answeredAt > unresponsiveLimit {
		// The lease of an unresponsive worker is not extended, so that its
		// tasks can soon restart elsewhere.
		return s.latestLeaseEnd
	}
	if s.readingOutdated() {
		return s.latestLeaseEnd
	}
	leaseEnd := (s.lastReading.workerTimeAt(s.confirmedAt) + s.MaxLease).Truncate(time.Millisecond)
	if leaseEnd <= s.latestLeaseEnd {
		return s.latestLeaseEnd
	}
	s.latestLeaseEnd = leaseEnd
	return leaseEnd
}

// handleHoldError handles a failed hold call. The lease counts as expired once
// it must be over on the worker's clock, even if that clock runs slow.
func (s *Supervisor) handleHoldError(call workercontroller.HoldCall, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Fence != s.session.granted {
		return
	}
	s.recordReplacement(call.Call, call.LeaseEnd, err)
	now := s.Clock()
	if now-s.answeredAt > pollTimeout && !s.leaseExpired && s.lastReading.received > 0 {
		left := time.Duration(float64(s.lastPossibleLeaseEnd()-s.lastReading.workerClock) * (1 + maxClockDrift))
		leaseOver := s.lastReading.steady + left
		if s.replacementExtendedAt > 0 {
			leaseOver = max(leaseOver, s.replacementExtendedAt+time.Duration(float64(s.MaxLease)*(1+maxClockDrift)))
		}
		if s.Steady() > leaseOver+expiryMargin {
			s.Logger.Warn("lease over on a worker that does not answer", "vm", call.VM, "fence", call.Fence, "silent", (now - s.answeredAt).String(),
				"session_age", (now - s.session.acceptedAt).String(), "worker_clock", s.lastReading.workerClock.String(), "lease_end", s.latestLeaseEnd.String(), "inherited_lease_end", s.inheritedLeaseEnd.String(), "error", err.Error())
			s.leaseExpired = true
		}
	}
	s.OnChange()
}

// recordReplacement records that another worker process than the known one answered
// a call, if the error of the call says so. That process runs on a clock of its own:
// a lease end meant for the known process may give it the longest lease.
func (s *Supervisor) recordReplacement(call workercontroller.Call, leaseEnd time.Duration, err error) {
	if !errors.Is(err, workercontroller.ErrWorkerRestarted) || call.VM != s.session.vm || call.WorkerIncarnation != s.session.workerIncarnation {
		return
	}
	if !s.replaced {
		s.Logger.Warn("another worker process answers", "vm", call.VM, "born", call.WorkerIncarnation, "fence", call.Fence, "ends_acked", s.ackedEnds, "error", err.Error())
	}
	s.replaced = true
	if leaseEnd > 0 && !errors.Is(err, workercontroller.ErrMisdirected) {
		s.replacementExtendedAt = s.Steady()
	}
}

// lastPossibleLeaseEnd returns the time, on the worker's clock, at which the lease
// is over unless it is extended again.
func (s *Supervisor) lastPossibleLeaseEnd() time.Duration {
	return max(s.latestLeaseEnd, s.inheritedLeaseEnd)
}

// handleHoldState handles the answer to a hold call. It returns true if there are ends that
// are not known to be in the log, or that the call was to acknowledge: the worker has not
// been told, and does not wait with its answers while it lists ends.
func (s *Supervisor) handleHoldState(call workercontroller.HoldCall, state workercontroller.State, firstHold bool, sent, received time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Fence != s.session.granted || call.WorkerIncarnation != s.session.workerIncarnation || call.VM != s.session.vm {
		return false
	}
	s.disproveCrash(call.Call, sent)
	if firstHold {
		s.startSession(call.Fence, state.Clock)
	}
	s.answeredAt, s.replaced = received, false
	s.lastReading = clockReading{workerClock: state.Clock, received: received, steady: s.Steady(), suspended: (s.Clock() - s.Steady())}
	changed := firstHold || s.runsChanged(state)
	if changed {
		s.logVanishedRuns(call, state)
	}
	s.active, s.moreEnds, s.listSentAt = state.Active, state.MoreEnds, sent
	for i := range s.active {
		_, known := s.starts[s.active[i].Task]
		s.active[i].KindUnknown = !known
		if percent, ok := s.paces[work.RunRef{Task: s.active[i].Task, Run: s.active[i].Run}]; ok {
			s.active[i].Pace = percent
		}
	}
	s.ends, s.listedEnd = s.ends[:0:0], 0
	for _, e := range state.Ends {
		s.listedEnd = max(s.listedEnd, e.Number)
		if e.Number > s.ackedEnds {
			s.ends = append(s.ends, e)
		}
		delete(s.paces, work.RunRef{Task: e.Task, Run: e.Run})
		if s.starts[e.Task].Run == e.Run {
			delete(s.starts, e.Task)
		}
	}
	s.clearListedPending(state)
	s.runs.built = false
	s.dropEndedStarts(state.Ends)
	if changed {
		s.OnChange()
	}
	listedAgain := call.EndsAcked > 0 && len(state.Ends) > 0 && state.Ends[0].Number <= call.EndsAcked
	return len(s.ends) > 0 || listedAgain
}

// startSession starts the session whose fence the worker has accepted at the given
// time on its clock. Calls with an older fence no longer have any effect on the
// worker, so earlier agent processes cannot extend the lease beyond MaxLease from
// then on.
func (s *Supervisor) startSession(fence int64, workerClock time.Duration) {
	if s.inheritedLeaseEnd == 0 {
		s.inheritedLeaseEnd = workerClock + s.MaxLease
	}
	s.Logger.Info("worker accepted session", "vm", s.session.vm, "born", s.session.workerIncarnation, "fence", fence)
	s.session.accepted, s.session.acceptedAt = fence, s.Clock()
	s.pending, s.heldStarts, s.runs.built = map[work.RunRef]bool{}, map[work.RunRef]bool{}, false
	s.voids = map[work.RunRef]string{}
	s.leaseExpired = false
	s.confirmedAt = 0
	s.OnSessionStart()
}

// runsChanged reports whether runs started or ended since the last poll.
func (s *Supervisor) runsChanged(state workercontroller.State) bool {
	if len(state.Active) != len(s.active) || len(state.Ends) != len(s.ends) {
		return true
	}
	for i := range state.Active {
		if state.Active[i].Task != s.active[i].Task || state.Active[i].Run != s.active[i].Run {
			return true
		}
	}
	return false
}

// logVanishedRuns logs the runs that the worker listed as active and now lists neither as
// active nor as ended. A run that was accepted and not listed yet is none of them.
func (s *Supervisor) logVanishedRuns(call workercontroller.HoldCall, state workercontroller.State) {
	if state.MoreEnds {
		return
	}
	listed := make(map[work.RunRef]bool, len(state.Active)+len(state.Ends))
	for i := range state.Active {
		listed[work.RunRef{Task: state.Active[i].Task, Run: state.Active[i].Run}] = true
	}
	for i := range state.Ends {
		listed[work.RunRef{Task: state.Ends[i].Task, Run: state.Ends[i].Run}] = true
	}
	for i := range s.active {
		run := work.RunRef{Task: s.active[i].Task, Run: s.active[i].Run}
		if !listed[run] && !s.pending[run] {
			s.Logger.Warn("run vanished without an end", "task", run.Task, "run", run.Run, "vm", call.VM, "born", call.WorkerIncarnation, "fence", call.Fence, "ends_acked", call.EndsAcked)
		}
	}
}

// clearListedPending removes runs from the pending starts that the worker lists
// as active or ended.
func (s *Supervisor) clearListedPending(state workercontroller.State) {
	for _, a := range state.Active {
		delete(s.pending, work.RunRef{Task: a.Task, Run: a.Run})
	}
	for _, e := range state.Ends {
		delete(s.pending, work.RunRef{Task: e.Task, Run: e.Run})
	}
}
