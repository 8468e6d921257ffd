// Package taskexecutor runs the tasks of one VM: it holds the lease, accepts or
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
	watchWait      = 500 * time.Millisecond
	callTimeout    = 2 * time.Second
	retryDelay     = 200 * time.Millisecond
	eventQueueSize = 1024
	// workerTimeout is how long the worker may be unresponsive before the report
	// shows no lease.
	workerTimeout = 3 * time.Second
)

// ErrSuperseded means that a later agent process has taken over this VM.
var ErrSuperseded = errors.New("a later agent process has taken over this VM")

// Outbox sends frames to entries.
type Outbox interface {
	// SendToAny sends a frame to one connected entry. It tries the entries in
	// order, starting at index first modulo their number.
	SendToAny(first int, f *message.Frame)
	// SendProbe sends a probe to all connected entries.
	SendProbe(p *message.Probe)
}

// Event is an input of the runner. Only the types in this package implement it.
type Event interface{ event() }

// StartReceived carries a start message. Reply sends a frame to the entry that
// sent it.
type StartReceived struct {
	Start *message.Start
	Reply func(*message.Frame)
}

// StopReceived carries a stop message.
type StopReceived struct{ Stop *message.Stop }

// ViewReceived carries the answer to a probe.
type ViewReceived struct{ View *message.LeaseView }

// ClosesConfirmed carries a message that lists attempts whose closes are in the
// log.
type ClosesConfirmed struct{ Ack *message.ReportAck }

type statusReceived struct{ status workerclient.Status }

func (StartReceived) event()   {}
func (StopReceived) event()    {}
func (ViewReceived) event()    {}
func (ClosesConfirmed) event() {}
func (statusReceived) event()  {}

// Report is the runner's published state.
type Report struct {
	// Agent is the name used for the latest claim of the worker.
	Agent      string
	Boot       string
	Capacity   message.Size
	Free       message.Size
	Lease      int
	Tasks      int
	WorkerSeen time.Time
}

// Runner runs the tasks of one VM. Set the exported fields, then call Init and
// Run.
type Runner struct {
	// Worker is the worker on this VM.
	Worker workerclient.Worker
	// Incarnation identifies this agent process among all that ever ran.
	Incarnation string
	// Outbox sends frames to entries.
	Outbox Outbox
	// ProbeInterval is the time between probes.
	ProbeInterval time.Duration
	Logger        hclog.Logger

	events chan Event
	report atomic.Pointer[Report]

	boot string
	// rebooted is set when the VM has rebooted while this process was running.
	rebooted bool
	// claims counts the claims of the worker. claimant is the name used for the
	// latest one and for the lease: Incarnation and that number.
	claims     int
	claimant   string
	status     workerclient.Status
	workerSeen time.Time
	lease      *leaseholder.Holder
	admitter   *taskadmitter.Admitter
	// placeOffsets are the log offsets at which running attempts were placed.
	placeOffsets map[message.Attempt]uint64
	// unconfirmed are the closes not known to be in the log.
	unconfirmed map[message.Attempt]message.Close
	// probeTimes are the readings of the worker's clock before each probe.
	probeTimes map[uint64]time.Duration
	lastProbe  uint64
	sendCount  int
	// wantOpenAttempts makes probes ask for the attempts that the log has open.
	wantOpenAttempts bool
	stopRequested    map[message.Attempt]bool
}

// Init creates the event queue. Call it before Post.
func (r *Runner) Init() { r.events = make(chan Event, eventQueueSize) }

// Post queues an event for the runner. If the queue is full the event is
// dropped, since entries send every message again in time.
func (r *Runner) Post(e Event) {
	select {
	case r.events <- e:
	default:
	}
}

// Report returns the last published report, or nil before the worker has been
// claimed.
func (r *Runner) Report() *Report { return r.report.Load() }

// Run runs the tasks until the context ends, or returns ErrSuperseded once a
// later agent process has taken over the VM.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.claimWorker(ctx); err != nil {
		return err
	}
	go r.watchWorker(ctx)
	ticker := time.NewTicker(r.ProbeInterval)
	defer ticker.Stop()
	r.probeLease(ctx, time.Now())
	for {
		var err error
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			err = r.handleEvent(ctx, time.Now(), event)
		case now := <-ticker.C:
			r.probeLease(ctx, now)
		}
		if errors.Is(err, workerclient.ErrSuperseded) || errors.Is(err, ErrSuperseded) {
			return ErrSuperseded
		}
		if err != nil {
			r.Logger.Warn("worker call failed", "error", err)
		}
		r.publishReport()
	}
}

