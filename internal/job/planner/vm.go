package planner

import (
	"slices"
	"strings"
	"time"

	"knapweedspur/internal/job/estimator"
	"knapweedspur/internal/job/healthtracker"
	"knapweedspur/internal/job/jobreducer"
	"knapweedspur/internal/wire/work"
)

const (
	// agentTimeout is how long an agent may be silent before its session is
	// revoked. It covers several heartbeats and the restart of a process.
	agentTimeout = 1500 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's monotonic clock may run
	// slow.
	maxClockDrift = 0.03
	// leaseMargin is added to the time after which a lease is considered over.
	leaseMargin = 150 * time.Millisecond
	// stopRetryInterval is the interval at which a stop without effect is sent
	// again.
	stopRetryInterval = 400 * time.Millisecond
	// kindRetryInterval is the interval at which the kind of a run is sent
	// again to an agent that still lacks it.
	kindRetryInterval = 500 * time.Millisecond
	// grantRetryInterval is the interval at which a grant is sent again to an
	// agent that does not use its session.
	grantRetryInterval = 500 * time.Millisecond
	// maxWorkerSilence is how long a worker may leave its agent without an
	// answer while its VM still gets work: one and a half polls.
	maxWorkerSilence = 600 * time.Millisecond
	// maxUnacceptedSessions is how many sessions in a row may end before the worker
	// has accepted one: usually the first agent process that starts gets it to.
	maxUnacceptedSessions = 3
)

// vm is the state of a VM as known to the planner.
type vm struct {
	name    string
	session work.Session
	// workerStatus is the last state that the worker reported of itself.
	workerStatus work.WorkerStatus
	// connected is set while an agent is connected, synced once its first
	// complete report under the current session has arrived.
	connected, synced bool
	// sessionConfirmed is set once an entry has confirmed the session to the
	// agent, so that the agent can give starts a lease.
	sessionConfirmed bool
	// unacceptedSessions counts the sessions since the worker last accepted one.
	unacceptedSessions int
	// lastContact is when the agent was last heard.
	lastContact time.Time
	// agentID identifies the agent process and host its machine; grantSentAt is
	// when it was last sent a session.
	agentID     string
	host        string
	grantSentAt time.Time
	// revokedAt is when the revocation of the session was confirmed in the log,
	// zero before.
	revokedAt time.Time
	// workerGoneAt is when the worker deregistered or was replaced, zero if
	// neither. Its lease is not extended any more, but it may not have ended.
	workerGoneAt time.Time
	// mayLeaveAt is when the draining worker may leave at the earliest, zero if
	// the worker does not drain.
	mayLeaveAt time.Time
	// workerSilence is how long the worker has not answered its agent, 0 if it
	// does. workerDown is set while it refuses connections.
	workerSilence time.Duration
	workerDown    bool
	// keptSince is since when the VM is kept for suspects, zero if it is not.
	// keptInVainUntil is when it was last released without having run any.
	keptSince, keptInVainUntil time.Time

	runs map[runKey]*placement
	// stepRuns counts the runs by step.
	stepRuns map[*step]int
	// reserved is what the runs reserve, and fillerMillicores the processor size
	// of the runs that reserve no processors. servingRuns counts the runs with a
	// latency objective, and longRunningMillicores is the processor size that
	// long-running tasks reserve.
	reserved              work.Size
	fillerMillicores      int
	servingRuns           int
	longRunningMillicores int
	// servingImages counts the serving runs by image.
	servingImages map[string]int
	use           processorUse

	// fillerPeaks holds the highest shares that fillers used within the window
	// that a latency covers.
	fillerPeaks estimator.Peaks

	// sentWeights are the interference weights that the agent was last sent;
	// weightsCheckedAt is when they were last checked for changes.
	sentWeights      map[work.Interference]bool
	weightsCheckedAt time.Time

	// lastCommandsNumber is the number of the last commands in this term. It goes on over
	// connections, since the agent reports the highest one that it has handled.
	lastCommandsNumber int64
	// acknowledgedEnd is the highest end that the agent may forget.
	// processedEnds holds the ends above it that have been processed.
	acknowledgedEnd int64
	processedEnds   map[int64]bool
	// hasUnknownRuns is set while the worker lists runs that are not placed there.
	// They take room that is not reserved.
	hasUnknownRuns bool
	// unknownRunStoppedAt holds when stops of runs that are not placed on the VM were
	// last sent.
	unknownRunStoppedAt map[runKey]time.Time
	health              healthtracker.Health
	// silentAt is when the VM was last found silent, and progressedAt when one of its
	// runs was last seen to progress.
	silentAt, progressedAt time.Time
}

