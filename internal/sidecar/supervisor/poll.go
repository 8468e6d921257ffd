package supervisor

import (
	"context"
	"time"

	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

// Run polls the worker until the context ends.
func (w *Supervisor) Run(ctx context.Context) {
	defer close(w.Done)
	for ctx.Err() == nil {
		call, sync, ok := w.nextHold()
		if !ok {
			w.sleep(ctx, pollWait)
			continue
		}
		sent := w.Clock()
		state, err := w.Worker.Hold(ctx, call)
		if err != nil {
			w.holdFailed(call, err)
			w.sleep(ctx, retryPause)
			continue
		}
		if w.holdDone(call, state, sync, sent, w.Clock()) {
			w.sleep(ctx, seenPause)
		}
		w.pace(ctx)
	}
	w.group.Wait()
}

// sleep waits for a signal, at most for a time.
func (w *Supervisor) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.signal:
	case <-ctx.Done():
	}
}

// mapping relates the worker's clock to the boot clock.
type mapping struct {
	worker time.Duration
	// sent and came are the boot clock around the answer with that time.
	sent, came time.Duration
	// steady is the steady clock when the answer came.
	steady    time.Duration
	suspended time.Duration
}

// nextHold returns the next poll. The first under a new fence extends nothing
// and tells what runs.
func (w *Supervisor) nextHold() (workercontroller.HoldCall, bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vitals.VM == "" || w.session.fence == 0 || w.gone {
		return workercontroller.HoldCall{}, false, false
	}
	call := workercontroller.HoldCall{Call: w.call(), Seen: w.seen}
	if w.session.current == 0 {
		return call, true, true
	}
	call.Wait = w.wait()
	if len(w.ends) > 0 {
		call.Wait = 0
	}
	if w.clock.sent == 0 || (w.Clock()-w.Steady())-w.clock.suspended > time.Millisecond {
		// The clocks must be compared anew before a lease is extended.
		call.Wait = 0
		return call, false, true
	}
	call.Until = w.until()
	return call, false, true
}

// wait is how long a poll may wait for an end.
func (w *Supervisor) wait() time.Duration {
	fills, serves := false, false
	for i := range w.active {
		start := w.starts[w.active[i].Task]
		fills = fills || start.Fills
		serves = serves || start.Target > 0
	}
	if w.Pacer != nil && fills && serves {
		return pacingWait
	}
	return pollWait
}

func (w *Supervisor) call() workercontroller.Call {
	return workercontroller.Call{VM: w.session.vm, Born: w.session.born, Fence: w.session.fence}
}

// until is the end of the lease on the worker's clock that the evidence
// allows, 0 for no extension.
func (w *Supervisor) until() time.Duration {
	if w.evidence == 0 || w.lapsed {
		return 0
	}
	if w.Clock()-w.answered > muteLimit {
		// A worker that does not answer gets no longer lease, so that its
		// tasks can go on elsewhere soon.
		return w.promised
	}
	clock := w.clock.worker - (w.clock.sent - w.evidence)
	if w.evidence > w.clock.came {
		clock = w.clock.worker + (w.evidence - w.clock.came)
	} else if w.evidence > w.clock.sent {
		clock = w.clock.worker
	}
	until := (clock + w.MaxLease).Truncate(time.Millisecond)
	if until <= w.promised {
		return w.promised
	}
	w.promised = until
	return until
}

// holdFailed takes a poll without a useful answer.
func (w *Supervisor) holdFailed(call workercontroller.HoldCall, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.Fence != w.session.fence {
		return
	}
	now := w.Clock()
	if now-w.answered > pollWait && !w.lapsed && w.clock.came > 0 {
		left := time.Duration(float64(w.promised-w.clock.worker) * (1 + clockDrift))
		if w.Steady() > w.clock.steady+left+lapseSlack {
			w.Logger.Warn("lease over on a worker that does not answer", "vm", call.VM, "fence", call.Fence, "silent", (now - w.answered).String(), "error", err.Error())
			w.lapsed = true
		}
	}
	w.OnChange()
}

// holdDone takes the answer to a poll. It returns true if ends wait for the log.
func (w *Supervisor) holdDone(call workercontroller.HoldCall, state workercontroller.State, sync bool, sent, came time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.Fence != w.session.fence || call.Born != w.session.born || call.VM != w.session.vm {
		return false
	}
	if sync {
		w.begin(call.Fence)
	}
	w.answered = came
	// A long wait would blur the comparison of the clocks.
	w.clock = mapping{worker: state.Clock, sent: came - min(came-sent, pollWait/10), came: came, steady: w.Steady(), suspended: (w.Clock() - w.Steady())}
	if call.Wait == 0 {
		w.clock.sent = sent
	}
	changed := sync || w.differs(state)
	w.active = state.Active
	for i := range w.active {
		_, known := w.starts[w.active[i].Task]
		w.active[i].Unknown = !known
		if percent, ok := w.paces[work.Stop{Task: w.active[i].Task, Run: w.active[i].Run}]; ok {
			w.active[i].Pace = percent
		}
	}
	w.ends = w.ends[:0:0]
	for _, e := range state.Ends {
		if e.Number > w.seen {
			w.ends = append(w.ends, e)
		}
		delete(w.paces, work.Stop{Task: e.Task, Run: e.Run})
		if w.starts[e.Task].Run == e.Run {
			delete(w.starts, e.Task)
		}
	}
	w.settlePending(state)
	if changed {
		w.OnChange()
	}
	return len(w.ends) > 0
}

// begin takes the worker's confirmation of a new fence: no older order can
// take effect any more.
func (w *Supervisor) begin(fence int64) {
	w.Logger.Info("session begins", "vm", w.session.vm, "born", w.session.born, "fence", fence)
	w.session.current = fence
	w.pending = map[work.Stop]bool{}
	w.voids = map[work.Stop]string{}
	w.lapsed = false
	w.evidence = 0
	w.OnSessionStart()
}

// differs says whether runs came or went since the last poll.
func (w *Supervisor) differs(state workercontroller.State) bool {
	if len(state.Active) != len(w.active) || len(state.Ends) != len(w.ends) {
		return true
	}
	for i := range state.Active {
		if state.Active[i].Task != w.active[i].Task || state.Active[i].Run != w.active[i].Run {
			return true
		}
	}
	return false
}

// settlePending drops starts from the list of those under way once the worker
// lists them.
func (w *Supervisor) settlePending(state workercontroller.State) {
	for _, a := range state.Active {
		delete(w.pending, work.Stop{Task: a.Task, Run: a.Run})
	}
	for _, e := range state.Ends {
		delete(w.pending, work.Stop{Task: e.Task, Run: e.Run})
	}
}
