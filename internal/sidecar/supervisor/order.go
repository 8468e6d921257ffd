package supervisor

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/clock/waiter"
	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

const (
	// stopRetryInterval is the pause between attempts to stop a run, which are
	// repeated until the worker confirms one.
	stopRetryInterval = 100 * time.Millisecond
	// listTimeout is the interval at which the lists of the worker are checked for
	// a run that may have reached it.
	listTimeout = 2 * pollTimeout
)

// HandleCommands carries out commands of the leader. Commands of an older term or
// for another session are ignored.
func (s *Supervisor) HandleCommands(ctx context.Context, commands *work.Commands) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if commands.Epoch < s.epoch {
		s.Logger.Warn("ignoring commands of an older leader", "epoch", commands.Epoch, "current", s.epoch)
		return
	}
	if commands.Epoch > s.epoch {
		s.epoch, s.handledCommands = commands.Epoch, 0
	}
	// Entries of earlier versions do not name the VM.
	otherVM := commands.VM != "" && commands.VM != s.session.vm
	if commands.Fence != s.session.accepted || s.session.accepted == 0 || otherVM {
		s.Logger.Info("ignoring commands for another session", "vm", commands.VM, "fence", commands.Fence, "current_vm", s.session.vm, "current", s.session.accepted)
		return
	}
	s.handledCommands = max(s.handledCommands, commands.Number)
	if len(commands.Interference) > 0 && s.Pacer != nil {
		s.Pacer.Learn(commands.Interference)
	}
	for i := range commands.AdoptedRuns {
		s.adoptRun(&commands.AdoptedRuns[i])
	}
	// A run whose end or void is acknowledged by the same commands must not start.
	for _, start := range commands.Starts {
		s.startRun(ctx, start)
	}
	if commands.EndsAcked > s.ackedEnds {
		s.dropAckedEnds(commands.EndsAcked)
	}
	for _, run := range commands.VoidsAcked {
		delete(s.voids, run)
	}
	for _, run := range commands.Stops {
		s.stopInBackground(ctx, run)
	}
	s.OnChange()
}

// stopInBackground stops a run unless a stop of it is being sent already. The leader
// sends a stop again until the run has ended.
func (s *Supervisor) stopInBackground(ctx context.Context, run work.RunRef) {
	call := s.call()
	if s.stopping[run] == call {
		return
	}
	s.stopping[run] = call
	delete(s.heldStarts, run)
	unknown := !s.isListed(run)
	if unknown {
		// Its start was lost. It is pending until a list that is read after the
		// stop tells.
		s.pending[run] = true
		s.runs.built = false
	}
	s.group.Go(func() {
		if s.stop(ctx, call, run) && unknown {
			s.awaitListing(ctx, call, run, "stopped")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stopping[run] == call {
			delete(s.stopping, run)
		}
	})
}

// adoptRun records the description of a run that an earlier agent process
// started and may have paced.
func (s *Supervisor) adoptRun(start *work.Start) {
	for i := range s.active {
		a := &s.active[i]
		if !a.KindUnknown || a.Task != start.Task || a.Run != start.Run {
			continue
		}
		a.KindUnknown = false
		s.starts[start.Task] = *start
		s.runs.built = false
		if s.Pacer != nil && start.Filler {
			s.Pacer.Adopt(work.RunRef{Task: start.Task, Run: start.Run})
		}
	}
}

// dropAckedEnds drops ends that are in the log.
func (s *Supervisor) dropAckedEnds(ackedEnds int64) {
	s.ackedEnds = ackedEnds
	kept := s.ends[:0:0]
	for _, e := range s.ends {
		if e.Number > ackedEnds {
			kept = append(kept, e)
		}
	}
	s.ends, s.runs.built = kept, false
	s.wake()
}

func (s *Supervisor) currentCall() workercontroller.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.call()
}

// isKnown reports whether a run, or a later run of its task, was started here
// and its outcome is not in the log yet.
func (s *Supervisor) isKnown(run work.RunRef) bool {
	if _, void := s.voids[run]; void || s.pending[run] {
		return true
	}
	latest, known := s.index().latest[run.Task]
	return known && latest >= run.Run
}

