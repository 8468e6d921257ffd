package taskexecutor

import (
	"context"
	"time"

	"knapweedspur/internal/agent/taskadmitter"
	"knapweedspur/internal/client/workerclient"
	"knapweedspur/internal/wire/message"
)

// observe notes which attempts have ended and reports them.
func (r *Runner) observe(now time.Time, s workerclient.Status) {
	r.status = s
	r.seen = now
	fresh := false
	for i := range s.Tasks {
		t := &s.Tasks[i]
		name := t.Name()
		if t.State != workerclient.StateEnded || !r.ledger.IsRunning(name) {
			continue
		}
		c := message.Close{Run: t.Run, Task: t.Task, Attempt: t.Attempt, How: t.How, Checkpoint: t.Checkpoint}
		r.ledger.MarkEnded(name, r.offsets[name], c)
		delete(r.offsets, name)
		delete(r.stopped, name)
		r.unsaid[name] = c
		fresh = true
	}
	if fresh {
		r.say()
	}
}

// say reports the closes that the log is not known to have.
func (r *Runner) say() {
	if len(r.unsaid) == 0 {
		return
	}
	report := &message.Report{}
	for _, c := range r.unsaid {
		report.Closes = append(report.Closes, c)
	}
	r.turn++
	r.Outbox.SendToAny(r.turn, &message.Frame{Report: report})
}

func (r *Runner) taken(ctx context.Context, names []message.Attempt) error {
	var known []message.Attempt
	for _, name := range names {
		if _, ok := r.unsaid[name]; ok {
			delete(r.unsaid, name)
			known = append(known, name)
		}
	}
	if len(known) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Forget(ctx, r.agent, known)
}

func (r *Runner) start(ctx context.Context, m StartReceived) error {
	s := m.Start
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	if !r.lease.Ready(r.status.Clock) {
		return nil
	}
	switch d := r.ledger.Decide(s).(type) {
	case taskadmitter.Accept:
		r.offsets[name] = s.Offset
		if err := r.begin(ctx, s); err != nil {
			return err
		}
		m.Reply(started(name))
	case taskadmitter.AlreadyRunning:
		// The worker treats a second start as the first, so one that failed is made up for.
		if err := r.begin(ctx, s); err != nil {
			return err
		}
		m.Reply(started(name))
	case taskadmitter.Refuse:
		r.Logger.Info("refused a task", "run", s.Run, "task", s.Task, "attempt", s.Attempt, "reason", d.Reason)
		r.unsaid[name] = message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, How: "refused"}
		r.say()
	case taskadmitter.AlreadyEnded:
		r.unsaid[name] = d.Close
		r.say()
	case taskadmitter.Ignore:
	}
	return nil
}

func started(name message.Attempt) *message.Frame {
	return &message.Frame{Started: &message.Started{Attempts: []message.Attempt{name}}}
}

func (r *Runner) begin(ctx context.Context, s *message.Start) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Start(ctx, r.agent, workerclient.Task{
		Run: s.Run, Task: s.Task, Attempt: s.Attempt, Job: s.Job, Size: s.Size, Checkpoint: s.Checkpoint,
	})
}

func (r *Runner) stop(ctx context.Context, s *message.Stop) error {
	name := message.Attempt{Run: s.Run, Task: s.Task, Attempt: s.Attempt}
	if r.ledger.IsRunning(name) {
		return r.halt(ctx, name, s.Checkpoint)
	}
	if r.ledger.Lease > 0 && r.ledger.RefuseUnstarted(name, s.Offset) {
		r.unsaid[name] = message.Close{Run: s.Run, Task: s.Task, Attempt: s.Attempt, How: "refused"}
	}
	r.say()
	return nil
}

func (r *Runner) halt(ctx context.Context, name message.Attempt, checkpoint bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Stop(ctx, r.agent, name, checkpoint)
}
