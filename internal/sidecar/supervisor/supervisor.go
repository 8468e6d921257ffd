// Package supervisor supervises the worker of one VM. Nothing else in the agent
// calls the worker. The supervisor extends the worker's lease while an entry
// confirms that the agent's session is in the log, carries out the leader's
// commands, and reports active and ended runs.
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
	// pollTimeout is how long a hold call waits for a run to end (a long poll).
	// Each hold call also extends the lease.
	pollTimeout = 250 * time.Millisecond
	// pacingPollTimeout replaces pollTimeout while fillers run beside serving
	// tasks. A reported latency covers the last half second, so this interval
	// takes four samples per latency window.
	pacingPollTimeout = 125 * time.Millisecond
	// unackedEndsPause is the pause before the next poll while reported ends
	// are not known to be in the log. Such a poll does not wait for an end.
	unackedEndsPause = 60 * time.Millisecond
	// retryPause is the pause after a failed poll.
	retryPause = 60 * time.Millisecond
	// maxClockDrift is the fraction by which the worker's steady clock may run
	// slow (2 %), plus a margin of half as much again.
	maxClockDrift = 0.03
	// expiryMargin is added to the remaining lease time before the lease counts
	// as expired.
	expiryMargin = 100 * time.Millisecond
	// unresponsiveLimit is how long a worker may leave calls unanswered and
	// still have its lease extended: four polls.
	unresponsiveLimit = time.Second
	// maxParallelStarts limits the start calls in flight, maxParallelStops the stop calls.
	maxParallelStarts = 16
	maxParallelStops  = 64
)

// Supervisor manages the lease and the runs of the worker of one VM.
type Supervisor struct {
	Worker workercontroller.Worker
	Logger hclog.Logger
	// MaxLease is the longest lease that the worker accepts.
	MaxLease time.Duration
	// MaxRequestAge is how long after the operators' requests were last known to be
	// complete tasks may still start, 0 for no limit.
	MaxRequestAge time.Duration
	// Pacer decides the pace of fillers; nil disables pacing.
	Pacer Pacer
	// Clock returns the time since boot, Steady the same without the time that
	// the VM was suspended. If Clock is nil, Init sets both to the VM's clocks.
	Clock, Steady func() time.Duration
	// OnChange is called when there is something new to report.
	OnChange func()
	// OnSessionStart is called when the worker has accepted a session.
	OnSessionStart func()
	// Done is closed when Run has returned.
	Done chan struct{}

	mu              sync.Mutex
	workerStatus    work.WorkerStatus
	heartbeatNumber int64
	// heartbeatAt is when the newest heartbeat arrived, on the boot clock.
	heartbeatAt  time.Duration
	deregistered bool

	evacuation evacuation
	session    session
	// confirmedAt is the latest time, on the boot clock, at which the session
	// was in force in the log according to an entry; 0 if none has confirmed it
	// yet.
	confirmedAt time.Duration
	// epoch is the newest term of which a leader has sent commands,
	// handledCommands the number of the last ones in it for this session. The leader
	// numbers the commands of each VM by itself.
	epoch           int64
	handledCommands int64
	// ackedEnds is the number up to which ends are known to be in the log.
	ackedEnds int64
	// listedEnd is the highest end in the last list, 0 for none. Calls acknowledge ends
	// up to it only: those beyond are forgotten already, and a call that is held back may
	// reach another process.
	listedEnd int64

	active []work.RunStatus
	ends   []work.RunEnd
	runs   runIndex
	// moreEnds is set if the worker has ends that are not in ends.
	moreEnds bool
	// listSentAt is when the call was sent that returned active and ends.
	listSentAt time.Duration
	// pending holds the runs that were to start and that the worker has not listed.
	pending map[work.RunRef]bool
	// heldStarts are the pending runs whose starts wait for a slot.
	heldStarts map[work.RunRef]bool
	voids      map[work.RunRef]string
	starts     map[string]work.Start
	paces      map[work.RunRef]int
	// stopping holds the calls that are stopping a run.
	stopping    map[work.RunRef]workercontroller.Call
	lastReading clockReading
	// latestLeaseEnd is the latest lease end that this agent process sent to the
	// worker, on the worker's clock. The worker may have accepted it.
	latestLeaseEnd time.Duration
	// inheritedLeaseEnd bounds the lease that earlier agent processes of the VM
	// may have extended, on the worker's clock; 0 before the worker has accepted a
	// session of this process.
	inheritedLeaseEnd time.Duration
	// answeredAt is when the worker last answered, or when the first session was
	// granted if it has not answered since.
	answeredAt   time.Duration
	leaseExpired bool
	// replaced is set once another process than the known one has answered a
	// call. replacementExtendedAt is when, on the steady clock, it last answered a
	// call that may have extended its lease; 0 for never.
	replaced              bool
	replacementExtendedAt time.Duration
	reachability          reachability
	// sentStarts holds the start calls of the last seconds, the newest last.
	sentStarts []sentStart
	stalls     stallDetector
	// crash is the last crash of a worker process, nil for none.
	crash *crash

	wakeup     chan struct{}
	startSlots chan struct{}
	stopSlots  chan struct{}
	// pacingMu serializes the calls that set paces.
	pacingMu sync.Mutex
	group    sync.WaitGroup
}

