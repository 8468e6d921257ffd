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
	// stopRetry is the pause between two tries of a stop that must be confirmed.
	stopRetry = 100 * time.Millisecond
	// listWait is how long a run that the worker calls known may be missing
	// from its lists until it is taken to be over.
	listWait = 2 * pollWait
)

// Orders carries out orders of the leader.
func (w *Supervisor) Orders(ctx context.Context, o *work.Orders) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Epoch < w.epoch {
		w.Logger.Warn("orders of an older leader passed over", "epoch", o.Epoch, "current", w.epoch)
		return
	}
	if o.Epoch > w.epoch {
		w.epoch, w.handled = o.Epoch, 0
	}
	if o.Fence != w.session.current || w.session.current == 0 {
		w.Logger.Info("orders for another session passed over", "fence", o.Fence, "current", w.session.current)
		return
	}
	w.handled = max(w.handled, o.Number)
	if o.Seen > w.seen {
		w.forget(o.Seen)
	}
	if len(o.Presses) > 0 && w.Pacer != nil {
		w.Pacer.Learn(o.Presses)
	}
	for i := range o.Kinds {
		w.describe(&o.Kinds[i])
	}
	for _, run := range o.Settled {
		delete(w.voids, run)
	}
	for _, s := range o.Starts {
		w.start(ctx, s)
	}
	for _, s := range o.Stops {
		w.group.Go(func() { w.stop(ctx, w.lockedCall(), s) })
	}
	w.OnChange()
}

// describe takes the kind of a run that an earlier process of the agent
// started, and may have paced.
func (w *Supervisor) describe(s *work.Start) {
	for i := range w.active {
		a := &w.active[i]
		if !a.Unknown || a.Task != s.Task || a.Run != s.Run {
			continue
		}
		a.Unknown = false
		w.starts[s.Task] = *s
		if w.Pacer != nil && s.Fills {
			w.Pacer.Adopt(work.Stop{Task: s.Task, Run: s.Run})
		}
	}
}

// forget drops ends that are in the log.
func (w *Supervisor) forget(seen int64) {
	w.seen = seen
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.Number > seen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	w.wake()
}

func (w *Supervisor) lockedCall() workercontroller.Call {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.call()
}

// known says whether a run was started here and is not settled yet.
func (w *Supervisor) known(run work.Stop) bool {
	if _, void := w.voids[run]; void || w.pending[run] {
		return true
	}
	for i := range w.active {
		if w.active[i].Task == run.Task && w.active[i].Run >= run.Run {
			return true
		}
	}
	for i := range w.ends {
		if w.ends[i].Task == run.Task && w.ends[i].Run >= run.Run {
			return true
		}
	}
	return false
}

// start begins to start a run.
func (w *Supervisor) start(ctx context.Context, s work.Start) {
	run := work.Stop{Task: s.Task, Run: s.Run}
	if w.known(run) {
		return
	}
	if w.vitals.Draining || w.gone {
		w.voids[run] = "draining"
		return
	}
	if w.lapsed {
		w.voids[run] = "lapsed"
		return
	}
	until := w.until()
	if until == 0 {
		w.voids[run] = "unvouched"
		return
	}
	w.pending[run] = true
	w.starts[s.Task] = s
	call := workercontroller.StartCall{Call: w.call(), Start: s, Until: until}
	w.group.Go(func() { w.carryOut(ctx, call, run) })
}

// carryOut sends a start to the worker and settles what became of it.
func (w *Supervisor) carryOut(ctx context.Context, call workercontroller.StartCall, run work.Stop) {
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	began := w.Clock()
	rejection, err := w.Worker.Start(ctx, call)
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, workercontroller.ErrWorkerRestarted):
		w.settle(call.Call, run, "reborn")
	case err != nil:
		w.Logger.Warn("start without an answer", "task", run.Task, "run", run.Run, "error", err.Error(), "took", (w.Clock() - began).String())
		if w.stop(ctx, call.Call, run) {
			w.await(ctx, call.Call, run, "unanswered")
		}
	case rejection == workercontroller.Accepted:
		w.accepted(call.Call, run)
		if call.Start.Fills {
			// It works in full until it is told its pace.
			w.pace(ctx)
		}
	case rejection == workercontroller.Outdated:
		w.await(ctx, call.Call, run, string(rejection))
	default:
		w.Logger.Info("start rejected", "task", run.Task, "run", run.Run, "reason", string(rejection), "until", call.Until.String())
		w.settle(call.Call, run, string(rejection))
	}
}

// accepted takes the worker's word that a run is there.
func (w *Supervisor) accepted(call workercontroller.Call, run work.Stop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.Fence != w.session.fence || !w.pending[run] {
		return
	}
	delete(w.pending, run)
	w.answered = w.Clock()
	for i := range w.active {
		if w.active[i].Task == run.Task && w.active[i].Run == run.Run {
			return
		}
	}
	for i := range w.ends {
		if w.ends[i].Task == run.Task && w.ends[i].Run == run.Run {
			return
		}
	}
	w.active = append(w.active, work.Active{Task: run.Task, Run: run.Run, Pace: 100})
}

// await waits until the worker's lists would show a run, and takes it to be
// over if they do not.
func (w *Supervisor) await(ctx context.Context, call workercontroller.Call, run work.Stop, reason string) {
	w.mu.Lock()
	since := w.Clock()
	w.mu.Unlock()
	for ctx.Err() == nil {
		waiter.Pause(ctx, listWait)
		w.mu.Lock()
		listed := !w.pending[run]
		polled := w.clock.came > since+listWait/2
		w.mu.Unlock()
		if listed {
			return
		}
		if polled {
			w.settle(call, run, reason)
			return
		}
	}
}

// settle notes that a run did not start and never will.
func (w *Supervisor) settle(call workercontroller.Call, run work.Stop, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.Fence != w.session.fence || !w.pending[run] {
		return
	}
	delete(w.pending, run)
	delete(w.starts, run.Task)
	w.voids[run] = reason
	w.OnChange()
}

// stop stops a run. It returns true once the worker has confirmed it.
func (w *Supervisor) stop(ctx context.Context, call workercontroller.Call, run work.Stop) bool {
	for tries := 0; ctx.Err() == nil; tries++ {
		err := w.Worker.Stop(ctx, call, run)
		if err == nil {
			w.wake()
			return true
		}
		if errors.Is(err, workercontroller.ErrWorkerRestarted) || w.lockedCall().Fence != call.Fence {
			return false
		}
		if tries == 0 {
			w.Logger.Warn("stop without an answer", "task", run.Task, "run", run.Run, "error", err.Error())
		}
		waiter.Pause(ctx, stopRetry)
	}
	return false
}

// pace sets the shares that the pacer decides, one call after the other so that
// a newer decision is never overtaken by an older one.
func (w *Supervisor) pace(ctx context.Context) {
	if w.Pacer == nil {
		return
	}
	w.pacing.Lock()
	defer w.pacing.Unlock()
	w.mu.Lock()
	changes := w.Pacer.Decide(w.active, w.starts, w.vitals.Size, w.Clock())
	call := w.call()
	w.mu.Unlock()
	for run, percent := range changes {
		if err := w.Worker.Pace(ctx, call, run, percent); err != nil {
			w.Logger.Warn("pace without an answer", "task", run.Task, "run", run.Run, "percent", percent, "error", err.Error())
			continue
		}
		w.mu.Lock()
		w.Pacer.Confirm(run, percent)
		w.paces[run] = percent
		w.mu.Unlock()
	}
}