// claimWorker claims the worker and rebuilds the admitter from the tasks that
// run on it. It retries until the worker answers.
func (r *Runner) claimWorker(ctx context.Context) error {
	r.claims++
	r.claimant = fmt.Sprintf("%s.%d", r.Incarnation, r.claims)
	for {
		status, err := r.tryClaim(ctx)
		if err == nil {
			r.resetFromWorker(time.Now(), status)
			return nil
		}
		r.Logger.Warn("cannot claim the worker; retrying", "error", err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}

func (r *Runner) tryClaim(ctx context.Context) (workerclient.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Worker.Claim(ctx, r.claimant)
}

// resetFromWorker replaces the state of the runner by that of the worker.
func (r *Runner) resetFromWorker(now time.Time, s workerclient.Status) {
	r.rebooted = r.boot != "" && r.boot != s.Boot
	r.boot = s.Boot
	r.lease = &leaseholder.Holder{Agent: r.claimant}
	r.admitter = taskadmitter.New(s.Size)
	r.placeOffsets = map[message.Attempt]uint64{}
	if r.unconfirmed == nil {
		r.unconfirmed = map[message.Attempt]message.Close{}
	}
	r.probeTimes = map[uint64]time.Duration{}
	r.stopRequested = map[message.Attempt]bool{}
	r.wantOpenAttempts = true
	for i := range s.Tasks {
		r.admitter.AddRunning(s.Tasks[i].Name(), s.Tasks[i].Size)
	}
	r.recordStatus(now, s)
	r.publishReport()
}

func (r *Runner) publishReport() {
	lease := r.admitter.Lease
	if time.Since(r.workerSeen) > workerTimeout {
		lease = 0
	}
	r.report.Store(&Report{
		Agent: r.claimant, Boot: r.boot, Capacity: r.admitter.Capacity, Free: r.admitter.Free(), Lease: lease,
		Tasks: r.admitter.RunningCount(), WorkerSeen: r.workerSeen,
	})
}

// watchWorker posts each change of the status of the worker.
func (r *Runner) watchWorker(ctx context.Context) {
	revision := -1
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		status, err := r.Worker.Watch(callCtx, r.Report().Agent, revision, watchWait)
		cancel()
		if errors.Is(err, workerclient.ErrSuperseded) {
			status = workerclient.Status{}
		} else if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		revision = status.Revision
		select {
		case r.events <- statusReceived{status: status}:
		case <-ctx.Done():
		}
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Runner) handleEvent(ctx context.Context, now time.Time, m Event) error {
	switch m := m.(type) {
	case StartReceived:
		return r.handleStart(ctx, m)
	case StopReceived:
		return r.handleStop(ctx, m.Stop)
	case ViewReceived:
		return r.handleView(ctx, m.View)
	case ClosesConfirmed:
		return r.confirmCloses(ctx, m.Ack.Attempts)
	case statusReceived:
		return r.handleStatus(ctx, now, m.status)
	}
	return nil
}

// handleStatus processes a status. A changed boot means that all earlier tasks
// are gone, and an empty boot that another agent has claimed the worker or the
// VM has rebooted.
func (r *Runner) handleStatus(ctx context.Context, now time.Time, s workerclient.Status) error {
	if s.Boot == "" {
		return r.handleSuperseded(ctx)
	}
	if s.Boot != r.boot {
		r.Logger.Info("the VM has rebooted", "boot", s.Boot)
		return r.claimWorker(ctx)
	}
	r.recordStatus(now, s)
	return nil
}

// handleSuperseded distinguishes a reboot, after which the worker knows no
// agent, from a claim by a later agent process.
func (r *Runner) handleSuperseded(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.Worker.Watch(ctx, "", -1, 0)
	if err != nil || s.Boot == r.boot {
		return ErrSuperseded
	}
	return r.claimWorker(ctx)
}
