package taskexecutor

import (
	"context"
	"time"

	"knapweedspur/internal/agent/taskadmitter"
	"knapweedspur/internal/client/workerclient"
	"knapweedspur/internal/wire/message"
)

// recordStatus stores a status, and reports the attempts that have ended since
// the last one.
func (r *Runner) recordStatus(now time.Time, s workerclient.Status) {
	r.status = s
	r.workerSeen = now
	newCloses := false
	for i := range s.Tasks {
		t := &s.Tasks[i]
		name := t.Name()
		if t.State != workerclient.StateEnded || !r.admitter.IsRunning(name) {
			continue
		}
		c := message.Close{Run: t.Run, Task: t.Task, Attempt: t.Attempt, Outcome: t.How, Checkpoint: t.Checkpoint}
		r.admitter.MarkEnded(name, r.placeOffsets[name], c)
		delete(r.placeOffsets, name)
		delete(r.stopRequested, name)
		r.unconfirmed[name] = c
		newCloses = true
	}
	if newCloses {
		r.reportCloses()
	}
}

// reportCloses sends all closes that are not confirmed to be in the log.
func (r *Runner) reportCloses() {
	if len(r.unconfirmed) == 0 {
		return
	}
	report := &message.Report{}
	for _, c := range r.unconfirmed {
		report.Closes = append(report.Closes, c)
	}
	r.sendCount++
	r.Outbox.SendToAny(r.sendCount, &message.Frame{Report: report})
}

func (r *Runner) confirmCloses(ctx context.Context, names []message.Attempt) error {
	var confirmed []message.Attempt
	for _, name := range names {
		if _, ok := r.unconfirmed[name]; ok {
			delete(r.unconfirmed, name)
			confirmed = append(confirmed, name)
		}
	}
	if len(confirmed) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Forget(ctx, r.claimant, confirmed)
}

func (r *Runner) handleStart(ctx context.Context, m StartReceived) error {
	s := m.Start
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	if !r.lease.Ready(r.status.Clock) {
		return nil
	}
	switch d := r.admitter.Decide(s).(type) {
	case taskadmitter.Accept:
		r.placeOffsets[name] = s.Offset
		if err := r.startTask(ctx, s); err != nil {
			return err
		}
		m.Reply(startedFrame(name))
	case taskadmitter.AlreadyRunning:
		// Start is idempotent on the worker, so repeating it recovers from a
		// start that failed before.
		if err := r.startTask(ctx, s); err != nil {
			return err
		}
		m.Reply(startedFrame(name))
	case taskadmitter.Refuse:
		r.Logger.Info("task refused", "run", s.Run, "task", s.Task, "attempt", s.Attempt, "reason", d.Reason)
		r.unconfirmed[name] = message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, Outcome: "refused"}
		r.reportCloses()
	case taskadmitter.AlreadyEnded:
		r.unconfirmed[name] = d.Close
		r.reportCloses()
	case taskadmitter.Ignore:
	}
	return nil
}

func startedFrame(name message.Attempt) *message.Frame {
	return &message.Frame{Started: &message.Started{Attempts: []message.Attempt{name}}}
}

func (r *Runner) startTask(ctx context.Context, s *message.Start) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Start(ctx, r.claimant, workerclient.Task{
		Run: s.Run, Task: s.Task, Attempt: s.Attempt, Job: s.Job, Size: s.Size, Checkpoint: s.Checkpoint,
	})
}

func (r *Runner) handleStop(ctx context.Context, s *message.Stop) error {
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	if r.admitter.IsRunning(name) {
		return r.stopTask(ctx, name, s.Checkpoint)
	}
	if r.admitter.Lease > 0 && r.admitter.RefuseUnstarted(name, s.Offset) {
		r.unconfirmed[name] = message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, Outcome: "refused"}
	}
	r.reportCloses()
	return nil
}

func (r *Runner) stopTask(ctx context.Context, name message.Attempt, checkpoint bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Stop(ctx, r.claimant, name, checkpoint)
}