func (pl *Planner) ensureVM(name string) *vm {
	v := pl.vms[name]
	if v == nil {
		v = &vm{name: name, runs: map[runKey]*placement{}, stepRuns: map[*step]int{}, servingImages: map[string]int{}, processedEnds: map[int64]bool{}, unknownRunStoppedAt: map[runKey]time.Time{}}
		pl.vms[name] = v
		i, _ := slices.BinarySearchFunc(pl.sortedVMs, name, func(v *vm, name string) int { return strings.Compare(v.name, name) })
		pl.sortedVMs = slices.Insert(pl.sortedVMs, i, v)
	}
	return v
}

// leaseExpiryDelay is how long after its last extension a lease is certainly
// over.
func (pl *Planner) leaseExpiryDelay() time.Duration {
	return time.Duration(float64(pl.Settings.MaxLease)*(1+maxClockDrift)) + leaseMargin
}

// addPlacement adds a run that is in the log or about to be written to it.
func (pl *Planner) addPlacement(s *step, index int, r work.Run, now time.Time) {
	v := pl.ensureVM(r.VM)
	p := &placement{step: s, index: index, run: r.Run, vm: v, fence: r.Fence, placedAt: now, checkpointWrittenAt: now, pace: fullPace}
	if !s.spec.LongRunning {
		// The next task waits anew for a sound VM. The tasks of a long-running step
		// may not: none of them may be away for long.
		s.avoidsSince = time.Time{}
	}
	s.job.takesAnyRoom, s.job.overcommits = false, false
	v.runs[runKey{s.taskName(index), r.Run}] = p
	v.stepRuns[s]++
	useKnown := v.use.known
	v.adjustReserved(s.spec, 1)
	if useKnown && s.spec.LatencyTarget > 0 {
		v.use.known = true
		v.use.addServing(p, v.stepRuns[s] == 1)
	}
}

// RegisterAgent processes the hello of an agent and grants it a session.
func (pl *Planner) RegisterAgent(h *work.Hello, now time.Time) {
	v := pl.ensureVM(h.WorkerStatus.VM)
	v.connected, v.synced, v.lastContact, v.workerStatus = true, false, now, h.WorkerStatus
	v.agentID, v.host, v.grantSentAt, v.sentWeights = h.AgentIncarnation, h.Host, now, nil
	v.use.known = false
	for _, p := range v.runs {
		p.startCommandsNumber = 0
	}
	if v.session.AgentIncarnation == h.AgentIncarnation && v.session.WorkerIncarnation == h.WorkerStatus.Incarnation && !v.session.Revoked && v.session.Fence > 0 {
		pl.grants[v.name] = &work.Grant{VM: v.name, WorkerIncarnation: v.session.WorkerIncarnation, Fence: v.session.Fence}
		return
	}
	pl.openSession(v, h, now)
}

// openSession opens a new session for a VM. The runs of earlier sessions are kept
// until the worker has accepted the new one: an agent that has just started may
// introduce a worker process that has ended, from a delayed heartbeat. The wait for
// their lease begins anew with each session, since its agent may extend the lease. So
// after maxUnacceptedSessions no session is opened until that wait is over.
func (pl *Planner) openSession(v *vm, h *work.Hello, now time.Time) {
	if v.unacceptedSessions >= maxUnacceptedSessions && len(v.runs) > 0 {
		pl.revokeSession(v, "the worker accepted none of the last sessions", now)
		return
	}
	v.unacceptedSessions++
	if v.session.WorkerIncarnation != h.WorkerStatus.Incarnation {
		// Each worker process numbers its ends anew.
		v.acknowledgedEnd = 0
		v.processedEnds = map[int64]bool{}
		v.health = healthtracker.Health{}
	}
	v.session = work.Session{VM: v.name, WorkerIncarnation: h.WorkerStatus.Incarnation, Fence: v.session.Fence + 1, AgentIncarnation: h.AgentIncarnation, Host: h.Host}
	v.revokedAt, v.workerGoneAt, v.workerSilence = time.Time{}, time.Time{}, 0
	clear(v.unknownRunStoppedAt)
	pl.records = append(pl.records, jobreducer.SessionRecord(&v.session))
	pl.grants[v.name] = &work.Grant{VM: v.name, WorkerIncarnation: v.session.WorkerIncarnation, Fence: v.session.Fence}
	delete(pl.commands, v.name)
	pl.logDecision("session", "vm", v.name, "born", v.session.WorkerIncarnation, "fence", v.session.Fence, "agent", h.AgentIncarnation)
}

