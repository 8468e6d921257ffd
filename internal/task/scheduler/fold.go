package scheduler

import (
	"time"

	"knapweedspur/internal/placement/sizer"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

const (
	// baseRetryDelay is doubled once for each failure of a task so far, up to
	// maxRetryDelay: a task waits 2 s after its first failure.
	baseRetryDelay = time.Second
	maxRetryDelay  = time.Minute
	// refusedRetryDelay is how long a task waits after a VM has refused it or
	// its place record was rejected or not accepted by the appender.
	refusedRetryDelay = 200 * time.Millisecond
	// quarantineAfter is how many failures in a row put a VM into quarantine.
	quarantineAfter = 3
	// firstQuarantine is the length of a VM's first quarantine. It doubles with
	// each further one, five times at most; a task that is done there resets it.
	firstQuarantine = 30 * time.Second
	// jobFaultVMs is on how many VMs a job must have failed for the job itself
	// to be taken as the cause.
	jobFaultVMs = 3
)

// applyChanges handles the changes of one log value.
func (s *step) applyChanges(changes []taskreducer.Change) {
	affected := map[string]bool{}
	for _, change := range changes {
		s.applyChange(change)
		markAffectedVM(affected, change)
	}
	for name := range affected {
		if v := s.vms[name]; v != nil {
			s.updateFree(v)
		}
	}
}

// markAffectedVM adds the VM whose free resources a change alters.
func markAffectedVM(affected map[string]bool, change taskreducer.Change) {
	switch c := change.(type) {
	case taskreducer.AttemptPlaced:
		affected[c.Place.VM] = true
	case taskreducer.AttemptClosed:
		affected[c.VM] = true
	case taskreducer.VMJoined:
		affected[c.VM] = true
	}
}

// applyChange handles one change of the state.
func (s *step) applyChange(change taskreducer.Change) {
	switch change.(type) {
	case taskreducer.VMJoined, taskreducer.VMFenced, taskreducer.VMDrainChanged, taskreducer.VMForgotten:
		s.candidatesValid = false
	}
	switch c := change.(type) {
	case taskreducer.RunSubmitted:
		s.addRun(s.now, c.Run, s.State.Runs[c.Run])
	case taskreducer.RunCanceled:
		s.onRunCanceled(c)
	case taskreducer.AttemptPlaced:
		s.onPlaced(c)
	case taskreducer.AttemptClosed:
		s.onClosed(c)
	case taskreducer.AttemptCarriedOver:
		delete(s.ensureVM(c.VM).starts, c.Key)
	case taskreducer.VMJoined:
		s.onJoined(s.now, c.VM)
		clear(s.ensureVM(c.VM).starts)
	case taskreducer.VMFenced:
		v := s.ensureVM(c.VM)
		v.fencedAt = s.now
		v.fence = c.Fence
	case taskreducer.VMDrainChanged:
		s.onDrainChanged(c)
	case taskreducer.EntryAlive:
		if c.Entry == s.Entry {
			s.recordOwnAlive()
		}
	case taskreducer.RunFinished:
		s.dropBacklog(c.Run)
	case taskreducer.VMForgotten:
		delete(s.vms, c.VM)
	case taskreducer.RecordRejected:
		s.onRejected(c.Record)
	}
}

// enqueue adds a task to its run's backlog. The task may be placed from the
// given time on.
func (s *Scheduler) enqueue(since time.Time, key taskreducer.TaskKey) {
	b := s.backlogs[key.Run]
	if b == nil {
		b = &backlog{}
		s.backlogs[key.Run] = b
		s.runOrder = append(s.runOrder, key.Run)
	}
	b.tasks = append(b.tasks, waitingTask{task: key.Task, since: since})
	s.dirty = true
}

func (s *step) onRunCanceled(c taskreducer.RunCanceled) {
	s.dropBacklog(c.Run)
	for _, place := range c.Open {
		key := taskreducer.TaskKey{Run: place.Run, Task: place.Task}
		s.stops[key] = &resend{due: s.now, stop: true}
	}
	s.resendStops()
}

// dropBacklog removes a run's backlog.
func (s *Scheduler) dropBacklog(run string) {
	if s.backlogs[run] == nil {
		return
	}
	delete(s.backlogs, run)
	for i, name := range s.runOrder {
		if name == run {
			s.runOrder = append(s.runOrder[:i:i], s.runOrder[i+1:]...)
			break
		}
	}
}

// dequeue removes a task from its run's backlog.
func (s *Scheduler) dequeue(key taskreducer.TaskKey) {
	b := s.backlogs[key.Run]
	if b == nil {
		return
	}
	for i, w := range b.tasks {
		if w.task == key.Task {
			b.tasks = append(b.tasks[:i], b.tasks[i+1:]...)
			break
		}
	}
	if len(b.tasks) == 0 {
		s.dropBacklog(key.Run)
	}
}

func (s *step) onPlaced(c taskreducer.AttemptPlaced) {
	key := taskreducer.TaskKey{Run: c.Place.Run, Task: c.Place.Task}
	v := s.ensureVM(c.Place.VM)
	s.teamUsage[c.Team] = sizer.Add(s.teamUsage[c.Team], c.Size)
	if !s.dropPendingPlace(key) {
		s.dequeue(key)
	}
	due := s.now
	if c.Writer != s.Entry {
		due = s.now.Add(ResendInterval / 2)
	}
	v.starts[key] = &resend{due: due}
	s.resendStarts(v)
}

// dropPendingPlace removes a pending place, releases its resources on the VM
// and returns true. It returns false if there is no such place.
func (s *Scheduler) dropPendingPlace(key taskreducer.TaskKey) bool {
	place, ok := s.pendingPlaces[key]
	if !ok {
		return false
	}
	delete(s.pendingPlaces, key)
	if v := s.vms[place.vm]; v != nil {
		v.pendingSize = sizer.Sub(v.pendingSize, place.size)
		s.updateFree(v)
	}
	return true
}

func (s *step) onClosed(c taskreducer.AttemptClosed) {
	key := taskreducer.TaskKey{Run: c.Close.Run, Task: c.Close.Task}
	delete(s.stops, key)
	delete(s.pendingCloses, message.Attempt{Run: c.Close.Run, Task: c.Close.Task, Attempt: c.Close.Attempt})
	v := s.ensureVM(c.VM)
	delete(v.starts, key)
	s.teamUsage[c.Team] = sizer.Sub(s.teamUsage[c.Team], c.Size)
	s.updateQuarantine(v, c.Job, c.Close.Outcome)
	if v.connected {
		s.sendReportAck(c.VM, []message.Close{c.Close})
	}
	if _, task := s.State.Task(key); task != nil && c.Phase == taskreducer.Pending {
		s.enqueue(s.now.Add(retryDelay(c.Close.Outcome, int(task.Failures))), key)
	}
	s.dirty = true
}

// retryDelay returns how long a task waits before its next attempt.
func retryDelay(outcome string, failures int) time.Duration {
	switch outcome {
	case taskreducer.OutcomeRefused:
		return refusedRetryDelay
	case taskreducer.OutcomeFailed:
		return min(baseRetryDelay<<min(failures, 10), maxRetryDelay)
	}
	return 0
}

// updateQuarantine counts the failures in a row on a VM and quarantines the VM
// at quarantineAfter. A job that has failed on jobFaultVMs VMs is itself the
// cause, so its failures no longer count. After a quarantine, one more failure
// starts the next.
func (s *step) updateQuarantine(v *vmState, job, outcome string) {
	switch outcome {
	case taskreducer.OutcomeDone:
		v.Failures = 0
		v.quarantines = 0
		delete(s.failedVMs, job)
	case taskreducer.OutcomeFailed:
		vms := s.failedVMs[job]
		if vms == nil {
			vms = map[string]bool{}
			s.failedVMs[job] = vms
		}
		vms[v.Name] = true
		if len(vms) >= jobFaultVMs {
			return
		}
		v.Failures++
		if v.Failures >= quarantineAfter {
			v.Failures = quarantineAfter - 1
			v.QuarantinedUntil = s.now.Add(min(firstQuarantine<<min(v.quarantines, 5), time.Hour))
			v.quarantines++
		}
	}
}

func (s *step) onDrainChanged(c taskreducer.VMDrainChanged) {
	s.dirty = true
	if !c.On {
		return
	}
	s.State.ForEachOpen(c.VM, func(key taskreducer.TaskKey, _ *taskreducer.Run, _ *taskreducer.Task) {
		s.stops[key] = &resend{due: s.now, stop: true, checkpoint: true}
	})
	s.resendStops()
}

// onRejected undoes what this entry has noted about a record that was rejected.
func (s *step) onRejected(r message.Record) {
	switch {
	case r.Place != nil:
		key := taskreducer.TaskKey{Run: r.Place.Run, Task: r.Place.Task}
		if !s.dropPendingPlace(key) {
			return
		}
		if _, task := s.State.Task(key); task != nil && task.Phase == taskreducer.Pending {
			s.enqueue(s.now.Add(refusedRetryDelay), key)
		}
	case r.Close != nil:
		attempt := message.Attempt{Run: r.Close.Run, Task: r.Close.Task, Attempt: r.Close.Attempt}
		delete(s.pendingCloses, attempt)
	case r.Fence != nil:
		s.ensureVM(r.Fence.VM).fenceAppendedAt = time.Time{}
	}
}

// onAppendRefused undoes what was noted about a record that the appender did not
// accept.
func (s *step) onAppendRefused(r message.Record) { s.onRejected(r) }