// isListed reports whether a run is in the next report.
func (s *Supervisor) isListed(run work.RunRef) bool {
	if _, void := s.voids[run]; void || s.pending[run] {
		return true
	}
	return s.index().listed[run]
}

// startRun sends a start to the worker in the background, or records the run as
// void if it must not start.
func (s *Supervisor) startRun(ctx context.Context, start work.Start) {
	run := work.RunRef{Task: start.Task, Run: start.Run}
	if s.isKnown(run) {
		return
	}
	if refusal := s.checkStart(run); refusal != "" {
		s.voids[run] = refusal
		return
	}
	leaseEnd := s.leaseEnd()
	if leaseEnd == 0 {
		s.voids[run] = "unvouched"
		return
	}
	s.index().reserve(start, 1)
	s.pending[run], s.heldStarts[run] = true, true
	s.starts[start.Task] = start
	call := workercontroller.StartCall{Call: s.call(), Start: start, LeaseEnd: leaseEnd}
	s.group.Go(func() { s.executeStart(ctx, call, run) })
}

// checkStart returns why a run must not start, or "" if it may. It logs a refusal.
func (s *Supervisor) checkStart(run work.RunRef) string {
	refusal := s.startRefusal()
	if refusal == "" {
		return ""
	}
	s.logRefusal(run, refusal)
	return refusal
}

// startRefusal returns why the worker must get no starts, or "" if it may.
func (s *Supervisor) startRefusal() string {
	switch {
	case s.workerStatus.Draining || s.deregistered:
		return "draining"
	case s.leaseExpired:
		return "lapsed"
	}
	return s.evacuationRefusal()
}

// voidReasonUnreachable is the reason of a run whose start was not sent, since the
// worker refused the connection.
const voidReasonUnreachable = "unreachable"

// releaseStart returns why a start that waited for a slot must not be sent, or "" if it
// may. Another session, or a stop of the run meanwhile, makes it obsolete: another worker
// process would carry it out, since it has seen neither.
func (s *Supervisor) releaseStart(call workercontroller.Call, run work.RunRef) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call != s.call() {
		return "superseded"
	}
	if !s.heldStarts[run] {
		return "stopped"
	}
	delete(s.heldStarts, run)
	if refusal := s.checkStart(run); refusal != "" {
		return refusal
	}
	return s.checkRoom(run)
}

// executeStart sends a start to the worker and handles the result. If the call
// fails after it may have been sent, the worker may still start the run later, so the
// run is stopped first.
func (s *Supervisor) executeStart(ctx context.Context, call workercontroller.StartCall, run work.RunRef) {
	s.startSlots <- struct{}{}
	defer func() { <-s.startSlots }()
	if refusal := s.releaseStart(call.Call, run); refusal != "" {
		s.voidRun(call.Call, run, refusal)
		return
	}
	began := s.recordStart(call.Call, run)
	result, err := s.Worker.Start(ctx, call)
	s.recordStartOutcome(call.Call, run, began, err)
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, workercontroller.ErrMisdirected):
		s.voidRun(call.Call, run, "reborn")
	case errors.Is(err, workercontroller.ErrUnreachable):
		s.Logger.Info("start not sent; the worker refuses connections", "task", run.Task, "run", run.Run, "vm", call.VM, "born", call.WorkerIncarnation)
		s.voidRun(call.Call, run, voidReasonUnreachable)
	case errors.Is(err, workercontroller.ErrWorkerRestarted):
		// The process that answered may have started the run. The run stays
		// pending until that process has accepted a session and lists its runs.
		s.Logger.Warn("start answered by another worker process", "task", run.Task, "run", run.Run, "vm", call.VM, "born", call.WorkerIncarnation)
		s.mu.Lock()
		s.recordReplacement(call.Call, call.LeaseEnd, err)
		s.mu.Unlock()
	case err != nil:
		s.Logger.Warn("start call failed; stopping the run, since it may have started", "task", run.Task, "run", run.Run, "error", err.Error(), "took", (s.Steady() - began).String())
		if s.stop(ctx, call.Call, run) {
			s.awaitListing(ctx, call.Call, run, "unanswered")
		}
	case result == workercontroller.Accepted:
		s.markActive(call.Call, run)
		if call.Start.Filler {
			// A filler runs at full pace until its pace is set.
			s.applyPaces(ctx)
		}
	case result == workercontroller.Outdated:
		s.awaitListing(ctx, call.Call, run, string(result))
	default:
		s.Logger.Info("start rejected", "task", run.Task, "run", run.Run, "reason", string(result), "until", call.LeaseEnd.String())
		s.voidRun(call.Call, run, string(result))
	}
}