// refreshSession answers a report under a session that is not in force. It
// sends the agent the current session, or opens a new one once the worker
// answers again. A session that the worker does not accept is revoked if runs
// depend on it: its agent knows no lease whose end it could report.
func (pl *Planner) refreshSession(v *vm, r *work.Report, now time.Time) {
	v.lastContact, v.workerSilence, v.workerDown = now, r.WorkerSilence, r.WorkerDown
	if len(v.runs) > 0 && v.workerSilence > agentTimeout {
		pl.revokeSession(v, "the worker does not accept the session", now)
	}
	if r.WorkerSilence > 0 || now.Sub(v.grantSentAt) < grantRetryInterval {
		return
	}
	v.grantSentAt = now
	h := &work.Hello{WorkerStatus: r.WorkerStatus, AgentIncarnation: v.agentID, Host: v.host}
	if v.session.Revoked || v.session.WorkerIncarnation != r.WorkerStatus.Incarnation {
		pl.openSession(v, h, now)
		return
	}
	pl.grants[v.name] = &work.Grant{VM: v.name, WorkerIncarnation: v.session.WorkerIncarnation, Fence: v.session.Fence}
}

// RecordHeartbeat records that an agent was heard.
func (pl *Planner) RecordHeartbeat(name string, now time.Time) {
	if v := pl.vms[name]; v != nil && v.connected {
		v.lastContact = now
	}
}

// discardReplacedWorkers discards the runs of older workers on the same host, once
// the worker of v has accepted its session.
func (pl *Planner) discardReplacedWorkers(v *vm, now time.Time) {
	for _, other := range pl.sortedVMs {
		if other == v || v.session.Host == "" || other.session.Host != v.session.Host || other.session.WorkerIncarnation >= v.session.WorkerIncarnation {
			continue
		}
		pl.discardAllRuns(other, "replaced", now)
		if other.workerGoneAt.IsZero() {
			other.workerGoneAt = now
		}
	}
}

// DisconnectAgent records the loss of the connection to an agent.
func (pl *Planner) DisconnectAgent(name string) {
	if v := pl.vms[name]; v != nil {
		v.connected, v.synced = false, false
	}
}

func runIndex(t *work.Task, run int) int {
	return slices.IndexFunc(t.Runs, func(r work.Run) bool { return r.Run == run })
}

// markDirty recounts the tasks of a step and marks one of them to be written to
// the log, unless its job was dropped.
func (pl *Planner) markDirty(s *step, index int) {
	if s.job.dropped {
		return
	}
	s.recount(index)
	if pl.dirtyTasks[s] == nil {
		pl.dirtyTasks[s] = map[int]bool{}
	}
	pl.dirtyTasks[s][index] = true
}

// removePlacement removes a run from its VM and its task. Commands that have not been sent
// yet do not start it any more.
func (pl *Planner) removePlacement(p *placement) {
	t, task := &p.step.tasks[p.index], p.step.taskName(p.index)
	if commands := pl.commands[p.vm.name]; commands != nil {
		commands.Starts = slices.DeleteFunc(commands.Starts, func(start work.Start) bool { return start.Task == task && start.Run == p.run })
	}
	if i := runIndex(t, p.run); i >= 0 {
		t.Runs = slices.Delete(t.Runs, i, i+1)
	}
	p.vm.removeRun(p, task)
}

// removeRun undoes addPlacement.
func (v *vm) removeRun(p *placement, task string) {
	delete(v.runs, runKey{task, p.run})
	if v.stepRuns[p.step]--; v.stepRuns[p.step] <= 0 {
		delete(v.stepRuns, p.step)
	}
	v.adjustReserved(p.step.spec, -1)
}

