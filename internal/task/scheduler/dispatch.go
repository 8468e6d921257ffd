package scheduler

import (
	"time"

	"knapweedspur/internal/placement/ranker"
	"knapweedspur/internal/state/taskreducer"
	"knapweedspur/internal/wire/message"
)

// onAgentConnected handles a new connection. The agent may have missed starts,
// so they are scheduled for sending.
func (s *step) onAgentConnected(name string) {
	v := s.ensureVM(name)
	v.connected = true
	s.candidatesValid = false
	s.State.ForEachOpen(name, func(key taskreducer.TaskKey, _ *taskreducer.Run, _ *taskreducer.Task) {
		if v.starts[key] == nil {
			v.starts[key] = &resend{due: s.now.Add(ResendInterval / 2)}
		}
	})
	s.dirty = true
}

func (s *step) onHeartbeat(e HeartbeatReceived) {
	v := s.ensureVM(e.VM)
	if e.Lease == 0 || e.Lease != v.Lease {
		return
	}
	if s.now.Sub(v.lastHeard) > s.SuspectAfter/2 {
		s.candidatesValid = false
	}
	v.lastHeard = s.now
}

// resendStarts sends the starts of a VM that are due.
func (s *step) resendStarts(v *vmState) {
	if !v.connected {
		return
	}
	for key, r := range v.starts {
		if s.now.Before(r.due) {
			continue
		}
		run, task := s.State.Task(key)
		if task == nil || task.Phase != taskreducer.Open || task.VM != v.Name {
			delete(v.starts, key)
			continue
		}
		r.due = s.now.Add(ResendInterval)
		if run.Canceled {
			continue
		}
		s.send(v.Name, &message.Frame{Start: &message.Start{
			Run: key.Run, Task: key.Task, Attempt: int(task.Attempt), Lease: int(task.Lease), Job: run.Job,
			Size: run.Size, Checkpoint: task.Checkpoint, Offset: s.State.Next,
		}})
	}
}

// resendStops sends the stops that are due.
func (s *step) resendStops() {
	for key, r := range s.stops {
		if s.now.Before(r.due) {
			continue
		}
		_, task := s.State.Task(key)
		if task == nil || task.Phase != taskreducer.Open {
			delete(s.stops, key)
			continue
		}
		r.due = s.now.Add(ResendInterval)
		if !s.ensureVM(task.VM).connected {
			continue
		}
		s.send(task.VM, &message.Frame{Stop: &message.Stop{
			Run: key.Run, Task: key.Task, Attempt: int(task.Attempt), Checkpoint: r.checkpoint, Offset: s.State.Next,
		}})
	}
}

// onClosesReported handles the closes reported by an agent. Those of attempts
// that are not open in this entry's state wait for a fresh view, since this
// entry may have read less of the log than the one that placed them.
func (s *step) onClosesReported(e ClosesReported) {
	var unknown []message.Close
	for _, c := range e.Closes {
		if !s.appendClose(c) {
			unknown = append(unknown, c)
		}
	}
	if len(unknown) > 0 {
		s.deferredReports = append(s.deferredReports, ClosesReported{VM: e.VM, Closes: unknown})
		s.deferredReportTimes = append(s.deferredReportTimes, s.now)
	}
}

// appendClose appends the close of an open attempt, unless that is pending
// already. It returns false if the attempt is not open in this entry's state.
func (s *step) appendClose(c message.Close) bool {
	_, task := s.State.Task(taskreducer.TaskKey{Run: c.Run, Task: c.Task})
	if task == nil || task.Phase != taskreducer.Open || int(task.Attempt) != c.Attempt {
		return false
	}
	attempt := message.Attempt{Run: c.Run, Task: c.Task, Attempt: c.Attempt}
	if _, pending := s.pendingCloses[attempt]; !pending {
		s.pendingCloses[attempt] = s.now
		s.appendRecord(message.Record{Close: &c})
	}
	return true
}