// markActive records that the worker has accepted a run. The run stays pending
// until the worker lists it, since a list that was read before may arrive later.
func (s *Supervisor) markActive(call workercontroller.Call, run work.RunRef) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.Fence != s.session.granted || !s.pending[run] {
		return
	}
	s.answeredAt = s.Clock()
	if s.index().listed[run] {
		return
	}
	s.index().add(run)
	s.active = append(s.active, work.RunStatus{Task: run.Task, Run: run.Run, Pace: 100})
}

// awaitListing waits until the worker lists a run. It records the run as void
// if a complete list that was requested later does not include it: one that was
// requested before may have been read before the run started.
func (s *Supervisor) awaitListing(ctx context.Context, call workercontroller.Call, run work.RunRef, reason string) {
	s.mu.Lock()
	since := s.Clock()
	s.mu.Unlock()
	for ctx.Err() == nil {
		waiter.Sleep(ctx, listTimeout)
		s.mu.Lock()
		notPending := !s.pending[run]
		polled := s.listSentAt > since && !s.moreEnds
		s.mu.Unlock()
		if notPending {
			return
		}
		if polled {
			s.voidRun(call, run, reason)
			return
		}
	}
}

// voidRun records that a run did not start and never will.
func (s *Supervisor) voidRun(call workercontroller.Call, run work.RunRef, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropVoidStart(call, run)
	if call.Fence != s.session.granted || !s.pending[run] {
		return
	}
	if x := s.index(); !x.listed[run] {
		x.reserve(s.starts[run.Task], -1)
	}
	delete(s.pending, run)
	delete(s.starts, run.Task)
	s.voids[run] = reason
	s.OnChange()
}

// stop stops a run, with retries. It returns true once the worker has confirmed
// the stop, and false if the worker restarted, the session has changed or the
// context has ended.
func (s *Supervisor) stop(ctx context.Context, call workercontroller.Call, run work.RunRef) bool {
	for tries := 0; ctx.Err() == nil; tries++ {
		s.stopSlots <- struct{}{}
		sent := s.Steady()
		err := s.Worker.Stop(ctx, call, run)
		<-s.stopSlots
		s.recordOutcome(call, sent, err)
		if err == nil {
			s.wake()
			return true
		}
		if errors.Is(err, workercontroller.ErrWorkerRestarted) || s.currentCall().Fence != call.Fence {
			return false
		}
		if tries == 0 {
			s.Logger.Warn("stop call failed; retrying", "task", run.Task, "run", run.Run, "error", err.Error())
		}
		waiter.Sleep(ctx, stopRetryInterval)
	}
	return false
}

// applyPaces sends the paces that the pacer decides to the worker. Calls are
// serialized so that an older decision never overwrites a newer one.
func (s *Supervisor) applyPaces(ctx context.Context) {
	if s.Pacer == nil {
		return
	}
	s.pacingMu.Lock()
	defer s.pacingMu.Unlock()
	s.mu.Lock()
	changes := s.Pacer.Decide(s.active, s.starts, s.workerStatus.Capacity, s.Clock())
	call := s.call()
	s.mu.Unlock()
	for run, percent := range changes {
		sent := s.Steady()
		err := s.Worker.Pace(ctx, call, run, percent)
		s.recordOutcome(call, sent, err)
		if err != nil {
			s.Logger.Warn("pace call failed", "task", run.Task, "run", run.Run, "percent", percent, "error", err.Error())
			continue
		}
		s.mu.Lock()
		s.Pacer.Confirm(run, percent)
		s.paces[run] = percent
		s.mu.Unlock()
	}
}
