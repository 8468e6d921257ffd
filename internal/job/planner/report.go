package planner

import (
	"slices"
	"time"

	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

// checkpointWriteInterval is the least time between two records of a running task
// that hold a new checkpoint. A task whose VM is lost begins again at the last
// checkpoint in the log.
const checkpointWriteInterval = time.Second

// HandleReport processes a report of the state of a VM.
func (pl *Planner) HandleReport(name string, r *work.Report, now time.Time) {
	v := pl.vms[name]
	if v == nil || !v.connected {
		return
	}
	pl.noteCrash(r.Crash, now)
	if r.Fence != v.session.Fence || r.WorkerStatus.Incarnation != v.session.WorkerIncarnation || v.session.Revoked {
		pl.refreshSession(v, r, now)
		return
	}
	firstReport := !v.synced
	v.noteSilence(r, now)
	v.unacceptedSessions = 0
	v.lastContact, v.synced, v.workerStatus, v.workerSilence, v.sessionConfirmed = now, v.synced || !r.MoreEnds, r.WorkerStatus, r.WorkerSilence, r.SessionConfirmed
	v.mayLeaveAt, v.hasUnknownRuns, v.workerDown, v.use.known = time.Time{}, false, r.WorkerDown, false
	pl.withdrawCrash(v, r)
	if r.WorkerStatus.Draining {
		v.mayLeaveAt = now.Add(r.WorkerStatus.DrainRemaining)
	}
	if firstReport {
		pl.discardReplacedWorkers(v, now)
	}
	reported := map[runKey]bool{}
	v.noteProgress(r, now)
	for i := range r.ActiveRuns {
		pl.handleActive(v, &r.ActiveRuns[i], reported, now)
	}
	for _, p := range r.PendingStarts {
		reported[runKey{p.Task, p.Run}] = true
	}
	for i := range r.Ends {
		reported[runKey{r.Ends[i].Task, r.Ends[i].Run}] = true
		pl.handleEnd(v, &r.Ends[i], now)
	}
	pl.acknowledgeEnds(v, r.Ends)
	for i := range r.Voids {
		reported[runKey{r.Voids[i].Task, r.Voids[i].Run}] = true
		pl.handleVoid(v, &r.Voids[i], now)
	}
	if !r.MoreEnds {
		pl.reconcile(v, r.CommandsHandled, reported, firstReport, now)
	}
	if r.LeaseExpired {
		pl.revokeSession(v, "the worker does not answer and its lease is over", now)
		pl.discardAllRuns(v, "lapsed", now)
	}
	if r.Deregistered && v.workerGoneAt.IsZero() {
		v.workerGoneAt = now
		pl.logDecision("gone", "vm", v.name)
	}
}

// handleActive processes a run that is reported as active.
func (pl *Planner) handleActive(v *vm, a *work.RunStatus, reported map[runKey]bool, now time.Time) {
	key := runKey{a.Task, a.Run}
	reported[key] = true
	p := v.runs[key]
	if p == nil {
		// The run belongs to a job that ended, or its placement was discarded.
		v.hasUnknownRuns = true
		pl.stopUnknownRun(v, a, now)
		return
	}
	first := !p.active
	p.active, p.progressPercent, p.measurement = true, a.ProgressPercent, a.Measurement
	p.measureTime(now)
	if first || a.ProgressPercent < p.firstPercent {
		p.step.rejections = 0
		p.firstSeen, p.firstPercent, p.firstSpeedTime = now, a.ProgressPercent, p.fullSpeedTime
	}
	pl.forgetCrashes(p, now)
	if !p.step.spec.LongRunning {
		p.observeProgress()
	}
	if v.probeWorks(p, now) {
		p.probeCounted = true
		v.health.RecordSuccess(p.step.job.id, now)
	}
	pl.observeProgress(p, now)
	if a.KindUnknown && now.Sub(p.kindSentAt) > kindRetryInterval {
		p.kindSentAt = now
		pl.pendingCommands(v).AdoptedRuns = append(pl.pendingCommands(v).AdoptedRuns, p.kindDescription())
	}
	if p.pace != a.Pace {
		p.pace, p.paceChangedAt, v.use.known = a.Pace, now, false
	}
	task := &p.step.tasks[p.index]
	if a.Checkpoint != "" && a.Checkpoint != task.Checkpoint && task.LastRun == a.Run {
		task.Checkpoint = a.Checkpoint
		if now.Sub(p.checkpointWrittenAt) > checkpointWriteInterval {
			p.checkpointWrittenAt = now
			pl.markDirty(p.step, p.index)
		}
	}
	if i := runIndex(task, a.Run); i >= 0 && task.Runs[i].StopReason != "" && now.Sub(p.stopSentAt) > stopRetryInterval {
		p.stopSentAt = now
		pl.pendingCommands(v).Stops = append(pl.pendingCommands(v).Stops, work.RunRef{Task: a.Task, Run: a.Run})
	}
}

// stopUnknownRun stops a run that is not placed on the VM whose worker has it. The task
// may have been started elsewhere meanwhile. The agent reports again as soon as it has
// got the stop, so the stop is repeated only at intervals.
func (pl *Planner) stopUnknownRun(v *vm, a *work.RunStatus, now time.Time) {
	key := runKey{a.Task, a.Run}
	if now.Sub(v.unknownRunStoppedAt[key]) < stopRetryInterval {
		return
	}
	v.unknownRunStoppedAt[key] = now
	pl.logDecision("unknown run", "task", a.Task, "run", a.Run, "vm", v.name, "fence", v.session.Fence, "percent", a.ProgressPercent)
	pl.pendingCommands(v).Stops = append(pl.pendingCommands(v).Stops, work.RunRef{Task: a.Task, Run: a.Run})
}

// acknowledgeEnds advances the acknowledged end up to the last one that was
// processed and sends it to the agent. It stops before an end that must not be
// acknowledged yet.
func (pl *Planner) acknowledgeEnds(v *vm, ends []work.RunEnd) {
	for i := range ends {
		number := ends[i].Number
		if number > v.acknowledgedEnd && !v.processedEnds[number] {
			break
		}
		v.acknowledgedEnd = max(v.acknowledgedEnd, number)
		delete(v.processedEnds, number)
	}
	if len(ends) > 0 {
		pl.pendingCommands(v).EndsAcked = v.acknowledgedEnd
	}
}

// superseded reports whether a run completed after a newer run of its task was
// started, because its VM had been declared lost. The end is not acknowledged
// until the newer run has completed the task; otherwise the task would be done
// twice.
func (s *step) superseded(index int, e *work.RunEnd) bool {
	t := &s.tasks[index]
	return e.Outcome == endDone && !s.spec.LongRunning && !t.Done && t.LastRun > e.Run && s.job.outcome == nil
}

// handleEnd processes the end of a run.
func (pl *Planner) handleEnd(v *vm, e *work.RunEnd, now time.Time) {
	if e.Number <= v.acknowledgedEnd || v.processedEnds[e.Number] {
		return
	}
	p := v.runs[runKey{e.Task, e.Run}]
	s, index := pl.findTask(e.Task)
	if p == nil && s != nil && s.superseded(index, e) {
		return
	}
	atFullSpeed := time.Duration(0)
	if p != nil {
		p.measureTime(now)
		atFullSpeed = p.fullSpeedTime
	}
	pl.logDecision("end", "task", e.Task, "run", e.Run, "vm", v.name, "how", e.Outcome, "known", p != nil, "full", atFullSpeed)
	if p != nil {
		pl.observeEnd(p, e, now)
		pl.removePlacement(p)
	}
	if s != nil {
		pl.recordEnd(s, index, v, p, e, now)
	}
	v.processedEnds[e.Number] = true
}

// Outcomes of a run.
const (
	endDone   = "done"
	endFailed = "failed"
)

// recordEnd applies the end of a run to the state of its task.
func (pl *Planner) recordEnd(s *step, index int, v *vm, p *placement, e *work.RunEnd, now time.Time) {
	t := &s.tasks[index]
	if e.Checkpoint != "" && e.Run == t.LastRun {
		t.Checkpoint = e.Checkpoint
	}
	pl.settleEnd(s, index, p, e, now)
	switch {
	case e.Outcome == endDone && !s.spec.LongRunning && !t.Done:
		t.Done = true
		if p != nil {
			pl.learnDuration(p, now)
		}
		pl.stopTaskRuns(s, index, "done", now)
		v.health.RecordSuccess(s.job.id, now)
		if s.spec.Gang {
			pl.finishGang(s, now)
		}
	case e.Outcome == endFailed && p != nil:
		t.Failures++
		s.noteBlame(index, v, now)
		if !slices.Contains(t.ExcludedVMs, v.name) {
			t.ExcludedVMs = append(t.ExcludedVMs, v.name)
			t.ExcludedVMs = t.ExcludedVMs[max(len(t.ExcludedVMs)-jobreducer.MaxExcludedVMs, 0):]
		}
		v.health.RecordFailure(s.job.id, now)
	}
	pl.markDirty(s, index)
	pl.learnStep(s)
	pl.finishIfTaskDecides(s, index, now)
}

// finishGang marks all tasks of a gang done. The completion of one task
// completes the gang.
func (pl *Planner) finishGang(s *step, now time.Time) {
	for i := range s.tasks {
		if !s.tasks[i].Done {
			s.tasks[i].Done = true
			pl.markDirty(s, i)
			pl.stopTaskRuns(s, i, "done", now)
		}
	}
}

// finishIfTaskDecides ends the job if the change of this task decides its
// outcome.
func (pl *Planner) finishIfTaskDecides(s *step, index int, now time.Time) {
	j, t := s.job, &s.tasks[index]
	if j.outcome == nil {
		switch {
		case !s.spec.LongRunning && !t.Done && t.Failures >= j.record.Queue.MaxFailures:
			pl.noteHopeless(s, index, now)
			pl.finishJob(j, jobreducer.Failed, now)
		case s.done == len(s.tasks) && j.complete():
			pl.finishJob(j, jobreducer.Completed, now)
		}
	}
	pl.dropEndedJob(j)
}

// Reasons for a run that did not start after which its VM still gets work at once: the
// worker did not accept its ticket, and the leader stopped the run.
const (
	voidReasonTicket  = "ticket"
	voidReasonStopped = "stopped"
)

// handleVoid processes a run that never started.
func (pl *Planner) handleVoid(v *vm, x *work.VoidRun, now time.Time) {
	if p := v.runs[runKey{x.Task, x.Run}]; p != nil {
		pl.logDecision("void", "task", x.Task, "run", x.Run, "vm", v.name, "reason", x.Reason)
		switch x.Reason {
		case voidReasonTicket:
			p.step.dropTicket(v.name, now)
		case voidReasonStopped:
		default:
			v.health.RecordRefusal(now)
		}
		pl.discardRun(p)
	}
	pl.pendingCommands(v).VoidsAcked = append(pl.pendingCommands(v).VoidsAcked, work.RunRef{Task: x.Task, Run: x.Run})
}

// reconcile compares the runs placed on a VM with those in its agent's report.
// It discards those that are missing or sends their start again.
func (pl *Planner) reconcile(v *vm, handled int64, reported map[runKey]bool, firstReport bool, now time.Time) {
	for key, p := range v.runs {
		if reported[key] {
			continue
		}
		switch {
		case p.fence != v.session.Fence && firstReport:
			// The worker confirmed the new fence and does not list the run.
			pl.judgeCrashOf(v, now)
			pl.logDecision("void", "task", key.task, "run", key.run, "vm", v.name, "reason", "not there under the new fence")
			pl.discardRun(p)
		case p.startCommandsNumber == 0 || p.startCommandsNumber <= handled:
			if !pl.stopUnstarted(p, now) {
				pl.sendStart(p)
			}
		}
	}
}

// kindDescription describes the kind of a run, such as its image and whether it
// is a filler, without the fields that only a start needs.
func (p *placement) kindDescription() work.Start {
	spec := p.step.spec
	return work.Start{
		Task: p.step.taskName(p.index), Run: p.run,
		Serving: spec.LatencyTarget > 0, Filler: spec.Filler, LatencyTarget: spec.LatencyTarget, Image: spec.Image, Millicores: spec.Size.Millicores,
		Memory: spec.Size.Memory, Accelerators: spec.Size.Accelerators,
	}
}

// sendStart adds the start of a run to the commands for its VM. Commands are
// sent only after the records that precede them are in the log.
func (pl *Planner) sendStart(p *placement) {
	s := p.step
	t := &s.tasks[p.index]
	start := p.kindDescription()
	start.Spec = s.job.record.Spec
	if i := runIndex(t, p.run); i >= 0 {
		if t.Runs[i].StopReason != "" {
			// The run never started and is no longer wanted. The stop keeps it
			// from starting.
			pl.pendingCommands(p.vm).Stops = append(pl.pendingCommands(p.vm).Stops, work.RunRef{Task: start.Task, Run: p.run})
			p.startCommandsNumber = p.vm.lastCommandsNumber
			return
		}
		start.Ticket = t.Runs[i].Ticket
	}
	if p.run > 1 {
		start.Checkpoint = t.Checkpoint
	}
	commands := pl.pendingCommands(p.vm)
	commands.Starts = append(commands.Starts, start)
	p.startCommandsNumber = commands.Number
	pl.noteSent(p)
}
