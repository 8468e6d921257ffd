// Package supervisor is the only voice to the worker of its VM. It extends the
// lease while an entry vouches for the session, carries out orders, and
// reports what runs and what ended.
package supervisor

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/clock/bootclock"
	"knapweedspur/internal/sidecar/workercontroller"
	"knapweedspur/internal/wire/work"
)

const (
	// pollWait is how long a poll of the worker waits for an end. The lease is
	// extended with each poll.
	pollWait = 250 * time.Millisecond
	// pacingWait is the same while runs that fill work beside runs that serve:
	// a latency is that of the last half second, so four figures show its course.
	pacingWait = 125 * time.Millisecond
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
type Supervisor struct {
	Worker workercontroller.Worker
	Logger hclog.Logger
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
	// Pacer decides at which share runs work that fill.
	Pacer Pacer
	// Clock is the time since boot, Steady the same without the time that the
	// VM was suspended; Init sets those of the VM where they are nil.
	Clock, Steady func() time.Duration
	// Changed is called when there is something new to report.
	OnChange func()
	// Begun is called when the worker has confirmed a session.
	OnSessionStart func()
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
	// pacing keeps calls that set paces in order.
	pacing sync.Mutex
	group  sync.WaitGroup
}

// session is the right to order the worker.
type session struct {
	vm   string
	born int64
	// fence is what was granted, current what the worker has confirmed.
	fence, current int64
}

// Pacer decides at which share runs that fill may work.
type Pacer interface {
	// Decide returns the new paces, in percent, of runs that should change.
	Decide(active []work.Active, starts map[string]work.Start, capacity work.Size, now time.Duration) map[work.Stop]int
	// Confirm takes the worker's word that a pace is in force.
	Confirm(run work.Stop, percent int)
	// Adopt takes a run whose pace is not known.
	Adopt(run work.Stop)
	// Learn takes what the leader knows of kinds of tasks.
	Learn(presses []work.Press)
}

// Init prepares the warden. It must be called before any other method.
func (w *Supervisor) Init() {
	w.Done = make(chan struct{})
	if w.Clock == nil {
		w.Clock, w.Steady = bootclock.Now, bootclock.Steady
	}
	w.signal = make(chan struct{}, 1)
	w.slots = make(chan struct{}, parallel)
	w.reset()
}

// reset forgets the runs of a worker's life.
func (w *Supervisor) reset() {
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
func (w *Supervisor) Announce(v work.Vitals, number int64, now time.Time) {
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
	w.OnChange()
}

// Leave takes the last word of the worker.
func (w *Supervisor) Leave(vm string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if vm != w.vitals.VM || w.gone {
		return
	}
	w.gone = true
	w.Logger.Info("worker gone", "vm", vm)
	w.OnChange()
}

// Vitals returns what the worker said last, and whether it said anything.
func (w *Supervisor) Vitals() (work.Vitals, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vitals, w.vitals.VM != ""
}

// Beat returns a heartbeat for an entry.
func (w *Supervisor) Beat(number int64) *work.Beat {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &work.Beat{Number: number, Fence: w.session.current, VM: w.vitals.VM, Born: w.vitals.Born}
}

// Vouched takes the proof that the log held a session at a moment.
func (w *Supervisor) Vouched(beat *work.Beat, moment time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if beat.Fence == 0 || beat.Fence != w.session.current || beat.Born != w.session.born || beat.VM != w.session.vm {
		return
	}
	if w.evidence == 0 {
		w.OnChange()
	}
	w.evidence = max(w.evidence, moment)
}

// Unvouched says that a session has begun that no entry has vouched for yet.
func (w *Supervisor) Unvouched() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.session.fence > 0 && w.evidence == 0
}

// Grant takes a session.
func (w *Supervisor) Grant(g *work.Grant) {
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
func (w *Supervisor) Report(epoch int64) *work.Report {
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

func (w *Supervisor) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}
