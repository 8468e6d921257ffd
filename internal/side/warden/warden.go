// Package warden is the only voice to the worker of its VM. It extends the
// lease while an entry vouches for the session, carries out orders, and
// reports what runs and what ended.
package warden

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/booter"
	"knapweedspur/internal/side/executor"
	"knapweedspur/internal/wire/work"
)

const (
	// pollWait is how long a poll of the worker waits for an end. The lease is
	// extended with each poll.
	pollWait = 250 * time.Millisecond
	// seenPause is how long a poll is put off while ends wait for the log.
	seenPause = 60 * time.Millisecond
	// retryPause is the pause after a poll that failed.
	retryPause = 60 * time.Millisecond
	// clockDrift is by how much the worker's steady clock may be slow, with a
	// margin of half as much again.
	clockDrift = 0.03
	// lapseSlack is added to a lease that must be over.
	lapseSlack = 100 * time.Millisecond
	// muteLimit is how long a worker may not answer and still have its lease
	// extended: four polls.
	muteLimit = time.Second
	// parallel starts are under way at most.
	parallel = 16
)

// Warden guards one VM.
type Warden struct {
	Worker executor.Worker
	Logger hclog.Logger
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
	// Pacer decides at which share runs work that fill.
	Pacer Pacer
	// Clock is the time since boot, Steady the same without the time that the
	// VM was suspended; Init sets those of the VM where they are nil.
	Clock, Steady func() time.Duration
	// Changed is called when there is something new to report.
	Changed func()
	// Begun is called when the worker has confirmed a session.
	Begun func()
	// Done is closed when Run has returned.
	Done chan struct{}

	mu     sync.Mutex
	vitals work.Vitals
	number int64
	gone   bool

	session session
	// evidence is the newest moment, on the boot clock, at which the log was
	// known to hold the session.
	evidence time.Duration
	epoch    int64
	handled  int64
	seen     int64

	active  []work.Active
	ends    []work.End
	pending map[work.Stop]bool
	voids   map[work.Stop]string
	starts  map[string]work.Start
	paces   map[work.Stop]int
	clock   mapping
	// promised is the latest end of a lease that the worker may have taken, on
	// its own clock.
	promised time.Duration
	answered time.Duration
	lapsed   bool

	signal chan struct{}
	slots  chan struct{}
	group  sync.WaitGroup
}

// session is the right to order the worker.
type session struct {
	vm   string
	born int64
	// fence is what was granted, current what the worker has confirmed.
	fence, current int64
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

// Pacer decides at which share runs that fill may work.
type Pacer interface {
	// Decide returns the new paces, in percent, of runs that should change.
	Decide(active []work.Active, starts map[string]work.Start, capacity work.Size, now time.Duration) map[work.Stop]int
	// Learn takes what the leader knows of kinds of tasks.
	Learn(presses []work.Press)
}

// Init prepares the warden. It must be called before any other method.
func (w *Warden) Init() {
	w.Done = make(chan struct{})
	if w.Clock == nil {
		w.Clock, w.Steady = booter.Now, booter.Steady
	}
	w.signal = make(chan struct{}, 1)
	w.slots = make(chan struct{}, parallel)
	w.reset()
}

// reset forgets the runs of a worker's life.
func (w *Warden) reset() {
	w.active, w.ends = nil, nil
	w.pending = map[work.Stop]bool{}
	w.voids = map[work.Stop]string{}
	w.starts = map[string]work.Start{}
	w.paces = map[work.Stop]int{}
	w.clock, w.promised, w.evidence = mapping{}, 0, 0
	w.seen, w.lapsed = 0, false
	w.session = session{}
	w.answered = w.Clock()
}

// Announce takes a heartbeat of the worker.
func (w *Warden) Announce(v work.Vitals, number int64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	older := v.Born < w.vitals.Born || v.Born == w.vitals.Born && v.VM == w.vitals.VM && number < w.number
	if w.vitals.VM != "" && older {
		w.Logger.Info("heartbeat passed over", "vm", v.VM, "born", v.Born, "number", number, "current", w.vitals.Born)
		return
	}
	if v.VM != w.vitals.VM || v.Born != w.vitals.Born {
		w.Logger.Info("worker found", "vm", v.VM, "born", v.Born, "pool", v.Pool, "former", w.vitals.Born)
		w.reset()
		w.gone = false
	}
	if v.Draining && !w.vitals.Draining {
		w.Logger.Info("worker drains", "vm", v.VM, "remaining", v.Remaining.String())
	}
	w.vitals, w.number = v, number
	w.wake()
	w.Changed()
}

// Leave takes the last word of the worker.
func (w *Warden) Leave(vm string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if vm != w.vitals.VM || w.gone {
		return
	}
	w.gone = true
	w.Logger.Info("worker gone", "vm", vm)
	w.Changed()
}

// Vitals returns what the worker said last, and whether it said anything.
func (w *Warden) Vitals() (work.Vitals, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vitals, w.vitals.VM != ""
}

// Beat returns a heartbeat for an entry.
func (w *Warden) Beat(number int64) *work.Beat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &work.Beat{Number: number, Fence: w.session.current, VM: w.vitals.VM, Born: w.vitals.Born}
}

