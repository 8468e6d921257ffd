// Package taskexecutor keeps the tasks of one VM: it holds the lease, takes or
// refuses starts, and reports how attempts ended.
package taskexecutor

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"knapweedspur/internal/agent/leaseholder"
	"knapweedspur/internal/agent/taskadmitter"
	"knapweedspur/internal/client/workerclient"
	"knapweedspur/internal/wire/message"
)

const (
	watchWait   = 500 * time.Millisecond
	callTimeout = 2 * time.Second
	retryPause  = 200 * time.Millisecond
	inboxSize   = 1024
	// lost is how long the worker may be silent before the VM says it has no
	// lease.
	lost = 3 * time.Second
)

// ErrSuperseded means that a later agent process has this VM.
var ErrSuperseded = errors.New("a later agent process has this VM; this one ends")

// Outbox sends frames to entries.
type Outbox interface {
	// Any sends a frame to one entry, another one for each turn.
	SendToAny(turn int, f *message.Frame)
	// Probe sends a probe to all connected entries.
	SendProbe(p *message.Probe)
}

// Inbound is what reaches the runner. The set is closed.
type Event interface{ inbound() }

// StartAsked is a start message. Reply sends to the entry that asked.
type StartReceived struct {
	Start *message.Start
	Reply func(*message.Frame)
}

// StopAsked is a stop message.
type StopReceived struct{ Stop *message.Stop }

// ViewCame is the answer to a probe.
type ViewReceived struct{ View *message.View }

// TakenCame names closes that the log has.
type ClosesConfirmed struct{ Taken *message.Taken }

type statusCame struct{ status workerclient.Status }

func (StartReceived) inbound() {}
func (StopReceived) inbound()  {}
func (ViewReceived) inbound()   {}
func (ClosesConfirmed) inbound()  {}
func (statusCame) inbound() {}

// Report is what the runner tells of itself.
type Report struct {
	Agent string
	Boot  string
	Capacity  message.Size
	Free  message.Size
	Lease int
	Tasks int
	WorkerSeen  time.Time
}

// Runner keeps the tasks of one VM. Set the exported fields, then Run.
type Runner struct {
	// Worker is the worker on this VM.
	Worker workerclient.Worker
	// Agent is this process's incarnation.
	Agent string
	// Outbox sends frames to entries.
	Outbox Outbox
	// Every is the time between probes.
	ProbeInterval time.Duration
	// Logger takes what happens.
	Logger hclog.Logger

	inbox  chan Event
	report atomic.Pointer[Report]

	boot string
	// rebooted means that the VM has booted anew under this process.
	rebooted bool
	takes    int
	agent    string
	status   workerclient.Status
	seen     time.Time
	lease    *leaseholder.Holder
	ledger   *taskadmitter.Admitter
	offsets  map[message.Attempt]uint64
	unsaid   map[message.Attempt]message.Close
	probes   map[uint64]time.Duration
	probe    uint64
	turn     int
	whole    bool
	stopped  map[message.Attempt]bool
}

// Init readies the inbox. Call it before Post.
func (r *Runner) Init() { r.inbox = make(chan Event, inboxSize) }

// Post hands something to the runner. It drops it when the runner is far
// behind; everything is said again in time.
func (r *Runner) Post(m Event) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Report returns what the runner last told of itself, or nil before it has
// taken the worker.
func (r *Runner) Report() *Report { return r.report.Load() }

// Run keeps the tasks until the context ends or a later agent has the VM.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.take(ctx); err != nil {
		return err
	}
	go r.watch(ctx)
	ticker := time.NewTicker(r.ProbeInterval)
	defer ticker.Stop()
	r.tick(ctx, time.Now())
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case m := <-r.inbox:
			err = r.handle(ctx, time.Now(), m)
		case now := <-ticker.C:
			r.tick(ctx, now)
		}
		if errors.Is(err, workerclient.ErrSuperseded) || errors.Is(err, ErrSuperseded) {
			return ErrSuperseded
		}
		if err != nil {
			r.Logger.Warn("a call to the worker failed", "error", err)
		}
		r.publish()
	}
}

// take takes the worker and rebuilds the ledger from what runs there.
func (r *Runner) take(ctx context.Context) error {
	r.takes++
	r.agent = fmt.Sprintf("%s.%d", r.Agent, r.takes)
	for {
		status, err := r.tryTake(ctx)
		if err == nil {
			r.adopt(time.Now(), status)
			return nil
		}
		r.Logger.Warn("the worker does not answer; trying again", "error", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryPause):
		}
	}
}

func (r *Runner) tryTake(ctx context.Context) (workerclient.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Take(ctx, r.agent)
}

// adopt begins anew with what the worker runs.
func (r *Runner) adopt(now time.Time, s workerclient.Status) {
	r.rebooted = r.boot != "" && r.boot != s.Boot
	r.boot = s.Boot
	r.lease = &leaseholder.Holder{Agent: r.agent}
	r.ledger = taskadmitter.New(s.Size)
	r.offsets = map[message.Attempt]uint64{}
	if r.unsaid == nil {
		r.unsaid = map[message.Attempt]message.Close{}
	}
	r.probes = map[uint64]time.Duration{}
	r.stopped = map[message.Attempt]bool{}
	r.whole = true
	for i := range s.Tasks {
		r.ledger.AddRunning(s.Tasks[i].Name(), s.Tasks[i].Size)
	}
	r.observe(now, s)
	r.publish()
}

func (r *Runner) publish() {
	lease := r.ledger.Lease
	if time.Since(r.seen) > lost {
		lease = 0
	}
	r.report.Store(&Report{
		Agent: r.agent, Boot: r.boot, Capacity: r.ledger.Capacity, Free: r.ledger.Free(), Lease: lease,
		Tasks: r.ledger.RunningCount(), WorkerSeen: r.seen,
	})
}

// watch posts each change of the worker's status.
func (r *Runner) watch(ctx context.Context) {
	revision := -1
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		status, err := r.Worker.Watch(call, r.Report().Agent, revision, watchWait)
		cancel()
		if errors.Is(err, workerclient.ErrSuperseded) {
			status = workerclient.Status{}
		} else if err != nil {
			sleep(ctx, retryPause)
			continue
		}
		revision = status.Revision
		select {
		case r.inbox <- statusCame{status: status}:
		case <-ctx.Done():
		}
		if err != nil {
			sleep(ctx, retryPause)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Runner) handle(ctx context.Context, now time.Time, m Event) error {
	switch m := m.(type) {
	case StartReceived:
		return r.start(ctx, m)
	case StopReceived:
		return r.stop(ctx, m.Stop)
	case ViewReceived:
		return r.view(ctx, m.View)
	case ClosesConfirmed:
		return r.taken(ctx, m.Taken.Attempts)
	case statusCame:
		return r.statusCame(ctx, now, m.status)
	}
	return nil
}

// statusCame takes a status. A new boot means that all of the old tasks are
// gone, and an empty one that the worker knows this agent no longer.
func (r *Runner) statusCame(ctx context.Context, now time.Time, s workerclient.Status) error {
	if s.Boot == "" {
		return r.displaced(ctx)
	}
	if s.Boot != r.boot {
		r.Logger.Info("the VM has booted anew", "boot", s.Boot)
		return r.take(ctx)
	}
	r.observe(now, s)
	return nil
}

// displaced tells a new boot, which knows no agent, from a later agent.
func (r *Runner) displaced(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.Worker.Watch(ctx, "", -1, 0)
	if err != nil || s.Boot == r.boot {
		return ErrSuperseded
	}
	return r.take(ctx)
}