// discardRun removes a run that is known not to be running and not to have
// ended by itself.
func (pl *Planner) discardRun(p *placement) {
	s := p.step
	pl.removePlacement(p)
	pl.markDirty(s, p.index)
	pl.dropEndedJob(s.job)
}

// discardAllRuns discards all runs on a VM.
func (pl *Planner) discardAllRuns(v *vm, reason string, now time.Time) {
	pl.judgeCrashOf(v, now)
	for key, p := range v.runs {
		pl.logDecision("void", "task", key.task, "run", key.run, "vm", v.name, "reason", reason, "fence", p.fence, "session", v.session.Fence, "seen", p.active)
		pl.discardRun(p)
	}
}

// stopTaskRuns stops all runs of a task.
func (pl *Planner) stopTaskRuns(s *step, index int, reason string, now time.Time) {
	t := &s.tasks[index]
	for i := range t.Runs {
		pl.stopRun(s, index, i, reason, now)
	}
}

// stopRun stops the run at the given position of a task's list of runs.
func (pl *Planner) stopRun(s *step, index, position int, reason string, now time.Time) {
	r := &s.tasks[index].Runs[position]
	if r.StopReason != "" {
		return
	}
	r.StopReason = reason
	pl.markDirty(s, index)
	v := pl.ensureVM(r.VM)
	if p := v.runs[runKey{s.taskName(index), r.Run}]; p != nil && v.connected {
		p.stopSentAt = now
		pl.pendingCommands(v).Stops = append(pl.pendingCommands(v).Stops, work.RunRef{Task: s.taskName(index), Run: r.Run})
	}
	pl.logDecision("halt", "task", s.taskName(index), "run", r.Run, "vm", r.VM, "reason", reason)
}

// pendingCommands returns the commands for a VM that the next Flush returns.
func (pl *Planner) pendingCommands(v *vm) *work.Commands {
	commands := pl.commands[v.name]
	if commands == nil {
		v.lastCommandsNumber++
		commands = &work.Commands{VM: v.name, Fence: v.session.Fence, Number: v.lastCommandsNumber, EndsAcked: v.acknowledgedEnd}
		pl.commands[v.name] = commands
	}
	return commands
}

// revokeSession revokes the session of a VM, so that entries no longer confirm
// its lease.
func (pl *Planner) revokeSession(v *vm, reason string, now time.Time) {
	if v.session.Revoked || v.session.Fence == 0 {
		return
	}
	v.session.Revoked = true
	v.synced = false
	pl.records = append(pl.records, jobreducer.SessionRecord(&v.session))
	fence := v.session.Fence
	pl.onConfirm = append(pl.onConfirm, func(confirmed time.Time) {
		if v.session.Fence == fence {
			v.revokedAt = confirmed
		}
	})
	pl.logDecision("revoke", "vm", v.name, "fence", fence, "reason", reason, "unheard", now.Sub(v.lastContact), "silent", v.workerSilence)
}

// checkSessions revokes the sessions of silent agents and discards the runs on
// VMs whose lease is over.
func (pl *Planner) checkSessions(now time.Time) {
	for _, v := range pl.sortedVMs {
		silentSince := v.lastContact
		if silentSince.Before(pl.termStart) {
			silentSince = pl.termStart
		}
		if v.session.Fence > 0 && !v.session.Revoked && now.Sub(silentSince) > agentTimeout {
			pl.revokeSession(v, "the agent is not heard", now)
		}
		if v.session.Revoked && !v.revokedAt.IsZero() && len(v.runs) > 0 && now.Sub(v.revokedAt) > pl.leaseExpiryDelay() {
			pl.discardAllRuns(v, "lapsed", now)
		}
		if !v.workerGoneAt.IsZero() && now.Sub(v.workerGoneAt) > pl.leaseExpiryDelay() {
			pl.discardAllRuns(v, "gone", now)
		}
	}
}

// CountUnresponsiveVMs returns how many of the VMs that were heard in this term
// have been silent for longer than limit, and how many were heard.
func (pl *Planner) CountUnresponsiveVMs(now time.Time, limit time.Duration) (unresponsive, total int) {
	for _, v := range pl.sortedVMs {
		if v.lastContact.Before(pl.termStart) || v.session.Revoked || !v.workerGoneAt.IsZero() {
			continue
		}
		total++
		if now.Sub(v.lastContact) > limit {
			unresponsive++
		}
	}
	return unresponsive, total
}