// Vouched takes the proof that the log held a session at a moment.
func (w *Warden) Vouched(beat *work.Beat, moment time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if beat.Fence == 0 || beat.Fence != w.session.current || beat.Born != w.session.born || beat.VM != w.session.vm {
		return
	}
	if w.evidence == 0 {
		w.Changed()
	}
	w.evidence = max(w.evidence, moment)
}

// Unvouched says that a session has begun that no entry has vouched for yet.
func (w *Warden) Unvouched() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.session.fence > 0 && w.evidence == 0
}

// Grant takes a session.
func (w *Warden) Grant(g *work.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.VM != w.vitals.VM || g.Born != w.vitals.Born || g.Fence <= w.session.fence {
		return
	}
	w.Logger.Info("session granted", "vm", g.VM, "born", g.Born, "fence", g.Fence, "former", w.session.fence)
	w.session = session{vm: g.VM, born: g.Born, fence: g.Fence}
	w.evidence = 0
	w.wake()
}

// Report returns the state of the VM, nil while there is none to tell. The
// handled number counts for the given term only.
func (w *Warden) Report(epoch int64) *work.Report {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vitals.VM == "" {
		return nil
	}
	r := &work.Report{Fence: w.session.current, Vitals: w.vitals, Lapsed: w.lapsed, Gone: w.gone, Vouched: w.evidence > 0}
	if epoch == w.epoch {
		r.Handled = w.handled
	}
	if silent := w.Clock() - w.answered; silent > pollWait+seenPause {
		r.Mute = silent
	}
	if w.session.current == 0 {
		return r
	}
	r.Active, r.Ends = slices.Clone(w.active), slices.Clone(w.ends)
	for run := range w.pending {
		r.Pending = append(r.Pending, run)
	}
	for run, reason := range w.voids {
		r.Voids = append(r.Voids, work.Void{Task: run.Task, Run: run.Run, Reason: reason})
	}
	return r
}

func (w *Warden) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// Run polls the worker until the context ends.
func (w *Warden) Run(ctx context.Context) {
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
func (w *Warden) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.signal:
	case <-ctx.Done():
	}
}

// nextHold returns the next poll. The first under a new fence extends nothing
// and tells what runs.
func (w *Warden) nextHold() (executor.HoldCall, bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.vitals.VM == "" || w.session.fence == 0 || w.gone {
		return executor.HoldCall{}, false, false
	}
	call := executor.HoldCall{Call: w.call(), Seen: w.seen}
	if w.session.current == 0 {
		return call, true, true
	}
	call.Wait = pollWait
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

func (w *Warden) call() executor.Call {
	return executor.Call{VM: w.session.vm, Born: w.session.born, Fence: w.session.fence}
}

// until is the end of the lease on the worker's clock that the evidence
// allows, 0 for no extension.
func (w *Warden) until() time.Duration {
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
func (w *Warden) holdFailed(call executor.HoldCall, err error) {
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
	w.Changed()
}

// holdDone takes the answer to a poll. It returns true if ends wait for the log.
func (w *Warden) holdDone(call executor.HoldCall, state executor.State, sync bool, sent, came time.Duration) bool {
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
		if percent, ok := w.paces[work.Stop{Task: w.active[i].Task, Run: w.active[i].Run}]; ok {
			w.active[i].Pace = percent
		}
	}
	w.ends = w.ends[:0:0]
	for _, e := range state.Ends {
		if e.Number > w.seen {
			w.ends = append(w.ends, e)
		}
		delete(w.starts, e.Task)
	}
	w.settlePending(state)
	if changed {
		w.Changed()
	}
	return len(w.ends) > 0
}

// begin takes the worker's confirmation of a new fence: no older order can
// take effect any more.
func (w *Warden) begin(fence int64) {
	w.Logger.Info("session begins", "vm", w.session.vm, "born", w.session.born, "fence", fence)
	w.session.current = fence
	w.pending = map[work.Stop]bool{}
	w.voids = map[work.Stop]string{}
	w.lapsed = false
	w.evidence = 0
	w.Begun()
}

// differs says whether runs came or went since the last poll.
func (w *Warden) differs(state executor.State) bool {
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
func (w *Warden) settlePending(state executor.State) {
	for _, a := range state.Active {
		delete(w.pending, work.Stop{Task: a.Task, Run: a.Run})
	}
	for _, e := range state.Ends {
		delete(w.pending, work.Stop{Task: e.Task, Run: e.Run})
	}
}
