package taskexecutor

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/agent/leaseholder"
	"knapweedspur/internal/wire/message"
)

// view takes the answer to a probe.
func (r *Runner) view(ctx context.Context, v *message.View) error {
	sent, ok := r.probes[v.Number]
	if !ok {
		return nil
	}
	switch s := r.lease.HandleView(sent, v).(type) {
	case leaseholder.Live:
		return r.live(ctx, s, v)
	case leaseholder.Fenced:
		return r.fenced(ctx, s)
	case leaseholder.NotJoined:
		r.rejoin(s.NextLease)
	case leaseholder.Superseded:
		return ErrSuperseded
	case leaseholder.Stale:
	}
	return nil
}

// live extends the lease. The first view of a new lease also tells which of
// the attempts held the log has carried over; the others are stopped.
func (r *Runner) live(ctx context.Context, s leaseholder.Live, v *message.View) error {
	if r.ledger.Lease != r.lease.Lease {
		if !r.carried(ctx, v) {
			return nil
		}
		r.ledger.SetLease(r.lease.Lease)
		r.whole = false
		r.Logger.Info("lease begins", "lease", r.lease.Lease)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Extend(ctx, r.agent, s.ExpiresAt)
}

// carried stops the attempts that the log no longer has open here. It returns
// true when none of them is left.
func (r *Runner) carried(ctx context.Context, v *message.View) bool {
	if !v.Whole {
		r.whole = true
		return false
	}
	open := map[message.Attempt]bool{}
	for _, a := range v.Open {
		open[a] = true
	}
	clean := true
	for _, name := range r.ledger.RunningAttempts() {
		if open[name] {
			continue
		}
		clean = false
		if err := r.halt(ctx, name, false); err != nil {
			r.Logger.Warn("cannot stop a task that is not this VM's", "run", name.Run, "task", name.Task, "error", err)
		}
	}
	return clean
}

// fenced stops all tasks, and joins anew when none is left.
func (r *Runner) fenced(ctx context.Context, s leaseholder.Fenced) error {
	for _, name := range r.ledger.RunningAttempts() {
		if r.stopped[name] {
			continue
		}
		if err := r.halt(ctx, name, true); err != nil {
			return err
		}
		r.stopped[name] = true
	}
	if r.ledger.RunningCount() > 0 {
		return nil
	}
	r.rejoin(s.Lease + 1)
	return nil
}

// rejoin asks for a lease number, with what the worker runs and what has ended
// there while the log does not know of it yet: the fold closes the rest. After
// a new boot, which carries nothing over, it waits until the log knows.
func (r *Runner) rejoin(lease int) {
	if r.rebooted && len(r.unsaid) > 0 {
		r.say()
		return
	}
	held := r.ledger.RunningAttempts()
	for name := range r.unsaid {
		held = append(held, name)
	}
	r.whole = true
	r.turn++
	r.Outbox.SendToAny(r.turn, &message.Frame{Rejoin: &message.Rejoin{
		Lease: lease, Boot: r.boot, Agent: r.agent, Size: r.ledger.Capacity, Held: held,
	}})
}

// tick sends probes and says again what is not known to have arrived.
func (r *Runner) tick(ctx context.Context, now time.Time) {
	r.say()
	stamp, err := r.stamp(ctx)
	if err != nil {
		r.Logger.Debug("the worker does not tell its clock", "error", err)
		return
	}
	r.seen = now
	r.probe++
	r.probes[r.probe] = stamp
	delete(r.probes, r.probe-probeMemory)
	r.Outbox.SendProbe(&message.Probe{Number: r.probe, Whole: r.whole})
}

// probeMemory is how many probes may wait for their answers.
const probeMemory = 64

// stamp returns the worker's clock as it was before the call returned.
func (r *Runner) stamp(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.Worker.Watch(ctx, r.agent, -1, 0)
	if err != nil {
		return 0, err
	}
	if s.Boot != r.boot {
		return 0, errors.New("the VM has booted anew")
	}
	r.status.Clock = s.Clock
	return s.Clock, nil
}