// session is the agent's right to send calls to the worker.
type session struct {
	vm                string
	workerIncarnation int64
	// granted is the fencing token granted by the leader, accepted the one
	// that the worker has accepted; 0 for none.
	granted, accepted int64
	// acceptedAt is when the worker accepted it, on the boot clock.
	acceptedAt time.Duration
}

// Pacer decides the pace of fillers: tasks that run on capacity left by others.
// A pace is the percentage of its processor share that a run may use.
type Pacer interface {
	// Decide returns the new paces, in percent, of runs whose pace should change.
	Decide(active []work.RunStatus, starts map[string]work.Start, capacity work.Size, now time.Duration) map[work.RunRef]int
	// Confirm records that the worker has applied a pace.
	Confirm(run work.RunRef, percent int)
	// Adopt registers a run whose current pace is not known.
	Adopt(run work.RunRef)
	// Learn stores the leader's interference weights for pairs of images.
	Learn(interference []work.Interference)
}

// Init prepares the supervisor. It must be called before any other method.
func (s *Supervisor) Init() {
	s.Done = make(chan struct{})
	if s.Clock == nil {
		s.Clock, s.Steady = bootclock.Now, bootclock.Monotonic
	}
	s.wakeup = make(chan struct{}, 1)
	s.startSlots = make(chan struct{}, maxParallelStarts)
	s.stopSlots = make(chan struct{}, maxParallelStops)
	s.reset()
}

// reset drops the session and the runs of the previous worker process, but not what is
// known of its crash.
func (s *Supervisor) reset() {
	s.active, s.ends, s.runs.built = nil, nil, false
	s.pending, s.heldStarts = map[work.RunRef]bool{}, map[work.RunRef]bool{}
	s.voids = map[work.RunRef]string{}
	s.starts = map[string]work.Start{}
	s.paces = map[work.RunRef]int{}
	s.stopping = map[work.RunRef]workercontroller.Call{}
	s.lastReading, s.latestLeaseEnd, s.inheritedLeaseEnd, s.confirmedAt = clockReading{}, 0, 0, 0
	s.ackedEnds, s.listedEnd, s.leaseExpired = 0, 0, false
	s.replaced, s.replacementExtendedAt = false, 0
	s.reachability, s.sentStarts = reachability{}, nil
	s.session = session{}
	s.answeredAt = s.Clock()
}

// HandleHeartbeat handles a heartbeat of the worker. Heartbeats that are older than
// the newest one, or that come from an earlier worker process, are ignored. The order
// of processes by their start times holds only until another process than the known
// one has answered a call, since the wall clock may have stepped back.
func (s *Supervisor) HandleHeartbeat(status work.WorkerStatus, heartbeatNumber int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	older := status.Incarnation < s.workerStatus.Incarnation && !s.replaced || status.Incarnation == s.workerStatus.Incarnation && status.VM == s.workerStatus.VM && heartbeatNumber < s.heartbeatNumber
	if s.workerStatus.VM != "" && older {
		s.Logger.Info("ignoring outdated worker heartbeat", "vm", status.VM, "born", status.Incarnation, "number", heartbeatNumber, "current", s.workerStatus.Incarnation)
		return
	}
	if status.VM != s.workerStatus.VM || status.Incarnation != s.workerStatus.Incarnation {
		s.Logger.Info("worker found", "vm", status.VM, "born", status.Incarnation, "pool", status.Pool, "former", s.workerStatus.Incarnation)
		s.reset()
		s.deregistered = false
	}
	if status.Draining && !s.workerStatus.Draining {
		s.Logger.Info("worker drains", "vm", status.VM, "remaining", status.DrainRemaining.String())
	}
	s.workerStatus, s.heartbeatNumber = status, heartbeatNumber
	s.heartbeatAt = s.Clock()
	s.wake()
	s.OnChange()
}