// onCaughtUp handles the reports that arrived before the read was sent: the
// state now includes every place record that preceded them.
func (s *step) onCaughtUp(readSent time.Time) {
	s.viewReadSent = readSent
	n := 0
	for n < len(s.deferredReports) && s.deferredReportTimes[n].Before(readSent) {
		s.answerReport(s.deferredReports[n])
		n++
	}
	s.deferredReports = s.deferredReports[n:]
	s.deferredReportTimes = s.deferredReportTimes[n:]
}

// answerReport appends the closes of open attempts and acknowledges the others,
// which a fresh view has shown to be closed already or unknown.
func (s *step) answerReport(e ClosesReported) {
	var acked []message.Close
	for _, c := range e.Closes {
		if !s.appendClose(c) {
			acked = append(acked, c)
		}
	}
	if len(acked) > 0 {
		s.sendReportAck(e.VM, acked)
	}
}

// sendReportAck tells an agent which closes it need not report any more.
func (s *step) sendReportAck(vm string, closes []message.Close) {
	ack := &message.ReportAck{}
	for _, c := range closes {
		ack.Attempts = append(ack.Attempts, message.Attempt{Run: c.Run, Task: c.Task, Attempt: c.Attempt})
	}
	s.send(vm, &message.Frame{ReportAck: ack})
}

// onTick resends what is due and checks the liveness of the VMs.
func (s *step) onTick() {
	s.resendStops()
	entries := s.AliveEntries()
	for name, v := range s.vms {
		s.resendStarts(v)
		if recorded := s.State.VMs[name]; recorded != nil && s.viewIsFresh(s.now) {
			s.checkLiveness(v, recorded, entries)
		}
	}
	s.dirty = true
	s.candidatesValid = false
}

// checkLiveness asks the peers about a VM that has been silent for too long, and
// closes the attempts of a fenced one after the hold time.
func (s *step) checkLiveness(v *vmState, recorded *taskreducer.VM, entries []string) {
	rank := time.Duration(ranker.Rank(v.Name, s.Entry, entries))
	if recorded.Fence != 0 {
		s.lapseAttempts(v, recorded, rank)
		return
	}
	timeout := s.SuspectAfter
	if s.State.OpenCount(v.Name) == 0 {
		timeout = ForgetAfter
	}
	if s.now.Sub(v.lastHeard) < timeout+rank*s.SuspectAfter/2 || s.now.Sub(v.peersAskedAt) < s.SuspectAfter/2 {
		return
	}
	v.peersAskedAt = s.now
	s.actions = append(s.actions, AskPeers{VM: v.Name})
}

// onPeersAnswered fences a VM whose heartbeats no entry receives.
func (s *step) onPeersAnswered(e PeersAnswered) {
	v := s.vms[e.VM]
	recorded := s.State.VMs[e.VM]
	if v == nil || recorded == nil || recorded.Fence != 0 || !v.fenceAppendedAt.IsZero() {
		return
	}
	if e.Heard {
		v.lastHeard = s.now
		return
	}
	if s.now.Sub(v.lastHeard) < s.SuspectAfter {
		return
	}
	v.fenceAppendedAt = s.now
	s.appendRecord(message.Record{Fence: &message.Fence{VM: e.VM, Lease: recorded.Lease}})
}

// lapseAttempts closes the attempts of a fenced VM as lapsed once its lease has
// certainly expired: after the hold time, a margin for clock drift and the
// delay of this entry's rank. A VM without open attempts is later removed from
// the state.
func (s *step) lapseAttempts(v *vmState, recorded *taskreducer.VM, rank time.Duration) {
	waited := s.now.Sub(v.fencedAt)
	if waited < s.Hold+s.Hold/driftMargin+rank*RankDelay {
		return
	}
	if s.State.OpenCount(v.Name) == 0 {
		if waited > ForgetAfter+rank*RankDelay && !v.forgetAppended {
			v.forgetAppended = true
			s.appendRecord(message.Record{Forget: &message.Forget{VM: v.Name, Lease: recorded.Lease}})
		}
		return
	}
	s.State.ForEachOpen(v.Name, func(key taskreducer.TaskKey, _ *taskreducer.Run, task *taskreducer.Task) {
		s.appendClose(message.Close{Run: key.Run, Task: key.Task, Attempt: int(task.Attempt), Outcome: taskreducer.OutcomeLapsed, Fence: recorded.Fence})
	})
}
