package taskexecutor

import (
	"context"
	"errors"
	"time"

	"knapweedspur/internal/agent/leaseholder"
	"knapweedspur/internal/wire/message"
)

// handleView processes the answer to a probe.
func (r *Runner) handleView(ctx context.Context, v *message.LeaseView) error {
	sent, ok := r.probeTimes[v.Number]
	if !ok {
		return nil
	}
	switch s := r.lease.HandleView(sent, v).(type) {
	case leaseholder.Live:
		return r.extendLease(ctx, s, v)
	case leaseholder.Fenced:
		return r.handleFence(ctx, s)
	case leaseholder.NotJoined:
		r.rejoin(s.NextLease)
	case leaseholder.Superseded:
		return ErrSuperseded
	case leaseholder.Stale:
	}
	return nil
}

// extendLease extends the lease on the worker. The first view of a new lease
// also lists the running attempts that the log carried over to it; the others
// are stopped first.
func (r *Runner) extendLease(ctx context.Context, s leaseholder.Live, v *message.LeaseView) error {
	if r.admitter.Lease != r.lease.Lease {
		if !r.stopAttemptsNotCarriedOver(ctx, v) {
			return nil
		}
		r.admitter.SetLease(r.lease.Lease)
		r.wantOpenAttempts = false
		r.Logger.Info("lease acquired", "lease", r.lease.Lease)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Extend(ctx, r.claimant, s.ExpiresAt)
}

// stopAttemptsNotCarriedOver stops the running attempts that are no longer open
// on this VM in the log. It returns true if there are none.
func (r *Runner) stopAttemptsNotCarriedOver(ctx context.Context, v *message.LeaseView) bool {
	if !v.HasAttempts {
		r.wantOpenAttempts = true
		return false
	}
	open := map[message.Attempt]bool{}
	for _, a := range v.OpenAttempts {
		open[a] = true
	}
	allCarriedOver := true
	for _, name := range r.admitter.RunningAttempts() {
		if open[name] {
			continue
		}
		allCarriedOver = false
		if err := r.stopTask(ctx, name, false); err != nil {
			r.Logger.Warn("cannot stop a task that was not carried over to the new lease", "run", name.Run, "task", name.Task, "error", err)
		}
	}
	return allCarriedOver
}

// handleFence stops all tasks, and joins again once none is running.
func (r *Runner) handleFence(ctx context.Context, s leaseholder.Fenced) error {
	for _, name := range r.admitter.RunningAttempts() {
		if r.stopRequested[name] {
			continue
		}
		if err := r.stopTask(ctx, name, true); err != nil {
			return err
		}
		r.stopRequested[name] = true
	}
	if r.admitter.RunningCount() > 0 {
		return nil
	}
	r.rejoin(s.Lease + 1)
	return nil
}

// rejoin requests a new lease. The request lists the attempts that the worker
// runs and those that have ended there without a confirmed close; the reducer
// closes all other open attempts of the VM. After a reboot, which carries
// nothing over, it first waits until the log has the closes.
func (r *Runner) rejoin(lease int) {
	if r.rebooted && len(r.unconfirmed) > 0 {
		r.reportCloses()
		return
	}
	held := r.admitter.RunningAttempts()
	for name := range r.unconfirmed {
		held = append(held, name)
	}
	r.wantOpenAttempts = true
	r.sendCount++
	r.Outbox.SendToAny(r.sendCount, &message.Frame{Rejoin: &message.Rejoin{
		Lease: lease, Boot: r.boot, Agent: r.claimant, Size: r.admitter.Capacity, HeldAttempts: held,
	}})
}

// probeLease sends a probe, and resends closes that are not confirmed yet.
func (r *Runner) probeLease(ctx context.Context, now time.Time) {
	r.reportCloses()
	clock, err := r.readWorkerClock(ctx)
	if err != nil {
		r.Logger.Debug("cannot read the clock of the worker", "error", err)
		return
	}
	r.workerSeen = now
	r.lastProbe++
	r.probeTimes[r.lastProbe] = clock
	delete(r.probeTimes, r.lastProbe-maxPendingProbes)
	r.Outbox.SendProbe(&message.Probe{Number: r.lastProbe, WithAttempts: r.wantOpenAttempts})
}

// maxPendingProbes is the number of probes that may be awaiting an answer.
const maxPendingProbes = 64

// readWorkerClock returns the worker's clock, read before the call returned.
func (r *Runner) readWorkerClock(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.Worker.Watch(ctx, r.claimant, -1, 0)
	if err != nil {
		return 0, err
	}
	if s.Boot != r.boot {
		return 0, errors.New("the VM has rebooted")
	}
	r.status.Clock = s.Clock
	return s.Clock, nil
}