// HandleDeregistration handles the deregistration of the worker. The worker may
// not receive the answer and go on for a while, so it is still polled, but its
// lease is not extended any more. The call names no worker process. A worker that
// does not drain has not sent it: the call is a late one of an earlier process.
func (s *Supervisor) HandleDeregistration(vm string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if vm != s.workerStatus.VM || s.deregistered {
		return
	}
	if !s.workerStatus.Draining {
		s.Logger.Warn("ignoring deregistration of a worker that does not drain", "vm", vm, "born", s.workerStatus.Incarnation)
		return
	}
	s.deregistered = true
	s.Logger.Info("worker gone", "vm", vm, "born", s.workerStatus.Incarnation, "runs", len(s.active), "pending", len(s.pending), "unacked_ends", len(s.ends), "ends_acked", s.ackedEnds, "list_age", (s.Clock() - s.answeredAt).String())
	s.OnChange()
}

// WorkerStatus returns the data of the worker's newest heartbeat, and whether there
// was one.
func (s *Supervisor) WorkerStatus() (work.WorkerStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workerStatus, s.workerStatus.VM != ""
}

// NewHeartbeat returns a heartbeat to send to an entry.
func (s *Supervisor) NewHeartbeat(number int64) *work.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &work.Heartbeat{Number: number, Fence: s.session.accepted, VM: s.workerStatus.VM, WorkerIncarnation: s.workerStatus.Incarnation}
}

// RecordConfirmation records that the session named in a heartbeat was in force in
// the log at the given time on the boot clock.
func (s *Supervisor) RecordConfirmation(heartbeat *work.Heartbeat, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if heartbeat.Fence == 0 || heartbeat.Fence != s.session.accepted || heartbeat.WorkerIncarnation != s.session.workerIncarnation || heartbeat.VM != s.session.vm {
		return
	}
	if s.confirmedAt == 0 {
		s.OnChange()
	}
	s.confirmedAt = max(s.confirmedAt, at)
}

// AwaitsConfirmation reports whether a session was granted that no entry has
// confirmed to be in the log yet.
func (s *Supervisor) AwaitsConfirmation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session.granted > 0 && s.confirmedAt == 0
}

// AcceptGrant takes over a session that the leader granted. Grants for another
// worker process, and grants that are not newer than the session, are ignored.
func (s *Supervisor) AcceptGrant(g *work.Grant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.VM != s.workerStatus.VM || g.WorkerIncarnation != s.workerStatus.Incarnation || g.Fence <= s.session.granted {
		return
	}
	s.Logger.Info("session granted", "vm", g.VM, "born", g.WorkerIncarnation, "fence", g.Fence, "former", s.session.granted)
	if s.session.granted == 0 {
		// The worker has not been called before.
		s.answeredAt = s.Clock()
	}
	s.session = session{vm: g.VM, workerIncarnation: g.WorkerIncarnation, granted: g.Fence}
	s.confirmedAt, s.handledCommands = 0, 0
	s.wake()
}

// Report returns the state of the VM, or nil before the first heartbeat of the
// worker. It includes the number of the last handled commands only if these came
// in the given term.
func (s *Supervisor) Report(epoch int64) *work.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workerStatus.VM == "" {
		return nil
	}
	r := &work.Report{Fence: s.session.accepted, WorkerStatus: s.workerStatus, LeaseExpired: s.leaseExpired, Deregistered: s.deregistered, WorkerDown: s.reachability.down(), Crash: s.crashReport(), SessionConfirmed: s.confirmedAt > 0 && s.evacuation.recent(s.Clock(), s.MaxRequestAge)}
	r.WorkerStatus.DrainRemaining = max(0, r.WorkerStatus.DrainRemaining-(s.Clock()-s.heartbeatAt))
	if epoch == s.epoch {
		r.CommandsHandled = s.handledCommands
	}
	if silent := s.Clock() - s.answeredAt; s.session.granted > 0 && silent > pollTimeout+unackedEndsPause {
		r.WorkerSilence = silent
	}
	if s.session.accepted == 0 {
		return r
	}
	r.ActiveRuns, r.Ends, r.MoreEnds = slices.Clone(s.active), slices.Clone(s.ends), s.moreEnds
	for run := range s.pending {
		r.PendingStarts = append(r.PendingStarts, run)
	}
	for run, reason := range s.voids {
		r.Voids = append(r.Voids, work.VoidRun{Task: run.Task, Run: run.Run, Reason: reason})
	}
	return r
}

func (s *Supervisor) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}
